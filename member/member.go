// Package member implements the membership protocol of VMs. It does no I/O: messages and
// the time are arguments, and updates to send are results. The protocol follows SWIM
// (Das, Gupta and Motivala, 2002): in each period a VM probes a few others, asks
// further VMs to probe one that does not answer, and adds a bounded number of
// updates to each message, so that the cost per VM does not grow with the fleet.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  20. The platform's list lags, so it only adds candidates to probe and confirms
//     departures. A VM that does not answer its peers is excluded before the list
//     shows that. A false suspicion costs efficiency only.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is the state of a VM as its peers see it. Of two updates with the same
// incarnation, the one with the higher state takes precedence.
type State int

// The states.
const (
	// Alive VMs answer probes.
	Alive State = iota
	// Leaving VMs have announced their departure.
	Leaving
	// Suspect VMs did not answer a probe, or are known from the platform's list only.
	Suspect
	// Dead VMs did not refute a suspicion within SuspectFor.
	Dead
)

var stateNames = [...]string{Alive: "alive", Leaving: "leaving", Suspect: "suspect", Dead: "dead"}

// String returns the name of the state.
func (state State) String() string { return stateNames[state] }

// Member describes one VM.
type Member struct {
	ID      string
	Address string
	Zone    string
	// Incarnation increases with each start of the VM and each refutation.
	Incarnation uint64
	State       State
}

// supersedes reports whether an update is newer than the known state.
func (member Member) supersedes(known Member) bool {
	return cmp.Or(
		cmp.Compare(member.Incarnation, known.Incarnation),
		cmp.Compare(member.State, known.State),
	) > 0
}

// Timing of the protocol.
const (
	// SuspectFor is how long a suspected VM may take to refute the suspicion.
	SuspectFor = 600 * time.Millisecond
	// ForgetAfter is how long a dead VM is kept in the table, so that old updates
	// don't revive it.
	ForgetAfter = time.Minute
	// MaxUpdates is the maximum number of updates in one message.
	MaxUpdates = 4
	// retransmitFactor is how often an update is sent in a fleet of two. The number
	// grows with the logarithm of the fleet's size.
	retransmitFactor = 3
)

// Table is one VM's view of the fleet. It is not safe for concurrent use.
type Table struct {
	// Self is the VM itself.
	Self Member

	members map[string]entry
	// probeOrder has the IDs of members, sorted; probeIndex is the one probed last.
	probeOrder []string
	probeIndex int
	queue      []broadcast
}

type entry struct {
	Member
	// since is when the last change was applied.
	since time.Time
	// isConfirmed says that an update reported the VM in another state than Suspect.
	// The platform's list alone does not confirm it.
	isConfirmed bool
}

// broadcast is an update to be sent, with the number of messages that still carry it.
type broadcast struct {
	id        string
	remaining int
}

// New returns a table that contains only the VM itself.
func New(self Member) *Table {
	table := &Table{Self: self, members: make(map[string]entry)}
	table.enqueue(self.ID)
	return table
}

// AddCandidate adds a VM from the platform's list as a candidate to probe. It ignores VMs
// that are known and not dead, and VMs that have been dead at the same address for less
// than ForgetAfter.
func (table *Table) AddCandidate(member Member, now time.Time) {
	known, ok := table.members[member.ID]
	if member.ID == table.Self.ID || ok && known.State != Dead {
		return
	}
	if ok && known.Address == member.Address && now.Sub(known.since) < ForgetAfter {
		// The list lags: peers have already found this VM dead.
		return
	}
	member.Incarnation, member.State = 0, Suspect
	table.put(entry{Member: member, since: now})
}

// Apply applies an update and reports whether it changed the table.
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

// refute raises the VM's own incarnation if an update reports the VM in a higher state
// than its own.
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

// Suspect marks as suspect a VM that answered neither direct nor indirect probes, and reports
// whether that changed its state.
func (table *Table) Suspect(id string, now time.Time) bool {
	known, ok := table.members[id]
	if !ok || known.State >= Suspect {
		return false
	}
	suspect := known.Member
	suspect.State = Suspect
	return table.Apply(suspect, now)
}

// Tick marks suspects that did not refute in time as dead, and drops VMs that have
// been dead for ForgetAfter. It returns the VMs that it marked as dead, sorted by ID,
// without those that were never confirmed to exist.
func (table *Table) Tick(now time.Time) []Member {
	var newlyDead []Member
	for id, known := range table.members {
		age := now.Sub(known.since)
		switch {
		case known.State == Suspect && age >= SuspectFor:
			wasConfirmed := known.isConfirmed
			known.State, known.since = Dead, now
			table.put(known)
			if wasConfirmed {
				table.enqueue(id)
				newlyDead = append(newlyDead, known.Member)
			}
		case known.State == Dead && age >= ForgetAfter:
			table.remove(id)
		}
	}
	slices.SortFunc(newlyDead, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return newlyDead
}

// Probe returns the next VM to probe, in round-robin order. Dead VMs are probed too
// while they are in the table, so that the end of a partition is detected.
func (table *Table) Probe() (Member, bool) {
	if len(table.probeOrder) == 0 {
		return Member{}, false
	}
	table.probeIndex = (table.probeIndex + 1) % len(table.probeOrder)
	return table.members[table.probeOrder[table.probeIndex]].Member, true
}

// Updates returns up to MaxUpdates updates to send to a VM. The first is about this VM
// itself. If the receiver is not Alive in the table, the second is about the receiver: a
// live VM can't refute a state that it never received, and this VM would continue to
// treat it as dead.
func (table *Table) Updates(to string) []Member {
	updates := []Member{table.Self}
	if known, ok := table.members[to]; ok && known.State != Alive {
		updates = append(updates, known.Member)
	}
	pending := table.queue[:0:0]
	for _, item := range table.queue {
		if len(updates) < MaxUpdates && item.id != table.Self.ID {
			if known, ok := table.members[item.id]; ok {
				updates = append(updates, known.Member)
			}
			item.remaining--
		}
		if item.remaining > 0 && item.id != table.Self.ID {
			pending = append(pending, item)
		}
	}
	table.queue = pending
	return updates
}

// Live returns the VMs that may be assigned work, sorted by ID. They include the VM
// itself unless it is leaving.
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

// All returns every known VM except the VM itself, sorted by ID.
func (table *Table) All() []Member {
	all := make([]Member, 0, len(table.members))
	for _, id := range slices.Sorted(maps.Keys(table.members)) {
		all = append(all, table.members[id].Member)
	}
	return all
}

func (table *Table) put(item entry) {
	if _, ok := table.members[item.ID]; !ok {
		index, _ := slices.BinarySearch(table.probeOrder, item.ID)
		table.probeOrder = slices.Insert(table.probeOrder, index, item.ID)
	}
	table.members[item.ID] = item
}

func (table *Table) remove(id string) {
	delete(table.members, id)
	if index, ok := slices.BinarySearch(table.probeOrder, id); ok {
		table.probeOrder = slices.Delete(table.probeOrder, index, index+1)
	}
}

// enqueue queues the state of a VM to be sent, ahead of other updates. It replaces a
// queued update of that VM.
func (table *Table) enqueue(id string) {
	remaining := retransmitFactor
	for n := len(table.members); n > 1; n /= 2 {
		remaining += retransmitFactor
	}
	table.queue = slices.DeleteFunc(table.queue, func(item broadcast) bool { return item.id == id })
	table.queue = append([]broadcast{{id: id, remaining: remaining}}, table.queue...)
}
