package vmrun_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/dbset"
)

// Rule 9: leaders know from the records of the VMs how long any of them may use evidence. One
// of an earlier version doesn't state it.
func TestEvidenceOfListedVMs(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		time.Sleep(5 * time.Second)
		c.Assert(fleet.leader().vm.EvidenceOfFleet(), qt.Equals, dbset.EvidenceDuration)
		fleet.tree.Set("bramley/vms/gone@10.0.0.99", []byte(`{"zone":"zone-a"}`))
		time.Sleep(5 * time.Second)
		c.Assert(fleet.leader().vm.EvidenceOfFleet(), qt.Equals, dbset.FormerEvidenceDuration)
		fleet.tree.Set("bramley/vms/gone@10.0.0.99", []byte(`{"zone":"zone-a","evidenceMS":900}`))
		time.Sleep(5 * time.Second)
		c.Assert(fleet.leader().vm.EvidenceOfFleet(), qt.Equals, 900*time.Millisecond)
	})
}
