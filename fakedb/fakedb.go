// Package fakedb implements a fake of the platform's database groups, for tests, the
// demo and load runs. A group has slots with terms, an asynchronously replicated log
// with a configurable lag, a connection limit and a delay for each new connection.
// Each slot serves the PostgreSQL protocol and the HTTP control interface of package
// grpctl.
//
// It supports only the few statement forms of forms.go: the proxy does not interpret
// statements, so more SQL would only slow the tests.
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
	// Limit bounds the open connections to all reachable slots together (see
	// admitConn); zero is unlimited. Connections above it are refused and counted in
	// LimitRefusals.
	Limit int
	// ConnectDelay is the delay of each new connection.
	ConnectDelay time.Duration
	// Lag returns the replication lag of a replica for the next lagPeriod; nil is no
	// lag.
	Lag   func() time.Duration
	Clock clock.Clock
	// Host is the IP address to listen on; empty is 127.0.0.1.
	Host string

	// LimitRefusals counts the connections refused because of Limit, Opened all
	// connections, including these.
	LimitRefusals atomic.Int64
	Opened        atomic.Int64

	mu    sync.Mutex
	slots []*Slot
	peak  int
}

// lagPeriod is the time for which a replica keeps one value of Lag.
const lagPeriod = 100 * time.Millisecond

// replicationTick is the interval at which a primary checks for entries whose lag
// has passed.
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
		slot := &Slot{group: group, index: i, sealedTerm: 1}
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
	first.becomePrimary(1)
	first.mu.Unlock()
	return nil
}

// Stop kills all slots.
func (group *Group) Stop() {
	for _, slot := range group.slots {
		slot.Kill()
	}
}

// Slot returns the slot with an index; the first is 0.
func (group *Group) Slot(index int) *Slot { return group.slots[index] }

// Primary returns the running primary with the highest term, or nil.
func (group *Group) Primary() *Slot {
	var primary *Slot
	var term uint64
	for _, slot := range group.slots {
		slot.mu.Lock()
		if slot.isPrimary && !slot.isKilled && slot.sealedTerm > term {
			primary, term = slot, slot.sealedTerm
		}
		slot.mu.Unlock()
	}
	return primary
}

// Peak returns the highest number of connections to reachable slots (see admitConn) that
// were open at the same time.
func (group *Group) Peak() int {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.peak
}

// admitConn counts a new connection to slot, which was accepted at dropCount, and reports
// whether it may serve: it is within Limit, and dropConns has not closed it since.
// The connections of partitioned and stalled slots do not count, since the platform
// cannot reach these slots. When a partition ends, SetPartitioned closes the slot's
// connections.
func (group *Group) admitConn(slot *Slot, dropCount int) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	reachable := 0
	for _, other := range group.slots {
		other.mu.Lock()
		if !other.isPartitioned && other.stall == nil {
			reachable += other.openConns
		}
		other.mu.Unlock()
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.dropCount != dropCount {
		return false
	}
	group.Opened.Add(1)
	if group.Limit > 0 && reachable >= group.Limit {
		group.LimitRefusals.Add(1)
		return false
	}
	group.peak = max(group.peak, reachable+1)
	slot.openConns++
	return true
}

// releaseConn removes a connection from the count, unless dropConns has done so since
// the connection was admitted at dropCount.
func (slot *Slot) releaseConn(dropCount int) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.dropCount == dropCount {
		slot.openConns--
	}
}

// entry is one committed transaction in the log.
type entry struct {
	position    posn.Position
	committedAt time.Time
	writes      []write
}

// write sets or deletes one key of a table.
type write struct {
	table, key, value string
	isDeleted         bool
}

// Slot is one database server of a group, with a full copy of the data.
type Slot struct {
	group *Group
	index int

	mu sync.Mutex
	// sealedTerm is the highest term that the slot has sealed or follows.
	sealedTerm    uint64
	isPrimary     bool
	isKilled      bool
	isPartitioned bool
	// stall is closed when the slot resumes; nil if the slot is not stalled.
	stall chan struct{}
	log   []entry
	// tables has the values by table and key.
	tables map[string]map[string]string
	// termStart is the first position of the latest term in which the slot was
	// primary, inheritedPosition the last one in its log before that term.
	termStart, inheritedPosition posn.Position
	// matchPositions has, by slot index, the position up to which the slot's log is
	// known to match the primary's in its term.
	matchPositions []posn.Position
	// progressChanged is closed and replaced by notifyProgress.
	progressChanged chan struct{}
	// rowLocks has the owner of each locked row, by table and key.
	rowLocks  map[string]*transaction
	openConns int
	// dropCount counts the calls of dropConns.
	dropCount    int
	lockReleased *sync.Cond
	conns        map[net.Conn]struct{}
	// sessionsByPID finds the session of a cancel request.
	sessionsByPID map[uint32]*session
	lastPID       uint32

	address, control string
	listeners        []net.Listener
	// generation counts the kills of the slot; replication of an earlier generation
	// stops.
	generation int
}

// reset deletes the slot's log and data.
func (slot *Slot) reset() {
	slot.log = nil
	slot.tables = make(map[string]map[string]string)
}

// Name returns the slot's name within its group.
func (slot *Slot) Name() string { return slotName(slot.index) }

func slotName(index int) string { return string(rune('a' + index)) }

// Address returns the host and port of the PostgreSQL protocol.
func (slot *Slot) Address() string { return slot.address }

// Control returns the host and port of the HTTP control interface.
func (slot *Slot) Control() string { return slot.control }

// lastPosition returns the position of the last log entry, or zero.
func (slot *Slot) lastPosition() posn.Position {
	if len(slot.log) == 0 {
		return posn.Position{}
	}
	return slot.log[len(slot.log)-1].position
}

func (slot *Slot) report() quorum.Report {
	return quorum.Report{
		Slot:         slot.Name(),
		Sealed:       slot.sealedTerm,
		LastPosition: slot.lastPosition(),
		Primary:      slot.isPrimary,
		Start:        slot.termStart,
		Inherited:    slot.inheritedPosition,
	}
}

// notifyProgress wakes replication and the waiting progress requests.
func (slot *Slot) notifyProgress() {
	close(slot.progressChanged)
	slot.progressChanged = make(chan struct{})
}

// becomePrimary makes the slot the primary of term and starts replication.
func (slot *Slot) becomePrimary(term uint64) {
	slot.sealedTerm = term
	slot.isPrimary = true
	slot.inheritedPosition = slot.lastPosition()
	slot.matchPositions = make([]posn.Position, slot.group.Slots)
	slot.termStart = slot.append(nil)
	for i, replica := range slot.group.slots {
		if i != slot.index {
			go slot.replicate(replica, term, slot.generation)
		}
	}
}

// append adds one entry to the log in the slot's own term and applies it.
func (slot *Slot) append(writes []write) posn.Position {
	position := posn.Position{Term: slot.sealedTerm, LSN: slot.lastPosition().LSN + 1}
	slot.log = append(slot.log, entry{position: position, committedAt: slot.group.Clock.Now(), writes: writes})
	slot.apply(writes)
	slot.matchPositions[slot.index] = position
	slot.notifyProgress()
	return position
}

func (slot *Slot) apply(writes []write) {
	for _, write := range writes {
		table := slot.tables[write.table]
		if table == nil {
			table = make(map[string]string)
			slot.tables[write.table] = table
		}
		if write.isDeleted {
			delete(table, write.key)
			continue
		}
		table[write.key] = write.value
	}
}

// replicate sends entries to one replica, each after the lag has passed, until the
// slot is no longer the primary of term or is killed.
func (slot *Slot) replicate(replica *Slot, term uint64, generation int) {
	var lag time.Duration
	var lagDrawnAt time.Time
	for {
		now := slot.group.Clock.Now()
		if now.Sub(lagDrawnAt) > lagPeriod {
			lag, lagDrawnAt = slot.group.Lag(), now
		}
		slot.mu.Lock()
		if !slot.isPrimary || slot.sealedTerm != term || slot.generation != generation || slot.isKilled {
			slot.mu.Unlock()
			return
		}
		due := len(slot.log)
		for due > 0 && slot.log[due-1].committedAt.Add(lag).After(now) {
			due--
		}
		entries, changed, isBlocked := slot.log[:due:due], slot.progressChanged, slot.isPartitioned || slot.stall != nil
		isIdle := due == len(slot.log) && slot.matchPositions[replica.index] == slot.lastPosition()
		slot.mu.Unlock()
		if isIdle && !isBlocked {
			select {
			case <-changed:
			case <-slot.group.Clock.After(lagPeriod):
			}
		}
		if !isBlocked && due > 0 {
			slot.send(replica, term, entries)
		}
		if lag > 0 || isBlocked {
			<-slot.group.Clock.After(replicationTick)
		}
	}
}

// send sends the log up to the end of entries to a replica and records the replica's
// position.
func (slot *Slot) send(replica *Slot, term uint64, entries []entry) {
	position, isAccepted := replica.receive(term, entries)
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.sealedTerm != term || slot.isPartitioned {
		return
	}
	if position.Term > term {
		// The replica has accepted a later term: this slot is no longer the primary.
		slot.followTerm(position.Term)
		return
	}
	if isAccepted && slot.matchPositions[replica.index] != position {
		slot.matchPositions[replica.index] = position
		slot.notifyProgress()
	}
}

// receive replicates the primary's log up to the end of entries. If the slot accepts
// them, it returns the position of the last one; if it has sealed a later term, a
// position with that term; if it is not reachable, zero.
func (slot *Slot) receive(term uint64, entries []entry) (position posn.Position, isAccepted bool) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.isKilled || slot.isPartitioned || slot.stall != nil {
		return posn.Position{}, false
	}
	if slot.sealedTerm > term {
		return posn.Position{Term: slot.sealedTerm}, false
	}
	slot.followTerm(term)
	if slot.isConsistentWith(entries) {
		for _, entry := range entries[min(len(slot.log), len(entries)):] {
			slot.log = append(slot.log, entry)
			slot.apply(entry.writes)
		}
	} else {
		slot.replaceLog(entries)
	}
	position = entries[len(entries)-1].position
	return position, true
}

// isConsistentWith reports whether the slot's log is a prefix of entries or the
// reverse. Logs that have the same position at an index are equal up to it, so it
// compares only the last common entry.
func (slot *Slot) isConsistentWith(entries []entry) bool {
	common := min(len(slot.log), len(entries))
	return common == 0 || slot.log[common-1].position == entries[common-1].position
}

// replaceLog replaces the slot's log and data by those of entries.
func (slot *Slot) replaceLog(entries []entry) {
	slot.reset()
	for _, entry := range entries {
		slot.log = append(slot.log, entry)
		slot.apply(entry.writes)
	}
}

// followTerm makes the slot a replica in term, which is not below sealedTerm.
func (slot *Slot) followTerm(term uint64) {
	if term > slot.sealedTerm || slot.isPrimary {
		slot.sealedTerm = term
		slot.isPrimary = false
		slot.notifyProgress()
		slot.lockReleased.Broadcast()
	}
}

// LogNormalLag returns a source of log-normally distributed lags with the given median
// and 99th percentile. The same seed gives the same sequence.
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
