package vmrun

import (
	"context"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

// members holds the registrations of databases, by their keys in the store.
type members struct {
	mu    sync.Mutex
	byKey map[string]registration
	// storeRecoveredAt is when the store last recovered, or the VM started.
	storeRecoveredAt time.Time
}

// registration is a database's registration in the store. It is missing if its key is
// not in the store. It has lapsed if the store dropped it in an outage although its
// database is live; the database then registers again. A missing registration counts as
// ended: at once, or, shortly after an outage, once registrationRecovery has passed. From
// then on its database is leaving.
type registration struct {
	member dbset.Member
	// endedAt is when the registration counts as ended; zero while it exists. It
	// is in the future while the registration may have lapsed in an outage of the
	// store although its database is live.
	endedAt time.Time
}

func (members *members) setStoreRecovered(now time.Time) {
	members.mu.Lock()
	defer members.mu.Unlock()
	members.storeRecoveredAt = now
}

// isSettled reports whether the store has been up long enough for a missing
// registration to mean that its database has left.
func (members *members) isSettled(now time.Time) bool {
	members.mu.Lock()
	defer members.mu.Unlock()
	return now.Sub(members.storeRecoveredAt) >= registrationRecovery
}

// newMemberFeed returns the feed of the databases' registrations.
func (vm *VM) newMemberFeed() *feed {
	onSnapshot := func(items []store.Item) {
		vm.members.mu.Lock()
		present := make(map[string]bool, len(items))
		changed := make(groupNames)
		for _, item := range items {
			present[item.Key] = true
			vm.register(item, changed)
		}
		for key := range vm.members.byKey {
			if !present[key] {
				vm.members.end(key, vm.Clock.Now(), changed)
			}
		}
		vm.members.mu.Unlock()
		vm.reconcileMembers(changed)
	}
	onChanges := func(changes []store.Change) {
		vm.members.mu.Lock()
		changed := make(groupNames)
		for _, change := range changes {
			if change.IsRemoved {
				vm.members.end(change.Key, vm.Clock.Now(), changed)
			} else {
				vm.register(change.Item, changed)
			}
		}
		vm.members.mu.Unlock()
		vm.reconcileMembers(changed)
	}
	return &feed{
		prefix: vm.MemberPrefix, maxStaleness: maxMemberStaleness, catchUpPause: memberCatchUpPause,
		onSnapshot: onSnapshot, onChanges: onChanges,
	}
}

// groupNames is a set of groups.
type groupNames map[string]bool

// register stores a registration, and adds the groups whose databases it changes to changed;
// members.mu must be held. A registration that can't be decoded is logged and names no
// database. One that it replaces ends, but a live database soon registers again.
func (vm *VM) register(item store.Item, changed groupNames) {
	member, err := vm.DecodeMember(item.Key, item.Value)
	if err != nil {
		vm.Log.Write(event.EntryIgnored, event.Fields{"key": item.Key, "error": err.Error()})
		now := vm.Clock.Now()
		vm.members.endAt(item.Key, now.Add(registrationRecovery), now, changed)
		return
	}
	if vm.members.byKey == nil {
		vm.members.byKey = make(map[string]registration)
	}
	next := registration{member: member}
	if former, ok := vm.members.byKey[item.Key]; ok {
		if former == next {
			return
		}
		changed[former.member.Group] = true
	}
	changed[member.Group] = true
	vm.members.byKey[item.Key] = next
}

// end records that a registration is no longer in the store; members.mu must be held.
// After an outage of the store the end is deferred, since the database may register
// again. The group is added to changed if the database is leaving at once.
func (members *members) end(key string, now time.Time, changed groupNames) {
	endedAt := now
	if settledAt := members.storeRecoveredAt.Add(registrationRecovery); settledAt.After(now) {
		endedAt = settledAt
	}
	members.endAt(key, endedAt, now, changed)
}

// endAt records that a registration ends at a time, unless it already does; members.mu must be
// held.
func (members *members) endAt(key string, endedAt, now time.Time, changed groupNames) {
	registration, ok := members.byKey[key]
	if !ok || !registration.endedAt.IsZero() {
		return
	}
	registration.endedAt = endedAt
	members.byKey[key] = registration
	members.markLeaving(key, now, changed)
}

// markLeaving marks a database as leaving once its registration has ended, and adds its group
// to changed then. members.mu must be held.
func (members *members) markLeaving(key string, now time.Time, changed groupNames) {
	registration := members.byKey[key]
	if registration.member.HasEnded || registration.endedAt.IsZero() || registration.endedAt.After(now) {
		return
	}
	registration.member.Leaving, registration.member.HasEnded = true, true
	members.byKey[key] = registration
	changed[registration.member.Group] = true
}

// sweepMembers periodically removes databases whose registration ended, closes idle
// connections, and logs the state of the groups.
func (vm *VM) sweepMembers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-vm.tick(sweepInterval):
		}
		vm.pools.Trim()
		vm.summarize()
		vm.reconcileMembers(vm.members.sweep(vm.Clock.Now()))
		vm.retainOrders()
	}
}

// sweep marks databases as leaving and removes those whose retention has passed. It
// returns the groups whose databases changed.
func (members *members) sweep(now time.Time) groupNames {
	members.mu.Lock()
	defer members.mu.Unlock()
	changed := make(groupNames)
	for key, registration := range members.byKey {
		members.markLeaving(key, now, changed)
		if !registration.endedAt.IsZero() && now.Sub(registration.endedAt) > endedMemberRetention {
			delete(members.byKey, key)
			changed[registration.member.Group] = true
		}
	}
	return changed
}

// ofGroups returns the members of the chosen groups, and these members by group.
func (members *members) ofGroups(isChosen func(group string) bool) ([]dbset.Member, map[string][]dbset.Member) {
	members.mu.Lock()
	defer members.mu.Unlock()
	var chosen []dbset.Member
	byGroup := make(map[string][]dbset.Member)
	for _, registration := range members.byKey {
		if member := registration.member; isChosen(member.Group) {
			chosen = append(chosen, member)
			byGroup[member.Group] = append(byGroup[member.Group], member)
		}
	}
	return chosen, byGroup
}
