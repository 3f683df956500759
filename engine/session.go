package engine

import (
	"fmt"
	"maps"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
)

// maxSessionNames limits the values, and separately the prepared statements, of one
// session.
const maxSessionNames = 256

// stoppingTimeout is how long a stopping VM waits for a caller's next statement in a
// transaction, or for the first request of a session.
const stoppingTimeout = 300 * time.Millisecond

// followUpTimeout is how long a stopping VM waits for the next request of a session
// that has just been answered. A request that follows at once may already be in
// transit and would be lost if the session ended with the answer.
const followUpTimeout = 60 * time.Millisecond

// minCallerTimeout is the shortest wait for a caller's next request where the wait has a
// limit, since a timeout of 0 is none.
const minCallerTimeout = time.Millisecond

// commit is a session's last commit in a group.
type commit struct {
	position posn.Position
	at       time.Time
}

// Session is the state of one caller's connection.
type Session struct {
	engine   *Engine
	caller   proto.CallerConn
	database string
	// keyHash is the hash of the caller's key, team the name of its team; empty for a caller
	// without a team. The team is set with isAdmitted, once the session may begin.
	keyHash    config.KeyHash
	team       string
	isAdmitted bool
	// checkedConfig is the configuration by which the key was last checked. revoked is set
	// once and for good, endsAt when the revoked session is idle, isLastAnswer when its next
	// answer is the last. isInterrupted belongs to ApplyKeys.
	checkedConfig *config.Config
	revoked       atomic.Pointer[revocation]
	endsAt        time.Time
	isLastAnswer  bool
	isInterrupted bool
	values        map[string]string
	prepared      map[string]proto.Definition
	lastCommits   map[string]commit
	transaction   *transaction
	answerCount   int
	// arrived is when the request in progress was received, answeredAt when the last one was
	// served.
	arrived    time.Time
	answeredAt time.Time
	// requestID is the ID of the request in progress, refusalReason why this VM refused it, use
	// the last use of a connection.
	requestID     string
	refusalReason string
	use           dbpool.Use
	// isForwarded is set if another VM forwards the session's requests to this one.
	isForwarded bool
	// ownCommit is the position of the last commit that the session has made here.
	ownCommit posn.Position
}

func (session *Session) route() (config.Route, bool) {
	current := session.engine.Config.Load()
	if current == nil {
		return config.Route{}, false
	}
	route, ok := current.Routes[session.database]
	return route, ok
}

// groupName returns the name of the session's database group for the metrics, or "none"
// without a route.
func (session *Session) groupName() string {
	if route, ok := session.route(); ok {
		return route.Upstream
	}
	return "none"
}

func (session *Session) run() {
	session.answeredAt = session.engine.now()
	for {
		session.checkKey()
		if session.isOver() {
			return
		}
		call, err := session.caller.Next(session.callerTimeout())
		switch {
		case errors.Is(err, proto.ErrIdle):
			if session.transaction == nil && session.engine.hasReached(Closing) {
				return
			}
			session.abortIdleTransaction()
			continue
		case err != nil:
			return
		}
		if !session.isForwarded {
			session.arrived = session.engine.now()
		}
		session.requestID, session.refusalReason = call.ID, ""
		session.checkKey()
		answer := session.serve(call)
		session.answeredAt = session.engine.now()
		if !session.isForwarded {
			took := session.answeredAt.Sub(session.arrived)
			session.engine.Stats.Answered(session.groupName(), kindOf(call.Statement), answer.Code.String(), took)
			session.countForTeam(answer)
		}
		answer.State = session.state()
		if session.caller.Reply(answer) != nil || session.isLastAnswer {
			return
		}
		session.answerCount++
	}
}

// serve answers a call, or refuses it if the session was revoked or the VM accepts no more
// requests.
func (session *Session) serve(call proto.Call) proto.Answer {
	if answer, ok := session.refuseRevoked(call); ok {
		return answer
	}
	if !session.engine.hasReached(Refusing) {
		return session.handle(call)
	}
	if session.transaction != nil && !session.transaction.isFailed {
		session.transaction.abort()
		session.transaction.isFailureReported = true
		return session.refuse(call, proto.Aborted, "stopping")
	}
	if session.transaction != nil {
		return session.handle(call)
	}
	return session.refuse(call, proto.Busy, "stopping")
}

// callerTimeout returns how long the session waits for its caller's next request; 0
// means no limit.
func (session *Session) callerTimeout() time.Duration {
	if session.transaction == nil && session.engine.hasReached(Closing) {
		if session.answerCount == 0 {
			return stoppingTimeout
		}
		return followUpTimeout
	}
	revoked := session.revoked.Load()
	switch {
	case session.transaction == nil && revoked != nil:
		return max(session.endsAt.Sub(session.engine.now()), minCallerTimeout)
	case session.transaction == nil || session.transaction.isFailed:
		return 0
	}
	idle := session.engine.Config.Load().Limits.TransactionIdle
	if session.engine.hasReached(Ending) {
		return min(idle, stoppingTimeout)
	}
	now := session.engine.now()
	if idle > 0 {
		idle = max(session.answeredAt.Add(idle).Sub(now), minCallerTimeout)
	}
	if revoked == nil {
		return idle
	}
	grace := max(revoked.at.Add(revocationGrace).Sub(now), minCallerTimeout)
	if idle == 0 {
		return grace
	}
	return min(idle, grace)
}

// abortIdleTransaction rolls back the open transaction of a caller that exceeded the idle
// timeout, whose VM stops, or whose key was revoked longer ago than the grace period, and
// releases its connection. Otherwise the wait was only interrupted, and goes on.
func (session *Session) abortIdleTransaction() {
	transaction := session.transaction
	if transaction == nil || transaction.isFailed {
		return
	}
	idle := session.engine.Config.Load().Limits.TransactionIdle
	isExpired := idle > 0 && !session.engine.now().Before(session.answeredAt.Add(idle))
	switch {
	case session.engine.hasReached(Ending) || isExpired || session.isForwarded:
		session.engine.Stats.Refusals.Add("idleInTransaction", 1)
	case session.isPastGrace():
		session.engine.Stats.Refusals.Add("keyRevoked", 1)
	default:
		return
	}
	transaction.abort()
}

func (session *Session) state() proto.State {
	switch {
	case session.transaction == nil:
		return proto.Idle
	case session.transaction.isFailed:
		return proto.Broken
	}
	return proto.Open
}

// abandon rolls back the open transaction of a caller that has disconnected.
func (session *Session) abandon() {
	if session.transaction != nil {
		session.transaction.abort()
		session.transaction = nil
	}
}

// containPanic ends the session after an unexpected error, so that the VM serves on. It is
// deferred. The connection in use is closed, since its state is unknown.
func (session *Session) containPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	session.engine.Stats.Refusals.Add("panic", 1)
	session.engine.Log.Write(event.PanicContained, event.Fields{
		"request": session.requestID, "error": fmt.Sprint(cause), "stack": string(debug.Stack()),
	})
	session.use.Abandon()
	if session.transaction != nil {
		session.transaction.conn = nil
	}
}

func (session *Session) handle(call proto.Call) proto.Answer {
	if session.transaction != nil && session.transaction.isFailed {
		return session.handleFailed(call)
	}
	switch statement := call.Statement.(type) {
	case proto.Assign:
		return session.assign(statement)
	case proto.Prepare:
		return session.prepare(statement)
	case proto.Deallocate:
		delete(session.prepared, statement.Name)
		return proto.Answer{}
	case proto.Begin:
		return session.begin(call, statement)
	case proto.Rollback:
		return session.rollback()
	case proto.Commit:
		return session.commit(call)
	case proto.Read:
		return session.execute(call, false)
	case proto.Write:
		return session.execute(call, true)
	case proto.Execute:
		definition, ok := session.prepared[statement.Name]
		if !ok {
			return proto.Answer{Code: proto.UnknownName, Text: statement.Name}
		}
		return session.execute(call, definition.Writes)
	case proto.TooLong:
		return proto.Answer{Code: proto.Malformed, Text: fmt.Sprintf("statement has %d bytes, beyond the limit of %d", statement.Length, statement.Limit)}
	}
	return proto.Answer{Code: proto.Malformed, Text: "statement is not understood"}
}

// handleFailed answers a call within a failed transaction.
func (session *Session) handleFailed(call proto.Call) proto.Answer {
	switch call.Statement.(type) {
	case proto.Rollback:
		session.transaction = nil
		return proto.Answer{}
	case proto.Commit:
		session.transaction = nil
		return proto.Answer{Code: proto.Aborted, Text: "transaction was rolled back"}
	}
	if session.transaction.isFailureReported {
		return proto.Answer{Code: proto.Malformed, Text: "transaction has failed"}
	}
	session.transaction.isFailureReported = true
	return session.refuse(call, proto.Aborted, "transactionEnded")
}

func (session *Session) assign(statement proto.Assign) proto.Answer {
	if len(session.values) >= maxSessionNames {
		if _, ok := session.values[statement.Name]; !ok {
			return proto.Answer{Code: proto.Malformed, Text: "too many session values"}
		}
	}
	session.values[statement.Name] = statement.Value
	return proto.Answer{}
}

func (session *Session) prepare(statement proto.Prepare) proto.Answer {
	if len(session.prepared) >= maxSessionNames {
		if _, ok := session.prepared[statement.Name]; !ok {
			return proto.Answer{Code: proto.Malformed, Text: "too many prepared statements"}
		}
	}
	session.prepared[statement.Name] = statement.Definition
	return proto.Answer{}
}

// execute runs a read or a write, in the open transaction or as a single statement.
func (session *Session) execute(call proto.Call, writes bool) proto.Answer {
	if session.transaction != nil {
		return session.executeInTransaction(call, writes)
	}
	route, ok := session.route()
	if !ok {
		return session.refuse(call, proto.UnknownDatabase, "noRoute")
	}
	if answer, ok := session.takeToken(call, route); !ok {
		return answer
	}
	if answer, ok := session.forward(call, route, writes); ok {
		return answer
	}
	if writes {
		return session.write(call, route)
	}
	return session.read(call, route)
}

// refuse counts and logs a refusal, and returns its answer.
func (session *Session) refuse(call proto.Call, code proto.Code, reason string) proto.Answer {
	return session.refuseAfter(nil, call, code, reason)
}

// refuseAfter is refuse for a request that may have been attempted; execution is nil if
// it was not.
func (session *Session) refuseAfter(execution *execution, call proto.Call, code proto.Code, reason string) proto.Answer {
	fields := event.Fields{}
	transactionID := session.transactionID()
	if execution != nil {
		fields["attempt"], fields["afterMs"], transactionID = execution.attempts, execution.elapsedMs(), execution.transactionID
	}
	retryAfter := defaultRetryAfter
	if reason == reasonNoLease {
		retryAfter = noLeaseRetryAfter
	}
	return session.answerRefusal(call, code, reason, retryAfter, withTransactionID(fields, transactionID))
}

// answerRefusal counts a refusal, logs it with more fields, and returns its answer. Where the
// code is proto.Busy, the answer says to retry after retryAfter.
func (session *Session) answerRefusal(call proto.Call, code proto.Code, reason string, retryAfter time.Duration, fields event.Fields) proto.Answer {
	session.refusalReason = reason
	session.engine.Stats.Refusals.Add(reason, 1)
	if session.team != "" {
		fields["team"] = session.team
	}
	maps.Copy(fields, event.Fields{"request": call.ID, "database": session.database, "code": code.String(), "reason": reason})
	session.engine.Log.Write(event.RequestRefused, fields)
	text := reason
	if code == proto.Busy {
		text += fmt.Sprintf(" retryAfterMs=%d", max(retryAfter.Milliseconds(), 1))
	}
	return proto.Answer{Code: code, Text: text}
}

// transactionID returns the ID of the request that opened the session's transaction, by
// which log lines identify the whole transaction; empty outside a transaction.
func (session *Session) transactionID() string {
	if session.transaction == nil {
		return ""
	}
	return session.transaction.id
}

// withTransactionID adds transactionID to the fields of a log line unless it is empty.
func withTransactionID(fields event.Fields, transactionID string) event.Fields {
	if transactionID != "" {
		fields["transaction"] = transactionID
	}
	return fields
}

// recordCommit stores the position of a commit, which later reads of the session must
// include.
func (session *Session) recordCommit(group string, position posn.Position) {
	session.ownCommit = position
	if previous := session.lastCommits[group]; !previous.position.AtLeast(position) || previous.position.IsZero() {
		session.lastCommits[group] = commit{position: position, at: session.engine.now()}
	}
}

func (session *Session) valuesMatch(values map[string]string) bool {
	return maps.Equal(session.values, values)
}

// kindOf returns the name of a statement's kind for the latency histograms.
func kindOf(statement proto.Statement) string {
	switch statement.(type) {
	case proto.Read:
		return "read"
	case proto.Write:
		return "write"
	case proto.Execute:
		return "execute"
	case proto.Commit:
		return "commit"
	}
	return "other"
}
