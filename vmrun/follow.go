package vmrun

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

const (
	// followWait is how long a watch waits. The store counts each as a call, but
	// one that has fallen silent is found out only by its end, and a
	// configuration has to be in force 3 s after its acceptance.
	followWait = 1800 * time.Millisecond
	// knownFor is how long the VM's own line must stand before replicas' reports
	// stand for a keeper's grant: keepers have read it by then.
	knownFor = 3 * time.Second
	// storePause is the pause after a call of the store that failed. The
	// configuration has to be in force within seconds of the store's return.
	storePause = 400 * time.Millisecond
	// vmsEvery is how often the list of VMs is read.
	vmsEvery = 2 * time.Second
	// vmLapses is how long a VM's line may be unchanged before it is not counted.
	vmLapses = 8 * time.Second
	// lingers is how long a database whose registration ended is kept as leaving.
	lingers = 3 * time.Second
	// settles is how long after the store's return a registration may be missing
	// though its database lives: those that lapsed are back within two seconds.
	settles = 2300 * time.Millisecond
	// sweepEvery is how often databases that are gone, and idle connections, are
	// dropped.
	sweepEvery = 500 * time.Millisecond
	// vmPrefix is where VMs write their lines.
	vmPrefix = "bramley/vms/"
)

// follow reads a prefix and then all its changes. read gets all items, change
// one.
func (vm *VM) follow(ctx context.Context, prefix string, read func([]store.Item), change func(store.Change)) error {
	vm.members.storeIsBack(vm.Clock.Now())
	isFailing := false
	for ctx.Err() == nil {
		err := vm.followOnce(ctx, prefix, func(items []store.Item) {
			if isFailing {
				vm.Log.Write(event.StoreBack, event.Fields{"prefix": prefix})
				vm.members.storeIsBack(vm.Clock.Now())
				isFailing = false
			}
			read(items)
		}, change)
		if errors.Is(err, store.ErrForgotten) {
			continue
		}
		if !isFailing && ctx.Err() == nil {
			vm.Log.Write(event.StoreFailing, event.Fields{"prefix": prefix, "error": err.Error()})
			isFailing = true
		}
		select {
		case <-ctx.Done():
		case <-vm.Clock.After(vm.storePause()):
		}
	}
	return nil
}

// storePause is shorter while the VM knows no configuration and serves nobody.
func (vm *VM) storePause() time.Duration {
	if vm.config.Load() == nil {
		return storePause / 4
	}
	return storePause
}

func (vm *VM) followOnce(ctx context.Context, prefix string, read func([]store.Item), change func(store.Change)) error {
	items, revision, err := vm.Store.Range(ctx, prefix, false)
	if err != nil {
		return err
	}
	read(items)
	for {
		changes, next, err := vm.Store.Follow(ctx, prefix, revision, followWait)
		if err != nil {
			return err
		}
		for _, one := range changes {
			change(one)
		}
		revision = max(revision, next)
	}
}

func (vm *VM) followConfig(ctx context.Context) error {
	offer := func(item store.Item) {
		if item.Key != vm.ConfigKey {
			return
		}
		next, err := vm.DecodeConfig(item.Value)
		if err != nil {
			vm.Log.Write(event.ConfigRefused, event.Fields{"revision": item.Revision, "error": err.Error()})
			return
		}
		if vm.config.Offer(next) {
			vm.Log.Write(event.ConfigApplied, event.Fields{"number": next.Version})
			vm.rearrange()
		}
	}
	read := func(items []store.Item) {
		for _, item := range items {
			offer(item)
		}
	}
	change := func(change store.Change) {
		if !change.IsRemoved {
			offer(change.Item)
		}
	}
	return vm.follow(ctx, vm.ConfigKey, read, change)
}

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

func (vm *VM) followMembers(ctx context.Context) error {
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
	return vm.follow(ctx, vm.MemberPrefix, read, change)
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

// vms is how many VMs share the databases' connections.
type vms struct {
	mu    sync.Mutex
	lines map[string]line
}

type line struct {
	revision uint64
	// firstAt is when the VM was first seen, seenAt when its line last changed.
	firstAt time.Time
	seenAt  time.Time
}

// names returns the VMs known.
func (vms *vms) names() []string {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	names := make([]string, 0, len(vms.lines))
	for key := range vms.lines {
		names = append(names, strings.TrimPrefix(key, vmPrefix))
	}
	return names
}

// isKnownSince reports whether a VM's line has stood since a time.
func (vms *vms) isKnownSince(vm string, since time.Time) bool {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	known, ok := vms.lines[vmPrefix+vm]
	return ok && known.firstAt.Before(since)
}

// count returns how many VMs are there as far as known.
func (vms *vms) count() int {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	return len(vms.lines)
}

func (vms *vms) saw(items []store.Item, now time.Time) {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	next := make(map[string]line, len(items))
	for _, item := range items {
		known, ok := vms.lines[item.Key]
		if !ok || known.revision != item.Revision {
			if !ok {
				known.firstAt = now
			}
			known.revision, known.seenAt = item.Revision, now
		}
		if now.Sub(known.seenAt) <= vmLapses || len(items) == 1 {
			next[item.Key] = known
		}
	}
	vms.lines = next
}

// followVMs writes the VM's own line now and then and reads all.
func (vm *VM) followVMs(ctx context.Context) error {
	value, err := json.Marshal(struct {
		Zone    string `json:"zone"`
		Address string `json:"address"`
	}{vm.Zone, vm.Address})
	if err != nil {
		return err
	}
	key := vmPrefix + vm.id()
	var own store.Item
	var writtenAt time.Time
	for {
		if now := vm.Clock.Now(); writtenAt.IsZero() || now.Sub(writtenAt) > vmLapses/2 {
			item, err := vm.Store.Swap(ctx, key, value, own.Revision)
			if err == nil || errors.Is(err, store.ErrConflict) {
				own = item
			}
			if err == nil {
				writtenAt = now
			}
		}
		if items, _, err := vm.Store.Range(ctx, vmPrefix, true); err == nil {
			vm.vms.saw(items, vm.Clock.Now())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-vm.Clock.After(vmsEvery):
		}
	}
}
