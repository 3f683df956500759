package view_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/view"
)

var start = time.Unix(1000, 0)

func at(term, lsn uint64) posn.Position { return posn.Position{Term: term, LSN: lsn} }

func report(slot string, sealed uint64, held posn.Position) quorum.Report {
	return quorum.Report{Slot: slot, Sealed: sealed, Held: held}
}

// A position that was acknowledged stays so after a VM has missed the openings
// of several terms. It was once waited for without end: a read at 1/79 while
// the group had moved on to 13/93.
func TestFateAfterMissedTerms(t *testing.T) {
	c := qt.New(t)
	v := view.View{Size: 3}.
		WithReport(report("a", 1, at(1, 79)), start).
		WithReport(report("b", 1, at(1, 79)), start)
	c.Assert(v.Acked, qt.Equals, at(1, 79))
	opened := quorum.Report{Slot: "c", Sealed: 13, Primary: true, Held: at(13, 93), Start: at(13, 93), Inherited: at(12, 92)}
	v = v.WithReport(opened, start).WithReport(report("b", 13, at(13, 93)), start)
	c.Assert(v.Acked, qt.Equals, at(13, 93))
	c.Assert(v.Fate(at(1, 79)), qt.Equals, quorum.FateKept)
	c.Assert(v.Fate(at(1, 80)), qt.Equals, quorum.FateOpen)
}

// A snapshot must not change when the next one is made.
func TestViewsAreImmutable(t *testing.T) {
	c := qt.New(t)
	before := view.View{Size: 3}.
		WithReport(report("a", 1, at(1, 5)), start).
		WithReport(report("b", 1, at(1, 4)), start)
	_ = before.WithFloor(at(1, 4), start.Add(time.Second))
	slot, _ := before.Slot("a")
	c.Assert(slot.ProvenAt.IsZero(), qt.IsTrue)
}

// Rule 5: the proof of an age outlives the primary, and an unknown age is none.
func TestProvenAge(t *testing.T) {
	c := qt.New(t)
	v := view.View{Size: 3}.
		WithReport(report("a", 1, at(1, 5)), start).
		WithFloor(at(1, 5), start).
		WithReport(report("b", 1, at(1, 4)), start)
	behind, _ := v.Slot("b")
	c.Assert(behind.ProvenAt.IsZero(), qt.IsTrue)
	v = v.WithFailure("a", true, start.Add(time.Second)).WithSeen("b", at(1, 5), start.Add(2*time.Second))
	caughtUp, _ := v.Slot("b")
	c.Assert(caughtUp.ProvenAt, qt.Equals, start)
	c.Assert(caughtUp.ProvenFloor, qt.Equals, at(1, 5))
}

// Traffic shows what a slot has, but not under which term it took it, so it
// routes reads and acknowledges nothing.
func TestTrafficDoesNotAcknowledge(t *testing.T) {
	v := view.View{Size: 3}.
		WithReport(report("a", 1, at(1, 9)), start).
		WithReport(report("b", 1, at(1, 3)), start).
		WithSeen("b", at(1, 9), start)
	qt.Assert(t, v.Acked, qt.Equals, at(1, 3))
}
