// Package elect has the failover controller of a database group: it monitors the
// primary and replaces it if it fails. Each VM runs one for each group; only the one on
// the group's owner (package owner) performs failovers.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  8. Promotion: a majority of slots seal term+1, and the sealed slot with the
//     highest position is promoted. With rule 7 no acknowledged commit is lost, even
//     if several controllers promote concurrently.
//  9. The election lease in the store only keeps two controllers from disturbing each
//     other's elections; it is not the primary lease. If the store is unavailable, the
//     promotion proceeds without it. After each promotion, one attempt is made to record
//     it in the store, for operators only.
//  10. See package detect.
package elect

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
	// leaseTTL is the duration of the election lease, long enough for one promotion.
	leaseTTL = 2 * time.Second
	// leaseTimeout bounds the delay that a slow store may add to a failover.
	leaseTimeout = 150 * time.Millisecond
	// electionTimeout bounds sealing and promotion together. sealGrace is the further time
	// for the slots beyond a majority: their logs may be longer and have commits not
	// acknowledged yet.
	electionTimeout = 500 * time.Millisecond
	sealGrace       = 30 * time.Millisecond
	// retryDelay is the delay, before jitter, after a failover that was not possible or
	// failed.
	retryDelay = 200 * time.Millisecond
	// recordTimeout bounds the calls that record a promotion in the store.
	recordTimeout = 5 * time.Second
)

// Controller is the failover controller of one group on one VM; it is a kernel.Task. Set
// the exported fields before Run.
type Controller struct {
	VM      string
	Watch   *watch.Watch
	Control group.Control
	Store   store.Store
	Clock   clock.Clock
	Stats   *stats.Stats
	Events  *event.Log
	Limits  detect.Limits
	// IsOwner reports whether this VM is the group's owner now.
	IsOwner func() bool
	// Opinions asks the VMs whose opinions count, this one included, whether they suspect
	// the primary. It returns the opinions received and the number of VMs asked.
	Opinions func(ctx context.Context) (opinions []detect.Opinion, voters int)

	tracker   detect.Tracker
	suspected atomic.Bool
	// isSuspicionLogged is set once the current suspicion has been logged.
	isSuspicionLogged bool
	// wasFailing is set if the primary was failing at the last check.
	wasFailing bool
}

// Opinion returns whether this VM suspects the primary. The group's owner requests it
// only after the primary failed to answer, so the call also makes this VM poll the group
// at the owner's interval for a while.
func (controller *Controller) Opinion() detect.Opinion {
	controller.Watch.PollFast()
	return detect.Opinion{
		VM:        controller.VM,
		Term:      controller.Watch.View().Term(),
		Suspected: controller.suspected.Load(),
	}
}

// Run checks the primary until ctx ends. Each VM that watches the group decides whether
// it suspects the primary; only the group's owner starts a failover.
func (controller *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		next := controller.Clock.After(checkInterval)
		current := controller.Watch.View()
		isSuspected := controller.tracker.NeedsFailover(current, controller.Limits, controller.Clock.Now())
		controller.suspected.Store(isSuspected)
		switch {
		case isSuspected && controller.IsOwner():
			controller.handleSuspicion(ctx, current)
		case isSuspected:
		default:
			controller.isSuspicionLogged = false
			controller.wakePeers(ctx, current)
		}
		select {
		case <-next:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// wakePeers calls Opinions after the primary's first failure only for its side effect: each
// VM asked polls the group fast, so that it has fresh observations by the time that the
// group's owner suspects the primary.
func (controller *Controller) wakePeers(ctx context.Context, current view.View) {
	primary, ok := current.Primary()
	isFailing := ok && !primary.FailingSince.IsZero()
	if isFailing && !controller.wasFailing && controller.IsOwner() {
		controller.Opinions(ctx)
	}
	controller.wasFailing = isFailing
}

// handleSuspicion starts a failover if one can succeed and more than half of the VMs
// whose opinions count suspect the primary.
func (controller *Controller) handleSuspicion(ctx context.Context, current view.View) {
	slot, _ := current.Primary()
	controller.logSuspicion(slot)
	if answering, canSucceed := detect.CanReachMajority(current, slot.Report.Slot); !canSucceed {
		controller.Events.Write(event.PromotionUseless, event.Fields{"group": controller.groupName(), "answering": answering, "slots": current.Size})
		controller.waitBeforeRetry(ctx)
		return
	}
	opinions, voters := controller.Opinions(ctx)
	if !detect.Agreed(current.Term(), opinions, voters) {
		return
	}
	controller.promote(ctx, current, slot.Report.Slot)
}

func (controller *Controller) groupName() string { return controller.Watch.Group().Name }

// logSuspicion logs the current suspicion once.
func (controller *Controller) logSuspicion(slot view.Slot) {
	if controller.isSuspicionLogged {
		return
	}
	controller.isSuspicionLogged = true
	silence := controller.Clock.Now().Sub(slot.LastAnswerAt)
	controller.Events.Write(event.PrimarySuspected, event.Fields{
		"group": controller.groupName(), "slot": slot.Report.Slot, "silenceMs": silence.Milliseconds(),
	})
}

// promote tries once to elect and promote a primary for the next term.
func (controller *Controller) promote(ctx context.Context, current view.View, suspect string) {
	if !controller.acquireElectionLease(ctx) {
		controller.waitBeforeRetry(ctx)
		return
	}
	start := controller.Clock.Now()
	term := current.Term() + 1
	controller.Events.Write(event.PromotionBegun, event.Fields{"group": controller.groupName(), "term": term})
	winner, err := controller.elect(ctx, term, suspect)
	if err != nil {
		controller.Events.Write(event.PromotionFailed, event.Fields{"group": controller.groupName(), "term": term, "error": err.Error()})
		// If the election failed because slots had sealed a higher term, the poll finds it.
		controller.Watch.Poll(ctx)
		controller.waitBeforeRetry(ctx)
		return
	}
	controller.Stats.Promotions.Add(1)
	took := controller.Clock.Now().Sub(start)
	controller.Events.Write(event.PromotionDone, event.Fields{
		"group": controller.groupName(), "term": term, "slot": winner.Slot, "tookMs": took.Milliseconds(),
	})
	controller.Watch.Poll(ctx)
	go controller.storeRecord(ctx, winner)
}

func (controller *Controller) waitBeforeRetry(ctx context.Context) {
	select {
	case <-controller.Clock.After(retry.Jitter(retryDelay)):
	case <-ctx.Done():
	}
}

// acquireElectionLease returns false only if another VM's controller holds the group's
// election lease in the store; it returns true if the store fails (rule 9). The lease's
// name begins with "keeper/", an older term for the group's owner.
func (controller *Controller) acquireElectionLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	isAcquired, err := controller.Store.Lease(ctx, "keeper/"+controller.groupName(), controller.VM, leaseTTL)
	if err != nil {
		controller.Stats.StoreFailures.Add(1)
		return true
	}
	return isAcquired
}

// elect seals term at the slots and promotes the one that quorum.Elect chooses.
func (controller *Controller) elect(ctx context.Context, term uint64, suspect string) (quorum.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	slots := controller.Watch.Group().Slots
	reports := controller.seal(ctx, slots, term)
	winner, ok := quorum.Elect(len(slots), term, reports, suspect)
	if !ok {
		return quorum.Report{}, errors.Newf("%d of %d slots answered the request to seal term %d, without a majority that granted it", len(reports), len(slots), term)
	}
	for _, slot := range slots {
		if slot.Name == winner.Slot {
			promoted, err := controller.Control.Promote(ctx, slot.Control, term)
			promoted.Slot = slot.Name
			return promoted, err
		}
	}
	return quorum.Report{}, errors.Newf("elected slot %s is not in the group's configuration", winner.Slot)
}

// seal asks all slots to seal term and returns the reports of those that answered. It
// waits until a majority has answered, whether the seal was granted or not, and then for
// sealGrace, but not beyond the end of ctx.
func (controller *Controller) seal(ctx context.Context, slots []ticket.Slot, term uint64) []quorum.Report {
	results := make(chan *quorum.Report, len(slots))
	for _, slot := range slots {
		go func() {
			report, err := controller.Control.Seal(ctx, slot.Control, term)
			if err != nil {
				results <- nil
				return
			}
			report.Slot = slot.Name
			results <- &report
		}()
	}
	var reports []quorum.Report
	var grace <-chan time.Time
	for range slots {
		select {
		case report := <-results:
			if report != nil {
				reports = append(reports, *report)
			}
		case <-grace:
			return reports
		case <-ctx.Done():
			return reports
		}
		if grace == nil && len(reports) >= quorum.Majority(len(slots)) {
			grace = controller.Clock.After(sealGrace)
		}
	}
	return reports
}

// Record describes the latest promotion of a group; it is stored as JSON under
// "promotion/" and the group's name.
type Record struct {
	Term uint64 `json:"term"`
	Slot string `json:"slot"`
	VM   string `json:"vm"`
}

// storeRecord tries once to store a Record of the promotion for operators; nothing depends
// on it.
func (controller *Controller) storeRecord(ctx context.Context, winner quorum.Report) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	key := "promotion/" + controller.groupName()
	value, err := json.Marshal(Record{Term: winner.Sealed, Slot: winner.Slot, VM: controller.VM})
	if err != nil {
		return
	}
	stored, err := controller.Store.Get(ctx, key)
	if err == nil {
		_, err = controller.Store.Put(ctx, key, value, stored.Version)
	}
	if err != nil {
		controller.Stats.StoreFailures.Add(1)
	}
}
