package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/admit"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/proto"
)

// A statement may wait for its dispatch for dispatchShare/dispatchShareOf of its
// timeout. The rest is left for its execution, or for a retry by its caller.
const (
	dispatchShare   = 9
	dispatchShareOf = 20
)

// execution is the processing of one request of a session, over all its attempts.
type execution struct {
	session *Session
	call    proto.Call
	route   config.Route
	group   *dbset.Group
	arrived time.Time
	// transactionID is the ID of the request that opened the transaction; empty
	// outside a transaction.
	transactionID string
	attempts      int
	exclude       map[string]bool
	// isSaturated is set when no connection to a database became free in time.
	isSaturated bool
	// hasNoLease is set when the VM has no lease and none is expected in time.
	hasNoLease bool
}

func (session *Session) newExecution(call proto.Call, route config.Route) *execution {
	return &execution{
		session: session, call: call, route: route,
		group: session.engine.Groups.Group(route.Upstream), arrived: session.arrived,
		transactionID: session.transactionID(),
	}
}

// remaining returns the time until the statement's timeout.
func (execution *execution) remaining() time.Duration {
	return execution.route.Timeout - execution.session.engine.now().Sub(execution.arrived)
}

// dispatchRemaining returns how long the statement may still wait for its dispatch:
// long enough to outlast a short queue, and short enough for the caller to retry
// within its own time limit.
func (execution *execution) dispatchRemaining() time.Duration {
	return execution.remaining() - execution.route.Timeout*(dispatchShareOf-dispatchShare)/dispatchShareOf
}

func (execution *execution) admissionRequest() admit.Request {
	return admit.Request{
		Priority: execution.route.Priority, Due: execution.arrived.Add(execution.route.Target), Aim: execution.route.Target,
		MaxWait: execution.dispatchRemaining(), MaxStandingWait: execution.route.Target / 2,
		Team: execution.session.team,
	}
}

func (execution *execution) excludeMember(id string) {
	if execution.exclude == nil {
		execution.exclude = make(map[string]bool)
	}
	execution.exclude[id] = true
}

// chooseMember returns a database for a read. If none is eligible, it waits for one
// until dispatchRemaining is used up. It doesn't wait once a database was saturated, or
// while the read needs the primary and no lease is expected.
func (execution *execution) chooseMember() (dbset.Choice, bool) {
	for {
		changed := execution.group.Changed()
		now := execution.session.engine.now()
		choice := execution.chooseMemberNow(now)
		if choice.Reason != dbset.Nowhere {
			return choice, true
		}
		if execution.isSaturated || execution.lacksLease(now) || !execution.waitForChange(changed) {
			return choice, false
		}
		execution.exclude = nil
	}
}

// lacksLease reports, and records for the refusal, whether a read for which no database is
// eligible needs a lease that is not expected. A read with bounded staleness that has
// available replicas lacks a minimum position, which comes with a lease too.
func (execution *execution) lacksLease(now time.Time) bool {
	needsLease := execution.route.Access == config.Current || len(execution.group.ReplicasToAsk(now)) > 0
	execution.hasNoLease = needsLease && !execution.group.MayExpectLease(now)
	return execution.hasNoLease
}

func (execution *execution) chooseMemberNow(now time.Time) dbset.Choice {
	if execution.route.Access == config.Current {
		primary, ok := execution.group.Primary(now)
		if !ok || execution.exclude[primary.ID] {
			return dbset.Choice{Reason: dbset.Nowhere}
		}
		return execution.group.ChoosePrimary(primary)
	}
	query := dbset.Query{
		MaxStaleness: execution.route.MaxStaleness, Exclude: execution.exclude, Team: execution.session.team,
		Arrived: execution.arrived, Now: now,
	}
	if execution.route.Access == config.ReadYourWrites {
		lastCommit := execution.session.lastCommits[execution.group.Name]
		query.SessionPosition, query.SessionPositionAt = lastCommit.position, lastCommit.at
	}
	return execution.group.Choose(query)
}

// waitForChange waits until changed is closed or the poll interval has passed. It
// returns false once dispatchRemaining is used up.
func (execution *execution) waitForChange(changed <-chan struct{}) bool {
	const pollInterval = 50 * time.Millisecond
	remaining := execution.dispatchRemaining()
	if remaining <= 0 {
		return false
	}
	timer := execution.session.engine.Clock.After(min(remaining, pollInterval))
	select {
	case <-changed:
	case <-timer:
	}
	return true
}

// acquireConn returns a connection to the database on which the session's values and
// the call's prepared statement are set.
func (execution *execution) acquireConn(member dbset.Member) (*dbpool.Conn, error) {
	conn, err := execution.takeConn(member)
	if err != nil {
		return nil, err
	}
	if err := execution.session.restore(conn, execution.call, false); err != nil {
		execution.recordFailure(member.ID, err)
		conn.Discard()
		return nil, err
	}
	return conn, nil
}

// takeConn returns a connection to the database as its last user left it.
func (execution *execution) takeConn(member dbset.Member) (*dbpool.Conn, error) {
	pool := execution.session.engine.Pools.Pool(member.ID)
	if pool == nil {
		return nil, dbpool.ErrClosed
	}
	execution.group.Begin(member.ID)
	defer execution.group.End(member.ID)
	conn, err := pool.Get(execution.admissionRequest(), execution.session.restoreCost)
	switch {
	case errors.Is(err, dbpool.ErrDial):
		execution.group.Failed(member.ID, dbpool.IsRefused(err), execution.session.engine.now())
	case errors.Is(err, dbpool.ErrWrongDatabase):
		execution.group.Absent(member.ID, execution.session.engine.now())
	}
	if err != nil {
		execution.isSaturated = execution.isSaturated || errors.Is(err, dbpool.ErrNoConn)
		return nil, err
	}
	execution.session.use = conn.Use()
	return conn, nil
}

// send sends a request and records its outcome and latency with the group and the
// connection pool.
func (execution *execution) send(conn *dbpool.Conn, request proto.Request, timeout time.Duration) (proto.Answer, error) {
	clock, id := execution.session.engine.Clock, conn.Member.ID
	execution.group.Begin(id)
	defer execution.group.End(id)
	began := clock.Now()
	answer, err := conn.Ask(request, timeout)
	if err != nil {
		execution.recordFailure(id, err)
		return answer, err
	}
	now := clock.Now()
	if answer.Code.DidNotRun() {
		execution.group.Answered(id, answer.Position, began, now)
	} else {
		execution.group.Done(id, answer.Position, began, now)
	}
	switch answer.Code {
	case proto.OK:
		conn.Observe(now.Sub(began))
	case proto.Busy:
		conn.Overload()
	}
	return answer, nil
}

// recordFailure records with the group that a request to a database failed, if it was sent.
func (execution *execution) recordFailure(id string, err error) {
	if !errors.Is(err, dbpool.ErrNotSent) {
		execution.group.Failed(id, false, execution.session.engine.now())
	}
}

// lossReason returns why a request has no answer: "connectionLost" if it was not sent.
func lossReason(err error) string {
	if errors.Is(err, dbpool.ErrNotSent) {
		return "connectionLost"
	}
	return "answerLost"
}

func (execution *execution) refuseBusy(reason string) proto.Answer {
	return execution.session.refuseAfter(execution, execution.call, proto.Busy, reason)
}

// refusalReason returns why a request was not sent: "noRoom" if a database was
// saturated, "noLease" if no lease is expected, otherwise reason.
func (execution *execution) refusalReason(reason string) string {
	switch {
	case execution.isSaturated:
		return "noRoom"
	case execution.hasNoLease:
		return reasonNoLease
	}
	return reason
}

// dispatchState returns whether an attempt that failed for reason was sent, and whether
// its outcome is known.
func dispatchState(reason string) string {
	switch reason {
	case "noRoom", "connectFailed", "otherDatabase", "connectionLost", "noLongerLeads":
		return "notDispatched"
	case "answerLost":
		return "unknown"
	}
	return "known"
}

// elapsedMs returns the time since the request arrived, in ms.
func (execution *execution) elapsedMs() int64 {
	return execution.session.engine.now().Sub(execution.arrived).Milliseconds()
}

func (execution *execution) recordRetry(member dbset.Member, reason string) {
	execution.session.engine.Stats.Retries.Add(reason, 1)
	execution.session.engine.Log.Write(event.RequestRetried, withTransactionID(event.Fields{
		"request": execution.call.ID, "group": execution.group.Name, "slot": member.ID, "reason": reason,
		"dispatch": dispatchState(reason), "attempt": execution.attempts, "afterMs": execution.elapsedMs(),
	}, execution.transactionID))
}

func (execution *execution) isPrimary(id string) bool {
	primary, ok := execution.group.Primary(execution.session.engine.now())
	return ok && primary.ID == id
}

func acquireErrorReason(err error) string {
	switch {
	case errors.Is(err, dbpool.ErrNoConn):
		return "noRoom"
	case errors.Is(err, dbpool.ErrDial):
		return "connectFailed"
	case errors.Is(err, dbpool.ErrWrongDatabase):
		return "otherDatabase"
	}
	return "connectionLost"
}

// waitForPrimary returns the primary once the VM has a lease for it. It waits for that
// until dispatchRemaining is used up, but not while no lease is expected: the caller may
// find another VM that has one.
func (execution *execution) waitForPrimary() (dbset.Member, bool) {
	for {
		changed := execution.group.Changed()
		now := execution.session.engine.now()
		if primary, ok := execution.group.Primary(now); ok {
			return primary, true
		}
		execution.hasNoLease = !execution.group.MayExpectLease(now)
		if execution.hasNoLease || !execution.waitForChange(changed) {
			return dbset.Member{}, false
		}
	}
}

func (execution *execution) waitBeforeRetry() {
	<-execution.session.engine.Clock.After(busyRetryDelay)
}
