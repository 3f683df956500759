package vmrun_test

import (
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// storeReads returns the reads of the store, other than stale ones, that all VMs have made.
func (fleet *fleet) storeReads() int64 {
	var reads int64
	for _, vm := range fleet.vms {
		if count, ok := vm.vm.Stats.StoreCalls.Get("range").(*expvar.Int); ok {
			reads += count.Value()
		}
	}
	return reads
}

// Load: many VMs, and registrations and configurations that change often. A change is read
// from the store by the leader's watch, not once by every VM, and is in force everywhere
// within a second.
func TestStoreReadsOfManyVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(manyVMs)
		defer fleet.close()
		before := fleet.storeReads()
		member := fleet.upstream.Members()[1]
		for version := uint64(2); version < 7; version++ {
			fleet.configure(version)
			member.Slots = int(version)
			fleet.register(member)
			time.Sleep(time.Second)
			for _, vm := range fleet.vms {
				for _, known := range vm.vm.Group("ledger").Members() {
					c.Check(known.ID != member.ID || known.Slots == int(version), qt.IsTrue)
				}
				session, answer := vm.open(fmt.Sprintf("v%d", version))
				c.Check(int(answer.Code), qt.Equals, 0)
				session.Leave()
			}
		}
		c.Assert(fleet.storeReads()-before < manyVMs, qt.IsTrue, qt.Commentf("%d reads", fleet.storeReads()-before))
	})
}
