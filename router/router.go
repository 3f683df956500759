// Package router serves the requests for one database group on a VM. It combines the
// group's view, its connection pool and the routing of reads to slots.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  3. A minimum position of a higher term than the VM's view has means that the view
//     is outdated. The VM polls the slots before it serves such a request.
//  11. A write that was not dispatched waits for a primary until its deadline, and
//     then for a connection in the pool's bounded queue. The connection share limits
//     how many writes reach a new primary at a time.
//  15. Requests that were dispatched and failed are retried within a budget that
//     successful requests refill. A failed attempt to connect takes nothing from it.
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
	// be routed to the slot. It exceeds two intervals of watch.IdleInterval, so that one
	// failed poll does not exclude a replica on a VM that is not the group's owner.
	maxSilence = 2*watch.IdleInterval + time.Second
	// slowRequestAfter is how long a request may take before the VM polls the group at the
	// owner's interval, to find out whether the slot still answers.
	slowRequestAfter = 250 * time.Millisecond
	// closeAfter is how long the polls of a slot must have failed before its connections
	// are closed, also those in use. Requests on them would otherwise wait indefinitely.
	closeAfter = 1200 * time.Millisecond
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

	config atomicConfig
	budget retry.Budget
}

// GroupConfig returns the configuration in force for the group, or the zero value before
// the first Apply.
func (router *Router) GroupConfig() GroupConfig { return router.config.load() }

// Apply puts a configuration for the group in force.
func (router *Router) Apply(config GroupConfig) {
	router.Watch.SetGroup(config.Group)
	router.Pool.SetQueueLimit(config.Rule.QueueLimit)
	router.config.store(config)
}

// AcquireForWrite returns a connection to the primary once the opening entry of the
// primary's term is acknowledged. The term is at least that of minPosition, the session's
// minimum position (rule 3). When AcquireForWrite fails, nothing has been dispatched.
func (router *Router) AcquireForWrite(ctx context.Context, session pool.Session, minPosition posn.Position) (*pool.Conn, error) {
	if router.GroupConfig().Leaving {
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
		if !router.waitRetryDelay(ctx, changed) {
			return nil, err
		}
	}
}

// isConnectFailure reports whether no connection could be opened, because connecting
// failed or the VM's share allowed none. A further attempt may succeed.
func isConnectFailure(failure *fault.Error) bool {
	return failure.Reason == fault.ReasonConnectFailed || failure.Reason == fault.ReasonNoShare
}

// retryDelay is the delay, before jitter, between attempts to connect or to send a
// request while no primary accepts it.
const retryDelay = 50 * time.Millisecond

// waitRetryDelay waits for retryDelay or until changed is closed, and takes nothing from
// the retry budget. It returns false if ctx has ended.
func (router *Router) waitRetryDelay(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-router.Clock.After(retry.Jitter(retryDelay)):
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
	// Failed has the slots on which this read already failed. AcquireForRead adds the
	// slots to which it could not connect, if the map is not nil.
	Failed map[string]bool
}

// AcquireForRead returns a connection to the slot chosen for the read, and the choice. The
// session must check that the answer's position is at least the choice's minimum position.
func (router *Router) AcquireForRead(ctx context.Context, read Read) (*pool.Conn, route.Choice, error) {
	config := router.GroupConfig()
	if config.Leaving {
		return nil, route.Choice{}, fault.Refuse(fault.CodeUnavailable, fault.ReasonLeaving, "the upstream is leaving")
	}
	if read.Failed == nil {
		read.Failed = make(map[string]bool)
	}
	if read.MinPosition.Term > router.Watch.View().Term() {
		router.Watch.Poll(ctx)
	}
	waitUntil := router.Clock.Now().Add(config.Rule.ReplicaWait())
	for {
		choice, changed := router.choose(read, config, waitUntil)
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
			// The slot itself did not fail, so it stays a candidate. The next attempt waits
			// in the pool's queue, so this is no busy loop.
			continue
		}
		router.Watch.PollFast()
		read.Failed[choice.Slot] = true
	}
}

// choose applies the policy to the current view. The channel is closed when the view
// changes.
func (router *Router) choose(read Read, config GroupConfig, waitUntil time.Time) (route.Choice, <-chan struct{}) {
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
	return route.Apply(router.Policy, query, router.candidates(current, config), now.Sub(read.LastWrite)), changed
}

// waitForViewChange waits for a change of the view, after which a replica may have caught
// up or another slot may be available. If the choice is to wait for a replica, it waits
// until waitUntil at the latest.
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

// candidates returns the slots known to the view. The cost of each is the expected wait
// for a connection, plus remoteZoneCost for a slot in another availability zone.
func (router *Router) candidates(current view.View, config GroupConfig) []route.Candidate {
	candidates := make([]route.Candidate, 0, len(config.Group.Slots))
	for _, slot := range config.Group.Slots {
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

// TakeRetry takes one attempt from the retry budget and counts it by reason. It returns
// false if the budget is exhausted.
func (router *Router) TakeRetry(reason fault.Reason) bool {
	if !router.budget.TryTake() {
		router.Stats.RecordRefusal(fault.ReasonRetryBudget)
		return false
	}
	router.Stats.RecordRetry(reason)
	router.Watch.PollFast()
	return true
}

// TakeRetryAndWait takes one attempt from the retry budget, and waits for retryDelay or a
// change of the view before a request that was not executed is sent again. It returns
// false if the budget is exhausted or ctx has ended.
func (router *Router) TakeRetryAndWait(ctx context.Context, reason fault.Reason) bool {
	_, changed := router.Watch.Next()
	return router.TakeRetry(reason) && router.waitRetryDelay(ctx, changed)
}

// Cancel asks the slot to cancel the statement that runs on a connection. It does not wait
// for the result.
func (router *Router) Cancel(conn *pool.Conn) {
	if router.SendCancel != nil {
		go router.SendCancel(conn)
	}
}

// PollFastIfSlow starts a timer for a request: if the request takes longer than
// slowRequestAfter, the VM polls the group at the owner's interval. Call stop when the
// request ends.
func (router *Router) PollFastIfSlow() (stop func() bool) {
	return time.AfterFunc(slowRequestAfter, router.Watch.PollFast).Stop
}

// RecordSuccess records a successful request, which refills the retry budget.
func (router *Router) RecordSuccess() { router.budget.RecordSuccess() }

// Run watches the group and closes the connections to failed slots until ctx ends. It
// wraps the OnView set on Watch.
func (router *Router) Run(ctx context.Context) error {
	wrapped := router.Watch.OnView
	router.Watch.OnView = func(current view.View) {
		router.closeFailedSlots(current)
		if wrapped != nil {
			wrapped(current)
		}
	}
	return router.Watch.Run(ctx)
}

// closeFailedSlots closes the connections to slots that are unresponsive or refuse
// connections, and to slots of an earlier term, such as a former primary, that fail.
// Requests on them would hang or end with an unknown outcome.
func (router *Router) closeFailedSlots(current view.View) {
	now := router.Clock.Now()
	_, isReady := current.Ready()
	term := current.Term()
	for _, slot := range current.Slots {
		name := slot.Report.Slot
		isUnresponsive := !slot.FailingSince.IsZero() && now.Sub(slot.FailingSince) > closeAfter
		isFormer := isReady && slot.Sealed < term && !slot.FailingSince.IsZero()
		isRefused := slot.Refused && !slot.FailingSince.IsZero()
		if isUnresponsive || isFormer || isRefused {
			closed := router.Pool.CloseSlot(name)
			if closed > 0 {
				router.Events.Write(event.SlotDropped, event.Fields{"group": router.GroupConfig().Group.Name, "slot": name, "connections": closed})
			}
		}
	}
}

// GroupConfig is the part of the configuration that concerns one group.
type GroupConfig struct {
	Group ticket.Group
	Rule  ticket.Rule
	// Leaving makes the group refuse new requests.
	Leaving bool
}
