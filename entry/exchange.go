package entry

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/stmt"

	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/posn"
)

// Ends of an exchange that leave the caller unanswered.
var (
	// errBehind says that the slot's answer does not cover the floor.
	errBehind = errors.New("slot is behind the floor")
	// errRefusedWrite says that the slot takes no writes and ran nothing.
	errRefusedWrite = errors.New("slot takes no writes")
)

// lostError says that the upstream connection broke after dispatch.
type lostError struct{ cause error }

func (e *lostError) Error() string { return "upstream connection lost: " + e.cause.Error() }
func (e *lostError) Unwrap() error { return e.cause }

// exchangeOutcome is what an exchange saw.
type exchangeOutcome struct {
	// isReady says that ReadyForQuery came; a Flush doesn't bring one.
	isReady bool
	isError bool
	tag     string
}

// exchange is one request and its answer on one connection.
type exchange struct {
	session *session
	conn    *pool.Conn
	req     *request
	floor   posn.Position
	answers *answerList
	outcome exchangeOutcome
	// isVerified says that the slot's position covers the floor.
	isVerified bool
	// isEnding says that a command is complete: the rest waits for the
	// acknowledgement.
	isEnding bool
	// isRefused says that the slot refused a write.
	isRefused bool
	isPinned  bool
}

// asyncFlushBytes is the size from which a request is written while answers
// are read: both sides could otherwise wait for the other to read.
const asyncFlushBytes = 32 << 10

// exchange gathers the answer in the session's output, and passes on early what
// needs no more checks. The end of the answer is left held back.
func (session *session) exchange(conn *pool.Conn, req *request, floor posn.Position) (exchangeOutcome, error) {
	ex := &exchange{
		session:    session,
		conn:       conn,
		req:        req,
		floor:      floor,
		isVerified: floor.IsZero(),
		isPinned:   session.pinned != nil,
	}
	ex.answers = session.send(conn, req)
	if req.bytes < asyncFlushBytes {
		if err := conn.Frontend.Flush(); err != nil {
			return ex.outcome, &lostError{err}
		}
		return ex.outcome, ex.read()
	}
	flushed := make(chan error, 1)
	go func() { flushed <- conn.Frontend.Flush() }()
	err := ex.read()
	if flushErr := <-flushed; err == nil && flushErr != nil {
		err = &lostError{flushErr}
	}
	return ex.outcome, err
}

func (ex *exchange) read() error {
	if err := ex.addMade(); err != nil {
		return err
	}
	for !ex.isDone() {
		message, err := ex.conn.Receive()
		if err != nil {
			return &lostError{err}
		}
		if err := ex.take(message); err != nil {
			return err
		}
	}
	if ex.isRefused {
		return errRefusedWrite
	}
	return nil
}

func (ex *exchange) isDone() bool {
	if ex.req.hasSync {
		return ex.outcome.isReady
	}
	return ex.answers.isDone()
}

// addMade adds the proxy's own answers that are due.
func (ex *exchange) addMade() error {
	for _, message := range ex.answers.takeMade() {
		if err := ex.session.output.add(message); err != nil {
			return err
		}
	}
	return nil
}

func (ex *exchange) take(message pgproto3.BackendMessage) error {
	output := &ex.session.output
	switch message := message.(type) {
	case *pgproto3.ReadyForQuery:
		ex.outcome.isReady = true
		return ex.addMade()
	case *pgproto3.ParameterStatus:
		// Settings are the proxy's own business, positions too.
		return nil
	case *pgproto3.ErrorResponse:
		return ex.takeError(message)
	case *pgproto3.DataRow, *pgproto3.CopyOutResponse, *pgproto3.CopyData:
		if err := ex.verify(); err != nil {
			return err
		}
		if err := output.add(message); err != nil {
			return err
		}
		return ex.stream()
	case *pgproto3.CommandComplete:
		if err := ex.verify(); err != nil {
			return err
		}
		ex.isEnding = true
		ex.outcome.tag = string(message.CommandTag)
	case *pgproto3.CopyInResponse:
		if err := output.add(message); err != nil {
			return err
		}
		return ex.copyIn()
	}
	if ex.answers.take(ex.conn, message) {
		return ex.addMade()
	}
	if err := output.add(message); err != nil {
		return err
	}
	return ex.addMade()
}

// verify checks rule 4 against the position that the slot reported before its
// rows. Until then nothing of the answer has left.
func (ex *exchange) verify() error {
	if ex.isVerified {
		return nil
	}
	if !ex.conn.Position.AtLeast(ex.floor) {
		return errBehind
	}
	ex.isVerified = true
	return nil
}

// stream passes rows on while they come. A slow caller makes the slot wait,
// since nothing more is read meanwhile.
func (ex *exchange) stream() error {
	output := &ex.session.output
	if ex.session.isHolding && output.isHeldFull() {
		// The rest is read and dropped; the request is refused as a whole.
		output.buffer = output.buffer[:output.safe+holdBytes+1]
	}
	if ex.isEnding && !output.isHeldFull() {
		return nil
	}
	if len(output.buffer) < flushBytes || ex.session.isHolding {
		return nil
	}
	output.release()
	return output.flush(ex.session.conn)
}

func (ex *exchange) takeError(message *pgproto3.ErrorResponse) error {
	ex.outcome.isError = true
	ex.answers.abort()
	if !ex.req.hasSync {
		ex.session.isSkipping, ex.session.owesSync = true, true
	}
	isWriteRefused := message.Code == fault.CodeReadOnly && !ex.isPinned && !ex.session.output.isFlushed
	if isWriteRefused && ex.req.kind != stmt.BeginReadOnly && !ex.session.isReadOnly {
		ex.isRefused = true
		return nil
	}
	verdict := fault.NotRun
	if ex.req.mayCommit && stmt.HasMore(ex.req.text) {
		verdict = fault.Unknown
	}
	if message.Detail != "" {
		message.Detail += "\n"
	}
	message.Detail += "verdict=" + verdict.String()
	return ex.session.output.add(message)
}

// copyIn passes the caller's COPY data to the slot.
func (ex *exchange) copyIn() error {
	session := ex.session
	session.output.release()
	if err := session.output.flush(session.conn); err != nil {
		return err
	}
	pending := 0
	for {
		message, err := session.reader.Receive()
		if err != nil {
			return err
		}
		switch message := message.(type) {
		case *pgproto3.CopyData:
			pending += len(message.Data)
		case *pgproto3.CopyDone, *pgproto3.CopyFail:
			ex.conn.Frontend.Send(message)
			return ex.flushCopy()
		case *pgproto3.Flush, *pgproto3.Sync:
			continue
		default:
			return errors.Newf("unexpected %T during COPY", message)
		}
		ex.conn.Frontend.Send(message)
		if pending < flushBytes {
			continue
		}
		pending = 0
		if err := ex.flushCopy(); err != nil {
			return err
		}
	}
}

func (ex *exchange) flushCopy() error {
	if err := ex.conn.Frontend.Flush(); err != nil {
		return &lostError{err}
	}
	return nil
}
