package dbset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// Reason says why a read went where it went; each has a counter.
type Reason string

// The reasons.
const (
	ToReplica        Reason = "replica"
	ToPrimary        Reason = "primary"
	PrimaryNoFloor   Reason = "primaryNoFloor"
	PrimaryBehind    Reason = "primaryReplicasBehind"
	PrimaryCheaper   Reason = "primaryReplicasBusy"
	PrimaryNoReplica Reason = "primaryNoReplica"
	Nowhere          Reason = "nowhere"
)

// Query is what a read needs.
type Query struct {
	// MaxAge is the age that the read accepts.
	MaxAge time.Duration
	// Own is the position of the session's last commit, made at OwnAt.
	Own   posn.Position
	OwnAt time.Time
	// Exclude are databases that this read has tried in vain.
	Exclude map[string]bool
	// Arrived is when the read had been received.
	Arrived time.Time
	Now     time.Time
}

// Choice is where a read goes.
type Choice struct {
	Member Member
	// Floor is what the database's log has to hold; zero asks for nothing.
	Floor  posn.Position
	Reason Reason
}

// Choose returns where an aged read goes (rules 4 and 5).
func (group *Group) Choose(query Query) Choice {
	group.mu.Lock()
	defer group.mu.Unlock()
	floor, floorAt, hasFloor := group.floor(query)
	replica, replicas, cost := group.cheapestReplica(query, floor, floorAt, hasFloor)
	leads, hasPrimary := group.granted(query.Now)
	hasPrimary = hasPrimary && !query.Exclude[leads.ID]
	if replica != nil {
		if hasPrimary && group.cost(group.members[leads.ID], query.Now)+primaryPenalty < cost {
			return Choice{Member: leads, Reason: PrimaryCheaper}
		}
		return Choice{Member: replica.Member, Floor: floor, Reason: ToReplica}
	}
	switch {
	case !hasPrimary:
		return Choice{Reason: Nowhere}
	case !hasFloor:
		return Choice{Member: leads, Reason: PrimaryNoFloor}
	case replicas == 0:
		return Choice{Member: leads, Reason: PrimaryNoReplica}
	}
	return Choice{Member: leads, Reason: PrimaryBehind}
}

// floor returns the position that covers everything acknowledged up to MaxAge
// ago and the session's own commits, and when the primary had it.
func (group *Group) floor(query Query) (posn.Position, time.Time, bool) {
	oldest := query.Arrived.Add(ageMargin - query.MaxAge)
	for _, seen := range group.observations {
		if seen.began.Before(oldest) {
			continue
		}
		floor, at := group.inTerm(seen.position), seen.began
		if own := group.inTerm(query.Own); !floor.AtLeast(own) {
			floor, at = own, query.OwnAt
		}
		return floor, at, true
	}
	return posn.Position{}, time.Time{}, false
}

// inTerm replaces a position of an earlier term, part of which a promotion may
// have rolled back, by one that covers what was kept of it.
func (group *Group) inTerm(position posn.Position) posn.Position {
	if !position.IsZero() && position.Term < group.term && !group.termStart.IsZero() {
		return group.termStart
	}
	return position
}

func (group *Group) cheapestReplica(query Query, floor posn.Position, floorAt time.Time, hasFloor bool) (*member, int, time.Duration) {
	var best *member
	var bestCost time.Duration
	var replicas int
	for _, id := range group.order {
		candidate := group.members[id]
		if !group.isReplica(candidate, query.Now) || query.Exclude[id] {
			continue
		}
		replicas++
		if !hasFloor || !candidate.reaches(floor, floorAt, query.Now) && !candidate.isWorthTrying(query.Now) {
			continue
		}
		if cost := group.cost(candidate, query.Now); best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	if best != nil && !best.reaches(floor, floorAt, query.Now) {
		best.lagAt = query.Now
	}
	return best, replicas, bestCost
}

func (group *Group) isReplica(candidate *member, now time.Time) bool {
	if candidate.ID == group.primary || candidate.Leaving || candidate.isAvoided(now) {
		return false
	}
	// A registration is renewed at each change of role, a report only when asked.
	return !candidate.SaysPrimary || !candidate.reportedAt.IsZero() && !candidate.report.Primary
}

// isAvoided reports whether requests to the database fail just now. It is tried
// again after a while, since only an answer shows that it is back.
func (member *member) isAvoided(now time.Time) bool {
	return member.failures > 0 && now.Sub(member.failedAt) < avoidFor*time.Duration(min(member.failures, 4))
}

// reaches reports whether the replica holds the floor, as far as known, or
// will by its usual lag.
func (member *member) reaches(floor posn.Position, floorAt, now time.Time) bool {
	if member.position.AtLeast(floor) {
		return true
	}
	lag := unknownLag
	if !member.lagAt.IsZero() {
		lag = max(member.lag, unknownLag/2)
	}
	return now.Sub(floorAt) > lag+lag/4+lagMargin
}

// isWorthTrying reports whether the replica's lag was learned so long ago that one
// read should learn it anew. The floor that goes with the read keeps it safe.
func (member *member) isWorthTrying(now time.Time) bool {
	return now.Sub(member.lagAt) >= relearnLag
}

func (group *Group) cost(member *member, now time.Time) time.Duration {
	slots := max(member.Slots, 1)
	waiting := member.inFlight
	if now.Sub(member.reportedAt) <= busyFor {
		waiting = max(waiting, member.report.Busy)
	}
	cost := member.latency * time.Duration(slots+waiting) / time.Duration(slots)
	if member.Zone != group.Zone {
		cost += farPenalty
	}
	if group.IsWarm != nil && !group.IsWarm(member.ID) {
		cost += openCost
	}
	return cost
}
