package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/leader"
)

// pendingRequest is an unanswered request.
type pendingRequest struct {
	set    int
	sentAt time.Time
}

// requester is the state of the requests to the leader of one set.
type requester struct {
	// lastFullSeq is the number of the last request for all leases, lastFullAt its
	// time, and unansweredFull how many of these in a row have no answer.
	lastFullSeq    uint64
	lastFullAt     time.Time
	unansweredFull int
	// interval is the time from the last request for all leases to the next.
	interval     time.Duration
	lastAnswerAt time.Time
	// token is the highest fencing token of an answer, tokenSince when it first came.
	token      uint64
	tokenSince time.Time
}

// recordAnswer records an answer under a fencing token.
func (requester *requester) recordAnswer(token uint64, now time.Time) {
	requester.lastAnswerAt = now
	if token > requester.token {
		requester.token, requester.tokenSince = token, now
	}
}

// untilFull returns the time until the next request for all leases is due.
func (requester *requester) untilFull(now time.Time) time.Duration {
	interval := requester.interval
	if requester.unansweredFull > 0 {
		interval = min(retryInterval<<min(requester.unansweredFull-1, maxDoublings), RenewInterval)
	}
	return requester.lastFullAt.Add(interval).Sub(now)
}

// requester returns the state of the requests to a set's leader. agent.mu must be held.
func (agent *Agent) requester(set int) *requester {
	found, ok := agent.requesters[set]
	if !ok {
		found = &requester{interval: RenewInterval}
		agent.requesters[set] = found
	}
	return found
}

// requestDue sends the requests that are due and returns the time until the next one. The
// leaders of the sets with needed groups are asked, or else one leader for the state of the
// store, which by rendezvous hashing is another one for other VMs.
func (agent *Agent) requestDue() time.Duration {
	count := agent.Leadership.Count()
	bySet := make(map[int][]*dbset.Group)
	for _, group := range agent.Needed() {
		set := leader.SetOf(group.Name, count)
		bySet[set] = append(bySet[set], group)
	}
	if _, ok := bySet[0]; !ok && agent.NeedsFirstSet != nil && agent.NeedsFirstSet() {
		bySet[0] = nil
	}
	interval := min(max(RenewInterval, time.Duration(len(bySet))*requestPause), maxRenewInterval)
	if len(bySet) == 0 {
		bySet[leader.SetOf(agent.VM, count)] = nil
		if agent.IdleInterval != nil {
			interval = agent.IdleInterval()
		}
	}
	agent.Leadership.Watch(slices.Collect(maps.Keys(bySet)))
	ahead := agent.requestAhead(bySet)
	wait := interval
	for set, groups := range bySet {
		wait = min(wait, agent.requestSet(set, groups, interval, ahead))
	}
	return wait
}

// requestAhead returns how much too early requests for all leases may be sent now. If one is
// due, those that are nearly due are sent with it, so that a VM that asks the leaders of many
// sets wakes up once for all of them.
func (agent *Agent) requestAhead(bySet map[int][]*dbset.Group) time.Duration {
	for set := range bySet {
		if agent.untilFullRequest(set) <= 0 {
			return maxRequestAhead
		}
	}
	return 0
}

// requestSet sends the request to a set's leader that is due within ahead, and returns the time
// until the next one.
func (agent *Agent) requestSet(set int, groups []*dbset.Group, interval, ahead time.Duration) time.Duration {
	missing := agent.missingLeases(set, groups)
	wait := agent.untilFullRequest(set)
	switch {
	case wait <= ahead:
		agent.requestAll(set, groups, interval)
		wait = agent.untilFullRequest(set)
	case len(missing) > 0:
		agent.requestSome(set, missing)
	}
	if len(missing) > 0 {
		agent.sendProofs(set, missing)
		wait = min(wait, retryInterval)
	}
	return wait
}

// Wake makes the agent request missing leases now, since a group has become needed.
func (agent *Agent) Wake() {
	agent.mu.Lock()
	wakeUp := agent.wakeUpLocked()
	agent.mu.Unlock()
	select {
	case wakeUp <- struct{}{}:
	default:
	}
}

// wakeUpLocked returns the channel of Wake. agent.mu must be held.
func (agent *Agent) wakeUpLocked() chan struct{} {
	if agent.wakeUp == nil {
		agent.wakeUp = make(chan struct{}, 1)
	}
	return agent.wakeUp
}

// untilFullRequest returns the time until the next request for all leases of a set is due.
func (agent *Agent) untilFullRequest(set int) time.Duration {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.requester(set).untilFull(agent.Clock.Now())
}

// missingLeases returns the needed groups of a set that have databases but no valid lease.
// It tells each needed group without a lease when the leader last answered.
func (agent *Agent) missingLeases(set int, groups []*dbset.Group) []*dbset.Group {
	now, answeredAt := agent.Clock.Now(), agent.LastAnswerAt(set)
	var missing []*dbset.Group
	for _, group := range groups {
		if group.HasLease(now) {
			continue
		}
		group.LeaseMissing(answeredAt, now)
		if len(group.Members()) > 0 {
			missing = append(missing, group)
		}
	}
	return missing
}

// requestAll requests all needed leases of a set from its leader, and reports to it how
// this VM sees their primaries. interval is the time to the next such request.
func (agent *Agent) requestAll(set int, groups []*dbset.Group, interval time.Duration) {
	now := agent.Clock.Now()
	views := make([]groupState, 0, len(groups))
	for _, group := range groups {
		state := groupState{Group: group.Name}
		if view := group.View(now); view.HasContact {
			state.Primary, state.AgeMS, state.IsUnreachable = view.Primary, ceilMS(now.Sub(view.LastAnswerAt)), view.IsUnreachable
		}
		views = append(views, state)
	}
	agent.mu.Lock()
	agent.requester(set).interval = interval
	agent.mu.Unlock()
	agent.request(kindRequestAll, set, views)
}

// Interval returns the time from the last request for all leases of a set to the next one if
// the leader answers.
func (agent *Agent) Interval(set int) time.Duration {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.init()
	return agent.requester(set).interval
}

// requestSome requests the leases of the given groups only. Often few groups lack
// a lease, while a request for all groups is large.
func (agent *Agent) requestSome(set int, groups []*dbset.Group) {
	names := make([]groupState, 0, len(groups))
	for _, group := range groups {
		names = append(names, groupState{Group: group.Name})
	}
	agent.request(kindRequestSome, set, names)
}

func (agent *Agent) request(kind kind, set int, groups []groupState) {
	now := agent.Clock.Now()
	agent.mu.Lock()
	agent.seq++
	if kind == kindRequestAll {
		requester := agent.requester(set)
		requester.lastFullSeq, requester.lastFullAt = agent.seq, now
		requester.unansweredFull++
	}
	request := message{Kind: kind, From: agent.VM, Seq: agent.seq, Groups: groups, Set: set}
	agent.pending[agent.seq] = pendingRequest{set: set, sentAt: now}
	for seq, pending := range agent.pending {
		if now.Sub(pending.sentAt) > dbset.LeaseDuration {
			delete(agent.pending, seq)
		}
	}
	agent.mu.Unlock()
	if leader := agent.Leadership.Leader(set); leader != "" {
		agent.send(leader, request)
	}
}

// LastAnswerAt returns when this VM last received an answer of a set's leader.
func (agent *Agent) LastAnswerAt(set int) time.Time {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.init()
	return agent.requester(set).lastAnswerAt
}

// handleLeases accepts the answer to a pending request. The leases run from the
// time of the request, however late the answer is.
func (agent *Agent) handleLeases(reply message) {
	agent.mu.Lock()
	pending, isPending := agent.pending[reply.Seq]
	if isPending {
		delete(agent.pending, reply.Seq)
		requester := agent.requester(pending.set)
		requester.recordAnswer(reply.Token, agent.Clock.Now())
		if reply.Seq <= requester.lastFullSeq {
			requester.unansweredFull = 0
		}
	}
	agent.mu.Unlock()
	if !isPending {
		return
	}
	requestedAt := pending.sentAt
	agent.OnStoreState(reply.StoreState, Leader{VM: reply.From, Token: reply.Token, Set: pending.set}, requestedAt)
	for _, groupState := range reply.Groups {
		group := agent.Group(groupState.Group)
		if group == nil {
			continue
		}
		group.AcceptLease(dbset.Lease{
			Token: reply.Token, Term: groupState.Term, Primary: groupState.Primary, Start: groupState.Start,
			Position: groupState.Position, Age: time.Duration(groupState.AgeMS) * time.Millisecond,
			LeaderAge: time.Duration(reply.StoreState.LeaderAgeMS+1) * time.Millisecond, // it is rounded down
		}, requestedAt)
	}
}
