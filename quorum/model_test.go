package quorum_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/view"
)

// modelSlot models a slot of the platform: it accepts entries of the term that it
// follows and refuses those of lower terms.
type modelSlot struct {
	name      string
	sealed    uint64
	isPrimary bool
	log       []posn.Position
	inherited posn.Position
	start     posn.Position
}

func (slot *modelSlot) lastPosition() posn.Position {
	if len(slot.log) == 0 {
		return posn.Position{}
	}
	return slot.log[len(slot.log)-1]
}

func (slot *modelSlot) report() quorum.Report {
	return quorum.Report{
		Slot: slot.name, Sealed: slot.sealed, LastPosition: slot.lastPosition(),
		Primary: slot.isPrimary, Start: slot.start, Inherited: slot.inherited,
	}
}

func (slot *modelSlot) hasEntry(position posn.Position) bool {
	index := int(position.LSN) - 1
	return index < len(slot.log) && slot.log[index] == position
}

func (slot *modelSlot) write() posn.Position {
	next := posn.Position{Term: slot.sealed, LSN: uint64(len(slot.log)) + 1}
	slot.log = append(slot.log, next)
	return next
}

// modelController models a controller during a promotion. The schedule may pause it for
// any number of steps, in which the other controller may promote a slot.
type modelController struct {
	term  uint64
	seals []quorum.Report
}

// model checks the rules of quorum and view under a schedule of writes, partial
// replication, seals, promotions and delayed reports.
type model struct {
	slots       []*modelSlot
	controllers [2]modelController
	views       [2]view.View
	// reports have been sent and may be delivered late, twice or never.
	reports []quorum.Report
	written []posn.Position
	// acked are the entries that a VM has acknowledged to their writers, lost
	// those that a VM has reported to their writers as rolled back.
	acked map[posn.Position]bool
	lost  map[posn.Position]bool
	now   time.Time
}

func newModel(size int) *model {
	model := &model{acked: make(map[posn.Position]bool), lost: make(map[posn.Position]bool)}
	for i := range size {
		model.slots = append(model.slots, &modelSlot{name: string(rune('a' + i)), sealed: 1})
	}
	first := model.slots[0]
	first.isPrimary = true
	first.start = first.write()
	for i := range model.views {
		model.views[i] = view.View{Size: size}
	}
	return model
}

func (model *model) pick(t *rapid.T, label string) *modelSlot {
	return model.slots[rapid.IntRange(0, len(model.slots)-1).Draw(t, label)]
}

func (model *model) write(t *rapid.T) {
	slot := model.pick(t, "writer")
	if !slot.isPrimary {
		t.Skip("the slot is not a primary")
	}
	model.written = append(model.written, slot.write())
}

// replicate copies a primary's log, or a prefix of it, to a replica.
func (model *model) replicate(t *rapid.T) {
	primary, replica := model.pick(t, "leader"), model.pick(t, "replica")
	if !primary.isPrimary || primary == replica || replica.sealed > primary.sealed {
		t.Skip("the replica can't follow the slot")
	}
	sent := primary.log
	if rapid.Bool().Draw(t, "partly") {
		sent = primary.log[:rapid.IntRange(1, len(primary.log)).Draw(t, "entries")]
	}
	replica.sealed, replica.isPrimary = primary.sealed, false
	// As on the platform, a replica drops entries only if they differ from the
	// primary's: a prefix must not truncate a log that agrees with it.
	commonLen := min(len(sent), len(replica.log))
	agrees := commonLen == 0 || replica.log[commonLen-1] == sent[commonLen-1]
	if !agrees || len(sent) > len(replica.log) {
		replica.log = append([]posn.Position(nil), sent...)
	}
}

func (model *model) beginPromotion(t *rapid.T) {
	controller := &model.controllers[rapid.IntRange(0, 1).Draw(t, "keeper")]
	snapshot := model.views[rapid.IntRange(0, 1).Draw(t, "view")]
	*controller = modelController{term: max(snapshot.Term(), controller.term) + 1}
}

func (model *model) seal(t *rapid.T) {
	controller := &model.controllers[rapid.IntRange(0, 1).Draw(t, "keeper")]
	slot := model.pick(t, "slot")
	if controller.term == 0 {
		t.Skip("the controller has begun no promotion")
	}
	granted := controller.term > slot.sealed
	if granted {
		slot.sealed, slot.isPrimary = controller.term, false
	}
	report := slot.report()
	report.Granted = granted
	controller.seals = append(controller.seals, report)
}

// failOver runs the steps of a promotion without interruption, so that most
// schedules have a few complete promotions.
func (model *model) failOver(t *rapid.T) {
	model.beginPromotion(t)
	for range len(model.slots) {
		model.seal(t)
	}
	model.promote(t)
}

// sendAndDeliver sends a report and delivers it at once.
func (model *model) sendAndDeliver(t *rapid.T) {
	model.send(t)
	model.receive(t, model.reports[len(model.reports)-1])
}

func (model *model) promote(t *rapid.T) {
	controller := &model.controllers[rapid.IntRange(0, 1).Draw(t, "keeper")]
	avoid := model.pick(t, "avoid").name
	winner, ok := quorum.Elect(len(model.slots), controller.term, controller.seals, avoid)
	if !ok {
		t.Skip("no majority has granted the term")
	}
	// A controller orders at most one promotion per term, even if the order fails.
	controller.seals = nil
	for _, slot := range model.slots {
		if slot.name != winner.Slot || slot.sealed != controller.term || slot.isPrimary {
			continue
		}
		slot.isPrimary = true
		slot.inherited = slot.lastPosition()
		slot.start = slot.write()
		model.checkNewPrimary(t, slot)
	}
}

func (model *model) send(t *rapid.T) {
	model.reports = append(model.reports, model.pick(t, "reporter").report())
}

func (model *model) deliver(t *rapid.T) {
	if len(model.reports) == 0 {
		t.Skip("no report has been sent")
	}
	model.receive(t, model.reports[rapid.IntRange(0, len(model.reports)-1).Draw(t, "letter")])
}

func (model *model) receive(t *rapid.T, report quorum.Report) {
	index := rapid.IntRange(0, 1).Draw(t, "view")
	model.now = model.now.Add(time.Millisecond)
	model.views[index] = model.views[index].WithReport(report, model.now)
	model.recordOutcomes(t, model.views[index])
}

// recordOutcomes reports the outcomes known to a VM to the writers of the entries.
func (model *model) recordOutcomes(t *rapid.T, snapshot view.View) {
	for _, position := range model.written {
		switch snapshot.Outcome(position) {
		case quorum.OutcomeKept:
			model.acked[position] = true
		case quorum.OutcomeLost:
			model.lost[position] = true
		}
		if model.acked[position] && model.lost[position] {
			t.Fatalf("entry %s was reported both as acknowledged and as rolled back", position)
		}
	}
}

// checkNewPrimary checks rule 8: a new primary has every acknowledged entry.
func (model *model) checkNewPrimary(t *rapid.T, primary *modelSlot) {
	for position := range model.acked {
		if position.Term < primary.sealed && !primary.hasEntry(position) {
			t.Fatalf("the primary of term %d lacks the acknowledged entry %s", primary.sealed, position)
		}
	}
}

func (model *model) check(t *rapid.T) {
	primaries := make(map[uint64]string)
	for _, slot := range model.slots {
		if !slot.isPrimary {
			continue
		}
		if other, ok := primaries[slot.sealed]; ok {
			t.Fatalf("slots %s and %s are both primaries of term %d", other, slot.name, slot.sealed)
		}
		primaries[slot.sealed] = slot.name
	}
	// An entry reported as rolled back must not be in the log of a later term
	// whose opening a majority has.
	for position := range model.lost {
		for _, slot := range model.slots {
			if slot.isPrimary && slot.sealed > position.Term && slot.hasEntry(position) && model.isTermStarted(slot) {
				t.Fatalf("entry %s was reported as rolled back, but is in the log of term %d", position, slot.sealed)
			}
		}
	}
}

func (model *model) isTermStarted(primary *modelSlot) bool {
	slotsWithStart := 0
	for _, slot := range model.slots {
		if slot.sealed == primary.sealed && slot.hasEntry(primary.start) {
			slotsWithStart++
		}
	}
	return slotsWithStart >= quorum.Majority(len(model.slots))
}

func init() {
	// Run the same schedules each time; -rapid.seed and -rapid.checks select
	// others.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "4000")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
}

// Checks rules 7 and 8 under schedules with delays, pauses, duplicates and
// competing controllers, for the group sizes in use.
func TestPromotionModel(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				model := newModel(size)
				t.Repeat(map[string]func(*rapid.T){
					"":          model.check,
					"write":     model.write,
					"replicate": model.replicate,
					"begin":     model.beginPromotion,
					"seal":      model.seal,
					"promote":   model.promote,
					"send":      model.send,
					"deliver":   model.deliver,
					"failOver":  model.failOver,
					"hear":      model.sendAndDeliver,
					"hearMore":  model.sendAndDeliver,
					"copyMore":  model.replicate,
				})
			})
		})
	}
}
