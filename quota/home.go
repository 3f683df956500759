package quota

import (
	"math"
	"time"
)

// Home grants tokens to the VMs. It is not safe for concurrent use.
type Home struct {
	bounds Bounds
	// number distinguishes homes; the clock of a home starts at tookOverAt.
	number     uint64
	tookOverAt time.Time
	// settledAt is when the fallback rates that a predecessor granted have ended.
	settledAt time.Time
	accounts  map[string]*account
	processes map[processID]*process
	// listed has the VMs and when each may get a fallback rate; unheard is the number of those
	// without a request so far.
	listed  map[string]time.Time
	heard   map[string]bool
	unheard int
	// part is the part of each rate that the home grants; below 1 while it is extended.
	part float64
}

// processID identifies a process of a VM: a restarted VM does not know what its previous
// process may still have in transit.
type processID struct {
	vm     string
	number uint64
}

type process struct {
	lastSeq uint64
	heardAt time.Time
	// reportedAt is the earliest time at which the process can have run operations at its
	// fallback rates since its last request, which reported all earlier ones of all teams.
	reportedAt time.Time
	// isFallingBack is set if the process used its fallback rates then, so that it may have
	// saved some of them.
	isFallingBack bool
}

// NewHome returns the home of a VM that has taken over. settledAt is the end of the last
// fallback rate that a predecessor granted.
func NewHome(bounds Bounds, number uint64, now, settledAt time.Time) *Home {
	return &Home{
		bounds: bounds, number: number, tookOverAt: now, settledAt: settledAt, part: 1,
		accounts: make(map[string]*account), processes: make(map[processID]*process), heard: make(map[string]bool),
		unheard: math.MaxInt32,
	}
}

// SetVMs sets the VMs of the fleet; an empty list is not used. A VM that was added gets no
// fallback rate for a window, since the next home may have an older list.
func (home *Home) SetVMs(vms []string, now time.Time) {
	if len(vms) == 0 {
		return
	}
	listed := make(map[string]time.Time, len(vms))
	for _, vm := range vms {
		eligibleAt, ok := home.listed[vm]
		if !ok && home.listed != nil {
			eligibleAt = now.Add(home.bounds.Window)
		}
		listed[vm] = eligibleAt
	}
	home.fillAll(now)
	home.listed = listed
	home.countUnheard()
}

// countUnheard counts the VMs that may use a predecessor's fallback rates.
func (home *Home) countUnheard() {
	home.unheard = 0
	for vm := range home.listed {
		if !home.heard[vm] {
			home.unheard++
		}
	}
	if home.listed == nil {
		home.unheard = math.MaxInt32
	}
}

// mayFallBack reports whether a VM may get fallback rates.
func (home *Home) mayFallBack(vm string, now time.Time) bool {
	eligibleAt, ok := home.listed[vm]
	return ok && !now.Before(eligibleAt)
}

// SetLimits sets the limits of all teams. A lower rate or burst applies after
// Bounds.LowerDelay, anything else at once.
func (home *Home) SetLimits(limits map[string]Limit, now time.Time) {
	for name, limit := range limits {
		entry, ok := home.accounts[name]
		if !ok {
			entry = &account{level: startLevel, filledAt: now, claims: make(map[processID]*claim)}
			home.accounts[name] = entry
		}
		home.setLimit(entry, limit, !ok, now)
	}
	for name := range home.accounts {
		if _, ok := limits[name]; !ok {
			delete(home.accounts, name)
		}
	}
}

func (home *Home) setLimit(account *account, limit Limit, isNew bool, now time.Time) {
	if !isNew {
		home.fill(account, now)
	}
	next := limit
	if !isNew {
		next = Limit{Rate: max(limit.Rate, account.limit.Rate), Burst: max(limit.Burst, account.limit.Burst)}
	}
	switch {
	case next == limit:
		account.lowerAt = time.Time{}
	case account.lowerAt.IsZero() || account.lower != limit:
		account.lower, account.lowerAt = limit, now.Add(home.bounds.LowerDelay)
	}
	account.limit = next
	account.level = min(account.level, account.limit.depth())
}

// maxFallback returns the greatest fallback rate that one VM may have, if it has at most
// shares times the average rate of all VMs.
func (home *Home) maxFallback(account *account, shares float64) float64 {
	part := account.limit.Rate * min(maxFallbackPart, shares/float64(max(len(home.listed), 1)))
	if part >= minFallback {
		return part
	}
	return 0
}

// rateAt returns the part of the rate that is not in use at a predecessor's fallback rates.
func (home *Home) rateAt(account *account, now time.Time) float64 {
	if home.part < 1 {
		return account.limit.Rate * home.part
	}
	if !now.Before(home.settledAt) {
		return account.limit.Rate
	}
	inUse := min(home.maxSum(account, withheldShares/maxFallbackShares)-account.returned, float64(home.unheard)*home.maxFallback(account, withheldShares))
	return account.limit.Rate - max(inUse, 0)
}

// fill adds the tokens since the last call, and charges the fallback rates that have ended
// since without a report.
func (home *Home) fill(account *account, now time.Time) {
	if isLowered := !account.lowerAt.IsZero() && !now.Before(account.lowerAt); isLowered {
		loweredAt := account.lowerAt
		account.lowerAt = time.Time{}
		home.fill(account, loweredAt)
		account.limit = account.lower
		account.level = min(account.level, account.limit.depth())
	}
	if elapsed := now.Sub(account.filledAt); elapsed > 0 {
		account.level = min(account.level+home.rateAt(account, account.filledAt)*elapsed.Seconds(), account.limit.depth())
		account.filledAt = now
	}
	kept := account.active[:0]
	for _, claim := range account.active {
		if claim.fallback > 0 && !now.Before(claim.until) {
			used := claim.reserved(now)
			account.level -= used
			claim.charged += used
			claim.fallback = 0
		}
		if claim.fallback > 0 {
			kept = append(kept, claim)
		} else {
			claim.isActive = false
		}
	}
	account.active = kept
	if now.Sub(account.sweptAt) < sweepWindows*home.bounds.Window {
		return
	}
	account.sweptAt = now
	for id, claim := range account.claims {
		if !claim.isActive && now.Sub(claim.until) > sweepWindows*home.bounds.Window {
			delete(account.claims, id)
		}
	}
}

// sweepWindows is the number of windows after which a claim without use is removed.
const sweepWindows = 2

// Handle answers a request.
func (home *Home) Handle(request Request, now time.Time) Answer {
	answer := Answer{Home: home.number, Time: now.Sub(home.tookOverAt)}
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
	if !home.heard[request.VM] {
		home.fillAll(now)
		home.heard[request.VM] = true
		home.countUnheard()
	}
	var sentAfter time.Time
	isLate, isKnown := false, request.Home == home.number
	if isKnown {
		sentAfter = home.tookOverAt.Add(request.SentAfter)
		// The tokens of a request that was delayed would have expired.
		isLate = now.Sub(home.tookOverAt.Add(request.SentBefore)) >= TokenTTL
	}
	if !request.IsFallingBack {
		sentAfter = sentAfter.Add(AnswerTimeout)
	}
	if isKnown {
		known.reportedAt, known.isFallingBack = sentAfter, request.IsFallingBack
	}
	answer.Teams = make([]Grant, 0, len(request.Teams))
	for _, demand := range request.Teams {
		entry, ok := home.accounts[demand.Team]
		if !ok {
			answer.Teams = append(answer.Teams, Grant{Team: demand.Team, RetryAfter: maxRetryAfter})
			continue
		}
		home.fill(entry, now)
		claim := home.settle(entry, id, known, demand, isKnown, now)
		if isLate {
			continue
		}
		grant := home.grant(entry, claim, demand, now)
		if home.mayFallBack(request.VM, now) && !demand.IsIdle {
			allowed := home.allowFallback(entry, claim, demand.HasFloor, now)
			grant.Fallback, grant.Depth, grant.SharesFloor = allowed.Fallback, allowed.Depth, allowed.SharesFloor
		}
		if grant.Fallback > 0 {
			entry.setFallback(claim, max(claim.fallback, grant.Fallback), now.Add(home.bounds.Window))
		}
		answer.Teams = append(answer.Teams, grant)
	}
	return answer
}

func (home *Home) fillAll(now time.Time) {
	if !now.Before(home.settledAt) {
		return
	}
	for _, account := range home.accounts {
		home.fill(account, now)
	}
}

// forget removes the processes that have ended.
func (home *Home) forget(now time.Time) {
	for id, process := range home.processes {
		if now.Sub(process.heardAt) > 100*home.bounds.Window {
			delete(home.processes, id)
		}
	}
}

// settle replaces what a process may have run by what it reports. If isKnown, the process has
// had an answer of this home.
func (home *Home) settle(account *account, id processID, process *process, demand Demand, isKnown bool, now time.Time) *claim {
	entry, ok := account.claims[id]
	if !ok {
		// What the process ran before is covered by its part of the rate that the home has
		// not granted while the VM was unheard (rateAt).
		entry = &claim{process: process, ran: float64(demand.Ran), since: now}
		if !isKnown {
			account.returned += demand.Fallback
		}
		account.claims[id] = entry
	}
	ran := max(float64(demand.Ran)-entry.ran, 0)
	entry.ran = float64(demand.Ran)
	account.level -= max(ran-entry.charged, 0)
	entry.charged = 0
	fallback := demand.Fallback
	if demand.FallbackFor <= 0 {
		fallback = 0
	}
	if isKnown {
		// What the process has saved is what it had not run before.
		since := entry.since
		if entry.fallback > 0 {
			since = since.Add(seconds(ran / entry.fallback))
		}
		entry.since = entry.startOf(since)
	}
	entry.excess = excess(fallback, demand.Depth)
	account.setFallback(entry, fallback, now.Add(max(demand.FallbackFor, 0)))
	return entry
}

// grant grants tokens for the operations that wait, and for the expected ones up to half of
// the rest, since other VMs have demand as well.
func (home *Home) grant(account *account, claim *claim, demand Demand, now time.Time) Grant {
	available := math.Floor(account.available(now) + 1e-9)
	granted := min(float64(max(demand.Waiting, 0)), max(available, 0))
	if rest := available - granted; rest > 0 {
		granted += min(float64(max(demand.Expected, 0)), math.Floor(rest/2))
	}
	account.level -= granted
	claim.recent.add(int(granted), home.slot(now))
	account.recent.add(int(granted), home.slot(now))
	grant := Grant{Team: demand.Team, Tokens: int(granted)}
	refused := max(demand.Waiting-grant.Tokens, 0) + max(demand.Refused, 0)
	if refused > 0 {
		grant.RetryAfter, grant.Interval = home.schedule(account, refused, now)
	}
	return grant
}

// schedule returns the times at which refused operations should be tried again: one after
// the other at the team's rate, after those that were refused before.
func (home *Home) schedule(account *account, refused int, now time.Time) (retryAfter, interval time.Duration) {
	rate := home.rateAt(account, now)
	if rate <= 0 {
		return maxRetryAfter, 0
	}
	slot := now.Add(seconds(max(1-account.available(now), 0) / rate))
	if account.nextSlot.After(slot) {
		slot = account.nextSlot
	}
	limit := now.Add(maxRetryAfter)
	if slot.After(limit) {
		slot = limit
	}
	account.nextSlot = slot.Add(seconds(float64(refused) / rate))
	if account.nextSlot.After(limit) {
		account.nextSlot = limit
	}
	return slot.Sub(now), seconds(1 / rate)
}

// allowFallback returns the part of a grant for the process's fallback rate. The rate is the average of the process's grants in the last window with some headroom,
// as far as all rates together remain within the team's rate.
func (home *Home) allowFallback(account *account, own *claim, hasFloor bool, now time.Time) Grant {
	granted, all := own.recent.sum(home.slot(now)), account.recent.sum(home.slot(now))
	if granted == 0 {
		return Grant{}
	}
	fallback := min(granted/home.bounds.Window.Seconds()*fallbackHeadroom, account.limit.Rate*granted/all)
	rest := min(home.rateAt(account, now), home.maxSum(account, 1))
	budget := home.excessBudget(account)
	depth := min(max(budget/float64(max(len(home.listed), 1)), 1), maxDepth)
	for _, claim := range account.active {
		if claim != own && claim.fallback > 0 {
			rest -= claim.fallback
			budget -= claim.excess
		}
	}
	fallback = min(fallback, rest, home.maxFallback(account, maxFallbackShares))
	switch {
	case fallback < minFallback:
		return Grant{}
	case fallback >= lowFallback: // as deep as the budget allows
	case hasFloor && home.excessBudget(account) < float64(len(home.listed)):
		return Grant{Fallback: fallback, Depth: 1, SharesFloor: true}
	default:
		depth = 1
	}
	saved := excess(fallback, depth)
	if saved > budget {
		return Grant{}
	}
	own.excess = max(own.excess, saved)
	return Grant{Fallback: fallback, Depth: max(depth, fallback*TokenTTL.Seconds())}
}

// maxSum returns the greatest sum of all VMs' fallback rates. For a margin above 1, it is at
// least that of a home whose list of VMs is shorter by that factor.
func (home *Home) maxSum(account *account, margin float64) float64 {
	perVM := account.limit.Rate / float64(max(len(home.listed), 1))
	return account.limit.Rate * min(max(perVM*margin/fullPartFrom, smallPart), 1)
}

// excess returns the number of operations of a depth for which a VM may have saved fallback
// rate when a window begins, beyond those that it saves within TokenTTL.
func excess(fallback, depth float64) float64 { return max(depth-fallback*TokenTTL.Seconds(), 0) }

// excessBudget is the greatest sum of excess over the VMs. A window has an excess only if
// the home was lost before it began, so that the burst is left as well.
func (home *Home) excessBudget(account *account) float64 {
	floors := home.bounds.floors(account.limit, len(home.listed))
	return account.limit.Burst + home.bounds.spare(account.limit) - float64(floors)
}

func (home *Home) slot(now time.Time) int64 {
	return now.UnixNano() / int64(home.bounds.Window/recentSlots)
}
