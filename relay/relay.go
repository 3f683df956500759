// Package relay brings the configuration to a VM, keeps it, and passes it on.
//
// Rules:
//
//  17. Tickets are keys of the store, one per number, created once: acceptance
//     is one compare-and-swap on an absent key. A VM applies them in order and
//     never goes back, whatever a peer or a restarted store says.
//  19. Without the store a VM learns the configuration from its peers. Only a
//     few VMs per availability zone watch the store; the others hear from them,
//     so the store's call rate doesn't grow with the fleet.
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
	// keptTickets is how many tickets a VM can pass on as differences.
	keptTickets = 1000
	// peerWait is how long a question to a peer may wait for news. It is long,
	// since each question costs the relay bytes; Hint ends it early.
	peerWait = 30 * time.Second
	// failPause is the pause after a failed call.
	failPause = 250 * time.Millisecond
	// PerZone is how many VMs of an availability zone watch the store.
	PerZone = 2
)

// Key returns the store's key of a ticket. The number has leading zeros, so
// that keys sort like numbers.
func Key(number uint64) string { return fmt.Sprintf("ticket/%012d", number) }

// Relay is a duty. Set the exported fields before Run.
type Relay struct {
	Store  store.Store
	Clock  clock.Clock
	Stats  *stats.Stats
	Events *event.Log
	// IsRelay reports whether this VM watches the store.
	IsRelay func() bool
	// Ask asks a peer for tickets; each call may choose another peer. It fails
	// if there is none.
	Ask func(ctx context.Context, query peer.TicketQuery) (peer.TicketReply, string, error)
	// IsWriter reports whether this VM writes snapshots; nil is false.
	IsWriter func() bool
	// OnState is called with each configuration that comes into force.
	OnState func(ticket.State)

	mu      sync.Mutex
	state   ticket.State
	recent  []ticket.Ticket
	changed chan struct{}

	isStoreDown bool
	// stopAsking ends the question to a peer that waits now.
	stopAsking context.CancelFunc
}

// Hint says that a peer has a configuration of a number. If that is news, the
// question that waits elsewhere is given up.
func (relay *Relay) Hint(number uint64) (isNews bool) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if number <= relay.state.Number {
		return false
	}
	if relay.stopAsking != nil {
		relay.stopAsking()
	}
	return true
}

// State returns the configuration in force.
func (relay *Relay) State() ticket.State {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	return relay.state
}

// Run follows the configuration until ctx ends.
func (relay *Relay) Run(ctx context.Context) error {
	relay.begin(ctx)
	for ctx.Err() == nil {
		isNews := false
		if relay.IsRelay() && !relay.isStoreDown {
			isNews = relay.fromStore(ctx)
		} else {
			isNews = relay.fromPeer(ctx)
		}
		if isNews || ctx.Err() != nil {
			continue
		}
		if relay.isStoreDown {
			relay.probeStore(ctx)
		}
	}
	return ctx.Err()
}

// beginWait bounds the first question to a peer.
const beginWait = time.Second

// begin takes the configuration from a peer, so that a VM that starts doesn't
// call the store, or from the store's snapshot if there is no peer.
func (relay *Relay) begin(ctx context.Context) {
	for range beginTries {
		askCtx, cancel := context.WithTimeout(ctx, beginWait)
		reply, from, err := relay.Ask(askCtx, peer.TicketQuery{Wait: beginWait / 2})
		cancel()
		if err == nil && relay.take(reply, from) {
			return
		}
		select {
		case <-relay.Clock.After(retry.Jitter(failPause)):
		case <-ctx.Done():
			return
		}
	}
	state, err := loadSnapshot(ctx, relay.Store)
	if err != nil {
		relay.noteStore(err)
		return
	}
	if state.Number > 0 {
		relay.install(state)
	}
}

// beginTries gives membership the time to find a peer.
const beginTries = 2

// fromStore waits for the next ticket in the store.
func (relay *Relay) fromStore(ctx context.Context) bool {
	next := relay.State().Number + 1
	found, err := relay.Store.Watch(ctx, Key(next), 0)
	if err != nil {
		if ctx.Err() == nil {
			relay.noteStore(err)
		}
		return false
	}
	if found.Version == 0 {
		return false
	}
	relay.applyText(next, found.Value)
	return true
}

// probeStore looks whether the store is back.
func (relay *Relay) probeStore(ctx context.Context) {
	select {
	case <-relay.Clock.After(retry.Jitter(failPause)):
	case <-ctx.Done():
		return
	}
	if _, err := relay.Store.Get(ctx, Key(relay.State().Number+1)); err == nil {
		relay.noteStore(nil)
	}
}

func (relay *Relay) noteStore(err error) {
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
	relay.Events.Write(event.StoreBack, nil)
}

// fromPeer asks a peer for news.
func (relay *Relay) fromPeer(ctx context.Context) bool {
	query := peer.TicketQuery{After: relay.State().Number, Wait: peerWait}
	if relay.isStoreDown {
		query.Wait = failPause
	}
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	relay.mu.Lock()
	relay.stopAsking = cancel
	relay.mu.Unlock()
	reply, from, err := relay.Ask(askCtx, query)
	if err != nil {
		select {
		case <-relay.Clock.After(retry.Jitter(failPause)):
		case <-ctx.Done():
		}
		return false
	}
	return relay.take(reply, from)
}

// take installs what a peer sent, if it is newer (rule 17).
func (relay *Relay) take(reply peer.TicketReply, from string) bool {
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

func (relay *Relay) applyText(number uint64, text []byte) {
	next, err := ticket.Decode(text)
	if err == nil && next.Number != number {
		err = ticket.Problems{{Field: "number", Text: fmt.Sprintf("is %d under the key of %d", next.Number, number)}}
	}
	if err != nil {
		relay.Events.Write(event.ConfigRefused, event.Fields{"number": number, "error": err.Error()})
		next = ticket.Ticket{Number: number, ID: "unreadable"}
	}
	relay.apply(next)
}

// apply puts a ticket in force. One that does not fit the configuration uses up
// its number and changes nothing, on each VM alike.
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
	if len(relay.recent) > keptTickets {
		relay.recent = relay.recent[len(relay.recent)-keptTickets:]
	}
	relay.wake()
	relay.mu.Unlock()
	if err != nil {
		relay.Events.Write(event.ConfigRefused, event.Fields{"number": next.Number, "error": err.Error()})
		return
	}
	relay.Events.Write(event.ConfigApplied, event.Fields{"number": state.Number, "ticket": state.ID})
	relay.OnState(state)
	if state.Number%snapshotEvery == 0 && relay.IsWriter != nil && relay.IsWriter() {
		go relay.save(state)
	}
}

// saveTimeout bounds the writing of a snapshot, which the budget of store calls
// spreads out.
const saveTimeout = time.Minute

func (relay *Relay) save(state ticket.State) {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	if err := saveSnapshot(ctx, relay.Store, state); err != nil && !errors.Is(err, store.ErrConflict) {
		relay.Stats.StoreFailures.Add(1)
	}
}

func (relay *Relay) install(state ticket.State) {
	relay.mu.Lock()
	if state.Number <= relay.state.Number {
		relay.mu.Unlock()
		return
	}
	relay.state, relay.recent = state, nil
	relay.wake()
	relay.mu.Unlock()
	relay.Events.Write(event.ConfigApplied, event.Fields{"number": state.Number, "ticket": state.ID})
	relay.OnState(state)
}

func (relay *Relay) wake() {
	if relay.changed != nil {
		close(relay.changed)
	}
	relay.changed = make(chan struct{})
}

// Answer answers a peer's question.
func (relay *Relay) Answer(ctx context.Context, query peer.TicketQuery) peer.TicketReply {
	timeout := relay.Clock.After(min(query.Wait, peerWait))
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
