// Package relay replicates the configuration to each VM, from the store or from
// peers, and serves it to other peers.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  17. Each ticket is one key of the store, named by the ticket's number and
//     created once: acceptance is a compare-and-swap on an absent key. A VM
//     applies tickets in order and never reverts to a lower number, whatever a
//     peer or a restarted store returns.
//  19. Without the store a VM gets the configuration from its peers. Only a few
//     VMs per availability zone, the relays, watch the store; the others query
//     peers, so the store's call rate doesn't grow with the fleet.
package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/peer"
	"github.com/bramleydoor/bramleydoor/retry"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/store"
	"github.com/bramleydoor/bramleydoor/ticket"
)

const (
	// maxRecentTickets is the number of tickets that a VM keeps to answer peers with
	// tickets instead of the whole configuration.
	maxRecentTickets = 1000
	// peerQueryWait is the longest time that a peer waits for a newer configuration
	// before it answers a query. It is long, since each query costs the relay bytes;
	// ObserveNumber ends the query early.
	peerQueryWait = 30 * time.Second
	// retryDelay is the pause after a failed call, before jitter.
	retryDelay = 250 * time.Millisecond
	// RelaysPerZone is how many VMs of an availability zone watch the store.
	RelaysPerZone = 2
)

// TicketKey returns the store's key of the ticket with a number. The number has leading
// zeros, so that keys sort in number order.
func TicketKey(number uint64) string { return fmt.Sprintf("ticket/%012d", number) }

// Relay keeps the configuration of one VM up to date. Set the exported fields
// before Run.
type Relay struct {
	Store  store.Store
	Clock  clock.Clock
	Stats  *stats.Stats
	Events *event.Log
	// WatchesStore reports whether this VM watches the store.
	WatchesStore func() bool
	// QueryPeer queries a peer for tickets, and returns the peer's ID with the reply. Each
	// call may choose another peer. It fails if there is none.
	QueryPeer func(ctx context.Context, query peer.TicketQuery) (peer.TicketReply, string, error)
	// WritesSnapshots reports whether this VM writes snapshots; nil means that it doesn't.
	WritesSnapshots func() bool
	// OnChange is called with each configuration that is applied.
	OnChange func(ticket.State)

	mu    sync.Mutex
	state ticket.State
	// recent has the last tickets up to state, without gaps.
	recent []ticket.Ticket
	// changed is closed when state changes.
	changed chan struct{}

	isStoreDown bool
	// cancelQuery cancels the query in flight to a peer.
	cancelQuery context.CancelFunc
}

// ObserveNumber records that a peer has the configuration of a number. If that is newer
// than the VM's, ObserveNumber returns true and cancels the query in flight, so that
// the next one can go to a peer that has it.
func (relay *Relay) ObserveNumber(number uint64) (isNewer bool) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if number <= relay.state.Number {
		return false
	}
	if relay.cancelQuery != nil {
		relay.cancelQuery()
	}
	return true
}

// State returns the current configuration.
func (relay *Relay) State() ticket.State {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	return relay.state
}

// Run applies new configurations until ctx ends, and returns ctx's error.
func (relay *Relay) Run(ctx context.Context) error {
	relay.loadInitial(ctx)
	for ctx.Err() == nil {
		isChanged := false
		if relay.WatchesStore() && !relay.isStoreDown {
			isChanged = relay.watchStore(ctx)
		} else {
			isChanged = relay.queryPeer(ctx)
		}
		if isChanged || ctx.Err() != nil {
			continue
		}
		if relay.isStoreDown {
			relay.probeStore(ctx)
		}
	}
	return ctx.Err()
}

// initialQueryTimeout bounds each query to a peer at the start.
const initialQueryTimeout = time.Second

// loadInitial loads the configuration from a peer, so that a VM that starts doesn't
// call the store, or from the store's snapshot if no peer has one.
func (relay *Relay) loadInitial(ctx context.Context) {
	for range initialQueries {
		queryCtx, cancel := context.WithTimeout(ctx, initialQueryTimeout)
		reply, from, err := relay.QueryPeer(queryCtx, peer.TicketQuery{Wait: initialQueryTimeout / 2})
		cancel()
		if err == nil && relay.applyReply(reply, from) {
			return
		}
		select {
		case <-relay.Clock.After(retry.Jitter(retryDelay)):
		case <-ctx.Done():
			return
		}
	}
	state, err := loadSnapshot(ctx, relay.Store)
	if err != nil {
		relay.recordStoreResult(err)
		return
	}
	if state.Number > 0 {
		relay.install(state)
	}
}

// initialQueries is the number of queries to peers at the start: the first may be made
// before the membership has found a peer.
const initialQueries = 2

// watchStore waits for the next ticket in the store and applies it. It reports whether
// there was one.
func (relay *Relay) watchStore(ctx context.Context) bool {
	next := relay.State().Number + 1
	found, err := relay.Store.Watch(ctx, TicketKey(next), 0)
	if err != nil {
		if ctx.Err() == nil {
			relay.recordStoreResult(err)
		}
		return false
	}
	if found.Version == 0 {
		return false
	}
	relay.applyStored(next, found.Value)
	return true
}

// probeStore checks after a delay whether the store answers again.
func (relay *Relay) probeStore(ctx context.Context) {
	select {
	case <-relay.Clock.After(retry.Jitter(retryDelay)):
	case <-ctx.Done():
		return
	}
	if _, err := relay.Store.Get(ctx, TicketKey(relay.State().Number+1)); err == nil {
		relay.recordStoreResult(nil)
	}
}

// recordStoreResult records the result of a call of the store, and logs when the store
// starts to fail and when it recovers.
func (relay *Relay) recordStoreResult(err error) {
	if err != nil {
		relay.Stats.StoreFailures.Add(1)
	}
	isDown := err != nil
	if isDown == relay.isStoreDown {
		return
	}
	relay.isStoreDown = isDown
	if isDown {
		relay.Events.Write(event.StoreFailing, event.Fields{"error": err.Error()})
		return
	}
	relay.Events.Write(event.StoreRecovered, nil)
}

// queryPeer queries a peer for newer tickets and applies them. It reports whether the
// configuration changed.
func (relay *Relay) queryPeer(ctx context.Context) bool {
	query := peer.TicketQuery{After: relay.State().Number, Wait: peerQueryWait}
	if relay.isStoreDown {
		query.Wait = retryDelay
	}
	queryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	relay.mu.Lock()
	relay.cancelQuery = cancel
	relay.mu.Unlock()
	reply, from, err := relay.QueryPeer(queryCtx, query)
	if err != nil {
		select {
		case <-relay.Clock.After(retry.Jitter(retryDelay)):
		case <-ctx.Done():
		}
		return false
	}
	return relay.applyReply(reply, from)
}

// applyReply applies a peer's reply as far as it is newer than the current
// configuration (rule 17). It reports whether the configuration changed.
func (relay *Relay) applyReply(reply peer.TicketReply, from string) bool {
	before := relay.State().Number
	if reply.State != nil && reply.State.Number > before {
		relay.install(*reply.State)
	}
	for _, next := range reply.Tickets {
		relay.apply(next)
	}
	after := relay.State().Number
	if after > before {
		relay.Events.Write(event.ConfigFromPeer, event.Fields{"peer": from, "number": after})
	}
	return after > before
}

// applyStored applies the ticket stored under the key of a number. An invalid ticket
// uses up its number.
func (relay *Relay) applyStored(number uint64, text []byte) {
	next, err := ticket.Decode(text)
	if err == nil && next.Number != number {
		err = ticket.Problems{{Field: "number", Text: fmt.Sprintf("is %d, but the key is that of ticket %d", next.Number, number)}}
	}
	if err != nil {
		relay.Events.Write(event.ConfigRefused, event.Fields{"number": number, "error": err.Error()})
		next = ticket.Ticket{Number: number, ID: "unreadable"}
	}
	relay.apply(next)
}

// apply applies a ticket if it is the next one. A ticket that conflicts with the
// configuration uses up its number and changes nothing else, so that all VMs reach the
// same configuration.
func (relay *Relay) apply(next ticket.Ticket) {
	relay.mu.Lock()
	if next.Number != relay.state.Number+1 {
		relay.mu.Unlock()
		return
	}
	state, err := relay.state.With(next)
	if err != nil {
		state = relay.state.Skip(next)
	}
	relay.state = state
	relay.recent = append(relay.recent, next)
	if len(relay.recent) > maxRecentTickets {
		relay.recent = relay.recent[len(relay.recent)-maxRecentTickets:]
	}
	relay.notifyChanged()
	relay.mu.Unlock()
	if err != nil {
		relay.Events.Write(event.ConfigRefused, event.Fields{"number": next.Number, "error": err.Error()})
		return
	}
	relay.Events.Write(event.ConfigApplied, event.Fields{"number": state.Number, "ticket": state.ID})
	relay.OnChange(state)
	if state.Number%snapshotInterval == 0 && relay.WritesSnapshots != nil && relay.WritesSnapshots() {
		go relay.save(state)
	}
}

// saveTimeout bounds the writing of a snapshot. It is long, since the rate limit on
// store calls spreads the writes out.
const saveTimeout = time.Minute

func (relay *Relay) save(state ticket.State) {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	if err := saveSnapshot(ctx, relay.Store, state); err != nil && !errors.Is(err, store.ErrConflict) {
		relay.Stats.StoreFailures.Add(1)
	}
}

// install replaces the whole configuration if state is newer.
func (relay *Relay) install(state ticket.State) {
	relay.mu.Lock()
	if state.Number <= relay.state.Number {
		relay.mu.Unlock()
		return
	}
	relay.state, relay.recent = state, nil
	relay.notifyChanged()
	relay.mu.Unlock()
	relay.Events.Write(event.ConfigApplied, event.Fields{"number": state.Number, "ticket": state.ID})
	relay.OnChange(state)
}

// notifyChanged wakes the calls of ServeQuery that wait for a change. The caller holds
// relay.mu.
func (relay *Relay) notifyChanged() {
	if relay.changed != nil {
		close(relay.changed)
	}
	relay.changed = make(chan struct{})
}

// ServeQuery returns the reply to a peer's query. It waits until the configuration is newer
// than the peer's, for at most query.Wait and peerQueryWait; then the reply is empty.
func (relay *Relay) ServeQuery(ctx context.Context, query peer.TicketQuery) peer.TicketReply {
	timeout := relay.Clock.After(min(query.Wait, peerQueryWait))
	for {
		reply, changed := relay.since(query.After)
		if len(reply.Tickets) > 0 || reply.State != nil {
			return reply
		}
		select {
		case <-changed:
		case <-timeout:
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

// since returns the tickets after a number, or the whole configuration if this VM no longer
// has all of them; and the channel that is closed by the next change.
func (relay *Relay) since(after uint64) (peer.TicketReply, <-chan struct{}) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if relay.changed == nil {
		relay.changed = make(chan struct{})
	}
	if relay.state.Number <= after {
		return peer.TicketReply{}, relay.changed
	}
	missing := int(relay.state.Number - after)
	if missing > len(relay.recent) {
		state := relay.state
		return peer.TicketReply{State: &state}, relay.changed
	}
	return peer.TicketReply{Tickets: relay.recent[len(relay.recent)-missing:]}, relay.changed
}
