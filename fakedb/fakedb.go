// Package fakedb is a small stand-in for the platform's database groups, for
// tests, demo and load. A group has slots with terms, an asynchronous log with
// a settable lag, a connection limit and a connect cost. Each slot speaks the
// PostgreSQL protocol to callers and the HTTP of package gctl to keepers.
//
// It understands the few statement forms of of forms.go in place of SQL:
// the proxy never looks into statements, so more would only slow the tests.
package fakedb

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
)

// Group is one database on several slots. Set the exported fields before
// Start.
type Group struct {
	Name  string
	Slots int
	// Limit bounds the connections to all slots together; more are refused and
	// counted in Breaches.
	Limit       int
	ConnectCost time.Duration
	// Lag returns how far a replica is behind for the next while.
	Lag   func() time.Duration
	Clock clock.Clock
	// Host is the IP address to listen on; empty is 127.0.0.1.
	Host string

	// Breaches counts connections over Limit; Opened counts all.
	Breaches atomic.Int64
	Opened   atomic.Int64

	mu    sync.Mutex
	slots []*Slot
	peak  int
}

// lagPeriod is how long one value of Lag holds for a replica.
const lagPeriod = 100 * time.Millisecond

// replicationTick is how often a primary looks for entries that are due.
const replicationTick = time.Millisecond

// Start starts all slots; the first one is the primary of term 1.
func (group *Group) Start() error {
	if group.Clock == nil {
		group.Clock = clock.System{}
	}
	if group.Lag == nil {
		group.Lag = func() time.Duration { return 0 }
	}
	if group.Host == "" {
		group.Host = "127.0.0.1"
	}
	for i := range group.Slots {
		slot := &Slot{group: group, index: i, sealed: 1}
		slot.reset()
		group.slots = append(group.slots, slot)
	}
	for _, slot := range group.slots {
		if err := slot.listen(); err != nil {
			return err
		}
	}
	first := group.slots[0]
	first.mu.Lock()
	first.lead(1)
	first.mu.Unlock()
	return nil
}

// Stop ends all slots.
func (group *Group) Stop() {
	for _, slot := range group.slots {
		slot.Kill()
	}
}

// Slot returns a slot by its index.
func (group *Group) Slot(index int) *Slot { return group.slots[index] }

// Primary returns the slot that leads the highest term, or nil.
func (group *Group) Primary() *Slot {
	var best *Slot
	var term uint64
	for _, slot := range group.slots {
		slot.mu.Lock()
		if slot.leading && !slot.killed && slot.sealed > term {
			best, term = slot, slot.sealed
		}
		slot.mu.Unlock()
	}
	return best
}

// Peak is the highest number of connections that were open at once.
func (group *Group) Peak() int {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.peak
}

// admit counts a connection to slot. Slots that are cut off or stalled are left
// out of the count: the platform has lost them, and drops their connections
// when they come back.
func (group *Group) admit(slot *Slot) bool {
	reachable := 0
	for _, other := range group.slots {
		other.mu.Lock()
		if !other.cut && other.stalled == nil {
			reachable += other.open
		}
		other.mu.Unlock()
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	group.Opened.Add(1)
	if group.Limit > 0 && reachable >= group.Limit {
		group.Breaches.Add(1)
		return false
	}
	group.peak = max(group.peak, reachable+1)
	slot.mu.Lock()
	slot.open++
	slot.mu.Unlock()
	return true
}

// release takes a connection out of the count, unless dropConns did already.
func (slot *Slot) release(drops int) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.drops == drops {
		slot.open--
	}
}

// entry is one committed transaction in the log.
type entry struct {
	position posn.Position
	at       time.Time
	writes   []write
}

// write sets or deletes one key of a table.
type write struct {
	table, key, value string
	deleted           bool
}

// Slot is one copy of the database.
type Slot struct {
	group *Group
	index int

	mu      sync.Mutex
	sealed  uint64
	leading bool
	killed  bool
	cut     bool
	stalled chan struct{}
	log     []entry
	tables  map[string]map[string]string
	// start and inherited are of the term that the slot leads.
	start, inherited posn.Position
	// match is what each slot held under the led term.
	match   []posn.Position
	changed chan struct{}
	locks   map[string]*transaction
	open    int
	drops   int
	unlock  *sync.Cond
	conns   map[net.Conn]struct{}
	// sessions are for cancel requests.
	sessions map[uint32]*session
	lastPID  uint32

	address, control string
	listeners        []net.Listener
	generation       int
}

// reset gives the slot an empty log.
func (slot *Slot) reset() {
	slot.log = nil
	slot.tables = make(map[string]map[string]string)
}

// Name is the slot's name within its group.
func (slot *Slot) Name() string { return slotName(slot.index) }

func slotName(index int) string { return string(rune('a' + index)) }

// Address is where the slot speaks the PostgreSQL protocol.
func (slot *Slot) Address() string { return slot.address }

// Control is where keepers reach the slot.
func (slot *Slot) Control() string { return slot.control }

func (slot *Slot) held() posn.Position {
	if len(slot.log) == 0 {
		return posn.Position{}
	}
	return slot.log[len(slot.log)-1].position
}

func (slot *Slot) report() quorum.Report {
	return quorum.Report{
		Slot:      slot.Name(),
		Sealed:    slot.sealed,
		Held:      slot.held(),
		Primary:   slot.leading,
		Start:     slot.start,
		Inherited: slot.inherited,
	}
}

// notify wakes whoever waits for the slot's progress.
func (slot *Slot) notify() {
	close(slot.changed)
	slot.changed = make(chan struct{})
}

// lead makes the slot primary of term and starts replication.
func (slot *Slot) lead(term uint64) {
	slot.sealed = term
	slot.leading = true
	slot.inherited = slot.held()
	slot.match = make([]posn.Position, slot.group.Slots)
	slot.start = slot.append(nil)
	for i, replica := range slot.group.slots {
		if i != slot.index {
			go slot.replicate(replica, term, slot.generation)
		}
	}
}

// append writes one entry under the led term.
func (slot *Slot) append(writes []write) posn.Position {
	position := posn.Position{Term: slot.sealed, LSN: slot.held().LSN + 1}
	slot.log = append(slot.log, entry{position: position, at: slot.group.Clock.Now(), writes: writes})
	slot.apply(writes)
	slot.match[slot.index] = position
	slot.notify()
	return position
}

func (slot *Slot) apply(writes []write) {
	for _, w := range writes {
		table := slot.tables[w.table]
		if table == nil {
			table = make(map[string]string)
			slot.tables[w.table] = table
		}
		if w.deleted {
			delete(table, w.key)
			continue
		}
		table[w.key] = w.value
	}
}

// replicate sends entries to one replica, each when its lag has passed, until
// the slot no longer leads term.
func (slot *Slot) replicate(replica *Slot, term uint64, generation int) {
	var lag time.Duration
	var drawn time.Time
	for {
		now := slot.group.Clock.Now()
		if now.Sub(drawn) > lagPeriod {
			lag, drawn = slot.group.Lag(), now
		}
		slot.mu.Lock()
		if !slot.leading || slot.sealed != term || slot.generation != generation || slot.killed {
			slot.mu.Unlock()
			return
		}
		due := len(slot.log)
		for due > 0 && slot.log[due-1].at.Add(lag).After(now) {
			due--
		}
		entries, changed, blocked := slot.log[:due:due], slot.changed, slot.cut || slot.stalled != nil
		isIdle := due == len(slot.log) && slot.match[replica.index] == slot.held()
		slot.mu.Unlock()
		if isIdle && !blocked {
			select {
			case <-changed:
			case <-slot.group.Clock.After(lagPeriod):
			}
		}
		if !blocked && due > 0 {
			slot.send(replica, term, entries)
		}
		if lag > 0 || blocked {
			<-slot.group.Clock.After(replicationTick)
		}
	}
}

func (slot *Slot) send(replica *Slot, term uint64, entries []entry) {
	held, taken := replica.receive(term, entries)
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.sealed != term || slot.cut {
		return
	}
	if held.Term > term {
		// A later primary exists; this one learns of it through its replica.
		slot.demote(held.Term)
		return
	}
	if taken && slot.match[replica.index] != held {
		slot.match[replica.index] = held
		slot.notify()
	}
}

// receive takes the primary's log up to the end of entries. It returns the
// position held, or the later term that the slot has sealed.
func (slot *Slot) receive(term uint64, entries []entry) (held posn.Position, taken bool) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.killed || slot.cut || slot.stalled != nil {
		return posn.Position{}, false
	}
	if slot.sealed > term {
		return posn.Position{Term: slot.sealed}, false
	}
	slot.demote(term)
	if slot.agreesWith(entries) {
		for _, e := range entries[min(len(slot.log), len(entries)):] {
			slot.log = append(slot.log, e)
			slot.apply(e.writes)
		}
	} else {
		slot.rebuild(entries)
	}
	held = entries[len(entries)-1].position
	return held, true
}

// agreesWith reports whether the slot's log is a prefix of entries or the
// other way round; by the log's rules the last common entry tells.
func (slot *Slot) agreesWith(entries []entry) bool {
	common := min(len(slot.log), len(entries))
	return common == 0 || slot.log[common-1].position == entries[common-1].position
}

func (slot *Slot) rebuild(entries []entry) {
	slot.reset()
	for _, e := range entries {
		slot.log = append(slot.log, e)
		slot.apply(e.writes)
	}
}

// demote follows term, which is at least the sealed one.
func (slot *Slot) demote(term uint64) {
	if term > slot.sealed || slot.leading {
		slot.sealed = term
		slot.leading = false
		slot.notify()
		slot.unlock.Broadcast()
	}
}

// LogNormalLag returns a lag with the given median and 99th percentile. The
// seed makes the series the same on each run.
func LogNormalLag(median, p99 time.Duration, seed uint64) func() time.Duration {
	// normal99 is the 99th percentile of the standard normal distribution.
	const normal99 = 2.3263
	random := rand.New(rand.NewPCG(seed, seed))
	var mu sync.Mutex
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return logNormal(median, p99, random.NormFloat64()/normal99)
	}
}
