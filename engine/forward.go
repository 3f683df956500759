package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/remote"
)

// forwardMargin is how long after a statement's timeout its answer is awaited from a
// routing VM, which applies the timeout to the database and may still have to confirm a
// commit.
const forwardMargin = 500 * time.Millisecond

// Routers selects the routing VMs of database groups.
type Routers interface {
	// Routers returns the VMs to which requests for a group may be forwarded now, in the
	// order in which they should be tried. Without one, the VM serves them itself.
	Routers(group string) []*remote.Client
}

// routers returns the VMs to which the session may forward a request for a group.
func (session *Session) routers(group string) []*remote.Client {
	if session.engine.Routers == nil || session.isForwarded {
		return nil
	}
	return session.engine.Routers.Routers(group)
}

// forward runs a single statement at a routing VM. It returns false if this VM has to run
// it itself: then it has not run, or may be repeated.
func (session *Session) forward(call proto.Call, route config.Route, writes bool) (proto.Answer, bool) {
	for _, router := range session.routers(route.Upstream) {
		request := session.forwardedRequest(call, route)
		reply, err := router.Forward(request, route.Timeout-request.Elapsed+forwardMargin)
		switch {
		case err == nil && !reply.IsDeclined:
			session.recordForwardedCommit(route.Upstream, reply.LastCommit)
			return reply.Answer, true
		case err == nil || errors.Is(err, remote.ErrNotSent):
			session.recordForwardRetry(call, route, router.VM(), "routerDeclined", "notDispatched")
		case writes:
			return session.answerForwardInDoubt(call, route, router.VM()), true
		default:
			session.recordForwardRetry(call, route, router.VM(), "routerLost", "unknown")
		}
	}
	return proto.Answer{}, false
}

// forwardedRequest returns the request to a routing VM for a call.
func (session *Session) forwardedRequest(call proto.Call, route config.Route) remote.Request {
	now := session.engine.now()
	request := remote.Request{
		TransactionID: session.transactionID(), Database: session.database, Team: session.team, Route: route,
		Values: session.values, Elapsed: now.Sub(session.arrived),
	}
	if session.transaction != nil {
		request.IsReadOnly = session.transaction.readOnly
	}
	if last, ok := session.lastCommits[route.Upstream]; ok {
		request.LastCommit, request.LastCommitAge = last.position, now.Sub(last.at)
	}
	var definition proto.Definition
	if execute, ok := call.Statement.(proto.Execute); ok {
		definition = session.prepared[execute.Name]
	}
	return request.WithCall(call, definition)
}

func (session *Session) recordForwardedCommit(group string, position posn.Position) {
	if !position.IsZero() {
		session.recordCommit(group, position)
	}
}

func (session *Session) recordForwardRetry(call proto.Call, route config.Route, vm, reason, dispatch string) {
	session.engine.Stats.Retries.Add(reason, 1)
	session.engine.Log.Write(event.RequestRetried, withTransactionID(event.Fields{
		"request": call.ID, "group": route.Upstream, "slot": vm, "reason": reason,
		"dispatch": dispatch, "attempt": 0, "afterMs": session.engine.now().Sub(session.arrived).Milliseconds(),
	}, session.transactionID()))
}

func (session *Session) answerForwardInDoubt(call proto.Call, route config.Route, vm string) proto.Answer {
	session.engine.Stats.Refusals.Add("inDoubt", 1)
	session.engine.Log.Write(event.UncertainOutcome, withTransactionID(event.Fields{
		"request": call.ID, "database": session.database, "group": route.Upstream,
		"slot": vm, "reason": "routerLost",
	}, session.transactionID()))
	return proto.Answer{Code: proto.InDoubt, Text: "routerLost"}
}

// forwardInTransaction runs a statement of the open transaction, or its commit, at the
// routing VM where it is open, or opens it at one. It returns false if the transaction is
// open at this VM or no routing VM takes it. The caller ends the transaction after a
// commit.
func (session *Session) forwardInTransaction(call proto.Call, writes bool) (proto.Answer, bool) {
	transaction := session.transaction
	if transaction.conn != nil {
		return proto.Answer{}, false
	}
	if transaction.forwarded != nil {
		answer, _ := session.forwardPinned(call, writes)
		return answer, true
	}
	for _, router := range session.routers(transaction.route.Upstream) {
		opened, err := router.Open()
		if err != nil {
			continue
		}
		transaction.forwarded = opened
		answer, isDeclined := session.forwardPinned(call, writes)
		if !isDeclined {
			return answer, true
		}
		session.recordForwardRetry(call, transaction.route, router.VM(), "routerDeclined", "notDispatched")
	}
	return proto.Answer{}, false
}

// forwardPinned runs a statement, or the commit, at the routing VM of the transaction. If
// isDeclined is true, the VM has not taken the transaction, which is open nowhere then.
func (session *Session) forwardPinned(call proto.Call, writes bool) (answer proto.Answer, isDeclined bool) {
	transaction := session.transaction
	forwarded := transaction.forwarded
	_, isCommit := call.Statement.(proto.Commit)
	if writes {
		transaction.mayHaveWritten = true
	}
	request := session.forwardedRequest(call, transaction.route)
	reply, err := forwarded.Forward(request, transaction.route.Timeout-request.Elapsed+forwardMargin)
	switch {
	case err != nil && isCommit && transaction.mayHaveWritten:
		transaction.forwarded = nil
		return session.answerForwardInDoubt(call, transaction.route, forwarded.VM()), false
	case err != nil:
		// No commit was sent, or there is nothing to commit.
		transaction.abort()
		transaction.isFailureReported = true
		return session.refuse(call, proto.Aborted, "routerLost"), false
	case reply.IsDeclined:
		transaction.forwarded = nil
		return proto.Answer{}, true
	}
	session.recordForwardedCommit(transaction.route.Upstream, reply.LastCommit)
	if reply.Answer.State != proto.Open {
		transaction.forwarded = nil
		transaction.isFailed, transaction.isFailureReported = true, true
	}
	return reply.Answer, false
}
