package dbset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// Reason says to what kind of database a read was routed, and for the primary also why.
// Each reason has a counter.
type Reason string

// Reasons for the routing of a read.
const (
	// ToReplica means that a replica is expected to answer at the lowest cost.
	ToReplica Reason = "replica"
	// ToPrimary means that only the primary may serve the request.
	ToPrimary Reason = "primary"
	// ToPrimaryNoMinPosition means that no observation of the primary is recent enough to
	// take a minimum position from. The counter's name calls a minimum position a floor.
	ToPrimaryNoMinPosition Reason = "primaryNoFloor"
	// ToPrimaryReplicasBehind means that no available replica is expected to have reached
	// the minimum position.
	ToPrimaryReplicasBehind Reason = "primaryReplicasBehind"
	// ToPrimaryCheaper means that the cheapest replica costs more than the primary and
	// primaryPenalty together.
	ToPrimaryCheaper Reason = "primaryReplicasBusy"
	// ToPrimaryNoReplica means that no replica is available.
	ToPrimaryNoReplica Reason = "primaryNoReplica"
	// Nowhere means that no database can serve the request.
	Nowhere Reason = "nowhere"
)

// Query describes the requirements of a read.
type Query struct {
	// MaxStaleness is the greatest staleness that the read accepts.
	MaxStaleness time.Duration
	// SessionPosition is the position of the session's last commit, which was made at
	// SessionPositionAt. Zero means that the session has made none.
	SessionPosition   posn.Position
	SessionPositionAt time.Time
	// Exclude has the IDs of the databases on which this read has already failed.
	Exclude map[string]bool
	// Team is the team of the caller; empty for a caller without a team.
	Team string
	// Arrived is when the read was received.
	Arrived time.Time
	Now     time.Time
}

// Choice is the routing decision for a read.
type Choice struct {
	Member Member
	// MinPosition is the minimum position that the database must have reached before
	// it answers; zero is no minimum.
	MinPosition posn.Position
	// PrimaryApplied is the latest position that reads at the chosen primary have shown; zero if
	// none is known, or a replica is chosen.
	PrimaryApplied posn.Position
	Reason         Reason
}

// IsAnswered reports whether an answer at a position is that of the chosen database. It is not if the
// primary has started again without its log, which its registration may show only later.
func (choice Choice) IsAnswered(position posn.Position) bool {
	return position.AtLeast(choice.PrimaryApplied)
}

// ChoosePrimary returns the choice of the primary.
func (group *Group) ChoosePrimary(primary Member) Choice {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.choosePrimary(primary, ToPrimary)
}

// choosePrimary returns the choice of the primary. group.mu must be held.
func (group *Group) choosePrimary(primary Member, reason Reason) Choice {
	choice := Choice{Member: primary, Reason: reason}
	if primary.ID == group.primary {
		choice.PrimaryApplied = group.primaryApplied
	}
	return choice
}

// Choose selects the database for a read with bounded staleness (rules 4 and 5).
func (group *Group) Choose(query Query) Choice {
	group.mu.Lock()
	defer group.mu.Unlock()
	minPosition, minPositionAt, hasMinPosition := group.minPosition(query)
	replica, replicas, cost := group.cheapestReplica(query, minPosition, minPositionAt, hasMinPosition)
	primary, hasPrimary := group.leasedPrimary(query.Now)
	hasPrimary = hasPrimary && !query.Exclude[primary.ID]
	if replica != nil {
		if hasPrimary && group.cost(group.members[primary.ID], query.Team, query.Now)+primaryPenalty < cost {
			return group.choosePrimary(primary, ToPrimaryCheaper)
		}
		return Choice{Member: replica.Member, MinPosition: minPosition, Reason: ToReplica}
	}
	switch {
	case !hasPrimary:
		return Choice{Reason: Nowhere}
	case !hasMinPosition:
		return group.choosePrimary(primary, ToPrimaryNoMinPosition)
	case replicas == 0:
		return group.choosePrimary(primary, ToPrimaryNoReplica)
	}
	return group.choosePrimary(primary, ToPrimaryReplicasBehind)
}

// minPosition returns a position that covers the session's own commits and every
// commit acknowledged more than MaxStaleness before the read arrived. The time is when
// the observation was requested or the session's commit was made; the primary may have
// reached the position slightly later. It returns false if the primary was not observed
// within MaxStaleness.
func (group *Group) minPosition(query Query) (posn.Position, time.Time, bool) {
	oldest := query.Arrived.Add(stalenessMargin - query.MaxStaleness)
	for _, observation := range group.observations {
		if observation.requestedAt.Before(oldest) {
			continue
		}
		minPosition, at := group.toCurrentTerm(observation.position), observation.requestedAt
		if sessionPosition := group.toCurrentTerm(query.SessionPosition); !minPosition.AtLeast(sessionPosition) {
			minPosition, at = sessionPosition, query.SessionPositionAt
		}
		return minPosition, at, true
	}
	return posn.Position{}, time.Time{}, false
}

// toCurrentTerm replaces a position of an earlier term by termStart. A promotion
// may have rolled back the end of the earlier term; termStart covers every entry
// that was retained.
func (group *Group) toCurrentTerm(position posn.Position) posn.Position {
	if !position.IsZero() && position.Term < group.term && !group.termStart.IsZero() {
		return group.termStart
	}
	return position
}

// cheapestReplica returns the replica with the lowest cost among those that can
// serve the read, the number of available replicas, and that cost. If the
// replica is chosen only to probe its lag, the probe is recorded, so that other
// reads don't probe it as well.
func (group *Group) cheapestReplica(query Query, minPosition posn.Position, minPositionAt time.Time, hasMinPosition bool) (*member, int, time.Duration) {
	var best *member
	var bestCost time.Duration
	var replicas int
	for _, id := range group.order {
		candidate := group.members[id]
		if !group.isAvailableReplica(candidate, query.Now) || query.Exclude[id] {
			continue
		}
		replicas++
		if !hasMinPosition || !candidate.isExpectedToReach(minPosition, minPositionAt, query.Now) && !candidate.isLagProbeDue(query.Now) {
			continue
		}
		if cost := group.cost(candidate, query.Team, query.Now); best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	if best != nil && !best.isExpectedToReach(minPosition, minPositionAt, query.Now) {
		best.lagAt = query.Now
	}
	return best, replicas, bestCost
}

// isAvailableReplica reports whether a database is a replica that is neither leaving nor
// avoided. It counts as a replica if its registration or its last report says so, since
// either may be the older one: a registration is updated at each change of role, but a
// report arrives only when requested.
func (group *Group) isAvailableReplica(candidate *member, now time.Time) bool {
	if candidate.ID == group.primary || candidate.Leaving || candidate.isAvoided(now) {
		return false
	}
	return !candidate.SaysPrimary || !candidate.reportedAt.IsZero() && !candidate.report.Primary
}

// isAvoided reports whether recent failures exclude the database from new reads.
// The period grows with each consecutive failure, for at most four of them. It ends
// even if the database has not answered since, because only another request can show
// that it has recovered.
func (member *member) isAvoided(now time.Time) bool {
	return member.absentUntil.After(now) || member.failures > 0 && now.Sub(member.failedAt) < avoidancePeriod*time.Duration(min(member.failures, 4))
}

// isExpectedToReach reports whether the replica is known to have reached the
// minimum position, or has probably reached it, judged by its last lag.
func (member *member) isExpectedToReach(minPosition posn.Position, minPositionAt, now time.Time) bool {
	if member.applied.AtLeast(minPosition) {
		return true
	}
	lag := assumedLag
	if !member.lagAt.IsZero() {
		lag = max(member.lag, assumedLag/2)
	}
	return now.Sub(minPositionAt) > lag+lag/4+lagMargin
}

// isLagProbeDue reports whether the lag estimate is so old that one read should
// be sent to the replica to renew it. This is safe, since the read carries its
// minimum position.
func (member *member) isLagProbeDue(now time.Time) bool {
	return now.Sub(member.lagAt) >= lagProbeInterval
}

// cost estimates the time to an answer: the latency, scaled by the requests in flight
// relative to its parallelism, plus the penalties for another availability zone and for a
// new connection of the team.
func (group *Group) cost(member *member, team string, now time.Time) time.Duration {
	parallelism := max(member.Slots, 1)
	pending := member.inFlight
	if now.Sub(member.reportedAt) <= busyReportLifetime {
		pending = max(pending, member.report.Busy)
	}
	cost := member.latency * time.Duration(parallelism+pending) / time.Duration(parallelism)
	if member.Zone != group.Zone {
		cost += crossZonePenalty
	}
	if group.HasIdleConn != nil && !group.HasIdleConn(member.ID, team) {
		cost += connectPenalty
	}
	return cost
}
