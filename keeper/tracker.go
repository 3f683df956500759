package keeper

import (
	"time"

	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/view"
)

// tracker follows one group's primary from view to view.
type tracker struct {
	primary string
	term    uint64
	// changedAt is when the group last got or lost a primary.
	changedAt time.Time
	heardAt   time.Time
	delays    detect.Delays
	progress  detect.Progress
}

// judge reports whether the group needs another primary.
func (tracker *tracker) judge(current view.View, limits detect.Limits, now time.Time) bool {
	slot, hasPrimary := current.Primary()
	name := slot.Report.Slot
	if name != tracker.primary || current.Term() != tracker.term {
		*tracker = newTracker(name, current.Term(), slot, now)
	}
	if !hasPrimary {
		// Sealed slots wait to be promoted. Another keeper may be about to do it.
		_, helps := detect.Helps(current, "")
		return helps && now.Sub(tracker.changedAt) > limits.MinSilence
	}
	if slot.HeardAt.After(tracker.heardAt) {
		tracker.delays = tracker.delays.With(slot.HeardAt.Sub(tracker.heardAt))
		tracker.heardAt = slot.HeardAt
	}
	tracker.progress = tracker.progress.With(slot, current.Acked, now)
	return limits.Suspect(slot, tracker.delays, now) || limits.Stuck(tracker.progress, now)
}

func newTracker(primary string, term uint64, slot view.Slot, now time.Time) tracker {
	return tracker{primary: primary, term: term, changedAt: now, heardAt: slot.HeardAt}
}
