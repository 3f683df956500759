package remote_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/remote"
)

// inputConn is a connection whose other end sends fixed bytes and then closes it.
type inputConn struct {
	net.Conn
	input *bytes.Reader
	once  sync.Once
	// closed is closed when the server closes its end.
	closed chan struct{}
}

func (conn *inputConn) Read(buffer []byte) (int, error) { return conn.input.Read(buffer) }
func (*inputConn) Write(data []byte) (int, error)       { return len(data), nil }

func (conn *inputConn) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	return nil
}

// singleListener accepts one connection.
type singleListener struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
}

func (listener *singleListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *singleListener) Close() error {
	close(listener.closed)
	return nil
}

// A connection with malformed bytes ends, and the server with it stays up until it is
// stopped.
func FuzzServer(f *testing.F) {
	for _, seed := range []string{"", "\x00", "GET / HTTP/1.1\r\n\r\n", "\x2d\xff\x81\x03\x01\x01\x07Request\x01\xff\x82", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff"} {
		f.Add([]byte(seed))
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := event.NewLog(logger, "vm1")
	f.Fuzz(func(t *testing.T, input []byte) {
		listener := &singleListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		conn := &inputConn{input: bytes.NewReader(input), closed: make(chan struct{})}
		listener.conns <- conn
		server := &remote.Server{Listener: listener, Executor: &executor{}, Clock: clock.System{}, Log: log}
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- server.Run(ctx) }()
		<-conn.closed
		stop()
		if err := <-stopped; err != nil {
			t.Fatal(err)
		}
	})
}
