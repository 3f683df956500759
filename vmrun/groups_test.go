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

// The configuration and the registrations arrive on two duties. One that waited for
// the other arranges the groups by what is known then: by what it saw before, it
// would put an older view in force, and the VM would be without databases until the
// next change.
func TestArrangedByTheNewest(t *testing.T) {
	c := qt.New(t)
	upstream := fakeup.New("ledger")
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm := &VM{
		Adapter: Adapter{Dialer: upstream.From("vm1"), Orders: upstream},
		Name:    "vm1", Clock: &clock.Manual{}, Log: event.NewLog(logger, "vm1"), Stats: &stats.Stats{},
	}
	vm.init()
	defer vm.stopGroups()
	vm.config.Offer(&config.Config{
		Version: 1, Upstreams: map[string]config.Upstream{"ledger": {Name: "ledger", MaxConnections: 30}},
	})
	all := upstream.Members()
	know := func(count int) {
		vm.members.mu.Lock()
		defer vm.members.mu.Unlock()
		vm.members.known = make(map[string]registered)
		for _, member := range all[:count] {
			vm.members.known[member.ID] = registered{member: member}
		}
	}
	know(1)
	vm.mu.Lock()
	var waiting sync.WaitGroup
	waiting.Go(vm.rearrange)
	for range 10_000 {
		runtime.Gosched() // lets it come as far as the lock
	}
	know(len(all))
	vm.mu.Unlock()
	waiting.Wait()
	c.Assert(vm.Group("ledger").Members(), qt.HasLen, len(all))
}
