// Package route selects the slot that answers a read. Its functions are pure:
// they take the known state of the slots and return a choice with its reason.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  4. A replica answers only if its position has reached the session's minimum
//     position. The cheapest such replica is chosen, unless the primary is cheaper
//     by more than a penalty. Without one, the read waits for a short, bounded time
//     if any replica is responsive, and is then routed to the primary. Each read
//     that is routed to the primary is counted by reason.
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

// Reasons for the routing of a read.
const (
	// Replica means that a replica has reached the minimum position.
	Replica Reason = "replica"
	// ReplicaWithinStaleness means that a replica's staleness is proven to be within the
	// bound. Metrics call it aged.
	ReplicaWithinStaleness Reason = "replicaAged"
	// WaitReplica means that the read waits for a limited time until a replica is eligible.
	WaitReplica Reason = "waitReplica"
	// ToPrimaryWrite is not used: writes are not routed by this package or counted by it.
	ToPrimaryWrite Reason = "primaryWrite"
	// ToPrimaryReplicasBehind means that no responsive replica of the current term has
	// reached the minimum position.
	ToPrimaryReplicasBehind Reason = "primaryReplicasBehind"
	// ToPrimaryNoReplica means that no replica is responsive.
	ToPrimaryNoReplica Reason = "primaryNoReplica"
	// ToPrimaryNoneWithinStaleness means that no replica at the minimum position is proven
	// to be within the bound. Metrics call the staleness an age.
	ToPrimaryNoneWithinStaleness Reason = "primaryNoReplicaOfAge"
	// ToPrimaryReplicasBusy means that the cheapest eligible replica costs more than the
	// primary and primaryPenalty together.
	ToPrimaryReplicasBusy Reason = "primaryReplicasBusy"
	// ToPrimaryReplicaRefusedWrite means that a replica refused the request as a write;
	// package entry counts it when it sends the request to the primary.
	ToPrimaryReplicaRefusedWrite Reason = "primaryReplicaRefusedWrite"
	// Nowhere means that no slot can serve the read.
	Nowhere Reason = "nowhere"
)

// Candidate is a slot that may serve the read, with its expected cost.
type Candidate struct {
	view.Slot
	Leaving bool
	// Cost is the expected time to get a connection to the slot and an answer, plus a
	// penalty for another availability zone.
	Cost time.Duration
}

// Query describes the requirements of a read.
type Query struct {
	// MinPosition is the minimum position of the session.
	MinPosition posn.Position
	// MaxStaleness is the greatest staleness that the caller accepts. Zero means
	// that the read is not a bounded-staleness read.
	MaxStaleness time.Duration
	// MaxSilence is the longest time since a replica's last answer at which it may be
	// chosen. The primary is chosen regardless.
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
	// MinPosition is the minimum position that the slot must have reached to answer. It
	// may exceed the query's: a bounded-staleness read also needs the position that
	// proves the replica's staleness.
	MinPosition posn.Position
	Reason      Reason
}

// primaryPenalty is how much more a replica must cost than the primary before
// the read is routed to the primary. It is large because the one primary of a group
// also serves all of its writes.
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
		return Choice{Slot: primary.Report.Slot, MinPosition: minPosition, Reason: ToPrimaryReplicasBusy}
	case hasReplica && query.MaxStaleness > 0:
		return Choice{Slot: replica.Report.Slot, MinPosition: posn.Max(minPosition, replica.ProvenPosition), Reason: ReplicaWithinStaleness}
	case hasReplica:
		return Choice{Slot: replica.Report.Slot, MinPosition: minPosition, Reason: Replica}
	case replicas > 0 && query.ReplicaWait > 0:
		return Choice{MinPosition: minPosition, Reason: WaitReplica}
	case hasPrimary && query.MaxStaleness > 0:
		return Choice{Slot: primary.Report.Slot, MinPosition: minPosition, Reason: ToPrimaryNoneWithinStaleness}
	case hasPrimary && replicas > 0:
		return Choice{Slot: primary.Report.Slot, MinPosition: minPosition, Reason: ToPrimaryReplicasBehind}
	case hasPrimary:
		return Choice{Slot: primary.Report.Slot, MinPosition: minPosition, Reason: ToPrimaryNoReplica}
	}
	return Choice{MinPosition: minPosition, Reason: Nowhere}
}
