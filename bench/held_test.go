package bench_test

import (
	"context"
	"testing"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/holder"
	"github.com/bramleydoor/bramleydoor/keeper"
	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/watch"
)

// steadyControl is the control of a group at rest, without a network.
type steadyControl struct{}

func (steadyControl) Report(_ context.Context, slot string) (quorum.Report, error) {
	position := posn.Position{Term: 1, LSN: 9}
	return quorum.Report{Sealed: 1, Held: position, Primary: slot == "0", Start: posn.Position{Term: 1, LSN: 1}}, nil
}

func (control steadyControl) Progress(ctx context.Context, slot string, _ posn.Position, wait time.Duration) ([]quorum.Report, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	report, err := control.Report(ctx, slot)
	report.Slot = "a"
	return []quorum.Report{report}, err
}

func (control steadyControl) Seal(ctx context.Context, slot string, _ uint64) (quorum.Report, error) {
	return control.Report(ctx, slot)
}

func (control steadyControl) Promote(ctx context.Context, slot string, _ uint64) (quorum.Report, error) {
	return control.Report(ctx, slot)
}

// BenchmarkSlopeHeld: the memory and processor time of a group that a VM holds
// and keeps, without the network's part.
func BenchmarkSlopeHeld(b *testing.B) {
	slope(b, []int{20, 40, 80, 160}, func(size int) figures {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		before := memory()
		for range size {
			observer := &watch.Watch{Control: steadyControl{}, Clock: clock.System{}, Interval: watch.DefaultInterval, Timeout: watch.DefaultTimeout}
			described := ticket.Group{Name: "ledger1.db1"}
			for i, name := range []string{"a", "b", "c"} {
				described.Slots = append(described.Slots, ticket.Slot{Name: name, Control: string(rune('0' + i))})
			}
			connections := &pool.Pool{Clock: clock.System{}, Share: func() int { return 1 }}
			held := &holder.Holder{Watch: observer, Pool: connections, Clock: clock.System{}, Stats: &stats.Stats{}}
			held.Apply(holder.Settings{Group: described})
			connections.SetQueueLimit(1)
			kept := &keeper.Keeper{
				Watch: observer, Control: steadyControl{}, Clock: clock.System{}, Stats: &stats.Stats{},
				Limits: detect.DefaultLimits, IsKeeper: func() bool { return true },
			}
			go func() { _ = kernel.Run(ctx, held, kept) }()
		}
		// The samples of floors fill up in the first 13 s.
		time.Sleep(15 * time.Second)
		return figures{"B": float64(memory() - before), "cores": cpuShare()}
	})
}
