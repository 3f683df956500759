package vmrun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/remote"
	"github.com/bramleydoor/bramleydoor/store"
)

const (
	// leaderWatchTimeout bounds each watch of the leader. A shorter timeout costs more
	// calls, since the store counts each watch as a call. A longer one delays the
	// configuration, which must be in force within 3 s of its acceptance: a watch
	// that the store no longer answers is detected only when it ends.
	leaderWatchTimeout = 1300 * time.Millisecond
	// otherWatchTimeout bounds the watches of VMs that get no store state from a
	// leader.
	otherWatchTimeout = 1800 * time.Millisecond
	// maxConfigStaleness and maxMemberStaleness are the greatest ages of a VM's copy
	// of the configuration and of the registrations. When a copy is older, the VM
	// watches the store itself. Both are longer than leaderWatchTimeout, since the
	// leader's own copy gets that old between two watches.
	maxConfigStaleness = 1900 * time.Millisecond
	maxMemberStaleness = 3500 * time.Millisecond
	// outageStaleness is the age of a copy beyond which the VM can't rule out that
	// the store was down since. It is longer than a watch, which may return nothing
	// until its timeout while the store is up.
	outageStaleness = 2200 * time.Millisecond
	// memberCatchUpPause is the pause between two reads of changed registrations in a large
	// fleet. A database that leaves may get requests for some seconds more.
	memberCatchUpPause = 1 * time.Second
	// neverReadAge is the age reported for a prefix that was never read.
	neverReadAge = time.Hour
	// feedCheckInterval is how often a VM that relies on the leader's store state
	// checks whether it has to read the store itself.
	feedCheckInterval = pollInterval
	// storeRetryDelay is the pause after a failed call of the store. The
	// configuration must be in force within seconds of the store's recovery.
	storeRetryDelay = 400 * time.Millisecond
	// vmListInterval is how often the list of VMs is read, vmRecordInterval how
	// often a VM writes its own record.
	vmListInterval   = 4 * time.Second
	vmRecordInterval = 15 * time.Second
	// settleDelay is the time within which the VMs of a fleet that starts write their first
	// records. Until the list of VMs is settled it is read again after this time, then after
	// twice the time, up to vmListInterval.
	settleDelay = 1 * time.Second
	// evidenceAllowedFor is how long after its last record was written a VM may use
	// evidence, that is replicas' reports in place of a lease. vmRecordTTL is how long
	// leaders regard a VM as live whose record doesn't change; it is longer, so that a
	// leader waits for the evidence of every VM that may use it. Both outlast an outage
	// of the store, in which no records are written. Until its record expires, a dead
	// VM delays each failover by dbset.EvidenceDuration.
	evidenceAllowedFor = 40 * time.Second
	vmRecordTTL        = 45 * time.Second
	// vmRecordPropagation is how long a VM's first record must exist before the VM
	// may use evidence: leaders have read the record by then.
	vmRecordPropagation = vmListInterval + time.Second
	// vmListCompleteFor is how long after a read of the store's present state a leader knows all VMs
	// that may use evidence. It leaves time for the rest of a revocation, and for clocks that run at
	// different rates.
	vmListCompleteFor = vmRecordPropagation / 2
	// endedMemberRetention is how long a database whose registration ended is kept
	// as leaving.
	endedMemberRetention = 3 * time.Second
	// registrationRecovery is how long after the store's recovery the registration
	// of a live database may be missing: registrations that lapsed in the outage
	// return within 2 s. See registration for the terms.
	registrationRecovery = 2300 * time.Millisecond
	// sweepInterval is how often ended registrations are removed and idle
	// connections closed.
	sweepInterval = pollInterval
	// ownPrefix is the prefix of all records of bramleydoor in the store, vmPrefix that of
	// the VMs' records. A read of the former is one call as well. lostPrefix is that of the
	// operators' entries, by the IDs of databases that are lost; the values don't matter.
	ownPrefix  = "bramley/"
	vmPrefix   = ownPrefix + "vms/"
	lostPrefix = ownPrefix + "lost/"
)

// follow reads a prefix and then watches its changes, until ctx ends. It logs when
// the store starts to fail and when it recovers.
func (vm *VM) follow(ctx context.Context, feed *feed) error {
	vm.members.setStoreRecovered(vm.Clock.Now())
	isFailing := false
	for ctx.Err() == nil {
		err := vm.followOnce(ctx, feed, func() {
			if isFailing {
				vm.Log.Write(event.StoreRecovered, event.Fields{"prefix": feed.prefix})
				vm.members.setStoreRecovered(vm.Clock.Now())
				isFailing = false
			}
		})
		if err == nil || errors.Is(err, store.ErrCompacted) {
			continue
		}
		if !isFailing && ctx.Err() == nil {
			vm.Log.Write(event.StoreFailing, event.Fields{"prefix": feed.prefix, "error": err.Error()})
			isFailing = true
		}
		select {
		case <-ctx.Done():
		case <-vm.Clock.After(vm.retryDelay()):
		}
	}
	return nil
}

// followOnce reads the prefix and watches it until a call fails, or the leader reports a
// change that neither a watch has returned nor the leader itself. In the latter case it
// returns nil, and the prefix has to be read again. It calls onRead when the store has
// answered. If the read fails, the leader's copy will do: a VM that can't reach the store has to get revocations of
// keys, too. The first read is always that of the store, since an older copy may have keys
// that were revoked before the VM started.
func (vm *VM) followOnce(ctx context.Context, feed *feed, onRead func()) error {
	items, revision, err := vm.readPrefix(ctx, feed)
	switch {
	case err == nil:
		onRead()
		vm.assumeOutageAfterGap(feed)
		feed.applySnapshot(items, revision, vm.Clock.Now())
	case !feed.isUnread() && vm.readFromLeader(feed, true):
		revision = feed.covered()
	default:
		return err
	}
	for {
		timeout := vm.watchTimeout()
		if !vm.waitUntilWatchNeeded(ctx, feed) {
			feed.caughtUpAt = vm.Clock.Now()
			if ctx.Err() == nil && vm.readFromLeader(feed, false) {
				revision = feed.covered()
				continue
			}
			if ctx.Err() != nil || !vm.isLargeFleet() {
				return ctx.Err()
			}
			// The changes are far smaller than the prefix, which all VMs would read at once.
			timeout = behindWatchTimeout
		}
		changes, next, err := vm.Store.Watch(ctx, feed.prefix, revision, timeout)
		if err != nil {
			return err
		}
		onRead()
		vm.assumeOutageAfterGap(feed)
		revision = max(revision, next)
		feed.applyChanges(changes, revision, vm.Clock.Now())
	}
}

// behindWatchTimeout bounds a watch for changes that are known to exist.
const behindWatchTimeout = 200 * time.Millisecond

// leaderReadTimeout bounds a request to the leader for changes. After that the VM reads the
// store itself.
const leaderReadTimeout = 200 * time.Millisecond

// readFromLeader gets the changes of the prefix that the VM lacks from the leader: the store
// limits and charges the calls of all VMs together. It returns false if the copy is not up
// to date then. hasNoStore asks for changes of any size.
func (vm *VM) readFromLeader(feed *feed, hasNoStore bool) bool {
	leader := vm.elector.Leader()
	if vm.peers == nil || leader == "" || leader == vm.id() {
		return false
	}
	client := vm.peers.Usable(leader)
	if client == nil {
		return false
	}
	requestedAt := vm.Clock.Now()
	query := remote.ChangesQuery{Prefix: feed.prefix, After: feed.covered(), HasNoStore: hasNoStore}
	changes, err := client.Changes(query, leaderReadTimeout)
	return err == nil && feed.applyFromLeader(changes, requestedAt)
}

// changesAfter answers another VM's request for the changes of a prefix.
func (vm *VM) changesAfter(query remote.ChangesQuery) remote.Changes {
	for _, feed := range []*feed{vm.configFeed, vm.memberFeed} {
		if feed.prefix == query.Prefix {
			return feed.changesAfter(query, vm.Clock.Now())
		}
	}
	return remote.Changes{}
}

// readPrefix reads the prefix. The first read is repeated while the store doesn't
// answer: until it succeeds the VM can't serve.
func (vm *VM) readPrefix(ctx context.Context, feed *feed) ([]store.Item, uint64, error) {
	if feed.isUnread() {
		return store.RangeWithRetry(ctx, vm.Store, vm.Clock, feed.prefix, false)
	}
	return vm.Store.Range(ctx, feed.prefix, false)
}

// assumeOutageAfterGap assumes that the store was down if the copy of the prefix is
// older than outageStaleness: a registration that is missing then may have lapsed
// although its database is live.
func (vm *VM) assumeOutageAfterGap(feed *feed) {
	if now := vm.Clock.Now(); feed.isOlderThan(now, outageStaleness) {
		vm.members.setStoreRecovered(now)
	}
}

// waitUntilWatchNeeded waits until the VM has to watch the store itself: as the
// leader, or when its copy is too old. It returns false when the prefix has to be
// read again at once, or ctx ends.
func (vm *VM) waitUntilWatchNeeded(ctx context.Context, feed *feed) bool {
	for {
		if feed.isBehind() && vm.mayCatchUp(feed) {
			return false
		}
		if vm.IsLeader() || feed.isOlderThan(vm.Clock.Now(), feed.maxStaleness) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-vm.tick(feedCheckInterval):
		}
	}
}

// mayCatchUp reports whether the VM may now read changes that a leader reported. In a large
// fleet, each VM reads many changes at once, rather than all VMs each change.
func (vm *VM) mayCatchUp(feed *feed) bool {
	return vm.IsLeader() || !vm.isLargeFleet() || vm.Clock.Now().Sub(feed.caughtUpAt) >= feed.catchUpPause
}

func (vm *VM) watchTimeout() time.Duration {
	if vm.IsLeader() {
		return leaderWatchTimeout
	}
	return otherWatchTimeout
}

// retryDelay returns storeRetryDelay, or a shorter delay while the VM has no
// configuration and can't serve.
func (vm *VM) retryDelay() time.Duration {
	if vm.config.Load() == nil {
		return storeRetryDelay / 4
	}
	return storeRetryDelay
}

// newConfigFeed returns the feed of the operators' configuration.
func (vm *VM) newConfigFeed() *feed {
	apply := func(item store.Item) {
		if item.Key != vm.ConfigKey {
			return
		}
		next, err := vm.DecodeConfig(item.Value)
		if err != nil {
			vm.Log.Write(event.ConfigRefused, event.Fields{"revision": item.Revision, "error": err.Error()})
			return
		}
		vm.addGroups(next)
		if vm.config.Install(next) {
			vm.engine.ApplyKeys()
			vm.Log.Write(event.ConfigApplied, event.Fields{"number": next.Version})
			for _, problem := range next.Problems {
				vm.Log.Write(event.EntryIgnored, event.Fields{"key": vm.ConfigKey, "error": problem})
			}
			vm.reconcile()
		}
	}
	return &feed{
		prefix: vm.ConfigKey, maxStaleness: maxConfigStaleness,
		onSnapshot: func(items []store.Item) {
			for _, item := range items {
				apply(item)
			}
		},
		onChanges: func(changes []store.Change) {
			for _, change := range changes {
				if !change.IsRemoved {
					apply(change.Item)
				}
			}
		},
	}
}
