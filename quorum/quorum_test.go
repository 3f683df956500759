package quorum_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
)

func at(term, lsn uint64) posn.Position { return posn.Position{Term: term, LSN: lsn} }

func TestAcked(t *testing.T) {
	tests := []struct {
		name    string
		reports []quorum.Report
		want    posn.Position
	}{
		{"primary only", []quorum.Report{{Sealed: 2, LastPosition: at(2, 9)}}, at(0, 0)},
		{"majority", []quorum.Report{{Sealed: 2, LastPosition: at(2, 9)}, {Sealed: 2, LastPosition: at(2, 7)}}, at(2, 7)},
		{"all", []quorum.Report{{Sealed: 2, LastPosition: at(2, 9)}, {Sealed: 2, LastPosition: at(2, 7)}, {Sealed: 2, LastPosition: at(2, 8)}}, at(2, 8)},
		{"replica has sealed a later term", []quorum.Report{{Sealed: 2, LastPosition: at(2, 9)}, {Sealed: 3, LastPosition: at(2, 9)}}, at(0, 0)},
		{"entry of an earlier term", []quorum.Report{{Sealed: 2, LastPosition: at(2, 9)}, {Sealed: 2, LastPosition: at(1, 12)}}, at(0, 0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, quorum.Acked(3, 2, test.reports), qt.Equals, test.want)
		})
	}
}

func TestElect(t *testing.T) {
	a := quorum.Report{Slot: "a", Sealed: 3, Granted: true, LastPosition: at(2, 9)}
	b := quorum.Report{Slot: "b", Sealed: 3, Granted: true, LastPosition: at(2, 7)}
	c := quorum.Report{Slot: "c", Sealed: 3, Granted: true, LastPosition: at(1, 20)}
	other := quorum.Report{Slot: "c", Sealed: 4, Granted: true, LastPosition: at(2, 20)}
	tests := []struct {
		name  string
		seals []quorum.Report
		avoid string
		want  string
	}{
		{"highest position", []quorum.Report{b, a}, "", "a"},
		{"higher term with a shorter log", []quorum.Report{c, b}, "", "b"},
		{"no majority", []quorum.Report{a}, "", ""},
		{"one slot sealed a later term", []quorum.Report{a, other}, "", ""},
		{"term granted to another controller", []quorum.Report{a, {Slot: "b", Sealed: 3, LastPosition: at(2, 9)}}, "", ""},
		// A suspected primary that still answers may have the longest log.
		{"suspected primary skipped", []quorum.Report{a, b, c}, "a", "b"},
		{"suspected primary needed for a majority", []quorum.Report{a, b}, "a", "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			winner, ok := quorum.Elect(3, 3, test.seals, test.avoid)
			qt.Assert(t, ok, qt.Equals, test.want != "")
			qt.Assert(t, winner.Slot, qt.Equals, test.want)
		})
	}
}

func TestResolve(t *testing.T) {
	newPrimary := func(inherited posn.Position) quorum.Report {
		return quorum.Report{Sealed: 3, Inherited: inherited, Start: at(3, inherited.LSN+1)}
	}
	tests := []struct {
		name      string
		position  posn.Position
		inherited posn.Position
		acked     posn.Position
		want      quorum.Outcome
	}{
		{"inherited", at(2, 8), at(2, 9), at(3, 10), quorum.OutcomeKept},
		{"after the inherited entry", at(2, 10), at(2, 9), at(3, 10), quorum.OutcomeLost},
		{"opening not acknowledged", at(2, 10), at(2, 9), at(2, 5), quorum.OutcomeOpen},
		{"longer log of an earlier term inherited", at(2, 12), at(1, 15), at(3, 16), quorum.OutcomeLost},
		{"entry of a term in between inherited", at(1, 4), at(2, 9), at(3, 10), quorum.OutcomeOpen},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := quorum.Resolve(test.position, newPrimary(test.inherited), test.acked)
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}
