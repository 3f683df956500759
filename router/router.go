// Package router serves the requests for one database group on a VM. It combines the
// group's view, its connection pool and the routing of reads to slots.
//
// Rules:
//
//  3. A minimum position of a higher term than the VM's view has means that the view
//     is outdated. The VM polls the slots before it serves such a request.
//  11. While there is no primary, writes that were not dispatched wait in the
//     bounded queue until their deadline. The connection share limits how many of
//     them reach the new primary at a time.
//  15. Retries are limited by a budget that successful requests refill.
package router

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

// Timing of a Router.
const (
	// maxSilence is the longest time since a slot's last answer at which reads may still
	// be routed to the slot. It exceeds two polls at watch.IdleInterval.
	maxSilence = 2*watch.IdleInterval + time.Second
	// slowRequestAfter is how long a request may take before the VM polls the group at the
	// owner's interval, to find out whether the slot still answers.
	slowRequestAfter = 250 * time.Millisecond
	// dropAfter is how long a slot must have been unresponsive before its connections are
	// closed. Requests on them would otherwise wait indefinitely.
	dropAfter = 1200 * time.Millisecond
	// remoteZoneCost is the expected additional latency of a slot in another availability
	// zone.
	remoteZoneCost = 2 * time.Millisecond
)

// Router serves one database group. Set the exported fields before Run.
type Router struct {
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

	settings atomicSettings
	budget   retry.Budget
}

// Settings returns the configuration of the group in force, or the zero value before the
// first Apply.
func (router *Router) Settings() Settings { return router.settings.load() }

// Apply puts a configuration of the group in force.
func (router *Router) Apply(settings Settings) {
	router.Watch.SetGroup(settings.Group)
	router.Pool.SetQueueLimit(settings.Rule.QueueLimit)
	router.settings.store(settings)
}

// Write returns a connection to the primary once the first log entry of the primary's term
// is acknowledged. The term is at least that of minPosition, the session's minimum position
// (rule 3). When Write fails, nothing has been dispatched.
func (router *Router) Write(ctx context.Context, session pool.Session, minPosition posn.Position) (*pool.Conn, error) {
	if router.Settings().Leaving {
		return nil, fault.Refuse(fault.CodeUnavailable, fault.ReasonLeaving, "the upstream is leaving")
	}
	if minPosition.Term > router.Watch.View().Term() {
		router.Watch.Poll(ctx)
	}
	for {
		primary, err := router.Watch.WaitPrimary(ctx, minPosition.Term)
		if err != nil {
			return nil, err
		}
		_, changed := router.Watch.Next()
		conn, err := router.Pool.Acquire(ctx, primary.Report.Slot, session)
		if err == nil {
			return conn, nil
		}
		failure := fault.From(err)
		if !isConnectFailure(failure) {
			return nil, err
		}
		router.Stats.RecordRetry(failure.Reason)
		router.Watch.PollFast()
		if !router.waitBeforeRetry(ctx, changed) {
			return nil, err
		}
	}
}

// isConnectFailure reports whether no connection could be opened, because connecting
// failed or the VM's share allowed none. A further attempt may succeed.
func isConnectFailure(failure *fault.Error) bool {
	return failure.Reason == fault.ReasonConnectFailed || failure.Reason == fault.ReasonNoShare
}

// connectRetryDelay is the delay, before jitter, between attempts to connect while the
// primary accepts no connection.
const connectRetryDelay = 50 * time.Millisecond

// waitBeforeRetry waits for the retry delay or until changed is closed. It returns false
// if ctx has ended.
func (router *Router) waitBeforeRetry(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-router.Clock.After(retry.Jitter(connectRetryDelay)):
	case <-changed:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Read is a request that a replica may answer.
type Read struct {
	Session pool.Session
	// MinPosition is the minimum position that the answer must cover.
	MinPosition posn.Position
	// MaxStaleness bounds the proven age of the slot's data; zero means that only the
	// minimum position applies.
	MaxStaleness time.Duration
	// LastWrite is when the session last wrote; only the baseline policies use it.
	LastWrite time.Time
	// Failed has the slots on which this read already failed.
	Failed map[string]bool
}

// Read returns a connection to the slot chosen for the read, and the choice. The session
// must check that the answer's position is at least the choice's minimum position.
func (router *Router) Read(ctx context.Context, read Read) (*pool.Conn, route.Choice, error) {
	settings := router.Settings()
	if settings.Leaving {
		return nil, route.Choice{}, fault.Refuse(fault.CodeUnavailable, fault.ReasonLeaving, "the upstream is leaving")
	}
	if read.Failed == nil {
		read.Failed = make(map[string]bool)
	}
	if read.MinPosition.Term > router.Watch.View().Term() {
		router.Watch.Poll(ctx)
	}
	waitUntil := router.Clock.Now().Add(settings.Rule.ReplicaWait())
	for {
		choice, changed := router.choose(read, settings, waitUntil)
		if choice.Slot == "" {
			if err := router.waitForViewChange(ctx, choice, changed, waitUntil); err != nil {
				return nil, choice, err
			}
			continue
		}
		conn, err := router.Pool.Acquire(ctx, choice.Slot, read.Session)
		if err == nil {
			router.Stats.RecordRoute(choice.Reason)
			return conn, choice, nil
		}
		failure := fault.From(err)
		if !isConnectFailure(failure) || ctx.Err() != nil {
			return nil, choice, err
		}
		router.Stats.RecordRetry(failure.Reason)
		if failure.Reason == fault.ReasonNoShare {
			// The slot itself did not fail; the next attempt waits in the queue.
			continue
		}
		router.Watch.PollFast()
		read.Failed[choice.Slot] = true
	}
}

// choose applies the policy to the current view. The channel is closed when the view
// changes.
func (router *Router) choose(read Read, settings Settings, waitUntil time.Time) (route.Choice, <-chan struct{}) {
	current, changed := router.Watch.Next()
	now := router.Clock.Now()
	query := route.Query{
		MinPosition:  read.MinPosition,
		MaxStaleness: read.MaxStaleness,
		MaxSilence:   maxSilence,
		ReplicaWait:  waitUntil.Sub(now),
		Exclude:      read.Failed,
		Now:          now,
	}
	return route.Apply(router.Policy, query, router.candidates(current, settings), now.Sub(read.LastWrite)), changed
}

// waitForViewChange waits for a change of the view, after which a replica may have caught
// up or another slot may be available. If the choice is to wait for a replica it waits at
// most until waitUntil.
func (router *Router) waitForViewChange(ctx context.Context, choice route.Choice, changed <-chan struct{}, waitUntil time.Time) error {
	var timeout <-chan time.Time
	if choice.Reason == route.WaitReplica {
		timeout = router.Clock.After(waitUntil.Sub(router.Clock.Now()))
	}
	select {
	case <-changed:
		return nil
	case <-timeout:
		return nil
	case <-ctx.Done():
		return fault.Refuse(fault.CodeUnavailable, fault.ReasonNoReplica, "no slot met the requirements of the read within the deadline")
	}
}

// candidates returns the slots known to the view, with the expected time to get a
// connection and an answer from each.
func (router *Router) candidates(current view.View, settings Settings) []route.Candidate {
	candidates := make([]route.Candidate, 0, len(settings.Group.Slots))
	for _, slot := range settings.Group.Slots {
		known, ok := current.Slot(slot.Name)
		if !ok {
			continue
		}
		cost := router.Pool.ExpectedWait(slot.Name)
		if slot.Zone != router.Zone {
			cost += remoteZoneCost
		}
		candidates = append(candidates, route.Candidate{Slot: known, Leaving: slot.Leaving, Cost: cost})
	}
	return candidates
}

// Retry reports whether the retry budget allows one more attempt. If so it takes the
// attempt from the budget and counts it by reason.
func (router *Router) Retry(reason fault.Reason) bool {
	if !router.budget.TryTake() {
		router.Stats.RecordRefusal(fault.ReasonRetryBudget)
		return false
	}
	router.Stats.RecordRetry(reason)
	router.Watch.PollFast()
	return true
}

// WaitToRetry waits for the retry delay or a change of the view before a request that
// was not executed is sent again. It returns false if ctx has ended or the retry budget
// is exhausted.
func (router *Router) WaitToRetry(ctx context.Context, reason fault.Reason) bool {
	_, changed := router.Watch.Next()
	return router.Retry(reason) && router.waitBeforeRetry(ctx, changed)
}

// Cancel requests the slot to cancel the statement running on a connection. It does not
// wait for the result.
func (router *Router) Cancel(conn *pool.Conn) {
	if router.SendCancel != nil {
		go router.SendCancel(conn)
	}
}

// WatchSlow starts a timer for a request: if the request takes longer than
// slowRequestAfter, the VM polls the group at the owner's interval. Call stop when the
// request ends.
func (router *Router) WatchSlow() (stop func() bool) {
	return time.AfterFunc(slowRequestAfter, router.Watch.PollFast).Stop
}

// RecordSuccess records a successful request, which refills the retry budget.
func (router *Router) RecordSuccess() { router.budget.RecordSuccess() }

// Run watches the group, and drops connections to slots that are out of service, until
// ctx ends. It wraps the OnView set on Watch.
func (router *Router) Run(ctx context.Context) error {
	wrapped := router.Watch.OnView
	router.Watch.OnView = func(current view.View) {
		router.dropFailedSlots(current)
		if wrapped != nil {
			wrapped(current)
		}
	}
	return router.Watch.Run(ctx)
}

// dropFailedSlots drops the connections to slots that are unresponsive or refuse
// connections, and to slots of an earlier term, such as a former primary, that fail.
// Requests on them would hang or end with an unknown outcome.
func (router *Router) dropFailedSlots(current view.View) {
	now := router.Clock.Now()
	_, isReady := current.Ready()
	term := current.Term()
	for _, slot := range current.Slots {
		name := slot.Report.Slot
		isUnresponsive := !slot.FailingSince.IsZero() && now.Sub(slot.FailingSince) > dropAfter
		isFormer := isReady && slot.Sealed < term && !slot.FailingSince.IsZero()
		isRefused := slot.Refused && !slot.FailingSince.IsZero()
		if isUnresponsive || isFormer || isRefused {
			dropped := router.Pool.CloseSlot(name)
			if dropped > 0 {
				router.Events.Write(event.SlotDropped, event.Fields{"group": router.Settings().Group.Name, "slot": name, "connections": dropped})
			}
		}
	}
}

// Settings are the parts of a configuration that concern one group.
type Settings struct {
	Group ticket.Group
	Rule  ticket.Rule
	// Leaving makes the group refuse new requests.
	Leaving bool
}
