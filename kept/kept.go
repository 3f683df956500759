// Package kept waits until a replica has received a commit. Where databases
// acknowledge commits that only the primary has, the loss of the primary may lose
// them. A write is therefore confirmed to its caller only after a replica has reported
// that it received the commit; that report is the write's receipt.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  7. When replicas stop receiving, their primary may be cut off from the leader too
//     and about to be replaced. A write without a receipt is in doubt unless the
//     leader has seen the primary after the write. This applies for longer than it
//     takes to detect a silent primary and to end the last lease for it.
//  15. A replica is asked only if it has capacity beyond what callers need, and where
//     connections are scarce, only on an open one. Writes don't wait for a receipt
//     that is missing for one of these reasons.
//  20. If replicas stop receiving but the primary is not replaced, writes continue:
//     each waits briefly for a receipt. If the primary still answers then, the write
//     is confirmed without a receipt, and counted.
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
	// fullWait is the usual maximum wait for a receipt. Replicas that receive at all do so
	// within milliseconds, but an overloaded one answers late.
	fullWait = 800 * time.Millisecond
	// keeperFreshness is how recently the leader must have seen the primary for writes
	// not to wait for replicas that are too busy to be asked.
	keeperFreshness = 1500 * time.Millisecond
	// degradedWait is the maximum wait once receipts have been missing for
	// degradedAfter, a lease's duration after the first wait timed out. By then the
	// replicas receive nothing, and the primary has not been replaced.
	degradedWait  = 30 * time.Millisecond
	degradedAfter = dbset.LeaseDuration
	// inquiryTimeout bounds one inquiry to a database.
	inquiryTimeout = 150 * time.Millisecond
	// initialBackoff is the pause after the first inquiry without a receipt; it doubles
	// up to maxBackoff.
	initialBackoff = 8 * time.Millisecond
	maxBackoff     = 80 * time.Millisecond
	// primaryFreshness is how recently a primary must have answered for a write to be
	// confirmed without a receipt and without an inquiry to the primary.
	primaryFreshness = 100 * time.Millisecond
)

// Outcome is what is known about the durability of a commit.
type Outcome int

// The outcomes.
const (
	// Received means that a replica has received the commit.
	Received Outcome = iota
	// Alone means that no replica is known to have received the commit, and that its
	// primary still leads.
	Alone
	// Doubtful means that the primary may be lost or replaced, and the commit with it.
	Doubtful
)

// Receipts asks replicas which position they have received. Set the exported fields
// before use. Its methods may be called from many goroutines.
type Receipts struct {
	Links *conset.Set
	Clock clock.Clock

	mu       sync.Mutex
	trackers map[*dbset.Group]*tracker
}

// tracker is the state of the inquiries of one group.
type tracker struct {
	mu sync.Mutex
	// inFlight is closed when the inquiry under way ends; nil if there is none.
	inFlight chan struct{}
	// last is the result of the last inquiry.
	last result
	// rotation counts inquiries that did not advance the known position. The next
	// inquiry goes to another replica.
	rotation int
	// missingSince is when the first receipt of those in a row was missed.
	missingSince time.Time
}

// Await waits until a replica has received a position, but no longer than timeout.
// It returns Doubtful at once when the position's term has ended.
func (receipts *Receipts) Await(group *dbset.Group, position posn.Position, timeout time.Duration) Outcome {
	tracker := receipts.tracker(group)
	start := receipts.Clock.Now()
	deadline := start.Add(min(timeout, tracker.maxWait(start)))
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if group.IsReceived(position) {
			tracker.record(true, receipts.Clock.Now())
			return Received
		}
		now := receipts.Clock.Now()
		if group.Term() != position.Term {
			return Doubtful
		}
		if !now.Before(deadline) {
			tracker.record(false, now)
			if tracker.maxWait(now) == fullWait && !group.LeaderObservedAt().After(start) {
				return Doubtful
			}
			return receipts.checkPrimary(group)
		}
		result := receipts.inquire(tracker, group, deadline.Sub(now))
		if result == busy && now.Sub(group.LeaderObservedAt()) <= keeperFreshness {
			return receipts.checkPrimary(group)
		}
		if !group.IsReceived(position) {
			<-receipts.Clock.After(min(backoff, max(deadline.Sub(receipts.Clock.Now()), 0)))
		}
	}
}

// Forget drops the state of a group that was removed.
func (receipts *Receipts) Forget(group *dbset.Group) {
	receipts.mu.Lock()
	defer receipts.mu.Unlock()
	delete(receipts.trackers, group)
}

// checkPrimary returns Alone if the primary still leads, and Doubtful otherwise. It
// sends the primary an inquiry unless that answered within primaryFreshness.
func (receipts *Receipts) checkPrimary(group *dbset.Group) Outcome {
	now := receipts.Clock.Now()
	primary, ok := group.Primary(now)
	if !ok {
		return Doubtful
	}
	if now.Sub(group.LastAnswerAt(primary.ID)) <= primaryFreshness {
		return Alone
	}
	pool := receipts.Links.Pool(primary.ID)
	if pool == nil {
		return Doubtful
	}
	if report, err := promo.SendControl(group, pool, receipts.Clock, wires.Inquire{}, inquiryTimeout); err != nil || !report.Primary {
		return Doubtful
	}
	return Alone
}

func (receipts *Receipts) tracker(group *dbset.Group) *tracker {
	receipts.mu.Lock()
	defer receipts.mu.Unlock()
	if receipts.trackers == nil {
		receipts.trackers = make(map[*dbset.Group]*tracker)
	}
	found, ok := receipts.trackers[group]
	if !ok {
		found = &tracker{}
		receipts.trackers[group] = found
	}
	return found
}

// maxWait returns how long a write that starts now waits for its receipt at most.
func (tracker *tracker) maxWait(now time.Time) time.Duration {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !tracker.missingSince.IsZero() && now.Sub(tracker.missingSince) >= degradedAfter {
		return degradedWait
	}
	return fullWait
}

// record records whether a write got its receipt.
func (tracker *tracker) record(isReceived bool, now time.Time) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	switch {
	case isReceived:
		tracker.missingSince = time.Time{}
	case tracker.missingSince.IsZero():
		tracker.missingSince = now
	}
}

// inquire asks one replica for its position. If an inquiry is under way, it waits for
// that one instead, so that concurrent writes share inquiries.
func (receipts *Receipts) inquire(tracker *tracker, group *dbset.Group, timeout time.Duration) result {
	tracker.mu.Lock()
	if inFlight := tracker.inFlight; inFlight != nil {
		tracker.mu.Unlock()
		select {
		case <-inFlight:
			return tracker.lastResult()
		case <-receipts.Clock.After(timeout):
			return notAdvanced
		}
	}
	done := make(chan struct{})
	tracker.inFlight = done
	rotation := tracker.rotation
	tracker.mu.Unlock()
	result := receipts.inquireAny(group, rotation, min(timeout, inquiryTimeout))
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if result != advanced {
		tracker.rotation++
	}
	tracker.last, tracker.inFlight = result, nil
	close(done)
	return result
}

func (tracker *tracker) lastResult() result {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.last
}

// result is the result of an inquiry.
type result int

const (
	// advanced means that the replica had received more than was known, notAdvanced
	// that it had not or did not answer, busy that no replica had capacity for the
	// inquiry.
	advanced result = iota
	notAdvanced
	busy
)

// inquireAny asks the first replica that has capacity. It starts with a replica that
// rotation selects.
func (receipts *Receipts) inquireAny(group *dbset.Group, rotation int, timeout time.Duration) result {
	replicas := group.Receivers(receipts.Clock.Now())
	for i := range replicas {
		if result := receipts.inquireOne(group, replicas[(rotation+i)%len(replicas)].ID, timeout); result != busy {
			return result
		}
	}
	if len(replicas) == 0 {
		return notAdvanced
	}
	return busy
}

func (receipts *Receipts) inquireOne(group *dbset.Group, id string, timeout time.Duration) result {
	if receipts.Links.IsScarce(id) && !receipts.Links.IsWarm(id) {
		return busy
	}
	pool := receipts.Links.Pool(id)
	if pool == nil {
		return notAdvanced
	}
	before := group.Received()
	// AskIfFree records the report, or a failure, in the group.
	report, err := promo.RequestReportIfIdle(group, pool, receipts.Clock, timeout)
	switch {
	case promo.IsBusy(err):
		return busy
	case err == nil && report.Received != before && report.Received.AtLeast(before):
		return advanced
	}
	return notAdvanced
}
