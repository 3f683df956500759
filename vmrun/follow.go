package vmrun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

const (
	// keeperWait is how long a keeper's watch waits; the store counts each as a
	// call. A watch that has fallen silent is found out only by its end, and a
	// configuration has to be in force 3 s after its acceptance.
	keeperWait = 1300 * time.Millisecond
	// followWait is how long the watches of VMs wait that hear no keeper.
	followWait = 1800 * time.Millisecond
	// configAge and memberAge are how old a VM's knowledge of the configuration
	// and of the registrations may be before it asks the store itself.
	configAge = 1900 * time.Millisecond
	memberAge = 3500 * time.Millisecond
	// gapAge is how old the knowledge must be for the store to have been down
	// meanwhile: longer than a watch.
	gapAge = 2200 * time.Millisecond
	// unknownAge stands for that of a prefix which was never read.
	unknownAge = time.Hour
	// feedLook is how often a VM that goes by its keeper's news looks at them.
	feedLook = 100 * time.Millisecond
	// storePause is the pause after a call of the store that failed. The
	// configuration has to be in force within seconds of the store's return.
	storePause = 400 * time.Millisecond
	// vmsEvery is how often the list of VMs is read, lineEvery how often a VM
	// writes its line.
	vmsEvery  = 4 * time.Second
	lineEvery = 6 * time.Second
	// provesFor is how long after that replicas' reports may stand for a keeper's
	// grant, and vmLapses how long keepers count with the VM: longer. Both outlast
	// a loss of the store; a VM that died costs failovers EvidenceFor until then.
	provesFor = 20 * time.Second
	vmLapses  = 25 * time.Second
	// knownFor is how long the first line must stand before: keepers have read it
	// by then.
	knownFor = vmsEvery + time.Second
	// lingers is how long a database whose registration ended is kept as leaving.
	lingers = 3 * time.Second
	// settles is how long after the store's return a registration may be missing
	// though its database lives: those that lapsed are back within two seconds.
	settles = 2300 * time.Millisecond
	// sweepEvery is how often databases that are gone, and idle connections, are
	// dropped.
	sweepEvery = 200 * time.Millisecond
	// vmPrefix is where VMs write their lines.
	vmPrefix = "bramley/vms/"
)

// follow reads a prefix and then all its changes.
func (vm *VM) follow(ctx context.Context, feed *feed) error {
	vm.members.storeIsBack(vm.Clock.Now())
	isFailing := false
	for ctx.Err() == nil {
		err := vm.followOnce(ctx, feed, func() {
			if isFailing {
				vm.Log.Write(event.StoreBack, event.Fields{"prefix": feed.prefix})
				vm.members.storeIsBack(vm.Clock.Now())
				isFailing = false
			}
		})
		if err == nil || errors.Is(err, store.ErrForgotten) {
			continue
		}
		if !isFailing && ctx.Err() == nil {
			vm.Log.Write(event.StoreFailing, event.Fields{"prefix": feed.prefix, "error": err.Error()})
			isFailing = true
		}
		select {
		case <-ctx.Done():
		case <-vm.Clock.After(vm.storePause()):
		}
	}
	return nil
}

// followOnce reads the prefix and follows it until the keeper tells of a change
// that a watch has not shown, or a call fails.
func (vm *VM) followOnce(ctx context.Context, feed *feed, answered func()) error {
	items, revision, err := vm.rangeAll(ctx, feed)
	if err != nil {
		return err
	}
	answered()
	vm.doubtAfterGap(feed)
	feed.read(items)
	var changed uint64
	for _, item := range items {
		changed = max(changed, item.Revision)
	}
	feed.cover(changed, revision, vm.Clock.Now())
	for {
		if !vm.awaitNeed(ctx, feed) {
			return ctx.Err()
		}
		changes, next, err := vm.Store.Follow(ctx, feed.prefix, revision, vm.watchWait())
		if err != nil {
			return err
		}
		vm.doubtAfterGap(feed)
		changed = 0
		for _, one := range changes {
			feed.change(one)
			changed = max(changed, one.Revision)
		}
		revision = max(revision, next)
		feed.cover(changed, revision, vm.Clock.Now())
	}
}

// rangeAll reads the prefix, without patience for a silent store while the VM knows
// nothing of it and serves nobody.
func (vm *VM) rangeAll(ctx context.Context, feed *feed) ([]store.Item, uint64, error) {
	if feed.isUnread() {
		return store.RangeEarly(ctx, vm.Store, vm.Clock, feed.prefix, false)
	}
	return vm.Store.Range(ctx, feed.prefix, false)
}

// doubtAfterGap doubts registrations that end while nobody has told how the store
// is: it may have been down.
func (vm *VM) doubtAfterGap(feed *feed) {
	if now := vm.Clock.Now(); feed.isOlder(now, gapAge) {
		vm.members.storeIsBack(now)
	}
}

// awaitNeed waits until the VM has to watch the store itself: as the keeper, or
// when the keeper's news are too old. It returns false when the prefix has to be
// read at once.
func (vm *VM) awaitNeed(ctx context.Context, feed *feed) bool {
	for {
		if feed.isBehind() {
			return false
		}
		if vm.IsKeeper() || feed.isOlder(vm.Clock.Now(), feed.maxAge) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-vm.Clock.After(feedLook):
		}
	}
}

func (vm *VM) watchWait() time.Duration {
	if vm.IsKeeper() {
		return keeperWait
	}
	return followWait
}

// storePause is shorter while the VM knows no configuration and serves nobody.
func (vm *VM) storePause() time.Duration {
	if vm.config.Load() == nil {
		return storePause / 4
	}
	return storePause
}

// newConfigFeed follows the operators' configuration.
func (vm *VM) newConfigFeed() *feed {
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
	return &feed{
		prefix: vm.ConfigKey, maxAge: configAge,
		read: func(items []store.Item) {
			for _, item := range items {
				offer(item)
			}
		},
		change: func(change store.Change) {
			if !change.IsRemoved {
				offer(change.Item)
			}
		},
	}
}
