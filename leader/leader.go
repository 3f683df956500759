// Package leader gives one VM at a time the leader lease, which entitles it to order
// promotions. The lease is a record in the platform's store: a plain key that the
// leader rewrites to renew it. The store's own leases are not used, because the
// store may revoke them without the leader noticing.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  9. A leader treats its lease as valid only for TTL from the moment it sent the last
//     confirmed renewal. Another VM replaces a record that was not released only after
//     seeing it unchanged for longer than TTL. Both use clocks that keep counting while the
//     VM is suspended, so two VMs never hold the lease at the same time. An order is in the
//     record before it is sent and until its outcome is known, so that the next leader knows
//     which orders may still take effect. The newest term of each group stays in the record: a
//     leader that starts, at whichever VM, uses no former primary while the newest is down.
package leader

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

const (
	// TTL is the lifetime of the lease after a renewal.
	TTL = 3 * time.Second
	// Validity is how long after sending a renewal the leader counts on its lease.
	Validity = TTL - clockMargin
	// renewInterval leaves time for two failed renewals within TTL.
	renewInterval = TTL / 3
	// renewRetryDelay is the delay after a failed renewal. The leader issues no leases
	// until one succeeds (dbset.IssueWindow).
	renewRetryDelay = TTL / 10
	// clockMargin covers the drift between the clocks of two VMs.
	clockMargin = 100 * time.Millisecond
	// readInterval is the longest time between two reads of the record by a VM without
	// the lease.
	readInterval = 1 * time.Second
	// leaderSilence is how long no message of the leader may have been due before other VMs
	// read the record.
	leaderSilence = 300 * time.Millisecond
	// firstReadDelay is the delay after a failed read while no read has succeeded yet.
	firstReadDelay = 150 * time.Millisecond
	// conflictDelay is the delay after a write failed since the record had changed: the
	// record read before was stale.
	conflictDelay = 10 * time.Millisecond
	// idleInterval is how often a VM checks whether it has to watch a set again. It is woken
	// when it begins to ask the set's leader.
	idleInterval = 2 * time.Second
	// A VM that leads a set waits for secondSetDelay before it takes another that is free, or
	// for expiredSetDelay if that has expired, so that the leaders are different VMs. VMs may
	// have observed the last renewal up to readInterval apart, and in a fleet that starts, 300
	// VMs read the first configuration over 1.3 s. otherSetDelay is for sets other
	// than the one that the VM's ID is assigned to.
	secondSetDelay  = 1500 * time.Millisecond
	expiredSetDelay = readInterval + 200*time.Millisecond
	otherSetDelay   = 100 * time.Millisecond
	// Key is the key of the first set's record in the store. The key, the JSON key "holder" and the
	// titles of the events call the leader lease a duty and the leader its holder.
	Key = "bramley/duty/promote"
)

// Elector acquires and renews the lease of one set of groups for one VM. Set the exported
// fields before Run.
type Elector struct {
	Store store.Tree
	Clock clock.Clock
	Log   *event.Log
	// VM is the VM's ID; Process identifies this process among the VM's processes.
	VM      string
	Process uint64
	// Set is the set of groups, from 0.
	Set int
	// IsWatched reports whether the VM asks the set's leader for leases; nil means that it
	// does. LeadsAnother reports whether the VM leads another set; nil means that it doesn't.
	IsWatched    func() bool
	LeadsAnother func() bool
	// LastMessageAt returns when the last message of the leader arrived. The VM does
	// not read the record while messages arrive.
	LastMessageAt func() time.Time
	// MessageInterval returns the interval at which messages of the leader arrive.
	MessageInterval func() time.Duration

	// inFlight counts the orders in flight.
	inFlight sync.WaitGroup
	// changed is notified when the lease becomes valid, and when the VM may act on other
	// groups.
	changed *broadcast

	mu         sync.Mutex
	validUntil time.Time
	token      uint64
	// wake ends the wait for the next step.
	wake chan struct{}
	// sets is the number of sets by the configuration; 0 counts as 1.
	sets int
	// groups has what is known of the groups, see Known. hasGroups is set if the record that this
	// leader replaced stated it, or there was none.
	groups    map[string]GroupState
	hasGroups bool
	// confirmed is the last confirmed record, grant what is known of the other sets' claims; nil
	// if nothing is.
	confirmed record
	grant     *grant
	// orders counts the orders in flight by group. minToken is the least token that is higher
	// than those of the other sets.
	orders   map[string]int
	minToken uint64
	// unsettled has the orders that may still take effect, by group: those of this leader and
	// those in the record that it replaced. renewed is notified of each confirmed write of the
	// record, and when the lease is lost.
	unsettled map[string]Order
	renewed   broadcast
	// version counts the changes of unsettled and groups. writing is the version that the write in
	// progress has, recorded that of the last confirmed write.
	version, writing, recorded uint64
	// isStopping is set before the lease is released: no further order may begin.
	isStopping bool
	// takenAt is when this VM last took the record of another process, before it was written.
	takenAt time.Time
	// predecessorRenewedAt is the result of PredecessorRenewedAt.
	predecessorRenewedAt time.Time
	// confirmedRevision is the record's revision after the last confirmed write.
	confirmedRevision uint64
	// heartbeat is the last heartbeat of another leader.
	heartbeat Heartbeat
	// knownLeader is the leader by the record's newest known revision, knownRevision.
	knownLeader   string
	knownRevision uint64
	// observed is the last observed record; it is assumed unchanged since observedAt.
	observed   store.Item
	observedAt time.Time
	// isPartial is set if observed comes from a heartbeat, which lacks some fields of the record.
	isPartial bool
	// writes counts the writes of this process.
	writes uint64
	// others has the last observed records of the other sets.
	others map[int]observedRecord
	// freeSince is since when the lease is known to be free; zero if it is not.
	freeSince time.Time
}

// Holds returns the fencing token if the VM's lease is valid for at least need
// from now.
func (elector *Elector) Holds(need time.Duration) (uint64, bool) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if !elector.Clock.Now().Add(need).Before(elector.validUntil) {
		return 0, false
	}
	return elector.token, true
}

// Acquired returns a channel that is closed when the VM's lease next becomes valid, or when
// the VM may act on other groups. Tasks of the leader wait for it rather than ask for the
// lease at intervals. They must get the channel before they check Holds, so that they miss
// no change.
func (elector *Elector) Acquired() <-chan struct{} {
	elector.init()
	return elector.changed.wait()
}

// init sets what Sets leaves out.
func (elector *Elector) init() {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if elector.changed == nil {
		elector.changed = &broadcast{}
	}
	if elector.others == nil {
		elector.others, elector.orders = make(map[int]observedRecord), make(map[string]int)
	}
	if elector.unsettled == nil {
		elector.unsettled = make(map[string]Order)
	}
	if elector.groups == nil {
		elector.groups = make(map[string]GroupState)
	}
	elector.initWake()
}

// initWake creates the channel of wakeUp. elector.mu must be held.
func (elector *Elector) initWake() chan struct{} {
	if elector.wake == nil {
		elector.wake = make(chan struct{}, 1)
	}
	return elector.wake
}

// wakeUp makes Run take its next step now.
func (elector *Elector) wakeUp() {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	elector.wakeLocked()
}

// wakeLocked is wakeUp for callers that hold elector.mu.
func (elector *Elector) wakeLocked() {
	select {
	case elector.initWake() <- struct{}{}:
	default:
	}
}

// extend makes the lease valid as of a confirmed write that was sent at sentAt.
func (elector *Elector) extend(next record, revision uint64, sentAt time.Time) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	wasValid := elector.Clock.Now().Before(elector.validUntil)
	if next.Token != elector.token {
		// The leases under the earlier token are not those of a predecessor.
		if elector.token != 0 {
			elector.predecessorRenewedAt = time.Time{}
		}
		elector.token = next.Token
	}
	elector.validUntil, elector.confirmedRevision, elector.confirmed = sentAt.Add(Validity), revision, next
	elector.recorded = elector.writing
	elector.renewed.notify()
	if !wasValid {
		elector.changed.notify()
	}
}

// BeginOrder registers an order for a group that takes at most need and returns the fencing
// token. The lease is not released, and the group not given up, before end is called, so the
// order of a later leader can't overtake this one. ok is false if the lease expires earlier,
// the VM may not act on the group or is stopping.
func (elector *Elector) BeginOrder(group string, need time.Duration) (token uint64, end func(), ok bool) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if elector.isStopping || !elector.Clock.Now().Add(need).Before(elector.validUntil) || !elector.actsOn(group) {
		return 0, nil, false
	}
	elector.inFlight.Add(1)
	elector.orders[group]++
	return elector.token, func() { elector.endOrder(group) }, true
}

func (elector *Elector) endOrder(group string) {
	elector.mu.Lock()
	elector.orders[group]--
	if elector.orders[group] == 0 {
		delete(elector.orders, group)
	}
	elector.mu.Unlock()
	elector.inFlight.Done()
}

// Leader returns the ID of the VM that holds the lease according to the last record or
// heartbeat observed, or "" if none does.
func (elector *Elector) Leader() string {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	return elector.knownLeader
}

// PredecessorRenewedAt returns an upper bound for the time at which the previous leader sent
// its last renewal, if this VM took the lease after that had expired. Otherwise it returns
// zero: the previous leader may have acted until this VM took the lease.
func (elector *Elector) PredecessorRenewedAt() time.Time {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	return elector.predecessorRenewedAt
}

// Run acquires the lease when it is free and renews it until ctx ends; then it
// releases the lease.
func (elector *Elector) Run(ctx context.Context) error {
	elector.init()
	for {
		wait := elector.step(ctx)
		select {
		case <-ctx.Done():
			elector.stop()
			return nil
		case <-elector.Clock.After(wait):
		case <-elector.wake:
		}
	}
}

// step renews the lease or tries to acquire it, and returns the delay until the
// next step.
func (elector *Elector) step(ctx context.Context) time.Duration {
	isNeeded := elector.isSetNeeded()
	if _, ok := elector.Holds(0); ok {
		if !isNeeded && elector.giveUp() {
			return idleInterval
		}
		if !elector.renew(ctx) {
			return renewRetryDelay
		}
		return elector.confirmClaims(ctx)
	}
	elector.invalidate("lapsed")
	if !isNeeded || elector.IsWatched != nil && !elector.IsWatched() {
		return idleInterval
	}
	if silence := elector.MessageInterval() + leaderSilence; elector.Clock.Now().Sub(elector.LastMessageAt()) < silence {
		return silence / 2
	}
	elector.applyHeartbeat()
	elector.readRecord(ctx)
	return elector.acquireIfFree(ctx)
}

// isSetNeeded reports whether the configuration has the set.
func (elector *Elector) isSetNeeded() bool {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	return elector.Set < elector.configured()
}

// giveUp releases the lease of a set that the configuration no longer has, unless an order
// is in flight. No new one can begin.
func (elector *Elector) giveUp() bool {
	elector.mu.Lock()
	hasOrders := len(elector.orders) > 0
	elector.mu.Unlock()
	if hasOrders {
		return false
	}
	elector.release()
	return true
}

// fields adds the number of the set to a log line's fields, unless it is the first set.
func (elector *Elector) fields(fields event.Fields) event.Fields {
	if elector.Set > 0 {
		fields["set"] = elector.Set + 1
	}
	return fields
}

// acquireIfFree acquires the lease if it is free, expired or left by an earlier process
// of this VM. It returns the delay until the next step.
func (elector *Elector) acquireIfFree(ctx context.Context) time.Duration {
	if elector.observedAt.IsZero() {
		return firstReadDelay
	}
	var old record
	if elector.observed.Revision != 0 {
		if err := json.Unmarshal(elector.observed.Value, &old); err != nil {
			// A malformed record expires like any other.
			old = record{Leader: "unreadable"}
		}
	}
	isOwn := old.Leader == elector.VM
	expiresAt := elector.observedAt.Add(TTL + clockMargin)
	if old.Leader != "" && !isOwn && elector.Clock.Now().Before(expiresAt) {
		elector.freeSince = time.Time{}
		return min(readInterval, max(expiresAt.Sub(elector.Clock.Now()), clockMargin))
	}
	if wait := elector.untilMayTake(old.Leader != ""); wait > 0 && !isOwn {
		return wait
	}
	if elector.isPartial {
		// The record may have orders that the heartbeat lacks.
		return elector.readWhole(ctx)
	}
	var renewedAt time.Time
	if old.Leader != "" && !isOwn {
		renewedAt = elector.observedAt
	}
	// It is stored before the lease can be valid, since it tells which leases still run.
	elector.mu.Lock()
	elector.predecessorRenewedAt, elector.minToken, elector.freeSince = renewedAt, 0, time.Time{}
	elector.takenAt = elector.Clock.Now()
	elector.unsettled = make(map[string]Order, len(old.Orders))
	maps.Copy(elector.unsettled, old.Orders)
	elector.groups = make(map[string]GroupState, len(old.Groups))
	maps.Copy(elector.groups, old.Groups)
	elector.hasGroups = old.Groups != nil || elector.observed.Revision == 0
	next := elector.nextRecord(old.Token + 1)
	if elector.sets > 1 {
		// Sets that are taken at the same time begin with different tokens.
		next.Token += uint64(elector.Set)
	}
	next = next.claiming(elector.configured(), old)
	elector.mu.Unlock()
	triedRevision := elector.observed.Revision
	if elector.writeRecord(ctx, next) {
		elector.Log.Write(event.LeadershipTaken, elector.fields(event.Fields{"token": next.Token}))
		return elector.confirmClaims(ctx)
	}
	if elector.observed.Revision != triedRevision {
		return conflictDelay
	}
	return readInterval / 2
}

// untilMayTake returns how long the VM leaves a free set to other VMs.
func (elector *Elector) untilMayTake(isExpired bool) time.Duration {
	elector.mu.Lock()
	sets := elector.configured()
	elector.mu.Unlock()
	if sets == 1 {
		return 0
	}
	now := elector.Clock.Now()
	if elector.freeSince.IsZero() {
		elector.freeSince = now
	}
	var delay time.Duration
	switch leadsAnother := elector.LeadsAnother != nil && elector.LeadsAnother(); {
	case leadsAnother && isExpired:
		delay = expiredSetDelay
	case leadsAnother:
		delay = secondSetDelay
	case SetOf(elector.VM, sets) != elector.Set:
		delay = otherSetDelay
	}
	return elector.freeSince.Add(delay).Sub(now)
}

// stop waits for the orders in flight and then releases the lease.
func (elector *Elector) stop() {
	elector.mu.Lock()
	elector.isStopping = true
	elector.mu.Unlock()
	elector.inFlight.Wait()
	elector.release()
}
