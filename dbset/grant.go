package dbset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// Grant is a keeper's word that a database leads.
type Grant struct {
	// Token is the fence of the keeper's duty.
	Token   uint64
	Term    uint64
	Primary string
	// Start covers all that was kept of earlier terms.
	Start posn.Position
	// Position is an observation of the primary, Age before the keeper's answer.
	Position posn.Position
	Age      time.Duration
}

// Accept takes a grant that was asked for at a time.
func (group *Group) Accept(grant Grant, asked time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if grant.Token < group.token || grant.Term < group.term || !asked.After(group.revokedAt) {
		return
	}
	group.token, group.revokedAt = grant.Token, time.Time{}
	if grant.Term > group.term || group.primary != grant.Primary {
		if grant.Term > group.term {
			group.termStart = grant.Start
		}
		group.term, group.primary = grant.Term, grant.Primary
		group.wake()
	}
	group.extend(asked.Add(GrantFor), asked)
	if !grant.Position.IsZero() {
		seen := asked.Add(-grant.Age)
		group.observe(grant.Position, seen)
		if seen.After(group.keeperSaw) {
			group.keeperSaw = seen
		}
	}
}

// KeeperSaw returns when the keeper had itself seen the primary, as far as its
// grants tell.
func (group *Group) KeeperSaw() time.Time {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.keeperSaw
}

// Offer returns the grant that the group's keeper gives, if it knows a primary.
func (group *Group) Offer(now time.Time) (Grant, bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if _, ok := group.members[group.primary]; !ok || !group.isNewest() {
		return Grant{}, false
	}
	grant := Grant{Term: group.term, Primary: group.primary, Start: group.termStart}
	if last := len(group.observations) - 1; last >= 0 {
		grant.Position = group.observations[last].position
		grant.Age = now.Sub(group.observations[last].began)
	}
	return grant, true
}

// isNewest reports whether the primary's term is known to be the newest. A
// keeper that has just started might see only a former primary.
func (group *Group) isNewest() bool {
	return group.shownTerm == group.term || len(group.members) == 1
}

// Revoke ends the VM's grant; false if a later keeper has granted since.
func (group *Group) Revoke(token uint64, now time.Time) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	if token < group.token {
		return false
	}
	group.token, group.revokedAt, group.grantedUntil = token, now, time.Time{}
	return true
}

// supersede takes note of a term whose primary is not known yet.
func (group *Group) supersede(term uint64) {
	group.term, group.shownTerm, group.primary = term, term, ""
	group.grantedUntil, group.termStart = time.Time{}, posn.Position{}
	group.wake()
}

// Show notes that a promotion began a term.
func (group *Group) Show(term uint64) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.shownTerm = max(group.shownTerm, term)
}

func (group *Group) extend(until, now time.Time) {
	if !until.After(group.grantedUntil) {
		return
	}
	wasGranted := group.grantedUntil.After(now)
	group.grantedUntil = until
	if !wasGranted {
		group.wake()
	}
}

// AllowProof says whether replicas' reports may stand for a grant: only if
// keepers know of this VM.
func (group *Group) AllowProof(isAllowed bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.mayUseProof = isAllowed
}

// Primary returns the database that leads, if it holds a grant now.
func (group *Group) Primary(now time.Time) (Member, bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.granted(now)
}

func (group *Group) granted(now time.Time) (Member, bool) {
	leads, ok := group.members[group.primary]
	if !ok || !group.grantedUntil.After(now) {
		return Member{}, false
	}
	return leads.Member, true
}

// HasGrant reports whether the VM may use the group's primary.
func (group *Group) HasGrant(now time.Time) bool {
	_, ok := group.Primary(now)
	return ok
}

// Term returns the term of the last primary known.
func (group *Group) Term() uint64 {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.term
}

// Leads reports whether the database leads in the term under a grant (rule 7).
func (group *Group) Leads(id string, term uint64, now time.Time) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	leads, ok := group.granted(now)
	return ok && leads.ID == id && group.term == term
}
