package entry

import (
	"bufio"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// sender writes short answers that the proxy itself makes. It has no buffer between
// answers, so that an idle session uses less memory.
type sender struct {
	conn   net.Conn
	buffer []byte
	err    error
}

// Send buffers a message. An encoding error is returned by Flush.
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

// Flush writes the buffered messages to the caller.
func (sender *sender) Flush() error {
	buffer, err := sender.buffer, sender.err
	sender.buffer, sender.err = nil, nil
	if buffer == nil || err != nil {
		return err
	}
	_, err = sender.conn.Write(buffer)
	if cap(buffer) <= maxPooledBytes {
		buffers.Put(&buffer)
	}
	return err
}

// startupBytes is the size of the read buffer during startup.
const startupBytes = 512

// startupReader prevents the protocol library from reading beyond the startup. The
// library keeps all bytes that it has read, also those that follow the startup.
type startupReader struct{ buffered *bufio.Reader }

func newStartupReader(conn net.Conn) *startupReader {
	return &startupReader{bufio.NewReaderSize(conn, startupBytes)}
}

// Read returns one byte, so that the library stops reading once it has enough.
func (reader *startupReader) Read(target []byte) (int, error) {
	return reader.buffered.Read(target[:min(len(target), 1)])
}

// unread returns the bytes that the caller sent after its startup.
func (reader *startupReader) unread() []byte {
	rest, _ := reader.buffered.Peek(reader.buffered.Buffered())
	return rest
}
