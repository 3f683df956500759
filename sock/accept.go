package sock

import (
	"context"
	"net"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
)

// acceptBackoff is the pause after a failed Accept: descriptors that are used up become
// free when connections end.
const acceptBackoff = 50 * time.Millisecond

// Acceptor accepts connections. Its fields must be set before Run.
type Acceptor struct {
	Listener net.Listener
	Clock    clock.Clock
	Log      *event.Log
	// Serve is called for each connection and must not block.
	Serve func(conn net.Conn)
}

// Run accepts connections until ctx ends, and then closes the listener. An error of Accept
// is logged and does not end it.
func (acceptor *Acceptor) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		if err := acceptor.Listener.Close(); err != nil {
			acceptor.Log.Write(event.AcceptFailed, event.Fields{"error": err.Error()})
		}
	})
	defer stop()
	for {
		conn, err := acceptor.Listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err == nil {
			acceptor.Serve(conn)
			continue
		}
		acceptor.Log.Write(event.AcceptFailed, event.Fields{"error": err.Error()})
		select {
		case <-ctx.Done():
		case <-acceptor.Clock.After(acceptBackoff):
		}
	}
}
