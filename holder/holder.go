// Package holder joins what a VM has for one database group: its watch, its
// connections, and the choice of slots.
//
// Rules:
//
//  3. A floor of a higher term than the VM knows means that the VM is behind; it
//     refreshes before it serves.
//  11. While there is no primary, writes that were not dispatched wait in the
//     bounded queue until their deadline; the connection share lets them to the
//     new primary a few at a time.
//  15. Retries are taken from a budget that successful requests fill.
package holder

import (
	"context"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/retry"
	"github.com/bramleydoor/bramleydoor/route"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/view"
	"github.com/bramleydoor/bramleydoor/watch"
)

// Timing of a Holder.
const (
	// maxSilence is how long a slot may be silent and still be chosen. Slots are
	// asked seldom while nothing is amiss.
	maxSilence = 2*watch.IdleInterval + time.Second
	// slowAfter is how long a request may take before the VM looks whether its
	// slot still answers.
	slowAfter = 250 * time.Millisecond
	// dropAfter is how long a slot fails to answer before its connections are
	// closed, so that requests on them don't wait for ever.
	dropAfter = 1200 * time.Millisecond
	// remoteCost is the expected extra time to a slot in another zone.
	remoteCost = 2 * time.Millisecond
)

// Holder serves one database group. Set the exported fields before Run.
type Holder struct {
	Watch *watch.Watch
	Pool  *pool.Pool
	Clock clock.Clock
	Stats *stats.Stats
	// Events may be nil.
	Events *event.Log
	// Zone is the VM's availability zone.
	Zone string
	// Policy is how reads are routed; nil is route.ByCost.
	Policy route.Policy
	// SendCancel sends a cancel request for a connection to its slot.
	SendCancel func(conn *pool.Conn)

	config config
	budget retry.Budget
}

// Settings returns the configuration of the group that is in force.
func (holder *Holder) Settings() Settings { return holder.config.load() }

// Apply puts a configuration of the group in force.
func (holder *Holder) Apply(settings Settings) {
	holder.Watch.SetGroup(settings.Group)
	holder.Pool.SetQueueLimit(settings.Rule.QueueLimit)
	holder.config.store(settings)
}

// Write returns a connection to a primary whose term is opened, and not before
// the term of what the session has seen (rule 3). Nothing has been dispatched
// when it fails.
func (holder *Holder) Write(ctx context.Context, session pool.Session, seen posn.Position) (*pool.Conn, error) {
	if holder.Settings().Leaving {
		return nil, fault.Refuse(fault.CodeUnavailable, fault.ReasonLeaving, "the upstream is leaving")
	}
	if seen.Term > holder.Watch.View().Term() {
		holder.Watch.Poll(ctx)
	}
	for {
		primary, err := holder.Watch.WaitPrimary(ctx, seen.Term)
		if err != nil {
			return nil, err
		}
		_, changed := holder.Watch.Next()
		conn, err := holder.Pool.Acquire(ctx, primary.Report.Slot, session)
		if err == nil {
			return conn, nil
		}
		failure := fault.From(err)
		if !isOpening(failure) {
			return nil, err
		}
		holder.Stats.Retry(failure.Reason)
		holder.Watch.Hurry()
		if !holder.pause(ctx, changed) {
			return nil, err
		}
	}
}

// isOpening reports whether a connection could not be opened, which says nothing
// about the next attempt.
func isOpening(failure *fault.Error) bool {
	return failure.Reason == fault.ReasonConnectFailed || failure.Reason == fault.ReasonNoShare
}

// connectPause spaces the attempts while a primary refuses connections.
const connectPause = 50 * time.Millisecond

func (holder *Holder) pause(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-holder.Clock.After(retry.Jitter(connectPause)):
	case <-changed:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Read is a request that a replica may answer.
type Read struct {
	Session   pool.Session
	Floor     posn.Position
	Staleness time.Duration
	// LastWrite is when the session last wrote, for baselines.
	LastWrite time.Time
	// Failed are slots that already failed this read.
	Failed map[string]bool
}

// Read returns a connection to the slot that should answer, and the choice. The
// caller checks that the answer's position covers the choice's floor.
func (holder *Holder) Read(ctx context.Context, read Read) (*pool.Conn, route.Choice, error) {
	settings := holder.Settings()
	if settings.Leaving {
		return nil, route.Choice{}, fault.Refuse(fault.CodeUnavailable, fault.ReasonLeaving, "the upstream is leaving")
	}
	if read.Failed == nil {
		read.Failed = make(map[string]bool)
	}
	if read.Floor.Term > holder.Watch.View().Term() {
		holder.Watch.Poll(ctx)
	}
	waitUntil := holder.Clock.Now().Add(settings.Rule.ReplicaWait())
	for {
		choice, changed := holder.choose(read, settings, waitUntil)
		if choice.Slot == "" {
			if err := holder.waitChange(ctx, choice, changed, waitUntil); err != nil {
				return nil, choice, err
			}
			continue
		}
		conn, err := holder.Pool.Acquire(ctx, choice.Slot, read.Session)
		if err == nil {
			holder.Stats.Route(choice.Reason)
			return conn, choice, nil
		}
		failure := fault.From(err)
		if !isOpening(failure) || ctx.Err() != nil {
			return nil, choice, err
		}
		holder.Stats.Retry(failure.Reason)
		if failure.Reason == fault.ReasonNoShare {
			// The slot is as good as before; the next attempt waits in the queue.
			continue
		}
		holder.Watch.Hurry()
		read.Failed[choice.Slot] = true
	}
}

func (holder *Holder) choose(read Read, settings Settings, waitUntil time.Time) (route.Choice, <-chan struct{}) {
	current, changed := holder.Watch.Next()
	now := holder.Clock.Now()
	query := route.Query{
		Floor:       read.Floor,
		Staleness:   read.Staleness,
		MaxSilence:  maxSilence,
		ReplicaWait: waitUntil.Sub(now),
		Exclude:     read.Failed,
		Now:         now,
	}
	return route.Apply(holder.Policy, query, holder.candidates(current, settings), now.Sub(read.LastWrite)), changed
}

// waitChange waits for a replica to catch up, or for any slot at all.
func (holder *Holder) waitChange(ctx context.Context, choice route.Choice, changed <-chan struct{}, waitUntil time.Time) error {
	var timeout <-chan time.Time
	if choice.Reason == route.WaitReplica {
		timeout = holder.Clock.After(waitUntil.Sub(holder.Clock.Now()))
	}
	select {
	case <-changed:
		return nil
	case <-timeout:
		return nil
	case <-ctx.Done():
		return fault.Refuse(fault.CodeUnavailable, fault.ReasonNoReplica, "no slot could answer within the deadline")
	}
}

func (holder *Holder) candidates(current view.View, settings Settings) []route.Candidate {
	candidates := make([]route.Candidate, 0, len(settings.Group.Slots))
	for _, slot := range settings.Group.Slots {
		known, ok := current.Slot(slot.Name)
		if !ok {
			continue
		}
		cost := holder.Pool.Wait(slot.Name)
		if slot.Zone != holder.Zone {
			cost += remoteCost
		}
		candidates = append(candidates, route.Candidate{Slot: known, Leaving: slot.Leaving, Cost: cost})
	}
	return candidates
}

// Retry reports whether the budget allows one more attempt, and counts it.
func (holder *Holder) Retry(reason fault.Reason) bool {
	if !holder.budget.Take() {
		holder.Stats.Refuse(fault.ReasonRetryBudget)
		return false
	}
	holder.Stats.Retry(reason)
	holder.Watch.Hurry()
	return true
}

// AwaitChange waits a moment before a request that didn't run is sent again;
// false if its time or the budget is spent.
func (holder *Holder) AwaitChange(ctx context.Context, reason fault.Reason) bool {
	_, changed := holder.Watch.Next()
	return holder.Retry(reason) && holder.pause(ctx, changed)
}

// Cancel asks the slot to cancel what runs on a connection.
func (holder *Holder) Cancel(conn *pool.Conn) {
	if holder.SendCancel != nil {
		go holder.SendCancel(conn)
	}
}

// WatchSlow makes the VM look after the group if a request takes long. Call the
// returned function at its end.
func (holder *Holder) WatchSlow() (stop func() bool) {
	return time.AfterFunc(slowAfter, holder.Watch.Hurry).Stop
}

// Succeed fills the retry budget.
func (holder *Holder) Succeed() { holder.budget.Fill() }

// Run watches the group and drops connections to slots that are out of service,
// until ctx ends.
func (holder *Holder) Run(ctx context.Context) error {
	inner := holder.Watch.OnView
	holder.Watch.OnView = func(current view.View) {
		holder.fence(current)
		if inner != nil {
			inner(current)
		}
	}
	return holder.Watch.Run(ctx)
}

// fence drops the connections to slots that don't answer, and those to a former
// primary: requests there could only end in an unknown outcome, or wait.
func (holder *Holder) fence(current view.View) {
	now := holder.Clock.Now()
	_, isReady := current.Ready()
	term := current.Term()
	for _, slot := range current.Slots {
		name := slot.Report.Slot
		isSilent := !slot.FailingSince.IsZero() && now.Sub(slot.FailingSince) > dropAfter
		isFormer := isReady && slot.Sealed < term && !slot.FailingSince.IsZero()
		isDead := slot.Refused && !slot.FailingSince.IsZero()
		if isSilent || isFormer || isDead {
			dropped := holder.Pool.Drop(name)
			if dropped > 0 {
				holder.Events.Write(event.SlotDropped, event.Fields{"group": holder.Settings().Group.Name, "slot": name, "connections": dropped})
			}
		}
	}
}

// Settings are the parts of a configuration that concern one group.
type Settings struct {
	Group   ticket.Group
	Rule    ticket.Rule
	Leaving bool
}
