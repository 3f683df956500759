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
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/router"
)

// session is one caller's connection.
type session struct {
	server *Server
	conn   net.Conn
	// backend is used for the startup only, since it keeps its buffer for its whole
	// lifetime. After the startup, reader and sender are used.
	backend       *pgproto3.Backend
	startupReader *startupReader
	reader        *frame.Reader
	sender        sender
	router        *router.Router

	user     string
	database string
	pid      uint32
	secret   []byte

	// status is the transaction status in the last ReadyForQuery to the caller.
	status byte
	// pinned is the connection of the open transaction, or nil (rule 14).
	pinned *pool.Conn
	// pinnedMinPosition is the minimum position for answers in the open transaction.
	pinnedMinPosition posn.Position
	// isTransactionLost is set after the connection of an open transaction was lost.
	// Statements are then refused until the caller ends the transaction.
	isTransactionLost bool
	// isSkippingToSync is set after an error: extended-protocol messages are
	// discarded up to the next Sync.
	isSkippingToSync bool
	// isSyncOwed is set if the database on the pinned connection also discards
	// messages, until it is sent a Sync.
	isSyncOwed bool

	// minPosition is the minimum position that the session's reads must cover. It is valid
	// if hasMinPosition is set; else it must first be confirmed (rule 2).
	minPosition    posn.Position
	hasMinPosition bool
	// lastWrite is when the session's last write to the primary started.
	lastWrite time.Time
	// reportedMinPosition is the position of the token that was last sent to the caller.
	reportedMinPosition posn.Position

	statements map[string]*statement
	portals    map[string]*statement
	batch      []pgproto3.FrontendMessage
	// batchStatements has the prepared statement of each message of the batch, or nil.
	batchStatements []*statement
	batchBytes      int

	settings settings
	// sessionSettings are the settings without SET LOCAL. They are restored when the
	// transaction ends.
	sessionSettings  settings
	upstreamSettings []upstreamSetting
	isReadOnly       bool
	// savedSettings and savedReadOnly are upstreamSettings and isReadOnly before the open
	// transaction.
	savedSettings []upstreamSetting
	savedReadOnly bool
	// settingsDropped counts how often settings were dropped that connections may still have.
	settingsDropped uint32

	output output
	// isStaleRead is set while a replica answers a read with bounded staleness.
	isStaleRead bool
	// isWithholding is set while the whole answer is withheld until the commit.
	isWithholding bool
	// writeTexts has the hashes of statement texts that a replica refused as writes.
	writeTexts map[uint64]struct{}

	// mu guards the fields below.
	mu         sync.Mutex
	activeConn *pool.Conn
	cancelWait context.CancelFunc
	isStopping bool
	// isCancelled is set if a cancel request ended the wait for a connection.
	isCancelled bool
	// isIdle is set while the session waits for the next request at a boundary.
	isIdle bool
}

// run handles the caller's messages until the connection or the session ends.
func (session *session) run(ctx context.Context) {
	session.statements = make(map[string]*statement)
	session.portals = make(map[string]*statement)
	session.reader = &frame.Reader{Conn: session.conn, MaxBodyBytes: session.server.MaxMessageBytes}
	session.reader.Unread(session.startupReader.unread())
	defer session.reader.Release()
	session.sender.conn = session.conn
	session.backend, session.startupReader = nil, nil
	defer session.discardPinned()
	for {
		if !session.beginReceive() {
			session.sendStopping()
			return
		}
		message, err := session.reader.Receive()
		session.endReceive()
		if err != nil {
			session.handleInputError(err)
			return
		}
		if err := session.handle(ctx, message); err != nil {
			session.handleInputError(err)
			return
		}
	}
}

var errTerminated = errors.New("caller terminated the session")

// isAtBoundary reports whether the session is outside of a transaction and a batch.
func (session *session) isAtBoundary() bool { return session.status == 'I' && len(session.batch) == 0 }

func (session *session) isStopRequested() bool {
	session.mu.Lock()
	defer session.mu.Unlock()
	return session.isStopping
}

// idleInTransactionTimeout bounds the wait for a caller's next message in an open
// transaction, since the transaction occupies a connection of the limited share. The
// error message states it.
const idleInTransactionTimeout = time.Minute

// beginReceive prepares to wait for the caller's next message. It returns false if
// the session must stop instead.
func (session *session) beginReceive() bool {
	if session.pinned != nil {
		_ = session.conn.SetReadDeadline(time.Now().Add(idleInTransactionTimeout))
		return true
	}
	if !session.isAtBoundary() {
		return true
	}
	session.mu.Lock()
	defer session.mu.Unlock()
	session.isIdle = !session.isStopping
	return session.isIdle
}

func (session *session) endReceive() {
	session.mu.Lock()
	wasInterrupted := session.isIdle && session.isStopping
	session.isIdle = false
	session.mu.Unlock()
	if wasInterrupted || session.pinned != nil {
		_ = session.conn.SetReadDeadline(time.Time{})
	}
}

// stop makes the session end at its next request boundary.
func (session *session) stop() {
	session.mu.Lock()
	defer session.mu.Unlock()
	session.isStopping = true
	if session.isIdle {
		// The deadline interrupts the wait for the caller. A request that arrives from
		// now on is not read, so the caller is correctly told that it did not run.
		_ = session.conn.SetReadDeadline(time.Now())
	}
}

// sendStopping reports to the caller that the session ends because the VM stops.
func (session *session) sendStopping() {
	failure := fault.Refuse(fault.CodeStopping, fault.ReasonStopping, "the VM is shutting down; connect again")
	session.sender.Send(errorResponse("FATAL", failure))
	_ = session.sender.Flush()
}

// sendIdleTimeout reports to the caller that its idle transaction has timed out.
func (session *session) sendIdleTimeout() {
	failure := fault.Refuse(codeIdleInTransaction, fault.ReasonIdle, "the transaction was rolled back: no message arrived for 1 minute")
	session.server.Stats.RecordRefusal(failure.Reason)
	session.sender.Send(errorResponse("FATAL", failure))
	_ = session.sender.Flush()
}

const codeIdleInTransaction = "25P03" // idle_in_transaction_session_timeout

// handleInputError reports the error that ends the session to the caller, where the
// protocol has a message for it.
func (session *session) handleInputError(err error) {
	var timeout net.Error
	switch {
	case errors.Is(err, errTerminated):
	case errors.As(err, &timeout) && timeout.Timeout() && session.pinned != nil:
		session.sendIdleTimeout()
	case errors.As(err, &timeout) && timeout.Timeout() && session.isStopRequested():
		session.sendStopping()
	case isProtocolError(err):
		session.server.Stats.RecordRefusal(fault.ReasonBadMessage)
		session.server.Events.Write(event.CallerBroke, event.Fields{"error": err.Error(), "remote": session.conn.RemoteAddr().String()})
		failure := fault.Refuse(fault.CodeProtocol, fault.ReasonBadMessage, "malformed message, or message over the size limit")
		session.sender.Send(errorResponse("FATAL", failure))
		_ = session.sender.Flush()
	}
}

// isProtocolError reports whether an error is due to malformed input, and not to a
// closed or failed connection.
func isProtocolError(err error) bool {
	var network net.Error
	return !errors.As(err, &network) && !isEOF(err)
}

// discardPinned closes the connection of an open transaction, if there is one. The
// database then rolls the transaction back.
func (session *session) discardPinned() {
	if session.pinned != nil {
		session.router.Pool.Discard(session.pinned)
		session.pinned = nil
	}
}

// handle processes one message of the caller. An error ends the session.
func (session *session) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Terminate:
		return errTerminated
	case *pgproto3.Query:
		return session.handleQuery(ctx, message.String)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		if session.isSkippingToSync {
			return nil
		}
		if err := session.collectMessage(message); err != nil {
			return session.failBatch(err)
		}
		return nil
	case *pgproto3.Sync:
		return session.handleSync(ctx, message)
	case *pgproto3.Flush:
		return session.handleFlush(ctx, message)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// After a failed COPY, the protocol requires that the caller's remaining COPY
		// messages are dropped.
		return nil
	case *pgproto3.FunctionCall:
		failure := fault.Refuse(fault.CodeUnsupported, fault.ReasonUnsupported, "function calls are not supported")
		return session.answerError(failure, true)
	}
	return errors.Newf("unexpected message %T", message)
}

// failBatch answers with an error and discards messages up to the next Sync.
func (session *session) failBatch(err error) error {
	session.batch, session.batchStatements, session.batchBytes = nil, nil, 0
	session.isSkippingToSync = true
	return session.answerError(fault.From(err), false)
}

func (session *session) handleSync(ctx context.Context, syncMessage *pgproto3.Sync) error {
	isSyncOwed := session.isSyncOwed && session.pinned != nil
	session.isSyncOwed = false
	if session.isSkippingToSync && !isSyncOwed {
		session.isSkippingToSync = false
		return session.answerReady()
	}
	session.isSkippingToSync = false
	request := session.takeBatch(syncMessage)
	if len(request.messages) == 1 && session.pinned == nil {
		return session.answerReady()
	}
	return session.serve(ctx, request)
}

func (session *session) handleFlush(ctx context.Context, flushMessage *pgproto3.Flush) error {
	if session.isSkippingToSync || len(session.batch) == 0 {
		return nil
	}
	return session.serve(ctx, session.takeBatch(flushMessage))
}

func (session *session) handleQuery(ctx context.Context, text string) error {
	request := &request{
		messages:  []pgproto3.FrontendMessage{&pgproto3.Query{String: text}},
		kind:      stmt.Classify(text),
		mayCommit: stmt.MayCommit(text),
		isSimple:  true,
		hasSync:   true,
		text:      text,
		sizeBytes: len(text),
	}
	if request.kind == stmt.Read && session.isKnownWrite(text) {
		request.kind = stmt.Write
	}
	return session.serve(ctx, request)
}

// serve answers one request, either in the proxy or on a slot.
func (session *session) serve(ctx context.Context, request *request) error {
	session.server.Stats.Requests.Add(1)
	handled, err := session.serveLocal(ctx, request)
	if !handled {
		err = session.dispatch(ctx, request)
	}
	if err == nil {
		session.router.RecordSuccess()
		return nil
	}
	var failure *fault.Error
	if !errors.As(err, &failure) {
		return err
	}
	if failure.Verdict == fault.NotRun && session.resetCancelled() {
		failure = fault.Refuse(codeCancelled, fault.ReasonCancelled, "the request was cancelled before it ran")
	}
	session.server.Stats.RecordRefusal(failure.Reason)
	if failure.Verdict == fault.Unknown {
		session.server.Events.Write(event.UncertainOutcome, event.Fields{"database": session.database, "reason": string(failure.Reason), "error": failure.Error()})
	}
	if !request.hasSync {
		session.isSkippingToSync = true
	}
	return session.answerError(failure, request.hasSync)
}

// pidBits is the size of a process ID.
const pidBits = 32

// poolSession identifies the session and its caller to the pool. After settings were dropped
// the session counts as another one, so that connections which it used before are reset.
func (session *session) poolSession() pool.Session {
	return pool.Session{ID: uint64(session.settingsDropped)<<pidBits | uint64(session.pid), Caller: session.user}
}

func (session *session) raiseMinPosition(position posn.Position) {
	session.minPosition = posn.Max(session.minPosition, position)
}

// readMinPosition returns the minimum position for a read. A caller without a token may
// have moved here from another VM, so the position is then confirmed by a majority
// of slots (rule 2). A read with bounded staleness needs no confirmation.
func (session *session) readMinPosition(ctx context.Context) (posn.Position, error) {
	if session.hasMinPosition || session.settings.staleness > 0 {
		return session.minPosition, nil
	}
	session.server.Stats.Confirmations.Add(1)
	minPosition, err := session.router.Watch.Confirm(ctx)
	if err != nil {
		return posn.Position{}, err
	}
	session.raiseMinPosition(minPosition)
	session.hasMinPosition = true
	return session.minPosition, nil
}

// setActive records the connection that runs the session's request, or nil.
func (session *session) setActive(conn *pool.Conn) {
	session.mu.Lock()
	defer session.mu.Unlock()
	session.activeConn = conn
}

// abortRequest ends the session's wait for a connection and closes the connection to
// the database that is in use. Whether the request has run is then unknown.
func (session *session) abortRequest() {
	session.mu.Lock()
	defer session.mu.Unlock()
	if session.cancelWait != nil {
		session.cancelWait()
	}
	if session.activeConn != nil {
		session.activeConn.Close()
	}
}

// cancel cancels the running request on its slot, or ends its wait for a connection.
func (session *session) cancel() {
	session.mu.Lock()
	defer session.mu.Unlock()
	if session.activeConn != nil {
		session.router.Cancel(session.activeConn)
		return
	}
	if session.cancelWait != nil {
		session.isCancelled = true
		session.cancelWait()
	}
}

const codeCancelled = "57014" // query_canceled

// resetCancelled reports whether the request was cancelled while it waited for a
// connection, and clears the flag.
func (session *session) resetCancelled() bool {
	session.mu.Lock()
	defer session.mu.Unlock()
	wasCancelled := session.isCancelled
	session.isCancelled = false
	return wasCancelled
}
