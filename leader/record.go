package leader

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

// record is the JSON value stored under Key.
type record struct {
	Leader string `json:"holder"`
	// Run identifies the process, so that a restarted VM does not take the record
	// of its previous process for a valid lease of its own.
	Run   uint64 `json:"run"`
	Token uint64 `json:"token"`
	// Beat is increased by each write of a process, so every renewal changes the value.
	Beat uint64 `json:"beat"`
	// Sets is the number of sets by which the leader claims groups; absent for one.
	Sets int `json:"sets,omitempty"`
	// Before bounds the tokens with which leaders of the set have claimed groups by another number
	// of sets than Sets. In records of earlier versions it is absent, and Token is the bound.
	Before *uint64 `json:"before,omitempty"`
	// Orders has the orders that may still take effect, by group.
	Orders map[string]Order `json:"orders,omitempty"`
	// Groups has the states of the groups, also of those that no longer belong to the set. It is
	// absent in records of versions that don't have it, and nothing is known of the groups then.
	Groups map[string]GroupState `json:"groups"`
}

// nextRecord returns the record for the next write under a token, without the claim of groups.
// elector.mu must be held.
func (elector *Elector) nextRecord(token uint64) record {
	elector.writing = elector.version
	return record{
		Leader: elector.VM, Run: elector.Process, Token: token,
		Orders: maps.Clone(elector.unsettled), Groups: maps.Clone(elector.groups),
	}
}

// formerToken bounds the tokens with which leaders of the record's set may have acted on groups
// that belong to other sets by the given number of sets.
func (record record) formerToken(sets int) uint64 {
	if record.Before == nil || max(record.Sets, 1) != sets {
		return record.Token
	}
	return *record.Before
}

// claiming returns the record with the number of sets by which its leader claims groups. former
// is the set's record that it replaces.
func (record record) claiming(sets int, former record) record {
	if sets == 1 {
		return record
	}
	before := former.formerToken(sets)
	record.Sets, record.Before = sets, &before
	return record
}

// invalidate invalidates the lease locally and logs the reason.
func (elector *Elector) invalidate(reason string) {
	elector.mu.Lock()
	token := elector.token
	elector.token, elector.validUntil, elector.grant = 0, time.Time{}, nil
	elector.renewed.notify()
	elector.mu.Unlock()
	if token != 0 {
		elector.Log.Write(event.LeadershipLost, elector.fields(event.Fields{"token": token, "reason": reason}))
	}
}

// readRecord reads the record. A stale copy does no harm, since the record is only
// replaced by compare-and-swap on its revision.
func (elector *Elector) readRecord(ctx context.Context) {
	items, err := elector.fetch(ctx)
	if err != nil {
		return
	}
	elector.observeItems(items)
}

// observeItems observes the record among items that were read, unless a newer one is known.
func (elector *Elector) observeItems(items []store.Item) {
	found := store.Item{Key: keyOf(elector.Set)}
	for _, item := range items {
		if item.Key == found.Key {
			found = item
		}
	}
	if found.Revision < elector.observed.Revision {
		return
	}
	elector.observe(found)
}

// fetch repeats unanswered reads (store.RangeWithRetry) until a first read has succeeded:
// a fleet that is starting has no leader, so an unresponsive store must not delay it.
func (elector *Elector) fetch(ctx context.Context) ([]store.Item, error) {
	if elector.observedAt.IsZero() {
		items, _, err := store.RangeWithRetry(ctx, elector.Store, elector.Clock, keyOf(elector.Set), true)
		return items, err
	}
	items, _, err := elector.Store.Range(ctx, keyOf(elector.Set), true)
	return items, err
}

// observe stores an observed record and restarts its expiry if the revision differs.
func (elector *Elector) observe(found store.Item) {
	if !elector.observedAt.IsZero() && found.Revision == elector.observed.Revision {
		// A read has more than the heartbeat from which the revision may be known.
		elector.observed, elector.isPartial = found, false
		return
	}
	elector.observed, elector.observedAt, elector.isPartial = found, elector.Clock.Now(), false
	var current record
	if len(found.Value) > 0 && json.Unmarshal(found.Value, &current) != nil {
		return
	}
	elector.mu.Lock()
	defer elector.mu.Unlock()
	elector.setKnownLeader(current.Leader, found.Revision)
}

// setKnownLeader sets the leader by a revision of the record unless a newer one is known.
// elector.mu must be held.
func (elector *Elector) setKnownLeader(leader string, revision uint64) {
	if revision >= elector.knownRevision {
		elector.knownLeader, elector.knownRevision = leader, revision
	}
}

// renew extends the lease and reports whether that was confirmed. The fencing token stays
// unless another set's is higher.
func (elector *Elector) renew(ctx context.Context) bool {
	sets, next, former := elector.beginClaim()
	return elector.writeRecord(ctx, next.claiming(sets, former))
}

// writeRecord replaces the record by compare-and-swap. The lease's validity counts from
// before the first try is sent, since the store may apply it at any time after that. The
// number of the write makes the value unique.
func (elector *Elector) writeRecord(ctx context.Context, next record) bool {
	elector.writes++
	next.Beat = elector.writes
	value, err := json.Marshal(next)
	if err != nil {
		return false
	}
	sentAt := elector.Clock.Now()
	item, err := store.SwapWithRetry(ctx, elector.Store, elector.Clock, keyOf(elector.Set), value, elector.observed.Revision)
	switch {
	case err == nil:
		elector.observe(item)
		elector.extend(next, item.Revision, sentAt)
		return true
	case errors.Is(err, store.ErrConflict):
		elector.handleConflict(item)
	}
	return false
}

// handleConflict handles a write that failed because of another revision. The record may
// be the VM's own, from a write whose answer was lost; then the lease is kept and the
// next renewal uses the new revision.
func (elector *Elector) handleConflict(found store.Item) {
	elector.observe(found)
	var current record
	if err := json.Unmarshal(found.Value, &current); err != nil {
		elector.invalidate("unreadable")
		return
	}
	if current.Leader != elector.VM || current.Run != elector.Process {
		elector.invalidate("replaced by " + current.Leader)
	}
}

// release clears the leader in the record, so that another VM can acquire the lease without
// waiting for its expiry. No order may be in flight.
func (elector *Elector) release() {
	token, ok := elector.Holds(0)
	if !ok {
		return
	}
	elector.mu.Lock()
	released := elector.nextRecord(token)
	released.Leader, released.Run, released.Sets, released.Before = "", 0, elector.confirmed.Sets, elector.confirmed.Before
	elector.mu.Unlock()
	elector.invalidate("released")
	ctx, cancel := context.WithTimeout(context.Background(), TTL/2)
	defer cancel()
	value, err := json.Marshal(released)
	if err != nil {
		return
	}
	item, err := elector.Store.Swap(ctx, keyOf(elector.Set), value, elector.observed.Revision)
	if err != nil {
		elector.Log.Write(event.StoreFailing, event.Fields{"error": err.Error()})
		return
	}
	elector.observe(item)
}
