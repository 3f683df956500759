package router_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/router"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/watch"
)

// A changed queue limit takes effect at once, also for a group that the VM already
// serves (rule 15): if it is lowered, queued requests beyond it are refused.
func TestQueueLimitChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		groupRouter := &router.Router{
			Watch: &watch.Watch{Clock: clock.System{}}, Clock: clock.System{},
			Pool: &pool.Pool{
				Clock: clock.System{}, Share: func() int { return 1 },
				Open: func(ctx context.Context, _ string) (*pool.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				},
			},
		}
		setQueueLimit := func(queueLimit int) {
			groupRouter.Apply(router.GroupConfig{Rule: ticket.Rule{QueueLimit: queueLimit}})
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		refusals := make(chan fault.Reason, 10)
		acquire := func(id uint64) {
			go func() {
				_, err := groupRouter.Pool.Acquire(ctx, "a", pool.Session{ID: id, Caller: "clerk"})
				if ctx.Err() == nil {
					refusals <- fault.From(err).Reason
				}
			}()
			synctest.Wait()
		}
		setQueueLimit(1)
		acquire(1) // takes the whole share for a connection that is not opened before the time-out
		acquire(2)
		c.Assert(refusals, qt.HasLen, 0)
		acquire(3)
		c.Assert(refusals, qt.HasLen, 1)
		setQueueLimit(3)
		acquire(4)
		acquire(5)
		c.Assert(refusals, qt.HasLen, 1)
		setQueueLimit(1)
		c.Assert(refusals, qt.HasLen, 3)
		cancel()
		time.Sleep(3 * time.Second) // opening a connection times out after 2 s; no goroutine may be left
	})
}
