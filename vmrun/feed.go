package vmrun

import (
	"slices"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/lease"
	"github.com/bramleydoor/bramleydoor/remote"
	"github.com/bramleydoor/bramleydoor/store"
)

// feed tracks the VM's position in the change history of one prefix of the store.
type feed struct {
	prefix string
	// maxStaleness is the greatest age of the VM's copy of the prefix. When the copy
	// is older, the VM watches the store itself.
	maxStaleness time.Duration
	// catchUpPause is the least time between two reads of changes that a leader reported;
	// caughtUpAt, the time of the last one, is used by follow only.
	catchUpPause time.Duration
	caughtUpAt   time.Time
	onSnapshot   func([]store.Item)
	onChanges    func([]store.Change)

	mu sync.Mutex
	// items is the VM's copy of the prefix. history has the last changes, complete after
	// the revision historyStart.
	items        map[string]store.Item
	history      []store.Change
	historyStart uint64
	// coveredRevision is the revision up to which all changes are known.
	coveredRevision uint64
	// lastChange is the revision of the last change that is known.
	lastChange uint64
	// currentAt is the latest time at which the copy was known to be complete.
	currentAt time.Time
	// largeAnswerAt is when the last answer beyond maxChangesBytes was given.
	largeAnswerAt time.Time
	// leaderChange is the revision of the last change that a leader reported.
	leaderChange uint64
}

// maxHistory is the number of changes that are kept for VMs that ask for them.
const maxHistory = 256

// applySnapshot replaces the copy by all items of the prefix, read at the revision covered
// and complete at the time currentAt.
func (feed *feed) applySnapshot(items []store.Item, covered uint64, currentAt time.Time) {
	feed.onSnapshot(items)
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.items = make(map[string]store.Item, len(items))
	for _, item := range items {
		feed.items[item.Key] = item
		feed.lastChange = max(feed.lastChange, item.Revision)
	}
	feed.history, feed.historyStart = nil, covered
	feed.coveredRevision, feed.currentAt = max(feed.coveredRevision, covered), currentAt
}

// applyChanges applies all changes up to the revision covered, complete at the time
// currentAt.
func (feed *feed) applyChanges(changes []store.Change, covered uint64, currentAt time.Time) {
	if len(changes) > 0 {
		feed.onChanges(changes)
	}
	feed.mu.Lock()
	defer feed.mu.Unlock()
	for _, change := range changes {
		if change.IsRemoved {
			delete(feed.items, change.Key)
		} else {
			feed.items[change.Key] = change.Item
		}
		feed.lastChange = max(feed.lastChange, change.Revision)
	}
	feed.history = append(feed.history, changes...)
	if excess := len(feed.history) - maxHistory; excess > 0 {
		feed.historyStart = feed.history[excess-1].Revision
		feed.history = slices.Clone(feed.history[excess:])
	}
	feed.coveredRevision, feed.currentAt = max(feed.coveredRevision, covered), currentAt
}

// largeAnswerInterval is the least time between two answers beyond maxChangesBytes, which go
// to VMs that can't read the store: a leader's link is narrow, and where the store is down for
// all VMs, their answers would fill it.
const largeAnswerInterval = 100 * time.Millisecond

// maxChangesBytes bounds the values in one answer to another VM. All VMs ask the leader at
// once, and its network link is narrow compared to the store's.
const maxChangesBytes = 16 << 10

// changesAfter returns the changes after a revision, or all items if the history doesn't
// reach back that far. Beyond maxChangesBytes it returns none, and the other VM reads the
// store itself, unless it can't.
func (feed *feed) changesAfter(query remote.ChangesQuery, now time.Time) remote.Changes {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	after := query.After
	changes := remote.Changes{
		IsKnown: !feed.currentAt.IsZero(), IsSnapshot: after < feed.historyStart,
		Covered: feed.coveredRevision, Age: now.Sub(feed.currentAt),
	}
	if changes.IsSnapshot {
		for _, item := range feed.items {
			changes.Changes = append(changes.Changes, store.Change{Item: item})
		}
	} else {
		for _, change := range feed.history {
			if change.Revision > after {
				changes.Changes = append(changes.Changes, change)
			}
		}
	}
	var bytes int
	for _, change := range changes.Changes {
		bytes += len(change.Value)
	}
	if bytes > maxChangesBytes && (!query.HasNoStore || now.Sub(feed.largeAnswerAt) < largeAnswerInterval) {
		return remote.Changes{}
	}
	if bytes > maxChangesBytes {
		feed.largeAnswerAt = now
	}
	return changes
}

// applyFromLeader applies the changes that the leader sent in answer to a request of
// requestedAt. It returns false if they don't bring the copy up to date, or are older than it.
func (feed *feed) applyFromLeader(changes remote.Changes, requestedAt time.Time) bool {
	feed.mu.Lock()
	needed := max(feed.leaderChange, feed.coveredRevision)
	feed.mu.Unlock()
	if !changes.IsKnown || changes.Covered < needed {
		return false
	}
	currentAt := requestedAt.Add(-changes.Age)
	if !changes.IsSnapshot {
		feed.applyChanges(changes.Changes, changes.Covered, currentAt)
		return true
	}
	items := make([]store.Item, 0, len(changes.Changes))
	for _, change := range changes.Changes {
		items = append(items, change.Item)
	}
	feed.applySnapshot(items, changes.Covered, currentAt)
	return true
}

// covered returns the revision up to which all changes are known.
func (feed *feed) covered() uint64 {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return feed.coveredRevision
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

// completeAt returns the latest time at which the copy was known to be complete.
func (feed *feed) completeAt() time.Time {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return feed.currentAt
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
