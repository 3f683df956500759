package detect

import (
	"time"

	"github.com/bramleydoor/bramleydoor/view"
)

// Tracker follows one group's primary from view to view. The zero value begins
// with the first view that it judges.
type Tracker struct {
	primary string
	term    uint64
	// changedAt is when the group last got or lost a primary.
	changedAt time.Time
	heardAt   time.Time
	delays    Delays
	progress  Progress
}

// Judge reports whether the group needs another primary.
func (tracker *Tracker) Judge(current view.View, limits Limits, now time.Time) bool {
	slot, hasPrimary := current.Primary()
	name := slot.Report.Slot
	if tracker.changedAt.IsZero() || name != tracker.primary || current.Term() != tracker.term {
		*tracker = Tracker{primary: name, term: current.Term(), changedAt: now, heardAt: slot.HeardAt}
	}
	if !hasPrimary {
		// Sealed slots wait to be promoted. Another keeper may be about to do it.
		_, helps := Helps(current, "")
		return helps && now.Sub(tracker.changedAt) > limits.MinSilence
	}
	if slot.HeardAt.After(tracker.heardAt) {
		tracker.delays = tracker.delays.With(slot.HeardAt.Sub(tracker.heardAt))
		tracker.heardAt = slot.HeardAt
	}
	tracker.progress = tracker.progress.With(slot, current.Acked, now)
	return limits.Suspect(slot, tracker.delays, now) || limits.Stuck(tracker.progress, now)
}
