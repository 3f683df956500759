package bench_test

import (
	"context"
	"testing"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/elect"
	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/router"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/watch"
)

// idleControl is the control of a group without traffic or faults. It uses no network.
type idleControl struct{}

func (idleControl) Report(_ context.Context, slot string) (quorum.Report, error) {
	position := posn.Position{Term: 1, LSN: 9}
	return quorum.Report{Sealed: 1, LastPosition: position, Primary: slot == "0", Start: posn.Position{Term: 1, LSN: 1}}, nil
}

func (control idleControl) Progress(ctx context.Context, slot string, _ posn.Position, wait time.Duration) ([]quorum.Report, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	report, err := control.Report(ctx, slot)
	report.Slot = "a"
	return []quorum.Report{report}, err
}

func (control idleControl) Seal(ctx context.Context, slot string, _ uint64) (quorum.Report, error) {
	return control.Report(ctx, slot)
}

func (control idleControl) Promote(ctx context.Context, slot string, _ uint64) (quorum.Report, error) {
	return control.Report(ctx, slot)
}

// BenchmarkSlopeHeld measures the memory and processor time by the number of groups that
// a VM holds connections to and is the owner of, without the cost of the network.
func BenchmarkSlopeHeld(b *testing.B) {
	slope(b, []int{20, 40, 80, 160}, func(size int) figures {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		before := memory()
		for range size {
			watched := &watch.Watch{Control: idleControl{}, Clock: clock.System{}, Interval: watch.DefaultInterval, Timeout: watch.DefaultTimeout}
			group := ticket.Group{Name: "ledger1.db1"}
			for i, name := range []string{"a", "b", "c"} {
				group.Slots = append(group.Slots, ticket.Slot{Name: name, Control: string(rune('0' + i))})
			}
			connections := &pool.Pool{Clock: clock.System{}, Share: func() int { return 1 }}
			groupRouter := &router.Router{Watch: watched, Pool: connections, Clock: clock.System{}, Stats: &stats.Stats{}}
			groupRouter.Apply(router.GroupConfig{Group: group})
			connections.SetQueueLimit(1)
			controller := &elect.Controller{
				Watch: watched, Control: idleControl{}, Clock: clock.System{}, Stats: &stats.Stats{},
				Limits: detect.DefaultLimits, IsOwner: func() bool { return true },
			}
			go func() { _ = kernel.Run(ctx, groupRouter, controller) }()
		}
		// The confirmed positions that a view stores reach their maximum number after
		// 13 s. Memory grows until then.
		time.Sleep(15 * time.Second)
		return figures{"B": float64(memory() - before), "cores": cpuShare()}
	})
}
