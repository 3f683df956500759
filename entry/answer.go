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

// Sizes of the output buffer.
const (
	// flushBytes is how much is gathered before it is written to the caller.
	flushBytes = 32 << 10
	// holdBytes bounds what is held back for a check or an acknowledgement.
	holdBytes = 256 << 10
	// keepBytes is the largest buffer that is kept for another session.
	keepBytes = 64 << 10
)

// writeTimeout is how long a caller may take nothing of its answer. Until then
// the upstream connection waits with it.
const writeTimeout = 30 * time.Second

// output gathers the answer to one request. Bytes after safe are held back:
// they can still be taken back, as if nothing had been answered.
type output struct {
	buffer []byte
	safe   int
	// isFlushed says that part of the answer is on its way.
	isFlushed bool
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

func (output *output) open() {
	output.buffer = (*buffers.Get().(*[]byte))[:0]
	output.safe, output.isFlushed = 0, false
}

// close returns the buffer, so that an idle caller has none.
func (output *output) close() {
	if cap(output.buffer) <= keepBytes {
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

// release lets go of everything gathered so far.
func (output *output) release() { output.safe = len(output.buffer) }

// takeBack drops what is held back.
func (output *output) takeBack() { output.buffer = output.buffer[:output.safe] }

func (output *output) isHeldFull() bool { return len(output.buffer)-output.safe > holdBytes }

func (output *output) flush(conn net.Conn) error {
	if output.safe == 0 {
		return nil
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write(output.buffer[:output.safe]); err != nil {
		return err
	}
	rest := copy(output.buffer, output.buffer[output.safe:])
	output.buffer = output.buffer[:rest]
	output.safe = 0
	output.isFlushed = true
	return nil
}

func isEOF(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe)
}

// answerError sends an error, and the end of the answer if ready.
func (session *session) answerError(failure *fault.Error, ready bool) error {
	session.sender.Send(errorResponse("ERROR", failure))
	if ready {
		return session.answerReady()
	}
	return session.sender.Flush()
}

func (session *session) answerReady() error {
	session.sender.Send(&pgproto3.ReadyForQuery{TxStatus: session.status})
	return session.sender.Flush()
}

// answerTag answers a simple statement that the proxy carried out itself.
func (session *session) answerTag(tag string) error {
	session.sender.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return session.answerReady()
}
