package vmrun

import (
	"io"
	"runtime"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/stats"
)

// The configuration and the registrations arrive on two goroutines, and each calls
// reconcile. A call that has to wait for the lock must use the values read under it:
// with values read before, it would apply an older view, and the VM would have no
// databases until the next change.
func TestReconcileUsesLatestView(t *testing.T) {
	c := qt.New(t)
	upstream := fakeup.New("ledger")
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm := &VM{
		Adapter: Adapter{Dialer: upstream.DialerFrom("vm1"), Promoter: upstream},
		Name:    "vm1", Clock: &clock.Manual{}, Log: event.NewLog(logger, "vm1"), Stats: &stats.Stats{},
	}
	vm.init()
	defer vm.stopGroups()
	vm.config.Install(&config.Config{
		Version: 1, Upstreams: map[string]config.Upstream{"ledger": {Name: "ledger", MaxConnections: 30}},
	})
	all := upstream.Members()
	setKnown := func(count int) {
		vm.members.mu.Lock()
		defer vm.members.mu.Unlock()
		vm.members.byKey = make(map[string]registration)
		for _, member := range all[:count] {
			vm.members.byKey[member.ID] = registration{member: member}
		}
	}
	setKnown(1)
	vm.mu.Lock()
	var reconciling sync.WaitGroup
	reconciling.Go(vm.reconcile)
	for range 10_000 {
		runtime.Gosched() // lets reconcile block on the lock
	}
	setKnown(len(all))
	vm.mu.Unlock()
	reconciling.Wait()
	c.Assert(vm.Group("ledger").Members(), qt.HasLen, len(all))
}
