package vmrun

// Leads reports whether the VM leads a set, and returns its fencing token.
func (vm *VM) Leads(set int) (uint64, bool) { return vm.elector.Holds(set, 0) }
