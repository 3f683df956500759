package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/acks"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
)

const (
	// defaultRetryAfter is the delay after which a refused caller should retry: about the
	// time to drain a database's queue or to change a lease.
	defaultRetryAfter = 200 * time.Millisecond
	// noLeaseRetryAfter is the delay after which a caller should retry at a VM without a
	// lease: about the time to find a new leader, while other VMs may have one.
	noLeaseRetryAfter = 500 * time.Millisecond
	// reasonNoLease is the reason of refusals for which the VM expects no lease in time.
	reasonNoLease = "noLease"
	// maxAttempts limits the attempts of one read, and those to open a transaction.
	maxAttempts = 6
	// busyRetryDelay is the delay before a saturated database is retried.
	busyRetryDelay = 10 * time.Millisecond
	// reasonBehind is the reason of retries of reads that saw less than the primary's log had.
	reasonBehind = "primaryBehind"
	// confirmTimeout limits the wait for a lease after a write was answered.
	confirmTimeout = 500 * time.Millisecond
	// ackShare/ackShareOf of the remaining time may be spent waiting for
	// a replica's acknowledgement.
	ackShare, ackShareOf = 4, 5
	// minAttemptTimeout is the shortest timeout of one attempt at a database.
	minAttemptTimeout = 250 * time.Millisecond
)

// read runs a single read. It tries up to maxAttempts times, at different databases.
func (session *Session) read(call proto.Call, route config.Route) proto.Answer {
	execution := session.newExecution(call, route)
	if execution.group == nil {
		return execution.refuseBusy("noUpstream")
	}
	for ; execution.attempts < maxAttempts && execution.remaining() > 0; execution.attempts++ {
		choice, ok := execution.chooseMember()
		if !ok {
			return execution.refuseBusy(execution.refusalReason("noDatabase"))
		}
		answer, reason := execution.readAt(choice)
		if reason == "" {
			session.engine.Stats.Routes.Add(string(choice.Reason), 1)
			return answer
		}
		execution.excludeMember(choice.Member.ID)
		execution.recordRetry(choice.Member, reason)
	}
	return execution.refuseBusy("attemptsFailed")
}

// readAt tries a read at one database. A non-empty reason means that the read may be
// retried at another one.
func (execution *execution) readAt(choice dbset.Choice) (proto.Answer, string) {
	conn, err := execution.acquireConn(choice.Member)
	if err != nil {
		return proto.Answer{}, acquireErrorReason(err)
	}
	isPrimary := choice.Reason != dbset.ToReplica
	if isPrimary && !execution.isPrimary(choice.Member.ID) {
		conn.Put()
		return proto.Answer{}, "noLongerLeads"
	}
	timeout := max(execution.remaining()/2, minAttemptTimeout)
	answer, err := execution.send(conn, execution.session.request(conn, execution.call, choice.MinPosition), timeout)
	if err != nil {
		conn.Discard()
		return answer, lossReason(err)
	}
	if answer.Code == proto.OK && !choice.IsAnswered(answer.Position) {
		conn.Discard()
		return answer, reasonBehind
	}
	release(conn, answer)
	if answer.Code == proto.OK || answer.Code == proto.TimedOut || answer.Code == proto.Malformed {
		return answer, ""
	}
	return answer, answer.Code.String()
}

// release returns a connection to its pool after a single statement. It is closed if the
// database had no statement of the name that was prepared there, since it may lack the values
// as well.
func release(conn *dbpool.Conn, answer proto.Answer) {
	if answer.Code == proto.UnknownName {
		conn.Discard()
		return
	}
	conn.Put()
}

// write runs a single write. It is retried only if it is known not to have run.
func (session *Session) write(call proto.Call, route config.Route) proto.Answer {
	execution := session.newExecution(call, route)
	if execution.group == nil {
		return execution.refuseBusy("noUpstream")
	}
	for ; ; execution.attempts++ {
		primary, ok := execution.waitForPrimary()
		if !ok {
			if execution.hasNoLease {
				return execution.refuseBusy(reasonNoLease)
			}
			return execution.refuseBusy("noPrimary")
		}
		answer, reason := execution.writeAt(primary)
		if reason == "" {
			return answer
		}
		execution.recordRetry(primary, reason)
		if execution.dispatchRemaining() <= 0 {
			return execution.refuseBusy(reason)
		}
		execution.waitBeforeRetry()
	}
}

// writeAt tries a write at the primary. A non-empty reason means that it did not run.
func (execution *execution) writeAt(primary dbset.Member) (proto.Answer, string) {
	conn, err := execution.acquireConn(primary)
	if err != nil {
		return proto.Answer{}, acquireErrorReason(err)
	}
	term := execution.group.Term()
	if !execution.isPrimary(primary.ID) {
		conn.Put()
		return proto.Answer{}, "noLongerLeads"
	}
	answer, err := execution.send(conn, execution.session.request(conn, execution.call, posn.Position{}), max(execution.remaining(), minAttemptTimeout))
	if err != nil {
		conn.Discard()
		if errors.Is(err, dbpool.ErrNotSent) {
			return answer, lossReason(err)
		}
		return execution.answerInDoubt(primary.ID, lossReason(err)), ""
	}
	release(conn, answer)
	if answer.Code == proto.ReadOnly {
		execution.group.Demoted(primary.ID)
	}
	if answer.Code.DidNotRun() && answer.Code != proto.Malformed {
		return answer, answer.Code.String()
	}
	if answer.Code != proto.OK {
		return answer, ""
	}
	return execution.confirm(answer, primary, term), ""
}

// confirm checks that a replica has received the commit, and that the database was
// still the primary after that (rule 7). The reason noReceipt means that no replica
// acknowledged the commit.
func (execution *execution) confirm(answer proto.Answer, primary dbset.Member, term uint64) proto.Answer {
	engine := execution.session.engine
	if !execution.awaitAcknowledgement(answer.Position) {
		return execution.answerInDoubt(primary.ID, "noReceipt")
	}
	deadline := engine.now().Add(confirmTimeout)
	for {
		changed := execution.group.Changed()
		now := engine.now()
		if execution.group.Acknowledge(primary.ID, term, answer.Position, now) {
			execution.session.recordCommit(execution.group.Name, answer.Position)
			return answer
		}
		if now.After(deadline) || execution.group.Term() != term {
			return execution.answerInDoubt(primary.ID, "noLongerLeads")
		}
		select {
		case <-changed:
		case <-engine.Clock.After(busyRetryDelay):
		}
	}
}

// awaitAcknowledgement waits until a replica has received the commit, unless the databases
// replicate synchronously, and reports whether the commit may be confirmed.
func (execution *execution) awaitAcknowledgement(position posn.Position) bool {
	engine := execution.session.engine
	if engine.Acks == nil || position.IsZero() || engine.Config.Load().Upstreams[execution.group.Name].SyncReplicas > 0 {
		return true
	}
	switch engine.Acks.Wait(execution.group, position, execution.remaining()*ackShare/ackShareOf) {
	case acks.ReplicaReceived:
		engine.Stats.ReplicaAcks.Add("received", 1)
	case acks.PrimaryOnly:
		engine.Stats.ReplicaAcks.Add("alone", 1)
		engine.Log.Write(event.ConfirmedWithoutAck, withTransactionID(event.Fields{
			"request": execution.call.ID, "group": execution.group.Name, "position": position.String(), "afterMs": execution.elapsedMs(),
		}, execution.transactionID))
	case acks.InDoubt:
		return false
	}
	return true
}

func (execution *execution) answerInDoubt(slot, reason string) proto.Answer {
	execution.session.engine.Stats.Refusals.Add("inDoubt", 1)
	execution.session.engine.Log.Write(event.UncertainOutcome, withTransactionID(event.Fields{
		"request": execution.call.ID, "database": execution.session.database, "group": execution.group.Name,
		"slot": slot, "reason": reason, "term": execution.group.Term(),
	}, execution.transactionID))
	return proto.Answer{Code: proto.InDoubt, Text: reason}
}
