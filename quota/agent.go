package quota

import (
	"slices"
	"time"
)

const (
	// demandWindow is the time constant of the moving average of a team's demand.
	demandWindow = 500 * time.Millisecond
	// expectedFor is the time for whose expected demand tokens are requested in advance.
	expectedFor = 150 * time.Millisecond
	// refillBelow is the time for whose expected demand tokens are left when further ones are
	// requested. A call takes a few milliseconds.
	refillBelow = 50 * time.Millisecond
	// heldFor is how long after its last operation but one a VM holds a token of a team with
	// less demand.
	heldFor = 2 * time.Second
	// renewalsPerDelegation is the number of calls by which a VM renews a delegation.
	renewalsPerDelegation = 3
	// minCallInterval is the least time between the calls of a VM; it grows with the fleet
	// by callIntervalPerVM, so that the home of 300 VMs has at most 4,000 calls/s.
	minCallInterval   = 20 * time.Millisecond
	callIntervalPerVM = 250 * time.Microsecond
	maxCallInterval   = 80 * time.Millisecond
	// MaxWait is the longest time that an operation should wait for its verdict: until the
	// next call, and for its answer.
	MaxWait = maxCallInterval + AnswerTimeout
	// CallTimeout is how long a call may take: its tokens have expired then.
	CallTimeout = TokenTTL
	// retryCallInterval is the time between calls while none is answered.
	retryCallInterval = 100 * time.Millisecond
	// maxConnecting is the greatest number of VMs to which a VM connects at the same time.
	maxConnecting = 2
	// unfitFor is how long a VM doesn't follow one that is stopping or has no configuration.
	unfitFor = 1 * time.Second
	// blockedFor is the longest time for which a VM refuses operations of a team without
	// asking again, after the home had no tokens for it.
	blockedFor = 50 * time.Millisecond
	// refusedAfter is the retry time of a refusal without a home.
	refusedAfter = 300 * time.Millisecond
	// forgetAfter is when the state of a team without demand is dropped.
	forgetAfter = 20 * time.Second
)

// Verdict tells whether an operation may run.
type Verdict struct {
	OK bool
	// RetryAfter is when the caller of a refused operation should try again.
	RetryAfter time.Duration
	// Home is the VM that grants tokens; empty if it is unknown. GrantAge is the time since
	// the last answer with tokens for the team; negative if there was none. Demand is the
	// team's operations per second at this VM.
	Home     string
	GrantAge time.Duration
	Demand   float64
}

// Waiter is an operation that waits for a token.
type Waiter struct {
	// Done receives the verdict, once.
	Done chan Verdict
	team *localTeam
}

// Agent is a VM's side of the quota. It is not safe for concurrent use. The exported fields
// must be set before use.
type Agent struct {
	Bounds  Bounds
	VM      string
	Process uint64
	// Random returns a number in [0, 1) for the jitter of retry times.
	Random func() float64

	startedAt time.Time
	// home is the home's VM, vms are all VMs. hasShare is set if the VM is one of them for all.
	home     string
	vms      []string
	hasShare bool
	// unfit has the VMs that don't serve as a home, and until when.
	unfit map[string]time.Time
	// delegatedTo has the VM's share until delegatedUntil, by the request delegatedSeq.
	delegatedTo    string
	delegatedUntil time.Time
	delegatedSeq   uint64
	// newcomerAt is when the VM last brought a home a grant.
	newcomerAt time.Time
	// isFirstCall is set until the home's first answer, or the end of the first call.
	isFirstCall bool
	// isDue is set if an operation has made a call necessary since the last Step.
	isDue bool
	teams map[string]*localTeam
	seq   uint64
	// inFlight is the request that is not yet answered; nil if there is none. lastSentAt is
	// when the last one was sent.
	inFlight   *Request
	lastSentAt time.Time
	// isDown is set while the home doesn't answer.
	isDown bool
	// answered is the last answer of the home, to a request of answeredSentAt, received at
	// answeredAt; its number is 0 if there was none.
	answered       Answer
	answeredSentAt time.Time
	answeredAt     time.Time
}

// batch is a number of tokens with the same expiry.
type batch struct {
	count     int
	expiresAt time.Time
}

// NewAgent returns the agent of a process that starts. It doesn't delegate what a former process
// of the VM may have delegated.
func NewAgent(bounds Bounds, vm string, process uint64, random func() float64, now time.Time) *Agent {
	return &Agent{
		Bounds: bounds, VM: vm, Process: process, Random: random, startedAt: now,
		teams: make(map[string]*localTeam), unfit: make(map[string]time.Time),
		isDown: true,
	}
}

// SetVMs sets the VMs of the fleet. hasShare is set if the others know this one, too.
func (agent *Agent) SetVMs(vms []string, hasShare bool) {
	agent.hasShare = hasShare
	if slices.Equal(vms, agent.vms) {
		return
	}
	agent.vms = vms
	for _, team := range agent.teams {
		team.floor = -1
	}
}

// Reach tells whether a VM can be reached.
type Reach int

// The values of Reach. A VM is connecting until it is connected or the first attempt fails.
const (
	Unreachable Reach = iota
	Connecting
	Connected
)

// Choose makes the VM follow the first candidate that is connected and may serve as a home. It
// asks for the reach of those before it, and of the first maxConnecting that are connecting.
func (agent *Agent) Choose(candidates []string, reach func(vm string) Reach, now time.Time) {
	connecting := 0
	for _, candidate := range candidates {
		if until, ok := agent.unfit[candidate]; ok {
			if now.Before(until) {
				continue
			}
			delete(agent.unfit, candidate)
		}
		switch reach(candidate) {
		case Connected:
			agent.SetHome(candidate, now)
			return
		case Connecting:
			connecting++
		case Unreachable:
		}
		if connecting == maxConnecting {
			agent.SetHome("", now)
			return
		}
	}
	agent.SetHome("", now)
}

// SetHome sets the VM that grants tokens; empty if it is unknown.
func (agent *Agent) SetHome(home string, now time.Time) {
	if home == agent.home {
		return
	}
	agent.home, agent.isFirstCall, agent.isDown = home, home != "", true
	agent.inFlight, agent.answered = nil, Answer{}
	agent.lastSentAt = time.Time{}
	if home == "" {
		agent.lose(now)
	}
}

// Home returns the VM that grants tokens; empty if it is unknown.
func (agent *Agent) Home() string { return agent.home }

// Leaving returns a request that takes the share back from a former home, and that VM, or nil.
// Left has to be called if it is answered.
func (agent *Agent) Leaving(now time.Time) (string, *Request) {
	if agent.delegatedTo == "" || agent.delegatedTo == agent.home || !now.Before(agent.delegatedUntil) {
		return "", nil
	}
	agent.seq++
	return agent.delegatedTo, &Request{VM: agent.VM, Process: agent.Process, Seq: agent.seq, HasShares: true, Leaves: true}
}

// Left records that a home has answered a request of Leaving. It may have got the share again
// since that was sent.
func (agent *Agent) Left(home string, request *Request) {
	if agent.delegatedTo == home && request.Seq > agent.delegatedSeq {
		agent.delegatedTo, agent.delegatedUntil = "", time.Time{}
	}
}

// lose decides the operations that wait without the home.
func (agent *Agent) lose(now time.Time) {
	agent.isDown, agent.isFirstCall = true, false
	for _, team := range agent.teams {
		for len(team.waiters) > 0 {
			agent.finish(team, agent.takeAlone(team, now))
		}
	}
}

// isAlone reports whether operations are decided without the home: it is unknown, or its
// last call had no answer.
func (agent *Agent) isAlone() bool { return agent.isDown && !agent.isFirstCall }

// Take takes a token for an operation. If that needs a call to the home, it returns a
// Waiter.
func (agent *Agent) Take(name string, limit Limit, now time.Time) (Verdict, *Waiter) {
	team, ok := agent.teams[name]
	if !ok {
		team = &localTeam{name: name, demandAt: now, floor: -1}
		agent.teams[name] = team
	}
	if team.limit != limit {
		team.limit, team.floor = limit, -1
	}
	team.addDemand(now)
	if len(team.waiters) == 0 && team.take(now) {
		agent.isDue = agent.isDue || agent.needsCall(team, now)
		return agent.verdict(team, true, 0, now), nil
	}
	if agent.isAlone() {
		return agent.takeAlone(team, now), nil
	}
	if now.Before(team.blockedUntil) {
		team.refused++
		return agent.verdict(team, false, agent.nextRetry(team, now), now), nil
	}
	agent.isDue = true
	waiter := &Waiter{Done: make(chan Verdict, 1), team: team}
	team.waiters = append(team.waiters, waiter)
	return Verdict{}, waiter
}

// IsDue reports whether NextStep has to be asked again, since a call has become necessary.
func (agent *Agent) IsDue() bool { return agent.isDue && agent.inFlight == nil }

// Cancel refuses an operation that has waited for too long.
func (agent *Agent) Cancel(waiter *Waiter, now time.Time) {
	for i, other := range waiter.team.waiters {
		if other == waiter {
			waiter.team.waiters = append(waiter.team.waiters[:i:i], waiter.team.waiters[i+1:]...)
			waiter.Done <- agent.takeAlone(waiter.team, now)
			return
		}
	}
}

func (agent *Agent) verdict(team *localTeam, ok bool, retryAfter time.Duration, now time.Time) Verdict {
	verdict := Verdict{OK: ok, RetryAfter: retryAfter, Home: agent.home, GrantAge: -time.Millisecond, Demand: team.demandNow(now)}
	if !team.grantedAt.IsZero() {
		verdict.GrantAge = now.Sub(team.grantedAt)
	}
	return verdict
}

func (agent *Agent) jitter(duration time.Duration) time.Duration {
	return seconds(duration.Seconds() * (0.75 + agent.Random()/2))
}

// takeAlone decides without the home's tokens, by the floor.
func (agent *Agent) takeAlone(team *localTeam, now time.Time) Verdict {
	if agent.takeFloor(team, now) {
		return agent.verdict(team, true, 0, now)
	}
	return agent.verdict(team, false, agent.jitter(refusedAfter), now)
}

// delegatedFor returns how long the VM delegates its share with a request.
func (agent *Agent) delegatedFor() time.Duration {
	return max(minDelegation, time.Duration(len(agent.vms))*delegationPerVM)
}

// renewInterval returns the greatest time between the calls of a VM.
func (agent *Agent) renewInterval() time.Duration {
	return agent.delegatedFor() / renewalsPerDelegation
}

func (agent *Agent) callInterval() time.Duration {
	if agent.isAlone() {
		return retryCallInterval
	}
	return min(max(minCallInterval, time.Duration(len(agent.vms))*callIntervalPerVM), maxCallInterval)
}

// NextStep returns the time until Step has to be called, if Take isn't called before; 0 means
// now, and a negative value that there is nothing to do.
func (agent *Agent) NextStep(now time.Time) time.Duration {
	if agent.inFlight != nil {
		next := agent.lastSentAt.Add(CallTimeout)
		if timeout := agent.lastSentAt.Add(AnswerTimeout); now.Before(timeout) {
			next = timeout
		}
		return max(next.Sub(now), 0)
	}
	if agent.home == "" {
		return -1
	}
	interval := agent.renewInterval()
	if agent.answered.Home == 0 || agent.mayDelegate(now) && agent.delegatedTo != agent.home {
		interval = 0
	}
	for _, team := range agent.teams {
		if agent.needsCall(team, now) {
			interval = 0
		}
	}
	return max(agent.lastSentAt.Add(max(interval, agent.callInterval())).Sub(now), 0)
}

// Step returns the request to send now, or nil. Operations wait for the answer to a call for
// AnswerTimeout.
func (agent *Agent) Step(now time.Time) *Request {
	agent.isDue = false
	if agent.inFlight != nil {
		if now.Sub(agent.lastSentAt) >= AnswerTimeout {
			agent.lose(now)
		}
		if now.Sub(agent.lastSentAt) < CallTimeout {
			return nil
		}
		agent.inFlight = nil
	}
	for name, team := range agent.teams {
		if len(team.waiters) == 0 && now.Sub(team.demandAt) > forgetAfter {
			delete(agent.teams, name)
		}
	}
	if agent.home == "" || agent.NextStep(now) > 0 {
		return nil
	}
	return agent.request(now)
}

// mayDelegate reports whether the VM may delegate its share to its home now.
func (agent *Agent) mayDelegate(now time.Time) bool {
	isFree := agent.delegatedTo == agent.home || !now.Before(agent.delegatedUntil)
	// A former process of the VM may have delegated to another home.
	hasStarted := now.Sub(agent.startedAt) >= agent.delegatedFor()
	return agent.hasShare && agent.answered.Home != 0 && isFree && hasStarted
}

func (agent *Agent) request(now time.Time) *Request {
	agent.seq++
	request := &Request{VM: agent.VM, Process: agent.Process, Seq: agent.seq, HasShares: true, VMs: len(agent.vms)}
	if agent.answered.Home != 0 {
		request.Home = agent.answered.Home
		request.SentAfter = agent.answered.Time + now.Sub(agent.answeredAt)
		request.SentBefore = agent.answered.Time + now.Sub(agent.answeredSentAt)
	}
	if agent.mayDelegate(now) {
		request.Delegates = true
		if agent.delegatedTo != agent.home && (agent.newcomerAt.IsZero() || now.Sub(agent.newcomerAt) > agent.Bounds.Window) {
			request.IsNewcomer, agent.newcomerAt = true, now
		}
		request.DelegatedFor = agent.delegatedFor()
		agent.delegatedTo, agent.delegatedUntil, agent.delegatedSeq = agent.home, now.Add(request.DelegatedFor), request.Seq
	}
	nextCall := now.Add(agent.renewInterval())
	for _, team := range agent.teams {
		demand := team.demandOf(now, nextCall)
		if demand.Waiting+demand.Expected+demand.Refused+demand.Returned > 0 {
			request.Teams = append(request.Teams, demand)
		}
	}
	agent.inFlight, agent.lastSentAt = request, now
	return request
}

// Answered applies the answer to a request, unless the request was given up.
func (agent *Agent) Answered(request *Request, answer Answer, now time.Time) {
	if request != agent.inFlight {
		return
	}
	if answer.Home == 0 || answer.IsStopping {
		// The operations wait for the next home.
		agent.inFlight, agent.answered = nil, Answer{}
		agent.unfit[agent.home] = now.Add(unfitFor)
		if answer.IsStopping && agent.delegatedTo == agent.home {
			agent.delegatedTo, agent.delegatedUntil = "", time.Time{}
		}
		return
	}
	if now.Sub(agent.lastSentAt) >= CallTimeout {
		agent.Failed(request, now)
		return
	}
	agent.inFlight, agent.isFirstCall, agent.isDown = nil, false, false
	agent.answered, agent.answeredSentAt, agent.answeredAt = answer, agent.lastSentAt, now
	asked := make(map[string]Demand, len(request.Teams))
	for _, demand := range request.Teams {
		asked[demand.Team] = demand
	}
	for _, grant := range answer.Teams {
		demand, ok := asked[grant.Team]
		team := agent.teams[grant.Team]
		if ok && team != nil {
			agent.apply(team, demand, grant, now)
		}
	}
}

// apply applies the grant for a team, and decides on the operations that wait.
func (agent *Agent) apply(team *localTeam, demand Demand, grant Grant, now time.Time) {
	if grant.Tokens > 0 {
		team.tokens = append(team.tokens, batch{count: grant.Tokens, expiresAt: agent.lastSentAt.Add(team.limit.tokenTTL())})
		team.grantedAt = now
	}
	if grant.RetryAfter > 0 {
		team.nextSlot, team.slotInterval = now.Add(grant.RetryAfter), grant.Interval
	}
	for len(team.waiters) > 0 && team.take(now) {
		agent.finish(team, agent.verdict(team, true, 0, now))
	}
	if grant.Tokens >= demand.Waiting {
		return
	}
	team.blockedUntil = now.Add(min(grant.RetryAfter, blockedFor))
	for i := 0; len(team.waiters) > 0; i++ {
		if !agent.answered.HasMajority && agent.takeFloor(team, now) {
			agent.finish(team, agent.verdict(team, true, 0, now))
			continue
		}
		if i >= demand.Waiting-grant.Tokens {
			// The home does not know of this one yet.
			team.refused++
		}
		agent.finish(team, agent.verdict(team, false, agent.nextRetry(team, now), now))
	}
}

// finish ends the wait of the team's first waiting operation.
func (agent *Agent) finish(team *localTeam, verdict Verdict) {
	team.waiters[0].Done <- verdict
	team.waiters = team.waiters[1:]
}

// Failed records that a call got no answer.
func (agent *Agent) Failed(request *Request, now time.Time) {
	if request != agent.inFlight {
		return
	}
	agent.inFlight = nil
	agent.lose(now)
}
