package leader

import (
	"context"
	"maps"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// Order is an order to promote a database that may still take effect.
type Order struct {
	// Member is the database that the order names, Term the term that it begins.
	Member string `json:"member"`
	Term   uint64 `json:"term"`
	// IsRepeated is set once the term has begun although a call had no answer: that call may
	// still take effect, and then begins another term.
	IsRepeated bool `json:"isRepeated,omitempty"`
	// Complete is what the database had received when it was found to have all acknowledged commits,
	// where replication is synchronous; zero if it was not found so before the order was recorded.
	Complete posn.Position `json:"complete,omitzero"`
}

// RecordOrder writes an order for a group into the record, and reports whether that was
// confirmed before ctx ended. An order may be sent only after that: if this VM fails, its
// successor finds the order in the record.
func (elector *Elector) RecordOrder(ctx context.Context, group string, order Order) bool {
	elector.mu.Lock()
	token := elector.token
	elector.unsettled[group] = order
	elector.version++
	version := elector.version
	elector.wakeLocked()
	elector.mu.Unlock()
	for {
		renewed := elector.renewed.wait()
		elector.mu.Lock()
		isLeader := elector.token != 0 && elector.token == token
		isRecorded := elector.recorded >= version
		elector.mu.Unlock()
		if !isLeader || isRecorded {
			return isLeader
		}
		select {
		case <-ctx.Done():
			return false
		case <-renewed:
		}
	}
}

// SettleOrder records that the order for a group has taken effect, or can't any more. With
// isRepeated, a call without an answer may still take effect later. The next renewal writes
// that.
func (elector *Elector) SettleOrder(group string, isRepeated bool) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	order, ok := elector.unsettled[group]
	if !ok {
		return
	}
	elector.version++
	if !isRepeated {
		delete(elector.unsettled, group)
		return
	}
	order.IsRepeated = true
	elector.unsettled[group] = order
}

// RetainOrders drops the orders for groups that no longer exist by a configuration that was the
// newest at a time. It does nothing if this VM has become the leader since: its predecessor may have
// had a newer configuration, with more groups.
func (elector *Elector) RetainOrders(exists func(group string) bool, asOf time.Time) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if !asOf.After(elector.takenAt) {
		return
	}
	maps.DeleteFunc(elector.unsettled, func(group string, _ Order) bool { return !exists(group) })
}

// Order returns the order for a group that may still take effect, if this VM is the leader.
func (elector *Elector) Order(group string) (Order, bool) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if !elector.Clock.Now().Before(elector.validUntil) {
		return Order{}, false
	}
	order, ok := elector.unsettled[group]
	return order, ok
}

// hasOrderBeyond reports whether an order is in flight or unsettled for a group that isn't in
// this set by a number of sets. elector.mu must be held.
func (elector *Elector) hasOrderBeyond(sets int) bool {
	for group := range elector.orders {
		if SetOf(group, sets) != elector.Set {
			return true
		}
	}
	for group, order := range elector.unsettled {
		if !order.IsRepeated && SetOf(group, sets) != elector.Set {
			return true
		}
	}
	return false
}

// readWhole reads the record of which only a heartbeat is known, and returns the delay until
// the next step.
func (elector *Elector) readWhole(ctx context.Context) time.Duration {
	items, _, err := elector.Store.Range(ctx, keyOf(elector.Set), false)
	if err != nil {
		return renewRetryDelay
	}
	elector.observeItems(items)
	return conflictDelay
}
