package vmrun_test

import (
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/fakeup"
)

// startDuration is the time from the start of the VMs to that of the callers.
const startDuration = 10 * time.Second

// startCost is what the start of a fleet costs before there are callers.
type startCost struct {
	// meanBytes and maxBytes are the bytes per second of datagrams from and to a VM.
	meanBytes, maxBytes int
	// maxConns is the number of connections that other VMs opened to the VM that got the most.
	maxConns int
	// readsPerVM is the number of reads of the store by each VM. One that allows a stale
	// answer counts as a tenth, as the store charges it.
	readsPerVM float64
	// dialsPerGroup is the number of connections that were opened to the databases of a group.
	dialsPerGroup int
}

// measureStart starts VMs before as many groups. At first, the store's reads that allow a
// stale answer lack what the VMs have written.
func measureStart(vms uint64) startCost {
	const staleFor = 2 * time.Second
	fleet := startFleet(int(vms), 0, withGroups(1, vms-1))
	defer fleet.close()
	for group := range vms - 1 {
		fleet.addUpstream(fmt.Sprintf("group%d", group))
	}
	fleet.tree.SetStale(true)
	time.Sleep(staleFor)
	fleet.tree.SetStale(false)
	time.Sleep(startDuration - staleFor)
	var cost startCost
	var sum int
	fleet.network.mu.Lock()
	defer fleet.network.mu.Unlock()
	for _, vm := range fleet.vms {
		bytes := fleet.network.traffic[vm.vm.Address] / int(startDuration.Seconds())
		sum += bytes
		cost.maxBytes = max(cost.maxBytes, bytes)
		cost.maxConns = max(cost.maxConns, fleet.network.connected[vm.vm.Address])
		for kind, weight := range map[string]float64{"range": 1, "rangeStale": 0.1, "watch": 1} {
			if count, ok := vm.vm.Stats.StoreCalls.Get(kind).(*expvar.Int); ok {
				cost.readsPerVM += weight * float64(count.Value()) / float64(vms)
			}
		}
	}
	cost.meanBytes = sum / int(vms)
	for _, upstream := range fleet.others {
		for _, id := range []string{"a", "b", "c"} {
			upstream.Do(id, func(database *fakeup.Database) { cost.dialsPerGroup += database.Opened })
		}
	}
	cost.dialsPerGroup /= len(fleet.others)
	return cost
}

// Load: VMs that start at the same time do not know of each other at first. A VM that took
// the fleet for a small one would need the leases of all groups, from all leaders.
func TestStartOfLargeFleet(t *testing.T) {
	// The users' bounds for the control of a VM: 6 KB/s on average, and at the busiest one of
	// 300 VMs, 1 MB/s and 100 connections.
	const maxMeanBytes, maxBusiestBytes, maxConns = 6 << 10, 1 << 20, 100
	// Two routing VMs and the leader of the set connect to three databases; idle connections are
	// closed, and so may be opened again.
	const maxDials = 2 * (2 + 1) * 3
	// A mean of several starts, since VMs draw at random when they ask.
	const starts = 4
	reads := make(map[uint64]float64)
	for _, vms := range []uint64{30, 100} {
		for range starts {
			var cost startCost
			synctest.Test(t, func(*testing.T) { cost = measureStart(vms) })
			t.Logf("%d VMs: %+v", vms, cost)
			c := qt.New(t)
			c.Check(cost.meanBytes < maxMeanBytes, qt.IsTrue)
			c.Check(cost.maxBytes < maxBusiestBytes, qt.IsTrue)
			c.Check(cost.maxConns < maxConns, qt.IsTrue)
			c.Check(cost.dialsPerGroup <= maxDials, qt.IsTrue)
			reads[vms] += cost.readsPerVM / starts
		}
	}
	c := qt.New(t)
	c.Check(reads[100] <= reads[30]+1, qt.IsTrue, qt.Commentf("%v", reads))
}
