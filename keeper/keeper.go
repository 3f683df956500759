// Package keeper monitors the primary of one database group and performs
// failovers.
//
// Rules:
//
//  8. Promotion: a majority of slots seal term+1, and the sealed slot with the
//     highest position is promoted. With rule 7 no acknowledged commit is lost, even
//     if several controllers promote concurrently.
//  9. The lease in the store only keeps two controllers from disturbing each other's
//     elections. If the store is unavailable the promotion proceeds without it, and
//     is recorded in the store afterwards.
//  10. See package detect.
package keeper

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/group"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/retry"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/store"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/view"
	"github.com/bramleydoor/bramleydoor/watch"
)

// Timing of a Controller.
const (
	checkInterval = 50 * time.Millisecond
	// leaseTTL is long enough for one promotion.
	leaseTTL = 2 * time.Second
	// leaseTimeout bounds the delay that a slow store may add to a failover.
	leaseTimeout = 150 * time.Millisecond
	// sealTimeout bounds an election. sealGrace is the further time for the slots beyond a
	// majority: their logs may be longer and have commits not acknowledged yet.
	sealTimeout = 500 * time.Millisecond
	sealGrace   = 30 * time.Millisecond
	// retryDelay is the delay, before jitter, after a failover that was not possible or
	// failed.
	retryDelay = 200 * time.Millisecond
	// recordTimeout bounds the calls that record a promotion in the store.
	recordTimeout = 5 * time.Second
)

// Controller monitors one group; it is a kernel.Duty. Set the exported fields before Run.
type Keeper struct {
	VM      string
	Watch   *watch.Watch
	Control group.Control
	Store   store.Store
	Clock   clock.Clock
	Stats   *stats.Stats
	Events  *event.Log
	Limits  detect.Limits
	// IsOwner reports whether this VM is responsible for the group's failovers now.
	IsOwner func() bool
	// Opinions returns the opinions of the live VMs, this one included, and the number
	// of live VMs.
	Opinions func(ctx context.Context) (opinions []detect.Opinion, live int)

	tracker   detect.Tracker
	suspected atomic.Bool
	// isSuspicionLogged is set once the current suspicion has been logged.
	isSuspicionLogged bool
	// wasFailing is set if the primary was failing at the last check.
	wasFailing bool
}

// Opinion returns whether this VM suspects the primary. A caller asks only if it has
// seen a failure, so this VM polls the group more often for a while.
func (keeper *Keeper) Opinion() detect.Opinion {
	keeper.Watch.PollFast()
	return detect.Opinion{
		VM:        keeper.VM,
		Term:      keeper.Watch.View().Term(),
		Suspected: keeper.suspected.Load(),
	}
}

// Run checks the primary until ctx ends. Each VM that watches the group decides whether
// it suspects the primary; only the controller starts a failover.
func (keeper *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		next := keeper.Clock.After(checkInterval)
		current := keeper.Watch.View()
		isSuspected := keeper.tracker.NeedsFailover(current, keeper.Limits, keeper.Clock.Now())
		keeper.suspected.Store(isSuspected)
		switch {
		case isSuspected && keeper.IsOwner():
			keeper.handleSuspicion(ctx, current)
		case isSuspected:
		default:
			keeper.isSuspicionLogged = false
			keeper.requestPeerChecks(ctx, current)
		}
		select {
		case <-next:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// requestPeerChecks requests the other VMs' opinions after the primary's first failure.
// This makes them poll it, so that they have fresh observations when the controller suspects
// it.
func (keeper *Keeper) requestPeerChecks(ctx context.Context, current view.View) {
	primary, ok := current.Primary()
	isFailing := ok && !primary.FailingSince.IsZero()
	if isFailing && !keeper.wasFailing && keeper.IsOwner() {
		keeper.Opinions(ctx)
	}
	keeper.wasFailing = isFailing
}

// handleSuspicion starts a failover if one can succeed and more than half of the VMs
// suspect the primary.
func (keeper *Keeper) handleSuspicion(ctx context.Context, current view.View) {
	slot, _ := current.Primary()
	keeper.logSuspicion(slot)
	if answering, canSucceed := detect.CanReachMajority(current, slot.Report.Slot); !canSucceed {
		keeper.Events.Write(event.PromotionUseless, event.Fields{"group": keeper.groupName(), "answering": answering, "slots": current.Size})
		keeper.waitBeforeRetry(ctx)
		return
	}
	opinions, live := keeper.Opinions(ctx)
	if !detect.Agreed(current.Term(), opinions, live) {
		return
	}
	keeper.promote(ctx, current, slot.Report.Slot)
}

func (keeper *Keeper) groupName() string { return keeper.Watch.Group().Name }

// logSuspicion logs the current suspicion once.
func (keeper *Keeper) logSuspicion(slot view.Slot) {
	if keeper.isSuspicionLogged {
		return
	}
	keeper.isSuspicionLogged = true
	silence := keeper.Clock.Now().Sub(slot.LastAnswerAt)
	keeper.Events.Write(event.PrimarySuspected, event.Fields{
		"group": keeper.groupName(), "slot": slot.Report.Slot, "silenceMs": silence.Milliseconds(),
	})
}

// promote tries once to elect and promote a primary for the next term.
func (keeper *Keeper) promote(ctx context.Context, current view.View, suspect string) {
	if !keeper.acquireLease(ctx) {
		keeper.waitBeforeRetry(ctx)
		return
	}
	start := keeper.Clock.Now()
	term := current.Term() + 1
	keeper.Events.Write(event.PromotionBegun, event.Fields{"group": keeper.groupName(), "term": term})
	winner, err := keeper.elect(ctx, term, suspect)
	if err != nil {
		keeper.Events.Write(event.PromotionFailed, event.Fields{"group": keeper.groupName(), "term": term, "error": err.Error()})
		// A poll after the seals finds a higher term if there is one.
		keeper.Watch.Poll(ctx)
		keeper.waitBeforeRetry(ctx)
		return
	}
	keeper.Stats.Promotions.Add(1)
	took := keeper.Clock.Now().Sub(start)
	keeper.Events.Write(event.PromotionDone, event.Fields{
		"group": keeper.groupName(), "term": term, "slot": winner.Slot, "tookMs": took.Milliseconds(),
	})
	keeper.Watch.Poll(ctx)
	go keeper.storeRecord(ctx, winner)
}

func (keeper *Keeper) waitBeforeRetry(ctx context.Context) {
	select {
	case <-keeper.Clock.After(retry.Jitter(retryDelay)):
	case <-ctx.Done():
	}
}

// acquireLease returns false only if another controller holds the lease; it returns true if
// the store fails (rule 9).
func (keeper *Keeper) acquireLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	isAcquired, err := keeper.Store.Lease(ctx, "keeper/"+keeper.groupName(), keeper.VM, leaseTTL)
	if err != nil {
		keeper.Stats.StoreFailures.Add(1)
		return true
	}
	return isAcquired
}

// elect seals term at the slots and promotes the one that quorum.Elect chooses.
func (keeper *Keeper) elect(ctx context.Context, term uint64, suspect string) (quorum.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	slots := keeper.Watch.Group().Slots
	seals := keeper.seal(ctx, slots, term)
	winner, ok := quorum.Elect(len(slots), term, seals, suspect)
	if !ok {
		return quorum.Report{}, errors.Newf("%d of %d slots answered the request to seal term %d, without a majority that granted it", len(seals), len(slots), term)
	}
	for _, slot := range slots {
		if slot.Name == winner.Slot {
			promoted, err := keeper.Control.Promote(ctx, slot.Control, term)
			promoted.Slot = slot.Name
			return promoted, err
		}
	}
	return quorum.Report{}, errors.Newf("elected slot %s is not in the group's configuration", winner.Slot)
}

// seal asks all slots to seal term and returns the reports of those that answered. It
// waits for a majority and then for sealGrace, but not beyond the end of ctx.
func (keeper *Keeper) seal(ctx context.Context, slots []ticket.Slot, term uint64) []quorum.Report {
	results := make(chan *quorum.Report, len(slots))
	for _, slot := range slots {
		go func() {
			report, err := keeper.Control.Seal(ctx, slot.Control, term)
			if err != nil {
				results <- nil
				return
			}
			report.Slot = slot.Name
			results <- &report
		}()
	}
	var seals []quorum.Report
	var grace <-chan time.Time
	for range slots {
		select {
		case report := <-results:
			if report != nil {
				seals = append(seals, *report)
			}
		case <-grace:
			return seals
		case <-ctx.Done():
			return seals
		}
		if grace == nil && len(seals) >= quorum.Majority(len(slots)) {
			grace = keeper.Clock.After(sealGrace)
		}
	}
	return seals
}

// Record describes the latest promotion of a group; it is stored as JSON under
// "promotion/" and the group's name.
type Record struct {
	Term uint64 `json:"term"`
	Slot string `json:"slot"`
	VM   string `json:"vm"`
}

// storeRecord stores a Record of the promotion for operators; nothing depends on it.
func (keeper *Keeper) storeRecord(ctx context.Context, winner quorum.Report) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	key := "promotion/" + keeper.groupName()
	value, err := json.Marshal(Record{Term: winner.Sealed, Slot: winner.Slot, VM: keeper.VM})
	if err != nil {
		return
	}
	stored, err := keeper.Store.Get(ctx, key)
	if err == nil {
		_, err = keeper.Store.Put(ctx, key, value, stored.Version)
	}
	if err != nil {
		keeper.Stats.StoreFailures.Add(1)
	}
}
