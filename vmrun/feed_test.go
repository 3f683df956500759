package vmrun

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/lease"
	"github.com/bramleydoor/bramleydoor/remote"
	"github.com/bramleydoor/bramleydoor/store"
)

// newTestFeed returns a feed that records nothing but its own state.
func newTestFeed() *feed {
	return &feed{onSnapshot: func([]store.Item) {}, onChanges: func([]store.Change) {}}
}

// items returns one item, last changed at a revision.
func items(revision uint64) []store.Item {
	return []store.Item{{Key: "members/a", Revision: revision}}
}

// The status of a leader that has not read the prefix must not make the VM's feed count
// as current. A status with a negative age must make it count as current as of the
// request, and no later.
func TestStatusUnreadOrOfNegativeAge(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	unread, known := newTestFeed(), newTestFeed()
	known.applySnapshot(items(4), 5, now)
	later := now.Add(10 * time.Second)
	known.applyStatus(unread.status(later), later)
	c.Assert(known.isOlderThan(later, 9*time.Second), qt.IsTrue)
	known.applyStatus(lease.Feed{Changed: 4, AgeMS: -5000}, later)
	c.Assert(known.isOlderThan(later.Add(time.Second), 500*time.Millisecond), qt.IsTrue)
}

// A leader's status counts from the time of its request, and makes the feed current
// only if it reports no change that the feed lacks.
func TestFeedStatus(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	known := newTestFeed()
	known.applySnapshot(items(4), 5, now)
	known.applyStatus(lease.Feed{Changed: 4, AgeMS: 100}, at(1000))
	c.Assert(known.isOlderThan(at(1000), 99*time.Millisecond), qt.IsTrue)
	c.Assert(known.isOlderThan(at(1000), 101*time.Millisecond), qt.IsFalse)
	c.Assert(known.isBehind(), qt.IsFalse)
	known.applyStatus(lease.Feed{Changed: 6, AgeMS: 0}, at(2000))
	c.Assert(known.isBehind(), qt.IsTrue)
	c.Assert(known.isOlderThan(at(2000), time.Second), qt.IsTrue)
	known.applyChanges([]store.Change{{Item: items(6)[0]}}, 6, at(2100))
	c.Assert(known.isBehind(), qt.IsFalse)
}

// A VM that lacks changes gets them from the leader: those after its revision, or all items
// if the leader's history doesn't reach back that far. It is then up to date and has the
// same items, removed ones not among them.
func TestChangesFromLeader(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	leader := newTestFeed()
	leader.applySnapshot(items(4), 5, now)
	behind, fresh := newTestFeed(), newTestFeed()
	behind.applySnapshot(items(4), 5, now)
	fresh.applySnapshot(nil, 1, now)
	leader.applyChanges([]store.Change{
		{Item: store.Item{Key: "members/b", Revision: 7}},
		{Item: store.Item{Key: "members/a", Revision: 8}, IsRemoved: true},
	}, 9, now)

	for _, follower := range []*feed{behind, fresh} {
		follower.applyStatus(leader.status(now), now)
		c.Assert(follower.isBehind(), qt.IsTrue)
		changes := leader.changesAfter(remote.ChangesQuery{After: follower.covered()}, now.Add(30*time.Millisecond))
		c.Assert(changes.IsSnapshot, qt.Equals, follower == fresh)
		c.Assert(follower.applyFromLeader(changes, now.Add(time.Second)), qt.IsTrue)
		c.Assert(follower.isBehind(), qt.IsFalse)
		c.Assert(follower.items, qt.DeepEquals, leader.items)
		c.Assert(follower.currentAt, qt.Equals, now.Add(970*time.Millisecond))
	}
}

// Changes that don't reach the revision that a leader has reported, or of a VM that has not
// read the prefix, leave the copy as it is: it is read from the store then.
func TestIncompleteChangesFromLeader(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	known := newTestFeed()
	known.applySnapshot(items(4), 5, now)
	known.applyStatus(lease.Feed{Changed: 9}, now)
	c.Assert(known.applyFromLeader(remote.Changes{IsKnown: true, Covered: 8}, now), qt.IsFalse)
	c.Assert(known.applyFromLeader(newTestFeed().changesAfter(remote.ChangesQuery{After: 5}, now), now), qt.IsFalse)
	c.Assert(known.covered(), qt.Equals, uint64(5))
	c.Assert(known.isBehind(), qt.IsTrue)
}

// Guards against a copy that goes back, with keys that were revoked since, where the changes
// are those of a leader that knows less than the VM.
func TestOlderChangesFromLeader(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	behind, known := newTestFeed(), newTestFeed()
	behind.applySnapshot(items(4), 5, now)
	known.applySnapshot(items(6), 7, now)
	c.Assert(known.applyFromLeader(behind.changesAfter(remote.ChangesQuery{}, now), now), qt.IsFalse)
	c.Assert(known.items["members/a"].Revision, qt.Equals, uint64(6))
}

// A feed keeps a bounded history, and answers with all items beyond it.
func TestBoundedHistory(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	known := newTestFeed()
	known.applySnapshot(nil, 1, now)
	for revision := uint64(2); revision < 2+2*maxHistory; revision++ {
		known.applyChanges([]store.Change{{Item: items(revision)[0]}}, revision, now)
	}
	c.Assert(known.history, qt.HasLen, maxHistory)
	c.Assert(known.changesAfter(remote.ChangesQuery{After: maxHistory}, now).IsSnapshot, qt.IsTrue)
	c.Assert(known.changesAfter(remote.ChangesQuery{After: maxHistory}, now).Changes, qt.HasLen, 1)
	c.Assert(known.changesAfter(remote.ChangesQuery{After: 2 * maxHistory}, now).IsSnapshot, qt.IsFalse)
	c.Assert(known.changesAfter(remote.ChangesQuery{After: 2 * maxHistory}, now).Changes, qt.HasLen, 1)
}

// Load: the configuration grows by many routes. It is left to the store: the leader would
// send it to all VMs at once over its own link.
func TestBigChangesAreLeftToTheStore(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	leader := newTestFeed()
	leader.applySnapshot(nil, 5, now)
	leader.applyChanges([]store.Change{{Item: store.Item{Key: "config", Value: make([]byte, maxChangesBytes), Revision: 6}}}, 6, now)
	c.Assert(leader.changesAfter(remote.ChangesQuery{After: 5}, now).IsKnown, qt.IsTrue)
	leader.applyChanges([]store.Change{{Item: store.Item{Key: "config", Value: make([]byte, maxChangesBytes+1), Revision: 7}}}, 7, now)
	c.Assert(leader.changesAfter(remote.ChangesQuery{After: 6}, now).IsKnown, qt.IsFalse)
	c.Assert(leader.changesAfter(remote.ChangesQuery{After: 1}, now).IsKnown, qt.IsFalse)
}

// Load: the databases of a large fleet that starts register one after the other. A VM reads the
// changes that a leader reports once a second at most, and those of the configuration at once.
func TestCatchUpInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		vm, _, _ := newUnneededVM()
		defer vm.stopGroups()
		member, config := vm.newMemberFeed(), vm.newConfigFeed()
		member.caughtUpAt, config.caughtUpAt = vm.Clock.Now(), vm.Clock.Now()
		c.Check(vm.mayCatchUp(member), qt.IsFalse)
		c.Check(vm.mayCatchUp(config), qt.IsTrue)
		time.Sleep(time.Second)
		c.Check(vm.mayCatchUp(member), qt.IsTrue)
		member.caughtUpAt = vm.Clock.Now()
		vm.vmList.update(recordsOf("vm2@10.0.0.2"), vm.Clock.Now())
		c.Check(vm.mayCatchUp(member), qt.IsTrue)
	})
}
