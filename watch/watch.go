// Package watch maintains a VM's view of one database group. One goroutine polls the
// slots for their health; another follows the primary's progress by long polling, on
// behalf of all commits that wait for their acknowledgement; a third serves the requests
// for a confirmed position.
package watch

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/group"
	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/view"
)

// Timing of a Watch. DefaultInterval and DefaultTimeout are defaults for its fields Interval
// and Timeout; the others are fixed.
const (
	DefaultInterval = 100 * time.Millisecond
	DefaultTimeout  = 400 * time.Millisecond
	// IdleInterval is the time between polls by a VM that is not the group's owner,
	// while no failure is suspected.
	IdleInterval = 10 * time.Second
	// fastPollFor is how long a VM polls at the owner's interval after a sign of failure.
	fastPollFor = 5 * time.Second
	// fullPollRounds is the number of rounds from one poll of all slots to the next while
	// the primary is healthy. The rounds in between poll only the primary, and only if
	// its progress is overdue.
	fullPollRounds = 20
	// maxProgressDelay is how long the primary may hold a long poll of the owner while its
	// progress is unchanged. The owner uses the answers as heartbeats.
	// maxIdleProgressDelay is the limit for other VMs.
	maxProgressDelay     = 250 * time.Millisecond
	maxIdleProgressDelay = 5 * time.Second
	// minProgressInterval is the least time between the starts of two long polls. It
	// bounds their rate under a continuous stream of commits.
	minProgressInterval = 500 * time.Microsecond
)

// Watch maintains the view of one group; it is a kernel.Task. Set the exported fields
// and call SetGroup before Run.
type Watch struct {
	Control group.Control
	Clock   clock.Clock
	// Interval is the time between the starts of two polls by the group's owner, and by
	// other VMs after a sign of failure. It is also the pause after a failed long poll.
	// Timeout bounds each call of Control; a long poll may take longer by the delay that
	// it allows the primary.
	Interval time.Duration
	Timeout  time.Duration
	// IsOwner reports whether this VM is the group's owner; nil means always. Other VMs
	// learn positions from the primary's progress and from their own requests, and poll
	// only at IdleInterval.
	IsOwner func() bool
	// OnView, if set, is called after each poll.
	OnView func(view.View)
	// Calls counts the calls of Control.
	Calls atomic.Int64

	mu    sync.Mutex
	group ticket.Group
	// changed is closed and replaced at each update of the view.
	changed chan struct{}
	view    atomic.Pointer[view.View]
	// fastPollUntil is in Unix nanoseconds; fastPollStarted interrupts the wait for the
	// next poll.
	fastPollUntil   atomic.Int64
	fastPollStarted chan struct{}

	confirm confirmer
}

// SetGroup sets the slots to watch. It must be called once before all other methods and
// may be called again while Run runs. A changed number of slots resets the view; this
// does not close the channel of Next.
func (watch *Watch) SetGroup(group ticket.Group) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.group = group
	if watch.changed == nil {
		watch.changed = make(chan struct{})
		watch.fastPollStarted = make(chan struct{}, 1)
		watch.confirm.requests = make(chan chan confirmation, confirmBacklog)
	}
	old := watch.view.Load()
	if old == nil || old.Size != len(group.Slots) {
		watch.view.Store(&view.View{Size: len(group.Slots)})
	}
}

// Group returns the group that is watched.
func (watch *Watch) Group() ticket.Group {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.group
}

// View returns the current snapshot.
func (watch *Watch) View() view.View { return *watch.view.Load() }

// Next returns the current snapshot and a channel that is closed at the next update, which
// may leave the view unchanged. A reset of the view by SetGroup does not close it.
func (watch *Watch) Next() (view.View, <-chan struct{}) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return *watch.view.Load(), watch.changed
}

// updateView replaces the view and notifies the users of Next.
func (watch *Watch) updateView(change func(view.View) view.View) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	next := change(*watch.view.Load())
	watch.view.Store(&next)
	close(watch.changed)
	watch.changed = make(chan struct{})
}

// RecordPosition records a position that an answer to a request proves a slot to have
// reached. The slot may be the primary or a replica.
func (watch *Watch) RecordPosition(slot string, observed posn.Position) {
	known, ok := watch.View().Slot(slot)
	if ok && known.ObservedPosition.AtLeast(observed) {
		return
	}
	now := watch.Clock.Now()
	watch.updateView(func(old view.View) view.View { return old.WithObservation(slot, observed, now) })
}

// Run polls the slots, follows the primary's progress and serves Confirm until ctx ends.
func (watch *Watch) Run(ctx context.Context) error {
	return kernel.Run(ctx,
		kernel.TaskFunc(watch.runPoll),
		kernel.TaskFunc(watch.runProgress),
		kernel.TaskFunc(watch.runConfirm),
	)
}

// PollFast makes the VM poll all slots at the owner's interval for fastPollFor, after a
// sign of failure.
func (watch *Watch) PollFast() {
	until := watch.Clock.Now().Add(fastPollFor).UnixNano()
	if watch.fastPollUntil.Swap(until) > watch.Clock.Now().UnixNano() {
		return
	}
	select {
	case watch.fastPollStarted <- struct{}{}:
	default:
	}
}

// pollsAsOwner reports whether the VM polls at the owner's interval.
func (watch *Watch) pollsAsOwner() bool {
	isOwner := watch.IsOwner == nil || watch.IsOwner()
	return isOwner || watch.Clock.Now().UnixNano() < watch.fastPollUntil.Load()
}

func (watch *Watch) pollInterval() time.Duration {
	if watch.pollsAsOwner() {
		return watch.Interval
	}
	return IdleInterval
}

// runPoll polls the slots at pollInterval until ctx ends.
func (watch *Watch) runPoll(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		next := watch.Clock.After(watch.pollInterval())
		if primary, ok := watch.healthyPrimary(); ok && round%fullPollRounds != 0 {
			watch.pollIfOverdue(ctx, primary)
		} else {
			watch.Poll(ctx)
		}
		select {
		case <-next:
		case <-watch.fastPollStarted:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// healthyPrimary returns the primary if there is one whose calls succeed, and this VM is
// the group's owner. It returns false on other VMs, while the VM polls fast after a sign
// of failure, and if the configuration does not have the primary's slot.
func (watch *Watch) healthyPrimary() (ticket.Slot, bool) {
	isPollingFast := watch.Clock.Now().UnixNano() < watch.fastPollUntil.Load()
	primary, ok := watch.View().Ready()
	if isPollingFast || !ok || !primary.FailingSince.IsZero() || !watch.pollsAsOwner() {
		return ticket.Slot{}, false
	}
	return findSlot(watch.Group(), primary.Report.Slot)
}

// pollIfOverdue polls the primary if its progress is overdue. Progress that arrives in
// time shows that the primary is alive, as a report would.
func (watch *Watch) pollIfOverdue(ctx context.Context, primary ticket.Slot) {
	known, _ := watch.View().Slot(primary.Name)
	if watch.Clock.Now().Sub(known.LastAnswerAt) < maxProgressDelay+watch.Interval {
		return
	}
	_, _ = watch.requestReport(ctx, primary)
	watch.callOnView()
}

// callOnView calls OnView with the current snapshot.
func (watch *Watch) callOnView() {
	if watch.OnView != nil {
		watch.OnView(watch.View())
	}
}

// Poll requests a report from each slot once. It returns the reports received when all
// slots have answered or failed.
func (watch *Watch) Poll(ctx context.Context) []quorum.Report {
	start := watch.Clock.Now()
	slots := watch.Group().Slots
	results := make(chan quorum.Report, len(slots))
	var pending sync.WaitGroup
	for _, slot := range slots {
		pending.Go(func() {
			if report, err := watch.requestReport(ctx, slot); err == nil {
				results <- report
			}
		})
	}
	pending.Wait()
	close(results)
	var reports []quorum.Report
	for report := range results {
		reports = append(reports, report)
	}
	if confirmed, ok := quorum.ConfirmedPosition(len(slots), reports); ok {
		watch.updateView(func(old view.View) view.View { return old.WithConfirmation(confirmed, start) })
	}
	watch.callOnView()
	return reports
}

// requestReport requests a slot's report and adds the report or the failure to the view.
func (watch *Watch) requestReport(ctx context.Context, slot ticket.Slot) (quorum.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, watch.Timeout)
	defer cancel()
	watch.Calls.Add(1)
	report, err := watch.Control.Report(ctx, slot.Control)
	now := watch.Clock.Now()
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		watch.updateView(func(old view.View) view.View { return old.WithFailure(slot.Name, refused, now) })
		return report, err
	}
	report.Slot = slot.Name
	watch.updateView(func(old view.View) view.View { return old.WithReport(report, now) })
	return report, nil
}

// runProgress follows the primary's progress until ctx ends. A failed call counts as a sign
// of failure, and so does a change of the view while there is no primary: the VM polls fast,
// and the next call follows after Interval.
func (watch *Watch) runProgress(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := watch.Clock.After(minProgressInterval)
		if !watch.followProgress(ctx) {
			watch.PollFast()
			pause = watch.Clock.After(watch.Interval)
		}
		select {
		case <-pause:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// followProgress makes one long poll of the primary's progress, or waits for a change of
// the view if there is no primary. It returns false if there is no primary, if the group's
// configuration does not have it, or if the call failed.
func (watch *Watch) followProgress(ctx context.Context) bool {
	current, changed := watch.Next()
	primary, ok := current.Primary()
	if !ok {
		select {
		case <-changed:
		case <-ctx.Done():
		}
		return ok
	}
	slot, ok := findSlot(watch.Group(), primary.Report.Slot)
	if !ok {
		return false
	}
	wait := maxProgressDelay
	if !watch.pollsAsOwner() {
		wait = maxIdleProgressDelay
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watch.Timeout)
	defer cancel()
	watch.Calls.Add(1)
	reports, err := watch.Control.Progress(ctx, slot.Control, current.Acked, wait)
	if err != nil {
		return false
	}
	now := watch.Clock.Now()
	watch.updateView(func(old view.View) view.View { return old.WithProgress(reports, now) })
	return true
}

func findSlot(group ticket.Group, name string) (ticket.Slot, bool) {
	for _, slot := range group.Slots {
		if slot.Name == name {
			return slot, true
		}
	}
	return ticket.Slot{}, false
}

// IsAcked reports whether the entry at position is known to be acknowledged.
func (watch *Watch) IsAcked(position posn.Position) bool {
	return position.IsZero() || watch.view.Load().Outcome(position) == quorum.OutcomeKept
}

// WaitAcked waits until the entry at position is acknowledged (rule 7). The error's
// verdict is notRun if the entry is lost (a failover rolled it back), and unknown if
// ctx ended before the outcome was known.
func (watch *Watch) WaitAcked(ctx context.Context, position posn.Position) error {
	if position.IsZero() {
		return nil
	}
	for {
		current, changed := watch.Next()
		switch current.Outcome(position) {
		case quorum.OutcomeKept:
			return nil
		case quorum.OutcomeLost:
			return &fault.Error{
				Verdict: fault.NotRun,
				Code:    fault.CodeRolledBack,
				Reason:  fault.ReasonRolledBack,
				Message: "the transaction was lost: a failover rolled it back before it was acknowledged",
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Lost(fault.ReasonNotAcknowledged,
				"the transaction was not acknowledged by a majority in time",
				errors.Newf("transaction at position %s, latest acknowledged position %s", position, current.Acked))
		}
	}
}

// WaitPrimary waits for a ready primary: its term is at least term, and the opening entry
// of its term is acknowledged. If ctx ends first, the error is a refusal with the reason
// noPrimary.
func (watch *Watch) WaitPrimary(ctx context.Context, term uint64) (view.Slot, error) {
	for {
		current, changed := watch.Next()
		if primary, ok := current.Ready(); ok && primary.Sealed >= term {
			return primary, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return view.Slot{}, fault.Refuse(fault.CodeUnavailable, fault.ReasonNoPrimary, "no primary within the deadline")
		}
	}
}
