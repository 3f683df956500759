package vmrun_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/proto"
)

// oddEntries are registrations that no database writes.
var oddEntries = []string{
	"", "null", "\xff\xfe", `{"Slots":1e999}`, `{"Slots":99999999999999999999}`, `{"Group":7}`, `{"Group":"ledger"`,
	strings.Repeat("[", 200_000), strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000),
}

// LOST, processes that end: an odd entry among those of the databases neither ends the VMs that
// read it, by a watch, a snapshot or another VM's copy, nor keeps them from following the list.
func TestOddEntryAmongDatabases(t *testing.T) {
	for name, prepare := range map[string]func(fleet *fleet, follower *testVM){
		"watch":             func(*fleet, *testVM) {},
		"snapshot":          func(fleet *fleet, _ *testVM) { fleet.tree.DropHistory() },
		"copy of a VM":      func(_ *fleet, follower *testVM) { follower.store.isCut.Store(true) },
		"first read of all": func(fleet *fleet, follower *testVM) { follower.kill(); fleet.restart(follower) },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(c *qt.C, fleet *fleet) {
				follower := fleet.nonLeader()
				number := follower.number
				for i, odd := range oddEntries {
					fleet.tree.Set(fmt.Sprintf("%sodd%d", memberPrefix, i), []byte(odd))
				}
				prepare(fleet, follower)
				time.Sleep(6 * time.Second)
				follower = fleet.vms[number-1]
				leaving := fleet.upstream.Members()[0]
				leaving.Leaving = true
				fleet.register(leaving)
				time.Sleep(4 * time.Second)
				c.Assert(fleet.upstream.Primary(), qt.Not(qt.Equals), "a")
				for range 5 {
					c.Assert(follower.tryWrite(), qt.Equals, proto.OK)
					time.Sleep(100 * time.Millisecond)
				}
				for _, testVM := range fleet.vms {
					c.Assert(isDone(testVM), qt.IsFalse)
				}
			})
		})
	}
}

func isDone(testVM *testVM) bool {
	select {
	case <-testVM.done:
		return true
	default:
		return false
	}
}

// LOST: an odd entry in place of a database's own names no database, but a live database soon
// registers again, and a primary is not replaced for it.
func TestOddEntryOverGoodOne(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		vm := fleet.nonLeader()
		fleet.tree.Set(memberPrefix+"a", []byte(oddEntries[3]))
		time.Sleep(1200 * time.Millisecond)
		c.Assert(vm.tryWrite(), qt.Equals, proto.OK)
		fleet.registerAll()
		time.Sleep(5 * time.Second)
		c.Assert(fleet.upstream.Terms(), qt.HasLen, 0)
		fleet.tree.Set(memberPrefix+"a", []byte(oddEntries[3]))
		time.Sleep(8 * time.Second)
		c.Assert(fleet.upstream.Primary(), qt.Not(qt.Equals), "a")
		var opened int
		fleet.upstream.Do("a", func(database *fakeup.Database) { opened = database.Opened })
		for range 20 {
			c.Assert(vm.tryWrite(), qt.Equals, proto.OK)
			time.Sleep(100 * time.Millisecond)
		}
		fleet.upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Opened, qt.Equals, opened) })
	})
}

// LOST: an entry with the address of another database names none: the database there answers
// that it is another one, and is opened for the odd entry once in some seconds only.
func TestAddressUsedTwice(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		value, err := json.Marshal(dbset.Member{ID: "odd", Group: "ledger", Address: "b", Zone: "zone-a", Slots: 3, SaysPrimary: true})
		c.Assert(err, qt.IsNil)
		fleet.tree.Set(memberPrefix+"odd", value)
		time.Sleep(2 * time.Second)
		before := fleet.upstream.Misdirected()
		for range 100 {
			c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
			c.Assert(fleet.leader().try(proto.Read{}, "READ x"), qt.Equals, proto.OK)
			time.Sleep(90 * time.Millisecond)
		}
		misdirected := fleet.upstream.Misdirected() - before
		c.Assert(misdirected <= 6, qt.IsTrue, qt.Commentf("%d in 9 s", misdirected))
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		gap := fleet.nonLeader().writeGap()
		c.Assert(gap < 2*time.Second, qt.IsTrue, qt.Commentf("gap %s", gap))
	})
}
