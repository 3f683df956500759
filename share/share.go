// Package share divides the connection limits of database groups among VMs. It
// is pure: views, peers' words and time in, shares out.
//
// Rules:
//
//  16. The limit of a group is never exceeded, also while shares move. Views of
//     the VMs that share are numbered and follow each other by compare-and-swap
//     in the store. A VM that gives up connections closes them first. A VM that
//     gains some waits until each VM of the view before has closed its excess,
//     or can't have a valid view any more.
//
// A VM uses its share only while its view is confirmed: within Lapse, the store
// or a majority of the view's VMs said that it is the latest they know. Once a
// majority has moved on, a VM that heard nothing of it is unconfirmed after
// Lapse at the latest, and has closed its connections after another Closing.
package share

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/quorum"
)

// Timing of shares.
const (
	// Lapse is how long a confirmation of the view holds.
	Lapse = 1500 * time.Millisecond
	// Closing is how long a VM may take to close connections after its view has
	// lapsed. It covers the bounded drift between clocks over Lapse as well.
	Closing = 500 * time.Millisecond
)

// View is the set of VMs that share the limits.
type View struct {
	Epoch uint64   `json:"epoch"`
	VMs   []string `json:"vms"`
	// Prior are the VMs of the epoch before.
	Prior []string `json:"prior,omitempty"`
}

// Split returns the part of limit that vm has in a group. The remainder goes to
// the VMs that rank first for the group, so that it is spread over groups.
func Split(vms []string, vm, group string, limit int) int {
	if !slices.Contains(vms, vm) {
		return 0
	}
	part, rest := limit/len(vms), limit%len(vms)
	if rest > 0 && slices.Index(owner.Rank(group, vms), vm) < rest {
		part++
	}
	return part
}

// Word is what one VM last said of itself.
type Word struct {
	Epoch uint64
	// IsClosed says that its connections fit its share in that epoch.
	IsClosed bool
	// At is when the question was sent that the word answers. It is zero for a
	// word that came unasked: how long that was on its way isn't known, so it
	// confirms nothing.
	At time.Time
}

// State is what one VM knows. It is immutable.
type State struct {
	Self string
	View View

	words map[string]Word
	// storeAt is when the store was last asked and named the view's epoch.
	storeAt time.Time
	// movedAt is when a majority of the view before was known to have moved on.
	movedAt time.Time
	// isSettled says that the view before is out of use.
	isSettled bool
}

// New returns the state of a VM without a view.
func New(self string) State { return State{Self: self} }

// WithView returns the state after learning of a view; an older one is ignored.
func (state State) WithView(view View, now time.Time) State {
	if view.Epoch <= state.View.Epoch {
		return state
	}
	state.View = view
	state.storeAt, state.movedAt, state.isSettled = time.Time{}, time.Time{}, false
	return state.settle(now)
}

// WithWord returns the state after hearing from a VM.
func (state State) WithWord(vm string, word Word, now time.Time) State {
	words := maps.Clone(state.words)
	if words == nil {
		words = make(map[string]Word)
	}
	known := words[vm]
	if word.Epoch < known.Epoch || word.At.Before(known.At) && !word.At.IsZero() {
		return state
	}
	if word.At.IsZero() && word.Epoch == known.Epoch {
		word.At = known.At
	}
	words[vm] = word
	state.words = words
	return state.settle(now)
}

// WithStore returns the state after the store, asked at a time, named its epoch.
func (state State) WithStore(epoch uint64, askedAt time.Time) State {
	if epoch == state.View.Epoch && askedAt.After(state.storeAt) {
		state.storeAt = askedAt
	}
	return state
}

// Tick returns the state at a later time.
func (state State) Tick(now time.Time) State { return state.settle(now) }

// settle judges whether the view before is out of use.
func (state State) settle(now time.Time) State {
	if state.isSettled || state.View.Epoch == 0 {
		return state
	}
	moved, closed := state.count()
	if state.movedAt.IsZero() && moved >= quorum.Majority(len(state.View.Prior)) {
		state.movedAt = now
	}
	hasLapsed := !state.movedAt.IsZero() && now.Sub(state.movedAt) >= Lapse+Closing
	switch {
	case len(state.View.Prior) == 0:
		state.isSettled = true
	case closed == len(state.View.Prior):
		state.isSettled = true
	case hasLapsed && closed == moved:
		// Those that didn't move on have lapsed; those that did are closed.
		state.isSettled = true
	}
	return state
}

// count returns how many VMs of the view before are known to have moved on, and
// how many of those have closed their excess.
func (state State) count() (moved, closed int) {
	for _, vm := range state.View.Prior {
		word := state.words[vm]
		if word.Epoch < state.View.Epoch {
			continue
		}
		moved++
		if word.IsClosed {
			closed++
		}
	}
	return moved, closed
}

// IsSettled reports whether the view before is out of use, so that gains may be
// used and the next view may follow.
func (state State) IsSettled() bool { return state.isSettled }

// IsConfirmed reports whether the VM may use its share.
func (state State) IsConfirmed(now time.Time) bool {
	if state.View.Epoch == 0 {
		return false
	}
	if !state.storeAt.IsZero() && now.Sub(state.storeAt) < Lapse {
		return true
	}
	agreeing := 0
	for _, vm := range state.View.VMs {
		word := state.words[vm]
		isFresh := word.Epoch == state.View.Epoch && now.Sub(word.At) < Lapse
		if isFresh || vm == state.Self {
			agreeing++
		}
	}
	return agreeing >= quorum.Majority(len(state.View.VMs))
}

// Of returns how many connections to a group the VM may have now.
func (state State) Of(group string, limit int, now time.Time) int {
	if !state.IsConfirmed(now) {
		return 0
	}
	part := Split(state.View.VMs, state.Self, group, limit)
	if state.isSettled {
		return part
	}
	return min(part, Split(state.View.Prior, state.Self, group, limit))
}
