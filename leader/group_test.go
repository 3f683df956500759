package leader_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/posn"
)

// ONE, LOST: a leader that starts knows the newest term that any leader has found, also once the
// order that began it is settled, and the databases that may have acknowledged commits: after a release, after an expiry, and as a new process of the same VM.
func TestTermOfPredecessor(t *testing.T) {
	for name, test := range map[string]struct {
		vm   string
		kill bool
	}{"released": {"vm2", false}, "expired": {"vm2", true}, "ownRecord": {"vm1", true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				tree := &fakekv.Tree{}
				ctx, kill := context.WithCancel(context.Background())
				defer kill()
				first := newElector(tree, "vm1", 1)
				first.Store = killedTree{Tree: tree, killed: ctx}
				stopFirst := startElector(first)
				time.Sleep(time.Second)
				_, isKnown := first.Known("ledger")
				c.Assert(isKnown, qt.IsFalse)
				order := leader.Order{Member: "b", Term: 4}
				c.Assert(first.RecordOrder(ctx, "ledger", order), qt.IsTrue)
				databases := []leader.Database{{ID: "a", Born: 7}, {ID: "b", Born: 8, IsLeaving: true}}
				state := leader.GroupState{Term: 4, Primary: leader.Database{ID: "b", Born: 8}, Databases: databases}
				first.RecordGroup("ledger", state)
				first.SettleOrder("ledger", false)
				c.Assert(first.Covers("ledger", 4, nil), qt.IsTrue)
				time.Sleep(2 * time.Second)
				if test.kill {
					kill()
				}
				stopFirst()
				second := newElector(tree, test.vm, 2)
				defer startElector(second)()
				time.Sleep(10 * time.Second)
				known, isKnown := second.Known("ledger")
				c.Assert(isKnown, qt.IsTrue)
				c.Assert(known, qt.DeepEquals, state)
				c.Assert(second.Covers("ledger", 3, nil), qt.IsFalse)
				c.Assert(second.Covers("ledger", 4, databases), qt.IsTrue)
				c.Assert(second.Covers("ledger", 4, []leader.Database{{ID: "a", Born: 8}}), qt.IsFalse)
				c.Assert(second.Covers("ledger", 5, nil), qt.IsFalse)
			})
		})
	}
}

// ONE: no lease of a term is issued before the record in the store has the term: a leader that
// fails before that would leave a term that its successor can't know.
func TestTermIsRecordedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		elector := newElector(tree, "vm1", 1)
		defer startElector(elector)()
		time.Sleep(time.Second)
		tree.SetDown(true)
		elector.RecordGroup("ledger", leader.GroupState{Term: 3, Primary: leader.Database{ID: "a"}})
		time.Sleep(200 * time.Millisecond)
		c.Assert(elector.Covers("ledger", 3, nil), qt.IsFalse)
		tree.SetDown(false)
		time.Sleep(leader.TTL / 5)
		c.Assert(elector.Covers("ledger", 3, nil), qt.IsTrue)
		elector.RecordGroup("ledger", leader.GroupState{Term: 2, Primary: leader.Database{ID: "b"}})
		known, _ := elector.Known("ledger")
		c.Assert(known.Term, qt.Equals, uint64(3))
	})
}

// recordOfFormerVersion and orderOfFormerVersion have the fields of a record that versions before
// "groups" read and write.
type recordOfFormerVersion struct {
	Leader string                          `json:"holder"`
	Run    uint64                          `json:"run"`
	Token  uint64                          `json:"token"`
	Beat   uint64                          `json:"beat"`
	Orders map[string]orderOfFormerVersion `json:"orders,omitempty"`
}

type orderOfFormerVersion struct {
	Member     string `json:"member"`
	Term       uint64 `json:"term"`
	IsRepeated bool   `json:"isRepeated,omitempty"`
}

// Mixed versions: leaders of the version before "groups" and of this one take over from each other.
// The former one drops what it doesn't know, and then nothing is known of that.
func TestRecordOfFormerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first := newElector(tree, "vm1", 1)
		stop := startElector(first)
		time.Sleep(time.Second)
		order := leader.Order{Member: "b", Term: 4, Complete: posn.Position{Term: 3, LSN: 7}}
		c.Assert(first.RecordOrder(t.Context(), "ledger", order), qt.IsTrue)
		first.RecordGroup("books", leader.GroupState{Term: 3, Primary: leader.Database{ID: "a"}})
		time.Sleep(time.Second)
		stop()

		items, _, err := tree.Range(t.Context(), leader.Key, false)
		c.Assert(err, qt.IsNil)
		var former recordOfFormerVersion
		c.Assert(json.Unmarshal(items[0].Value, &former), qt.IsNil)
		formerOrders := map[string]orderOfFormerVersion{"ledger": {Member: "b", Term: 4}}
		c.Assert(former, qt.DeepEquals, recordOfFormerVersion{Token: 1, Orders: formerOrders})
		former.Leader, former.Run, former.Token = "vm2", 7, 2
		value, err := json.Marshal(former)
		c.Assert(err, qt.IsNil)
		tree.Set(leader.Key, value)

		second := newElector(tree, "vm2", 8)
		defer startElector(second)()
		time.Sleep(time.Second)
		_, isKnown := second.Known("books")
		c.Assert(isKnown, qt.IsFalse)
		c.Assert(second.Covers("books", 3, nil), qt.IsFalse)
		inherited, _ := second.Order("ledger")
		c.Assert(inherited, qt.Equals, leader.Order{Member: "b", Term: 4})
	})
}

// ONE: a group that moves to another set, since the configuration has more groups, takes its term
// and its unsettled order along.
func TestTermOfMovedGroup(t *testing.T) {
	const group = "group3"
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		one, two := startSets(tree, "vm1", 1, 1), startSets(tree, "vm2", 2, 1)
		time.Sleep(2 * time.Second)
		leading := one
		if _, ok := two.Holds(0, 0); ok {
			leading = two
		}
		sets := 2
		for leader.SetOf(group, sets) == 0 {
			sets++
		}
		order := leader.Order{Member: "b", Term: 9, IsRepeated: true}
		c.Assert(leading.RecordOrder(t.Context(), group, order), qt.IsTrue)
		leading.RecordGroup(group, leader.GroupState{Term: 9, Primary: leader.Database{ID: "b"}})
		time.Sleep(2 * time.Second)
		for _, vm := range []*setsVM{one, two} {
			vm.SetCount(sets)
		}
		time.Sleep(15 * time.Second)
		var leaders int
		for _, vm := range []*setsVM{one, two} {
			if _, ok := vm.HoldsGroup(group, 0); ok {
				leaders++
				c.Assert(vm.Covers(group, 8, nil), qt.IsFalse)
				c.Assert(vm.Covers(group, 9, nil), qt.IsTrue)
			}
		}
		c.Assert(leaders, qt.Equals, 1)
		for _, vm := range []*setsVM{one, two} {
			vm.cancel()
			<-vm.done
		}
	})
}

// STALE: a leader whose configuration was older than its predecessor's took the order for a group that
// it did not know yet for one of a group that had been removed, and dropped it.
func TestOrderOfGroupNotKnownYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first := newElector(tree, "vm1", 1)
		stop := startElector(first)
		time.Sleep(time.Second)
		c.Assert(first.RecordOrder(t.Context(), "added", leader.Order{Member: "b", Term: 2}), qt.IsTrue)
		configuredAt := time.Now()
		time.Sleep(time.Second)
		stop()
		second := newElector(tree, "vm2", 2)
		defer startElector(second)()
		time.Sleep(2 * time.Second)
		lacksAll := func(string) bool { return false }
		second.RetainOrders(lacksAll, configuredAt)
		_, ok := second.Order("added")
		c.Assert(ok, qt.IsTrue)
		second.RetainOrders(lacksAll, time.Now())
		_, ok = second.Order("added")
		c.Assert(ok, qt.IsFalse)
	})
}
