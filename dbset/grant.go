package dbset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// Grant is a keeper's lease that lets a VM use a database as the primary.
type Grant struct {
	// Token is the keeper's fencing token.
	Token   uint64
	Term    uint64
	Primary string
	// Start is a position of the term that covers every entry retained from
	// earlier terms.
	Start posn.Position
	// Position is the primary's position, observed Age before the keeper's
	// answer.
	Position posn.Position
	Age      time.Duration
}

// Accept records a grant that was requested at requestedAt. It ignores a grant of
// a replaced keeper, of an earlier term, or requested before the last revocation.
func (group *Group) Accept(grant Grant, requestedAt time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if grant.Token < group.token || grant.Term < group.term || !requestedAt.After(group.revokedAt) {
		return
	}
	group.token, group.revokedAt = grant.Token, time.Time{}
	if grant.Term > group.term || group.primary != grant.Primary {
		if grant.Term > group.term {
			group.termStart = grant.Start
		}
		group.term, group.primary = grant.Term, grant.Primary
		group.notifyChange()
	}
	group.extendGrant(requestedAt.Add(GrantFor), requestedAt)
	if !grant.Position.IsZero() {
		observedAt := requestedAt.Add(-grant.Age)
		group.addObservation(grant.Position, observedAt)
		if observedAt.After(group.keeperObservedAt) {
			group.keeperObservedAt = observedAt
		}
	}
}

// KeeperSaw returns when the keeper last observed the primary, according to its
// grants.
func (group *Group) KeeperSaw() time.Time {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.keeperObservedAt
}

// Offer returns the grant that this VM gives as the group's keeper; false if it
// knows no primary or can't confirm that the primary's term is the newest. Token
// is left zero.
func (group *Group) Offer(now time.Time) (Grant, bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if _, ok := group.members[group.primary]; !ok || !group.isTermNewest() {
		return Grant{}, false
	}
	grant := Grant{Term: group.term, Primary: group.primary, Start: group.termStart}
	if last := len(group.observations) - 1; last >= 0 {
		grant.Position = group.observations[last].position
		grant.Age = now.Sub(group.observations[last].requestedAt)
	}
	return grant, true
}

// isTermNewest reports whether the primary's term is confirmed to be the
// newest. A keeper that has just started may have a report of a former primary
// only.
func (group *Group) isTermNewest() bool {
	return group.confirmedTerm == group.term || len(group.members) == 1
}

// Revoke ends the VM's grant. It returns false if a keeper with a higher fencing
// token has granted or revoked since.
func (group *Group) Revoke(token uint64, now time.Time) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	if token < group.token {
		return false
	}
	group.token, group.revokedAt, group.grantedUntil = token, now, time.Time{}
	return true
}

// adoptTerm records a newer term whose primary is not known yet.
func (group *Group) adoptTerm(term uint64) {
	group.term, group.confirmedTerm, group.primary = term, term, ""
	group.grantedUntil, group.termStart = time.Time{}, posn.Position{}
	group.notifyChange()
}

// Show records that a promotion began a term.
func (group *Group) Show(term uint64) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.confirmedTerm = max(group.confirmedTerm, term)
}

func (group *Group) extendGrant(until, now time.Time) {
	if !until.After(group.grantedUntil) {
		return
	}
	wasGranted := group.grantedUntil.After(now)
	group.grantedUntil = until
	if !wasGranted {
		group.notifyChange()
	}
}

// AllowProof sets whether replicas' reports may replace a grant. They may only if
// the keepers know of this VM.
func (group *Group) AllowProof(isAllowed bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.mayUseEvidence = isAllowed
}

// Primary returns the primary, if the VM has a grant for it at the time now.
func (group *Group) Primary(now time.Time) (Member, bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.grantedPrimary(now)
}

func (group *Group) grantedPrimary(now time.Time) (Member, bool) {
	primary, ok := group.members[group.primary]
	if !ok || !group.grantedUntil.After(now) {
		return Member{}, false
	}
	return primary.Member, true
}

// HasGrant reports whether the VM may use the group's primary.
func (group *Group) HasGrant(now time.Time) bool {
	_, ok := group.Primary(now)
	return ok
}

// Term returns the highest known term.
func (group *Group) Term() uint64 {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.term
}

// Leads reports whether the database is the primary of the term under a grant
// (rule 7).
func (group *Group) Leads(id string, term uint64, now time.Time) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	primary, ok := group.grantedPrimary(now)
	return ok && primary.ID == id && group.term == term
}
