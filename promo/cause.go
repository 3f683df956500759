package promo

import (
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
)

// Cause says why a primary is replaced.
type Cause string

// The causes; NoCause means that the primary stays.
const (
	NoCause      Cause = ""
	Unresponsive Cause = "primarySilent"
	Missing      Cause = "noPrimary"
	Leaving      Cause = "primaryLeaving"
	Partitioned  Cause = "primaryCut"
	// Unfinished means that an order was sent whose outcome is unknown.
	Unfinished Cause = "orderUnsettled"
)

// minPartitionedShare is the share of VMs that must be partitioned from a primary for
// it to be replaced although other VMs reach it: a promotion interrupts all VMs for
// about one second, a partition lasts several.
const minPartitionedShare = 0.3

// FailoverCause returns the cause for which the group's primary has to be replaced, or
// NoCause (rules 10 and 18). missingSince is when the group was first observed without
// a primary, or zero.
func FailoverCause(state dbset.State, observations PeerObservations, missingSince, now time.Time) Cause {
	cause := NoCause
	switch primary, ok := findMember(state, state.Primary); {
	case !ok:
		if !missingSince.IsZero() && now.Sub(missingSince) >= missingTimeout && areAllRolesKnown(state, missingSince) {
			cause = Missing
		}
	case primary.Leaving:
		cause = Leaving
	case isDown(primary, observations, now):
		cause = Unresponsive
	case observations.PartitionedShare >= minPartitionedShare:
		cause = Partitioned
	}
	mayBeLeaving := cause == Unresponsive || cause == Missing
	if cause != NoCause && !hasCandidate(state, mayBeLeaving) {
		return NoCause
	}
	return cause
}

// isDown reports whether a primary counts as failed. The leader's requests may time out
// at a primary that is only overloaded, so the primary must not have answered other VMs
// either. Refused connections need no such confirmation.
func isDown(member dbset.MemberState, observations PeerObservations, now time.Time) bool {
	if member.RefusedConnections >= minFailures && now.Sub(member.FailingSince) >= refusalTimeout {
		return true
	}
	return member.Failures >= minFailures &&
		now.Sub(member.LastAnswerAt) >= silenceTimeout && now.Sub(observations.LastAnswerAt) >= silenceTimeout
}

// areAllRolesKnown reports whether every database has either reported its role since a
// time or failed: one that has done neither might be the primary.
func areAllRolesKnown(state dbset.State, since time.Time) bool {
	for _, member := range state.Members {
		if member.Failures < minFailures && member.ReportedAt.Before(since) {
			return false
		}
	}
	return true
}

// findMember returns the member with an ID.
func findMember(state dbset.State, id string) (dbset.MemberState, bool) {
	for _, member := range state.Members {
		if member.ID == id {
			return member, true
		}
	}
	return dbset.MemberState{}, false
}

// hasCandidate reports whether a member can be promoted. A leaving one can if there is no primary
// to go on with.
func hasCandidate(state dbset.State, mayBeLeaving bool) bool {
	for _, member := range state.Members {
		if isCandidate(member, state) && (mayBeLeaving || !member.Leaving) {
			return true
		}
	}
	return false
}

// isCandidate reports whether a member can be promoted: it is a replica that answers. With synchronous replication it must be in the present term: the primary may
// only be waiting for a replica to receive its commits, and a replica of an earlier term lacks
// acknowledged ones.
func isCandidate(member dbset.MemberState, state dbset.State) bool {
	return member.ID != state.Primary && member.ID != state.LastPrimary && member.Failures == 0 && !member.ReportedAt.IsZero() &&
		(!state.IsSynchronous || member.Report.Term >= state.Term)
}
