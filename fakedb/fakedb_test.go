package fakedb

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/clock"
)

// A connection that a kill closed between its acceptance and its admission is not counted:
// nothing would remove it from the count.
func TestConnClosedBeforeAdmission(t *testing.T) {
	c := qt.New(t)
	group := &Group{Name: "ledger1.db1", Slots: 1, Limit: 1, Clock: clock.System{}}
	c.Assert(group.Start(), qt.IsNil)
	defer group.Stop()
	slot := group.Slot(0)
	acceptedAt := slot.dropCount
	slot.Kill()
	c.Assert(group.admitConn(slot, acceptedAt), qt.IsFalse)
	slot.releaseConn(acceptedAt)
	c.Assert(group.admitConn(slot, slot.dropCount), qt.IsTrue)
	c.Assert(group.LimitRefusals.Load(), qt.Equals, int64(0))
}
