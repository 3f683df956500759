package vmrun

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// tick returns a channel that receives the time at the next multiple of an interval. The
// periodic tasks of a VM, among them one for each group that it needs, so wake up together
// and not each by itself. Multiples are counted from another moment on each VM, so that the
// VMs don't poll the databases in step.
func (vm *VM) tick(interval time.Duration) <-chan time.Time {
	return vm.Clock.After(vm.untilTick(vm.Clock.Now(), interval))
}

// untilTick returns the time from now to the next tick of an interval.
func (vm *VM) untilTick(now time.Time, interval time.Duration) time.Duration {
	phase := time.Duration(xxhash.Sum64String(vm.id()) % uint64(interval))
	return interval - (time.Duration(now.UnixNano())+phase)%interval
}
