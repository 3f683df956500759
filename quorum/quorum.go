// Package quorum decides, from the reports of a database group's slots, which
// positions a majority of them has, which slot is the primary and which one to
// promote.
// Its functions are pure.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  2. A minimum position is confirmed by the reports of a majority of slots, made
//     after the request arrived. An acknowledged commit is in the logs of a
//     majority, so every majority includes a slot that has it. That a primary
//     reports itself as such is not enough, since it may have been replaced.
//  7. A commit is acknowledged only when a majority of slots have its position
//     under the term in which it was written. A slot that has sealed a later
//     term doesn't count: the entry may have reached it only under that term, too
//     late to ensure that the next primary has it.
//  8. A promotion needs seals of its term by a majority of slots. The new primary
//     is the sealed slot with the highest (term, LSN).
package quorum

import (
	"slices"

	"github.com/bramleydoor/bramleydoor/posn"
)

// Report is the state that a slot reports about itself.
type Report struct {
	Slot string `json:"slot"`
	// Sealed is a term: the highest one that the slot has sealed or follows. The slot
	// accepts no entries from a lower term.
	Sealed uint64 `json:"sealed"`
	// LastPosition is the position of the last entry in the slot's log.
	LastPosition posn.Position `json:"held"`
	// Primary is set if the slot reports itself as the primary of the term
	// Sealed.
	Primary bool `json:"primary"`
	// Start is the position of the opening of the term Sealed, the entry with which the
	// primary began it; for a primary only.
	Start posn.Position `json:"start"`
	// Granted is set in the answer to a seal request that raised Sealed. A slot
	// grants each term once, so two controllers can't both get a majority for it.
	Granted bool `json:"granted,omitempty"`
	// Inherited is the position of the entry before Start, for a primary.
	Inherited posn.Position `json:"inherited"`
}

// Majority returns the smallest number of slots such that any two sets of that
// many slots have a slot in common.
func Majority(slots int) int { return slots/2 + 1 }

// Acked returns the latest position of term that a majority of the group's slots
// have under that term; zero if there is none.
func Acked(slots int, term uint64, reports []Report) posn.Position {
	lsns := make([]uint64, 0, len(reports))
	for _, report := range reports {
		if report.Sealed == term && report.LastPosition.Term == term {
			lsns = append(lsns, report.LastPosition.LSN)
		}
	}
	majority := Majority(slots)
	if len(lsns) < majority {
		return posn.Position{}
	}
	slices.Sort(lsns)
	return posn.Position{Term: term, LSN: lsns[len(lsns)-majority]}
}

// ConfirmedPosition returns a position that covers every commit acknowledged before the
// reports were requested; false if they don't come from a majority.
func ConfirmedPosition(slots int, reports []Report) (posn.Position, bool) {
	if len(reports) < Majority(slots) {
		return posn.Position{}, false
	}
	var position posn.Position
	for _, report := range reports {
		position = posn.Max(position, report.LastPosition)
	}
	return position, true
}

// Elect returns the slot to promote in term, given the slots' answers to the
// seal requests; false if fewer than a majority granted exactly that term. A
// slot that had sealed the term before has granted it to another controller, or its
// answer was lost. The controller can then try the next term.
//
// avoid is the suspected primary. It may answer the controller although it can't
// reach its replicas. Its log is then the longest, and it would be promoted
// repeatedly. It is skipped if the other slots are a majority without it, since
// one of them has every acknowledged entry.
func Elect(slots int, term uint64, seals []Report, avoid string) (Report, bool) {
	var granted, others []Report
	for _, report := range seals {
		if report.Sealed != term || !report.Granted {
			continue
		}
		granted = append(granted, report)
		if report.Slot != avoid {
			others = append(others, report)
		}
	}
	if len(others) >= Majority(slots) {
		granted = others
	}
	if len(granted) < Majority(slots) {
		return Report{}, false
	}
	best := granted[0]
	for _, report := range granted[1:] {
		if isPreferred(report, best) {
			best = report
		}
	}
	return best, true
}

// isPreferred compares positions and breaks ties by name, so that two controllers
// with the same reports promote the same slot.
func isPreferred(report, best Report) bool {
	order := report.LastPosition.Compare(best.LastPosition)
	return order > 0 || order == 0 && report.Slot < best.Slot
}

// Primary returns the report of the primary with the highest term; false if
// there is none or if any slot reports a later term.
func Primary(reports []Report) (Report, bool) {
	var best Report
	var highestTerm uint64
	for _, report := range reports {
		highestTerm = max(highestTerm, report.Sealed)
		if report.Primary && report.Sealed > best.Sealed {
			best = report
		}
	}
	return best, best.Primary && best.Sealed == highestTerm
}

// Outcome is the outcome of an entry that was written but not acknowledged.
type Outcome int

// The outcomes: not known yet, retained in the log of a later term, and rolled
// back.
const (
	OutcomeOpen Outcome = iota
	OutcomeKept
	OutcomeLost
)

// Resolve returns the outcome of an unacknowledged entry at position, given the
// report of the primary of a later term. It is OutcomeOpen until the opening of
// that term is acknowledged: until then a slot that still has the entry at
// position could be promoted instead.
//
// The term of the inherited entry matters as well as its LSN: a slot that
// received nothing of term 2 may be the primary of term 3 with a longer log of
// term 1, and then 2/12 is lost although 1/15 was inherited. If the inherited entry is of a
// term between that of position and the primary's, the report does not show
// whether that term retained the entry.
func Resolve(position posn.Position, primary Report, acked posn.Position) Outcome {
	inherited := primary.Inherited
	switch {
	case primary.Sealed <= position.Term || !acked.AtLeast(primary.Start):
		return OutcomeOpen
	case inherited.Term > position.Term:
		return OutcomeOpen
	case inherited.Term == position.Term && inherited.LSN >= position.LSN:
		return OutcomeKept
	default:
		return OutcomeLost
	}
}
