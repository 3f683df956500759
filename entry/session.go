package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/stmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/frame"
	"github.com/bramleydoor/bramleydoor/holder"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/posn"
)

// session is one caller's connection.
type session struct {
	server *Server
	conn   net.Conn
	// backend serves the startup; reader and sender take over after that, since
	// it keeps a buffer for as long as it lives.
	backend *pgproto3.Backend
	source  *startupReader
	reader  *frame.Reader
	sender  sender
	holder  *holder.Holder

	user     string
	database string
	pid      uint32
	secret   []byte

	// status is the transaction status that the caller was told last.
	status byte
	// pinned is the connection of the open transaction (rule 14).
	pinned *pool.Conn
	// pinnedFloor is what answers in the open transaction must cover.
	pinnedFloor posn.Position
	// isBroken says that the open transaction was lost with its connection: it
	// takes nothing more until the caller ends it.
	isBroken bool
	// isSkipping discards extended messages up to Sync after an error.
	isSkipping bool
	// owesSync says that the pinned connection skips messages too, up to a Sync
	// that it has not been sent.
	owesSync bool

	floor    posn.Position
	hasFloor bool
	// lastWrite is when the session last sent something to the primary.
	lastWrite time.Time
	// told is the position of the token that was reported last.
	told posn.Position

	statements map[string]*statement
	portals    map[string]*statement
	batch      []pgproto3.FrontendMessage
	batchBytes int
	// executed are the statements that the batch executes, in order.
	executed []*statement

	settings settings
	// outer are the settings that hold again when SET LOCAL ends.
	outer            settings
	upstreamSettings []upstreamSetting
	isReadOnly       bool

	output output
	// isAged says that a replica answers a read of a stated age.
	isAged bool
	// isHolding keeps the whole answer back until the commit.
	isHolding bool
	// writes are texts that a replica refused as writes.
	writes map[uint64]struct{}

	mu         sync.Mutex
	active     *pool.Conn
	stopWait   context.CancelFunc
	isStopping bool
	// isCancelled says that a cancel request ended the wait for a connection.
	isCancelled bool
	// isIdle says that the session waits for its caller at a request boundary.
	isIdle bool
}

func (session *session) run(ctx context.Context) {
	session.statements = make(map[string]*statement)
	session.portals = make(map[string]*statement)
	session.reader = &frame.Reader{Conn: session.conn, MaxBody: session.server.MaxMessage}
	session.reader.Unread(session.source.rest())
	defer session.reader.Release()
	session.sender.conn = session.conn
	session.backend, session.source = nil, nil
	defer session.abandon()
	for {
		if !session.beginReceive() {
			session.sayStopping()
			return
		}
		message, err := session.reader.Receive()
		session.endReceive()
		if err != nil {
			session.endInput(err)
			return
		}
		if err := session.handle(ctx, message); err != nil {
			session.endInput(err)
			return
		}
	}
}

var errTerminated = errors.New("caller has ended the session")

func (session *session) atBoundary() bool { return session.status == 'I' && len(session.batch) == 0 }

func (session *session) shouldStop() bool {
	session.mu.Lock()
	defer session.mu.Unlock()
	return session.isStopping
}

// idleInTransaction is how long an open transaction may wait for its caller. Its
// connection is scarce.
const idleInTransaction = time.Minute

// beginReceive prepares to wait for the caller; false if the session should
// stop instead.
func (session *session) beginReceive() bool {
	if session.pinned != nil {
		_ = session.conn.SetReadDeadline(time.Now().Add(idleInTransaction))
		return true
	}
	if !session.atBoundary() {
		return true
	}
	session.mu.Lock()
	defer session.mu.Unlock()
	session.isIdle = !session.isStopping
	return session.isIdle
}

func (session *session) endReceive() {
	session.mu.Lock()
	wasWoken := session.isIdle && session.isStopping
	session.isIdle = false
	session.mu.Unlock()
	if wasWoken || session.pinned != nil {
		_ = session.conn.SetReadDeadline(time.Time{})
	}
}

// stop makes the session end at its next request boundary.
func (session *session) stop() {
	session.mu.Lock()
	defer session.mu.Unlock()
	session.isStopping = true
	if session.isIdle {
		// A session that waits for its caller is woken by the deadline. Bytes of a
		// request that arrive now are not read, so it is true that it did not run.
		_ = session.conn.SetReadDeadline(time.Now())
	}
}

func (session *session) sayStopping() {
	failure := fault.Refuse(fault.CodeStopping, fault.ReasonStopping, "the VM is stopping; connect again")
	session.sender.Send(errorResponse("FATAL", failure))
	_ = session.sender.Flush()
}

// sayIdle ends a session whose transaction waited too long for its caller.
func (session *session) sayIdle() {
	failure := fault.Refuse(codeIdle, fault.ReasonIdle, "the transaction was rolled back: nothing came for too long")
	session.server.Stats.Refuse(failure.Reason)
	session.sender.Send(errorResponse("FATAL", failure))
	_ = session.sender.Flush()
}

// codeIdle is idle_in_transaction_session_timeout.
const codeIdle = "25P03"

// endInput handles the end of the caller's input.
func (session *session) endInput(err error) {
	var timeout net.Error
	switch {
	case errors.Is(err, errTerminated):
	case errors.As(err, &timeout) && timeout.Timeout() && session.pinned != nil:
		session.sayIdle()
	case errors.As(err, &timeout) && timeout.Timeout() && session.shouldStop():
		session.sayStopping()
	case isProtocolError(err):
		session.server.Stats.Refuse(fault.ReasonBadMessage)
		session.server.Events.Write(event.CallerBroke, event.Fields{"error": err.Error(), "remote": session.conn.RemoteAddr().String()})
		failure := fault.Refuse(fault.CodeProtocol, fault.ReasonBadMessage, "malformed or oversized message")
		session.sender.Send(errorResponse("FATAL", failure))
		_ = session.sender.Flush()
	}
}

// isProtocolError tells malformed input from a connection that just ended.
func isProtocolError(err error) bool {
	var network net.Error
	return !errors.As(err, &network) && !isEOF(err)
}

// abandon gives up what the session still holds. An open transaction is rolled
// back by the upstream when its connection closes.
func (session *session) abandon() {
	if session.pinned != nil {
		session.holder.Pool.Discard(session.pinned)
		session.pinned = nil
	}
}

func (session *session) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Terminate:
		return errTerminated
	case *pgproto3.Query:
		return session.handleQuery(ctx, message.String)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		if session.isSkipping {
			return nil
		}
		if err := session.collect(message); err != nil {
			return session.failBatch(err)
		}
		return nil
	case *pgproto3.Sync:
		return session.handleSync(ctx, message)
	case *pgproto3.Flush:
		return session.handleFlush(ctx, message)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// What a caller still sends after a COPY has failed is dropped, as the
		// protocol wants it.
		return nil
	case *pgproto3.FunctionCall:
		failure := fault.Refuse(fault.CodeUnsupported, fault.ReasonUnsupported, "function calls are not supported")
		return session.answerError(failure, true)
	}
	return errors.Newf("unexpected message %T", message)
}

// failBatch answers an error and skips to the Sync.
func (session *session) failBatch(err error) error {
	session.batch, session.batchBytes, session.executed = nil, 0, nil
	session.isSkipping = true
	return session.answerError(fault.From(err), false)
}

func (session *session) handleSync(ctx context.Context, sync *pgproto3.Sync) error {
	owesSync := session.owesSync && session.pinned != nil
	session.owesSync = false
	if session.isSkipping && !owesSync {
		session.isSkipping = false
		return session.answerReady()
	}
	session.isSkipping = false
	req := session.takeBatch(sync)
	if len(req.messages) == 1 && session.pinned == nil {
		return session.answerReady()
	}
	return session.serve(ctx, req)
}

func (session *session) handleFlush(ctx context.Context, flush *pgproto3.Flush) error {
	if session.isSkipping || len(session.batch) == 0 {
		return nil
	}
	return session.serve(ctx, session.takeBatch(flush))
}

func (session *session) handleQuery(ctx context.Context, text string) error {
	req := &request{
		messages:  []pgproto3.FrontendMessage{&pgproto3.Query{String: text}},
		kind:      stmt.Classify(text),
		mayCommit: stmt.MayCommit(text),
		isSimple:  true,
		hasSync:   true,
		text:      text,
		bytes:     len(text),
	}
	if req.kind == stmt.Read && session.isKnownWrite(text) {
		req.kind = stmt.Write
	}
	return session.serve(ctx, req)
}

// serve answers one request: by the proxy itself, or by a slot.
func (session *session) serve(ctx context.Context, req *request) error {
	session.server.Stats.Requests.Add(1)
	handled, err := session.serveLocal(ctx, req)
	if !handled {
		err = session.dispatch(ctx, req)
	}
	session.closeStatements(req)
	if err == nil {
		session.holder.Succeed()
		return nil
	}
	var failure *fault.Error
	if !errors.As(err, &failure) {
		return err
	}
	if failure.Verdict == fault.NotRun && session.takeCancel() {
		failure = fault.Refuse(codeCancelled, fault.ReasonCancelled, "cancelled before it ran")
	}
	session.server.Stats.Refuse(failure.Reason)
	if failure.Verdict == fault.Unknown {
		session.server.Events.Write(event.UncertainOutcome, event.Fields{"database": session.database, "reason": string(failure.Reason), "error": failure.Error()})
	}
	if !req.hasSync {
		session.isSkipping = true
	}
	return session.answerError(failure, req.hasSync)
}

// who is the session as the pool knows it.
func (session *session) who() pool.Session {
	return pool.Session{ID: uint64(session.pid), Caller: session.user}
}

func (session *session) raiseFloor(position posn.Position) {
	session.floor = posn.Max(session.floor, position)
}

// readFloor is the position that a read must cover. A caller without a token
// may have roamed here from another VM (rule 2).
func (session *session) readFloor(ctx context.Context) (posn.Position, error) {
	if session.hasFloor || session.settings.staleness > 0 {
		return session.floor, nil
	}
	session.server.Stats.Confirmations.Add(1)
	floor, err := session.holder.Watch.Confirm(ctx)
	if err != nil {
		return posn.Position{}, err
	}
	session.raiseFloor(floor)
	session.hasFloor = true
	return session.floor, nil
}

// setActive tells cancel where the session's request runs.
func (session *session) setActive(conn *pool.Conn) {
	session.mu.Lock()
	defer session.mu.Unlock()
	session.active = conn
}

// breakOff ends a wait for the upstream, whatever becomes of the request.
func (session *session) breakOff() {
	session.mu.Lock()
	defer session.mu.Unlock()
	if session.stopWait != nil {
		session.stopWait()
	}
	if session.active != nil {
		session.active.Close()
	}
}

func (session *session) cancel() {
	session.mu.Lock()
	defer session.mu.Unlock()
	if session.active != nil {
		session.holder.Cancel(session.active)
		return
	}
	if session.stopWait != nil {
		session.isCancelled = true
		session.stopWait()
	}
}

// codeCancelled is query_canceled.
const codeCancelled = "57014"

// takeCancel reports whether the request was cancelled while it waited.
func (session *session) takeCancel() bool {
	session.mu.Lock()
	defer session.mu.Unlock()
	wasCancelled := session.isCancelled
	session.isCancelled = false
	return wasCancelled
}
