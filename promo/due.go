package promo

import (
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
)

// Cause says why a primary is replaced.
type Cause string

// The causes.
const (
	NotDue  Cause = ""
	Silent  Cause = "primarySilent"
	Missing Cause = "noPrimary"
	Leaving Cause = "primaryLeaving"
	Cut     Cause = "primaryCut"
)

// cutShare is the share of VMs that has to be cut off from a primary for it to be
// replaced though others reach it: a promotion stops all of them for about a
// second, a cut lasts several.
const cutShare = 0.3

// Due decides whether the group's primary has to be replaced (rules 10 and 18).
// noneSince is when the group was first seen without one.
func Due(state dbset.State, others Others, noneSince, now time.Time) Cause {
	cause := NotDue
	switch primary, ok := find(state, state.Primary); {
	case !ok:
		if !noneSince.IsZero() && now.Sub(noneSince) >= noneFor && isAllKnown(state, noneSince) {
			cause = Missing
		}
	case primary.Leaving:
		cause = Leaving
	case isSilent(primary, others, now):
		cause = Silent
	case others.CutShare >= cutShare:
		cause = Cut
	}
	if cause != NotDue && !hasCandidate(state) {
		return NotDue
	}
	return cause
}

// isSilent reports whether a primary has stopped. A keeper may fail to reach one
// that is merely full, so what other VMs hear counts too; a refused connection
// needs no other witness.
func isSilent(member dbset.MemberState, others Others, now time.Time) bool {
	if member.Refusals >= leastFailures && now.Sub(member.FailingSince) >= refusesFor {
		return true
	}
	return member.Failures >= leastFailures &&
		now.Sub(member.HeardAt) >= failsFor && now.Sub(others.HeardAt) >= failsFor
}

// isAllKnown reports whether every database has told its role, or failed, since a
// time: one that has not might lead.
func isAllKnown(state dbset.State, since time.Time) bool {
	for _, member := range state.Members {
		if member.Failures < leastFailures && member.ReportedAt.Before(since) {
			return false
		}
	}
	return true
}

func find(state dbset.State, id string) (dbset.MemberState, bool) {
	for _, member := range state.Members {
		if member.ID == id {
			return member, true
		}
	}
	return dbset.MemberState{}, false
}

func hasCandidate(state dbset.State) bool {
	for _, member := range state.Members {
		if isCandidate(member, state.Primary) {
			return true
		}
	}
	return false
}

func isCandidate(member dbset.MemberState, primary string) bool {
	return member.ID != primary && !member.Leaving && member.Failures == 0 && !member.ReportedAt.IsZero()
}
