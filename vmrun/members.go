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
		for _, item := range items {
			present[item.Key] = true
			vm.register(item)
		}
		for key := range vm.members.byKey {
			if !present[key] {
				vm.members.end(key, vm.Clock.Now())
			}
		}
		vm.members.mu.Unlock()
		vm.reconcile()
	}
	onChange := func(change store.Change) {
		vm.members.mu.Lock()
		if change.IsRemoved {
			vm.members.end(change.Key, vm.Clock.Now())
		} else {
			vm.register(change.Item)
		}
		vm.members.mu.Unlock()
		vm.reconcile()
	}
	return &feed{prefix: vm.MemberPrefix, maxStaleness: maxMemberStaleness, onSnapshot: onSnapshot, onChange: onChange}
}

// register stores a registration; members.mu must be held. A registration that can't be
// decoded is logged and ignored.
func (vm *VM) register(item store.Item) {
	member, err := vm.DecodeMember(item.Key, item.Value)
	if err != nil {
		vm.Log.Write(event.EntryIgnored, event.Fields{"key": item.Key, "error": err.Error()})
		return
	}
	if vm.members.byKey == nil {
		vm.members.byKey = make(map[string]registration)
	}
	vm.members.byKey[item.Key] = registration{member: member}
}

// end records that a registration is no longer in the store; members.mu must be held.
// After an outage of the store the end is deferred, since the database may register
// again.
func (members *members) end(key string, now time.Time) {
	registration, ok := members.byKey[key]
	if !ok || !registration.endedAt.IsZero() {
		return
	}
	registration.endedAt = now
	if settledAt := members.storeRecoveredAt.Add(registrationRecovery); settledAt.After(now) {
		registration.endedAt = settledAt
	}
	members.byKey[key] = registration
	members.markLeaving(key, now)
}

// markLeaving marks a database as leaving once its registration has ended, and
// reports whether that changed it. members.mu must be held.
func (members *members) markLeaving(key string, now time.Time) bool {
	registration := members.byKey[key]
	if registration.member.Leaving || registration.endedAt.IsZero() || registration.endedAt.After(now) {
		return false
	}
	registration.member.Leaving = true
	members.byKey[key] = registration
	return true
}

// sweepMembers periodically removes databases whose registration ended, closes idle
// connections, and logs the state of the groups.
func (vm *VM) sweepMembers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-vm.Clock.After(sweepInterval):
		}
		vm.pools.Trim()
		vm.summarize()
		if vm.members.sweep(vm.Clock.Now()) {
			vm.reconcile()
		}
	}
}

// sweep marks databases as leaving and removes those whose retention has passed. It
// reports whether anything changed.
func (members *members) sweep(now time.Time) bool {
	members.mu.Lock()
	defer members.mu.Unlock()
	var isChanged bool
	for key, registration := range members.byKey {
		isChanged = members.markLeaving(key, now) || isChanged
		if !registration.endedAt.IsZero() && now.Sub(registration.endedAt) > endedMemberRetention {
			delete(members.byKey, key)
			isChanged = true
		}
	}
	return isChanged
}

// all returns all members, and the members by group.
func (members *members) all() ([]dbset.Member, map[string][]dbset.Member) {
	members.mu.Lock()
	defer members.mu.Unlock()
	all := make([]dbset.Member, 0, len(members.byKey))
	byGroup := make(map[string][]dbset.Member)
	for _, registration := range members.byKey {
		all = append(all, registration.member)
		byGroup[registration.member.Group] = append(byGroup[registration.member.Group], registration.member)
	}
	return all, byGroup
}
