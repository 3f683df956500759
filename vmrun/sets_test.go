package vmrun_test

import (
	"expvar"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/proto"
)

// ledgerSet returns the set of the group ledger with a number of sets.
func ledgerSet(sets int) int { return leader.SetOf("ledger", sets) }

// Load and rule 9: the number of groups in the configuration grows and shrinks, and with it
// the number of sets, while callers write. The group with databases is handed over to the
// leader of another set at least once. No write fails, and after each change a failed
// primary is replaced as fast as before, with a higher fencing token.
func TestNumberOfSetsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(6)
		defer fleet.close()
		var handovers int
		sets := 1
		for i, groups := range []uint64{60, 0, 100, 30} {
			var failures atomic.Int32
			stop, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					if fleet.vms[i%len(fleet.vms)].tryWrite() != proto.OK {
						failures.Add(1)
					}
					time.Sleep(10 * time.Millisecond)
				}
			}()
			time.Sleep(time.Second)
			fleet.configure(withGroups(uint64(i+1), groups))
			time.Sleep(8 * time.Second)
			close(stop)
			<-stopped
			c.Check(failures.Load(), qt.Equals, int32(0), qt.Commentf("%d groups", groups))
			next := leader.SetCount(int(groups) + 1)
			if ledgerSet(next) != ledgerSet(sets) {
				handovers++
			}
			sets = next
		}
		c.Check(handovers > 0, qt.IsTrue)
	})
}

// Rule 8 with several sets: the leader of the set replaces a failed primary, also after the
// group was handed over from another set, as fast as with one set. The fencing tokens rise.
func TestFailoverBySetLeader(t *testing.T) {
	for _, groups := range []uint64{0, 40, 90} {
		t.Run(fmt.Sprint(groups), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				fleet := newFleet(6)
				defer fleet.close()
				for i, next := range []uint64{groups, 0} {
					fleet.configure(withGroups(uint64(i+1), next))
					time.Sleep(8 * time.Second)
					primary := fleet.upstream.Primary()
					fleet.upstream.Do(primary, func(database *fakeup.Database) { database.IsDown = true })
					gap := fleet.vms[0].writeGap()
					// The second time, with one set too, sealing waits 1.2 s for the former primary,
					// and writes are in doubt after 0.8 s each without a replica.
					limit := 2*time.Second + time.Duration(i)*3*time.Second
					c.Check(gap < limit, qt.IsTrue, qt.Commentf("gap %s", gap))
				}
				orders := fleet.upstream.Orders()
				c.Assert(orders, qt.HasLen, 2)
				c.Check(orders[1].Token > orders[0].Token || orders[1].Leader == orders[0].Leader && orders[1].Token == orders[0].Token, qt.IsTrue)
			})
		})
	}
}

// Load: 70 VMs before 81 groups, of which each VM needs few. The sets have leaders of their
// own, and a VM asks only those of the groups that it needs. While the leaders answer, no
// other VM reads their records, so that the store's calls don't grow with the sets.
func TestStoreCallsOfSets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(70)
		defer fleet.close()
		fleet.configure(withGroups(1, 80))
		time.Sleep(10 * time.Second)
		calls := func(kind string) (sum int64) {
			for _, vm := range fleet.vms {
				if count, ok := vm.vm.Stats.StoreCalls.Get(kind).(*expvar.Int); ok {
					sum += count.Value()
				}
			}
			return sum
		}
		// One VM may lead two sets, if no other VM asks for the second one's leases in time, but
		// not more. Each set has one leader.
		const sets = 4
		var leaders, led int64
		for _, vm := range fleet.vms {
			var own int64
			for set := range sets {
				if _, ok := vm.vm.Leads(set); ok {
					own++
				}
			}
			c.Check(own <= 2, qt.IsTrue, qt.Commentf("%s leads %d sets", vm.name, own))
			led += own
			leaders += min(own, 1)
		}
		c.Assert(led, qt.Equals, int64(sets))
		reads, swaps, watches := calls("rangeStale"), calls("swap"), calls("watch")
		time.Sleep(12 * time.Second)
		// A VM reads the list of VMs every 4 s and writes its line every 15 s. A leader renews
		// its lease every second, and watches two prefixes for 1.3 s each.
		c.Check(calls("rangeStale")-reads <= 3*70, qt.IsTrue, qt.Commentf("%d reads", calls("rangeStale")-reads))
		c.Check(calls("swap")-swaps <= 70+sets*13, qt.IsTrue, qt.Commentf("%d swaps", calls("swap")-swaps))
		c.Check(calls("watch")-watches <= leaders*2*10, qt.IsTrue, qt.Commentf("%d watches", calls("watch")-watches))
		c.Check(fleet.vms[0].tryWrite(), qt.Equals, proto.OK)
	})
}
