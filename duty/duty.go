// Package duty lets one VM at a time hold a duty, by a record in the platform's
// store. The record is a plain key that its holder rewrites; nothing depends on
// the store's own leases, which may be taken away unseen.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  9. A holder counts on its record only for TTL from the moment it sent the
//     last rewrite that was confirmed. Another VM replaces a record that it has
//     seen unchanged for longer than TTL. Both go by clocks that count
//     suspensions, so two VMs never count on the duty at once.
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
	// TTL is how long a record lasts.
	TTL = 3 * time.Second
	// renewEvery leaves room for two rewrites that fail.
	renewEvery = TTL / 3
	// margin covers clocks that run at other rates.
	margin = 100 * time.Millisecond
	// lookEvery is how often a VM without the duty reads the record.
	lookEvery = 1 * time.Second
	// heardFor is how long the holder must be silent for others to read.
	heardFor = 700 * time.Millisecond
	// firstLook is the pause before a VM that has just started reads again.
	firstLook = 150 * time.Millisecond
	// Key is the record's name in the store.
	Key = "bramley/duty/promote"
)

// record is the value of the key.
type record struct {
	Holder string `json:"holder"`
	// Run tells the runs of a VM's process apart.
	Run   uint64 `json:"run"`
	Token uint64 `json:"token"`
	// Beat differs in each rewrite.
	Beat uint64 `json:"beat"`
}

// Holder takes and keeps the duty for one VM. Set the exported fields before
// Run.
type Holder struct {
	Store store.Tree
	Clock clock.Clock
	Log   *event.Log
	// VM is the name under which the duty is held, Run one of this process.
	VM  string
	Run uint64
	// HeardAt is when the duty's holder was last heard; while it is, nobody else
	// reads the record.
	HeardAt func() time.Time

	// orders counts the orders that are on their way.
	orders sync.WaitGroup

	mu    sync.Mutex
	until time.Time
	token uint64
	// isLeaving says that no order is begun any more.
	isLeaving bool
	// confirmed is the revision of the last rewrite.
	confirmed uint64
	noted     Note
	known     string
	seen      store.Item
	seenAt    time.Time
	beat      uint64
}

// Holds returns the fencing token if the VM holds the duty now and for at
// least as long as need.
func (holder *Holder) Holds(need time.Duration) (uint64, bool) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	if !holder.Clock.Now().Add(need).Before(holder.until) {
		return 0, false
	}
	return holder.token, true
}

// Begin begins an order that takes at most need: until end is called, the duty is
// not given up, so that a later holder's order can't overtake this one.
func (holder *Holder) Begin(need time.Duration) (token uint64, end func(), ok bool) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	if holder.isLeaving || !holder.Clock.Now().Add(need).Before(holder.until) {
		return 0, nil, false
	}
	holder.orders.Add(1)
	return holder.token, holder.orders.Done, true
}

// Holder returns the VM that holds the duty, as far as known.
func (holder *Holder) Holder() string {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	return holder.known
}

// Serve takes the duty when it is free, and renews it, until ctx ends; then it
// gives it up.
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

func (holder *Holder) step(ctx context.Context) time.Duration {
	if _, ok := holder.Holds(0); ok {
		holder.renew(ctx)
		return renewEvery
	}
	holder.lost("lapsed")
	if holder.Clock.Now().Sub(holder.HeardAt()) < heardFor {
		return heardFor / 2
	}
	holder.takeNote()
	holder.look(ctx)
	return holder.takeIfFree(ctx)
}

// Note is what the holder itself tells of its record.
type Note struct {
	Holder   string
	Token    uint64
	Revision uint64
	// At is a time at which, or before which, the holder sent it.
	At time.Time
}

// Told returns the note of a VM that holds the duty, with the age of its record.
func (holder *Holder) Told() (revision uint64, age time.Duration) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	return holder.confirmed, holder.Clock.Now().Sub(holder.until.Add(margin - TTL))
}

// Heard takes a holder's note: its record lapses TTL after it was sent.
func (holder *Holder) Heard(note Note) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	holder.noted = note
}

// takeNote goes by the holder's last note if that is newer than what was read.
func (holder *Holder) takeNote() {
	holder.mu.Lock()
	note := holder.noted
	holder.mu.Unlock()
	if note.Revision == 0 || note.Revision < holder.seen.Revision {
		return
	}
	if note.Revision > holder.seen.Revision {
		value, err := json.Marshal(record{Holder: note.Holder, Token: note.Token})
		if err != nil {
			holder.Log.Write(event.DutyEnded, event.Fields{"error": err.Error()})
			return
		}
		holder.saw(store.Item{Key: Key, Value: value, Revision: note.Revision})
	}
	if note.At.Before(holder.seenAt) {
		holder.seenAt = note.At
	}
}

func (holder *Holder) lost(reason string) {
	holder.mu.Lock()
	token := holder.token
	holder.token, holder.until = 0, time.Time{}
	holder.mu.Unlock()
	if token != 0 {
		holder.Log.Write(event.DutyLost, event.Fields{"token": token, "reason": reason})
	}
}

// look reads the record; a copy that is seconds old does no harm, since it is
// replaced only at its revision.
func (holder *Holder) look(ctx context.Context) {
	items, err := holder.read(ctx)
	if err != nil {
		return
	}
	found := store.Item{Key: Key}
	for _, item := range items {
		if item.Key == Key {
			found = item
		}
	}
	if found.Revision < holder.seen.Revision {
		return
	}
	holder.saw(found)
}

// read has no patience for a silent store while no record was ever seen: a fleet
// that starts has no holder.
func (holder *Holder) read(ctx context.Context) ([]store.Item, error) {
	if holder.seenAt.IsZero() {
		items, _, err := store.RangeEarly(ctx, holder.Store, holder.Clock, Key, true)
		return items, err
	}
	items, _, err := holder.Store.Range(ctx, Key, true)
	return items, err
}

func (holder *Holder) saw(found store.Item) {
	if !holder.seenAt.IsZero() && found.Revision == holder.seen.Revision {
		return
	}
	holder.seen, holder.seenAt = found, holder.Clock.Now()
	var current record
	if len(found.Value) > 0 && json.Unmarshal(found.Value, &current) != nil {
		return
	}
	holder.mu.Lock()
	holder.known = current.Holder
	holder.mu.Unlock()
}

// takeIfFree replaces a record that is free, and returns when to look again.
func (holder *Holder) takeIfFree(ctx context.Context) time.Duration {
	if holder.seenAt.IsZero() {
		return firstLook
	}
	var old record
	if holder.seen.Revision != 0 {
		if err := json.Unmarshal(holder.seen.Value, &old); err != nil {
			// A record that can't be read lapses like any other.
			old = record{Holder: "unreadable"}
		}
	}
	isOurs := old.Holder == holder.VM
	lapses := holder.seenAt.Add(TTL + margin)
	if old.Holder != "" && !isOurs && holder.Clock.Now().Before(lapses) {
		return min(lookEvery, max(lapses.Sub(holder.Clock.Now()), margin))
	}
	next := record{Holder: holder.VM, Run: holder.Run, Token: old.Token + 1}
	if holder.write(ctx, next) {
		holder.Log.Write(event.DutyTaken, event.Fields{"token": next.Token})
		return renewEvery
	}
	return lookEvery / 2
}

func (holder *Holder) renew(ctx context.Context) {
	holder.mu.Lock()
	token := holder.token
	holder.mu.Unlock()
	holder.write(ctx, record{Holder: holder.VM, Run: holder.Run, Token: token})
}

// write swaps the record and counts on it from the moment before.
func (holder *Holder) write(ctx context.Context, next record) bool {
	holder.beat++
	next.Beat = holder.beat
	value, err := json.Marshal(next)
	if err != nil {
		return false
	}
	sent := holder.Clock.Now()
	item, err := holder.Store.Swap(ctx, Key, value, holder.seen.Revision)
	switch {
	case err == nil:
		holder.saw(item)
		holder.mu.Lock()
		holder.token, holder.until, holder.confirmed = next.Token, sent.Add(TTL-margin), item.Revision
		holder.mu.Unlock()
		return true
	case errors.Is(err, store.ErrConflict):
		holder.conflict(item)
	}
	return false
}

// conflict looks at the record that stood in the way. It may be the VM's own, of
// a rewrite whose answer was lost; then the next rewrite goes on from there.
func (holder *Holder) conflict(found store.Item) {
	holder.saw(found)
	var current record
	if err := json.Unmarshal(found.Value, &current); err != nil {
		holder.lost("unreadable")
		return
	}
	if current.Holder != holder.VM || current.Run != holder.Run {
		holder.lost("replaced by " + current.Holder)
	}
}

// release gives the duty up so that another VM takes it at once.
func (holder *Holder) release() {
	holder.mu.Lock()
	holder.isLeaving = true
	holder.mu.Unlock()
	holder.orders.Wait()
	token, ok := holder.Holds(0)
	if !ok {
		return
	}
	holder.lost("released")
	ctx, cancel := context.WithTimeout(context.Background(), TTL/2)
	defer cancel()
	value, err := json.Marshal(record{Token: token})
	if err != nil {
		return
	}
	if _, err := holder.Store.Swap(ctx, Key, value, holder.seen.Revision); err != nil {
		holder.Log.Write(event.StoreFailing, event.Fields{"error": err.Error()})
	}
}
