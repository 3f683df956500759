package dbset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// Proof shows which database is the primary of the newest term. A VM that reaches a group's
// databases gives it to a leader that doesn't, for instance because it can open no connection
// to them. The leader then issues leases as after reports of its own.
type Proof struct {
	Term    uint64
	Primary string
	// Start is a position of the term that covers every entry retained from earlier terms.
	Start posn.Position
}

// Proof returns the proof by reports that were all requested after a time, of the primary and
// of a replica that knows no newer term; false without such reports.
func (group *Group) Proof(since time.Time) (Proof, bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	primary, ok := group.members[group.primary]
	if !ok || !primary.report.Primary || primary.report.Term != group.term || !primary.requestedAt.After(since) {
		return Proof{}, false
	}
	isNewest := len(group.members) == 1
	for id, replica := range group.members {
		report := replica.report
		if id != group.primary && !report.Primary && report.Term == group.term && report.SealedTerm <= group.term && replica.requestedAt.After(since) {
			isNewest = true
		}
	}
	return Proof{Term: group.term, Primary: group.primary, Start: group.termStart}, isNewest
}

// AcceptProof records the primary that a proof shows, unless this VM knows a newer term or
// the term's primary. The leader may accept a proof only by reports that were requested after
// it had become the leader, since its predecessor may have promoted another database before.
func (group *Group) AcceptProof(proof Proof) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if proof.Term < group.term || proof.Term == group.term && group.primary != "" && group.isTermNewest() {
		return
	}
	if _, ok := group.members[proof.Primary]; !ok {
		return
	}
	if proof.Term > group.term {
		group.leasedUntil, group.termStart = time.Time{}, posn.Position{}
	}
	if group.termStart.IsZero() {
		group.termStart = proof.Start
	}
	group.confirmedTerm = proof.Term
	group.setPrimary(proof.Term, proof.Primary)
}

// isLeaseWithheld reports whether the leader answers this VM's requests without a lease of the
// group, although no promotion has begun: it may not know the primary.
func (group *Group) isLeaseWithheld(now time.Time) bool {
	return !group.leasedUntil.After(now) && now.Sub(group.gap.requestedAt) < leaderSilence &&
		now.Sub(group.gap.leaderAnsweredAt) < leaderSilence && now.Sub(group.revokedAt) >= promotionGap
}
