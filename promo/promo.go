// Package promo replaces the primary of a database group: it decides when, and
// carries a promotion out step by step.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  8. All replicas that can be reached are sealed first; the one that received
//     the most is promoted. An acknowledged commit that any of them received is
//     kept. One that is known to have more than the sealed ones is tried for a while.
//  9. A promotion is ordered only while the VM holds the duty, with its token.
//  10. A slow primary is not a dead one: it has to leave several requests in a
//     row unanswered. A promotion that has no candidate is not begun.
//  18. A primary that leaves is replaced while it still runs: it is demoted
//     first, so it takes no write that its successor lacks.
package promo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
)

// ErrRefused says that the platform can't promote the database.
var ErrRefused = errors.New("platform refuses to promote the database")

// Order names the database that takes over a group.
type Order struct {
	Group, Member string
	// Holder and Token name the duty's holder and fence it.
	Holder string
	Token  uint64
}

// Orders gives orders to the platform.
type Orders interface {
	Promote(ctx context.Context, order Order) error
}

// Duty tells whether the VM may order promotions for as long as need.
type Duty interface {
	Holds(need time.Duration) (uint64, bool)
	// Begin begins an order; the duty is not given up until its end.
	Begin(need time.Duration) (token uint64, end func(), ok bool)
}

// Grants ends the VMs' grants before a promotion.
type Grants interface {
	// Freeze returns when no VM has a grant; false says that not all have
	// confirmed it.
	Freeze(ctx context.Context, group string) bool
	Thaw(group string)
	// Others is how other VMs see the group's primary.
	Others(group, primary string) Others
}

// Others is how other VMs see a group's primary.
type Others struct {
	// CutShare is the share of VMs that can't reach it.
	CutShare float64
	// HeardAt is when it last answered one of them.
	HeardAt time.Time
}

const (
	// lookEvery is how often a group's state is judged.
	lookEvery = 50 * time.Millisecond
	// failsFor is how long a primary must have answered nothing.
	failsFor = 600 * time.Millisecond
	// refusesFor is how long a primary must have refused connections.
	refusesFor = 200 * time.Millisecond
	// leastFailures is how many in a row.
	leastFailures = 2
	// noneFor is how long a group must have had no primary at all.
	noneFor = 300 * time.Millisecond
	// askWait bounds one control request to a database.
	askWait = 400 * time.Millisecond
	// sealWait bounds the sealing of replicas that don't answer at first: a few tries.
	sealWait = 1200 * time.Millisecond
	// catchUpWait bounds the wait for replicas of a demoted primary.
	catchUpWait = 300 * time.Millisecond
	// grantMargin is added to the wait for grants to run out.
	grantMargin = 50 * time.Millisecond
	// orderWait bounds an order to the platform.
	orderWait = 1 * time.Second
	// leadWait bounds the wait for the promoted database to lead.
	leadWait = 3 * time.Second
	// pauseAfter is the pause after a promotion that failed.
	pauseAfter = 300 * time.Millisecond
)

// Keeper watches one group. Set the exported fields before Run.
type Keeper struct {
	Group  *dbset.Group
	Links  *conset.Set
	Orders Orders
	Duty   Duty
	Grants Grants
	Holder string
	Clock  clock.Clock
	Log    *event.Log
	// IsSettled reports whether all databases that live are known.
	IsSettled func() bool

	noneSince time.Time
}

// Run replaces the group's primary whenever that is due, until ctx ends.
func (keeper *Keeper) Run(ctx context.Context) error {
	for {
		wait := lookEvery
		if _, ok := keeper.Duty.Holds(0); ok {
			wait = keeper.step(ctx)
		} else {
			keeper.noneSince = time.Time{}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-keeper.Clock.After(wait):
		}
	}
}

func (keeper *Keeper) step(ctx context.Context) time.Duration {
	now := keeper.Clock.Now()
	state := keeper.Group.State()
	if state.Primary != "" || !keeper.IsSettled() {
		keeper.noneSince = time.Time{}
	} else if keeper.noneSince.IsZero() {
		keeper.noneSince = now
	}
	cause := Due(state, keeper.Grants.Others(keeper.Group.Name, state.Primary), keeper.noneSince, now)
	if cause == NotDue {
		keeper.unsealLeftovers(state)
		return lookEvery
	}
	if err := keeper.promote(ctx, state, cause); err != nil {
		keeper.Log.Write(event.PromotionFailed, event.Fields{
			"group": keeper.Group.Name, "term": state.Term + 1, "error": err.Error(),
		})
		return pauseAfter
	}
	return lookEvery
}
