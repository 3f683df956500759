// Package keeper watches the primary of one database group and orders
// promotions.
//
// Rules:
//
//  8. Promotion: a majority of slots seal term+1, and the sealed slot with the
//     highest position is promoted. With rule 7 this loses nothing acknowledged,
//     whoever else promotes at the same time.
//  9. The store's lease only keeps two keepers from duelling. Without the store
//     the promotion goes on, and is recorded there afterwards.
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

// Timing of a Keeper.
const (
	checkInterval = 50 * time.Millisecond
	// leaseTTL covers one promotion.
	leaseTTL = 2 * time.Second
	// leaseWait bounds what a slow store may add to a failover.
	leaseWait = 150 * time.Millisecond
	// sealWait bounds the seals; sealGrace is the time for the slots beyond a
	// majority, whose longer logs save commits that nobody was told about.
	sealWait  = 500 * time.Millisecond
	sealGrace = 30 * time.Millisecond
	// retryPause is the time between failed promotions.
	retryPause = 200 * time.Millisecond
	// recordWait bounds the record of a promotion in the store.
	recordWait = 5 * time.Second
)

// Keeper is a duty. Set the exported fields before Run.
type Keeper struct {
	VM      string
	Watch   *watch.Watch
	Control group.Control
	Store   store.Store
	Clock   clock.Clock
	Stats   *stats.Stats
	Events  *event.Log
	Limits  detect.Limits
	// IsKeeper reports whether this VM keeps the group now.
	IsKeeper func() bool
	// Opinions asks the live VMs, this one included, and returns how many live.
	Opinions func(ctx context.Context) (opinions []detect.Opinion, live int)

	tracker   detect.Tracker
	suspected atomic.Bool
	// isReported keeps one suspicion from being logged at each check.
	isReported bool
	isWarned   bool
}

// Opinion is this VM's own view of the primary. Whoever asks has reason to, so
// this VM looks closely from then on.
func (keeper *Keeper) Opinion() detect.Opinion {
	keeper.Watch.Hurry()
	return detect.Opinion{
		VM:        keeper.VM,
		Term:      keeper.Watch.View().Term(),
		Suspected: keeper.suspected.Load(),
	}
}

// Run checks the primary until ctx ends. Each VM that watches the group has a
// view of its primary; only the keeper acts.
func (keeper *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		next := keeper.Clock.After(checkInterval)
		current := keeper.Watch.View()
		isFailed := keeper.tracker.Judge(current, keeper.Limits, keeper.Clock.Now())
		keeper.suspected.Store(isFailed)
		switch {
		case isFailed && keeper.IsKeeper():
			keeper.act(ctx, current)
		case isFailed:
		default:
			keeper.isReported = false
			keeper.warn(ctx, current)
		}
		select {
		case <-next:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// warn lets the other VMs look at a primary that failed to answer once, so that
// they have a view of their own by the time that it is suspected.
func (keeper *Keeper) warn(ctx context.Context, current view.View) {
	primary, ok := current.Primary()
	isFailing := ok && !primary.FailingSince.IsZero()
	if isFailing && !keeper.isWarned && keeper.IsKeeper() {
		keeper.Opinions(ctx)
	}
	keeper.isWarned = isFailing
}

func (keeper *Keeper) act(ctx context.Context, current view.View) {
	slot, _ := current.Primary()
	keeper.report(slot)
	if answering, helps := detect.Helps(current, slot.Report.Slot); !helps {
		keeper.Events.Write(event.PromotionUseless, event.Fields{"group": keeper.name(), "answering": answering, "slots": current.Size})
		keeper.rest(ctx)
		return
	}
	opinions, live := keeper.Opinions(ctx)
	if !detect.Agreed(current.Term(), opinions, live) {
		return
	}
	keeper.promote(ctx, current, slot.Report.Slot)
}

func (keeper *Keeper) name() string { return keeper.Watch.Group().Name }

func (keeper *Keeper) report(slot view.Slot) {
	if keeper.isReported {
		return
	}
	keeper.isReported = true
	silence := keeper.Clock.Now().Sub(slot.HeardAt)
	keeper.Events.Write(event.PrimarySuspected, event.Fields{
		"group": keeper.name(), "slot": slot.Report.Slot, "silenceMs": silence.Milliseconds(),
	})
}

// promote makes one attempt at a new term.
func (keeper *Keeper) promote(ctx context.Context, current view.View, suspect string) {
	if !keeper.takeLease(ctx) {
		keeper.rest(ctx)
		return
	}
	start := keeper.Clock.Now()
	term := current.Term() + 1
	keeper.Events.Write(event.PromotionBegun, event.Fields{"group": keeper.name(), "term": term})
	winner, err := keeper.elect(ctx, term, suspect)
	if err != nil {
		keeper.Events.Write(event.PromotionFailed, event.Fields{"group": keeper.name(), "term": term, "error": err.Error()})
		// The reports of the seals tell of a higher term, if there is one.
		keeper.Watch.Poll(ctx)
		keeper.rest(ctx)
		return
	}
	keeper.Stats.Promotions.Add(1)
	took := keeper.Clock.Now().Sub(start)
	keeper.Events.Write(event.PromotionDone, event.Fields{
		"group": keeper.name(), "term": term, "slot": winner.Slot, "tookMs": took.Milliseconds(),
	})
	keeper.Watch.Poll(ctx)
	go keeper.record(ctx, winner)
}

func (keeper *Keeper) rest(ctx context.Context) {
	select {
	case <-keeper.Clock.After(retry.Jitter(retryPause)):
	case <-ctx.Done():
	}
}

// takeLease returns false only if another keeper holds the lease (rule 9).
func (keeper *Keeper) takeLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaseWait)
	defer cancel()
	taken, err := keeper.Store.Lease(ctx, "keeper/"+keeper.name(), keeper.VM, leaseTTL)
	if err != nil {
		keeper.Stats.StoreFailures.Add(1)
		return true
	}
	return taken
}

// elect seals term at the slots and promotes the best of a majority.
func (keeper *Keeper) elect(ctx context.Context, term uint64, suspect string) (quorum.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, sealWait)
	defer cancel()
	slots := keeper.Watch.Group().Slots
	seals := keeper.seal(ctx, slots, term)
	winner, ok := quorum.Elect(len(slots), term, seals, suspect)
	if !ok {
		return quorum.Report{}, errors.Newf("%d of %d slots sealed term %d", len(seals), len(slots), term)
	}
	for _, slot := range slots {
		if slot.Name == winner.Slot {
			promoted, err := keeper.Control.Promote(ctx, slot.Control, term)
			promoted.Slot = slot.Name
			return promoted, err
		}
	}
	return quorum.Report{}, errors.Newf("slot %s is not in the group", winner.Slot)
}

// seal returns the reports of a majority, and of those that answer soon after.
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

// Record is what the store keeps of the latest promotion of a group.
type Record struct {
	Term uint64 `json:"term"`
	Slot string `json:"slot"`
	VM   string `json:"vm"`
}

// record tells the store. It is for operators: nothing depends on it.
func (keeper *Keeper) record(ctx context.Context, winner quorum.Report) {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	key := "promotion/" + keeper.name()
	value, err := json.Marshal(Record{Term: winner.Sealed, Slot: winner.Slot, VM: keeper.VM})
	if err != nil {
		return
	}
	known, err := keeper.Store.Get(ctx, key)
	if err == nil {
		_, err = keeper.Store.Put(ctx, key, value, known.Version)
	}
	if err != nil {
		keeper.Stats.StoreFailures.Add(1)
	}
}
