package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/remote"
)

// rollbackTimeout limits the rollback of a transaction at the database.
const rollbackTimeout = 500 * time.Millisecond

// transaction is a session's open transaction. It is assigned a connection at its
// first statement, or at COMMIT if it has none.
type transaction struct {
	// id is the ID of the request that opened the transaction.
	id       string
	route    config.Route
	readOnly bool
	conn     *dbpool.Conn
	term     uint64
	// forwarded is the transaction at the routing VM where it is open; nil if it is open at
	// this VM or nowhere.
	forwarded *remote.ClientTransaction
	// mayHaveWritten is set before the first writing statement is sent, so that it
	// holds also if the statement's answer is lost.
	mayHaveWritten bool
	// hasToken is set once a token of the team's quota was taken for the transaction.
	hasToken bool
	isFailed bool
	// isFailureReported is set once the caller has received an answer that reports
	// the failure.
	isFailureReported bool
}

// abort rolls the transaction back at the database, releases its connection and marks
// it as failed. It is used after a failure, for the caller's own ROLLBACK, after the
// caller has disconnected, and for a transaction that is still open after its commit.
func (transaction *transaction) abort() {
	transaction.isFailed = true
	if transaction.forwarded != nil {
		transaction.forwarded.Abort()
		transaction.forwarded = nil
	}
	conn := transaction.conn
	transaction.conn = nil
	if conn == nil {
		return
	}
	answer, err := conn.Ask(proto.AbortTransaction{}, rollbackTimeout)
	if err != nil || answer.Code != proto.OK || answer.State != proto.Idle {
		conn.Discard()
		return
	}
	conn.Put()
}

// discardConn closes the connection, upon which the database rolls back, and marks the
// transaction as failed and reported.
func (transaction *transaction) discardConn() {
	transaction.isFailed, transaction.isFailureReported = true, true
	if transaction.conn != nil {
		transaction.conn.Discard()
		transaction.conn = nil
	}
}

func (session *Session) begin(call proto.Call, statement proto.Begin) proto.Answer {
	if session.transaction != nil {
		return proto.Answer{Code: proto.Malformed, Text: "a transaction is open"}
	}
	route, ok := session.route()
	if !ok {
		return session.refuse(call, proto.UnknownDatabase, "noRoute")
	}
	session.transaction = &transaction{id: call.ID, route: route, readOnly: statement.ReadOnly}
	return proto.Answer{}
}

func (session *Session) rollback() proto.Answer {
	if session.transaction == nil {
		return proto.Answer{Code: proto.Malformed, Text: "no transaction is open"}
	}
	session.transaction.abort()
	session.transaction = nil
	return proto.Answer{}
}

// executeInTransaction runs a statement of the open transaction.
func (session *Session) executeInTransaction(call proto.Call, writes bool) proto.Answer {
	if answer, ok := session.takeTransactionToken(call); !ok {
		return answer
	}
	if answer, ok := session.forwardInTransaction(call, writes); ok {
		return answer
	}
	transaction := session.transaction
	execution := session.newExecution(call, transaction.route)
	if answer, ok := session.pin(execution); !ok {
		return answer
	}
	if err := session.restore(transaction.conn, call, true); err != nil {
		transaction.discardConn()
		return session.refuse(call, proto.Aborted, "connectionLost")
	}
	if writes {
		transaction.mayHaveWritten = true
	}
	answer, err := execution.sendPinned(transaction.conn, session.request(transaction.conn, call, posn.Position{}))
	if err != nil {
		// No commit was sent, so closing the connection rolls the transaction back.
		transaction.discardConn()
		return session.refuse(call, proto.Aborted, lossReason(err))
	}
	if answer.Code == proto.OK {
		return answer
	}
	session.recordDemotion(execution, answer)
	transaction.isFailureReported = true
	if answer.Code == proto.UnknownName {
		transaction.discardConn()
	}
	transaction.abort()
	if answer.Code == proto.Failed {
		return answer
	}
	return session.refuse(call, proto.Aborted, answer.Code.String())
}

// recordDemotion records in the group that a database is no longer the primary, if it
// refused a statement of a read-write transaction as read-only.
func (session *Session) recordDemotion(execution *execution, answer proto.Answer) {
	if answer.Code == proto.ReadOnly && !session.transaction.readOnly && session.transaction.conn != nil {
		execution.group.Demoted(session.transaction.conn.Member.ID)
	}
}

// sendPinned sends a request on a transaction's connection. If the database answers Busy with the
// transaction still open, and dispatchRemaining is not used up, it retries the request: a second
// Busy could be the first one again, and counts as a lost answer. A commit is not retried, since it
// would be in doubt then.
func (execution *execution) sendPinned(conn *dbpool.Conn, request proto.Request) (proto.Answer, error) {
	conn.SetActive()
	defer conn.SetIdle()
	forward, _ := request.(proto.Forward)
	isCommit := forward.IsCommit
	for {
		answer, err := execution.send(conn, request, max(execution.remaining(), minAttemptTimeout))
		isRetried := !isCommit && answer.Code == proto.Busy && answer.State == proto.Open && execution.dispatchRemaining() > 0
		if err != nil || !isRetried {
			return answer, err
		}
		execution.session.engine.Stats.Retries.Add("busy", 1)
		execution.waitBeforeRetry()
	}
}

// pin assigns a connection to the transaction, unless it has one, and opens the
// transaction on it. It returns true if the transaction has a connection. Otherwise the
// transaction is marked as failed, and the answer for the caller is returned with false.
func (session *Session) pin(execution *execution) (proto.Answer, bool) {
	transaction := session.transaction
	if transaction.conn != nil {
		return proto.Answer{}, true
	}
	if execution.group == nil {
		transaction.isFailed, transaction.isFailureReported = true, true
		return execution.refuseBusy("noUpstream"), false
	}
	for ; execution.attempts < maxAttempts; execution.attempts++ {
		choice, ok := execution.chooseForTransaction(transaction)
		if !ok {
			break
		}
		reason := session.openTransaction(execution, choice)
		if reason == "" {
			return proto.Answer{}, true
		}
		execution.excludeMember(choice.Member.ID)
		execution.recordRetry(choice.Member, reason)
	}
	transaction.isFailed, transaction.isFailureReported = true, true
	return execution.refuseBusy(execution.refusalReason("noDatabase")), false
}

func (execution *execution) chooseForTransaction(transaction *transaction) (dbset.Choice, bool) {
	if transaction.readOnly {
		return execution.chooseMember()
	}
	primary, ok := execution.waitForPrimary()
	return execution.group.ChoosePrimary(primary), ok
}

// openTransaction opens the transaction at a database. A non-empty reason means that it
// was not opened.
func (session *Session) openTransaction(execution *execution, choice dbset.Choice) string {
	transaction := session.transaction
	conn, err := execution.takeConn(choice.Member)
	if err != nil {
		return acquireErrorReason(err)
	}
	transaction.term = execution.group.Term()
	isReplica := choice.Reason == dbset.ToReplica
	if !isReplica && !execution.isPrimary(choice.Member.ID) {
		conn.Put()
		return "noLongerLeads"
	}
	answer, err := execution.start(conn, proto.Start{ID: transaction.id, ReadOnly: transaction.readOnly, MinPosition: choice.MinPosition})
	switch {
	case err != nil:
		conn.Discard()
		return lossReason(err)
	case answer.Code != proto.OK:
		if answer.Code == proto.ReadOnly {
			execution.group.Demoted(choice.Member.ID)
		}
		conn.Put()
		return answer.Code.String()
	case !choice.IsAnswered(answer.Position):
		conn.Discard()
		return reasonBehind
	}
	session.engine.Stats.Routes.Add(string(choice.Reason), 1)
	transaction.conn = conn
	return ""
}

// start prepares a connection and starts the transaction on it, and records the outcome with
// the group.
func (execution *execution) start(conn *dbpool.Conn, start proto.Start) (proto.Answer, error) {
	clock, id := execution.session.engine.Clock, conn.Member.ID
	execution.group.Begin(id)
	defer execution.group.End(id)
	began := clock.Now()
	answer, err := execution.session.restoreAndStart(conn, execution.call, start)
	now := clock.Now()
	if err != nil {
		execution.recordFailure(id, err)
		return answer, err
	}
	execution.group.Answered(id, answer.Position, began, now)
	if answer.Code == proto.Busy {
		conn.Overload()
	}
	return answer, nil
}

// commit commits the open transaction. If a value that was set since its last statement can't
// be restored, or the commit can't be sent, it is rolled back with its connection instead. If the
// answer is lost, the commit is in doubt if the transaction may have written, and otherwise
// answered as Aborted. A successful commit with writes is confirmed first (rule 7). Codes by
// which the commit did not run are answered as Aborted; any other answer is passed on unchanged.
func (session *Session) commit(call proto.Call) proto.Answer {
	transaction := session.transaction
	if transaction == nil {
		return proto.Answer{Code: proto.Malformed, Text: "no transaction is open"}
	}
	if answer, ok := session.takeTransactionToken(call); !ok {
		session.transaction = nil
		return answer
	}
	if answer, ok := session.forwardInTransaction(call, false); ok {
		session.transaction = nil
		return answer
	}
	execution := session.newExecution(call, transaction.route)
	answer, ok := session.pin(execution)
	if !ok {
		session.transaction = nil
		return answer
	}
	conn := transaction.conn
	if err := session.restore(conn, call, true); err != nil {
		transaction.discardConn()
		answer := session.refuse(call, proto.Aborted, "connectionLost")
		session.transaction = nil
		return answer
	}
	answer, err := execution.sendPinned(conn, proto.Forward{ID: call.ID, Text: call.Text, IsCommit: true})
	session.transaction = nil
	if err != nil {
		conn.Discard()
		if transaction.mayHaveWritten && !errors.Is(err, dbpool.ErrNotSent) {
			return execution.answerInDoubt(conn.Member.ID, lossReason(err))
		}
		return session.refuse(call, proto.Aborted, lossReason(err))
	}
	session.releaseAfterCommit(conn, answer)
	switch {
	case answer.Code == proto.OK && transaction.mayHaveWritten:
		return execution.confirm(answer, conn.Member, transaction.term)
	case answer.Code == proto.ReadOnly:
		execution.group.Demoted(conn.Member.ID)
		return session.refuse(call, proto.Aborted, answer.Code.String())
	case answer.Code.DidNotRun():
		return session.refuse(call, proto.Aborted, answer.Code.String())
	}
	return answer
}

// releaseAfterCommit returns the connection to its pool after a commit. If the
// transaction is still open, it is rolled back first.
func (session *Session) releaseAfterCommit(conn *dbpool.Conn, answer proto.Answer) {
	if answer.State == proto.Idle {
		conn.Put()
		return
	}
	ended := transaction{conn: conn}
	ended.abort()
}
