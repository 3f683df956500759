// Package detect decides whether a primary has failed. It is pure.
//
// Rules:
//
//  10. A slow primary is not a dead one. Silence counts against the delays that
//     were observed. A refused connection means that the process is gone, which
//     needs less patience. More than half of the VMs must share the view. A
//     failover that could not find a majority of slots is not begun.
package detect

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/view"
)

// Limits are the bounds of a detector's patience.
type Limits struct {
	// MinSilence is the least silence that makes a primary suspect.
	MinSilence time.Duration
	// MaxSilence is the most that observed delays can stretch it to.
	MaxSilence time.Duration
	// RefusedFor is how long connections must have been refused.
	RefusedFor time.Duration
	// MaxUnacked is how long entries may wait with none being acknowledged. A
	// primary that is cut off from its replicas answers well, and is no use.
	MaxUnacked time.Duration
}

// DefaultLimits let a primary stall for 300 ms and more without suspicion, and
// leave two thirds of the target of 3 s for the promotion.
var DefaultLimits = Limits{
	MinSilence: 900 * time.Millisecond,
	MaxSilence: 2 * time.Second,
	RefusedFor: 150 * time.Millisecond,
	MaxUnacked: 1500 * time.Millisecond,
}

// deviations is how many mean deviations above the mean delay count as silence.
const deviations = 8

// weight is that of a new delay in the smoothed values: one in eight.
const weight = 8

// Delays smooths the times between answers of a primary. Delays are values.
type Delays struct {
	Mean      time.Duration
	Deviation time.Duration
}

// With returns the delays after one more.
func (delays Delays) With(delay time.Duration) Delays {
	if delays.Mean == 0 {
		return Delays{Mean: delay, Deviation: delay / 2}
	}
	difference := delay - delays.Mean
	delays.Mean += difference / weight
	delays.Deviation += (max(difference, -difference) - delays.Deviation) / weight
	return delays
}

// Patience is how long a primary may be silent.
func (limits Limits) Patience(delays Delays) time.Duration {
	expected := delays.Mean + deviations*delays.Deviation
	return min(max(expected, limits.MinSilence), limits.MaxSilence)
}

// Suspect reports whether the slot has failed, in the view of one VM.
func (limits Limits) Suspect(slot view.Slot, delays Delays, now time.Time) bool {
	if slot.FailingSince.IsZero() {
		return false
	}
	if slot.Refused && now.Sub(slot.FailingSince) >= limits.RefusedFor {
		return true
	}
	since := slot.FailingSince
	if !slot.HeardAt.IsZero() {
		since = slot.HeardAt
	}
	return now.Sub(since) >= limits.Patience(delays)
}

// Progress tracks whether a primary's entries get acknowledged. Its values are
// immutable.
type Progress struct {
	acked posn.Position
	// waitingSince is when the oldest wait without an acknowledgement began.
	waitingSince time.Time
}

// With returns the progress after a look at the primary.
func (progress Progress) With(primary view.Slot, acked posn.Position, now time.Time) Progress {
	switch {
	case acked.AtLeast(primary.Held):
		return Progress{acked: acked}
	case progress.waitingSince.IsZero() || progress.acked != acked:
		return Progress{acked: acked, waitingSince: now}
	}
	return progress
}

// Stuck reports whether nothing was acknowledged for too long.
func (limits Limits) Stuck(progress Progress, now time.Time) bool {
	return !progress.waitingSince.IsZero() && now.Sub(progress.waitingSince) > limits.MaxUnacked
}

// Opinion is what one VM thinks of a group's primary.
type Opinion struct {
	VM        string
	Term      uint64
	Suspected bool
}

// Agreed reports whether more than half of the live VMs suspect the primary of
// term. A VM that didn't answer doesn't agree.
func Agreed(term uint64, opinions []Opinion, live int) bool {
	agreeing := 0
	for _, opinion := range opinions {
		if opinion.Suspected && opinion.Term <= term {
			agreeing++
		}
	}
	return agreeing >= quorum.Majority(live)
}

// Helps reports whether a failover can find a majority: how many slots answer,
// other than the suspected one.
func Helps(current view.View, suspected string) (answering int, helps bool) {
	for _, slot := range current.Slots {
		if slot.Report.Slot != suspected && slot.FailingSince.IsZero() && !slot.HeardAt.IsZero() {
			answering++
		}
	}
	return answering, answering >= quorum.Majority(current.Size)
}
