// Package sock checks whether an idle socket still appears to be open.
package sock

import (
	"errors"
	"syscall"
)

// IsIdle reports whether an idle socket, on which no data is expected, has received
// neither data nor an end of stream. A socket that fails after the check shows it only
// when it is used. The deadlines of earlier requests have no effect.
func IsIdle(socket syscall.Conn) bool {
	peeker, err := NewPeeker(socket)
	return err == nil && peeker.IsIdle()
}

// Peeker checks one socket repeatedly, without allocations. It is not safe for concurrent use.
type Peeker struct {
	raw    syscall.RawConn
	peek   func(fd uintptr)
	buffer [1]byte
	count  int
	err    error
}

// NewPeeker returns a peeker of a socket.
func NewPeeker(socket syscall.Conn) (*Peeker, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	peeker := &Peeker{raw: raw}
	peeker.peek = func(fd uintptr) {
		peeker.count, _, peeker.err = syscall.Recvfrom(int(fd), peeker.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	return peeker, nil
}

// IsIdle reports whether the socket has received neither data nor an end of stream.
func (peeker *Peeker) IsIdle() bool {
	return peeker.run() == nil && errors.Is(peeker.err, syscall.EAGAIN)
}

// HasData reports whether the socket has received data that was not read.
func (peeker *Peeker) HasData() bool {
	return peeker.run() == nil && peeker.err == nil && peeker.count > 0
}

// run peeks at the socket. It uses Control, since Read would fail without a call of the function
// once the read deadline has passed.
func (peeker *Peeker) run() error { return peeker.raw.Control(peeker.peek) }
