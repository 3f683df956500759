package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/admit"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/wires"
)

// A statement waits for patience of patienceOf parts of its timeout to be sent: the
// rest is left for its work, or for its caller to come back. From the bench's days.
const (
	patience   = 9
	patienceOf = 20
)

// attempt is the work on one request of a session.
type attempt struct {
	session *Session
	call    wires.Call
	route   config.Route
	group   *dbset.Group
	arrived time.Time
	// opening is the request that opened the transaction; empty for none.
	opening string
	tries   int
	exclude map[string]bool
	// hasNoRoom says that a database's queue was too long.
	hasNoRoom bool
}

func (session *Session) attempt(call wires.Call, route config.Route) *attempt {
	return &attempt{
		session: session, call: call, route: route,
		group: session.engine.Groups.Group(route.Upstream), arrived: session.engine.now(),
		opening: session.opening(),
	}
}

// remaining is the time that the statement has left.
func (attempt *attempt) remaining() time.Duration {
	return attempt.route.Timeout - attempt.session.engine.now().Sub(attempt.arrived)
}

// patience is the time that the statement still waits to be sent: long enough to
// outlast a short queue, and short enough for the caller to come back in time.
func (attempt *attempt) patience() time.Duration {
	return attempt.remaining() - attempt.route.Timeout*(patienceOf-patience)/patienceOf
}

func (attempt *attempt) want() admit.Want {
	return admit.Want{
		Priority: attempt.route.Priority, Due: attempt.arrived.Add(attempt.route.Target),
		Patience: attempt.patience(), ShortPatience: attempt.route.Target / 2,
	}
}

func (attempt *attempt) skip(id string) {
	if attempt.exclude == nil {
		attempt.exclude = make(map[string]bool)
	}
	attempt.exclude[id] = true
}

// choose returns a database for a read, or waits for one.
func (attempt *attempt) choose() (dbset.Choice, bool) {
	for {
		changed := attempt.group.Changed()
		now := attempt.session.engine.now()
		choice := attempt.chooseNow(now)
		if choice.Reason != dbset.Nowhere {
			return choice, true
		}
		if attempt.hasNoRoom || !attempt.waitFor(changed) {
			return choice, false
		}
		attempt.exclude = nil
	}
}

func (attempt *attempt) chooseNow(now time.Time) dbset.Choice {
	if attempt.route.Access == config.Current {
		leads, ok := attempt.group.Primary(now)
		if !ok || attempt.exclude[leads.ID] {
			return dbset.Choice{Reason: dbset.Nowhere}
		}
		return dbset.Choice{Member: leads, Reason: dbset.ToPrimary}
	}
	query := dbset.Query{
		MaxAge: attempt.route.MaxAge, Exclude: attempt.exclude,
		Arrived: attempt.arrived, Now: now,
	}
	if attempt.route.Access == config.OwnWrites {
		own := attempt.session.own[attempt.group.Name]
		query.Own, query.OwnAt = own.position, own.at
	}
	return attempt.group.Choose(query)
}

// waitFor waits until changed is closed or a moment has passed; false when the
// statement's patience is at its end.
func (attempt *attempt) waitFor(changed <-chan struct{}) bool {
	const look = 50 * time.Millisecond
	left := attempt.patience()
	if left <= 0 {
		return false
	}
	timer := attempt.session.engine.Clock.After(min(left, look))
	select {
	case <-changed:
	case <-timer:
	}
	return true
}

// link gets a connection to the database with the session's values on it.
func (attempt *attempt) link(member dbset.Member) (*conset.Link, error) {
	pool := attempt.session.engine.Links.Pool(member.ID)
	if pool == nil {
		return nil, conset.ErrClosed
	}
	attempt.group.Begin(member.ID)
	defer attempt.group.End(member.ID)
	link, err := pool.Get(attempt.want(), attempt.session.misfit)
	if errors.Is(err, conset.ErrDial) {
		attempt.group.Failed(member.ID, conset.IsRefused(err), attempt.session.engine.now())
	}
	if err != nil {
		attempt.hasNoRoom = attempt.hasNoRoom || errors.Is(err, conset.ErrNoRoom)
		return nil, err
	}
	if err := attempt.session.restore(link, attempt.call, false); err != nil {
		attempt.group.Failed(member.ID, false, attempt.session.engine.now())
		link.Discard()
		return nil, err
	}
	return link, nil
}

// ask sends a request and keeps the group's books.
func (attempt *attempt) ask(link *conset.Link, request wires.Request, timeout time.Duration) (wires.Answer, error) {
	clock, id := attempt.session.engine.Clock, link.Member.ID
	attempt.group.Begin(id)
	defer attempt.group.End(id)
	began := clock.Now()
	answer, err := link.Ask(request, timeout)
	if err != nil {
		attempt.group.Failed(id, false, clock.Now())
		return answer, err
	}
	now := clock.Now()
	attempt.group.Done(id, answer.Position, began, now)
	switch answer.Code {
	case wires.OK:
		link.Observe(now.Sub(began))
	case wires.Busy:
		link.Overload()
	}
	return answer, nil
}

func (attempt *attempt) giveUp(reason string) wires.Answer {
	return attempt.session.refuseAfter(attempt, attempt.call, wires.Busy, reason)
}

// blocked is why a request was not sent: reason, unless databases had no room.
func (attempt *attempt) blocked(reason string) string {
	if attempt.hasNoRoom {
		return "noRoom"
	}
	return reason
}

// dispatchOf says what is known of an attempt that failed for a reason.
func dispatchOf(reason string) string {
	switch reason {
	case "noRoom", "connectFailed", "otherDatabase", "connectionLost", "noLongerLeads":
		return "notDispatched"
	case "answerLost":
		return "unknown"
	}
	return "known"
}

// after is how long the request has taken so far, in ms.
func (attempt *attempt) after() int64 {
	return attempt.session.engine.now().Sub(attempt.arrived).Milliseconds()
}

func (attempt *attempt) retried(member dbset.Member, reason string) {
	attempt.session.engine.Stats.Retries.Add(reason, 1)
	attempt.session.engine.Log.Write(event.RequestRetried, withOpening(event.Fields{
		"request": attempt.call.ID, "group": attempt.group.Name, "slot": member.ID, "reason": reason,
		"dispatch": dispatchOf(reason), "attempt": attempt.tries, "afterMs": attempt.after(),
	}, attempt.opening))
}

func (attempt *attempt) leads(id string) bool {
	leads, ok := attempt.group.Primary(attempt.session.engine.now())
	return ok && leads.ID == id
}

func reasonOf(err error) string {
	switch {
	case errors.Is(err, conset.ErrNoRoom):
		return "noRoom"
	case errors.Is(err, conset.ErrDial):
		return "connectFailed"
	case errors.Is(err, conset.ErrOther):
		return "otherDatabase"
	}
	return "connectionLost"
}

// primary waits for a primary that holds a grant.
func (attempt *attempt) primary() (dbset.Member, bool) {
	for {
		changed := attempt.group.Changed()
		if leads, ok := attempt.group.Primary(attempt.session.engine.now()); ok {
			return leads, true
		}
		if !attempt.waitFor(changed) {
			return dbset.Member{}, false
		}
	}
}

func (attempt *attempt) pause() {
	<-attempt.session.engine.Clock.After(busyPause)
}
