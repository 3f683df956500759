// Package route chooses the slot that answers a read. It is pure: what is
// known in, choice and its reason out.
//
// Rules:
//
//  4. A replica answers only if its position has reached the session's floor.
//     Else the read waits a short bounded time, or goes to another replica, or
//     to the primary, by expected cost. Each read that the primary serves has a
//     reason, which is counted.
//  5. A read with a stated age goes to any replica whose age is proven under it.
//  18. A leaving slot gets no new work.
package route

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/view"
)

// Reason says why a read went where it went.
type Reason string

// The reasons.
const (
	Replica        Reason = "replica"
	ReplicaAged    Reason = "replicaAged"
	WaitReplica    Reason = "waitReplica"
	PrimaryWrite   Reason = "primaryWrite"
	PrimaryBehind  Reason = "primaryReplicasBehind"
	PrimaryNone    Reason = "primaryNoReplica"
	PrimaryAged    Reason = "primaryNoReplicaOfAge"
	PrimaryBusy    Reason = "primaryReplicasBusy"
	PrimaryRefused Reason = "primaryReplicaRefusedWrite"
	Nowhere        Reason = "nowhere"
)

// Candidate is a slot that could answer, with its expected cost.
type Candidate struct {
	view.Slot
	Leaving bool
	// Cost is the expected time to an answer: the round trip and the wait for a
	// connection.
	Cost time.Duration
}

// Query is what a read needs.
type Query struct {
	Floor posn.Position
	// Staleness is the stated age that the caller accepts; zero is none.
	Staleness time.Duration
	// MaxSilence is how long a slot may have been silent to be chosen.
	MaxSilence time.Duration
	// ReplicaWait bounds the wait for a replica to reach the floor.
	ReplicaWait time.Duration
	// Exclude are slots that already failed this read.
	Exclude map[string]bool
	Now     time.Time
}

// Choice is where a read goes.
type Choice struct {
	Slot string
	// Floor is what the slot's answer must have reached.
	Floor  posn.Position
	Reason Reason
}

// primaryPenalty is the cost at which a replica's queue makes the primary the
// better choice. It is large, since primaries are scarcer than replicas.
const primaryPenalty = 50 * time.Millisecond

// Choose returns where to send a read.
func Choose(query Query, candidates []Candidate) Choice {
	term := highestTerm(candidates)
	var replica, primary Candidate
	var replicas int
	for _, candidate := range candidates {
		if candidate.Leaving || query.Exclude[candidate.Report.Slot] {
			continue
		}
		isCurrent := candidate.Sealed == term
		if candidate.Primary && isCurrent {
			primary = candidate
			continue
		}
		if !query.isAlive(candidate) {
			continue
		}
		replicas++
		if !query.isEligible(candidate, isCurrent) {
			continue
		}
		if replica.Report.Slot == "" || candidate.Cost < replica.Cost {
			replica = candidate
		}
	}
	return query.decide(replica, primary, replicas)
}

func highestTerm(candidates []Candidate) uint64 {
	var term uint64
	for _, candidate := range candidates {
		term = max(term, candidate.Sealed)
	}
	return term
}

func (query Query) isAlive(candidate Candidate) bool {
	return candidate.FailingSince.IsZero() && query.Now.Sub(candidate.HeardAt) <= query.MaxSilence
}

// isEligible applies rules 4 and 5. A slot of an earlier term may hold entries
// that are not in the current log, so it serves only reads of a proven age.
func (query Query) isEligible(candidate Candidate, isCurrent bool) bool {
	if !candidate.Seen.AtLeast(query.Floor) {
		return false
	}
	if query.Staleness > 0 {
		return !candidate.ProvenAt.IsZero() && query.Now.Sub(candidate.ProvenAt) < query.Staleness
	}
	return isCurrent
}

func (query Query) decide(replica, primary Candidate, replicas int) Choice {
	hasReplica, hasPrimary := replica.Report.Slot != "", primary.Report.Slot != ""
	floor := query.Floor
	switch {
	case hasReplica && hasPrimary && replica.Cost > primary.Cost+primaryPenalty:
		return Choice{Slot: primary.Report.Slot, Floor: floor, Reason: PrimaryBusy}
	case hasReplica && query.Staleness > 0:
		return Choice{Slot: replica.Report.Slot, Floor: posn.Max(floor, replica.ProvenFloor), Reason: ReplicaAged}
	case hasReplica:
		return Choice{Slot: replica.Report.Slot, Floor: floor, Reason: Replica}
	case replicas > 0 && query.ReplicaWait > 0:
		return Choice{Floor: floor, Reason: WaitReplica}
	case hasPrimary && query.Staleness > 0:
		return Choice{Slot: primary.Report.Slot, Floor: floor, Reason: PrimaryAged}
	case hasPrimary && replicas > 0:
		return Choice{Slot: primary.Report.Slot, Floor: floor, Reason: PrimaryBehind}
	case hasPrimary:
		return Choice{Slot: primary.Report.Slot, Floor: floor, Reason: PrimaryNone}
	}
	return Choice{Floor: floor, Reason: Nowhere}
}
