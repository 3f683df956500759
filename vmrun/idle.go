package vmrun

import (
	"time"

	"github.com/bramleydoor/bramleydoor/lease"
)

const (
	// idleFleet is the number of VMs beyond which those that need no group ask the leader
	// less often for the state of the store, and VMs that lack changes read only these.
	idleFleet = 60
	// maxIdleInterval is the longest interval between two such requests. After two lost
	// datagrams, a VM asks again within 180 ms, so that it knows of a new configuration
	// within one second of the leader.
	maxIdleInterval = 800 * time.Millisecond
	// idleMargin is for the round trips to the store and to the leader, and one lost datagram.
	idleMargin = 100 * time.Millisecond
)

// isLargeFleet reports whether the fleet has more than idleFleet VMs, or may have.
func (vm *VM) isLargeFleet() bool {
	return !vm.vmList.settled() || vm.vmList.count(vm.Clock.Now()) > idleFleet
}

// idleInterval returns the interval at which the VM asks the leader for the state of the
// store while it needs no group. It leaves room for the time between two watches of the
// leader: where the VM's copy of the configuration got older than its maxStaleness, the VM
// would watch the store itself.
func (vm *VM) idleInterval() time.Duration {
	if !vm.isLargeFleet() {
		return lease.RenewInterval
	}
	return min(maxIdleInterval, vm.configFeed.maxStaleness-leaderWatchTimeout-idleMargin)
}
