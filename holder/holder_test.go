package holder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/holder"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/watch"
)

// Rule 15: a changed limit of the queue is in force at once, also for a group that
// the VM holds already; those who wait beyond a lower one are refused at once.
func TestQueueLimitChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		held := &holder.Holder{
			Watch: &watch.Watch{Clock: clock.System{}}, Clock: clock.System{},
			Pool: &pool.Pool{
				Clock: clock.System{}, Share: func() int { return 1 },
				Open: func(ctx context.Context, _ string) (*pool.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				},
			},
		}
		limit := func(queued int) {
			held.Apply(holder.Settings{Rule: ticket.Rule{QueueLimit: queued}})
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		refusals := make(chan fault.Reason, 10)
		ask := func(id uint64) {
			go func() {
				_, err := held.Pool.Acquire(ctx, "a", pool.Session{ID: id, Caller: "clerk"})
				if ctx.Err() == nil {
					refusals <- fault.From(err).Reason
				}
			}()
			synctest.Wait()
		}
		limit(1)
		ask(1) // gets the only connection, which does not open
		ask(2)
		c.Assert(refusals, qt.HasLen, 0)
		ask(3)
		c.Assert(refusals, qt.HasLen, 1)
		limit(3)
		ask(4)
		ask(5)
		c.Assert(refusals, qt.HasLen, 1)
		limit(1)
		c.Assert(refusals, qt.HasLen, 3)
		cancel()
		time.Sleep(3 * time.Second) // an opening is given up after two
	})
}
