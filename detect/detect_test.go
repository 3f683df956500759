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
		{"answers", view.Slot{HeardAt: start}, steady, time.Minute, false},
		{"silent for the least time", view.Slot{HeardAt: start, FailingSince: start}, steady, 899 * time.Millisecond, false},
		{"silent for longer", view.Slot{HeardAt: start, FailingSince: start}, steady, 900 * time.Millisecond, true},
		{"slow as ever", view.Slot{HeardAt: start, FailingSince: start}, slow, 1500 * time.Millisecond, false},
		{"slower than ever", view.Slot{HeardAt: start, FailingSince: start}, slow, 1700 * time.Millisecond, true},
		{"refused a moment ago", view.Slot{HeardAt: start, FailingSince: start, Refused: true}, steady, 100 * time.Millisecond, false},
		{"refused again and again", view.Slot{HeardAt: start, FailingSince: start, Refused: true}, steady, 150 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := detect.DefaultLimits.Suspect(test.slot, test.delays, start.Add(test.after))
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// Rule 10: ten minutes of a primary that stalls for 300 ms every second, polled
// as a keeper polls it, raise no suspicion.
func TestStallsAreNoFailure(t *testing.T) {
	position := posn.Position{Term: 1, LSN: 1}
	primary := quorum.Report{Slot: "a", Sealed: 1, Held: position, Primary: true, Start: position}
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
		if tracker.Judge(current, detect.DefaultLimits, now) {
			t.Fatalf("suspected after %s", elapsed)
		}
	}
}

func TestAgreed(t *testing.T) {
	yes, no := detect.Opinion{Term: 2, Suspected: true}, detect.Opinion{Term: 2}
	later := detect.Opinion{Term: 3, Suspected: true}
	c := qt.New(t)
	c.Check(detect.Agreed(2, []detect.Opinion{yes, yes, no}, 5), qt.IsFalse)
	c.Check(detect.Agreed(2, []detect.Opinion{yes, yes, yes}, 5), qt.IsTrue)
	// Whoever knows a later term speaks of another primary.
	c.Check(detect.Agreed(2, []detect.Opinion{yes, yes, later}, 5), qt.IsFalse)
}
