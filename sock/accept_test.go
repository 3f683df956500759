package sock_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/sock"
)

// exhaustedListener fails as if the process had used up its descriptors, and then accepts
// one connection.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
	conns    chan net.Conn
	closed   chan struct{}
}

func (listener *exhaustedListener) Accept() (net.Conn, error) {
	if listener.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *exhaustedListener) Close() error {
	close(listener.closed)
	return nil
}

// Descriptors that are used up don't end the process: connections are accepted again once
// some are free.
func TestAcceptAfterExhaustion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		listener := &exhaustedListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		listener.failures.Store(3)
		near, far := net.Pipe()
		defer near.Close()
		listener.conns <- far
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		served := make(chan net.Conn, 1)
		acceptor := sock.Acceptor{
			Listener: listener, Clock: clock.System{}, Log: event.NewLog(logger, "vm1"),
			Serve: func(conn net.Conn) { served <- conn },
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- acceptor.Run(ctx) }()
		c.Assert(<-served, qt.Equals, far)
		cancel()
		c.Assert(<-done, qt.IsNil)
	})
}
