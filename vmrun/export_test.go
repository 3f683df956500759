package vmrun

import "time"

// Leads reports whether the VM leads a set, and returns its fencing token.
func (vm *VM) Leads(set int) (uint64, bool) { return vm.elector.Holds(set, 0) }

// EvidenceOfFleet returns how long any VM uses a replica's report in place of a lease.
func (vm *VM) EvidenceOfFleet() time.Duration { return vm.vmList.evidenceDuration() }
