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

func report(slot string, sealed uint64, lastPosition posn.Position) quorum.Report {
	return quorum.Report{Slot: slot, Sealed: sealed, LastPosition: lastPosition}
}

// An acknowledged position remains acknowledged on a VM that has missed the
// start of several terms. Otherwise a read with a minimum position of 1/79
// waits forever in a group that has reached 13/93.
func TestOutcomeAfterMissedTerms(t *testing.T) {
	c := qt.New(t)
	snapshot := view.View{Size: 3}.
		WithReport(report("a", 1, at(1, 79)), start).
		WithReport(report("b", 1, at(1, 79)), start)
	c.Assert(snapshot.Acked, qt.Equals, at(1, 79))
	newPrimary := quorum.Report{Slot: "c", Sealed: 13, Primary: true, LastPosition: at(13, 93), Start: at(13, 93), Inherited: at(12, 92)}
	snapshot = snapshot.WithReport(newPrimary, start).WithReport(report("b", 13, at(13, 93)), start)
	c.Assert(snapshot.Acked, qt.Equals, at(13, 93))
	c.Assert(snapshot.Outcome(at(1, 79)), qt.Equals, quorum.OutcomeKept)
	c.Assert(snapshot.Outcome(at(1, 80)), qt.Equals, quorum.OutcomeOpen)
}

// A view must not change when another is derived from it.
func TestViewsAreImmutable(t *testing.T) {
	c := qt.New(t)
	before := view.View{Size: 3}.
		WithReport(report("a", 1, at(1, 5)), start).
		WithReport(report("b", 1, at(1, 4)), start)
	_ = before.WithConfirmation(at(1, 4), start.Add(time.Second))
	slot, _ := before.Slot("a")
	c.Assert(slot.ProvenAt.IsZero(), qt.IsTrue)
}

// Rule 5: the proof of a slot's staleness remains valid after the primary has
// failed, and a slot that has not reached a confirmed position has no proof.
func TestProvenStaleness(t *testing.T) {
	c := qt.New(t)
	snapshot := view.View{Size: 3}.
		WithReport(report("a", 1, at(1, 5)), start).
		WithConfirmation(at(1, 5), start).
		WithReport(report("b", 1, at(1, 4)), start)
	lagging, _ := snapshot.Slot("b")
	c.Assert(lagging.ProvenAt.IsZero(), qt.IsTrue)
	snapshot = snapshot.WithFailure("a", true, start.Add(time.Second)).WithObservation("b", at(1, 5), start.Add(2*time.Second))
	caughtUp, _ := snapshot.Slot("b")
	c.Assert(caughtUp.ProvenAt, qt.Equals, start)
	c.Assert(caughtUp.ProvenPosition, qt.Equals, at(1, 5))
}

// An answer to a request shows a slot's position, but not under which term the
// slot received the entry. It is used for routing and doesn't acknowledge the
// position.
func TestAnswerDoesNotAcknowledge(t *testing.T) {
	snapshot := view.View{Size: 3}.
		WithReport(report("a", 1, at(1, 9)), start).
		WithReport(report("b", 1, at(1, 3)), start).
		WithObservation("b", at(1, 9), start)
	qt.Assert(t, snapshot.Acked, qt.Equals, at(1, 3))
}
