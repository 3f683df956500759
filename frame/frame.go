// Package frame reads the messages of a caller. It decodes with the protocol
// library's types; it exists because that library's reader keeps 8 KB for each
// connection, and most callers are idle: a Reader holds a buffer only while
// bytes are there.
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

// Errors of a Reader; each means that the caller broke the protocol.
var (
	ErrUnknown  = errors.New("unknown kind of message")
	ErrTooLarge = errors.New("message is too large")
	ErrTooSmall = errors.New("message is shorter than its own length field")
)

const (
	headerBytes = 5
	// bufferBytes is the size of pooled buffers; a larger message gets one of
	// its own.
	bufferBytes = 8 << 10
)

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// Reader reads from one connection. Set the exported fields before Receive.
type Reader struct {
	Conn net.Conn
	// MaxBody bounds the body of a message in bytes.
	MaxBody int

	raw    syscall.RawConn
	isInit bool
	pooled *[bufferBytes]byte
	// data is what was read and not consumed yet.
	data []byte
	// last is a message of its own buffer.
	last []byte
}

// Unread puts bytes before those of the connection. Call it before Receive.
func (reader *Reader) Unread(bytes []byte) {
	if len(bytes) == 0 {
		return
	}
	reader.pooled = buffers.Get().(*[bufferBytes]byte)
	reader.data = reader.pooled[:copy(reader.pooled[:], bytes)]
}

// Receive returns the next message. It is valid until the next call.
func (reader *Reader) Receive() (pgproto3.FrontendMessage, error) {
	reader.last = nil
	header, err := reader.next(headerBytes)
	if err != nil {
		return nil, err
	}
	kind := header[0]
	size := int(int32(binary.BigEndian.Uint32(header[1:]))) - 4
	switch {
	case size < 0:
		return nil, ErrTooSmall
	case size > reader.MaxBody:
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	message, err := newMessage(kind)
	if err != nil {
		return nil, err
	}
	body, err := reader.next(size)
	if err != nil {
		return nil, eofInside(err)
	}
	if err := message.Decode(body); err != nil {
		return nil, errors.Wrapf(err, "message %q", kind)
	}
	return message, nil
}

func eofInside(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func newMessage(kind byte) (pgproto3.FrontendMessage, error) {
	switch kind {
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
	return nil, errors.Wrapf(ErrUnknown, "%q", kind)
}

// next returns the next size bytes. They are valid until the next call.
func (reader *Reader) next(size int) ([]byte, error) {
	if size > bufferBytes {
		return reader.nextLarge(size)
	}
	for len(reader.data) < size {
		if err := reader.fill(); err != nil {
			return nil, err
		}
	}
	found := reader.data[:size]
	reader.data = reader.data[size:]
	return found, nil
}

func (reader *Reader) nextLarge(size int) ([]byte, error) {
	reader.last = make([]byte, size)
	had := copy(reader.last, reader.data)
	reader.data = reader.data[had:]
	_, err := io.ReadFull(reader.Conn, reader.last[had:])
	return reader.last, err
}

// fill reads what is there, or waits for something. While it waits with nothing
// read, it holds no buffer.
func (reader *Reader) fill() error {
	if !reader.isInit {
		reader.isInit = true
		if conn, ok := reader.Conn.(syscall.Conn); ok {
			reader.raw, _ = conn.SyscallConn()
		}
	}
	if len(reader.data) > 0 {
		return reader.fillBehind()
	}
	if reader.raw == nil {
		return reader.read(0)
	}
	reader.giveBack()
	var count int
	var readErr error
	err := reader.raw.Read(func(fd uintptr) bool {
		if reader.pooled == nil {
			reader.pooled = buffers.Get().(*[bufferBytes]byte)
		}
		count, readErr = syscall.Read(int(fd), reader.pooled[:])
		if readErr == syscall.EAGAIN || readErr == syscall.EINTR {
			reader.giveBack()
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

func (reader *Reader) giveBack() {
	if reader.pooled != nil {
		buffers.Put(reader.pooled)
		reader.pooled, reader.data = nil, nil
	}
}

// fillBehind reads more behind a part of a message.
func (reader *Reader) fillBehind() error {
	had := copy(reader.pooled[:], reader.data)
	return reader.read(had)
}

// read reads into the pooled buffer after the first had bytes.
func (reader *Reader) read(had int) error {
	if reader.pooled == nil {
		reader.pooled = buffers.Get().(*[bufferBytes]byte)
	}
	reader.data = reader.pooled[:had]
	count, err := reader.Conn.Read(reader.pooled[had:])
	reader.data = reader.pooled[:had+count]
	if count > 0 {
		return nil
	}
	return err
}

// Release returns the buffer. The Reader must not be used after it.
func (reader *Reader) Release() { reader.giveBack() }
