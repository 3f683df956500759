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

// All of a team's demand is at one VM when the home is lost, and that VM is partitioned from all
// others, which then have the demand: the limit holds, and they use 0.9 of it.
func TestDemandAtPartitionedVM(t *testing.T) {
	limits := map[string]quota.Limit{"a": {Rate: 400, Burst: 1}}
	simulation := newSimulation(1, 12, limits)
	simulation.run(time.Second)
	home := simulation.vms[simulation.homes()[0]]
	cut := simulation.vms[0]
	if cut == home {
		cut = simulation.vms[1]
	}
	cut.load["a"] = 800
	simulation.run(10 * time.Second)
	home.isDead = true
	cut.cutUntil = simulation.now.Add(time.Hour)
	for _, vm := range simulation.vms {
		if vm != home && vm != cut {
			vm.load["a"] = 80
		}
	}
	simulation.run(15 * time.Second)
	simulation.checkLimits(t)
	used := simulation.count("a", 4*time.Second) / 4 / 400
	qt.New(t).Assert(used > 0.9, qt.IsTrue, qt.Commentf("used %.2f", used))
}

// Teams at their usual rates while the home is lost together with seven other VMs, each of which
// is partitioned from all others: at most a tenth of their operations is refused at the rest.
func TestHomeIsLostWithOthers(t *testing.T) {
	c := qt.New(t)
	const seeds, duration = 4, 8 * time.Second
	var sum float64
	for seed := range uint64(seeds) {
		simulation := newUsualSimulation(seed + 1)
		home := simulation.vms[simulation.homes()[0]]
		home.cutUntil = simulation.now.Add(time.Hour)
		var rest []*simulatedVM
		lost := 1
		for _, vm := range simulation.vms {
			switch {
			case vm == home:
			case lost < 8:
				vm.cutUntil = home.cutUntil
				lost++
			default:
				rest = append(rest, vm)
			}
		}
		simulation.run(duration)
		sum += simulation.refusedPart(rest, duration)
		simulation.checkLimits(t)
	}
	c.Assert(sum/seeds <= 0.1, qt.IsTrue, qt.Commentf("refused %.3f", sum/seeds))
}
