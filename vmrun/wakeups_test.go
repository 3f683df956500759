package vmrun

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/remote"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/store"
)

// countingClock counts the timers that are started, and the moments at which they end.
type countingClock struct {
	clock.System
	timers atomic.Int64

	mu   sync.Mutex
	ends map[time.Time]bool
}

func (clock *countingClock) After(duration time.Duration) <-chan time.Time {
	clock.timers.Add(1)
	clock.mu.Lock()
	defer clock.mu.Unlock()
	if clock.ends == nil {
		clock.ends = make(map[time.Time]bool)
	}
	clock.ends[time.Now().Add(duration)] = true
	return clock.System.After(duration)
}

// takeEnds returns the number of moments at which the timers end that were started since the
// last call.
func (clock *countingClock) takeEnds() int {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	count := len(clock.ends)
	clock.ends = nil
	return count
}

// newUnneededVM returns a VM with 80 groups in a fleet of 300, none of which it routes. One
// of the groups has databases.
func newUnneededVM() (*VM, *countingClock, *fakeup.Upstream) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	counting, upstream := &countingClock{}, fakeup.New("ledger")
	vm := &VM{
		Adapter: Adapter{Dialer: upstream.DialerFrom("vm1"), Promoter: upstream, Store: &fakekv.Tree{}},
		Name:    "vm1", Address: "10.0.0.1", Zone: "zone-a",
		Clock: counting, Log: event.NewLog(logger, "vm1"), Stats: &stats.Stats{},
	}
	vm.init()
	vm.peers = &remote.Clients{Clock: counting, Log: vm.Log}
	var items []store.Item
	for i := range 300 {
		items = append(items, store.Item{Key: fmt.Sprintf("%sother%d@10.0.1.%d", vmPrefix, i, i), Value: []byte(`{"zone":"zone-a"}`), Revision: 1})
	}
	vm.vmList.update(items, vm.Clock.Now())
	vm.vmList.isSettled = true
	upstreams := map[string]config.Upstream{"ledger": {Name: "ledger", MaxConnections: 30}}
	for i := 0; len(upstreams) < 80; i++ {
		if name := fmt.Sprintf("group%d", i); !slices.Contains(vm.routersOf(name), vm.id()) {
			upstreams[name] = config.Upstream{Name: name, MaxConnections: 30}
		}
	}
	vm.config.Install(&config.Config{Version: 1, Upstreams: upstreams})
	vm.members.byKey = make(map[string]registration)
	for _, member := range upstream.Members() {
		vm.members.byKey[member.ID] = registration{member: member}
	}
	// Only a VM that may use evidence polls without a lease.
	vm.vmList.recordWritten(vm.Clock.Now())
	vm.reconcile()
	return vm, counting, upstream
}

// Load: 80 groups on a VM that is not the leader and that no caller uses. Its groups cost no
// wake-ups; they used to cost 1,920 a second.
func TestWakeUpsOfUnneededGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		vm, counting, _ := newUnneededVM()
		defer vm.stopGroups()
		c.Assert(vm.neededGroups(), qt.HasLen, 0)
		synctest.Wait()
		before := counting.timers.Load()
		time.Sleep(10 * time.Second)
		timers := counting.timers.Load() - before
		t.Logf("%d timers in 10 s", timers)
		c.Assert(timers, qt.Equals, int64(0))
	})
}

// Load: a VM needs 80 groups, each since another moment. Their polling wakes up together, not
// each by itself: 20 times a second at most.
func TestWakeUpsOfNeededGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		vm, counting, _ := newUnneededVM()
		defer vm.stopGroups()
		for name := range vm.groups {
			vm.Group(name)
			time.Sleep(3 * time.Millisecond)
		}
		synctest.Wait()
		counting.takeEnds()
		time.Sleep(5 * time.Second)
		ends := counting.takeEnds()
		c.Assert(ends > 0, qt.IsTrue)
		c.Assert(ends <= 5*20+1, qt.IsTrue, qt.Commentf("%d moments in 5 s", ends))
	})
}

// A group that becomes needed is polled at once: by a request, because the VM becomes the
// leader, or because the other VMs that route it have gone. A sleeping poll must miss none
// of these.
func TestSleepingPollIsWoken(t *testing.T) {
	for name, need := range map[string]func(ctx context.Context, vm *VM){
		"request": func(_ context.Context, vm *VM) { vm.Group("ledger") },
		"leader": func(ctx context.Context, vm *VM) {
			vm.elector.Watch([]int{0, 1, 2, 3}) // as the lease agent does
			go func() { _ = vm.elector.Run(ctx) }()
			for !vm.leadsGroup("ledger") {
				time.Sleep(10 * time.Millisecond)
			}
		},
		"routing": func(_ context.Context, vm *VM) {
			vm.vmList.update(nil, vm.Clock.Now())
			vm.neededGroups() // as before each request for leases
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				vm, _, _ := newUnneededVM()
				defer vm.stopGroups()
				ctx, stop := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer stop()
				time.Sleep(10 * time.Second)
				group := vm.groups["ledger"].group
				c.Assert(group.State().Primary, qt.Equals, "")
				need(ctx, vm)
				time.Sleep(100 * time.Millisecond)
				c.Assert(group.State().Primary, qt.Equals, "a")
			})
		})
	}
}
