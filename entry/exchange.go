package entry

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/stmt"

	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/posn"
)

// Errors of an exchange after which the caller has not been answered.
var (
	// errBehindMinPosition is returned if the slot's position is lower than the minimum
	// position.
	errBehindMinPosition = errors.New("position of the slot is lower than the minimum position of the request")
	// errRefusedWrite is returned if the slot is read-only and ran nothing.
	errRefusedWrite = errors.New("slot is read-only and refused the write")
)

// lostError reports that the connection to the database was lost after the request was
// dispatched.
type lostError struct{ cause error }

func (lost *lostError) Error() string {
	return "connection to the database lost: " + lost.cause.Error()
}
func (lost *lostError) Unwrap() error { return lost.cause }

// notSentError returns the error for a request that was not sent.
func notSentError(cause error) *fault.Error {
	failure := fault.Refuse(fault.CodeConnection, fault.ReasonUpstreamLost, "the request was not sent: its connection to the database had unread data or had ended, and was closed")
	failure.Cause = cause
	return failure
}

// exchangeResult summarizes the database's answer.
type exchangeResult struct {
	// isReady is set once ReadyForQuery has arrived. It answers a Sync; a request that ends
	// with a Flush gets none.
	isReady bool
	isError bool
	// tag is the last command tag.
	tag string
}

// exchange is one request and its answer on one connection.
type exchange struct {
	session     *session
	conn        *pool.Conn
	request     *request
	minPosition posn.Position
	answers     *expectedAnswers
	result      exchangeResult
	// isVerified is set once the slot's position is known to cover minPosition.
	isVerified bool
	// isCommandComplete is set after CommandComplete. The rest of the answer is then
	// withheld until the position is acknowledged; once more than maxWithheldBytes has
	// gathered, all of it is sent without waiting.
	isCommandComplete bool
	// canServeAtPrimary is set if the slot refused the request as read-only, and the primary
	// can serve it instead.
	canServeAtPrimary bool
	// isPinned is set if the request belongs to an open transaction of the session.
	isPinned bool
}

// asyncFlushThresholdBytes is the size from which a request is written and its
// answers are read concurrently. Otherwise proxy and database could deadlock, each
// blocked in a write until the other reads. A smaller request fits into the socket
// buffers, so that writing it does not block.
const asyncFlushThresholdBytes = 32 << 10

// exchange sends a request and buffers the answer in the session's output. Rows may be
// sent to the caller early once the slot's position is verified; the end of the answer,
// up to maxWithheldBytes, stays withheld. On a connection with unread data nothing is sent, and
// pool.ErrNotSent is returned.
func (session *session) exchange(conn *pool.Conn, request *request, minPosition posn.Position) (exchangeResult, error) {
	exchange := &exchange{
		session:     session,
		conn:        conn,
		request:     request,
		minPosition: minPosition,
		isVerified:  minPosition.IsZero(),
		isPinned:    session.pinned != nil,
	}
	if err := conn.CheckUnread(); err != nil {
		return exchange.result, err
	}
	exchange.answers = session.sendRequest(conn, request)
	if request.sizeBytes < asyncFlushThresholdBytes {
		if err := conn.Frontend.Flush(); err != nil {
			return exchange.result, &lostError{err}
		}
		return exchange.result, exchange.read()
	}
	flushed := make(chan error, 1)
	go func() { flushed <- conn.Frontend.Flush() }()
	err := exchange.read()
	if flushErr := <-flushed; err == nil && flushErr != nil {
		err = &lostError{flushErr}
	}
	return exchange.result, err
}

func (exchange *exchange) read() error {
	if err := exchange.addLocalAnswers(); err != nil {
		return err
	}
	for !exchange.isDone() {
		message, err := exchange.conn.Receive()
		if err != nil {
			return &lostError{err}
		}
		if err := exchange.handleMessage(message); err != nil {
			return err
		}
	}
	if exchange.canServeAtPrimary {
		return errRefusedWrite
	}
	return nil
}

func (exchange *exchange) isDone() bool {
	if exchange.request.hasSync {
		return exchange.result.isReady
	}
	return exchange.answers.isDone()
}

// addLocalAnswers adds the proxy's own answers that are due to the output.
func (exchange *exchange) addLocalAnswers() error {
	for _, message := range exchange.answers.takeLocal() {
		if err := exchange.session.output.add(message); err != nil {
			return err
		}
	}
	return nil
}

func (exchange *exchange) handleMessage(message pgproto3.BackendMessage) error {
	output := &exchange.session.output
	switch message := message.(type) {
	case *pgproto3.ReadyForQuery:
		exchange.result.isReady = true
		return exchange.addLocalAnswers()
	case *pgproto3.ParameterStatus:
		// Not for the caller: the proxy handles settings and positions itself.
		return nil
	case *pgproto3.ErrorResponse:
		return exchange.handleError(message)
	case *pgproto3.DataRow, *pgproto3.CopyOutResponse, *pgproto3.CopyData:
		if err := exchange.verifyPosition(); err != nil {
			return err
		}
		if err := output.add(message); err != nil {
			return err
		}
		return exchange.flushRows()
	case *pgproto3.CommandComplete:
		if err := exchange.verifyPosition(); err != nil {
			return err
		}
		exchange.isCommandComplete = true
		exchange.result.tag = string(message.CommandTag)
	case *pgproto3.CopyInResponse:
		if err := output.add(message); err != nil {
			return err
		}
		return exchange.copyIn()
	}
	if exchange.answers.match(exchange.conn, message) {
		return exchange.addLocalAnswers()
	}
	if err := output.add(message); err != nil {
		return err
	}
	return exchange.addLocalAnswers()
}

// verifyPosition applies rule 4 to the position that the slot reported before its
// rows. No part of the answer has been sent before this check.
func (exchange *exchange) verifyPosition() error {
	if exchange.isVerified {
		return nil
	}
	if !exchange.conn.Position.AtLeast(exchange.minPosition) {
		return errBehindMinPosition
	}
	exchange.isVerified = true
	return nil
}

// flushRows sends buffered rows to the caller while more arrive. A slow caller
// slows down the slot, since nothing is read from it during the write.
func (exchange *exchange) flushRows() error {
	output := &exchange.session.output
	if exchange.session.isWithholding && output.isWithheldTooLarge() {
		// The rest is read and dropped; the whole request is refused later. One byte more
		// than the limit is kept, so that isWithheldTooLarge stays true.
		output.buffer = output.buffer[:output.released+maxWithheldBytes+1]
	}
	if exchange.isCommandComplete && !output.isWithheldTooLarge() {
		return nil
	}
	if len(output.buffer) < flushThresholdBytes || exchange.session.isWithholding {
		return nil
	}
	output.release()
	return output.flush(exchange.session.conn)
}

// handleError handles an error of the database. A read-only error of a request that can
// be sent to the primary instead only sets canServeAtPrimary; any other error is answered
// with its verdict.
func (exchange *exchange) handleError(message *pgproto3.ErrorResponse) error {
	exchange.result.isError = true
	exchange.answers.abort()
	if !exchange.request.hasSync {
		exchange.session.isSkippingToSync, exchange.session.isSyncOwed = true, true
	}
	isUnsentReadOnlyError := message.Code == fault.CodeReadOnly && !exchange.isPinned && !exchange.session.output.isPartlySent
	if isUnsentReadOnlyError && exchange.request.kind != stmt.BeginReadOnly && !exchange.session.isReadOnly {
		exchange.canServeAtPrimary = true
		return nil
	}
	verdict := fault.NotRun
	if exchange.request.mayCommit && stmt.HasMultiple(exchange.request.text) {
		verdict = fault.Unknown
	}
	if message.Detail != "" {
		message.Detail += "\n"
	}
	message.Detail += "verdict=" + verdict.String()
	return exchange.session.output.add(message)
}

// copyIn forwards the caller's COPY data to the slot.
func (exchange *exchange) copyIn() error {
	session := exchange.session
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
			exchange.conn.Frontend.Send(message)
			return exchange.flushCopy()
		case *pgproto3.Flush, *pgproto3.Sync:
			continue
		default:
			return errors.Newf("unexpected %T during COPY", message)
		}
		exchange.conn.Frontend.Send(message)
		if pending < flushThresholdBytes {
			continue
		}
		pending = 0
		if err := exchange.flushCopy(); err != nil {
			return err
		}
	}
}

func (exchange *exchange) flushCopy() error {
	if err := exchange.conn.Frontend.Flush(); err != nil {
		return &lostError{err}
	}
	return nil
}
