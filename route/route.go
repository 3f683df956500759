// Package route selects the slot that answers a read. Its functions are pure:
// they take the known state of the slots and return a choice with its reason.
//
// Rules:
//
//  4. A replica answers only if its position has reached the session's minimum
//     position. Otherwise the read waits for a short, bounded time, or is routed
//     to another replica or to the primary, whichever has the lowest expected
//     cost. Each read that is routed to the primary is counted by reason.
//  5. A read with bounded staleness may be routed to any replica whose staleness
//     is proven to be within the bound.
//  18. A leaving slot receives no new requests.
package route

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/view"
)

// Reason says why a read was routed to a slot, or to none.
type Reason string

// Reasons for the routing of a read. One that begins with Primary says why the read was
// routed to the primary: PrimaryBehind because the replicas are behind the minimum
// position, PrimaryBusy because they cost more. In metrics, ReplicaWithinStaleness is
// "replicaAged" and PrimaryNoneWithinStaleness is "primaryNoReplicaOfAge".
const (
	Replica                    Reason = "replica"
	ReplicaWithinStaleness     Reason = "replicaAged"
	WaitReplica                Reason = "waitReplica"
	PrimaryWrite               Reason = "primaryWrite"
	PrimaryBehind              Reason = "primaryReplicasBehind"
	PrimaryNone                Reason = "primaryNoReplica"
	PrimaryNoneWithinStaleness Reason = "primaryNoReplicaOfAge"
	PrimaryBusy                Reason = "primaryReplicasBusy"
	PrimaryRefused             Reason = "primaryReplicaRefusedWrite"
	Nowhere                    Reason = "nowhere"
)

// Candidate is a slot that may serve the read, with its expected cost.
type Candidate struct {
	view.Slot
	Leaving bool
	// Cost is the expected time to an answer: the round-trip time and the wait
	// for a connection.
	Cost time.Duration
}

// Query describes the requirements of a read.
type Query struct {
	// MinPosition is the minimum position of the session.
	MinPosition posn.Position
	// MaxStaleness is the greatest staleness that the caller accepts. Zero means
	// that the read is not a bounded-staleness read.
	MaxStaleness time.Duration
	// MaxSilence is how long ago a replica may have last answered to be chosen.
	MaxSilence time.Duration
	// ReplicaWait limits the wait for a replica to reach MinPosition; zero is no wait.
	ReplicaWait time.Duration
	// Exclude has the names of the slots on which this read has already failed.
	Exclude map[string]bool
	Now     time.Time
}

// Choice is the routing decision for a read. Slot is empty if the read has to
// wait or can't be served.
type Choice struct {
	Slot string
	// MinPosition is the minimum position that the slot must have reached to answer.
	MinPosition posn.Position
	Reason      Reason
}

// primaryPenalty is how much more a replica must cost than the primary before
// the read is routed to the primary. It is large because a group has only one
// primary.
const primaryPenalty = 50 * time.Millisecond

// Choose selects the slot for a read.
func Choose(query Query, candidates []Candidate) Choice {
	term := highestTerm(candidates)
	var replica, primary Candidate
	var replicas int
	for _, candidate := range candidates {
		if candidate.Leaving || query.Exclude[candidate.Report.Slot] {
			continue
		}
		isCurrentTerm := candidate.Sealed == term
		if candidate.Primary && isCurrentTerm {
			primary = candidate
			continue
		}
		if !query.isResponsive(candidate) {
			continue
		}
		replicas++
		if !query.isEligible(candidate, isCurrentTerm) {
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

// isResponsive reports whether the slot has answered recently and not failed
// since.
func (query Query) isResponsive(candidate Candidate) bool {
	return candidate.FailingSince.IsZero() && query.Now.Sub(candidate.LastAnswerAt) <= query.MaxSilence
}

// isEligible applies rules 4 and 5. The log of a slot that follows an earlier
// term may have entries that are not in the current log, so the slot serves
// only bounded-staleness reads for which its staleness is proven.
func (query Query) isEligible(candidate Candidate, isCurrentTerm bool) bool {
	if !candidate.ObservedPosition.AtLeast(query.MinPosition) {
		return false
	}
	if query.MaxStaleness > 0 {
		return !candidate.ProvenAt.IsZero() && query.Now.Sub(candidate.ProvenAt) < query.MaxStaleness
	}
	return isCurrentTerm
}

// decide chooses between the cheapest eligible replica and the primary; a
// candidate without a slot name stands for none. replicas is the number of
// responsive replicas, eligible or not.
func (query Query) decide(replica, primary Candidate, replicas int) Choice {
	hasReplica, hasPrimary := replica.Report.Slot != "", primary.Report.Slot != ""
	minPosition := query.MinPosition
	switch {
	case hasReplica && hasPrimary && replica.Cost > primary.Cost+primaryPenalty:
		return Choice{Slot: primary.Report.Slot, MinPosition: minPosition, Reason: PrimaryBusy}
	case hasReplica && query.MaxStaleness > 0:
		return Choice{Slot: replica.Report.Slot, MinPosition: posn.Max(minPosition, replica.ProvenPosition), Reason: ReplicaWithinStaleness}
	case hasReplica:
		return Choice{Slot: replica.Report.Slot, MinPosition: minPosition, Reason: Replica}
	case replicas > 0 && query.ReplicaWait > 0:
		return Choice{MinPosition: minPosition, Reason: WaitReplica}
	case hasPrimary && query.MaxStaleness > 0:
		return Choice{Slot: primary.Report.Slot, MinPosition: minPosition, Reason: PrimaryNoneWithinStaleness}
	case hasPrimary && replicas > 0:
		return Choice{Slot: primary.Report.Slot, MinPosition: minPosition, Reason: PrimaryBehind}
	case hasPrimary:
		return Choice{Slot: primary.Report.Slot, MinPosition: minPosition, Reason: PrimaryNone}
	}
	return Choice{MinPosition: minPosition, Reason: Nowhere}
}
