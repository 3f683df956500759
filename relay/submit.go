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

// submitPause is the pause between attempts while the store's answers are lost.
const submitPause = 200 * time.Millisecond

// RaceError says that another ticket took the number first.
type RaceError struct {
	Winner ticket.Ticket
	// Overlap are the things that both tickets touch.
	Overlap []string
}

// Error says what the operator has to look at.
func (e *RaceError) Error() string {
	text := fmt.Sprintf("ticket %d was taken by %q", e.Winner.Number, e.Winner.ID)
	if len(e.Overlap) == 0 {
		return text + ", which touches nothing of yours: submit again with the next number"
	}
	return text + ", which also touches " + strings.Join(e.Overlap, ", ") + ": look at what changed, then submit with the next number"
}

// Load reads the configuration from the store: the latest snapshot and the
// tickets after it, which it returns as well.
func Load(ctx context.Context, kv store.Store) (ticket.State, []ticket.Ticket, error) {
	state, err := loadSnapshot(ctx, kv)
	if err != nil {
		return state, nil, err
	}
	var tickets []ticket.Ticket
	for {
		found, err := kv.Get(ctx, Key(state.Number+1))
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

// Submit has a ticket accepted, or says why not. It may be called again with the
// same ticket: one that was accepted before is accepted still.
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
		return errors.Wrap(err, "nothing was submitted")
	}
	if next.Number <= state.Number {
		return settle(ctx, kv, next)
	}
	if _, err := state.With(next); err != nil {
		return err
	}
	return create(ctx, kv, next, text)
}

// create makes the ticket's key. An uncertain answer is settled by asking
// again: the key can only be created once.
func create(ctx context.Context, kv store.Store, next ticket.Ticket, text []byte) error {
	for {
		_, err := kv.Put(ctx, Key(next.Number), text, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrConflict):
			return settle(ctx, kv, next)
		case errors.Is(err, store.ErrUnavailable):
			return errors.Wrapf(err, "ticket %d was not accepted", next.Number)
		}
		select {
		case <-time.After(submitPause):
		case <-ctx.Done():
			return errors.Wrapf(err, "whether ticket %d was accepted is not known; submit it again to find out", next.Number)
		}
	}
}

func settle(ctx context.Context, kv store.Store, next ticket.Ticket) error {
	found, err := kv.Get(ctx, Key(next.Number))
	if err != nil {
		return errors.Wrapf(err, "whether ticket %d was accepted is not known; submit it again to find out", next.Number)
	}
	winner, err := ticket.Decode(found.Value)
	if err != nil {
		return err
	}
	return compare(next, winner)
}

// compare returns nil if the accepted ticket is the submitted one (rule 17).
func compare(next, accepted ticket.Ticket) error {
	if accepted.ID == next.ID {
		return nil
	}
	return &RaceError{Winner: accepted, Overlap: ticket.Overlap(next, accepted)}
}
