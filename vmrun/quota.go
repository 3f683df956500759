package vmrun

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/quota"
)

const (
	// quotaCheckInterval is how often a VM whose configuration has teams checks whether it can
	// follow a home, or leave a former one.
	quotaCheckInterval = 50 * time.Millisecond
	// noTeamsInterval is how often a VM checks whether its configuration has teams.
	noTeamsInterval = time.Second
	// listInterval is how often the list of VMs is read.
	listInterval = time.Second
	// homeKey is the key by which VMs are ranked as homes.
	homeKey = "quota"
	// homeSet is the set of groups whose leader VMs of an earlier version follow.
	homeSet = 0
)

// teamQuota limits the operations of teams over all VMs. Each VM is a home for those that follow
// it; all follow the first VM of a common rank that they reach.
type teamQuota struct {
	vm *VM
	// kick ends the wait for the next step of the agent.
	kick chan struct{}

	mu    sync.Mutex
	agent *quota.Agent
	home  *quota.Home
	// configured is the configuration whose limits the home has.
	configured *config.Config
	// isLeaving is set while a call takes the VM's share back from a former home.
	isLeaving bool
	// candidates are the VMs in the order in which this VM follows them, by the list of VMs as
	// read at listedAt. isMixed is set if some of these are of an earlier version; then there
	// are no candidates, and all follow the leader.
	candidates []string
	isMixed    bool
	listedAt   time.Time
}

func (vm *VM) newTeamQuota() *teamQuota {
	now, bounds := vm.Clock.Now(), vm.quotaBounds()
	return &teamQuota{
		vm: vm, kick: make(chan struct{}, 1),
		agent: quota.NewAgent(bounds, vm.id(), vm.elector.Process, rand.Float64, now),
		// 0 stands for no home.
		home: quota.NewHome(bounds, rand.Uint64()|1, now),
	}
}

// quotaBounds returns the bounds of the teams' quotas.
func (vm *VM) quotaBounds() quota.Bounds {
	if vm.QuotaBounds == (quota.Bounds{}) {
		return quota.DefaultBounds
	}
	return vm.QuotaBounds
}

// Take takes a token for one operation of a team. It waits for at most maxWait.
func (teamQuota *teamQuota) Take(team config.Team, maxWait time.Duration) quota.Verdict {
	clock := teamQuota.vm.Clock
	teamQuota.mu.Lock()
	now := clock.Now()
	teamQuota.setFleet(now)
	verdict, waiter := teamQuota.agent.Take(team.Name, limitOf(team), now)
	isDue := teamQuota.agent.IsDue()
	teamQuota.mu.Unlock()
	if isDue {
		teamQuota.wake()
	}
	if waiter == nil {
		return verdict
	}
	select {
	case verdict := <-waiter.Done:
		return verdict
	case <-clock.After(min(maxWait, quota.MaxWait)):
	}
	teamQuota.mu.Lock()
	teamQuota.agent.Cancel(waiter, clock.Now())
	teamQuota.mu.Unlock()
	return <-waiter.Done
}

// setFleet chooses the home and, from time to time, sets the VMs. teamQuota.mu must be held.
func (teamQuota *teamQuota) setFleet(now time.Time) {
	if teamQuota.listedAt.IsZero() || len(teamQuota.candidates) == 0 || now.Sub(teamQuota.listedAt) >= listInterval {
		teamQuota.setVMs(now)
	}
	candidates := teamQuota.candidates
	if teamQuota.isMixed {
		candidates = nil
		if leader := teamQuota.vm.elector.Sets.Leader(homeSet); leader != "" {
			candidates = []string{leader}
		}
	}
	teamQuota.agent.Choose(candidates, teamQuota.reach, now)
}

// setVMs sets the VMs of the fleet. teamQuota.mu must be held.
func (teamQuota *teamQuota) setVMs(now time.Time) {
	listed, isCounted := teamQuota.vm.vmList.quotaVMs(teamQuota.vm.id(), now)
	names := make([]string, 0, len(listed))
	teamQuota.isMixed = false
	for name, hasShares := range listed {
		names = append(names, name)
		teamQuota.isMixed = teamQuota.isMixed || !hasShares
	}
	slices.Sort(names)
	teamQuota.agent.SetVMs(names, isCounted)
	teamQuota.home.SetVMs(listed, now)
	teamQuota.candidates, teamQuota.listedAt = owner.Rank(homeKey, names), now
}

// reach connects to a VM and reports whether it is connected.
func (teamQuota *teamQuota) reach(candidate string) quota.Reach {
	vm := teamQuota.vm
	if candidate == vm.id() {
		return quota.Connected
	}
	if vm.peers == nil {
		return quota.Unreachable
	}
	switch isConnected, hasFailed := vm.peers.Reach(candidate); {
	case isConnected:
		return quota.Connected
	case hasFailed:
		return quota.Unreachable
	}
	return quota.Connecting
}

func limitOf(team config.Team) quota.Limit {
	return quota.Limit{Rate: team.RatePerSecond, Burst: team.Burst}
}

func (teamQuota *teamQuota) wake() {
	select {
	case teamQuota.kick <- struct{}{}:
	default:
	}
}

// run requests tokens until ctx ends.
func (teamQuota *teamQuota) run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-teamQuota.vm.config.First():
	}
	for {
		wait := noTeamsInterval
		if teamQuota.vm.hasTeams() {
			wait = teamQuota.step()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-teamQuota.kick:
		case <-teamQuota.vm.Clock.After(wait):
		}
	}
}

// step makes the agent's next request, if one is due, and returns the time until the next step.
func (teamQuota *teamQuota) step() time.Duration {
	teamQuota.mu.Lock()
	defer teamQuota.mu.Unlock()
	now := teamQuota.vm.Clock.Now()
	teamQuota.setFleet(now)
	if former, request := teamQuota.agent.Leaving(now); request != nil && !teamQuota.isLeaving {
		teamQuota.isLeaving = true
		go teamQuota.leave(former, request)
	}
	if request := teamQuota.agent.Step(now); request != nil {
		go teamQuota.call(teamQuota.agent.Home(), request)
	}
	wait := teamQuota.agent.NextStep(now)
	if former, _ := teamQuota.agent.Leaving(now); wait < 0 || former != "" {
		return quotaCheckInterval
	}
	return max(wait, time.Millisecond)
}

// call sends a request to the home and applies its answer.
func (teamQuota *teamQuota) call(homeVM string, request *quota.Request) {
	answer, ok := teamQuota.ask(homeVM, request)
	teamQuota.mu.Lock()
	if now := teamQuota.vm.Clock.Now(); ok {
		teamQuota.agent.Answered(request, answer, now)
	} else {
		teamQuota.agent.Failed(request, now)
	}
	teamQuota.mu.Unlock()
	teamQuota.wake()
}

// leave takes the VM's share back from a former home.
func (teamQuota *teamQuota) leave(formerVM string, request *quota.Request) {
	answer, ok := teamQuota.ask(formerVM, request)
	teamQuota.mu.Lock()
	defer teamQuota.mu.Unlock()
	teamQuota.isLeaving = false
	if ok && answer.Home != 0 {
		teamQuota.agent.Left(formerVM, request)
		teamQuota.wake()
	}
}

func (teamQuota *teamQuota) ask(homeVM string, request *quota.Request) (quota.Answer, bool) {
	if homeVM == teamQuota.vm.id() {
		return teamQuota.tokensFor(*request), true
	}
	if teamQuota.vm.peers == nil {
		return quota.Answer{}, false
	}
	client := teamQuota.vm.peers.Usable(homeVM)
	if client == nil {
		return quota.Answer{}, false
	}
	answer, err := client.Tokens(*request, quota.CallTimeout)
	return answer, err == nil
}

// tokensFor answers a VM's request. The answer is empty if this VM has no configuration yet, and
// for VMs of an earlier version if it isn't the leader.
func (teamQuota *teamQuota) tokensFor(request quota.Request) quota.Answer {
	vm := teamQuota.vm
	current := vm.config.Load()
	if current == nil {
		return quota.Answer{}
	}
	isStopping := vm.hasBegunStop()
	teamQuota.mu.Lock()
	defer teamQuota.mu.Unlock()
	now := vm.Clock.Now()
	// Checked after now was read: what is granted at now lies within the lease.
	_, isLeader := vm.elector.Holds(homeSet, 0)
	if !isLeader && !request.HasShares {
		return quota.Answer{}
	}
	if isStopping {
		teamQuota.home.Stop(now)
	}
	teamQuota.home.SetLeader(isLeader, now)
	if teamQuota.listedAt.IsZero() {
		teamQuota.setVMs(now)
	}
	if teamQuota.configured != current {
		limits := make(map[string]quota.Limit, len(current.Teams))
		for name, team := range current.Teams {
			limits[name] = limitOf(team)
		}
		teamQuota.home.SetLimits(limits, now)
		teamQuota.configured = current
	}
	return teamQuota.home.Handle(request, now)
}

// hasTeams reports whether the configuration has teams, so that the VM needs a home.
func (vm *VM) hasTeams() bool {
	current := vm.config.Load()
	return current != nil && len(current.Teams) > 0
}
