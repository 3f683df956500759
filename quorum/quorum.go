// Package quorum decides from the slots' own reports what a majority of a
// database group holds. It is pure: reports in, decision out.
//
// Rules:
//
//  2. A floor is confirmed by reports that a majority of slots made after the
//     request arrived. An acknowledged commit is held by a majority, so each
//     majority includes a slot that holds it. A primary's own belief is not used.
//  7. A commit is acknowledged only when a majority of slots hold its position
//     under the term it was written in. A slot that sealed a later term no
//     longer counts: it held the entry too late to bind the next primary.
//  8. A new primary needs a majority of seals for its term, and is the sealed
//     slot with the highest (term, LSN).
package quorum

import (
	"slices"

	"github.com/bramleydoor/bramleydoor/posn"
)

// Report is what one slot said about itself.
type Report struct {
	Slot string `json:"slot"`
	// Sealed is the highest term the slot has sealed or follows; it takes
	// nothing from a lower one.
	Sealed uint64 `json:"sealed"`
	// Held is the position of the last entry in the slot's log.
	Held posn.Position `json:"held"`
	// Primary is true if the slot believes it leads Sealed.
	Primary bool `json:"primary"`
	// Start is the position of the entry that opened Sealed, for a primary.
	Start posn.Position `json:"start"`
	// Granted is set in the answer to a seal that raised Sealed. A slot grants
	// each term once, so two keepers can't both find a majority for it.
	Granted bool `json:"granted,omitempty"`
	// Inherited is the position of the entry before Start, for a primary.
	Inherited posn.Position `json:"inherited"`
}

// Majority is the number of slots that any two majorities share one of.
func Majority(slots int) int { return slots/2 + 1 }

// Acked returns the latest position of term that a majority of the group's
// slots hold under that term, or zero if there is none.
func Acked(slots int, term uint64, reports []Report) posn.Position {
	held := make([]uint64, 0, len(reports))
	for _, report := range reports {
		if report.Sealed == term && report.Held.Term == term {
			held = append(held, report.Held.LSN)
		}
	}
	need := Majority(slots)
	if len(held) < need {
		return posn.Position{}
	}
	slices.Sort(held)
	return posn.Position{Term: term, LSN: held[len(held)-need]}
}

// Floor returns a position that covers every commit acknowledged before the
// reports were asked for; false if they aren't a majority.
func Floor(slots int, reports []Report) (posn.Position, bool) {
	if len(reports) < Majority(slots) {
		return posn.Position{}, false
	}
	var floor posn.Position
	for _, report := range reports {
		floor = posn.Max(floor, report.Held)
	}
	return floor, true
}

// Elect returns the slot to promote in term, given the reports that slots made
// with their seal; false without a majority of grants for exactly that term. A
// slot that had sealed the term before did so for another keeper, or for an
// answer that was lost; the next term is free.
//
// The slot to avoid is the suspected primary. It may answer the keeper and yet
// be cut off from its group; its log is then the longest, and it would be
// promoted again and again. It is passed over if the others are a majority by
// themselves, since one of those holds all that was acknowledged.
func Elect(slots int, term uint64, seals []Report, avoid string) (Report, bool) {
	var sealed, others []Report
	for _, report := range seals {
		if report.Sealed != term || !report.Granted {
			continue
		}
		sealed = append(sealed, report)
		if report.Slot != avoid {
			others = append(others, report)
		}
	}
	if len(others) >= Majority(slots) {
		sealed = others
	}
	if len(sealed) < Majority(slots) {
		return Report{}, false
	}
	best := sealed[0]
	for _, report := range sealed[1:] {
		if isBetter(report, best) {
			best = report
		}
	}
	return best, true
}

// isBetter breaks ties by name, so that two keepers with the same reports
// promote the same slot.
func isBetter(report, best Report) bool {
	order := report.Held.Compare(best.Held)
	return order > 0 || order == 0 && report.Slot < best.Slot
}

// Primary returns the report of the primary with the highest term. A primary
// that the reports show to be sealed off by a later term is not returned.
func Primary(reports []Report) (Report, bool) {
	var best Report
	var sealed uint64
	for _, report := range reports {
		sealed = max(sealed, report.Sealed)
		if report.Primary && report.Sealed > best.Sealed {
			best = report
		}
	}
	return best, best.Primary && best.Sealed == sealed
}

// Fate says what became of an entry that was written but not acknowledged.
type Fate int

// The fates.
const (
	FateOpen Fate = iota
	FateKept
	FateLost
)

// Resolve returns the fate of an unacknowledged entry at position, from the
// report of the primary of a later term. It is settled only once the entry that
// opened that term is acknowledged: until then a slot that still holds position
// could be promoted instead.
//
// The term of the inherited entry matters, not only its LSN: a slot that missed
// all of term 2 may lead term 3 with a longer log of term 1, and then 2/12 is
// lost although 1/15 was inherited. If a term in between was inherited, whether
// that one held position isn't known from here.
func Resolve(position posn.Position, primary Report, acked posn.Position) Fate {
	inherited := primary.Inherited
	switch {
	case primary.Sealed <= position.Term || !acked.AtLeast(primary.Start):
		return FateOpen
	case inherited.Term > position.Term:
		return FateOpen
	case inherited.Term == position.Term && inherited.LSN >= position.LSN:
		return FateKept
	default:
		return FateLost
	}
}
