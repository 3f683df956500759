package serve

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/gossip"
	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/probe"
	"github.com/bramleydoor/bramleydoor/share"
	"github.com/bramleydoor/bramleydoor/store"
	"github.com/bramleydoor/bramleydoor/ticket"
)

// sharesKey is the store's key of the view.
const sharesKey = "shares"

// Timing of the shares duty.
const (
	sharesTick = 50 * time.Millisecond
	// stableFor is how long the live VMs must be the same before a view is
	// proposed, so that a start of several VMs makes few views.
	stableFor = 300 * time.Millisecond
	// storeAsk is the time between questions to the store while the view is not
	// confirmed by peers.
	storeAsk = 500 * time.Millisecond
)

// shares is the duty that keeps the VM's connection shares.
type shares struct {
	vm *VM

	mu       sync.Mutex
	state    share.State
	isClosed bool
	live     []string
	liveAt   time.Time
	askedAt  time.Time
	// confirmedAt is when the view was last seen to be confirmed.
	confirmedAt time.Time
	// ahead is the peer that knows a later view.
	ahead string
	kick  chan struct{}
}

func (shares *shares) init(vm *VM) {
	shares.vm = vm
	shares.state = share.New(vm.Settings.ID)
	shares.kick = make(chan struct{}, 1)
}

// of returns the VM's share of a group now.
func (shares *shares) of(group ticket.Group) int {
	shares.mu.Lock()
	state := shares.state
	shares.mu.Unlock()
	return state.Of(group.Name, group.ConnectionLimit, shares.vm.Clock.Now())
}

// isUsable reports whether the VM has its whole share.
func (shares *shares) isUsable() bool {
	shares.mu.Lock()
	defer shares.mu.Unlock()
	isMember := slices.Contains(shares.state.View.VMs, shares.vm.Settings.ID)
	return isMember && shares.state.IsSettled() && shares.state.IsConfirmed(shares.vm.Clock.Now())
}

func (shares *shares) view() share.View {
	shares.mu.Lock()
	defer shares.mu.Unlock()
	return shares.state.View
}

// word is what the VM says of itself.
func (shares *shares) word() (epoch uint64, isClosed bool) {
	shares.mu.Lock()
	defer shares.mu.Unlock()
	return shares.state.View.Epoch, shares.isClosed
}

// heard takes in what a peer says of itself.
func (shares *shares) heard(ping probe.Message, at time.Time) {
	now := shares.vm.Clock.Now()
	shares.mu.Lock()
	shares.state = shares.state.WithWord(ping.From, gossip.Shares(ping, at), now)
	if ping.Epoch > shares.state.View.Epoch {
		shares.ahead = ping.From
	}
	shares.mu.Unlock()
}

// poke makes the duty look at once.
func (shares *shares) poke() {
	select {
	case shares.kick <- struct{}{}:
	default:
	}
}

func (shares *shares) run(ctx context.Context) error {
	for ctx.Err() == nil {
		next := shares.vm.Clock.After(sharesTick)
		shares.catchUp(ctx)
		shares.propose(ctx)
		shares.enforce()
		select {
		case <-next:
		case <-shares.kick:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// catchUp learns a later view from a peer, or asks the store while peers don't
// confirm the one in use.
func (shares *shares) catchUp(ctx context.Context) {
	now := shares.vm.Clock.Now()
	shares.mu.Lock()
	shares.state = shares.state.Tick(now)
	ahead := shares.ahead
	shares.ahead = ""
	isDue := !shares.state.IsConfirmed(now) && now.Sub(shares.askedAt) >= storeAsk
	if isDue {
		shares.askedAt = now
	}
	shares.mu.Unlock()
	for _, m := range shares.vm.gossip.Live() {
		if m.ID != ahead {
			continue
		}
		if view, err := shares.vm.peers.Shares(ctx, m.Address); err == nil {
			shares.adopt(view)
		}
	}
	if isDue {
		shares.askStore(ctx)
	}
}

// askTimeout bounds a question to the store; the duty must not stop for it.
const askTimeout = 300 * time.Millisecond

func (shares *shares) askStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	askedAt := shares.vm.Clock.Now()
	view, _, err := shares.load(ctx)
	if err != nil {
		shares.vm.Stats.StoreFailures.Add(1)
		return
	}
	shares.adopt(view)
	shares.mu.Lock()
	shares.state = shares.state.WithStore(view.Epoch, askedAt)
	shares.mu.Unlock()
}

func (shares *shares) load(ctx context.Context) (share.View, uint64, error) {
	found, err := shares.vm.Store.Get(ctx, sharesKey)
	if err != nil || found.Version == 0 {
		return share.View{}, found.Version, err
	}
	var view share.View
	err = json.Unmarshal(found.Value, &view)
	return view, found.Version, err
}

func (shares *shares) adopt(view share.View) {
	shares.mu.Lock()
	before := shares.state.View.Epoch
	shares.state = shares.state.WithView(view, shares.vm.Clock.Now())
	isNew := shares.state.View.Epoch > before
	if isNew {
		shares.isClosed = false
	}
	shares.mu.Unlock()
	if isNew {
		shares.vm.events.Write(event.ShareChanged, event.Fields{"view": view.Epoch, "vms": len(view.VMs)})
	}
}

// propose makes the next view if the live VMs differ from the current one. Any
// VM may do it; one is chosen only to save calls.
func (shares *shares) propose(ctx context.Context) {
	live := gossip.IDs(shares.vm.gossip.Live())
	now := shares.vm.Clock.Now()
	shares.mu.Lock()
	state := shares.state
	if !slices.Equal(live, shares.live) {
		shares.live, shares.liveAt = live, now
	}
	isStable := now.Sub(shares.liveAt) >= stableFor
	shares.mu.Unlock()
	isMine := owner.Of(sharesKey, live) == shares.vm.Settings.ID
	isFree := state.View.Epoch == 0 || state.IsSettled()
	if !isStable || !isMine || !isFree || len(live) == 0 || slices.Equal(live, state.View.VMs) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if err := shares.put(ctx, live, state.View.Epoch); err != nil {
		shares.vm.Stats.StoreFailures.Add(1)
	}
}

func (shares *shares) put(ctx context.Context, live []string, epoch uint64) error {
	current, version, err := shares.load(ctx)
	if err != nil {
		return err
	}
	if current.Epoch != epoch {
		// The VM is behind, so it can't know whether that view is settled.
		shares.adopt(current)
		return nil
	}
	next := share.View{Epoch: epoch + 1, VMs: live, Prior: current.VMs}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if _, err := shares.vm.Store.Put(ctx, sharesKey, value, version); err != nil {
		// A conflict or a lost answer is found out by the next look.
		if errors.Is(err, store.ErrConflict) {
			return nil
		}
		return err
	}
	shares.adopt(next)
	return nil
}

// enforce closes what is over the share and notes whether all fits.
func (shares *shares) enforce() {
	vm := shares.vm
	now := vm.Clock.Now()
	shares.mu.Lock()
	epoch := shares.state.View.Epoch
	hasLapsed := epoch > 0 && !shares.state.IsConfirmed(now)
	if !hasLapsed {
		shares.confirmedAt = now
	}
	force := hasLapsed && now.Sub(shares.confirmedAt) >= share.Closing/2
	shares.mu.Unlock()
	vm.mu.Lock()
	groups := make([]*running, 0, len(vm.groups))
	for _, found := range vm.groups {
		groups = append(groups, found)
	}
	vm.mu.Unlock()
	isClosed := true
	for _, found := range groups {
		isClosed = found.holder.Pool.Enforce(force) && isClosed
	}
	shares.mu.Lock()
	if shares.state.View.Epoch == epoch {
		shares.isClosed = isClosed
		own := share.Word{Epoch: epoch, IsClosed: isClosed, At: now}
		shares.state = shares.state.WithWord(vm.Settings.ID, own, now)
	}
	shares.mu.Unlock()
}
