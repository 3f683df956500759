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

// sharesKey is the key of the view in the store.
const sharesKey = "shares"

// Timing of the shares task.
const (
	sharesInterval = 50 * time.Millisecond
	// stablePeriod is how long the set of live VMs must be unchanged before a view is
	// proposed, so that several VMs that start together cause few views.
	stablePeriod = 300 * time.Millisecond
	// storeInterval is the least time between two requests to the store for the view
	// while it is not confirmed.
	storeInterval = 500 * time.Millisecond
)

// shares is the task that maintains the VM's connection shares (package share).
type shares struct {
	vm *VM

	mu    sync.Mutex
	state share.State
	// isClosed says that the open connections do not exceed the shares in the present view.
	isClosed bool
	// live are the live VMs, and liveSince is when they last changed.
	live      []string
	liveSince time.Time
	// storeRequestedAt is when the last periodic request to the store was sent.
	storeRequestedAt time.Time
	// confirmedAt is when enforce last found the view confirmed.
	confirmedAt time.Time
	// newerPeer is a peer that reported a later view.
	newerPeer string
	// wakeUp ends the task's pause between two rounds.
	wakeUp chan struct{}
}

func (shares *shares) init(vm *VM) {
	shares.vm = vm
	shares.state = share.New(vm.Settings.ID)
	shares.wakeUp = make(chan struct{}, 1)
}

// shareOf returns the VM's present share of a group's connection limit.
func (shares *shares) shareOf(group ticket.Group) int {
	shares.mu.Lock()
	state := shares.state
	shares.mu.Unlock()
	return state.Of(group.Name, group.ConnectionLimit, shares.vm.Clock.Now())
}

// isUsable reports whether the VM may use its whole share: it is in the view, which is
// confirmed, and the previous view is out of use.
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

// report returns the VM's report about itself for peers.
func (shares *shares) report() (epoch uint64, isClosed bool) {
	shares.mu.Lock()
	defer shares.mu.Unlock()
	return shares.state.View.Epoch, shares.isClosed
}

// onMessage processes a peer's report about itself.
func (shares *shares) onMessage(message probe.Message, at time.Time) {
	now := shares.vm.Clock.Now()
	shares.mu.Lock()
	shares.state = shares.state.WithReport(message.From, gossip.ShareReportOf(message, at), now)
	if message.Epoch > shares.state.View.Epoch {
		shares.newerPeer = message.From
	}
	shares.mu.Unlock()
}

// wake makes the task start its next round immediately.
func (shares *shares) wake() {
	select {
	case shares.wakeUp <- struct{}{}:
	default:
	}
}

func (shares *shares) run(ctx context.Context) error {
	for ctx.Err() == nil {
		next := shares.vm.Clock.After(sharesInterval)
		shares.refreshView(ctx)
		shares.propose(ctx)
		shares.enforce()
		select {
		case <-next:
		case <-shares.wakeUp:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// refreshView fetches a later view from a peer that reported one, and requests the view from
// the store while the present one is not confirmed.
func (shares *shares) refreshView(ctx context.Context) {
	now := shares.vm.Clock.Now()
	shares.mu.Lock()
	shares.state = shares.state.Tick(now)
	newerPeer := shares.newerPeer
	shares.newerPeer = ""
	isDue := !shares.state.IsConfirmed(now) && now.Sub(shares.storeRequestedAt) >= storeInterval
	if isDue {
		shares.storeRequestedAt = now
	}
	shares.mu.Unlock()
	for _, member := range shares.vm.gossip.Live() {
		if member.ID != newerPeer {
			continue
		}
		if view, err := shares.vm.peers.Shares(ctx, member.Address); err == nil {
			shares.adopt(view)
		}
	}
	if isDue {
		shares.loadFromStore(ctx)
	}
}

// storeTimeout bounds reading or replacing the view in the store, so that a store that does
// not answer delays the task only briefly.
const storeTimeout = 300 * time.Millisecond

// loadFromStore adopts the view from the store and records which epoch the store answered.
func (shares *shares) loadFromStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	requestedAt := shares.vm.Clock.Now()
	view, _, err := shares.load(ctx)
	if err != nil {
		shares.vm.Stats.StoreFailures.Add(1)
		return
	}
	shares.adopt(view)
	shares.mu.Lock()
	shares.state = shares.state.WithStore(view.Epoch, requestedAt)
	shares.mu.Unlock()
}

// load reads the view and its version from the store.
func (shares *shares) load(ctx context.Context) (share.View, uint64, error) {
	entry, err := shares.vm.Store.Get(ctx, sharesKey)
	if err != nil || entry.Version == 0 {
		return share.View{}, entry.Version, err
	}
	var view share.View
	err = json.Unmarshal(entry.Value, &view)
	return view, entry.Version, err
}

// adopt puts a view in force if it is later than the present one.
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

// propose writes the next view to the store if the live VMs differ from those of the present
// view. Any VM may do so safely; only one does, to save requests to the store.
func (shares *shares) propose(ctx context.Context) {
	live := gossip.IDs(shares.vm.gossip.Live())
	now := shares.vm.Clock.Now()
	shares.mu.Lock()
	state := shares.state
	if !slices.Equal(live, shares.live) {
		shares.live, shares.liveSince = live, now
	}
	isStable := now.Sub(shares.liveSince) >= stablePeriod
	shares.mu.Unlock()
	isProposer := owner.Of(sharesKey, live) == shares.vm.Settings.ID
	canReplace := state.View.Epoch == 0 || state.IsSettled()
	if !isStable || !isProposer || !canReplace || len(live) == 0 || slices.Equal(live, state.View.VMs) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := shares.put(ctx, live, state.View.Epoch); err != nil {
		shares.vm.Stats.StoreFailures.Add(1)
	}
}

// put writes the view that follows epoch to the store by compare-and-swap.
func (shares *shares) put(ctx context.Context, live []string, epoch uint64) error {
	current, version, err := shares.load(ctx)
	if err != nil {
		return err
	}
	if current.Epoch != epoch {
		// This VM's view is outdated, so it can't know whether the present one is settled.
		shares.adopt(current)
		return nil
	}
	next := share.View{Epoch: epoch + 1, VMs: live, Prior: current.VMs}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if _, err := shares.vm.Store.Put(ctx, sharesKey, value, version); err != nil {
		// After a conflict or a lost answer, a later request for the view shows which view
		// was written.
		if errors.Is(err, store.ErrConflict) {
			return nil
		}
		return err
	}
	shares.adopt(next)
	return nil
}

// enforce closes connections in excess of the shares and records whether the remaining
// ones fit. Once the view has been unconfirmed for half of share.CloseTimeout, busy
// connections are closed as well.
func (shares *shares) enforce() {
	vm := shares.vm
	now := vm.Clock.Now()
	shares.mu.Lock()
	epoch := shares.state.View.Epoch
	hasExpired := epoch > 0 && !shares.state.IsConfirmed(now)
	if !hasExpired {
		shares.confirmedAt = now
	}
	force := hasExpired && now.Sub(shares.confirmedAt) >= share.CloseTimeout/2
	shares.mu.Unlock()
	vm.mu.Lock()
	groups := make([]*runningGroup, 0, len(vm.groups))
	for _, group := range vm.groups {
		groups = append(groups, group)
	}
	vm.mu.Unlock()
	isClosed := true
	for _, group := range groups {
		isClosed = group.router.Pool.EnforceShare(force) && isClosed
	}
	shares.mu.Lock()
	if shares.state.View.Epoch == epoch {
		shares.isClosed = isClosed
		own := share.Report{Epoch: epoch, IsWithinShare: isClosed, At: now}
		shares.state = shares.state.WithReport(vm.Settings.ID, own, now)
	}
	shares.mu.Unlock()
}
