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

// modelSlot is a slot as the platform runs it: it takes entries of the term it
// follows, and nothing from a lower one.
type modelSlot struct {
	name      string
	sealed    uint64
	leading   bool
	log       []posn.Position
	inherited posn.Position
	start     posn.Position
}

func (slot *modelSlot) held() posn.Position {
	if len(slot.log) == 0 {
		return posn.Position{}
	}
	return slot.log[len(slot.log)-1]
}

func (slot *modelSlot) report() quorum.Report {
	return quorum.Report{
		Slot: slot.name, Sealed: slot.sealed, Held: slot.held(),
		Primary: slot.leading, Start: slot.start, Inherited: slot.inherited,
	}
}

func (slot *modelSlot) has(position posn.Position) bool {
	index := int(position.LSN) - 1
	return index < len(slot.log) && slot.log[index] == position
}

func (slot *modelSlot) write() posn.Position {
	next := posn.Position{Term: slot.sealed, LSN: uint64(len(slot.log)) + 1}
	slot.log = append(slot.log, next)
	return next
}

// keeperModel is a keeper in the middle of a promotion; it may be paused there
// for as long as the schedule likes, and others may promote meanwhile.
type keeperModel struct {
	term  uint64
	seals []quorum.Report
}

// model runs a schedule of writes, partial replication, seals, promotions and
// late reports against the rules of quorum and view.
type model struct {
	slots   []*modelSlot
	keepers [2]keeperModel
	views   [2]view.View
	// mail are reports that were made and may be delivered late, twice or never.
	mail    []quorum.Report
	written []posn.Position
	// told are the entries that a VM has acknowledged, lost those whose
	// writers were told that they were undone.
	told map[posn.Position]bool
	lost map[posn.Position]bool
	now  time.Time
}

func newModel(size int) *model {
	m := &model{told: make(map[posn.Position]bool), lost: make(map[posn.Position]bool)}
	for i := range size {
		m.slots = append(m.slots, &modelSlot{name: string(rune('a' + i)), sealed: 1})
	}
	first := m.slots[0]
	first.leading = true
	first.start = first.write()
	for i := range m.views {
		m.views[i] = view.View{Size: size}
	}
	return m
}

func (m *model) pick(t *rapid.T, label string) *modelSlot {
	return m.slots[rapid.IntRange(0, len(m.slots)-1).Draw(t, label)]
}

func (m *model) write(t *rapid.T) {
	slot := m.pick(t, "writer")
	if !slot.leading {
		t.Skip("no leader")
	}
	m.written = append(m.written, slot.write())
}

// replicate sends a part of a leader's log, not always all of it.
func (m *model) replicate(t *rapid.T) {
	leader, replica := m.pick(t, "leader"), m.pick(t, "replica")
	if !leader.leading || leader == replica || replica.sealed > leader.sealed {
		t.Skip("nothing to send")
	}
	sent := leader.log
	if rapid.Bool().Draw(t, "partly") {
		sent = leader.log[:rapid.IntRange(1, len(leader.log)).Draw(t, "entries")]
	}
	replica.sealed, replica.leading = leader.sealed, false
	// Like the platform, a replica drops entries only if they differ from the
	// leader's: a short message must not shorten a log that agrees with it.
	common := min(len(sent), len(replica.log))
	agrees := common == 0 || replica.log[common-1] == sent[common-1]
	if !agrees || len(sent) > len(replica.log) {
		replica.log = append([]posn.Position(nil), sent...)
	}
}

func (m *model) begin(t *rapid.T) {
	keeper := &m.keepers[rapid.IntRange(0, 1).Draw(t, "keeper")]
	known := m.views[rapid.IntRange(0, 1).Draw(t, "view")]
	*keeper = keeperModel{term: max(known.Term(), keeper.term) + 1}
}

func (m *model) seal(t *rapid.T) {
	keeper := &m.keepers[rapid.IntRange(0, 1).Draw(t, "keeper")]
	slot := m.pick(t, "slot")
	if keeper.term == 0 {
		t.Skip("no promotion")
	}
	granted := keeper.term > slot.sealed
	if granted {
		slot.sealed, slot.leading = keeper.term, false
	}
	report := slot.report()
	report.Granted = granted
	keeper.seals = append(keeper.seals, report)
}

// failOver is a promotion without interruption; most schedules need a few.
func (m *model) failOver(t *rapid.T) {
	m.begin(t)
	for range len(m.slots) {
		m.seal(t)
	}
	m.promote(t)
}

// hear is a report that arrives at once.
func (m *model) hear(t *rapid.T) {
	m.send(t)
	m.take(t, m.mail[len(m.mail)-1])
}

func (m *model) promote(t *rapid.T) {
	keeper := &m.keepers[rapid.IntRange(0, 1).Draw(t, "keeper")]
	avoid := m.pick(t, "avoid").name
	winner, ok := quorum.Elect(len(m.slots), keeper.term, keeper.seals, avoid)
	if !ok {
		t.Skip("no majority")
	}
	// A keeper orders one promotion in a term, whatever becomes of the order.
	keeper.seals = nil
	for _, slot := range m.slots {
		if slot.name != winner.Slot || slot.sealed != keeper.term || slot.leading {
			continue
		}
		slot.leading = true
		slot.inherited = slot.held()
		slot.start = slot.write()
		m.checkLeader(t, slot)
	}
}

func (m *model) send(t *rapid.T) { m.mail = append(m.mail, m.pick(t, "reporter").report()) }

func (m *model) deliver(t *rapid.T) {
	if len(m.mail) == 0 {
		t.Skip("no mail")
	}
	m.take(t, m.mail[rapid.IntRange(0, len(m.mail)-1).Draw(t, "letter")])
}

func (m *model) take(t *rapid.T, report quorum.Report) {
	index := rapid.IntRange(0, 1).Draw(t, "view")
	m.now = m.now.Add(time.Millisecond)
	m.views[index] = m.views[index].WithReport(report, m.now)
	m.judge(t, m.views[index])
}

// judge tells writers what a VM's view says of their entries.
func (m *model) judge(t *rapid.T, v view.View) {
	for _, position := range m.written {
		switch v.Fate(position) {
		case quorum.FateKept:
			m.told[position] = true
		case quorum.FateLost:
			m.lost[position] = true
		}
		if m.told[position] && m.lost[position] {
			t.Fatalf("%s was acknowledged and called undone", position)
		}
	}
}

// checkLeader is rule 8: a new primary has everything that was acknowledged.
func (m *model) checkLeader(t *rapid.T, leader *modelSlot) {
	for position := range m.told {
		if position.Term < leader.sealed && !leader.has(position) {
			t.Fatalf("term %d began without the acknowledged %s", leader.sealed, position)
		}
	}
}

func (m *model) check(t *rapid.T) {
	leaders := make(map[uint64]string)
	for _, slot := range m.slots {
		if !slot.leading {
			continue
		}
		if other, ok := leaders[slot.sealed]; ok {
			t.Fatalf("slots %s and %s both lead term %d", other, slot.name, slot.sealed)
		}
		leaders[slot.sealed] = slot.name
	}
	// What was called undone must not come back in a log that a majority has
	// opened a later term with.
	for position := range m.lost {
		for _, slot := range m.slots {
			if slot.leading && slot.sealed > position.Term && slot.has(position) && m.isOpened(slot) {
				t.Fatalf("%s was called undone and is in term %d", position, slot.sealed)
			}
		}
	}
}

func (m *model) isOpened(leader *modelSlot) bool {
	holders := 0
	for _, slot := range m.slots {
		if slot.sealed == leader.sealed && slot.has(leader.start) {
			holders++
		}
	}
	return holders >= quorum.Majority(len(m.slots))
}

func init() {
	// The same schedules on each run; -rapid.seed and -rapid.checks choose others.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "4000")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
}

// Rules 7 and 8 under schedules of delays, pauses, duplicates and competing
// keepers, for the sizes that the users run.
func TestPromotionModel(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(size)
				t.Repeat(map[string]func(*rapid.T){
					"":          m.check,
					"write":     m.write,
					"replicate": m.replicate,
					"begin":     m.begin,
					"seal":      m.seal,
					"promote":   m.promote,
					"send":      m.send,
					"deliver":   m.deliver,
					"failOver":  m.failOver,
					"hear":      m.hear,
					"hearMore":  m.hear,
					"copyMore":  m.replicate,
				})
			})
		})
	}
}
