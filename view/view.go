// Package view has the state of one database group, as known to one VM: each
// slot's last report, the acknowledged position, the primaries of recent terms,
// and the proven staleness of each slot. Views are immutable; With methods
// return changed copies.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  5. The staleness of a slot is proven, never estimated: if a position covered
//     every commit acknowledged at some time, then the data of a slot that has
//     reached the position is complete up to that time. The proof remains valid
//     after the primary has failed.
//  7. Acknowledgement is by term: see package quorum.
package view

import (
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
)

// maxTerms limits the terms in each of earlierAcked and startedTerms.
const maxTerms = 16

// maxConfirmations limits the confirmations that a view stores as proofs of staleness.
const maxConfirmations = 128

// Slot is the known state of one slot.
type Slot struct {
	quorum.Report
	// ObservedPosition is the highest position in the slot's reports and answers to
	// requests. Only LastPosition counts for acknowledgement: an answer does not show
	// under which term the slot received the entry.
	ObservedPosition posn.Position
	// LastAnswerAt is when the slot last answered.
	LastAnswerAt time.Time
	// FailingSince is the time of the first failure since the last answer; zero
	// if there was none.
	FailingSince time.Time
	// Refused is set if the last failure was a refused connection, which shows
	// that the process is not running, rather than slow.
	Refused bool
	// ProvenAt is the latest time up to which the slot's data is proven to be
	// complete; zero if there is no proof. ProvenPosition is the position that
	// proves it.
	ProvenAt       time.Time
	ProvenPosition posn.Position
}

// confirmation records that position covered every commit acknowledged by the
// time at.
type confirmation struct {
	at       time.Time
	position posn.Position
}

// View is an immutable snapshot of a group's state.
type View struct {
	// Size is the number of slots in the group.
	Size int
	// Slots are the known slots, by name.
	Slots []Slot
	// Acked is the latest acknowledged position.
	Acked posn.Position
	// earlierAcked has the last acknowledged position of each earlier term.
	earlierAcked []posn.Position
	// startedTerms has the reports of the primaries whose term's opening was
	// acknowledged, ordered by term.
	startedTerms  []quorum.Report
	confirmations []confirmation
}

// Term returns the highest term that any slot has sealed or follows, according to its
// reports.
func (view View) Term() uint64 {
	var term uint64
	for _, slot := range view.Slots {
		term = max(term, slot.Sealed)
	}
	return term
}

// Slot returns the known state of a slot; false if the name is unknown.
func (view View) Slot(name string) (Slot, bool) {
	i, ok := slices.BinarySearchFunc(view.Slots, name, compareName)
	if !ok {
		return Slot{}, false
	}
	return view.Slots[i], true
}

func compareName(slot Slot, name string) int {
	switch {
	case slot.Report.Slot < name:
		return -1
	case slot.Report.Slot > name:
		return 1
	}
	return 0
}

// Primary returns the primary of the highest term; false if no slot is known to be
// the primary of that term.
func (view View) Primary() (Slot, bool) {
	report, ok := quorum.Primary(view.reports())
	if !ok {
		return Slot{}, false
	}
	return view.Slot(report.Slot)
}

// Ready returns the primary; false until the opening of its term is acknowledged.
func (view View) Ready() (Slot, bool) {
	primary, ok := view.Primary()
	if !ok || !view.Acked.AtLeast(primary.Start) {
		return Slot{}, false
	}
	return primary, true
}

func (view View) reports() []quorum.Report {
	reports := make([]quorum.Report, len(view.Slots))
	for i, slot := range view.Slots {
		reports[i] = slot.Report
	}
	return reports
}

// WithReport returns the view updated by a slot's report, received at the given
// time. A report older than the last one only marks the slot as answering.
func (view View) WithReport(report quorum.Report, at time.Time) View {
	return view.update(report.Slot, func(slot *Slot) {
		slot.LastAnswerAt = at
		slot.FailingSince = time.Time{}
		slot.Refused = false
		if report.Sealed < slot.Sealed || report.Sealed == slot.Sealed && slot.LastPosition.Compare(report.LastPosition) > 0 {
			return
		}
		slot.Report = report
		slot.ObservedPosition = posn.Max(slot.ObservedPosition, report.LastPosition)
	}).derive()
}

// WithFailure returns the view updated by a request that a slot did not answer.
// refused is set if the connection was refused.
func (view View) WithFailure(name string, refused bool, at time.Time) View {
	return view.update(name, func(slot *Slot) {
		if slot.FailingSince.IsZero() {
			slot.FailingSince = at
		}
		slot.Refused = refused
	})
}

// WithObservation returns the view updated by the position in a slot's answer to a
// request, received at the given time.
func (view View) WithObservation(name string, observed posn.Position, at time.Time) View {
	return view.update(name, func(slot *Slot) {
		slot.ObservedPosition = posn.Max(slot.ObservedPosition, observed)
		slot.LastAnswerAt = at
		slot.FailingSince = time.Time{}
	}).derive()
}

// WithProgress returns the view updated by the primary's reports of the position
// that each slot has under the primary's term. The first report is the primary's
// own. Reports of a term lower than the view's are ignored.
func (view View) WithProgress(reports []quorum.Report, at time.Time) View {
	if len(reports) == 0 || reports[0].Sealed < view.Term() {
		return view
	}
	next := view.WithReport(reports[0], at)
	for _, report := range reports[1:] {
		next = next.update(report.Slot, func(slot *Slot) {
			if report.Sealed < slot.Sealed {
				return
			}
			slot.Sealed = report.Sealed
			slot.Primary = false
			slot.LastPosition = posn.Max(slot.LastPosition, report.LastPosition)
			slot.ObservedPosition = posn.Max(slot.ObservedPosition, report.LastPosition)
		})
	}
	return next.withAcked(quorum.Acked(next.Size, reports[0].Sealed, reports)).derive()
}

// WithConfirmation returns the view updated by the finding that confirmed covers every
// commit acknowledged by the time at. The finding comes from the reports of a
// majority, all requested after that time.
func (view View) WithConfirmation(confirmed posn.Position, at time.Time) View {
	confirmations := view.confirmations[max(0, len(view.confirmations)-maxConfirmations+1):]
	view.confirmations = append(slices.Clone(confirmations), confirmation{at: at, position: confirmed})
	return view.derive()
}

func (view View) update(name string, change func(*Slot)) View {
	view.Slots = slices.Clone(view.Slots)
	i, ok := slices.BinarySearchFunc(view.Slots, name, compareName)
	if !ok {
		view.Slots = slices.Insert(view.Slots, i, Slot{Report: quorum.Report{Slot: name}})
	}
	change(&view.Slots[i])
	return view
}

// derive updates the fields that follow from the reports: the acknowledged
// positions, the started terms and the proven times.
func (view View) derive() View {
	view = view.withAcked(quorum.Acked(view.Size, view.Term(), view.reports()))
	view = view.withStartedTerm()
	return view.withProvenTimes()
}

// withAcked returns the view updated by an acknowledged position.
func (view View) withAcked(position posn.Position) View {
	if !position.AtLeast(view.Acked) {
		return view
	}
	if position.Term > view.Acked.Term && !view.Acked.IsZero() {
		kept := view.earlierAcked[max(0, len(view.earlierAcked)-maxTerms+1):]
		view.earlierAcked = append(slices.Clone(kept), view.Acked)
	}
	view.Acked = position
	return view
}

func (view View) withStartedTerm() View {
	primary, ok := view.Ready()
	if !ok {
		return view
	}
	if count := len(view.startedTerms); count > 0 && view.startedTerms[count-1].Sealed >= primary.Sealed {
		return view
	}
	kept := view.startedTerms[max(0, len(view.startedTerms)-maxTerms+1):]
	view.startedTerms = append(slices.Clone(kept), primary.Report)
	return view
}

func (view View) withProvenTimes() View {
	isShared := true
	for i, slot := range view.Slots {
		at, position := view.latestConfirmed(slot.ObservedPosition)
		if !at.After(slot.ProvenAt) {
			continue
		}
		if isShared {
			// The slice is shared with the previous view, which other goroutines
			// may be reading.
			view.Slots, isShared = slices.Clone(view.Slots), false
		}
		view.Slots[i].ProvenAt, view.Slots[i].ProvenPosition = at, position
	}
	return view
}

// latestConfirmed returns the latest confirmation whose position is covered by
// observed.
func (view View) latestConfirmed(observed posn.Position) (time.Time, posn.Position) {
	for i := len(view.confirmations) - 1; i >= 0; i-- {
		if observed.AtLeast(view.confirmations[i].position) {
			return view.confirmations[i].at, view.confirmations[i].position
		}
	}
	return time.Time{}, posn.Position{}
}

// Outcome returns the outcome of the entry at position: OutcomeKept if it is known to
// be acknowledged, OutcomeLost if it can no longer be, OutcomeOpen if neither is
// known.
func (view View) Outcome(position posn.Position) quorum.Outcome {
	if position.Term == view.Acked.Term {
		if view.Acked.AtLeast(position) {
			return quorum.OutcomeKept
		}
		return quorum.OutcomeOpen
	}
	for _, acked := range view.earlierAcked {
		if acked.Term == position.Term && acked.AtLeast(position) {
			return quorum.OutcomeKept
		}
	}
	for _, started := range view.startedTerms {
		if started.Sealed <= position.Term {
			continue
		}
		return quorum.Resolve(position, started, view.Acked)
	}
	return quorum.OutcomeOpen
}
