package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/leader"
)

// The leader is lost, and another VM takes the lease. A VM that gets that one's leases does not
// read the record, so it learns of the new leader from the heartbeat that they bring. A late
// heartbeat of the former leader does not undo that.
func TestHeartbeatNamesLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		former, next, other := newElector(tree, "vm1", 1), newElector(tree, "vm2", 2), newElector(tree, "vm3", 3)
		var lastMessageAt atomicTime
		other.LastMessageAt = lastMessageAt.get
		stopFormer := startElector(former)
		time.Sleep(100 * time.Millisecond)
		stopOther := startElector(other)
		time.Sleep(100 * time.Millisecond)
		c.Assert(other.Leader(), qt.Equals, "vm1")
		revision, age := former.OwnHeartbeat()
		late := leader.Heartbeat{Leader: "vm1", Token: 1, Revision: revision, At: time.Now().Add(-age)}

		lastMessageAt.set(time.Now())
		stopFormer()
		stopNext := startElector(next)
		time.Sleep(100 * time.Millisecond)
		token, ok := next.Holds(0)
		c.Assert(ok, qt.IsTrue)
		revision, age = next.OwnHeartbeat()
		lastMessageAt.set(time.Now())
		other.ObserveHeartbeat(leader.Heartbeat{Leader: "vm2", Token: token, Revision: revision, At: time.Now().Add(-age)})
		c.Assert(other.Leader(), qt.Equals, "vm2")
		other.ObserveHeartbeat(late)
		c.Assert(other.Leader(), qt.Equals, "vm2")
		stopNext()
		stopOther()
	})
}
