package detect_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/view"
)

var start = time.Unix(1000, 0)

func TestSuspect(t *testing.T) {
	steady := detect.Delays{Mean: 100 * time.Millisecond, Deviation: 10 * time.Millisecond}
	slow := detect.Delays{Mean: 400 * time.Millisecond, Deviation: 150 * time.Millisecond}
	tests := []struct {
		name   string
		slot   view.Slot
		delays detect.Delays
		after  time.Duration
		want   bool
	}{
		{"answers", view.Slot{LastAnswerAt: start}, steady, time.Minute, false},
		{"no answer for just under MinSilence", view.Slot{LastAnswerAt: start, FailingSince: start}, steady, 899 * time.Millisecond, false},
		{"no answer for MinSilence", view.Slot{LastAnswerAt: start, FailingSince: start}, steady, 900 * time.Millisecond, true},
		{"slow within the observed delays", view.Slot{LastAnswerAt: start, FailingSince: start}, slow, 1500 * time.Millisecond, false},
		{"slower than the observed delays", view.Slot{LastAnswerAt: start, FailingSince: start}, slow, 1700 * time.Millisecond, true},
		{"refused for less than RefusedFor", view.Slot{LastAnswerAt: start, FailingSince: start, Refused: true}, steady, 100 * time.Millisecond, false},
		{"refused for RefusedFor", view.Slot{LastAnswerAt: start, FailingSince: start, Refused: true}, steady, 150 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := detect.DefaultLimits.Suspect(test.slot, test.delays, start.Add(test.after))
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// Rule 10: a primary that stalls for 300 ms every second is not suspected in ten
// minutes of polling at the interval of a group owner.
func TestStallsAreNotSuspected(t *testing.T) {
	position := posn.Position{Term: 1, LSN: 1}
	primary := quorum.Report{Slot: "a", Sealed: 1, LastPosition: position, Primary: true, Start: position}
	current := view.View{Size: 1}.WithReport(primary, start)
	var tracker detect.Tracker
	for elapsed := time.Duration(0); elapsed < 10*time.Minute; elapsed += 50 * time.Millisecond {
		now := start.Add(elapsed)
		isStalled := elapsed%time.Second < 300*time.Millisecond
		switch {
		case !isStalled:
			current = current.WithReport(primary, now)
		case elapsed%time.Second >= 250*time.Millisecond:
			current = current.WithFailure("a", false, now)
		}
		if tracker.NeedsFailover(current, detect.DefaultLimits, now) {
			t.Fatalf("stalling primary suspected after %s", elapsed)
		}
	}
}

func TestAgreed(t *testing.T) {
	suspects, doesNotSuspect := detect.Opinion{Term: 2, Suspected: true}, detect.Opinion{Term: 2}
	suspectsLaterTerm := detect.Opinion{Term: 3, Suspected: true}
	c := qt.New(t)
	c.Check(detect.Agreed(2, []detect.Opinion{suspects, suspects, doesNotSuspect}, 5), qt.IsFalse)
	c.Check(detect.Agreed(2, []detect.Opinion{suspects, suspects, suspects}, 5), qt.IsTrue)
	// An opinion of a later term is of another primary.
	c.Check(detect.Agreed(2, []detect.Opinion{suspects, suspects, suspectsLaterTerm}, 5), qt.IsFalse)
}
