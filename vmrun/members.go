package vmrun

import (
	"context"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

// members are the registrations as the store has them.
type members struct {
	mu    sync.Mutex
	known map[string]registered
	// backAt is when the store came back last, or the VM started.
	backAt time.Time
}

type registered struct {
	member dbset.Member
	// endedAt is when the registration ended, for sure; zero if it stands. It
	// may lie ahead, while the database may only have lapsed.
	endedAt time.Time
}

func (members *members) storeIsBack(now time.Time) {
	members.mu.Lock()
	defer members.mu.Unlock()
	members.backAt = now
}

// isSettled reports whether a database without a registration is gone.
func (members *members) isSettled(now time.Time) bool {
	members.mu.Lock()
	defer members.mu.Unlock()
	return now.Sub(members.backAt) >= settles
}

// newMemberFeed follows the registrations of databases.
func (vm *VM) newMemberFeed() *feed {
	read := func(items []store.Item) {
		vm.members.mu.Lock()
		found := make(map[string]bool, len(items))
		for _, item := range items {
			found[item.Key] = true
			vm.register(item)
		}
		for key := range vm.members.known {
			if !found[key] {
				vm.members.end(key, vm.Clock.Now())
			}
		}
		vm.members.mu.Unlock()
		vm.rearrange()
	}
	change := func(change store.Change) {
		vm.members.mu.Lock()
		if change.IsRemoved {
			vm.members.end(change.Key, vm.Clock.Now())
		} else {
			vm.register(change.Item)
		}
		vm.members.mu.Unlock()
		vm.rearrange()
	}
	return &feed{prefix: vm.MemberPrefix, maxAge: memberAge, read: read, change: change}
}

// register takes a registration. One that can't be read names no database.
func (vm *VM) register(item store.Item) {
	member, err := vm.DecodeMember(item.Key, item.Value)
	if err != nil {
		vm.Log.Write(event.EntryIgnored, event.Fields{"key": item.Key, "error": err.Error()})
		return
	}
	if vm.members.known == nil {
		vm.members.known = make(map[string]registered)
	}
	vm.members.known[item.Key] = registered{member: member}
}

func (members *members) end(key string, now time.Time) {
	known, ok := members.known[key]
	if !ok || !known.endedAt.IsZero() {
		return
	}
	known.endedAt = now
	if settled := members.backAt.Add(settles); settled.After(now) {
		known.endedAt = settled
	}
	members.known[key] = known
	members.leave(key, now)
}

// leave marks a database as leaving once its registration has ended.
func (members *members) leave(key string, now time.Time) bool {
	known := members.known[key]
	if known.member.Leaving || known.endedAt.IsZero() || known.endedAt.After(now) {
		return false
	}
	known.member.Leaving = true
	members.known[key] = known
	return true
}

// sweepMembers drops databases whose registration has ended for good.
func (vm *VM) sweepMembers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-vm.Clock.After(sweepEvery):
		}
		vm.links.Trim()
		vm.summarize()
		if vm.members.sweep(vm.Clock.Now()) {
			vm.rearrange()
		}
	}
}

func (members *members) sweep(now time.Time) bool {
	members.mu.Lock()
	defer members.mu.Unlock()
	var isChanged bool
	for key, known := range members.known {
		isChanged = members.leave(key, now) || isChanged
		if !known.endedAt.IsZero() && now.Sub(known.endedAt) > lingers {
			delete(members.known, key)
			isChanged = true
		}
	}
	return isChanged
}

// all returns the members, by group.
func (members *members) all() ([]dbset.Member, map[string][]dbset.Member) {
	members.mu.Lock()
	defer members.mu.Unlock()
	all := make([]dbset.Member, 0, len(members.known))
	byGroup := make(map[string][]dbset.Member)
	for _, known := range members.known {
		all = append(all, known.member)
		byGroup[known.member.Group] = append(byGroup[known.member.Group], known.member)
	}
	return all, byGroup
}
