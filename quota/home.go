package quota

import (
	"time"
)

// Home grants tokens to the VMs that follow it, by their shares. It is not safe for concurrent
// use.
type Home struct {
	bounds Bounds
	// number distinguishes homes; the clock of a home starts at startedAt.
	number    uint64
	startedAt time.Time
	accounts  map[string]*account
	processes map[processID]*process
	// vms has the listed VMs. earlier is the number of those of an earlier version, which all
	// follow the leader; their shares are this home's while isLeader is set.
	vms      map[string]*followed
	earlier  int
	isLeader bool
	// shares is the sum of the shares that the home has at advancedAt.
	shares     float64
	advancedAt time.Time
	// filled is the integral of shares over time in seconds, started the sum of the shares with
	// which VMs have come.
	filled, started float64
	isStopping      bool
}

// processID identifies a process of a VM.
type processID struct {
	vm     string
	number uint64
}

type process struct {
	lastSeq uint64
	heardAt time.Time
}

// followed is what a home knows of a VM.
type followed struct {
	// share is the VM's share, delegated until until.
	share float64
	until time.Time
}

// NewHome returns the home of a process that starts. Its number must differ from those of others.
func NewHome(bounds Bounds, number uint64, now time.Time) *Home {
	return &Home{
		bounds: bounds, number: number, startedAt: now, advancedAt: now,
		accounts: make(map[string]*account), processes: make(map[processID]*process), vms: make(map[string]*followed),
	}
}

// SetVMs sets the VMs of the fleet, and which of these have shares.
func (home *Home) SetVMs(vms map[string]bool, now time.Time) {
	home.advance(now)
	home.earlier = 0
	for vm, hasShares := range vms {
		if _, ok := home.vms[vm]; !ok {
			home.vms[vm] = &followed{}
		}
		if !hasShares {
			home.earlier++
		}
	}
	for vm := range home.vms {
		if _, ok := vms[vm]; !ok {
			delete(home.vms, vm)
		}
	}
	home.count(now)
}

// SetLeader sets whether the VM is the leader, which VMs of an earlier version follow.
func (home *Home) SetLeader(isLeader bool, now time.Time) {
	if isLeader == home.isLeader {
		return
	}
	home.advance(now)
	home.isLeader = isLeader
	home.count(now)
}

// HasMajority reports whether VMs with more than half of the shares follow the home.
func (home *Home) HasMajority() bool { return home.shares > 0.5 }

// Stop gives all shares back.
func (home *Home) Stop(now time.Time) {
	home.advance(now)
	home.isStopping = true
	home.count(now)
}

// advance fills the buckets by the shares since the last call, and counts the shares at now.
func (home *Home) advance(now time.Time) {
	if !now.After(home.advancedAt) {
		return
	}
	// A share that ended meanwhile doesn't count at all.
	before := home.shares
	home.count(now)
	home.filled += min(before, home.shares) * now.Sub(home.advancedAt).Seconds()
	home.advancedAt = now
}

// count counts the shares at now. Where they have become fewer, the buckets lose their part of
// the depth at once.
func (home *Home) count(now time.Time) {
	before := home.shares
	home.shares = 0
	if !home.isStopping {
		for _, vm := range home.vms {
			if now.Before(vm.until) {
				home.shares += vm.share
			}
		}
		if home.isLeader && home.earlier > 0 {
			home.shares += float64(home.earlier) / float64(len(home.vms))
		}
	}
	if home.shares < before {
		for _, account := range home.accounts {
			home.fill(account, now)
		}
	}
}

// Handle answers a request.
func (home *Home) Handle(request Request, now time.Time) Answer {
	home.advance(now)
	answer := Answer{Home: home.number, Time: now.Sub(home.startedAt), IsStopping: home.isStopping}
	id := processID{vm: request.VM, number: request.Process}
	known, ok := home.processes[id]
	if !ok {
		home.forget(now)
		known = &process{}
		home.processes[id] = known
	}
	if request.Seq <= known.lastSeq {
		// A repeated request, or one that a later one has overtaken.
		return answer
	}
	known.lastSeq, known.heardAt = request.Seq, now
	isKnown := request.Home == home.number
	home.follow(request, isKnown, now)
	answer.HasMajority = home.HasMajority()
	// The tokens of a request that was delayed would have expired.
	if isKnown && now.Sub(home.startedAt.Add(request.SentBefore)) >= TokenTTL {
		return answer
	}
	answer.Teams = make([]Grant, 0, len(request.Teams))
	for _, demand := range request.Teams {
		entry, ok := home.accounts[demand.Team]
		if !ok {
			answer.Teams = append(answer.Teams, Grant{Team: demand.Team, RetryAfter: maxRetryAfter})
			continue
		}
		home.fill(entry, now)
		if !isKnown {
			// The tokens are of another home.
			demand.Returned = 0
		}
		answer.Teams = append(answer.Teams, home.grant(entry, demand, now))
	}
	return answer
}

// follow records what a request says of the VM's share. isKnown is set if the VM has had an
// answer of this home.
func (home *Home) follow(request Request, isKnown bool, now time.Time) {
	vm, ok := home.vms[request.VM]
	if !ok {
		return
	}
	switch {
	case request.Leaves || !request.HasShares:
		vm.share = 0
	case !request.Delegates || !isKnown:
	default:
		until := home.startedAt.Add(request.SentAfter + request.DelegatedFor)
		if !now.Before(until) {
			break
		}
		vm.share = 1 / float64(max(request.VMs, len(home.vms), 1))
		vm.until = until
		if request.IsNewcomer {
			home.started += vm.share
		}
	}
	home.count(now)
}

// forget removes the processes that have ended.
func (home *Home) forget(now time.Time) {
	for id, process := range home.processes {
		if now.Sub(process.heardAt) > 100*home.bounds.Window {
			delete(home.processes, id)
		}
	}
}
