package dbset

import "time"

const (
	// shortGap is how long a lease may have been missing for requests to wait for it. A
	// renewal that is late, a group that has just become needed, and a new leader after the
	// loss of one take less. With 1 s, a VM that started while the store was down refused
	// writes that a new leader's lease would have served within their time.
	shortGap = 2 * time.Second
	// promotionGap is how long requests wait for a lease while a promotion may be in
	// progress. Failovers of small fleets take up to 3.7 s.
	promotionGap = 4 * time.Second
	// leaderSilence is how long the leader may have sent no answer to count as present.
	// Missing leases are requested every 60 ms, so it covers several lost datagrams.
	leaderSilence = 1 * time.Second
	// gapResumption is how long no lease may have been missing for the next one to begin a
	// new gap: while a group is not needed, its lease is not requested.
	gapResumption = 1 * time.Second
)

// gap is a period in which the VM requests a lease and has none.
type gap struct {
	since time.Time
	// requestedAt is when the lease was last requested, leaderAnsweredAt when the leader had
	// last answered by then.
	requestedAt      time.Time
	leaderAnsweredAt time.Time
}

// LeaseMissing records that the VM needs a lease, requests one and has none.
// leaderAnsweredAt is when the leader last answered any request.
func (group *Group) LeaseMissing(leaderAnsweredAt, now time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if now.Sub(group.gap.requestedAt) > gapResumption {
		group.gap.since = now
	}
	group.gap.requestedAt, group.gap.leaderAnsweredAt = now, leaderAnsweredAt
}

// MayExpectLease reports whether the VM may use the primary, or a lease for it may arrive
// within the time of a request. A lease that is missing for longer than shortGap is not
// expected, unless the leader answers or has revoked the last one: then a promotion may be
// in progress, which takes up to promotionGap. Evidence needs no condition of its own,
// since it would have ended the gap.
func (group *Group) MayExpectLease(now time.Time) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	if _, ok := group.leasedPrimary(now); ok || now.Sub(group.gap.requestedAt) > gapResumption {
		return true
	}
	missingFor := now.Sub(group.gap.since)
	isLeaderPresent := now.Sub(group.gap.leaderAnsweredAt) < leaderSilence
	isRevoked := now.Sub(group.revokedAt) < promotionGap
	return missingFor < shortGap || isLeaderPresent && missingFor < promotionGap || isRevoked
}
