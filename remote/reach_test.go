package remote_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/netsim"
	"github.com/bramleydoor/bramleydoor/remote"
)

// A VM is neither connected nor has it failed until the first attempt to connect ends.
func TestReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log := event.NewLog(logger, "vm1")
		link := &netsim.PipeListener{}
		link.Open()
		server := &remote.Server{Listener: link, Executor: &executor{}, Clock: clock.System{}, Log: log}
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- server.Run(ctx) }()
		clients := &remote.Clients{Clock: clock.System{}, Log: log, Dial: func(ctx context.Context, vm string) (net.Conn, error) {
			time.Sleep(5 * time.Millisecond)
			if vm == "lost" {
				return nil, syscall.ECONNREFUSED
			}
			return link.Dial(ctx)
		}}
		for _, vm := range []string{"router", "lost"} {
			isConnected, hasFailed := clients.Reach(vm)
			c.Check(isConnected || hasFailed, qt.IsFalse)
		}
		time.Sleep(10 * time.Millisecond)
		isConnected, hasFailed := clients.Reach("router")
		c.Check(isConnected && !hasFailed, qt.IsTrue)
		isConnected, hasFailed = clients.Reach("lost")
		c.Check(!isConnected && hasFailed, qt.IsTrue)
		clients.Close()
		_, hasFailed = clients.Reach("router")
		c.Check(hasFailed, qt.IsTrue)
		stop()
		c.Check(<-stopped, qt.IsNil)
	})
}
