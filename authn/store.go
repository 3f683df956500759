package authn

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/store"
)

// RecordKey is the store's key of the record of keys.
const RecordKey = "bramley/peerkeys"

// InstallItem installs the keys of the record that was read from the store.
func (ring *Ring) InstallItem(item store.Item) error {
	var record Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return errors.Wrap(err, "decoding the record of keys")
	}
	return ring.Install(record, item.Revision)
}

// ReadOrCreate reads the record of keys from the store, and creates it if there is none. It
// has to be called again after an error: a write whose answer was lost may have been made,
// and only a record that was read or confirmed may be used.
func ReadOrCreate(ctx context.Context, tree store.Tree, clock clock.Clock) (store.Item, error) {
	items, _, err := store.RangeWithRetry(ctx, tree, clock, RecordKey, false)
	if err != nil {
		return store.Item{}, err
	}
	if item := findItem(items); item.Revision > 0 {
		return item, nil
	}
	return write(ctx, tree, NewRecord(time.Now()), 0)
}

// write writes a record in place of that of a revision. If another VM wrote it before, its
// item is returned.
func write(ctx context.Context, tree store.Tree, record Record, revision uint64) (store.Item, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return store.Item{}, err
	}
	item, err := tree.Swap(ctx, RecordKey, value, revision)
	if errors.Is(err, store.ErrConflict) && revision == 0 && item.Revision > 0 {
		return item, nil
	}
	return item, err
}

// findItem returns the item of the record; its revision is 0 if there is none.
func findItem(items []store.Item) store.Item {
	index := slices.IndexFunc(items, func(item store.Item) bool { return item.Key == RecordKey })
	if index < 0 {
		return store.Item{}
	}
	return items[index]
}

// Step is a step of a rotation of the key.
type Step string

// The steps, in their order. Before the next step all VMs must have read the record.
const (
	// AddKey adds a key, which all VMs accept and none uses yet.
	AddKey Step = "add"
	// UseKey makes the newest key the signing one.
	UseKey Step = "use"
	// RemoveKeys removes all keys but the signing one.
	RemoveKeys Step = "remove"
)

// Rotate makes one step of a rotation and returns the numbers of the listed keys and of the
// signing one. A step that was made already changes nothing, so it may be repeated after an
// error.
func Rotate(ctx context.Context, tree store.Tree, step Step) (listed []uint32, signing uint32, err error) {
	items, _, err := tree.Range(ctx, RecordKey, false)
	if err != nil {
		return nil, 0, err
	}
	item := findItem(items)
	if item.Revision == 0 {
		return nil, 0, errors.Newf("the store has no record of keys at %s: the first VM creates it", RecordKey)
	}
	var record Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return nil, 0, errors.Wrap(err, "decoding the record of keys")
	}
	next, err := record.after(step, uint32(time.Now().Unix()))
	if err != nil {
		return nil, 0, err
	}
	if err := next.check(); err != nil {
		return nil, 0, err
	}
	if _, err := write(ctx, tree, next, item.Revision); err != nil {
		return nil, 0, err
	}
	for _, key := range next.Keys {
		listed = append(listed, key.Number)
	}
	return listed, next.Signing, nil
}

// after returns the record after a step. seconds is the time in s, from which the number of
// a new key is made.
func (record Record) after(step Step, seconds uint32) (Record, error) {
	newest := record.Signing
	for _, key := range record.Keys {
		newest = max(newest, key.Number)
	}
	switch step {
	case AddKey:
		if newest == record.Signing {
			record.Keys = append(slices.Clone(record.Keys), newKey(max(seconds, newest+1)))
		}
	case UseKey:
		record.Signing = newest
	case RemoveKeys:
		if newest != record.Signing {
			return Record{}, errors.Newf("key %d is newer than the signing one, %d: use it first", newest, record.Signing)
		}
		for _, key := range record.Keys {
			if key.Number != record.Signing {
				record.RemovedUpTo = max(record.RemovedUpTo, key.Number)
			}
		}
		record.Keys = []Key{*record.find(record.Signing)}
	default:
		return Record{}, errors.Newf("step %q is unknown: it must be %s, %s or %s", step, AddKey, UseKey, RemoveKeys)
	}
	return record, nil
}
