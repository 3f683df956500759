package vmrun

import (
	"context"
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/proto"
)

const (
	// pollInterval is the interval between polls of a database that needs frequent
	// ones. Two polls fit into dbset.EvidenceDuration.
	pollInterval = 150 * time.Millisecond
	// seldomPollInterval is the interval for the other databases: the leader has to
	// know which replicas it could promote.
	seldomPollInterval = 2500 * time.Millisecond
	// summaryInterval is how often the state of the groups is logged.
	summaryInterval = 5 * time.Second
	// pollTimeout bounds one poll. A database with a long queue may exceed it, but
	// its answers to other requests show that it is alive.
	pollTimeout = 200 * time.Millisecond
)

// reconcile brings groups, connection pools and background tasks in line with the
// configuration and the registrations.
func (vm *VM) reconcile() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	// Read under the lock: a value read before it may be older than the one that a
	// concurrent call has applied.
	current := vm.config.Load()
	if current == nil || vm.isStopped {
		return
	}
	vm.elector.SetCount(leader.SetCount(len(current.Upstreams)))
	for name, upstream := range current.Upstreams {
		if _, ok := vm.groups[name]; !ok {
			vm.groups[name] = vm.startGroup(upstream)
		}
		vm.groups[name].group.SetSynchronous(upstream.SyncReplicas > 0)
	}
	for name, entry := range vm.groups {
		if _, ok := current.Upstreams[name]; !ok {
			entry.stop()
			vm.engine.Acks.Forget(entry.group)
			vm.elector.ForgetGroup(name)
			delete(vm.groups, name)
		}
	}
	vm.applyMembers(func(string) bool { return true })
}

// reconcileMembers is reconcile for changes of the databases of some groups. A fleet that
// starts gets the registrations of all databases one after the other, so that the cost of each
// must not depend on their number.
func (vm *VM) reconcileMembers(changed groupNames) {
	if len(changed) == 0 {
		return
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.config.Load() == nil || vm.isStopped {
		return
	}
	vm.applyMembers(func(group string) bool { return changed[group] })
}

// applyMembers updates the databases of the chosen groups, and their pools. vm.mu must be held.
func (vm *VM) applyMembers(isChosen func(group string) bool) {
	members, byGroup := vm.members.ofGroups(isChosen)
	vm.pools.SetMembersOf(isChosen, members)
	now := vm.Clock.Now()
	for name, entry := range vm.groups {
		if isChosen(name) {
			entry.group.SetMembers(byGroup[name], now)
		}
	}
	vm.isReady = vm.pools.Len() > 0 && !vm.isStopping
}

// addGroups starts the groups of a configuration that is about to be installed. Sessions use
// it from that moment on, and a request for a group that is missing would be refused.
func (vm *VM) addGroups(next *config.Config) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if current := vm.config.Load(); vm.isStopped || current != nil && next.Version <= current.Version {
		return
	}
	_, byGroup := vm.members.ofGroups(func(string) bool { return true })
	for name, upstream := range next.Upstreams {
		if _, ok := vm.groups[name]; !ok {
			vm.groups[name] = vm.startGroup(upstream)
			vm.groups[name].group.SetMembers(byGroup[name], vm.Clock.Now())
		}
	}
}

// startGroup starts the polling and the failover controller of an upstream's group.
func (vm *VM) startGroup(upstream config.Upstream) *groupEntry {
	ctx, stop := context.WithCancel(context.Background())
	name := upstream.Name
	group := dbset.New(name, vm.Zone)
	group.SetSynchronous(upstream.SyncReplicas > 0)
	group.HasIdleConn = vm.pools.HasIdleOf
	controller := &promo.Controller{
		Group: group, Pools: vm.pools, Promoter: vm.Promoter, Leadership: groupLeadership{vm.elector.Sets, name}, Leases: vm.leases,
		Leader: vm.Name, Clock: vm.Clock, Log: vm.Log, Stats: vm.Stats,
		IsLost:    vm.vmList.isLost,
		IsSettled: func() bool { return vm.members.isSettled(vm.Clock.Now()) },
	}
	vm.groupTasks.Go(func() {
		if err := controller.Run(ctx); err != nil {
			vm.Log.Write(event.TaskEnded, event.Fields{"error": err.Error()})
		}
	})
	entry := &groupEntry{group: group, stop: stop, isUsed: make(chan struct{}, 1)}
	vm.groupTasks.Go(func() { vm.poll(ctx, entry) })
	return entry
}

// poll requests reports from the databases of a group, from each at its poll rate.
// Polls run concurrently, so that a slow database doesn't delay the others. While the VM
// doesn't need the group and is not the leader, it sleeps.
func (vm *VM) poll(ctx context.Context, entry *groupEntry) {
	group := entry.group
	polledAt := make(map[string]time.Time)
	inFlight := make(map[string]chan struct{})
	for vm.awaitNeed(ctx, entry) {
		now := vm.Clock.Now()
		isLeader := vm.leadsGroup(group.Name)
		group.AllowEvidence(vm.vmList.mayUseEvidence(now))
		rates := group.PollRates(isLeader, vm.hasConnsForPolls(group.Name), now)
		for id, rate := range rates {
			if rate == dbset.NoPoll || now.Sub(polledAt[id]) < intervalFor(rate) || isRunning(inFlight[id]) {
				continue
			}
			done := make(chan struct{})
			polledAt[id], inFlight[id] = now, done
			vm.groupTasks.Go(func() {
				defer close(done)
				vm.pollOnce(group, id)
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-vm.tick(vm.pollCheckInterval(len(rates) > 0)):
		}
	}
}

// pollCheckInterval returns the time to the next check of which databases to poll. In a fleet
// known to be large, a VM that polls none checks less often; it may then report a primary that
// it can't reach up to 100 ms later.
func (vm *VM) pollCheckInterval(isPolling bool) time.Duration {
	if isPolling || vm.vmList.count(vm.Clock.Now()) <= idleFleet {
		return pollInterval / 3
	}
	return pollInterval
}

// hasConnsForPolls reports whether the VM may poll databases without a lease: the fleet is
// known, and its connections to the group's databases are not scarce.
func (vm *VM) hasConnsForPolls(group string) bool {
	return vm.vmList.settled() && vm.vmList.count(vm.Clock.Now()) > 0 && !vm.isScarce(group)
}

// retainOrders drops the orders for groups that the configuration no longer has.
func (vm *VM) retainOrders() {
	asOf := vm.configFeed.completeAt()
	if current := vm.config.Load(); current != nil {
		vm.elector.RetainOrders(func(group string) bool { _, ok := current.Upstreams[group]; return ok }, asOf)
	}
}

// awaitNeed waits until the VM needs the group or is the leader. It returns false when ctx
// ends before that.
func (vm *VM) awaitNeed(ctx context.Context, entry *groupEntry) bool {
	for {
		acquired := vm.elector.Acquired()
		if vm.leadsGroup(entry.group.Name) || vm.isNeeded(entry) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-acquired:
		case <-entry.isUsed:
		}
	}
}

// wake makes the group's polling check whether the VM needs the group.
func (entry *groupEntry) wake() {
	select {
	case entry.isUsed <- struct{}{}:
	default:
	}
}

// stopGroups ends the tasks of all groups and waits for them.
func (vm *VM) stopGroups() {
	vm.mu.Lock()
	vm.isStopped = true
	for name, entry := range vm.groups {
		entry.stop()
		delete(vm.groups, name)
	}
	vm.mu.Unlock()
	vm.groupTasks.Wait()
}

func intervalFor(rate dbset.PollRate) time.Duration {
	if rate == dbset.FastPoll {
		return pollInterval
	}
	return seldomPollInterval
}

func isRunning(done chan struct{}) bool {
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

func (vm *VM) pollOnce(group *dbset.Group, id string) {
	pool := vm.pools.Pool(id)
	if pool == nil {
		return
	}
	// SendControl records the report or the failure in the group.
	_, _ = promo.SendControl(group, pool, vm.Clock, proto.GetReport{}, pollTimeout)
}

// summarize logs the state of each group that the VM needs, and as the leader of all, so that operators can explain a failure
// afterwards.
func (vm *VM) summarize() {
	now := vm.Clock.Now()
	if now.Sub(vm.summarizedAt) < summaryInterval {
		return
	}
	vm.summarizedAt = now
	for _, group := range vm.neededGroups() {
		vm.Log.Write(event.GroupState, event.Fields{
			"group": group.Name, "term": group.Term(), "slots": group.Summary(now),
			"links":  vm.pools.Summary(group.Name),
			"routes": vm.Stats.Routes.String(),
		})
	}
}
