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
)

// Due decides whether the group's primary has to be replaced (rules 10 and 18).
// noneSince is when the group was first seen without one.
func Due(state dbset.State, noneSince, now time.Time) Cause {
	cause := NotDue
	switch primary, ok := find(state, state.Primary); {
	case !ok:
		if !noneSince.IsZero() && now.Sub(noneSince) >= noneFor {
			cause = Missing
		}
	case primary.Leaving:
		cause = Leaving
	case isSilent(primary, now):
		cause = Silent
	}
	if cause != NotDue && !hasCandidate(state) {
		return NotDue
	}
	return cause
}

func isSilent(member dbset.MemberState, now time.Time) bool {
	return member.Failures >= leastFailures && !member.FailingSince.IsZero() && now.Sub(member.FailingSince) >= failsFor
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
