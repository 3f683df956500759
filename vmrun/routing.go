package vmrun

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/engine"
	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/remote"
)

// Where the VMs' equal shares of a database's connections are scarce, few VMs in each
// availability zone route a group: the first ones by rendezvous hashing. The others forward
// requests to the first one that is usable. Connections are also scarce where an equal share is
// small for the number of teams, since a connection serves only one team.

const (
	// maxRouters is how many VMs of a zone may route a group: the first one, and another
	// that takes over while the first is not usable.
	maxRouters = 2
	// reserveDivisor keeps a part of a connection limit free for VMs that start and stop.
	reserveDivisor = 10
	// maxBalancedGroups bounds the computation of a balanced assignment, which ranks the VMs
	// of a zone for all groups after each change: it takes 2 ms for 80 groups and 100 VMs.
	// Beyond it, rendezvous hashing alone assigns the groups.
	maxBalancedGroups = 96
)

// zoneGroup is a database group in an availability zone.
type zoneGroup struct{ zone, group string }

// equalShare returns the connections to each database of a group that every VM may open if
// all route the group.
func (vm *VM) equalShare(group string) int {
	return max(1, vm.availableConns(group)/max(vm.vmList.count(vm.Clock.Now()), dbpool.Overcommit))
}

// availableConns returns the connections to each database of a group that all VMs together
// may try to open.
func (vm *VM) availableConns(group string) int {
	limit := 1
	if current := vm.config.Load(); current != nil {
		limit = current.Upstreams[group].MaxConnections
	}
	return (limit - limit/reserveDivisor) * dbpool.Overcommit
}

// isScarce reports whether few VMs of each zone route a group, because its connections are
// scarce: every VM's equal share, or its part for each team, is below dbpool.ScarceShare.
func (vm *VM) isScarce(group string) bool {
	teams := 1
	if current := vm.config.Load(); current != nil {
		teams = max(teams, len(current.Teams))
	}
	return vm.equalShare(group) < dbpool.ScarceShare*teams
}

// isRouter reports whether this VM is one of few that route a group.
func (vm *VM) isRouter(group string) bool {
	return vm.peers != nil && vm.isScarce(group) && slices.Contains(vm.routersOf(group), vm.id())
}

// connectionShare returns the VM's limit on connections to each database of a group. Where
// connections are scarce, the routing VMs of each zone have an equal part of them.
func (vm *VM) connectionShare(group string) int {
	share := vm.equalShare(group)
	if !vm.isRouter(group) {
		return share
	}
	return max(share, vm.availableConns(group)/vm.vmList.zones())
}

// hasScarceConns reports whether the VM's own connections to each database of a group are
// scarce. Those of a routing VM are not, unless its share is very small.
func (vm *VM) hasScarceConns(group string) bool {
	if vm.connectionShare(group) < dbpool.ScarceShare {
		return true
	}
	return vm.peers != nil && vm.isScarce(group) && !vm.isRouter(group)
}

// routersOf returns the VMs of this VM's zone that may route a group, the first choice
// first.
func (vm *VM) routersOf(group string) []string {
	return vm.vmList.rank(zoneGroup{zone: vm.Zone, group: group}, vm.id(), vm.config.Load())
}

// Routers returns the VMs to which a request for a group may be forwarded now. There is
// none if this VM is the group's routing VM, or connections are not scarce.
func (vm *VM) Routers(group string) []*remote.Client {
	if !vm.isScarce(group) {
		return nil
	}
	var usable []*remote.Client
	for _, id := range vm.routersOf(group) {
		if id == vm.id() {
			break
		}
		if client := vm.peers.Usable(id); client != nil {
			usable = append(usable, client)
		}
	}
	return usable
}

// neededFor is how long a VM needs a group after a request for it.
const neededFor = 10 * time.Second

// neededGroups returns the groups whose primary leases the VM requests: those that it routes
// and those that it has served requests for, for instance without a usable routing VM. The
// leader of a set needs all of it. Since the leases are requested at intervals, their polling is woken here
// if the VM needs them because the VMs or the connection limits have changed.
func (vm *VM) neededGroups() []*dbset.Group {
	vm.mu.Lock()
	entries := make([]*groupEntry, 0, len(vm.groups))
	for _, entry := range vm.groups {
		entries = append(entries, entry)
	}
	vm.mu.Unlock()
	leads := vm.IsLeader()
	var needed []*dbset.Group
	for _, entry := range entries {
		if vm.isNeeded(entry) || leads && vm.leadsGroup(entry.group.Name) {
			needed = append(needed, entry.group)
			entry.wake()
		}
	}
	return needed
}

func (vm *VM) isNeeded(entry *groupEntry) bool {
	name := entry.group.Name
	if vm.peers == nil || vm.isRecentlyUsed(entry) {
		return true
	}
	return vm.vmList.settled() && (!vm.isScarce(name) || vm.isRouter(name))
}

func (vm *VM) isRecentlyUsed(entry *groupEntry) bool {
	return vm.Clock.Now().Sub(time.Unix(0, entry.usedAt.Load())) < neededFor
}

// markUsed records a request for a group. If the VM didn't need the group before, the lease
// is requested at once.
func (vm *VM) markUsed(entry *groupEntry) {
	wasNeeded := vm.isNeeded(entry)
	entry.usedAt.Store(vm.Clock.Now().UnixNano())
	if wasNeeded {
		return
	}
	vm.leases.Wake()
	entry.wake()
}

// serveForwarded runs requests that other VMs forward, until ctx ends.
func (vm *VM) serveForwarded(ctx context.Context) error {
	if vm.PeerListener == nil {
		<-ctx.Done()
		return nil
	}
	defer vm.peers.Close()
	server := &remote.Server{
		Listener: vm.PeerListener, Executor: engine.Executor{Engine: vm.engine},
		ChangesAfter: vm.changesAfter, TokensFor: vm.quota.tokensFor, Auth: vm.auth, Clock: vm.Clock, Log: vm.Log,
	}
	return server.Run(ctx)
}

// retainRouters closes the connections to VMs that are no longer listed and don't lead.
func (vm *VM) retainRouters() {
	if vm.peers == nil {
		return
	}
	listed := make(map[string]bool)
	for _, id := range vm.vmList.names() {
		listed[id] = true
	}
	// The leader's record may be newer than the list: when a fleet starts, the list lacks VMs.
	listed[vm.elector.Leader()] = true
	vm.peers.Retain(listed)
}

// rank returns the first maxRouters VMs of a zone in the order in which they route a group.
// self is a VM of the zone, whether it is listed or not. Where the configuration has teams,
// which call for routing VMs even if there are few VMs, groups are spread evenly over them.
func (vmList *vmList) rank(key zoneGroup, self string, current *config.Config) []string {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	if vmList.ranks == nil || vmList.ranksFor != current {
		vmList.ranks, vmList.ranksFor = make(map[zoneGroup][]string), current
	}
	if ranked, ok := vmList.ranks[key]; ok {
		return ranked
	}
	ids := []string{self}
	for recordKey, record := range vmList.records {
		if id := vmID(recordKey); record.zone == key.zone && id != self {
			ids = append(ids, id)
		}
	}
	ranks := map[string][]string{key.group: owner.Rank(key.group, ids)}
	if current != nil && len(current.Teams) > 0 && len(current.Upstreams) <= maxBalancedGroups {
		maps.Copy(ranks, owner.RankBalanced(slices.Collect(maps.Keys(current.Upstreams)), ids))
	}
	for group, ranked := range ranks {
		vmList.ranks[zoneGroup{zone: key.zone, group: group}] = slices.Clone(ranked[:min(len(ranked), maxRouters)])
	}
	return vmList.ranks[key]
}

// zones returns the number of availability zones with VMs, at least 1.
func (vmList *vmList) zones() int {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	if vmList.zoneCount == 0 {
		zones := make(map[string]bool)
		for _, record := range vmList.records {
			zones[record.zone] = true
		}
		vmList.zoneCount = max(len(zones), 1)
	}
	return vmList.zoneCount
}
