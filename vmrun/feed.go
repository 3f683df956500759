package vmrun

import (
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/lease"
	"github.com/bramleydoor/bramleydoor/store"
)

// feed tracks the VM's position in the change history of one prefix of the store.
type feed struct {
	prefix string
	// maxStaleness is the greatest age of the VM's copy of the prefix. When the copy
	// is older, the VM watches the store itself.
	maxStaleness time.Duration
	onSnapshot   func([]store.Item)
	onChange     func(store.Change)

	mu sync.Mutex
	// coveredRevision is the revision up to which all changes are known.
	coveredRevision uint64
	// lastChange is the revision of the last change that is known.
	lastChange uint64
	// currentAt is the latest time at which the copy was known to be complete.
	currentAt time.Time
	// leaderChange is the revision of the last change that a leader reported.
	leaderChange uint64
}

// advance records that the VM knows all changes up to the revision covered, of which
// the last has the revision lastChange.
func (feed *feed) advance(lastChange, covered uint64, now time.Time) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.lastChange, feed.coveredRevision, feed.currentAt = max(feed.lastChange, lastChange), max(feed.coveredRevision, covered), now
}

// applyStatus records the status of the feed that a leader sent. Its age counts from
// the time of the request, the earliest at which the leader can have measured it.
func (feed *feed) applyStatus(status lease.Feed, requestedAt time.Time) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.leaderChange = max(feed.leaderChange, status.Changed)
	age := max(time.Duration(status.AgeMS)*time.Millisecond, 0)
	if currentAt := requestedAt.Add(-age); feed.leaderChange <= feed.coveredRevision && currentAt.After(feed.currentAt) {
		feed.currentAt = currentAt
	}
}

// status returns the feed's position and age, which the leader sends to VMs that don't
// watch the store.
func (feed *feed) status(now time.Time) lease.Feed {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	age := min(now.Sub(feed.currentAt), neverReadAge)
	return lease.Feed{Changed: feed.lastChange, AgeMS: age.Milliseconds() + 1}
}

// isBehind reports whether a leader reported a change that the VM has not read.
func (feed *feed) isBehind() bool {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return feed.leaderChange > feed.coveredRevision
}

// isUnread reports whether the prefix was never read.
func (feed *feed) isUnread() bool {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return feed.currentAt.IsZero()
}

func (feed *feed) isOlderThan(now time.Time, age time.Duration) bool {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return now.Sub(feed.currentAt) > age
}

// storeState returns how far the VM follows the store. The leader sends it with its
// replies, so that other VMs need not watch the store.
func (vm *VM) storeState() lease.StoreState {
	now := vm.Clock.Now()
	revision, age := vm.elector.OwnHeartbeat()
	return lease.StoreState{
		Feeds:          []lease.Feed{vm.configFeed.status(now), vm.memberFeed.status(now)},
		LeaderRevision: revision, LeaderAgeMS: age.Milliseconds(),
	}
}

// applyStoreState records the store state that a leader sent with its reply.
func (vm *VM) applyStoreState(storeState lease.StoreState, sender lease.Leader, requestedAt time.Time) {
	for i, feed := range []*feed{vm.configFeed, vm.memberFeed} {
		if i < len(storeState.Feeds) {
			feed.applyStatus(storeState.Feeds[i], requestedAt)
		}
	}
	now := vm.Clock.Now()
	vm.vmList.setLeaderCount(storeState.VMs, now)
	vm.elector.ObserveHeartbeat(leader.Heartbeat{
		Leader: sender.VM, Token: sender.Token, Revision: storeState.LeaderRevision,
		At: now.Add(-time.Duration(storeState.LeaderAgeMS) * time.Millisecond),
	})
}
