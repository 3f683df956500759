package vmrun

import (
	"context"
	"time"

	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/lease"
)

// setLeaders are the electors of the VM, one for each set of groups. The store state comes
// with the answers of any leader, so its methods without a set are about any set.
type setLeaders struct {
	*leader.Sets
	// lastAnswerAt returns when the leader of a set last answered.
	lastAnswerAt func(set int) time.Time
}

// Leader returns the leader that answered last, as far as known.
func (setLeaders setLeaders) Leader() string {
	var latest int
	for set := range setLeaders.Count() {
		if setLeaders.lastAnswerAt(set).After(setLeaders.lastAnswerAt(latest)) {
			latest = set
		}
	}
	return setLeaders.Sets.Leader(latest)
}

// OwnHeartbeat returns zeros: storeStateOf adds the heartbeat of the set.
func (setLeaders) OwnHeartbeat() (revision uint64, age time.Duration) { return 0, 0 }

// ObserveHeartbeat does nothing: receiveStoreState passes the heartbeat to the set's elector.
func (setLeaders) ObserveHeartbeat(leader.Heartbeat) {}

// leadsGroup reports whether the VM leads the set of a group.
func (vm *VM) leadsGroup(name string) bool {
	_, ok := vm.elector.Holds(leader.SetOf(name, vm.elector.Count()), 0)
	return ok
}

// storeStateOf returns the state of the store that the VM sends as the leader of a set.
func (vm *VM) storeStateOf(set int) lease.StoreState {
	storeState := vm.storeState()
	revision, age := vm.elector.Sets.OwnHeartbeat(set)
	storeState.LeaderRevision, storeState.LeaderAgeMS = revision, age.Milliseconds()
	return storeState
}

// receiveStoreState applies the store state that the leader of a set sent.
func (vm *VM) receiveStoreState(storeState lease.StoreState, sender lease.Leader, requestedAt time.Time) {
	vm.applyStoreState(storeState, sender, requestedAt)
	vm.elector.Sets.ObserveHeartbeat(sender.Set, leader.Heartbeat{
		Leader: sender.VM, Token: sender.Token, Revision: storeState.LeaderRevision,
		At: vm.Clock.Now().Add(-time.Duration(storeState.LeaderAgeMS) * time.Millisecond),
	})
}

// groupLeadership is the leadership of the set of one group.
type groupLeadership struct {
	*leader.Sets
	group string
}

// Holds returns the fencing token if the VM may act on the group for at least need.
func (groupLeadership groupLeadership) Holds(need time.Duration) (uint64, bool) {
	return groupLeadership.HoldsGroup(groupLeadership.group, need)
}

// RecordOrder records an order for the group before it is sent.
func (groupLeadership groupLeadership) RecordOrder(ctx context.Context, order leader.Order) bool {
	return groupLeadership.Sets.RecordOrder(ctx, groupLeadership.group, order)
}

// SettleOrder records that the order for the group has taken effect, or can't any more.
func (groupLeadership groupLeadership) SettleOrder(isRepeated bool) {
	groupLeadership.Sets.SettleOrder(groupLeadership.group, isRepeated)
}

// Order returns the order for the group that may still take effect.
func (groupLeadership groupLeadership) Order() (leader.Order, bool) {
	return groupLeadership.Sets.Order(groupLeadership.group)
}

// Known returns the recorded state of the group; false if there is none.
func (groupLeadership groupLeadership) Known() (leader.GroupState, bool) {
	return groupLeadership.Sets.Known(groupLeadership.group)
}

// RecordGroup records the state of the group.
func (groupLeadership groupLeadership) RecordGroup(state leader.GroupState) {
	groupLeadership.Sets.RecordGroup(groupLeadership.group, state)
}

// BeginOrder registers an order for the group.
func (groupLeadership groupLeadership) BeginOrder(need time.Duration) (token uint64, end func(), ok bool) {
	return groupLeadership.Sets.BeginOrder(groupLeadership.group, need)
}
