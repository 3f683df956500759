package lease

import (
	"context"
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/posn"
)

const (
	// A revocation is repeated with a backoff from initialRevokeBackoff to
	// maxRevokeBackoff for each VM that has not acknowledged it: five attempts within 400 ms,
	// and nine while a lease expires.
	initialRevokeBackoff = 25 * time.Millisecond
	maxRevokeBackoff     = 400 * time.Millisecond
	// nonHolderBackoff is the initial backoff for VMs that can't have a lease of the group.
	nonHolderBackoff = 100 * time.Millisecond
)

// revocation tracks which VMs have acknowledged the revocation of a group's leases.
type revocation struct {
	seq   uint64
	acked map[string]bool
	// acknowledged covers the commits that the VMs in acked have acknowledged to callers, except
	// those whose version does not state them, for which hasUnstated is set. isComplete is set
	// once every VM that may have had a lease is in acked.
	acknowledged            posn.Position
	hasUnstated, isComplete bool
	// waiting has the VMs that unacked returned last and that have not acknowledged since.
	// allAcked receives a value when there are none left.
	waiting  map[string]struct{}
	allAcked chan struct{}
}

// unackedVM is a VM that has not acknowledged a revocation.
type unackedVM struct {
	vm string
	// expiresAt is the latest expiry of a lease of the group that the VM may have.
	expiresAt time.Time
}

// attempts is the backoff of the revocations sent to one VM.
type attempts struct {
	nextAt  time.Time
	backoff time.Duration
}

// handleRevoke ends this VM's lease and acknowledges the revocation. It does neither
// if a later leader has issued a lease since.
func (agent *Agent) handleRevoke(order message) {
	if len(order.Groups) != 1 {
		return
	}
	if group := agent.Group(order.Groups[0].Group); group != nil && !group.Revoke(order.Token, agent.Clock.Now()) {
		return
	}
	stated := groupState{Group: order.Groups[0].Group, AgeMS: ceilMS(0)}
	if group := agent.Group(stated.Group); group != nil {
		stated.Position = group.Acknowledged()
	}
	order.Kind, order.Groups = kindRevokeAck, []groupState{stated}
	leader := order.From
	order.From = agent.VM
	agent.send(leader, order)
}

func (agent *Agent) handleRevokeAck(reply message) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if len(reply.Groups) != 1 {
		return
	}
	if revocation, ok := agent.revocations[reply.Groups[0].Group]; ok && revocation.seq == reply.Seq {
		revocation.acked[reply.From] = true
		revocation.acknowledged = posn.Max(revocation.acknowledged, reply.Groups[0].Position)
		revocation.hasUnstated = revocation.hasUnstated || reply.Groups[0].AgeMS == 0
		delete(revocation.waiting, reply.From)
		if len(revocation.waiting) == 0 {
			select {
			case revocation.allAcked <- struct{}{}:
			default:
			}
		}
	}
}

// Revoke stops issuing leases for a group and revokes those that are in force. It
// returns true once every VM has acknowledged that may have a lease or, since the leader
// knows of it, may use evidence. VMs that don't need the group are among these: one may
// begin to need it at any time, and acknowledging makes it ignore the evidence of replicas
// that the leader could not seal. No list has all VMs to which another leader may have issued
// leases, so Revoke waits until these have expired. It returns false once the leases of the VMs
// that have not acknowledged have expired, or if this VM can't learn which VMs may use evidence,
// but not before EvidenceDuration, for which the caller has to wait then anyway. It also returns
// false if ctx ends before that, or if this VM is not the leader.
func (agent *Agent) Revoke(ctx context.Context, group string) bool {
	token, ok := agent.Leadership.HoldsGroup(group, 0)
	if !ok {
		return false
	}
	set := leader.SetOf(group, agent.Leadership.Count())
	began := agent.Clock.Now()
	agent.mu.Lock()
	agent.issuerOf(set, token, began)
	agent.seq++
	revocation := &revocation{seq: agent.seq, acked: make(map[string]bool), allAcked: make(chan struct{}, 1)}
	agent.revocations[group] = revocation
	agent.mu.Unlock()
	order := message{
		Kind: kindRevoke, From: agent.VM, Seq: revocation.seq, Token: token,
		Groups: []groupState{{Group: group}},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	refreshed := agent.refreshPeers(ctx)
	sent := make(map[string]attempts)
	for {
		unacked, foreignExpiry := agent.unacked(set, token, group, revocation)
		now, deadline := agent.Clock.Now(), began.Add(agent.EvidenceDuration())
		if len(unacked) == 0 && !now.Before(foreignExpiry) && agent.hasAllPeers() {
			agent.endLeases(set, token, group)
			agent.mu.Lock()
			revocation.isComplete = true
			agent.mu.Unlock()
			return true
		}
		if foreignExpiry.After(deadline) {
			deadline = foreignExpiry
		}
		if len(unacked) > 0 && unacked[0].expiresAt.After(deadline) {
			deadline = unacked[0].expiresAt
		}
		if !now.Before(deadline) {
			agent.endLeases(set, token, group)
			return false
		}
		nextAt := deadline
		if foreignExpiry.After(now) {
			nextAt = foreignExpiry
		}
		for _, unackedVM := range unacked {
			vmAttempts, wasSent := sent[unackedVM.vm]
			if !wasSent || !vmAttempts.nextAt.After(now) {
				agent.send(unackedVM.vm, order)
				vmAttempts = vmAttempts.next(unackedVM.expiresAt.After(now), now)
				sent[unackedVM.vm] = vmAttempts
			}
			if vmAttempts.nextAt.Before(nextAt) {
				nextAt = vmAttempts.nextAt
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-revocation.allAcked:
		case <-refreshed:
			refreshed = nil
		case <-agent.Clock.After(nextAt.Sub(now)):
		}
	}
}

// refreshPeers begins to make Peers complete. The channel is closed at the end of that; it is nil if
// there is nothing to do.
func (agent *Agent) refreshPeers(ctx context.Context) <-chan struct{} {
	if agent.hasAllPeers() || agent.RefreshPeers == nil {
		return nil
	}
	refreshed := make(chan struct{})
	go func() {
		defer close(refreshed)
		agent.RefreshPeers(ctx)
	}()
	return refreshed
}

func (agent *Agent) hasAllPeers() bool { return agent.HasAllPeers == nil || agent.HasAllPeers() }

// UnknownHoldersUntil returns until when VMs that this VM doesn't know may have leases of a group
// from another leader; a promotion waits for that.
func (agent *Agent) UnknownHoldersUntil(group string) time.Time {
	token, ok := agent.Leadership.HoldsGroup(group, 0)
	if !ok {
		return time.Time{}
	}
	set := leader.SetOf(group, agent.Leadership.Count())
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.foreignExpiry(set, agent.issuerOf(set, token, agent.Clock.Now()))
}

// endLeases records that no lease of a group is in force.
func (agent *Agent) endLeases(set int, token uint64, group string) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if issuer := agent.issuerOf(set, token, agent.Clock.Now()); issuer.token == token {
		issuer.ended[group] = true
		delete(issuer.terms, group)
	}
}

// Acknowledged returns a position that covers all commits of a group that VMs have acknowledged
// to callers. It returns false unless Revoke has returned true, and all VMs state that.
func (agent *Agent) Acknowledged(group string) (posn.Position, bool) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	revocation, ok := agent.revocations[group]
	if !ok || !revocation.isComplete || revocation.hasUnstated {
		return posn.Position{}, false
	}
	return revocation.acknowledged, true
}

// EvidenceDuration returns how long any VM uses a replica's report in place of a lease.
func (agent *Agent) EvidenceDuration() time.Duration {
	if agent.Evidence == nil {
		return dbset.EvidenceDuration
	}
	return agent.Evidence()
}

// next returns the attempts after one more at the time now.
func (vmAttempts attempts) next(mayHaveLease bool, now time.Time) attempts {
	backoff := min(2*vmAttempts.backoff, maxRevokeBackoff)
	switch {
	case vmAttempts.backoff > 0:
	case mayHaveLease:
		backoff = initialRevokeBackoff
	default:
		backoff = nonHolderBackoff
	}
	return attempts{nextAt: now.Add(backoff), backoff: backoff}
}

// unacked returns the VMs that have not acknowledged a revocation, those first whose leases
// may last longest: the listed VMs, and others that may have a lease. A VM to which no lease
// of the group was issued under the present token may have one from the previous leader, until
// foreignExpiry.
func (agent *Agent) unacked(set int, token uint64, group string, revocation *revocation) (unacked []unackedVM, foreignExpiry time.Time) {
	peers := agent.Peers()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	now := agent.Clock.Now()
	issuer := agent.issuerOf(set, token, now)
	foreignExpiry = agent.foreignExpiry(set, issuer)
	revocation.waiting = make(map[string]struct{}, len(peers))
	add := func(vm string, isListed bool) {
		if _, isKnown := revocation.waiting[vm]; isKnown || revocation.acked[vm] {
			return
		}
		expiresAt := foreignExpiry
		if at, ok := issuer.issuedAt[group][vm]; ok {
			expiresAt = at.Add(dbset.LeaseDuration + clockMargin)
		}
		if !isListed && !expiresAt.After(now) {
			return
		}
		revocation.waiting[vm] = struct{}{}
		unacked = append(unacked, unackedVM{vm: vm, expiresAt: expiresAt})
	}
	for _, vm := range peers {
		add(vm, true)
	}
	for vm := range issuer.leasedAt {
		add(vm, false)
	}
	slices.SortFunc(unacked, func(a, b unackedVM) int { return b.expiresAt.Compare(a.expiresAt) })
	return unacked, foreignExpiry
}

// foreignExpiry returns the latest expiry of a lease that the previous leader, or the leader of
// another set, may have issued. agent.mu must be held.
func (agent *Agent) foreignExpiry(set int, issuer *issuer) time.Time {
	return agent.lastForeignIssue(set, issuer).Add(dbset.LeaseDuration + clockMargin)
}

// lastForeignIssue returns the latest time at which the previous leader, or the leader of
// another set, may have issued a lease. agent.mu must be held.
func (agent *Agent) lastForeignIssue(set int, issuer *issuer) time.Time {
	last := issuer.tokenSince
	renewedAt := agent.Leadership.PredecessorRenewedAt(set)
	if ended := renewedAt.Add(dbset.IssueWindow); !renewedAt.IsZero() && ended.Before(last) {
		last = ended
	}
	if grantedAt := agent.Leadership.GrantedAt(set); grantedAt.After(last) {
		return grantedAt
	}
	return last
}

// Resume allows leases for a group again after Revoke.
func (agent *Agent) Resume(group string) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	delete(agent.revocations, group)
}
