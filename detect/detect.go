// Package detect decides whether a primary has failed. It does no I/O; the time
// is an argument.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  10. A slow primary has not failed. The timeout for its answers adapts to the
//     delays observed. A refused connection shows that the process is not
//     running, so its timeout is shorter. More than half of the live VMs must
//     suspect the primary. A failover is not begun if it can't reach a majority
//     of the slots.
package detect

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/view"
)

// Limits are the timeouts of failure detection.
type Limits struct {
	// MinSilence is the least time without an answer after which a primary is
	// suspected.
	MinSilence time.Duration
	// MaxSilence is the maximum to which observed delays can extend that time.
	MaxSilence time.Duration
	// RefusedFor is how long connections must have been refused for a primary to
	// be suspected.
	RefusedFor time.Duration
	// MaxUnacked is how long a primary may have unacknowledged entries while none
	// is acknowledged. A primary that can't reach its replicas still answers, but
	// can't commit.
	MaxUnacked time.Duration
}

// DefaultLimits tolerate stalls of the primary of 300 ms and more, and leave two
// thirds of the failover target of 3 s for the promotion.
var DefaultLimits = Limits{
	MinSilence: 900 * time.Millisecond,
	MaxSilence: 2 * time.Second,
	RefusedFor: 150 * time.Millisecond,
	MaxUnacked: 1500 * time.Millisecond,
}

// deviationFactor is how many mean deviations above the mean delay an answer may
// take.
const deviationFactor = 8

// smoothingDivisor makes a new delay count 1/8 in the moving averages.
const smoothingDivisor = 8

// Delays has moving averages of the times between a primary's answers. It is
// immutable.
type Delays struct {
	Mean time.Duration
	// Deviation is the mean absolute deviation from Mean.
	Deviation time.Duration
}

// With returns the averages updated by one more delay.
func (delays Delays) With(delay time.Duration) Delays {
	if delays.Mean == 0 {
		return Delays{Mean: delay, Deviation: delay / 2}
	}
	difference := delay - delays.Mean
	delays.Mean += difference / smoothingDivisor
	delays.Deviation += (max(difference, -difference) - delays.Deviation) / smoothingDivisor
	return delays
}

// Timeout returns the timeout for the primary's next answer.
func (limits Limits) Timeout(delays Delays) time.Duration {
	threshold := delays.Mean + deviationFactor*delays.Deviation
	return min(max(threshold, limits.MinSilence), limits.MaxSilence)
}

// Suspect reports whether a slot counts as failed, judged by one VM's requests.
func (limits Limits) Suspect(slot view.Slot, delays Delays, now time.Time) bool {
	if slot.FailingSince.IsZero() {
		return false
	}
	if slot.Refused && now.Sub(slot.FailingSince) >= limits.RefusedFor {
		return true
	}
	silentSince := slot.FailingSince
	if !slot.LastAnswerAt.IsZero() {
		silentSince = slot.LastAnswerAt
	}
	return now.Sub(silentSince) >= limits.Timeout(delays)
}

// Progress tracks whether a primary's entries are being acknowledged. It is
// immutable.
type Progress struct {
	acked posn.Position
	// unackedSince is the time since which the primary has had unacknowledged
	// entries without a new acknowledgement; zero if all entries are
	// acknowledged.
	unackedSince time.Time
}

// With returns the progress updated by the primary's state and the acknowledged
// position.
func (progress Progress) With(primary view.Slot, acked posn.Position, now time.Time) Progress {
	switch {
	case acked.AtLeast(primary.LastPosition):
		return Progress{acked: acked}
	case progress.unackedSince.IsZero() || progress.acked != acked:
		return Progress{acked: acked, unackedSince: now}
	}
	return progress
}

// Stuck reports whether entries are pending and none has been acknowledged for
// longer than MaxUnacked.
func (limits Limits) Stuck(progress Progress, now time.Time) bool {
	return !progress.unackedSince.IsZero() && now.Sub(progress.unackedSince) > limits.MaxUnacked
}

// Opinion is one VM's suspicion of a group's primary.
type Opinion struct {
	VM        string
	Term      uint64
	Suspected bool
}

// Agreed reports whether more than half of the live VMs suspect the primary of
// term. A VM that has not answered counts as not suspecting it, and so does a
// VM that knows a later term, since its opinion is of another primary.
func Agreed(term uint64, opinions []Opinion, live int) bool {
	agreeing := 0
	for _, opinion := range opinions {
		if opinion.Suspected && opinion.Term <= term {
			agreeing++
		}
	}
	return agreeing >= quorum.Majority(live)
}

// CanReachMajority reports whether a failover can reach a majority of the group's
// slots, and returns the number of answering slots other than the suspected one.
func CanReachMajority(current view.View, suspected string) (answering int, hasMajority bool) {
	for _, slot := range current.Slots {
		if slot.Report.Slot != suspected && slot.FailingSince.IsZero() && !slot.LastAnswerAt.IsZero() {
			answering++
		}
	}
	return answering, answering >= quorum.Majority(current.Size)
}
