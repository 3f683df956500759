package entry

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/fault"
)

// Sizes of the output buffer, in bytes.
const (
	// flushThresholdBytes is the buffered size at which rows are written to the
	// caller.
	flushThresholdBytes = 32 << 10
	// maxWithheldBytes bounds the part of an answer that is withheld until it is
	// verified or acknowledged. The error message for a request with a key states it.
	maxWithheldBytes = 256 << 10
	// maxPooledBytes is the capacity above which a buffer is not reused for another
	// session.
	maxPooledBytes = 64 << 10
)

// writeTimeout bounds each write to a caller. A caller that does not read its
// answer occupies a connection to the database until then.
const writeTimeout = 30 * time.Second

// output buffers the answer to one request. The bytes after released are
// withheld: they can still be discarded, as if nothing had been answered.
type output struct {
	buffer   []byte
	released int
	// isPartlySent is set after the first successful flush of released bytes. A failed
	// flush may also have written bytes to the caller.
	isPartlySent bool
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

func (output *output) open() {
	output.buffer = (*buffers.Get().(*[]byte))[:0]
	output.released, output.isPartlySent = 0, false
}

// close returns the buffer to the pool, so that an idle session has none.
func (output *output) close() {
	if cap(output.buffer) <= maxPooledBytes {
		buffer := output.buffer
		buffers.Put(&buffer)
	}
	output.buffer = nil
}

func (output *output) add(message pgproto3.BackendMessage) error {
	var err error
	output.buffer, err = message.Encode(output.buffer)
	return err
}

// release allows everything buffered so far to be sent.
func (output *output) release() { output.released = len(output.buffer) }

// discardWithheld drops the bytes that have not been released.
func (output *output) discardWithheld() { output.buffer = output.buffer[:output.released] }

func (output *output) isWithheldTooLarge() bool {
	return len(output.buffer)-output.released > maxWithheldBytes
}

// flush writes the released bytes to the caller.
func (output *output) flush(conn net.Conn) error {
	if output.released == 0 {
		return nil
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write(output.buffer[:output.released]); err != nil {
		return err
	}
	rest := copy(output.buffer, output.buffer[output.released:])
	output.buffer = output.buffer[:rest]
	output.released = 0
	output.isPartlySent = true
	return nil
}

func isEOF(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe)
}

// answerError sends an error, followed by ReadyForQuery if withReady is set.
func (session *session) answerError(failure *fault.Error, withReady bool) error {
	session.sender.Send(errorResponse("ERROR", failure))
	if withReady {
		return session.answerReady()
	}
	return session.sender.Flush()
}

func (session *session) answerReady() error {
	session.sender.Send(&pgproto3.ReadyForQuery{TxStatus: session.status})
	return session.sender.Flush()
}

// answerCommandTag answers a simple statement that the proxy ran itself.
func (session *session) answerCommandTag(tag string) error {
	session.sender.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return session.answerReady()
}
