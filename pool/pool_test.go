package pool_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/pool"
)

// A request whose deadline expires while the database does not answer is refused with
// connectFailed, and not with deadline as if the pool were exhausted: the two faults need
// different remedies.
func TestDeadlineReasons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		unresponsive := &pool.Pool{
			Clock: clock.System{}, Share: func() int { return 1 },
			Open: func(ctx context.Context, _ string) (*pool.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		}
		unresponsive.SetQueueLimit(4)
		reasons := make(chan fault.Reason, 2)
		for id := range uint64(2) {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := unresponsive.Acquire(ctx, "a", pool.Session{ID: id, Caller: "clerk"})
				reasons <- fault.From(err).Reason
			}()
			synctest.Wait()
		}
		time.Sleep(3 * time.Second)
		got := map[fault.Reason]bool{<-reasons: true, <-reasons: true}
		c.Assert(got, qt.DeepEquals, map[fault.Reason]bool{
			fault.ReasonConnectFailed: true, fault.ReasonDeadline: true,
		})
	})
}
