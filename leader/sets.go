package leader

import (
	"context"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

// broadcast tells tasks that wait of a change.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next change.
func (broadcast *broadcast) wait() <-chan struct{} {
	broadcast.mu.Lock()
	defer broadcast.mu.Unlock()
	if broadcast.ch == nil {
		broadcast.ch = make(chan struct{})
	}
	return broadcast.ch
}

func (broadcast *broadcast) notify() {
	broadcast.mu.Lock()
	defer broadcast.mu.Unlock()
	if broadcast.ch != nil {
		close(broadcast.ch)
		broadcast.ch = nil
	}
}

// Sets has the electors of a VM, one for each set of groups. Set the exported fields before
// use.
type Sets struct {
	Store store.Tree
	Clock clock.Clock
	Log   *event.Log
	// VM and Process are as in Elector.
	VM      string
	Process uint64
	// LastMessageAt and MessageInterval are as in Elector, for each set.
	LastMessageAt   func(set int) time.Time
	MessageInterval func(set int) time.Duration

	changed broadcast
	running sync.WaitGroup

	mu       sync.Mutex
	electors []*Elector
	count    int
	// watched has the sets whose leaders the VM asks for leases.
	watched map[int]bool
	// run is the context of Run; nil before.
	run context.Context
}

// SetCount sets the number of sets by the configuration; until the first call there is one.
func (sets *Sets) SetCount(count int) {
	sets.mu.Lock()
	sets.count = count
	sets.addLocked(count)
	electors := sets.electors
	sets.mu.Unlock()
	for _, elector := range electors {
		elector.SetSets(count)
	}
}

// addLocked adds electors up to a number of sets. They are kept when it falls, since each
// has to release its lease.
func (sets *Sets) addLocked(count int) {
	for set := len(sets.electors); set < count; set++ {
		elector := &Elector{
			Store: sets.Store, Clock: sets.Clock, Log: sets.Log, VM: sets.VM, Process: sets.Process, Set: set,
			LastMessageAt:   func() time.Time { return sets.LastMessageAt(set) },
			MessageInterval: func() time.Duration { return sets.MessageInterval(set) },
			IsWatched:       func() bool { return sets.isWatched(set) },
			LeadsAnother:    func() bool { return sets.leadsOtherThan(set) },
			changed:         &sets.changed, sets: sets.count,
		}
		sets.electors = append(sets.electors, elector)
		if sets.run != nil {
			sets.start(elector)
		}
	}
}

func (sets *Sets) start(elector *Elector) {
	ctx := sets.run
	sets.running.Go(func() { _ = elector.Run(ctx) })
}

// Run runs the electors until ctx ends; then they release their leases.
func (sets *Sets) Run(ctx context.Context) error {
	sets.mu.Lock()
	sets.addLocked(1)
	sets.run = ctx
	for _, elector := range sets.electors {
		sets.start(elector)
	}
	sets.mu.Unlock()
	<-ctx.Done()
	sets.running.Wait()
	return nil
}

// Count returns the number of sets.
func (sets *Sets) Count() int {
	sets.mu.Lock()
	defer sets.mu.Unlock()
	return max(sets.count, 1)
}

// elector returns the elector of a set, or nil if there is none.
func (sets *Sets) elector(set int) *Elector {
	sets.mu.Lock()
	defer sets.mu.Unlock()
	sets.addLocked(1)
	if set < 0 || set >= len(sets.electors) {
		return nil
	}
	return sets.electors[set]
}

func (sets *Sets) electorOf(group string) *Elector { return sets.elector(SetOf(group, sets.Count())) }

// Holds returns the fencing token if the VM leads a set for at least need from now.
func (sets *Sets) Holds(set int, need time.Duration) (uint64, bool) {
	if elector := sets.elector(set); elector != nil {
		return elector.Holds(need)
	}
	return 0, false
}

// HoldsGroup returns the fencing token if the VM may act as the leader of a group's set for at
// least need from now.
func (sets *Sets) HoldsGroup(group string, need time.Duration) (uint64, bool) {
	return sets.electorOf(group).HoldsGroup(group, need)
}

// BeginOrder is Elector.BeginOrder for the set of a group.
func (sets *Sets) BeginOrder(group string, need time.Duration) (token uint64, end func(), ok bool) {
	return sets.electorOf(group).BeginOrder(group, need)
}

// RecordOrder is Elector.RecordOrder for the set of a group.
func (sets *Sets) RecordOrder(ctx context.Context, group string, order Order) bool {
	return sets.electorOf(group).RecordOrder(ctx, group, order)
}

// SettleOrder is Elector.SettleOrder for the set of a group.
func (sets *Sets) SettleOrder(group string, isRepeated bool) {
	sets.electorOf(group).SettleOrder(group, isRepeated)
}

// Order is Elector.Order for the set of a group.
func (sets *Sets) Order(group string) (Order, bool) { return sets.electorOf(group).Order(group) }

// Known is Elector.Known for the set of a group.
func (sets *Sets) Known(group string) (GroupState, bool) { return sets.electorOf(group).Known(group) }

// Covers is Elector.Covers for the set of a group.
func (sets *Sets) Covers(group string, term uint64, databases []Database) bool {
	return sets.electorOf(group).Covers(group, term, databases)
}

// RecordGroup is Elector.RecordGroup for the set of a group.
func (sets *Sets) RecordGroup(group string, state GroupState) {
	sets.electorOf(group).RecordGroup(group, state)
}

// ForgetGroup is Elector.ForgetGroup for all sets.
func (sets *Sets) ForgetGroup(group string) {
	sets.mu.Lock()
	electors := sets.electors
	sets.mu.Unlock()
	for _, elector := range electors {
		elector.ForgetGroup(group)
	}
}

// RetainOrders is Elector.RetainOrders for all sets.
func (sets *Sets) RetainOrders(exists func(group string) bool, asOf time.Time) {
	sets.mu.Lock()
	electors := sets.electors
	sets.mu.Unlock()
	for _, elector := range electors {
		elector.RetainOrders(exists, asOf)
	}
}

// Acquired returns a channel that is closed when the VM next acquires a lease, or may act on
// other groups. Get it before checking Holds or HoldsGroup.
func (sets *Sets) Acquired() <-chan struct{} { return sets.changed.wait() }

// LeadsAny reports whether the VM leads a set.
func (sets *Sets) LeadsAny() bool { return sets.leadsOtherThan(-1) }

func (sets *Sets) leadsOtherThan(set int) bool {
	sets.mu.Lock()
	electors := sets.electors
	sets.mu.Unlock()
	for other, elector := range electors {
		if _, ok := elector.Holds(0); ok && other != set {
			return true
		}
	}
	return false
}

// Leader returns the leader of a set according to the last record or heartbeat observed, or "".
func (sets *Sets) Leader(set int) string {
	if elector := sets.elector(set); elector != nil {
		return elector.Leader()
	}
	return ""
}

// PredecessorRenewedAt is Elector.PredecessorRenewedAt of a set.
func (sets *Sets) PredecessorRenewedAt(set int) time.Time {
	if elector := sets.elector(set); elector != nil {
		return elector.PredecessorRenewedAt()
	}
	return time.Time{}
}

// GrantedAt is Elector.GrantedAt of a set.
func (sets *Sets) GrantedAt(set int) time.Time {
	if elector := sets.elector(set); elector != nil {
		return elector.GrantedAt()
	}
	return time.Time{}
}

// OwnHeartbeat is Elector.OwnHeartbeat of a set.
func (sets *Sets) OwnHeartbeat(set int) (revision uint64, age time.Duration) {
	if elector := sets.elector(set); elector != nil {
		return elector.OwnHeartbeat()
	}
	return 0, 0
}

// ObserveHeartbeat is Elector.ObserveHeartbeat of a set.
func (sets *Sets) ObserveHeartbeat(set int, heartbeat Heartbeat) {
	if elector := sets.elector(set); elector != nil {
		elector.ObserveHeartbeat(heartbeat)
	}
}

// Watch sets the sets whose leaders the VM asks for leases. The VM reads the records of
// these only, and takes only their leases.
func (sets *Sets) Watch(watched []int) {
	sets.mu.Lock()
	next := make(map[int]bool, len(watched))
	var woken []*Elector
	for _, set := range watched {
		next[set] = true
		if !sets.watched[set] && set < len(sets.electors) {
			woken = append(woken, sets.electors[set])
		}
	}
	sets.watched = next
	sets.mu.Unlock()
	for _, elector := range woken {
		elector.wakeUp()
	}
}

// isWatched reports whether the VM watches a set. Where there is one, it always does.
func (sets *Sets) isWatched(set int) bool {
	sets.mu.Lock()
	defer sets.mu.Unlock()
	return sets.count <= 1 && set == 0 || sets.watched[set] && set < sets.count
}
