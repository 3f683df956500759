package quota_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/quota"
)

const step = 5 * time.Millisecond

// simulation is a fleet with a clock of its own.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	limits   map[string]quota.Limit
	teams    []string
	indexes  map[string]int
	vms      []*simulatedVM
	messages []message
	// loss, delay and repeat are the probabilities of faults of a message.
	loss, delay, repeat float64
	// runs has the times at which operations ran, by team.
	runs    map[string][]time.Time
	refused map[string]int
	// ideal has a single token bucket for each team, and refusedByIdeal counts what that
	// would have refused.
	ideal          map[string]*bucket
	refusedByIdeal map[string]int
	// maxShares is the greatest sum of the shares that all homes counted at a time.
	maxShares float64
}

type bucket struct {
	level  float64
	lastAt time.Time
}

type simulatedVM struct {
	id      string
	agent   *quota.Agent
	home    *quota.Home
	process uint64
	// The VM does nothing until suspendedUntil; it is not reachable until cutUntil, gets no
	// messages until deafUntil, and reaches only VMs of its side until splitUntil.
	suspendedUntil, cutUntil, deafUntil, splitUntil time.Time
	side                                            int

	isDead  bool
	refused int
	// load has the operations per second of each team.
	load map[string]float64
	// due has the expected number of operations before the next one.
	due     map[string]float64
	waiters []waiting
	// reached has the VMs to which the VM is connected, listed those that it knows, and ranked
	// the same in the order in which it follows them.
	reached        []bool
	listed, ranked []string
}

type waiting struct {
	team   string
	waiter *quota.Waiter
	until  time.Time
}

type message struct {
	at       time.Time
	from, to int
	process  uint64
	request  *quota.Request
	answer   *quota.Answer
}

func newSimulation(seed uint64, vms int, limits map[string]quota.Limit) *simulation {
	simulation := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), limits: limits,
		teams: slices.Sorted(maps.Keys(limits)), indexes: make(map[string]int),
		runs: make(map[string][]time.Time), refused: make(map[string]int),
		ideal: make(map[string]*bucket), refusedByIdeal: make(map[string]int),
	}
	for team := range limits {
		simulation.ideal[team] = &bucket{level: 2, lastAt: simulation.now}
	}
	for i := range vms {
		vm := &simulatedVM{id: fmt.Sprintf("vm%d", i), load: make(map[string]float64), due: make(map[string]float64)}
		simulation.vms, simulation.indexes[vm.id] = append(simulation.vms, vm), i
		for _, team := range simulation.teams {
			vm.due[team] = simulation.random.ExpFloat64()
		}
	}
	for _, vm := range simulation.vms {
		simulation.restart(vm)
	}
	return simulation
}

func (simulation *simulation) restart(vm *simulatedVM) {
	vm.process++
	vm.agent = quota.NewAgent(quota.DefaultBounds, vm.id, vm.process, rand.New(rand.NewPCG(1, 1)).Float64, simulation.now)
	vm.home = quota.NewHome(quota.DefaultBounds, simulation.random.Uint64(), simulation.now)
	vm.waiters, vm.isDead, vm.reached = nil, false, make([]bool, len(simulation.vms))
	vm.listed = simulation.ids()
	simulation.setVMs(vm)
	vm.home.SetLimits(simulation.limits, simulation.now)
}

func (simulation *simulation) setVMs(vm *simulatedVM) {
	listed := make(map[string]bool)
	for _, id := range vm.listed {
		listed[id] = true
	}
	vm.ranked = owner.Rank("home", vm.listed)
	vm.home.SetVMs(listed, simulation.now)
	vm.agent.SetVMs(vm.listed, slices.Contains(vm.listed, vm.id))
}

func (simulation *simulation) ids() []string {
	ids := make([]string, 0, len(simulation.vms))
	for _, vm := range simulation.vms {
		ids = append(ids, vm.id)
	}
	return ids
}

func (simulation *simulation) isUp(vm *simulatedVM) bool {
	return !vm.isDead && !simulation.now.Before(vm.suspendedUntil)
}

// advance makes one step of all VMs.
func (simulation *simulation) advance() {
	simulation.now = simulation.now.Add(step)
	simulation.deliver()
	var shares float64
	for i, vm := range simulation.vms {
		if simulation.isUp(vm) {
			simulation.stepVM(i, vm)
			shares += vm.home.Shares(simulation.now)
		}
	}
	simulation.maxShares = max(simulation.maxShares, shares)
}

func (simulation *simulation) run(duration time.Duration) {
	for end := simulation.now.Add(duration); simulation.now.Before(end); {
		simulation.advance()
	}
}

// isCut reports whether messages from a VM don't reach another.
func (simulation *simulation) isCut(from, to int) bool {
	sender, receiver, now := simulation.vms[from], simulation.vms[to], simulation.now
	if from == to {
		return false
	}
	isSplit := sender.side != receiver.side && (now.Before(sender.splitUntil) || now.Before(receiver.splitUntil))
	return isSplit || now.Before(sender.cutUntil) || now.Before(receiver.cutUntil) || now.Before(receiver.deafUntil)
}

// choose makes a VM follow the first VM of its list that it reaches. It notices only after some
// time that it doesn't reach another, or does again.
func (simulation *simulation) choose(index int, vm *simulatedVM) {
	for i, other := range simulation.vms {
		isReached := simulation.isUp(other) && !simulation.isCut(index, i) && !simulation.isCut(i, index)
		if vm.reached[i] != isReached && simulation.random.Float64() < 0.05 {
			vm.reached[i] = isReached
		}
	}
	vm.reached[index] = true
	vm.agent.Choose(vm.ranked, func(id string) quota.Reach {
		if vm.reached[simulation.indexes[id]] {
			return quota.Connected
		}
		return quota.Unreachable
	}, simulation.now)
}

func (simulation *simulation) stepVM(index int, vm *simulatedVM) {
	now := simulation.now
	simulation.choose(index, vm)
	for _, team := range simulation.teams {
		load := vm.load[team]
		if load == 0 {
			continue
		}
		// The intervals between operations are distributed exponentially.
		for vm.due[team] -= load * step.Seconds(); vm.due[team] <= 0; vm.due[team] += simulation.random.ExpFloat64() {
			verdict, waiter := vm.agent.Take(team, simulation.limits[team], now)
			if waiter != nil {
				vm.waiters = append(vm.waiters, waiting{team: team, waiter: waiter, until: now.Add(quota.MaxWait)})
				continue
			}
			simulation.record(vm, team, verdict)
		}
	}
	if home, request := vm.agent.Leaving(now); request != nil {
		simulation.send(message{from: index, to: simulation.indexes[home], process: vm.process, request: request})
	}
	if request := vm.agent.Step(now); request != nil {
		simulation.send(message{from: index, to: simulation.indexes[vm.agent.Home()], process: vm.process, request: request})
	}
	kept := vm.waiters[:0]
	for _, waiting := range vm.waiters {
		if !now.Before(waiting.until) {
			vm.agent.Cancel(waiting.waiter, now)
		}
		select {
		case verdict := <-waiting.waiter.Done:
			simulation.record(vm, waiting.team, verdict)
		default:
			kept = append(kept, waiting)
		}
	}
	vm.waiters = kept
}

func (simulation *simulation) record(vm *simulatedVM, team string, verdict quota.Verdict) {
	if verdict.OK {
		simulation.runs[team] = append(simulation.runs[team], simulation.now)
	} else {
		simulation.refused[team]++
		vm.refused++
	}
	bucket, limit := simulation.ideal[team], simulation.limits[team]
	bucket.level = min(bucket.level+limit.Rate*simulation.now.Sub(bucket.lastAt).Seconds(), max(limit.Burst, 1))
	bucket.lastAt = simulation.now
	if bucket.level >= 1 {
		bucket.level--
	} else {
		simulation.refusedByIdeal[team]++
	}
}

// isNearIdeal reports whether about as few operations were refused as by a single token
// bucket: at most 2% more, or 2 operations, since a home that took over has empty buckets.
func (simulation *simulation) isNearIdeal(team string) bool {
	excess := simulation.refused[team] - simulation.refusedByIdeal[team]
	return excess <= max(2, (len(simulation.runs[team])+simulation.refused[team])/50)
}

// send sends a message, which may be lost, late or repeated.
func (simulation *simulation) send(sent message) {
	if simulation.isCut(sent.from, sent.to) || sent.from != sent.to && simulation.random.Float64() < simulation.loss {
		return
	}
	for {
		sent.at = simulation.now
		if sent.from != sent.to && simulation.random.Float64() < simulation.delay {
			sent.at = sent.at.Add(time.Duration(simulation.random.ExpFloat64() * float64(200*time.Millisecond)))
		}
		simulation.messages = append(simulation.messages, sent)
		if simulation.random.Float64() >= simulation.repeat {
			return
		}
	}
}

func (simulation *simulation) deliver() {
	due := simulation.messages
	simulation.messages = nil
	for _, message := range due {
		to := simulation.vms[message.to]
		switch {
		case simulation.now.Before(message.at) || !to.isDead && simulation.now.Before(to.suspendedUntil):
			simulation.messages = append(simulation.messages, message)
		case to.isDead:
		case message.answer == nil:
			answer := to.home.Handle(*message.request, simulation.now)
			message.answer, message.from, message.to = &answer, message.to, message.from
			simulation.send(message)
		case to.process != message.process:
		case message.request.Leaves:
			to.agent.Left(simulation.vms[message.from].id, message.request)
		default:
			to.agent.Answered(message.request, *message.answer, simulation.now)
		}
	}
}

// homes returns the VMs that others follow.
func (simulation *simulation) homes() []int {
	var homes []int
	for i, vm := range simulation.vms {
		if simulation.isUp(vm) && vm.home.HasMajority() {
			homes = append(homes, i)
		}
	}
	return homes
}

// checkLimits fails if shares were counted twice, or if more operations of a team ran in a window
// than the bounds allow.
func (simulation *simulation) checkLimits(t rapid.TB) {
	t.Helper()
	if simulation.maxShares > 1+1e-9 {
		t.Fatalf("all homes counted %v shares", simulation.maxShares)
	}
	for team, runs := range simulation.runs {
		slices.SortFunc(runs, time.Time.Compare)
		allowed := quota.DefaultBounds.Limit(simulation.limits[team])
		first := 0
		for i, at := range runs {
			for at.Sub(runs[first]) > quota.DefaultBounds.Window {
				first++
			}
			if float64(i-first+1) > allowed {
				t.Fatalf("team %s: %d operations in the window that ends at %v; the limit is %v", team, i-first+1, at.Sub(time.Unix(1000, 0)), allowed)
			}
		}
	}
}

// count returns the operations of a team that ran in the last duration.
func (simulation *simulation) count(team string, duration time.Duration) float64 {
	from := simulation.now.Add(-duration)
	count := 0
	for _, at := range simulation.runs[team] {
		if at.After(from) {
			count++
		}
	}
	return float64(count)
}
