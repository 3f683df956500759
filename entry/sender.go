package entry

import (
	"bufio"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// sender writes short answers of the proxy's own. Between answers it holds no
// buffer.
type sender struct {
	conn   net.Conn
	buffer []byte
	err    error
}

// Send adds a message to the answer.
func (sender *sender) Send(message pgproto3.BackendMessage) {
	if sender.buffer == nil {
		sender.buffer = (*buffers.Get().(*[]byte))[:0]
	}
	next, err := message.Encode(sender.buffer)
	if err != nil {
		sender.err = err
		return
	}
	sender.buffer = next
}

// Flush writes the answer.
func (sender *sender) Flush() error {
	buffer, err := sender.buffer, sender.err
	sender.buffer, sender.err = nil, nil
	if buffer == nil || err != nil {
		return err
	}
	_, err = sender.conn.Write(buffer)
	if cap(buffer) <= keepBytes {
		buffers.Put(&buffer)
	}
	return err
}

// startupBytes is the size of the startup's buffer.
const startupBytes = 512

// startupReader lets the protocol library read a startup and not a byte more: it
// takes what it asks for, and keeps all that it gets.
type startupReader struct{ buffered *bufio.Reader }

func newStartupReader(conn net.Conn) *startupReader {
	return &startupReader{bufio.NewReaderSize(conn, startupBytes)}
}

// Read returns one byte, so that the library stops reading once it has enough.
func (reader *startupReader) Read(target []byte) (int, error) {
	return reader.buffered.Read(target[:min(len(target), 1)])
}

// rest is what the caller sent after its startup.
func (reader *startupReader) rest() []byte {
	rest, _ := reader.buffered.Peek(reader.buffered.Buffered())
	return rest
}
