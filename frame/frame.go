// Package frame reads the protocol messages of a caller. It decodes them into the types of
// pgproto3, but replaces that library's reader, which keeps 8 KB for the lifetime of each
// connection. As most callers are idle, a Reader has a pooled buffer only while it has
// received bytes that are not consumed yet.
package frame

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Errors of a Reader. Each means that the caller violated the protocol.
var (
	ErrUnknownType   = errors.New("unknown message type")
	ErrTooLarge      = errors.New("message exceeds the size limit")
	ErrInvalidLength = errors.New("message length is less than the size of the length field")
)

const (
	// headerBytes is the size of a message's type and length.
	headerBytes = 5
	// bufferBytes is the size of a pooled buffer. A larger message gets a buffer of its
	// own.
	bufferBytes = 8 << 10
)

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// Reader reads from one connection. Set the exported fields before Receive.
type Reader struct {
	Conn net.Conn
	// MaxBodyBytes bounds the body of a message, in bytes.
	MaxBodyBytes int

	// raw is the connection's socket, or nil if the connection is not a plain socket.
	raw syscall.RawConn
	// isRawInit is set once raw has been determined.
	isRawInit bool
	pooled    *[bufferBytes]byte
	// data are the bytes that were read and not consumed yet.
	data []byte
	// large has the body of the last message if it exceeded a pooled buffer.
	large []byte
}

// Unread makes Receive read bytes before those of the connection. Call it before Receive,
// with at most 8 KB.
func (reader *Reader) Unread(bytes []byte) {
	if len(bytes) == 0 {
		return
	}
	reader.pooled = buffers.Get().(*[bufferBytes]byte)
	reader.data = reader.pooled[:copy(reader.pooled[:], bytes)]
}

// Receive returns the next message, which is valid until the next call. It returns io.EOF if
// the connection ends before a message or within its header, and io.ErrUnexpectedEOF if it
// ends within the body.
func (reader *Reader) Receive() (pgproto3.FrontendMessage, error) {
	reader.large = nil
	header, err := reader.next(headerBytes)
	if err != nil {
		return nil, err
	}
	messageType := header[0]
	size := int(int32(binary.BigEndian.Uint32(header[1:]))) - 4
	switch {
	case size < 0:
		return nil, ErrInvalidLength
	case size > reader.MaxBodyBytes:
		return nil, errors.Wrapf(ErrTooLarge, "body of %d bytes", size)
	}
	message, err := newMessage(messageType)
	if err != nil {
		return nil, err
	}
	body, err := reader.next(size)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if err := message.Decode(body); err != nil {
		return nil, errors.Wrapf(err, "decoding message of type %q", messageType)
	}
	return message, nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for an end of the connection within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func newMessage(messageType byte) (pgproto3.FrontendMessage, error) {
	switch messageType {
	case 'B':
		return &pgproto3.Bind{}, nil
	case 'C':
		return &pgproto3.Close{}, nil
	case 'D':
		return &pgproto3.Describe{}, nil
	case 'E':
		return &pgproto3.Execute{}, nil
	case 'F':
		return &pgproto3.FunctionCall{}, nil
	case 'H':
		return &pgproto3.Flush{}, nil
	case 'P':
		return &pgproto3.Parse{}, nil
	case 'Q':
		return &pgproto3.Query{}, nil
	case 'S':
		return &pgproto3.Sync{}, nil
	case 'X':
		return &pgproto3.Terminate{}, nil
	case 'c':
		return &pgproto3.CopyDone{}, nil
	case 'd':
		return &pgproto3.CopyData{}, nil
	case 'f':
		return &pgproto3.CopyFail{}, nil
	}
	return nil, errors.Wrapf(ErrUnknownType, "%q", messageType)
}

// next returns the next size bytes, which are valid until the next call.
func (reader *Reader) next(size int) ([]byte, error) {
	if size > bufferBytes {
		return reader.nextLarge(size)
	}
	for len(reader.data) < size {
		if err := reader.fill(); err != nil {
			return nil, err
		}
	}
	bytes := reader.data[:size]
	reader.data = reader.data[size:]
	return bytes, nil
}

// nextLarge is next for sizes that exceed a pooled buffer.
func (reader *Reader) nextLarge(size int) ([]byte, error) {
	reader.large = make([]byte, size)
	buffered := copy(reader.large, reader.data)
	reader.data = reader.data[buffered:]
	_, err := io.ReadFull(reader.Conn, reader.large[buffered:])
	return reader.large, err
}

// fill reads at least one byte, and waits for it if necessary. While it waits on a socket
// without unconsumed bytes, the reader has no buffer.
func (reader *Reader) fill() error {
	if !reader.isRawInit {
		reader.isRawInit = true
		if conn, ok := reader.Conn.(syscall.Conn); ok {
			reader.raw, _ = conn.SyscallConn()
		}
	}
	if len(reader.data) > 0 {
		return reader.readMore()
	}
	if reader.raw == nil {
		return reader.read(0)
	}
	reader.releaseBuffer()
	var count int
	var readErr error
	err := reader.raw.Read(func(fd uintptr) bool {
		if reader.pooled == nil {
			reader.pooled = buffers.Get().(*[bufferBytes]byte)
		}
		count, readErr = syscall.Read(int(fd), reader.pooled[:])
		if readErr == syscall.EAGAIN || readErr == syscall.EINTR {
			reader.releaseBuffer()
			return false
		}
		return true
	})
	switch {
	case err != nil:
		return err
	case readErr != nil:
		return readErr
	case count <= 0:
		return io.EOF
	}
	reader.data = reader.pooled[:count]
	return nil
}

// releaseBuffer returns the pooled buffer and discards its unread bytes.
func (reader *Reader) releaseBuffer() {
	if reader.pooled != nil {
		buffers.Put(reader.pooled)
		reader.pooled, reader.data = nil, nil
	}
}

// readMore reads more bytes after those of an incomplete header or body.
func (reader *Reader) readMore() error {
	unconsumed := copy(reader.pooled[:], reader.data)
	return reader.read(unconsumed)
}

// read reads into the pooled buffer after its first bytes, which are not consumed yet.
func (reader *Reader) read(unconsumed int) error {
	if reader.pooled == nil {
		reader.pooled = buffers.Get().(*[bufferBytes]byte)
	}
	reader.data = reader.pooled[:unconsumed]
	count, err := reader.Conn.Read(reader.pooled[unconsumed:])
	reader.data = reader.pooled[:unconsumed+count]
	if count > 0 {
		return nil
	}
	return err
}

// Release returns the buffer to the pool of buffers. The Reader must not be used afterwards.
func (reader *Reader) Release() { reader.releaseBuffer() }
