// Package watch keeps the view of one database group: a goroutine polls the
// slots for health, another follows the primary's progress for all commits that
// wait for their acknowledgement.
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

// Defaults of a Watch.
const (
	DefaultInterval = 100 * time.Millisecond
	DefaultTimeout  = 400 * time.Millisecond
	// IdleInterval is the time between polls of a VM that doesn't keep the group,
	// while nothing is amiss.
	IdleInterval = 10 * time.Second
	// hurryFor is how long a hint of trouble makes such a VM poll like a keeper.
	hurryFor = 5 * time.Second
	// fullPollEvery is the rounds after which a keeper asks all slots while nothing
	// is amiss. In between it asks the primary, if its progress is late.
	fullPollEvery = 20
	// progressWait is how long the primary may hold back an unchanged answer, from
	// the keeper, for which it is the heartbeat, and from other VMs.
	progressWait     = 250 * time.Millisecond
	idleProgressWait = 5 * time.Second
	// progressPause bounds the rate of answers while commits stream in.
	progressPause = 500 * time.Microsecond
)

// Watch is a duty. Set the exported fields before Run.
type Watch struct {
	Control group.Control
	Clock   clock.Clock
	// Interval is the time between polls; Timeout bounds each call.
	Interval time.Duration
	Timeout  time.Duration
	// IsKeeper reports whether this VM keeps the group. Others hear of positions
	// from the primary's progress and from traffic, and poll seldom; nil is true.
	IsKeeper func() bool
	// OnView, if set, is called after each poll.
	OnView func(view.View)
	// Calls counts control calls.
	Calls atomic.Int64

	mu      sync.Mutex
	group   ticket.Group
	changed chan struct{}
	view    atomic.Pointer[view.View]
	// hurryUntil is in Unix nanoseconds; hurried wakes the polling.
	hurryUntil atomic.Int64
	hurried    chan struct{}

	confirm confirmer
}

// SetGroup sets the slots to watch; it may be called while Run runs.
func (watch *Watch) SetGroup(group ticket.Group) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.group = group
	if watch.changed == nil {
		watch.changed = make(chan struct{})
		watch.hurried = make(chan struct{}, 1)
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

// Next returns the current snapshot and a channel that closes when it changes.
func (watch *Watch) Next() (view.View, <-chan struct{}) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return *watch.view.Load(), watch.changed
}

func (watch *Watch) update(change func(view.View) view.View) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	next := change(*watch.view.Load())
	watch.view.Store(&next)
	close(watch.changed)
	watch.changed = make(chan struct{})
}

// Observe takes in a position that traffic showed a slot to hold.
func (watch *Watch) Observe(slot string, seen posn.Position) {
	known, ok := watch.View().Slot(slot)
	if ok && known.Seen.AtLeast(seen) {
		return
	}
	now := watch.Clock.Now()
	watch.update(func(v view.View) view.View { return v.WithSeen(slot, seen, now) })
}

// Run polls until ctx ends.
func (watch *Watch) Run(ctx context.Context) error {
	return kernel.Run(ctx,
		kernel.DutyFunc(watch.runPoll),
		kernel.DutyFunc(watch.runProgress),
		kernel.DutyFunc(watch.runConfirm),
	)
}

// Hurry makes the VM poll like a keeper for a while, because something may be
// amiss.
func (watch *Watch) Hurry() {
	until := watch.Clock.Now().Add(hurryFor).UnixNano()
	if watch.hurryUntil.Swap(until) > watch.Clock.Now().UnixNano() {
		return
	}
	select {
	case watch.hurried <- struct{}{}:
	default:
	}
}

// isEager reports whether the VM polls at the keeper's pace.
func (watch *Watch) isEager() bool {
	isKeeper := watch.IsKeeper == nil || watch.IsKeeper()
	return isKeeper || watch.Clock.Now().UnixNano() < watch.hurryUntil.Load()
}

func (watch *Watch) interval() time.Duration {
	if watch.isEager() {
		return watch.Interval
	}
	return IdleInterval
}

func (watch *Watch) runPoll(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		next := watch.Clock.After(watch.interval())
		if primary, ok := watch.calmPrimary(); ok && round%fullPollEvery != 0 {
			watch.askIfLate(ctx, primary)
		} else {
			watch.Poll(ctx)
		}
		select {
		case <-next:
		case <-watch.hurried:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// calmPrimary returns the primary if it answers and nothing is amiss. The keeper
// then asks only that one at the pace of detection.
func (watch *Watch) calmPrimary() (ticket.Slot, bool) {
	isHurried := watch.Clock.Now().UnixNano() < watch.hurryUntil.Load()
	primary, ok := watch.View().Ready()
	if isHurried || !ok || !primary.FailingSince.IsZero() || !watch.isEager() {
		return ticket.Slot{}, false
	}
	return findSlot(watch.Group(), primary.Report.Slot)
}

// askIfLate asks the primary unless its progress was heard as it should be, which
// tells as much.
func (watch *Watch) askIfLate(ctx context.Context, primary ticket.Slot) {
	known, _ := watch.View().Slot(primary.Name)
	if watch.Clock.Now().Sub(known.HeardAt) < progressWait+watch.Interval {
		return
	}
	_, _ = watch.ask(ctx, primary)
	watch.notify()
}

func (watch *Watch) notify() {
	if watch.OnView != nil {
		watch.OnView(watch.View())
	}
}

// Poll asks each slot once. It returns when all have answered or failed, with
// the reports received.
func (watch *Watch) Poll(ctx context.Context) []quorum.Report {
	start := watch.Clock.Now()
	slots := watch.Group().Slots
	results := make(chan quorum.Report, len(slots))
	var pending sync.WaitGroup
	for _, slot := range slots {
		pending.Go(func() {
			if report, err := watch.ask(ctx, slot); err == nil {
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
	if floor, ok := quorum.Floor(len(slots), reports); ok {
		watch.update(func(v view.View) view.View { return v.WithFloor(floor, start) })
	}
	watch.notify()
	return reports
}

func (watch *Watch) ask(ctx context.Context, slot ticket.Slot) (quorum.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, watch.Timeout)
	defer cancel()
	watch.Calls.Add(1)
	report, err := watch.Control.Report(ctx, slot.Control)
	now := watch.Clock.Now()
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		watch.update(func(v view.View) view.View { return v.WithFailure(slot.Name, refused, now) })
		return report, err
	}
	report.Slot = slot.Name
	watch.update(func(v view.View) view.View { return v.WithReport(report, now) })
	return report, nil
}

func (watch *Watch) runProgress(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := watch.Clock.After(progressPause)
		if !watch.followProgress(ctx) {
			watch.Hurry()
			pause = watch.Clock.After(watch.Interval)
		}
		select {
		case <-pause:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// followProgress makes one waiting call to the primary.
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
	wait := progressWait
	if !watch.isEager() {
		wait = idleProgressWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watch.Timeout)
	defer cancel()
	watch.Calls.Add(1)
	reports, err := watch.Control.Progress(ctx, slot.Control, current.Acked, wait)
	if err != nil {
		return false
	}
	now := watch.Clock.Now()
	watch.update(func(v view.View) view.View { return v.WithProgress(reports, now) })
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
	return position.IsZero() || watch.view.Load().Fate(position) == quorum.FateKept
}

// WaitAcked waits until the entry at position is acknowledged (rule 7). The
// error says notRun if a failover has undone the entry for good, unknown if ctx
// ended before that was settled.
func (watch *Watch) WaitAcked(ctx context.Context, position posn.Position) error {
	if position.IsZero() {
		return nil
	}
	for {
		current, changed := watch.Next()
		switch current.Fate(position) {
		case quorum.FateKept:
			return nil
		case quorum.FateLost:
			return &fault.Error{
				Verdict: fault.NotRun,
				Code:    fault.CodeRolledBack,
				Reason:  fault.ReasonRolledBack,
				Message: "a failover undid the transaction before it was acknowledged",
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Lost(fault.ReasonNotAcknowledged,
				"the transaction was not acknowledged by a majority in time",
				errors.Newf("position %s, acknowledged %s", position, current.Acked))
		}
	}
}

// WaitPrimary waits for a primary of at least a term, once that is opened.
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
