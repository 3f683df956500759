package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/admit"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/wires"
)

const (
	// retryAfterText is when a refused caller should come back, in ms: about
	// what a queue of one slot or the change of a grant takes.
	retryAfterText = "200"
	// maxAttempts bounds the databases that one read tries.
	maxAttempts = 6
	// busyPause is the wait before a database that had no room is asked again.
	busyPause = 10 * time.Millisecond
	// confirmWait bounds the wait for a grant after a write was answered.
	confirmWait = 500 * time.Millisecond
	// leastAttempt is the shortest time that a read is given at one database.
	leastAttempt = 250 * time.Millisecond
)

// attempt is the work on one request of a session.
type attempt struct {
	session *Session
	call    wires.Call
	route   config.Route
	group   *dbset.Group
	arrived time.Time
	tries   int
	exclude map[string]bool
	// hasNoRoom says that a database's queue was too long.
	hasNoRoom bool
}

func (session *Session) attempt(call wires.Call, route config.Route) *attempt {
	return &attempt{
		session: session, call: call, route: route,
		group: session.engine.Groups.Group(route.Upstream), arrived: session.engine.now(),
	}
}

// remaining is the time that the statement has left.
func (attempt *attempt) remaining() time.Duration {
	return attempt.route.Timeout - attempt.session.engine.now().Sub(attempt.arrived)
}

// patience is the time that the statement still waits to be sent: long enough to
// outlast a short queue, and short enough for the caller to come back in time.
func (attempt *attempt) patience() time.Duration {
	return attempt.remaining() - attempt.route.Timeout*11/20
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
	attempt.session.engine.Log.Write(event.RequestRetried, event.Fields{
		"request": attempt.call.ID, "group": attempt.group.Name, "slot": member.ID, "reason": reason,
		"dispatch": dispatchOf(reason), "attempt": attempt.tries, "afterMs": attempt.after(),
	})
}

// read runs a single read, at as many databases as it takes.
func (session *Session) read(call wires.Call, route config.Route) wires.Answer {
	attempt := session.attempt(call, route)
	if attempt.group == nil {
		return attempt.giveUp("noUpstream")
	}
	for ; attempt.tries < maxAttempts && attempt.remaining() > 0; attempt.tries++ {
		choice, ok := attempt.choose()
		if !ok {
			return attempt.giveUp(attempt.blocked("noDatabase"))
		}
		answer, reason := attempt.readAt(choice)
		if reason == "" {
			session.engine.Stats.Routes.Add(string(choice.Reason), 1)
			return answer
		}
		attempt.skip(choice.Member.ID)
		attempt.retried(choice.Member, reason)
	}
	return attempt.giveUp("attemptsFailed")
}

// readAt tries a read at one database; a reason means that another may do.
func (attempt *attempt) readAt(choice dbset.Choice) (wires.Answer, string) {
	link, err := attempt.link(choice.Member)
	if err != nil {
		return wires.Answer{}, reasonOf(err)
	}
	isPrimary := choice.Reason != dbset.ToReplica
	if isPrimary && !attempt.leads(choice.Member.ID) {
		link.Put()
		return wires.Answer{}, "noLongerLeads"
	}
	timeout := max(attempt.remaining()/2, leastAttempt)
	answer, err := attempt.ask(link, attempt.session.request(attempt.call, choice.Floor), timeout)
	if err != nil {
		link.Discard()
		return answer, "answerLost"
	}
	if answer.Code == wires.UnknownName {
		clear(link.Shapes)
	}
	link.Put()
	if answer.Code == wires.OK || answer.Code == wires.TimedOut || answer.Code == wires.Malformed {
		return answer, ""
	}
	return answer, answer.Code.String()
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

// write runs a single write. It is repeated only if it is known not to have run.
func (session *Session) write(call wires.Call, route config.Route) wires.Answer {
	attempt := session.attempt(call, route)
	if attempt.group == nil {
		return attempt.giveUp("noUpstream")
	}
	for ; ; attempt.tries++ {
		leads, ok := attempt.primary()
		if !ok {
			return attempt.giveUp("noPrimary")
		}
		answer, reason := attempt.writeAt(leads)
		if reason == "" {
			return answer
		}
		attempt.retried(leads, reason)
		if attempt.patience() <= 0 {
			return attempt.giveUp(reason)
		}
		attempt.pause()
	}
}

func (attempt *attempt) pause() {
	<-attempt.session.engine.Clock.After(busyPause)
}

// writeAt tries a write at the primary; a reason means that it did not run.
func (attempt *attempt) writeAt(leads dbset.Member) (wires.Answer, string) {
	link, err := attempt.link(leads)
	if err != nil {
		return wires.Answer{}, reasonOf(err)
	}
	term := attempt.group.Term()
	if !attempt.leads(leads.ID) {
		link.Put()
		return wires.Answer{}, "noLongerLeads"
	}
	answer, err := attempt.ask(link, attempt.session.request(attempt.call, posn.Position{}), max(attempt.remaining(), leastAttempt))
	if err != nil {
		link.Discard()
		return attempt.inDoubt(leads.ID, "answerLost"), ""
	}
	if answer.Code == wires.UnknownName {
		clear(link.Shapes)
	}
	link.Put()
	if answer.Code == wires.ReadOnly {
		attempt.group.Demoted(leads.ID)
	}
	if answer.Code.DidNotRun() && answer.Code != wires.Malformed {
		return answer, answer.Code.String()
	}
	if answer.Code != wires.OK {
		return answer, ""
	}
	return attempt.confirm(answer, leads, term), ""
}

// confirm checks that the database still led after it had committed (rule 7).
func (attempt *attempt) confirm(answer wires.Answer, leads dbset.Member, term uint64) wires.Answer {
	engine := attempt.session.engine
	until := engine.now().Add(confirmWait)
	for {
		changed := attempt.group.Changed()
		now := engine.now()
		if attempt.group.Leads(leads.ID, term, now) {
			attempt.session.committed(attempt.group.Name, answer.Position)
			return answer
		}
		if now.After(until) || attempt.group.Term() != term {
			return attempt.inDoubt(leads.ID, "noLongerLeads")
		}
		select {
		case <-changed:
		case <-engine.Clock.After(busyPause):
		}
	}
}

func (attempt *attempt) inDoubt(slot, reason string) wires.Answer {
	attempt.session.engine.Stats.Refusals.Add("inDoubt", 1)
	attempt.session.engine.Log.Write(event.UncertainOutcome, event.Fields{
		"request": attempt.call.ID, "database": attempt.session.database, "group": attempt.group.Name,
		"slot": slot, "reason": reason, "term": attempt.group.Term(),
	})
	return wires.Answer{Code: wires.InDoubt, Text: reason}
}
