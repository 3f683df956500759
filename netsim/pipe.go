package netsim

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// PipeListener is a listener in memory. It may be used in a testing/synctest bubble. Its
// zero value refuses connections until Open.
type PipeListener struct {
	mu       sync.Mutex
	accepted chan net.Conn
	closed   chan struct{}
	// held is closed when bytes may pass again; nil if they pass.
	held chan struct{}
	// conns are both ends of all connections.
	conns []*heldConn
}

// Open makes the listener accept connections.
func (listener *PipeListener) Open() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.accepted, listener.closed = make(chan net.Conn), make(chan struct{})
}

// Accept waits for a connection.
func (listener *PipeListener) Accept() (net.Conn, error) {
	listener.mu.Lock()
	accepted, closed := listener.accepted, listener.closed
	listener.mu.Unlock()
	select {
	case conn := <-accepted:
		return conn, nil
	case <-closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (listener *PipeListener) Close() error {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	close(listener.closed)
	return nil
}

// Addr returns an empty address.
func (listener *PipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial opens a connection.
func (listener *PipeListener) Dial(ctx context.Context) (net.Conn, error) {
	listener.mu.Lock()
	accepted, closed := listener.accepted, listener.closed
	listener.mu.Unlock()
	if accepted == nil {
		return nil, syscall.ECONNREFUSED
	}
	toNear, toFar := newStream(), newStream()
	near := &heldConn{listener: listener, input: toNear, output: toFar}
	far := &heldConn{listener: listener, input: toFar, output: toNear}
	select {
	case accepted <- far:
	case <-closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.conns = append(listener.conns, near, far)
	return near, nil
}

// Hold holds back all bytes of the listener's connections, in both directions, until
// Release, as when the accepting process is suspended.
func (listener *PipeListener) Hold() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if listener.held == nil {
		listener.held = make(chan struct{})
	}
}

// Release ends Hold.
func (listener *PipeListener) Release() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if listener.held != nil {
		close(listener.held)
		listener.held = nil
	}
}

// Disconnect closes all connections.
func (listener *PipeListener) Disconnect() {
	listener.mu.Lock()
	conns := listener.conns
	listener.conns = nil
	listener.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// stream has the bytes in one direction of a connection.
type stream struct {
	mu       sync.Mutex
	data     []byte
	isClosed bool
	// changed is closed and replaced when data arrive or the stream is closed.
	changed chan struct{}
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (stream *stream) append(data []byte) error {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if stream.isClosed {
		return net.ErrClosed
	}
	stream.data = append(stream.data, data...)
	stream.notify()
	return nil
}

func (stream *stream) close() {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.isClosed = true
	stream.notify()
}

func (stream *stream) notify() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// take moves data to buffer. If there are none yet, it returns a channel that is closed
// when that may have changed.
func (stream *stream) take(buffer []byte) (int, <-chan struct{}, error) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if len(stream.data) > 0 {
		count := copy(buffer, stream.data)
		stream.data = stream.data[count:]
		return count, nil, nil
	}
	if stream.isClosed {
		return 0, nil, io.EOF
	}
	return 0, stream.changed, nil
}

// heldConn is one end of a connection. Its writes never block, and it has no deadlines.
type heldConn struct {
	listener      *PipeListener
	input, output *stream
}

// Read waits for data that may pass.
func (conn *heldConn) Read(buffer []byte) (int, error) {
	for {
		conn.listener.mu.Lock()
		held := conn.listener.held
		conn.listener.mu.Unlock()
		if held != nil {
			<-held
			continue
		}
		count, changed, err := conn.input.take(buffer)
		if changed == nil {
			return count, err
		}
		<-changed
	}
}

// Write queues data for the other end.
func (conn *heldConn) Write(data []byte) (int, error) {
	if err := conn.output.append(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Close closes the connection.
func (conn *heldConn) Close() error {
	conn.input.close()
	conn.output.close()
	return nil
}

// LocalAddr and the following methods complete net.Conn.
func (*heldConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*heldConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*heldConn) SetDeadline(time.Time) error      { return nil }
func (*heldConn) SetReadDeadline(time.Time) error  { return nil }
func (*heldConn) SetWriteDeadline(time.Time) error { return nil }
