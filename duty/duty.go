// Package duty gives one VM at a time the lease that entitles it to order
// promotions. The lease is a record in the platform's store: a plain key that its
// holder rewrites to renew it. The store's own leases are not used, because the
// store may revoke them without the holder noticing.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  9. A holder treats its lease as valid only for TTL from the moment it sent
//     the last confirmed renewal. Another VM replaces a record only after seeing
//     it unchanged for longer than TTL. Both use clocks that keep counting while
//     the VM is suspended, so two VMs never hold the lease at the same time.
package duty

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

const (
	// TTL is the lifetime of the lease after a renewal.
	TTL = 3 * time.Second
	// renewInterval leaves time for two failed renewals within TTL.
	renewInterval = TTL / 3
	// clockMargin covers the drift between the clocks of two VMs.
	clockMargin = 100 * time.Millisecond
	// readInterval is the longest time between two reads of the record by a VM without
	// the lease.
	readInterval = 1 * time.Second
	// holderSilence is how long no message of the holder may have arrived before other
	// VMs read the record.
	holderSilence = 700 * time.Millisecond
	// firstReadDelay is the delay after a failed read while no read has succeeded yet.
	firstReadDelay = 150 * time.Millisecond
	// Key is the key of the record in the store.
	Key = "bramley/duty/promote"
)

// record is the JSON value stored under Key.
type record struct {
	Holder string `json:"holder"`
	// Run identifies the process, so that a restarted VM does not take the record
	// of its previous process for a valid lease of its own.
	Run   uint64 `json:"run"`
	Token uint64 `json:"token"`
	// Beat is increased by each write of a process, so every renewal changes the value.
	Beat uint64 `json:"beat"`
}

// Holder acquires and renews the lease for one VM. Set the exported fields before
// Serve.
type Holder struct {
	Store store.Tree
	Clock clock.Clock
	Log   *event.Log
	// VM is the VM's ID; Run identifies this process among the VM's processes.
	VM  string
	Run uint64
	// HeardAt returns when the last message of the lease holder arrived. The VM does
	// not read the record while messages arrive.
	HeardAt func() time.Time

	// inFlight counts the orders in flight.
	inFlight sync.WaitGroup

	mu         sync.Mutex
	validUntil time.Time
	token      uint64
	// isStopping is set before the lease is released: no further order may begin.
	isStopping bool
	// confirmedRevision is the record's revision after the last confirmed write.
	confirmedRevision uint64
	// heartbeat is the last heartbeat of another holder.
	heartbeat Note
	// knownHolder is the holder named by the last valid record observed.
	knownHolder string
	// observed is the last observed record; it is assumed unchanged since observedAt.
	observed   store.Item
	observedAt time.Time
	// writes counts the writes of this process.
	writes uint64
}

// Holds returns the fencing token if the VM's lease is valid for at least need
// from now.
func (holder *Holder) Holds(need time.Duration) (uint64, bool) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	if !holder.Clock.Now().Add(need).Before(holder.validUntil) {
		return 0, false
	}
	return holder.token, true
}

// Begin registers an order that takes at most need and returns the fencing token.
// The lease is not released before end is called, so the order of a later holder
// can't overtake this one. ok is false if the lease expires earlier or the VM is
// stopping.
func (holder *Holder) Begin(need time.Duration) (token uint64, end func(), ok bool) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	if holder.isStopping || !holder.Clock.Now().Add(need).Before(holder.validUntil) {
		return 0, nil, false
	}
	holder.inFlight.Add(1)
	return holder.token, holder.inFlight.Done, true
}

// Holder returns the ID of the VM that holds the lease according to the last record
// observed, or "" if none does.
func (holder *Holder) Holder() string {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	return holder.knownHolder
}

// Serve acquires the lease when it is free and renews it until ctx ends; then it
// releases the lease.
func (holder *Holder) Serve(ctx context.Context) error {
	for {
		wait := holder.step(ctx)
		select {
		case <-ctx.Done():
			holder.release()
			return nil
		case <-holder.Clock.After(wait):
		}
	}
}

// step renews the lease or tries to acquire it, and returns the delay until the
// next step.
func (holder *Holder) step(ctx context.Context) time.Duration {
	if _, ok := holder.Holds(0); ok {
		holder.renew(ctx)
		return renewInterval
	}
	holder.invalidate("lapsed")
	if holder.Clock.Now().Sub(holder.HeardAt()) < holderSilence {
		return holderSilence / 2
	}
	holder.applyHeartbeat()
	holder.readRecord(ctx)
	return holder.acquireIfFree(ctx)
}

// Note is a heartbeat in which the holder reports its lease.
type Note struct {
	Holder   string
	Token    uint64
	Revision uint64
	// At is an upper bound for the time at which the holder sent the renewal.
	At time.Time
}

// Told returns the revision and the age of the last confirmed renewal, for the
// heartbeat of a VM that holds the lease.
func (holder *Holder) Told() (revision uint64, age time.Duration) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	return holder.confirmedRevision, holder.Clock.Now().Sub(holder.validUntil.Add(clockMargin - TTL))
}

// Heard stores a heartbeat of another holder. If the holder then falls silent, this VM
// waits TTL and the clock margin from note.At, without having to watch the record for
// that long.
func (holder *Holder) Heard(note Note) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	holder.heartbeat = note
}

// applyHeartbeat uses the last heartbeat like a read of the record, unless the VM has
// observed a newer revision.
func (holder *Holder) applyHeartbeat() {
	holder.mu.Lock()
	note := holder.heartbeat
	holder.mu.Unlock()
	if note.Revision == 0 || note.Revision < holder.observed.Revision {
		return
	}
	if note.Revision > holder.observed.Revision {
		value, err := json.Marshal(record{Holder: note.Holder, Token: note.Token})
		if err != nil {
			holder.Log.Write(event.DutyEnded, event.Fields{"error": err.Error()})
			return
		}
		holder.observe(store.Item{Key: Key, Value: value, Revision: note.Revision})
	}
	if note.At.Before(holder.observedAt) {
		holder.observedAt = note.At
	}
}

// invalidate invalidates the lease locally and logs the reason.
func (holder *Holder) invalidate(reason string) {
	holder.mu.Lock()
	token := holder.token
	holder.token, holder.validUntil = 0, time.Time{}
	holder.mu.Unlock()
	if token != 0 {
		holder.Log.Write(event.DutyLost, event.Fields{"token": token, "reason": reason})
	}
}

// readRecord reads the record. A stale copy does no harm, since the record is only
// replaced by compare-and-swap on its revision.
func (holder *Holder) readRecord(ctx context.Context) {
	items, err := holder.fetch(ctx)
	if err != nil {
		return
	}
	found := store.Item{Key: Key}
	for _, item := range items {
		if item.Key == Key {
			found = item
		}
	}
	if found.Revision < holder.observed.Revision {
		return
	}
	holder.observe(found)
}

// fetch repeats unanswered reads (store.RangeEarly) until a first read has succeeded:
// a fleet that is starting has no holder, so an unresponsive store must not delay it.
func (holder *Holder) fetch(ctx context.Context) ([]store.Item, error) {
	if holder.observedAt.IsZero() {
		items, _, err := store.RangeEarly(ctx, holder.Store, holder.Clock, Key, true)
		return items, err
	}
	items, _, err := holder.Store.Range(ctx, Key, true)
	return items, err
}

// observe stores an observed record and restarts its expiry if the revision differs.
func (holder *Holder) observe(found store.Item) {
	if !holder.observedAt.IsZero() && found.Revision == holder.observed.Revision {
		return
	}
	holder.observed, holder.observedAt = found, holder.Clock.Now()
	var current record
	if len(found.Value) > 0 && json.Unmarshal(found.Value, &current) != nil {
		return
	}
	holder.mu.Lock()
	holder.knownHolder = current.Holder
	holder.mu.Unlock()
}

// acquireIfFree acquires the lease if it is free, expired or left by an earlier process
// of this VM. It returns the delay until the next step.
func (holder *Holder) acquireIfFree(ctx context.Context) time.Duration {
	if holder.observedAt.IsZero() {
		return firstReadDelay
	}
	var old record
	if holder.observed.Revision != 0 {
		if err := json.Unmarshal(holder.observed.Value, &old); err != nil {
			// A malformed record expires like any other.
			old = record{Holder: "unreadable"}
		}
	}
	isOwn := old.Holder == holder.VM
	expiresAt := holder.observedAt.Add(TTL + clockMargin)
	if old.Holder != "" && !isOwn && holder.Clock.Now().Before(expiresAt) {
		return min(readInterval, max(expiresAt.Sub(holder.Clock.Now()), clockMargin))
	}
	next := record{Holder: holder.VM, Run: holder.Run, Token: old.Token + 1}
	if holder.writeRecord(ctx, next) {
		holder.Log.Write(event.DutyTaken, event.Fields{"token": next.Token})
		return renewInterval
	}
	return readInterval / 2
}

// renew extends the lease under its present fencing token.
func (holder *Holder) renew(ctx context.Context) {
	holder.mu.Lock()
	token := holder.token
	holder.mu.Unlock()
	holder.writeRecord(ctx, record{Holder: holder.VM, Run: holder.Run, Token: token})
}

// writeRecord replaces the record by compare-and-swap. The lease's validity counts from
// before the request is sent, since the store may apply it at any time after that.
func (holder *Holder) writeRecord(ctx context.Context, next record) bool {
	holder.writes++
	next.Beat = holder.writes
	value, err := json.Marshal(next)
	if err != nil {
		return false
	}
	sentAt := holder.Clock.Now()
	item, err := holder.Store.Swap(ctx, Key, value, holder.observed.Revision)
	switch {
	case err == nil:
		holder.observe(item)
		holder.mu.Lock()
		holder.token, holder.validUntil, holder.confirmedRevision = next.Token, sentAt.Add(TTL-clockMargin), item.Revision
		holder.mu.Unlock()
		return true
	case errors.Is(err, store.ErrConflict):
		holder.handleConflict(item)
	}
	return false
}

// handleConflict handles a write that failed because of another revision. The record may
// be the VM's own, from a write whose answer was lost; then the lease is kept and the
// next renewal uses the new revision.
func (holder *Holder) handleConflict(found store.Item) {
	holder.observe(found)
	var current record
	if err := json.Unmarshal(found.Value, &current); err != nil {
		holder.invalidate("unreadable")
		return
	}
	if current.Holder != holder.VM || current.Run != holder.Run {
		holder.invalidate("replaced by " + current.Holder)
	}
}

// release waits for the orders in flight and then clears the holder in the record,
// so that another VM can acquire the lease without waiting for its expiry.
func (holder *Holder) release() {
	holder.mu.Lock()
	holder.isStopping = true
	holder.mu.Unlock()
	holder.inFlight.Wait()
	token, ok := holder.Holds(0)
	if !ok {
		return
	}
	holder.invalidate("released")
	ctx, cancel := context.WithTimeout(context.Background(), TTL/2)
	defer cancel()
	value, err := json.Marshal(record{Token: token})
	if err != nil {
		return
	}
	if _, err := holder.Store.Swap(ctx, Key, value, holder.observed.Revision); err != nil {
		holder.Log.Write(event.StoreFailing, event.Fields{"error": err.Error()})
	}
}
