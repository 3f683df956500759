package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/store"
	"github.com/bramleydoor/bramleydoor/ticket"
)

// A snapshot is the configuration after a ticket, divided into parts that fit the size
// limit of a value in the store. It lets a VM that has no peers start without reading
// every ticket since the first. The parts are written before the head that refers to
// them, so that the parts of a stored head are always complete.
const (
	snapshotKey = "snapshot"
	// snapshotInterval is the number of tickets between snapshots.
	snapshotInterval = 200
	// groupsPerPart bounds the groups in a part, so that a part fits the size limit. A
	// group usually has a few hundred bytes; at most it has ticket.MaxSlots slots with
	// names of ticket.MaxNameBytes each.
	groupsPerPart = 150
)

// snapshotHead refers to the parts of the latest snapshot.
type snapshotHead struct {
	Number uint64 `json:"number"`
	Parts  int    `json:"parts"`
}

func partKey(number uint64, part int) string {
	return fmt.Sprintf("%s/%012d/%04d", snapshotKey, number, part)
}

// splitState divides a state into parts. The first part has everything but the groups.
func splitState(state ticket.State) []ticket.State {
	first := state
	first.Groups = nil
	parts := []ticket.State{first}
	for names := range slices.Chunk(state.GroupNames(), groupsPerPart) {
		part := ticket.State{Number: state.Number, Groups: make(map[string]ticket.Group)}
		for _, name := range names {
			part.Groups[name] = state.Groups[name]
		}
		parts = append(parts, part)
	}
	return parts
}

// saveSnapshot writes a snapshot of state, unless the store has that one or a later one.
// The error is store.ErrConflict if another VM wrote a head at the same time.
func saveSnapshot(ctx context.Context, kv store.Store, state ticket.State) error {
	stored, version, err := loadHead(ctx, kv)
	if err != nil || stored.Number >= state.Number {
		return err
	}
	parts := splitState(state)
	for i, part := range parts {
		if err := savePart(ctx, kv, partKey(state.Number, i), part); err != nil {
			return err
		}
	}
	head, err := json.Marshal(snapshotHead{Number: state.Number, Parts: len(parts)})
	if err != nil {
		return err
	}
	_, err = kv.Put(ctx, snapshotKey, head, version)
	return err
}

func savePart(ctx context.Context, kv store.Store, key string, part ticket.State) error {
	text, err := json.Marshal(part)
	if err != nil {
		return err
	}
	_, err = kv.Put(ctx, key, text, 0)
	if errors.Is(err, store.ErrConflict) {
		// Another VM has written the same part of the same configuration.
		return nil
	}
	return err
}

// loadHead reads the head and its version in the store; both are zero without a snapshot.
func loadHead(ctx context.Context, kv store.Store) (snapshotHead, uint64, error) {
	var head snapshotHead
	found, err := kv.Get(ctx, snapshotKey)
	if err != nil || found.Version == 0 {
		return head, found.Version, err
	}
	err = json.Unmarshal(found.Value, &head)
	return head, found.Version, err
}

// loadSnapshot reads the latest snapshot. The state is empty if there is none.
func loadSnapshot(ctx context.Context, kv store.Store) (ticket.State, error) {
	head, _, err := loadHead(ctx, kv)
	if err != nil || head.Number == 0 {
		return ticket.State{}, err
	}
	var state ticket.State
	for i := range head.Parts {
		found, err := kv.Get(ctx, partKey(head.Number, i))
		if err != nil {
			return ticket.State{}, err
		}
		var part ticket.State
		if err := json.Unmarshal(found.Value, &part); err != nil {
			return ticket.State{}, errors.Wrapf(err, "cannot decode part %d of snapshot %d", i, head.Number)
		}
		if i == 0 {
			state = part
			state.Groups = make(map[string]ticket.Group)
		}
		maps.Copy(state.Groups, part.Groups)
	}
	return state, nil
}
