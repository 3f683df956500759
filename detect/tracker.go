package detect

import (
	"time"

	"github.com/bramleydoor/bramleydoor/view"
)

// Tracker detects the failure of one group's primary over successive views. The
// zero value is ready for use. It is not safe for concurrent use.
type Tracker struct {
	primary string
	term    uint64
	// changedAt is when the group's primary or term last changed.
	changedAt time.Time
	// answeredAt is the time of the last answer that delays includes.
	answeredAt time.Time
	delays     Delays
	progress   Progress
}

// NeedsFailover reports whether the group needs a new primary: the primary has failed, or
// the group has had none in the same term for longer than MinSilence although a majority
// of the slots answers.
func (tracker *Tracker) NeedsFailover(current view.View, limits Limits, now time.Time) bool {
	slot, hasPrimary := current.Primary()
	name := slot.Report.Slot
	if tracker.changedAt.IsZero() || name != tracker.primary || current.Term() != tracker.term {
		*tracker = Tracker{primary: name, term: current.Term(), changedAt: now, answeredAt: slot.LastAnswerAt}
	}
	if !hasPrimary {
		// The slots are sealed and none is promoted yet. Another controller may be
		// about to do so, which is why this one waits first.
		_, hasMajority := CanReachMajority(current, "")
		return hasMajority && now.Sub(tracker.changedAt) > limits.MinSilence
	}
	if slot.LastAnswerAt.After(tracker.answeredAt) {
		tracker.delays = tracker.delays.With(slot.LastAnswerAt.Sub(tracker.answeredAt))
		tracker.answeredAt = slot.LastAnswerAt
	}
	tracker.progress = tracker.progress.With(slot, current.Acked, now)
	return limits.Suspect(slot, tracker.delays, now) || limits.Stuck(tracker.progress, now)
}
