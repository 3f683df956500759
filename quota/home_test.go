package quota_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/quota"
)

// When a VM takes its share back, the home's buckets lose that part of their depth, also if the
// share returns before they are next asked for a token: another home may have filled its own
// meanwhile.
func TestDepthLeavesWithShare(t *testing.T) {
	c := qt.New(t)
	startedAt := time.Unix(1000, 0)
	home := quota.NewHome(quota.DefaultBounds, 7, startedAt)
	home.SetVMs(map[string]bool{"vm1": true, "vm2": true}, startedAt)
	home.SetLimits(map[string]quota.Limit{"a": {Rate: 100, Burst: 100}}, startedAt)
	now, seq := startedAt, uint64(0)
	handle := func(vm string, leaves bool, demand ...quota.Demand) quota.Answer {
		seq++
		sentAt := now.Sub(startedAt)
		return home.Handle(quota.Request{
			VM: vm, Process: 1, Seq: seq, Home: 7, SentAfter: sentAt, SentBefore: sentAt,
			HasShares: true, Delegates: !leaves, Leaves: leaves, VMs: 2, DelegatedFor: 300 * time.Millisecond, Teams: demand,
		}, now)
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		handle("vm1", false)
		handle("vm2", false)
	}
	handle("vm2", true)
	handle("vm2", false)
	granted := handle("vm1", false, quota.Demand{Team: "a", Waiting: 1000}).Teams[0].Tokens
	c.Assert(granted, qt.Equals, 50)
}
