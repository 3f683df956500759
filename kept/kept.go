// Package kept tells whether a replica has received a commit. Where databases
// acknowledge a commit that only the primary has, a write is confirmed to its caller
// once a replica has it too: what a primary's loss takes back was then never
// confirmed.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  7. When replicas stop receiving, their primary may be cut off from its keeper too
//     and about to be replaced. A write without a receipt is in doubt unless the
//     keeper has seen the primary after it; that holds for longer than it takes to
//     find a primary silent and to end the last grant for it.
//  15. A replica is asked only if it has room beyond what callers want of it, and
//     where connections are scarce, only on an open one. Where that is why there is
//     no receipt, writes don't wait for it.
//  20. If a primary is not replaced, writes go on: each waits for a moment, and if it
//     still answers, they are confirmed without a receipt, and counted.
package kept

import (
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/wires"
)

const (
	// firstWait is the longest wait for a receipt; replicas that receive at all do so
	// in milliseconds, but a full one answers late.
	firstWait = 800 * time.Millisecond
	// freshFor is how lately the keeper must have seen the primary for writes not to
	// wait for replicas that are too busy to be asked.
	freshFor = 1500 * time.Millisecond
	// laterWait is the wait once none has come for goesOn, which is a grant's time
	// more: the replicas then receive nothing, and the primary stays.
	laterWait = 30 * time.Millisecond
	goesOn    = dbset.GrantFor
	// askWait bounds one question to a replica.
	askWait = 150 * time.Millisecond
	// askAgain is the pause after the first question without a receipt; it doubles
	// up to askSeldom.
	askAgain  = 8 * time.Millisecond
	askSeldom = 80 * time.Millisecond
	// heardWithin is how lately a primary must have answered for a write to be
	// confirmed without a receipt.
	heardWithin = 100 * time.Millisecond
)

// Outcome is what is known of a commit.
type Outcome int

// The outcomes.
const (
	// Received says that a replica has it.
	Received Outcome = iota
	// Alone says that none is known to have it, and that its primary lives.
	Alone
	// Doubtful says that its primary may be gone, and the commit with it.
	Doubtful
)

// Receipts asks replicas what they have received. Set the exported fields before
// use.
type Receipts struct {
	Links *conset.Set
	Clock clock.Clock

	mu    sync.Mutex
	desks map[*dbset.Group]*desk
}

// desk is the receipts of one group.
type desk struct {
	mu sync.Mutex
	// asking is closed when the question under way has its answer.
	asking chan struct{}
	// last is what came of the last question.
	last answer
	// turn counts questions that brought no receipt: the next goes to another.
	turn int
	// noneSince is when the first receipt of those in a row was missed.
	noneSince time.Time
}

// Await waits until a replica has received a position, but no longer than patience.
// It returns at once when the position's term is over.
func (receipts *Receipts) Await(group *dbset.Group, position posn.Position, patience time.Duration) Outcome {
	desk := receipts.desk(group)
	began := receipts.Clock.Now()
	until := began.Add(min(patience, desk.wait(began)))
	for pause := askAgain; ; pause = min(2*pause, askSeldom) {
		if group.IsReceived(position) {
			desk.note(true, receipts.Clock.Now())
			return Received
		}
		now := receipts.Clock.Now()
		if group.Term() != position.Term {
			return Doubtful
		}
		if !now.Before(until) {
			desk.note(false, now)
			if desk.wait(now) == firstWait && !group.KeeperSaw().After(began) {
				return Doubtful
			}
			return receipts.alone(group)
		}
		got := receipts.ask(desk, group, until.Sub(now))
		if got == busy && now.Sub(group.KeeperSaw()) <= freshFor {
			return receipts.alone(group)
		}
		if !group.IsReceived(position) {
			<-receipts.Clock.After(min(pause, max(until.Sub(receipts.Clock.Now()), 0)))
		}
	}
}

// Forget drops what is kept of a group that is gone.
func (receipts *Receipts) Forget(group *dbset.Group) {
	receipts.mu.Lock()
	defer receipts.mu.Unlock()
	delete(receipts.desks, group)
}

// alone asks the primary for a sign of life if it gave none lately.
func (receipts *Receipts) alone(group *dbset.Group) Outcome {
	now := receipts.Clock.Now()
	leads, ok := group.Primary(now)
	if !ok {
		return Doubtful
	}
	if now.Sub(group.HeardAt(leads.ID)) <= heardWithin {
		return Alone
	}
	pool := receipts.Links.Pool(leads.ID)
	if pool == nil {
		return Doubtful
	}
	if report, err := promo.Ask(group, pool, receipts.Clock, wires.Inquire{}, askWait); err != nil || !report.Primary {
		return Doubtful
	}
	return Alone
}

func (receipts *Receipts) desk(group *dbset.Group) *desk {
	receipts.mu.Lock()
	defer receipts.mu.Unlock()
	if receipts.desks == nil {
		receipts.desks = make(map[*dbset.Group]*desk)
	}
	found, ok := receipts.desks[group]
	if !ok {
		found = &desk{}
		receipts.desks[group] = found
	}
	return found
}

// wait is how long a write of now waits for its receipt.
func (desk *desk) wait(now time.Time) time.Duration {
	desk.mu.Lock()
	defer desk.mu.Unlock()
	if !desk.noneSince.IsZero() && now.Sub(desk.noneSince) >= goesOn {
		return laterWait
	}
	return firstWait
}

func (desk *desk) note(isReceived bool, now time.Time) {
	desk.mu.Lock()
	defer desk.mu.Unlock()
	switch {
	case isReceived:
		desk.noneSince = time.Time{}
	case desk.noneSince.IsZero():
		desk.noneSince = now
	}
}

// ask asks one replica, or waits for the question that is under way.
func (receipts *Receipts) ask(desk *desk, group *dbset.Group, patience time.Duration) answer {
	desk.mu.Lock()
	if under := desk.asking; under != nil {
		desk.mu.Unlock()
		select {
		case <-under:
			return desk.answered()
		case <-receipts.Clock.After(patience):
			return noNews
		}
	}
	answered := make(chan struct{})
	desk.asking = answered
	turn := desk.turn
	desk.mu.Unlock()
	got := receipts.askAny(group, turn, min(patience, askWait))
	desk.mu.Lock()
	defer desk.mu.Unlock()
	if got != news {
		desk.turn++
	}
	desk.last, desk.asking = got, nil
	close(answered)
	return got
}

func (desk *desk) answered() answer {
	desk.mu.Lock()
	defer desk.mu.Unlock()
	return desk.last
}

// answer is what came of a question.
type answer int

const (
	// news says that the replica had received more than was known, noNews that it
	// had not, or did not answer, busy that none had room for the question.
	news answer = iota
	noNews
	busy
)

// askAny asks the first replica that has room, beginning with the one whose turn it
// is.
func (receipts *Receipts) askAny(group *dbset.Group, turn int, timeout time.Duration) answer {
	replicas := group.Receivers(receipts.Clock.Now())
	for i := range replicas {
		if got := receipts.askOne(group, replicas[(turn+i)%len(replicas)].ID, timeout); got != busy {
			return got
		}
	}
	if len(replicas) == 0 {
		return noNews
	}
	return busy
}

func (receipts *Receipts) askOne(group *dbset.Group, id string, timeout time.Duration) answer {
	if receipts.Links.IsScarce(id) && !receipts.Links.IsWarm(id) {
		return busy
	}
	pool := receipts.Links.Pool(id)
	if pool == nil {
		return noNews
	}
	before := group.Received()
	// The group keeps the outcome, and its failures.
	report, err := promo.AskIfFree(group, pool, receipts.Clock, timeout)
	switch {
	case promo.IsBusy(err):
		return busy
	case err == nil && report.Received != before && report.Received.AtLeast(before):
		return news
	}
	return noNews
}
