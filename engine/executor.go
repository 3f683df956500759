package engine

import (
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/remote"
)

// Executor runs requests that other VMs forward to this one. It never forwards them again.
type Executor struct{ Engine *Engine }

var _ remote.Executor = Executor{}

// Execute runs a single statement.
func (executor Executor) Execute(request remote.Request) remote.Reply {
	engine := executor.Engine
	if engine.declines(request) {
		return engine.decline()
	}
	engine.forwarded.Add(1)
	defer engine.forwarded.Add(-1)
	session := engine.newForwardedSession(request)
	call := request.Call()
	// The answer after a panic: the request may have run.
	answer := proto.Answer{Code: proto.InDoubt, Text: "panic"}
	session.runForwarded(call, request, &answer)
	answer.State = proto.Idle
	return session.reply(answer)
}

// runForwarded runs a single statement and stores its answer.
func (session *Session) runForwarded(call proto.Call, request remote.Request, answer *proto.Answer) {
	defer session.containPanic()
	session.requestID = call.ID
	if request.Writes() {
		*answer = session.write(call, request.Route)
	} else {
		*answer = session.read(call, request.Route)
	}
}

// declines reports whether another VM should run the request: this VM is stopping, does not
// know the database group, or can't reach the primary that other VMs still use.
func (engine *Engine) declines(request remote.Request) bool {
	if engine.hasReached(Declining) {
		return true
	}
	group := engine.Groups.Group(request.Route.Upstream)
	if group == nil {
		return true
	}
	now := engine.now()
	needsPrimary := request.Writes() || request.Route.Access == config.Current || request.Transaction != 0 && !request.IsReadOnly
	return needsPrimary && group.HasLease(now) && group.View(now).IsUnreachable
}

func (engine *Engine) decline() remote.Reply {
	return remote.Reply{IsDeclined: true, IsStopping: engine.hasReached(Declining)}
}

// newForwardedSession returns the state of another VM's session that the request needs.
func (engine *Engine) newForwardedSession(request remote.Request) *Session {
	session := &Session{
		engine: engine, isForwarded: true, database: request.Database, team: request.Team,
		lastCommits: make(map[string]commit),
	}
	session.apply(request)
	if !request.LastCommit.IsZero() {
		session.lastCommits[request.Route.Upstream] = commit{
			position: request.LastCommit, at: engine.now().Add(-request.LastCommitAge),
		}
	}
	return session
}

// apply takes over the session state that may change between the statements of a
// transaction.
func (session *Session) apply(request remote.Request) {
	session.arrived = session.engine.now().Add(-request.Elapsed)
	session.values = request.Values
	session.prepared = map[string]proto.Definition{request.Name: request.Definition}
}

// reply returns the reply with an answer and the commit that the request made.
func (session *Session) reply(answer proto.Answer) remote.Reply {
	return remote.Reply{Answer: answer, LastCommit: session.ownCommit}
}

// Open opens a transaction by its first statement.
func (executor Executor) Open(request remote.Request) (remote.Transaction, remote.Reply) {
	engine := executor.Engine
	if engine.declines(request) {
		return nil, engine.decline()
	}
	forwarded := &forwardedTransaction{
		engine: engine, requests: make(chan remote.Request), replies: make(chan remote.Reply),
		interrupted: make(chan struct{}, 1), closed: make(chan struct{}), ended: make(chan struct{}),
	}
	session := engine.newForwardedSession(request)
	session.caller = forwarded
	session.transaction = &transaction{id: request.TransactionID, route: request.Route, readOnly: request.IsReadOnly}
	forwarded.session = session
	engine.add(session)
	go func() {
		defer close(forwarded.ended)
		defer engine.remove(session)
		defer session.abandon()
		defer session.containPanic()
		session.run()
	}()
	reply := forwarded.Execute(request)
	if reply.Answer.State != proto.Open {
		return nil, reply
	}
	return forwarded, reply
}

// forwardedTransaction is the caller's side of the session that runs another VM's
// transaction.
type forwardedTransaction struct {
	engine      *Engine
	session     *Session
	requests    chan remote.Request
	replies     chan remote.Reply
	interrupted chan struct{}
	// closed is closed by Close, ended when the session has ended.
	closeOnce sync.Once
	closed    chan struct{}
	ended     chan struct{}
	// isOver is set once the transaction is not open any more.
	isOver bool
}

var (
	_ remote.Transaction = &forwardedTransaction{}
	_ proto.CallerConn   = &forwardedTransaction{}
)

// Execute runs a statement of the transaction.
func (forwarded *forwardedTransaction) Execute(request remote.Request) remote.Reply {
	select {
	case forwarded.requests <- request:
	case <-forwarded.ended:
		return remote.Reply{Answer: proto.Answer{Code: proto.Aborted, Text: "transactionEnded", State: proto.Broken}}
	}
	select {
	case reply := <-forwarded.replies:
		return reply
	case <-forwarded.ended:
		// The session ended without an answer, so a commit may have run.
		code := proto.Aborted
		if request.Kind == remote.Commit {
			code = proto.InDoubt
		}
		return remote.Reply{Answer: proto.Answer{Code: code, Text: "transactionEnded", State: proto.Broken}}
	}
}

// Close rolls the transaction back once its statement in progress has ended.
func (forwarded *forwardedTransaction) Close() {
	forwarded.closeOnce.Do(func() { close(forwarded.closed) })
}

// Next returns the next statement of the transaction.
func (forwarded *forwardedTransaction) Next(timeout time.Duration) (proto.Call, error) {
	if forwarded.isOver {
		return proto.Call{}, proto.ErrLost
	}
	var expired <-chan time.Time
	if timeout > 0 {
		expired = forwarded.engine.Clock.After(timeout)
	}
	select {
	case request := <-forwarded.requests:
		forwarded.session.apply(request)
		return request.Call(), nil
	case <-forwarded.closed:
		return proto.Call{}, proto.ErrLost
	case <-forwarded.interrupted:
		return proto.Call{}, proto.ErrIdle
	case <-expired:
		return proto.Call{}, proto.ErrIdle
	}
}

// Reply passes the answer to Execute.
func (forwarded *forwardedTransaction) Reply(answer proto.Answer) error {
	forwarded.isOver = answer.State != proto.Open
	forwarded.replies <- forwarded.session.reply(answer)
	return nil
}

// Interrupt ends the wait for the next statement.
func (forwarded *forwardedTransaction) Interrupt() {
	select {
	case forwarded.interrupted <- struct{}{}:
	default:
	}
}
