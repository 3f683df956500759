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
	// idleAfter is the time without demand after which a VM gives its fallback rate up, since
	// the home has to count it as used. Randomly distributed operations of a busy team are
	// seldom so far apart.
	idleAfter = 350 * time.Millisecond
	// blockedFor is the longest time for which a VM refuses operations of a team without
	// asking again, after the home had no tokens for it.
	blockedFor = 50 * time.Millisecond
	// refusedAfter is the retry time of a refusal without a home.
	refusedAfter = 300 * time.Millisecond
	// forgetAfter is when the state of a team without demand is dropped. It is longer than
	// the homes remember what the VM has run (sweepWindows).
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
	// home is the home's VM, vms are all VMs.
	home string
	vms  []string
	// isHomeNew is set until a first request is sent to the home, isFirstCall while that one
	// is in flight.
	isHomeNew, isFirstCall bool
	// isDue is set if an operation has made a call necessary since the last Step.
	isDue bool
	teams map[string]*localTeam
	seq   uint64
	// inFlight is the request that is not yet answered; nil if there is none. lastSentAt is
	// when the last one was sent.
	inFlight   *Request
	lastSentAt time.Time
	// downSince is when the fallback rates came into use since a call had no answer; zero
	// while the home answers.
	downSince time.Time
	// answered is the last answer, to a request of answeredSentAt, received at answeredAt.
	answered       Answer
	answeredSentAt time.Time
	answeredAt     time.Time
}

// batch is a number of tokens with the same expiry.
type batch struct {
	count     int
	expiresAt time.Time
}

// NewAgent returns the agent of a process that starts.
func NewAgent(bounds Bounds, vm string, process uint64, random func() float64, now time.Time) *Agent {
	return &Agent{
		Bounds: bounds, VM: vm, Process: process, Random: random, startedAt: now,
		teams: make(map[string]*localTeam), downSince: now,
	}
}

// SetVMs sets the VMs of the fleet.
func (agent *Agent) SetVMs(vms []string) {
	if slices.Equal(vms, agent.vms) {
		return
	}
	agent.vms = vms
	for _, team := range agent.teams {
		team.floor = -1
	}
}

// SetHome sets the VM that grants tokens; empty if it is unknown.
func (agent *Agent) SetHome(home string, now time.Time) {
	if home == agent.home {
		return
	}
	agent.home, agent.isHomeNew, agent.isFirstCall = home, home != "", false
	agent.inFlight = nil
	if home == "" {
		agent.lose(now)
		return
	}
	agent.beginFallback(now)
}

// Home returns the VM that grants tokens; empty if it is unknown.
func (agent *Agent) Home() string { return agent.home }

// lose brings the fallback rates into use, also for the operations that wait.
func (agent *Agent) lose(now time.Time) {
	agent.beginFallback(now)
	agent.isFirstCall = false
	for _, team := range agent.teams {
		for len(team.waiters) > 0 {
			agent.finish(team, agent.takeAlone(team, now))
		}
	}
}

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
	untilCall := max(agent.lastSentAt.Add(agent.callInterval()).Sub(now), 0)
	if agent.isHomeNew {
		return untilCall
	}
	next := time.Duration(-1)
	for _, team := range agent.teams {
		wait := untilCall
		if !agent.needsCall(team, now) {
			if !team.isOwed(now) {
				continue
			}
			wait = max(wait, agent.quietSince(team).Add(idleAfter).Sub(now))
		}
		if next < 0 || wait < next {
			next = wait
		}
	}
	return next
}

// Step returns the request to send now, or nil. A call without an answer for AnswerTimeout
// brings the fallback rates into use.
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
	if agent.home == "" || now.Sub(agent.lastSentAt) < agent.callInterval() {
		return nil
	}
	isDue := agent.isHomeNew
	for name, team := range agent.teams {
		if agent.needsCall(team, now) {
			isDue = true
		} else if now.Sub(team.demandAt) > forgetAfter {
			delete(agent.teams, name)
		}
	}
	if !isDue {
		return nil
	}
	return agent.request(now)
}

func (agent *Agent) request(now time.Time) *Request {
	agent.seq++
	request := &Request{VM: agent.VM, Process: agent.Process, Seq: agent.seq}
	if !agent.answeredAt.IsZero() {
		request.Home = agent.answered.Home
		request.SentAfter = agent.answered.Time + now.Sub(agent.answeredAt)
		request.SentBefore = agent.answered.Time + now.Sub(agent.answeredSentAt)
	}
	request.IsFallingBack = !agent.downSince.IsZero() && now.After(agent.downSince)
	for _, team := range agent.teams {
		demand := agent.demandOf(team, now)
		isClaimed := team.isClaimed && (team.fallback >= keptFallback || demand.IsIdle)
		if demand.Waiting+demand.Expected+demand.Refused > 0 || isClaimed || team.ran > team.settledRan {
			request.Teams = append(request.Teams, demand)
		}
	}
	agent.isFirstCall, agent.isHomeNew = agent.isHomeNew, false
	agent.inFlight, agent.lastSentAt = request, now
	return request
}

// demandOf returns the part of a request for a team. The VM doesn't use the fallback rate of
// an idle team from here on, whether it gets an answer or not.
func (agent *Agent) demandOf(team *localTeam, now time.Time) Demand {
	isIdle := len(team.waiters) == 0 && !agent.isAlone() && agent.isIdle(team, now)
	if isIdle || !now.Before(team.fallbackUntil) {
		team.fallback = 0
	}
	demand := Demand{
		Team: team.name, Waiting: len(team.waiters), Refused: team.refused, IsIdle: isIdle,
		Fallback: team.fallback, Ran: team.ran, HasFloor: agent.hasFloor(team, now),
	}
	if team.fallback > 0 {
		demand.FallbackFor = team.fallbackUntil.Sub(now)
		if !team.sharesFloor {
			demand.Depth = team.depth
		}
	}
	if !isIdle {
		expected := int(team.demandNow(now) * expectedFor.Seconds())
		if expected < 2 {
			// See needsCall.
			expected = 0
		}
		demand.Expected = max(expected-team.held(now), 0)
	}
	team.refused = 0
	return demand
}

// Answered applies the answer to a request, unless the request was given up.
func (agent *Agent) Answered(request *Request, answer Answer, now time.Time) {
	if request != agent.inFlight {
		return
	}
	if answer.Home == 0 || now.Sub(agent.lastSentAt) >= CallTimeout {
		agent.Failed(request, now)
		return
	}
	agent.inFlight, agent.isFirstCall, agent.downSince = nil, false, time.Time{}
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
	team.settledRan = demand.Ran
	team.fallback, team.depth, team.fallbackUntil = grant.Fallback, grant.Depth, agent.lastSentAt.Add(agent.Bounds.Window)
	team.sharesFloor = grant.SharesFloor
	team.isClaimed = grant.Fallback > 0
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
