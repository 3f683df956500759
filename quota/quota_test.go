package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleydoor/bramleydoor/quota"
)

// Whatever messages are lost, late or repeated, and whatever VMs are lost, suspended,
// restarted, partitioned or removed, no window has more operations than the bounds allow.
func TestNeverOverLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]quota.Limit{
			"a": {Rate: rapid.Float64Range(0.5, 20).Draw(t, "rateA"), Burst: rapid.Float64Range(0, 20).Draw(t, "burstA")},
			"b": {Rate: rapid.Float64Range(20, 300).Draw(t, "rateB"), Burst: rapid.Float64Range(0, 300).Draw(t, "burstB")},
		}
		vms := rapid.IntRange(2, 12).Draw(t, "vms")
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), vms, limits)
		simulation.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		simulation.delay = rapid.SampledFrom([]float64{0, 0.2, 0.9}).Draw(t, "delay")
		simulation.repeat = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeat")
		for _, vm := range simulation.vms {
			for _, team := range []string{"a", "b"} {
				vm.load[team] = limits[team].Rate * rapid.SampledFrom([]float64{0, 0.1, 0.5, 3}).Draw(t, "load")
			}
		}
		simulation.run(time.Duration(rapid.IntRange(0, 12000).Draw(t, "startMs")) * time.Millisecond)
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			vm := simulation.vms[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			if homes := simulation.homes(); len(homes) > 0 && rapid.Bool().Draw(t, "isHome") {
				vm = simulation.vms[homes[0]]
			}
			lasting := time.Duration(rapid.IntRange(50, 15000).Draw(t, "forMs")) * time.Millisecond
			team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			switch rapid.SampledFrom([]string{"load", "load", "move", "cut", "suspend", "kill", "restart", "killAll", "stop", "cutAll", "deaf", "cutHalf", "split", "split"}).Draw(t, "event") {
			case "load":
				vm.load[team] = limits[team].Rate * rapid.Float64Range(0, 8).Draw(t, "load")
			case "move":
				for _, other := range simulation.vms {
					other.load[team] = 0
				}
				vm.load[team] = limits[team].Rate * 4
			case "cut":
				vm.cutUntil = simulation.now.Add(lasting)
			case "cutAll":
				for _, other := range simulation.vms {
					other.cutUntil = simulation.now.Add(lasting)
				}
			case "deaf":
				for _, other := range simulation.vms {
					if other != vm {
						other.deafUntil = simulation.now.Add(lasting)
					}
				}
			case "cutHalf":
				for i, other := range simulation.vms {
					if i%2 == 0 {
						other.cutUntil = simulation.now.Add(lasting)
					}
				}
			case "split":
				for _, other := range simulation.vms {
					other.side, other.splitUntil = rapid.IntRange(0, 2).Draw(t, "side"), simulation.now.Add(lasting)
				}
			case "suspend":
				vm.suspendedUntil = simulation.now.Add(lasting)
			case "kill":
				vm.isDead = true
			case "restart":
				simulation.restart(vm)
			case "killAll":
				for _, other := range simulation.vms {
					simulation.restart(other)
				}
			case "stop":
				vm.home.Stop(simulation.now)
			}
			simulation.run(time.Duration(rapid.IntRange(10, 4000).Draw(t, "pauseMs")) * time.Millisecond)
		}
		simulation.checkLimits(t)
	})
}

// limitsOfSizes has a large, a medium and a small team.
var limitsOfSizes = map[string]quota.Limit{
	"large": {Rate: 400, Burst: 200}, "medium": {Rate: 20, Burst: 10}, "small": {Rate: 2.5, Burst: 5},
}

// Without failures, at least 0.9 of a limit is used when demand exceeds it, and a demand
// below the limit is refused as by a single token bucket.
func TestLimitIsUsed(t *testing.T) {
	for _, vms := range []int{1, 3, 23} {
		for team, limit := range limitsOfSizes {
			for _, load := range []float64{0.625, 0.9, 1.5, 7.5} {
				t.Run(fmt.Sprintf("%s/%dVMs/%v", team, vms, load), func(t *testing.T) {
					c := qt.New(t)
					simulation := newSimulation(1, vms, limitsOfSizes)
					simulation.run(time.Second)
					for _, vm := range simulation.vms {
						vm.load[team] = limit.Rate * load / float64(vms)
					}
					simulation.run(40 * time.Second)
					used := simulation.count(team, 30*time.Second) / 30 / limit.Rate
					c.Check(load < 1 || used >= 0.9, qt.IsTrue, qt.Commentf("used %.2f", used))
					c.Check(load > 1 || simulation.isNearIdeal(team), qt.IsTrue, qt.Commentf("refused %d, ideally %d", simulation.refused[team], simulation.refusedByIdeal[team]))
					simulation.checkLimits(t)
				})
			}
		}
	}
}

// From 0.5 s after demand has moved to another VM, that one has the whole limit.
func TestDemandMoves(t *testing.T) {
	for team, limit := range limitsOfSizes {
		t.Run(team, func(t *testing.T) {
			c := qt.New(t)
			simulation := newSimulation(1, 5, limitsOfSizes)
			simulation.run(time.Second)
			simulation.vms[1].load[team] = limit.Rate * 4
			simulation.run(15 * time.Second)
			simulation.vms[1].load[team], simulation.vms[2].load[team] = 0, limit.Rate*4
			simulation.run(500 * time.Millisecond)
			simulation.run(4 * time.Second)
			used := simulation.count(team, 4*time.Second) / 4 / limit.Rate
			c.Assert(used >= 0.9, qt.IsTrue, qt.Commentf("used %.2f", used))
		})
	}
}

// A team above its limit doesn't cause refusals of another one at the same VMs.
func TestTeamsAreIndependent(t *testing.T) {
	c := qt.New(t)
	simulation := newSimulation(1, 5, limitsOfSizes)
	simulation.run(time.Second)
	for _, vm := range simulation.vms {
		vm.load["large"], vm.load["medium"], vm.load["small"] = 600, 2.5, 0.3
	}
	simulation.run(40 * time.Second)
	c.Assert(simulation.refused["large"] > 0, qt.IsTrue)
	for _, team := range []string{"medium", "small"} {
		c.Assert(simulation.refused[team], qt.Equals, simulation.refusedByIdeal[team])
	}
}

// usualTeams returns 71 teams whose sizes follow a Zipf distribution, with 940 operations a
// second in all, and limits of 1.6 times their usual rates.
func usualTeams() (limits map[string]quota.Limit, usual map[string]float64) {
	limits, usual = make(map[string]quota.Limit), make(map[string]float64)
	sum := 0.0
	for i := range 71 {
		name := fmt.Sprintf("team%02d", i)
		usual[name] = math.Pow(float64(i+1), -1.2)
		sum += usual[name]
	}
	for name := range usual {
		usual[name] *= 940 / sum
		limits[name] = quota.Limit{Rate: 1.6 * usual[name], Burst: 1.6 * usual[name]}
	}
	return limits, usual
}

// newUsualSimulation returns a fleet of 23 VMs after 15 s of the usual load.
func newUsualSimulation(seed uint64) *simulation {
	limits, usual := usualTeams()
	simulation := newSimulation(seed, 23, limits)
	simulation.run(time.Second)
	for _, vm := range simulation.vms {
		for name := range usual {
			vm.load[name] = usual[name] / 23
		}
	}
	simulation.run(15 * time.Second)
	for _, vm := range simulation.vms {
		vm.refused = 0
	}
	return simulation
}

// refusedPart returns the part of the usual operations of VMs in a time that were refused.
func (simulation *simulation) refusedPart(vms []*simulatedVM, duration time.Duration) float64 {
	refused := 0
	for _, vm := range vms {
		refused += vm.refused
	}
	return float64(refused) / (940 * duration.Seconds() * float64(len(vms)) / 23)
}

// Teams at their usual rates, which are 0.62 of their limits, while the home is lost for good:
// 0.5 s of refusals at most.
func TestHomeIsLost(t *testing.T) {
	c := qt.New(t)
	const seeds, duration = 4, 5 * time.Second
	var sum float64
	for seed := range uint64(seeds) {
		simulation := newUsualSimulation(seed + 1)
		home := simulation.vms[simulation.homes()[0]]
		home.isDead = true
		var others []*simulatedVM
		for _, vm := range simulation.vms {
			if vm != home {
				others = append(others, vm)
			}
		}
		simulation.run(duration)
		sum += simulation.refusedPart(others, duration) * duration.Seconds()
		simulation.checkLimits(t)
	}
	t.Logf("%.3f", sum/seeds)
	c.Assert(sum/seeds <= 0.5, qt.IsTrue, qt.Commentf("%.3f s of refusals", sum/seeds))
}

// The same while the fleet is split in two, with a third of the VMs on one side: each side has
// a home, and both serve teams at their usual rates.
func TestFleetIsSplit(t *testing.T) {
	c := qt.New(t)
	const seeds, duration = 4, 7 * time.Second
	var sum float64
	for seed := range uint64(seeds) {
		simulation := newUsualSimulation(seed + 1)
		for i, vm := range simulation.vms {
			vm.side, vm.splitUntil = 0, simulation.now.Add(duration)
			if i < 8 {
				vm.side = 1
			}
		}
		simulation.run(duration)
		sum += simulation.refusedPart(simulation.vms, duration)
		simulation.checkLimits(t)
	}
	t.Logf("%.3f", sum/seeds)
	c.Assert(sum/seeds <= 0.1, qt.IsTrue, qt.Commentf("refused %.3f", sum/seeds))
}

// A planned stop of the home, whose VMs then follow the next one, refuses nothing more than a
// single token bucket would.
func TestHomeStops(t *testing.T) {
	c := qt.New(t)
	const seeds, duration = 4, 3 * time.Second
	var sum float64
	for seed := range uint64(seeds) {
		simulation := newUsualSimulation(seed + 1)
		simulation.vms[simulation.homes()[0]].home.Stop(simulation.now)
		simulation.run(duration)
		sum += simulation.refusedPart(simulation.vms, duration)
		simulation.checkLimits(t)
	}
	t.Logf("%.3f", sum/seeds)
	c.Assert(sum/seeds <= 0.02, qt.IsTrue, qt.Commentf("refused %.3f", sum/seeds))
}

// A third of the VMs is lost for good, and with them their shares, until they are removed from
// the list. Until then, two thirds of a limit can be used, and all of it after.
func TestThirdOfVMsIsLost(t *testing.T) {
	c := qt.New(t)
	simulation := newSimulation(1, 23, limitsOfSizes)
	simulation.run(time.Second)
	for _, vm := range simulation.vms {
		for team, limit := range limitsOfSizes {
			vm.load[team] = limit.Rate * 3 / 15
		}
	}
	simulation.run(15 * time.Second)
	for _, vm := range simulation.vms[:8] {
		vm.isDead = true
	}
	simulation.run(8 * time.Second)
	used := simulation.count("large", 5*time.Second) / 5 / limitsOfSizes["large"].Rate
	c.Check(used >= 0.9*15/23, qt.IsTrue, qt.Commentf("used %.2f", used))
	for _, vm := range simulation.vms {
		vm.listed = simulation.ids()[8:]
		simulation.setVMs(vm)
		simulation.run(100 * time.Millisecond)
	}
	simulation.run(5 * time.Second)
	used = simulation.count("large", 5*time.Second) / 5 / limitsOfSizes["large"].Rate
	c.Check(used >= 0.9, qt.IsTrue, qt.Commentf("used %.2f", used))
	simulation.maxShares = 0 // while the lists differ, it may be more than one
	simulation.checkLimits(t)
}

// A team that floods all VMs, or those of one side, stays within its limit while the fleet is
// split, whatever its rate and burst are.
func TestFloodWhileFleetIsSplit(t *testing.T) {
	for _, rate := range []float64{2.5, 12, 40, 400} {
		for _, burst := range []float64{0, 1, 5} {
			for _, first := range []int{0, 8} {
				limits := map[string]quota.Limit{"a": {Rate: rate, Burst: rate * burst}}
				simulation := newSimulation(1, 23, limits)
				simulation.run(time.Second)
				for _, vm := range simulation.vms {
					vm.load["a"] = rate / 1.6 / 23
				}
				simulation.run(15 * time.Second)
				for i, vm := range simulation.vms {
					vm.side, vm.splitUntil = 0, simulation.now.Add(14*time.Second)
					if i < 8 {
						vm.side = 1
					}
					if i >= first {
						vm.load["a"] *= 12
					}
				}
				simulation.run(20 * time.Second)
				simulation.checkLimits(t)
			}
		}
	}
}

// After all VMs have lost power, the teams are served within half a second.
func TestWholeFleetStarts(t *testing.T) {
	c := qt.New(t)
	simulation := newSimulation(1, 23, limitsOfSizes)
	for _, vm := range simulation.vms {
		vm.load["small"], vm.load["medium"], vm.load["large"] = 1.5/23, 12.0/23, 250.0/23
	}
	simulation.run(500 * time.Millisecond)
	clear(simulation.refused)
	clear(simulation.refusedByIdeal)
	simulation.run(5 * time.Second)
	for team := range limitsOfSizes {
		c.Check(simulation.isNearIdeal(team), qt.IsTrue, qt.Commentf("team %s: %d refused", team, simulation.refused[team]))
	}
}

// Without failures, most operations have their token at once.
func TestTokensAreHeld(t *testing.T) {
	c := qt.New(t)
	simulation := newUsualSimulation(1)
	limits, usual := usualTeams()
	waited, count := 0, 0
	for range 400 {
		simulation.advance()
		for _, vm := range simulation.vms {
			for team := range usual {
				if simulation.random.Float64() >= usual[team]/23*step.Seconds() {
					continue
				}
				count++
				if _, waiter := vm.agent.Take(team, limits[team], simulation.now); waiter != nil {
					waited++
				}
			}
		}
	}
	c.Assert(count > 1000, qt.IsTrue)
	t.Logf("%d of %d", waited, count)
	c.Assert(waited*2 < count, qt.IsTrue, qt.Commentf("%d of %d waited", waited, count))
}

// Tokens end with their validity, also while the VM is suspended, and a VM that is partitioned
// from all others has only its share.
func TestTokensEnd(t *testing.T) {
	c := qt.New(t)
	simulation := newSimulation(1, 4, limitsOfSizes)
	vm := simulation.vms[1]
	vm.load["large"] = 400
	simulation.run(8 * time.Second)
	vm.cutUntil = simulation.now.Add(time.Hour)
	simulation.run(7500 * time.Millisecond)
	// Its share is a quarter.
	c.Assert(simulation.count("large", 5*time.Second) > 0.8*5*100, qt.IsTrue)
	// And the floor of one of four VMs, which is an eighth of the reserve of 240.
	c.Assert(simulation.count("large", 5*time.Second) <= 1.1*5*100+30, qt.IsTrue)
	simulation.checkLimits(t)

	now := simulation.now
	limit := limitsOfSizes["medium"]
	home := newHomeWithAllShares(limit, now)
	agent := quota.NewAgent(quota.DefaultBounds, "vm9", 1, rand.Float64, now)
	agent.SetHome("vm0", now)
	_, waiter := agent.Take("medium", limit, now)
	request := agent.Step(now)
	request.Teams[0].Waiting = 3
	agent.Answered(request, home.Handle(*request, now), now)
	c.Assert((<-waiter.Done).OK, qt.IsTrue)
	verdict, _ := agent.Take("medium", limit, now.Add(quota.TokenTTL-1))
	c.Assert(verdict.OK, qt.IsTrue)
	verdict, waiter = agent.Take("medium", limit, now.Add(quota.TokenTTL))
	c.Assert(verdict.OK, qt.IsFalse)
	c.Assert(waiter, qt.IsNotNil)
}

// newHomeWithAllShares returns a home with a full bucket of a team named medium.
func newHomeWithAllShares(limit quota.Limit, now time.Time) *quota.Home {
	home := quota.NewHome(quota.DefaultBounds, 7, now.Add(-time.Minute))
	home.SetVMs(map[string]bool{"former": false}, now.Add(-time.Minute))
	home.SetLeader(true, now.Add(-time.Minute))
	home.SetLimits(map[string]quota.Limit{"medium": limit}, now.Add(-time.Minute))
	return home
}

// The retry times of refused operations follow each other at the team's rate, also those of
// different VMs, so that the callers don't return together.
func TestRetryTimesAreSpread(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	home := newHomeWithAllShares(quota.Limit{Rate: 10, Burst: 1}, now)
	request := quota.Request{VM: "first", Process: 1, Seq: 1, Teams: []quota.Demand{{Team: "medium", Waiting: 1}}}
	c.Assert(home.Handle(request, now).Teams[0].Tokens, qt.Equals, 1)
	var times []time.Duration
	for vm := range 3 {
		answer := home.Handle(quota.Request{VM: fmt.Sprint(vm), Process: 1, Seq: 1, Teams: []quota.Demand{{Team: "medium", Waiting: 2}}}, now)
		times = append(times, answer.Teams[0].RetryAfter)
		c.Assert(answer.Teams[0].Interval, qt.Equals, 100*time.Millisecond)
	}
	c.Assert(times, qt.DeepEquals, []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond})
}

// A higher limit applies at once. A lower one and its burst apply once it is in force
// everywhere: callers that are refused before that are entitled to the previous limit.
func TestLimitChanges(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	home := newHomeWithAllShares(quota.Limit{Rate: 100, Burst: 50}, now)
	seq := uint64(0)
	granted := func() int {
		seq++
		answer := home.Handle(quota.Request{VM: "vm", Process: 1, Seq: seq, Teams: []quota.Demand{{Team: "medium", Waiting: 1000}}}, now)
		return answer.Teams[0].Tokens
	}
	set := func(limit quota.Limit) { home.SetLimits(map[string]quota.Limit{"medium": limit}, now) }
	c.Assert(granted(), qt.Equals, 50)
	now = now.Add(time.Second)
	set(quota.Limit{Rate: 10, Burst: 5})
	c.Assert(granted(), qt.Equals, 50)
	now = now.Add(time.Second)
	set(quota.Limit{Rate: 10, Burst: 5}) // another change of the configuration
	c.Assert(granted(), qt.Equals, 50)
	now = now.Add(quota.DefaultBounds.LowerDelay - time.Second)
	c.Assert(granted(), qt.Equals, 5)
	set(quota.Limit{Rate: 100, Burst: 50})
	now = now.Add(100 * time.Millisecond)
	c.Assert(granted(), qt.Equals, 10)
	home.SetLimits(map[string]quota.Limit{}, now)
	c.Assert(granted(), qt.Equals, 0)
}

// VMs of an earlier version, which have no shares, follow the leader: it has their part of the
// rates while it holds the leader lease, and the other VMs' part if they delegate it.
func TestVMsOfEarlierVersion(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	home := quota.NewHome(quota.DefaultBounds, 7, now)
	home.SetVMs(map[string]bool{"former": false, "next": true}, now)
	home.SetLimits(map[string]quota.Limit{"a": {Rate: 100, Burst: 100}}, now)
	seq := uint64(0)
	granted := func() int {
		seq++
		return home.Handle(quota.Request{VM: "former", Process: 1, Seq: seq, Teams: []quota.Demand{{Team: "a", Waiting: 1000}}}, now).Teams[0].Tokens
	}
	now = now.Add(time.Second)
	c.Assert(granted(), qt.Equals, 0)
	home.SetLeader(true, now)
	now = now.Add(time.Second)
	c.Assert(granted(), qt.Equals, 50)
	home.SetLeader(false, now)
	now = now.Add(time.Second)
	c.Assert(granted(), qt.Equals, 0)
}

// The cost of an operation at a VM with 70 teams, half of which get a token by a call.
func BenchmarkAgent(b *testing.B) {
	now := time.Unix(1000, 0)
	limits := make(map[string]quota.Limit)
	names := make([]string, 70)
	for i := range names {
		names[i] = fmt.Sprintf("team-%d", i)
		limits[names[i]] = quota.Limit{Rate: 1e6, Burst: 1e6}
	}
	home := quota.NewHome(quota.DefaultBounds, 1, now)
	home.SetVMs(map[string]bool{"vm": true}, now)
	home.SetLimits(limits, now)
	agent := quota.NewAgent(quota.DefaultBounds, "vm", 1, rand.Float64, now)
	agent.SetVMs([]string{"vm"}, true)
	agent.SetHome("vm", now)
	calls := 0
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		agent.Take(names[i%len(names)], limits[names[i%len(names)]], now)
		if !agent.IsDue() {
			continue
		}
		if request := agent.Step(now); request != nil {
			calls++
			agent.Answered(request, home.Handle(*request, now), now)
		}
	}
	b.ReportMetric(float64(calls)/float64(b.N), "calls/op")
}

// The cost of a request for tokens of 3 of 70 teams at the home of 300 VMs.
func BenchmarkHome(b *testing.B) {
	now := time.Unix(1000, 0)
	limits := make(map[string]quota.Limit)
	for i := range 70 {
		limits[fmt.Sprintf("team-%d", i)] = quota.Limit{Rate: 1000, Burst: 1000}
	}
	home := quota.NewHome(quota.DefaultBounds, 1, now)
	listed := make(map[string]bool)
	requests := make([]quota.Request, 300)
	for i := range requests {
		vm := fmt.Sprintf("vm-%d", i)
		listed[vm] = true
		requests[i] = quota.Request{VM: vm, Process: 1, Home: 1, HasShares: true, Delegates: true, VMs: 300, DelegatedFor: time.Second}
		for j := range 3 {
			requests[i].Teams = append(requests[i].Teams, quota.Demand{Team: fmt.Sprintf("team-%d", (i+j*j)%70), Waiting: 1})
		}
	}
	home.SetVMs(listed, now)
	home.SetLimits(limits, now)
	for i := 0; b.Loop(); i++ {
		now = now.Add(200 * time.Microsecond)
		request := &requests[i%len(requests)]
		request.Seq++
		request.SentAfter = now.Sub(time.Unix(1000, 0))
		request.SentBefore = request.SentAfter
		home.Handle(*request, now)
	}
}
