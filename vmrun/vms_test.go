package vmrun

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/authn"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/store"
)

func recordsOf(vms ...string) []store.Item {
	var items []store.Item
	for _, vm := range vms {
		items = append(items, store.Item{Key: vmPrefix + vm, Value: []byte(`{"zone":"zone-a"}`), Revision: 1})
	}
	return items
}

// A list is settled by a fresh read at a time when the VMs that started together have written
// their records. After a restart, a copy that has the VM's own record has those of the others.
func TestListSettles(t *testing.T) {
	const self = "vm1@10.0.0.1"
	began := time.Unix(1000, 0)
	for _, test := range []struct {
		name      string
		records   []store.Item
		readAfter time.Duration
		wasListed bool
		isFresh   bool
		isSettled bool
	}{
		{"first read", recordsOf(self), 0, false, false, false},
		{"later read", recordsOf(self), settleDelay, false, true, true},
		{"restart", recordsOf(self, "vm2@10.0.0.2"), 0, true, false, true},
		{"restart, stale copy", nil, 0, true, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			list := &vmList{}
			list.joined(began, test.wasListed)
			c.Assert(list.needsFreshRead(began.Add(test.readAfter)), qt.Equals, test.isFresh)
			list.update(test.records, began)
			list.settle(self, test.isFresh)
			c.Assert(list.settled(), qt.Equals, test.isSettled)
		})
	}
}

// A VM whose record the store has not taken yet does not count its list as settled.
func TestListWithoutOwnRecord(t *testing.T) {
	c := qt.New(t)
	list := &vmList{}
	list.update(recordsOf("vm2@10.0.0.2"), time.Unix(1000, 0))
	c.Assert(list.needsFreshRead(time.Unix(2000, 0)), qt.IsFalse)
	list.settle("vm1@10.0.0.1", false)
	c.Assert(list.settled(), qt.IsFalse)
}

// Load: the databases of a fleet that starts register one after the other. A registration
// updates its own group; the tasks of all the others are not woken.
func TestRegistrationConcernsItsGroup(t *testing.T) {
	c := qt.New(t)
	vm, _, upstream := newUnneededVM()
	defer vm.stopGroups()
	var others []<-chan struct{}
	for name, entry := range vm.groups {
		if name != "ledger" {
			others = append(others, entry.group.Changed())
		}
	}
	ledger := vm.groups["ledger"].group
	feed := vm.newMemberFeed()
	vm.DecodeMember = decodeTestMember
	for _, member := range upstream.Members() {
		changed := ledger.Changed()
		feed.onChanges([]store.Change{{Item: store.Item{Key: member.ID, Value: []byte(member.Group)}}})
		c.Check(isClosed(changed), qt.IsTrue)
	}
	feed.onChanges([]store.Change{{Item: store.Item{Key: "a"}, IsRemoved: true}})
	for _, member := range ledger.Members() {
		c.Check(member.Leaving, qt.Equals, member.ID == "a")
	}
	for _, changed := range others {
		c.Check(isClosed(changed), qt.IsFalse)
	}
}

// A database that registers for another group leaves the one before.
func TestRegistrationMovesToAnotherGroup(t *testing.T) {
	c := qt.New(t)
	vm, _, _ := newUnneededVM()
	defer vm.stopGroups()
	vm.DecodeMember = decodeTestMember
	feed := vm.newMemberFeed()
	var other string
	for name := range vm.groups {
		if name != "ledger" {
			other = name
		}
	}
	feed.onChanges([]store.Change{{Item: store.Item{Key: "a", Value: []byte(other)}}})
	c.Check(vm.groups["ledger"].group.Members(), qt.HasLen, 2)
	c.Check(vm.groups[other].group.Members(), qt.HasLen, 1)
	c.Check(vm.pools.Len(), qt.Equals, 3)
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// decodeTestMember decodes a registration whose value is the name of the group.
func decodeTestMember(key string, value []byte) (dbset.Member, error) {
	return dbset.Member{ID: key, Group: string(value), Address: key, Zone: "zone-" + key, Slots: 4}, nil
}

// Load: a VM of a large fleet needs groups whose databases it does not poll. It checks them less
// often than one that polls, or one of a small fleet, which reports lost primaries sooner.
func TestPollChecksOfLargeFleet(t *testing.T) {
	c := qt.New(t)
	vm, _, _ := newUnneededVM()
	defer vm.stopGroups()
	c.Check(vm.pollCheckInterval(false), qt.Equals, pollInterval)
	c.Check(vm.pollCheckInterval(true), qt.Equals, pollInterval/3)
	vm.vmList.update(recordsOf("vm2@10.0.0.2"), vm.Clock.Now())
	c.Check(vm.pollCheckInterval(false), qt.Equals, pollInterval/3)
}

// STALE: the list that a leader had read from the store for a revocation was replaced by an older copy,
// and lacked VMs again that may use evidence.
func TestOlderCopyOfList(t *testing.T) {
	c := qt.New(t)
	list := &vmList{}
	now := time.Unix(1000, 0)
	c.Assert(list.isComplete(now), qt.IsFalse)
	c.Assert(list.updateAt(recordsOf("vm1@10.0.0.1", "vm2@10.0.0.2"), 20, true, now, now), qt.IsTrue)
	c.Assert(list.updateAt(recordsOf("vm1@10.0.0.1"), 19, false, now, now), qt.IsFalse)
	c.Assert(list.names(), qt.HasLen, 2)
	c.Assert(list.isComplete(now.Add(vmListCompleteFor/2)), qt.IsTrue)
	c.Assert(list.isComplete(now.Add(vmListCompleteFor)), qt.IsFalse)
	c.Assert(list.updateAt(recordsOf("vm1@10.0.0.1"), 20, false, now, now), qt.IsTrue)
	c.Assert(list.names(), qt.HasLen, 1)
}

// A process that starts does not take its first keys from a copy that may have removed ones.
func TestFirstKeysAreNotOfOldCopy(t *testing.T) {
	c := qt.New(t)
	vm, _, _ := newUnneededVM()
	defer vm.stopGroups()
	_, err := authn.ReadOrCreate(t.Context(), vm.Store, vm.Clock)
	c.Assert(err, qt.IsNil)
	c.Assert(vm.readVMList(t.Context(), false), qt.IsNil)
	c.Assert(vm.auth.Keys.HasKey(), qt.IsFalse)
	c.Assert(vm.readVMList(t.Context(), true), qt.IsNil)
	c.Assert(vm.auth.Keys.HasKey(), qt.IsTrue)
}
