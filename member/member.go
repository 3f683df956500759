// Package member has the membership of VMs. It is pure: messages and time in,
// updates out. The protocol follows SWIM (Das, Gupta and Motivala, 2002): each
// VM probes a few others in each period, asks more to probe one that doesn't
// answer, and passes on a bounded number of updates with each message, so the
// cost per VM doesn't grow with the fleet.
//
// Rules:
//
//  20. The platform's list lags, so it only adds candidates to probe and
//     confirms departures. A VM that is silent to its peers is out of the way
//     before the list says so. A false suspicion costs efficiency only.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is what is believed of a VM. Of two updates of one incarnation the one
// with the higher state counts.
type State int

// The states.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

var stateNames = [...]string{Alive: "alive", Leaving: "leaving", Suspect: "suspect", Dead: "dead"}

// String returns the state's name.
func (state State) String() string { return stateNames[state] }

// Member is one VM.
type Member struct {
	ID      string
	Address string
	Zone    string
	// Incarnation rises with each start of the VM and each refutation.
	Incarnation uint64
	State       State
}

// supersedes reports whether an update is news compared to what is known.
func (member Member) supersedes(known Member) bool {
	return cmp.Or(
		cmp.Compare(member.Incarnation, known.Incarnation),
		cmp.Compare(member.State, known.State),
	) > 0
}

// Timing of the protocol.
const (
	// SuspectFor is how long a suspected VM has to refute.
	SuspectFor = 600 * time.Millisecond
	// ForgetAfter is how long a dead VM is remembered, so that old updates
	// don't bring it back.
	ForgetAfter = time.Minute
	// MaxUpdates bounds the updates in one message.
	MaxUpdates = 4
	// repeats is how often an update is passed on, times the logarithm of the
	// fleet's size.
	repeats = 3
)

// Table is one VM's view of the fleet. It is not safe for concurrent use.
type Table struct {
	Self Member

	members map[string]entry
	order   []string
	next    int
	queue   []queued
}

type entry struct {
	Member
	since time.Time
	// isConfirmed says that the VM was heard, not only listed.
	isConfirmed bool
}

type queued struct {
	id   string
	left int
}

// New returns a table that knows only the VM itself.
func New(self Member) *Table {
	table := &Table{Self: self, members: make(map[string]entry)}
	table.enqueue(self.ID)
	return table
}

// Listed adds a VM of the platform's list, to be probed.
func (table *Table) Listed(member Member, now time.Time) {
	known, ok := table.members[member.ID]
	if member.ID == table.Self.ID || ok && known.State != Dead {
		return
	}
	if ok && known.Address == member.Address && now.Sub(known.since) < ForgetAfter {
		// The list lags: peers said that this one is gone.
		return
	}
	member.Incarnation, member.State = 0, Suspect
	table.put(entry{Member: member, since: now})
}

// Apply takes in an update and reports whether it changed anything.
func (table *Table) Apply(update Member, now time.Time) bool {
	if update.ID == table.Self.ID {
		return table.refute(update)
	}
	known, ok := table.members[update.ID]
	if ok && !update.supersedes(known.Member) {
		return false
	}
	if !ok && update.State == Dead {
		return false
	}
	table.put(entry{Member: update, since: now, isConfirmed: update.State != Suspect || known.isConfirmed})
	table.enqueue(update.ID)
	return true
}

// refute answers a rumour about the VM itself with a higher incarnation.
func (table *Table) refute(update Member) bool {
	if update.Incarnation < table.Self.Incarnation || update.State <= table.Self.State {
		return false
	}
	table.Self.Incarnation = update.Incarnation + 1
	table.enqueue(table.Self.ID)
	return true
}

// Leave marks the VM itself as leaving.
func (table *Table) Leave() {
	table.Self.State = Leaving
	table.enqueue(table.Self.ID)
}

// Failed notes that a VM answered neither directly nor through others.
func (table *Table) Failed(id string, now time.Time) bool {
	known, ok := table.members[id]
	if !ok || known.State >= Suspect {
		return false
	}
	suspect := known.Member
	suspect.State = Suspect
	return table.Apply(suspect, now)
}

// Tick turns suspects that did not refute in time to dead ones, and forgets old
// ones. It returns those that died.
func (table *Table) Tick(now time.Time) []Member {
	var died []Member
	for id, known := range table.members {
		age := now.Sub(known.since)
		switch {
		case known.State == Suspect && age >= SuspectFor:
			wasHeard := known.isConfirmed
			known.State, known.since = Dead, now
			table.put(known)
			if wasHeard {
				table.enqueue(id)
				died = append(died, known.Member)
			}
		case known.State == Dead && age >= ForgetAfter:
			table.drop(id)
		}
	}
	slices.SortFunc(died, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return died
}

// Probe returns the next VM to probe, in turn. Dead ones are probed too while
// they are remembered, so that a healed partition is found.
func (table *Table) Probe() (Member, bool) {
	if len(table.order) == 0 {
		return Member{}, false
	}
	table.next = (table.next + 1) % len(table.order)
	return table.members[table.order[table.next]].Member, true
}

// Updates returns up to MaxUpdates that are to be passed on to a VM. If that one
// is not believed to be alive it is told so each time: it would not refute what
// it never heard, and a live VM would stay dead to this one.
func (table *Table) Updates(to string) []Member {
	updates := []Member{table.Self}
	if known, ok := table.members[to]; ok && known.State != Alive {
		updates = append(updates, known.Member)
	}
	kept := table.queue[:0:0]
	for _, item := range table.queue {
		if len(updates) < MaxUpdates && item.id != table.Self.ID {
			if known, ok := table.members[item.id]; ok {
				updates = append(updates, known.Member)
			}
			item.left--
		}
		if item.left > 0 && item.id != table.Self.ID {
			kept = append(kept, item)
		}
	}
	table.queue = kept
	return updates
}

// Live returns the VMs that duties may fall to, the VM itself included unless
// it leaves, in order of their IDs.
func (table *Table) Live() []Member {
	var live []Member
	if table.Self.State == Alive {
		live = append(live, table.Self)
	}
	for _, known := range table.members {
		if known.State == Alive {
			live = append(live, known.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// All returns every known VM but the VM itself, in order of their IDs.
func (table *Table) All() []Member {
	all := make([]Member, 0, len(table.members))
	for _, id := range slices.Sorted(maps.Keys(table.members)) {
		all = append(all, table.members[id].Member)
	}
	return all
}

func (table *Table) put(item entry) {
	if _, ok := table.members[item.ID]; !ok {
		index, _ := slices.BinarySearch(table.order, item.ID)
		table.order = slices.Insert(table.order, index, item.ID)
	}
	table.members[item.ID] = item
}

func (table *Table) drop(id string) {
	delete(table.members, id)
	if index, ok := slices.BinarySearch(table.order, id); ok {
		table.order = slices.Delete(table.order, index, index+1)
	}
}

func (table *Table) enqueue(id string) {
	left := repeats
	for n := len(table.members); n > 1; n /= 2 {
		left += repeats
	}
	table.queue = slices.DeleteFunc(table.queue, func(item queued) bool { return item.id == id })
	table.queue = append([]queued{{id: id, left: left}}, table.queue...)
}
