package lease

import (
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/promo"
)

// issuer is the state of the leader of one set.
type issuer struct {
	// token is the fencing token under which this VM last acted as leader, tokenSince
	// when it first did so. leasedAt has the time of the last answer to each VM under
	// that token, issuedAt that of the last lease, by group and VM.
	token      uint64
	tokenSince time.Time
	leasedAt   map[string]time.Time
	issuedAt   map[string]map[string]time.Time
	// terms has the term of the leases that were issued last, by group. ended has the groups
	// whose earlier leases, also those of other leaders, have ended since tokenSince.
	terms map[string]uint64
	ended map[string]bool
	// requesters is the result of countRequesters at countedAt.
	requesters int
	countedAt  time.Time
	// views has the last report of each VM on the primaries. viewers has, by group, the VMs
	// whose last report may name the group.
	views   map[string]peerView
	viewers map[string]map[string]struct{}
}

// issuerOf returns the state of the leader of a set under a fencing token, or a higher one
// if the token has changed since the caller got it. A new token clears what is known of the
// leases issued under the previous one. agent.mu must be held.
func (agent *Agent) issuerOf(set int, token uint64, now time.Time) *issuer {
	agent.init()
	found, ok := agent.issuers[set]
	if !ok || found.token < token {
		found = &issuer{
			token: token, tokenSince: now,
			leasedAt: make(map[string]time.Time), issuedAt: make(map[string]map[string]time.Time),
			terms: make(map[string]uint64), ended: make(map[string]bool),
			views: make(map[string]peerView), viewers: make(map[string]map[string]struct{}),
		}
		agent.issuers[set] = found
	}
	return found
}

// peerView is another VM's last report on the primaries, by group.
type peerView struct {
	at     time.Time
	groups map[string]dbset.View
}

// handleRequest answers with leases for the primaries that this VM knows, if it leads the
// set. Without a recent renewal it answers without leases.
func (agent *Agent) handleRequest(request message) {
	token, ok := agent.Leadership.Holds(request.Set, 0)
	if !ok {
		return
	}
	_, mayIssue := agent.Leadership.Holds(request.Set, issueReserve)
	now := agent.Clock.Now()
	agent.mu.Lock()
	issuer := agent.issuerOf(request.Set, token, now)
	reply := message{Kind: kindLease, From: agent.VM, Seq: request.Seq, Token: issuer.token, Set: request.Set}
	if request.Kind == kindRequestAll {
		issuer.recordView(request.From, viewOf(request, now))
	}
	if mayIssue {
		reply.Groups = agent.issue(issuer, request, now)
		issuer.leasedAt[request.From] = now
	}
	reply.StoreState = agent.StoreState(request.Set)
	// All VMs have had the time to ask this leader after dbset.LeaseDuration. With an earlier
	// count, VMs would take the fleet for a small one and need all groups.
	if agent.Leadership.Count() == 1 && now.Sub(issuer.tokenSince) >= dbset.LeaseDuration {
		reply.StoreState.VMs = issuer.countRequesters(now)
	}
	agent.mu.Unlock()
	agent.send(request.From, reply)
}

// issue returns leases for the groups that a request names, except those that are revoked
// and those on which this VM may not act under the issuer's token. agent.mu must be held.
func (agent *Agent) issue(issuer *issuer, request message, now time.Time) []groupState {
	leases := make([]groupState, 0, len(request.Groups))
	for _, requested := range request.Groups {
		group := agent.Group(requested.Group)
		if _, isRevoked := agent.revocations[requested.Group]; isRevoked || group == nil {
			continue
		}
		if leader.SetOf(group.Name, agent.Leadership.Count()) != request.Set {
			continue
		}
		if token, ok := agent.Leadership.HoldsGroup(group.Name, issueReserve); !ok || token != issuer.token {
			continue
		}
		lease, ok := group.CurrentLease(now)
		if !ok || !agent.mayIssueTerm(issuer, group, lease.Term) {
			continue
		}
		issuer.terms[group.Name] = lease.Term
		if issuer.issuedAt[group.Name] == nil {
			issuer.issuedAt[group.Name] = make(map[string]time.Time)
		}
		issuer.issuedAt[group.Name][request.From] = now
		leases = append(leases, groupState{
			Group: group.Name, Term: lease.Term, Primary: lease.Primary,
			Start: lease.Start, Position: lease.Position, AgeMS: ceilMS(lease.Age),
		})
	}
	return leases
}

// mayIssueTerm reports whether leases of a group's term may be issued: it is recorded as the
// newest, with the databases that may receive commits, no order may still begin a later one, and
// the leases of earlier terms have ended. agent.mu must be held.
func (agent *Agent) mayIssueTerm(issuer *issuer, group *dbset.Group, term uint64) bool {
	if order, ok := agent.Leadership.Order(group.Name); ok && !order.IsRepeated && order.Term > term {
		return false
	}
	var databases []leader.Database
	for _, member := range group.SynchronousMembers() {
		databases = append(databases, leader.Database{ID: member.ID, Born: member.Born})
	}
	return agent.Leadership.Covers(group.Name, term, databases) && !agent.hasEarlierLeases(issuer, group.Name, term)
}

// hasEarlierLeases reports whether leases of a group's earlier terms may be in force. Unless an
// order was unsettled when this VM became the leader, its predecessors ended them before they
// promoted a database. agent.mu must be held.
func (agent *Agent) hasEarlierLeases(issuer *issuer, group string, term uint64) bool {
	if issued, ok := issuer.terms[group]; ok {
		return issued < term
	}
	_, isOrdered := agent.Leadership.Order(group)
	return isOrdered && !issuer.ended[group]
}

// HasEarlierLeases reports whether this VM, as the leader, issues no leases of a group's term
// since leases of earlier terms may be in force. Revoke ends them.
func (agent *Agent) HasEarlierLeases(group string, term uint64) bool {
	token, ok := agent.Leadership.HoldsGroup(group, 0)
	if !ok {
		return false
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	issuer := agent.issuerOf(leader.SetOf(group, agent.Leadership.Count()), token, agent.Clock.Now())
	return agent.hasEarlierLeases(issuer, group, term)
}

// recordView stores a VM's report on the primaries.
func (issuer *issuer) recordView(vm string, view peerView) {
	issuer.views[vm] = view
	for group := range view.groups {
		if issuer.viewers[group] == nil {
			issuer.viewers[group] = make(map[string]struct{})
		}
		issuer.viewers[group][vm] = struct{}{}
	}
}

func viewOf(request message, now time.Time) peerView {
	peerView := peerView{at: now, groups: make(map[string]dbset.View, len(request.Groups))}
	for _, groupState := range request.Groups {
		if groupState.Primary == "" {
			continue
		}
		peerView.groups[groupState.Group] = dbset.View{
			Primary: groupState.Primary, IsUnreachable: groupState.IsUnreachable,
			LastAnswerAt: now.Add(-time.Duration(groupState.AgeMS) * time.Millisecond),
		}
	}
	return peerView
}

// countRequesters returns the number of VMs that requested leases within
// dbset.LeaseDuration.
func (issuer *issuer) countRequesters(now time.Time) int {
	if len(issuer.leasedAt) > largeFleet && now.Sub(issuer.countedAt) < recountInterval {
		return issuer.requesters
	}
	issuer.requesters, issuer.countedAt = 0, now
	for _, at := range issuer.leasedAt {
		if now.Sub(at) < dbset.LeaseDuration {
			issuer.requesters++
		}
	}
	return issuer.requesters
}

// PeerObservations summarizes how the VMs see a group's primary that requested leases within
// dbset.LeaseDuration and had contact with it.
func (agent *Agent) PeerObservations(group, primary string) promo.PeerObservations {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	now := agent.Clock.Now()
	var observations promo.PeerObservations
	issuer, ok := agent.issuers[leader.SetOf(group, agent.Leadership.Count())]
	if !ok {
		return observations
	}
	var reporting, partitioned int
	for vm := range issuer.viewers[group] {
		view, hasContact := issuer.views[vm].groups[group]
		if !hasContact || now.Sub(issuer.views[vm].at) > dbset.LeaseDuration {
			delete(issuer.viewers[group], vm)
			continue
		}
		reporting++
		if view.Primary != primary {
			continue
		}
		if view.IsUnreachable {
			partitioned++
		}
		if view.LastAnswerAt.After(observations.LastAnswerAt) {
			observations.LastAnswerAt = view.LastAnswerAt
		}
	}
	if reporting > 0 {
		observations.PartitionedShare = float64(partitioned) / float64(reporting)
	}
	return observations
}
