// Package view holds what a VM knows about one database group: each slot's last
// report, the acknowledged position, the openings of terms, and the proven age
// of each slot. Views are immutable values; With methods return new ones.
//
// Rules:
//
//  5. The age of a slot is proven, never guessed: a slot that holds a position
//     which covered every commit acknowledged at some time is no older than that
//     time. The proof outlives the primary.
//  7. Acknowledgement is by term: see package quorum.
package view

import (
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
)

// maxOpenings bounds the term openings that a view remembers.
const maxOpenings = 16

// maxSamples bounds the floors kept for proofs of age.
const maxSamples = 128

// Slot is what is known of one slot.
type Slot struct {
	quorum.Report
	// Seen is the highest position that the slot showed, in reports or in
	// traffic. Only Held counts for acknowledgement: traffic doesn't tell under
	// which term the slot took the entry.
	Seen posn.Position
	// HeardAt is when the slot last answered.
	HeardAt time.Time
	// FailingSince is when the slot first failed to answer since HeardAt.
	FailingSince time.Time
	// Refused says that the last failure was a refused connection: the process
	// is gone, not slow.
	Refused bool
	// ProvenAt is the latest time for which the slot's data is proven complete,
	// and ProvenFloor the position that proves it.
	ProvenAt    time.Time
	ProvenFloor posn.Position
}

// sample says that floor covered all that was acknowledged at the time.
type sample struct {
	at    time.Time
	floor posn.Position
}

// View is an immutable snapshot.
type View struct {
	// Size is the number of slots in the group.
	Size int
	// Slots are the known slots, by name.
	Slots []Slot
	// Acked is the latest acknowledged position.
	Acked posn.Position
	// settled are the latest acknowledged positions of earlier terms.
	settled []posn.Position
	// openings are the reports of primaries whose term is known to be opened,
	// latest last.
	openings []quorum.Report
	samples  []sample
}

// Term is the highest term that any slot was seen to follow.
func (view View) Term() uint64 {
	var term uint64
	for _, slot := range view.Slots {
		term = max(term, slot.Sealed)
	}
	return term
}

// Slot returns what is known of a slot.
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

// Primary returns the primary of the highest term, if it leads still as far as
// the view tells.
func (view View) Primary() (Slot, bool) {
	report, ok := quorum.Primary(view.reports())
	if !ok {
		return Slot{}, false
	}
	return view.Slot(report.Slot)
}

// Ready returns the primary once the opening of its term is acknowledged.
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

// WithReport returns the view after a slot's answer at a time. A report that
// is older than what is known of the slot changes nothing but HeardAt.
func (view View) WithReport(report quorum.Report, at time.Time) View {
	return view.update(report.Slot, func(slot *Slot) {
		slot.HeardAt = at
		slot.FailingSince = time.Time{}
		slot.Refused = false
		if report.Sealed < slot.Sealed || report.Sealed == slot.Sealed && slot.Held.Compare(report.Held) > 0 {
			return
		}
		slot.Report = report
		slot.Seen = posn.Max(slot.Seen, report.Held)
	}).settle()
}

// WithFailure returns the view after a slot did not answer.
func (view View) WithFailure(name string, refused bool, at time.Time) View {
	return view.update(name, func(slot *Slot) {
		if slot.FailingSince.IsZero() {
			slot.FailingSince = at
		}
		slot.Refused = refused
	})
}

// WithSeen returns the view after traffic showed that a slot has a position.
func (view View) WithSeen(name string, seen posn.Position, at time.Time) View {
	return view.update(name, func(slot *Slot) {
		slot.Seen = posn.Max(slot.Seen, seen)
		slot.HeardAt = at
		slot.FailingSince = time.Time{}
	}).settle()
}

// WithProgress returns the view after the primary told what each slot held
// under its term. The first report is the primary's own.
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
			slot.Held = posn.Max(slot.Held, report.Held)
			slot.Seen = posn.Max(slot.Seen, report.Held)
		})
	}
	return next.withAcked(quorum.Acked(next.Size, reports[0].Sealed, reports)).settle()
}

// WithFloor returns the view after a majority's reports, all asked for after
// at, showed that floor covers all that was acknowledged at that time.
func (view View) WithFloor(floor posn.Position, at time.Time) View {
	samples := view.samples[max(0, len(view.samples)-maxSamples+1):]
	view.samples = append(slices.Clone(samples), sample{at: at, floor: floor})
	return view.settle()
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

// settle derives what follows from the reports: acknowledgement, openings and
// proofs of age.
func (view View) settle() View {
	view = view.withAcked(quorum.Acked(view.Size, view.Term(), view.reports()))
	view = view.withOpening()
	return view.withProofs()
}

// withAcked returns the view after position was found acknowledged.
func (view View) withAcked(position posn.Position) View {
	if !position.AtLeast(view.Acked) {
		return view
	}
	if position.Term > view.Acked.Term && !view.Acked.IsZero() {
		kept := view.settled[max(0, len(view.settled)-maxOpenings+1):]
		view.settled = append(slices.Clone(kept), view.Acked)
	}
	view.Acked = position
	return view
}

func (view View) withOpening() View {
	primary, ok := view.Ready()
	if !ok {
		return view
	}
	if n := len(view.openings); n > 0 && view.openings[n-1].Sealed >= primary.Sealed {
		return view
	}
	kept := view.openings[max(0, len(view.openings)-maxOpenings+1):]
	view.openings = append(slices.Clone(kept), primary.Report)
	return view
}

func (view View) withProofs() View {
	isShared := true
	for i, slot := range view.Slots {
		at, floor := view.proof(slot.Seen)
		if !at.After(slot.ProvenAt) {
			continue
		}
		if isShared {
			// Other goroutines read the slice of the view before.
			view.Slots, isShared = slices.Clone(view.Slots), false
		}
		view.Slots[i].ProvenAt, view.Slots[i].ProvenFloor = at, floor
	}
	return view
}

// proof returns the latest time whose floor is covered by held.
func (view View) proof(held posn.Position) (time.Time, posn.Position) {
	for i := len(view.samples) - 1; i >= 0; i-- {
		if held.AtLeast(view.samples[i].floor) {
			return view.samples[i].at, view.samples[i].floor
		}
	}
	return time.Time{}, posn.Position{}
}

// Fate says what is known of an entry at position: kept if it is acknowledged,
// lost if it can no longer be, open otherwise.
func (view View) Fate(position posn.Position) quorum.Fate {
	if position.Term == view.Acked.Term {
		if view.Acked.AtLeast(position) {
			return quorum.FateKept
		}
		return quorum.FateOpen
	}
	for _, settled := range view.settled {
		if settled.Term == position.Term && settled.AtLeast(position) {
			return quorum.FateKept
		}
	}
	for _, opening := range view.openings {
		if opening.Sealed <= position.Term {
			continue
		}
		return quorum.Resolve(position, opening, view.Acked)
	}
	return quorum.FateOpen
}
