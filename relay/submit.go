package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/store"
	"github.com/bramleydoor/bramleydoor/ticket"
)

// submitRetryDelay is the pause before a write whose answer was lost is repeated.
const submitRetryDelay = 200 * time.Millisecond

// ConflictError reports that another ticket was accepted under the same number.
type ConflictError struct {
	Accepted ticket.Ticket
	// Overlap lists what both tickets change, as from ticket.Overlap.
	Overlap []string
}

// Error returns the accepted ticket, the overlap, and how to submit again.
func (conflictError *ConflictError) Error() string {
	text := fmt.Sprintf("number %d is already used by ticket %q", conflictError.Accepted.Number, conflictError.Accepted.ID)
	if len(conflictError.Overlap) == 0 {
		return text + ", which changes nothing that this ticket changes: submit it again with the next number"
	}
	return text + ", which also changes " + strings.Join(conflictError.Overlap, ", ") + ": review its changes, then submit again with the next number"
}

// Load reads the configuration from the store. It returns the state after the latest
// snapshot and the tickets that follow it, and those tickets. Tickets that can't be
// applied only use up their numbers, as in Relay.
func Load(ctx context.Context, kv store.Store) (ticket.State, []ticket.Ticket, error) {
	state, err := loadSnapshot(ctx, kv)
	if err != nil {
		return state, nil, err
	}
	var tickets []ticket.Ticket
	for {
		found, err := kv.Get(ctx, TicketKey(state.Number+1))
		if err != nil || found.Version == 0 {
			return state, tickets, err
		}
		next, err := ticket.Decode(found.Value)
		if err != nil {
			next = ticket.Ticket{Number: state.Number + 1, ID: "unreadable"}
		}
		after, err := state.With(next)
		if err != nil {
			after = state.Skip(next)
		}
		state = after
		tickets = append(tickets, next)
	}
}

// Submit writes a ticket to the store, or returns why it was not accepted:
// ticket.Problems, a *ConflictError, ticket.ErrOutOfOrder or an error of the store. It is
// idempotent: for a ticket that was accepted before, it returns nil.
func Submit(ctx context.Context, kv store.Store, next ticket.Ticket) error {
	text, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if _, err := ticket.Decode(text); err != nil {
		return err
	}
	state, _, err := Load(ctx, kv)
	if err != nil {
		return errors.Wrap(err, "nothing was submitted: cannot read the configuration")
	}
	if next.Number <= state.Number {
		return checkAccepted(ctx, kv, next)
	}
	if _, err := state.With(next); err != nil {
		return err
	}
	return create(ctx, kv, next, text)
}

// create creates the ticket's key. It repeats a write whose result is unknown, which
// is safe since the key can be created only once.
func create(ctx context.Context, kv store.Store, next ticket.Ticket, text []byte) error {
	for {
		_, err := kv.Put(ctx, TicketKey(next.Number), text, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrConflict):
			return checkAccepted(ctx, kv, next)
		case errors.Is(err, store.ErrUnavailable):
			return errors.Wrapf(err, "ticket %d was not accepted", next.Number)
		}
		select {
		case <-time.After(submitRetryDelay):
		case <-ctx.Done():
			return errors.Wrapf(err, "cannot confirm whether ticket %d was accepted; submit it again to find out", next.Number)
		}
	}
}

// checkAccepted returns nil if the submitted ticket is the one accepted under its
// number.
func checkAccepted(ctx context.Context, kv store.Store, next ticket.Ticket) error {
	found, err := kv.Get(ctx, TicketKey(next.Number))
	if err != nil {
		return errors.Wrapf(err, "cannot confirm whether ticket %d was accepted; submit it again to find out", next.Number)
	}
	winner, err := ticket.Decode(found.Value)
	if err != nil {
		return err
	}
	return compareIDs(next, winner)
}

// compareIDs returns nil if the accepted ticket has the ID of the submitted one, and a
// *ConflictError otherwise (rule 17).
func compareIDs(next, accepted ticket.Ticket) error {
	if accepted.ID == next.ID {
		return nil
	}
	return &ConflictError{Accepted: accepted, Overlap: ticket.Overlap(next, accepted)}
}
