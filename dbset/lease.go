package dbset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// Lease is a primary lease: it lets a VM use a database as the primary.
type Lease struct {
	// Token is the leader's fencing token.
	Token   uint64
	Term    uint64
	Primary string
	// Start is a position of the term that covers every entry retained from
	// earlier terms.
	Start posn.Position
	// Position is the primary's position, observed Age before the leader's
	// answer.
	Position posn.Position
	Age      time.Duration
	// LeaderAge is the time from the leader's last confirmed renewal until its answer.
	LeaderAge time.Duration
}

// AcceptLease records a lease that was requested at requestedAt. It ignores a lease of
// a former leader, of an earlier term, or requested before the last revocation.
func (group *Group) AcceptLease(lease Lease, requestedAt time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if lease.Token < group.token || lease.Term < group.term || !requestedAt.After(group.revokedAt) {
		return
	}
	group.token, group.revokedAt, group.leasedTerm = lease.Token, time.Time{}, lease.Term
	if lease.Term > group.term || group.primary != lease.Primary {
		if lease.Term > group.term {
			group.termStart = lease.Start
		}
		group.setPrimary(lease.Term, lease.Primary)
	}
	group.extendLease(requestedAt.Add(LeaseDuration), requestedAt)
	if !lease.Position.IsZero() {
		group.addObservation(lease.Position, requestedAt.Add(-lease.Age))
		// Of a leader that has not renewed its lease since, another may be about to promote.
		observedAt := requestedAt.Add(-max(lease.Age, lease.LeaderAge))
		if observedAt.After(group.leaderObservedAt) {
			group.leaderObservedAt = observedAt
		}
	}
}

// LeaderObservedAt returns a time at or after which the leader observed the primary and
// renewed its own lease, according to the leases that it issued.
func (group *Group) LeaderObservedAt() time.Time {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.leaderObservedAt
}

// CurrentLease returns the lease that this VM issues as the leader; false if it
// knows no primary or can't confirm that the primary's term is the newest. Token
// is left zero.
func (group *Group) CurrentLease(now time.Time) (Lease, bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if _, ok := group.members[group.primary]; !ok || !group.isTermNewest() {
		return Lease{}, false
	}
	lease := Lease{Term: group.term, Primary: group.primary, Start: group.termStart}
	if last := len(group.observations) - 1; last >= 0 {
		lease.Position = group.observations[last].position
		lease.Age = now.Sub(group.observations[last].requestedAt)
	}
	return lease, true
}

// isTermNewest reports whether the primary's term is confirmed to be the
// newest. A VM that has just become the leader may have a report of a former
// primary only.
func (group *Group) isTermNewest() bool {
	return group.confirmedTerm == group.term || len(group.members) == 1
}

// Revoke ends the VM's lease. It returns false if a leader with a higher fencing
// token has issued or revoked a lease since.
func (group *Group) Revoke(token uint64, now time.Time) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	if token < group.token {
		return false
	}
	group.token, group.revokedAt, group.leasedUntil = token, now, time.Time{}
	return true
}

// AdoptTerm records that a term has begun. Its primary is not known if that is news.
func (group *Group) AdoptTerm(term uint64) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if term > group.term {
		group.adoptTerm(term)
	}
}

// adoptTerm records a newer term whose primary is not known yet.
func (group *Group) adoptTerm(term uint64) {
	group.term, group.confirmedTerm, group.primary, group.lastPrimary = term, term, "", ""
	group.leasedUntil, group.termStart = time.Time{}, posn.Position{}
	group.notifyChange()
}

// ConfirmTerm records that a promotion began a term.
func (group *Group) ConfirmTerm(term uint64) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.confirmedTerm = max(group.confirmedTerm, term)
}

func (group *Group) extendLease(until, now time.Time) {
	if !until.After(group.leasedUntil) {
		return
	}
	hadLease := group.leasedUntil.After(now)
	group.leasedUntil = until
	if _, ok := group.leasedPrimary(now); ok {
		group.gap = gap{}
	}
	if !hadLease {
		group.notifyChange()
	}
}

// AllowEvidence sets whether replicas' reports may stand in for a lease. They may only
// if the leader knows of this VM.
func (group *Group) AllowEvidence(isAllowed bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.mayUseEvidence = isAllowed
}

// Primary returns the primary, if the VM has a lease for it at the time now.
func (group *Group) Primary(now time.Time) (Member, bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.leasedPrimary(now)
}

func (group *Group) leasedPrimary(now time.Time) (Member, bool) {
	primary, ok := group.members[group.primary]
	if !ok || !group.leasedUntil.After(now) {
		return Member{}, false
	}
	return primary.Member, true
}

// HasLease reports whether the VM may use the group's primary.
func (group *Group) HasLease(now time.Time) bool {
	_, ok := group.Primary(now)
	return ok
}

// Term returns the highest known term.
func (group *Group) Term() uint64 {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.term
}

// Acknowledge reports whether a commit at the primary may be acknowledged to its caller, since
// the database is the primary of the term under a lease (rule 7). The position is that of the
// commit's answer.
func (group *Group) Acknowledge(id string, term uint64, position posn.Position, now time.Time) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	primary, ok := group.leasedPrimary(now)
	if !ok || primary.ID != id || group.term != term {
		return false
	}
	group.acknowledged = posn.Max(group.acknowledged, position)
	return true
}

// Acknowledged returns a position that covers all commits that Acknowledge has allowed.
func (group *Group) Acknowledged() posn.Position {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.acknowledged
}
