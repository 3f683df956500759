// Package promo replaces the primary of a database group: it detects when a promotion
// is needed, and performs it.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  8. All reachable replicas are sealed first; the one with the highest received
//     position is promoted. An acknowledged commit that any of them received is
//     kept. A replica known to be ahead of all sealed ones is retried for a limited
//     time.
//  9. A promotion is ordered only while the VM holds the leader lease, with
//     its fencing token.
//  10. A slow primary does not count as failed: several requests in a row must fail.
//     A promotion without a candidate is not begun.
//  18. A leaving primary is replaced while it still runs: it is demoted first, so it
//     accepts no write that its successor lacks.
package promo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
)

// ErrRefused means that the platform refused an order to promote.
var ErrRefused = errors.New("platform refuses to promote the database")

// Order asks the platform to make a database the primary of its group.
type Order struct {
	Group, Member string
	// Leader is the ID of the leader, Token its fencing token.
	Leader string
	Token  uint64
}

// Promoter sends orders to the platform.
type Promoter interface {
	Promote(ctx context.Context, order Order) error
}

// Leadership is the leader lease, which entitles one VM to order promotions.
type Leadership interface {
	// Holds returns the fencing token if the lease is valid for at least need.
	Holds(need time.Duration) (uint64, bool)
	// BeginOrder registers an order that takes at most need; the lease is not released
	// before end is called. ok is false if the lease is not valid for that long.
	BeginOrder(need time.Duration) (token uint64, end func(), ok bool)
	// Acquired returns a channel that is closed when the lease next becomes valid.
	Acquired() <-chan struct{}
}

// Leases revokes the primary leases of the VMs before a promotion.
type Leases interface {
	// Revoke stops issuing leases and revokes those in force. It returns true once all
	// VMs have confirmed that. It returns false once the leases of the other VMs have
	// expired, if ctx ends before that, or if this VM is not the leader.
	Revoke(ctx context.Context, group string) bool
	// Resume allows leases to be issued again.
	Resume(group string)
	// EvidenceDuration returns how long any VM uses a replica's report in place of a lease.
	EvidenceDuration() time.Duration
	// PeerObservations returns the observations of other VMs about the group's primary.
	PeerObservations(group, primary string) PeerObservations
}

// PeerObservations is what other VMs observe of a group's primary.
type PeerObservations struct {
	// PartitionedShare is the share of VMs, from 0 to 1, that can't reach it.
	PartitionedShare float64
	// LastAnswerAt is when it last answered one of them.
	LastAnswerAt time.Time
}

const (
	// checkInterval is the time between two checks of a group.
	checkInterval = 50 * time.Millisecond
	// silenceTimeout is how long a primary must not have answered to count as failed.
	silenceTimeout = 600 * time.Millisecond
	// refusalTimeout is how long a primary must have refused connections to count as
	// failed.
	refusalTimeout = 200 * time.Millisecond
	// minFailures is how many requests in a row must also have failed, or have been
	// refused.
	minFailures = 2
	// missingTimeout is how long a group must have had no primary at all before one is
	// promoted.
	missingTimeout = 300 * time.Millisecond
	// controlTimeout bounds one control request to a database.
	controlTimeout = 400 * time.Millisecond
	// sealTimeout bounds the retries for replicas that did not answer the first attempt
	// to seal them; it allows a few attempts.
	sealTimeout = 1200 * time.Millisecond
	// catchUpTimeout bounds the wait for a replica to receive a demoted primary's log.
	catchUpTimeout = 300 * time.Millisecond
	// evidenceMargin is added to the wait for evidence from before the seals to expire.
	evidenceMargin = 50 * time.Millisecond
	// orderTimeout bounds an order to the platform.
	orderTimeout = 1 * time.Second
	// primaryTimeout bounds the wait for the promoted database to report itself as primary.
	primaryTimeout = 3 * time.Second
	// retryDelay is the delay after a failed promotion.
	retryDelay = 300 * time.Millisecond
)

// Controller monitors the primary of one group and replaces it when needed. Set the
// exported fields before Run.
type Controller struct {
	Group      *dbset.Group
	Pools      *dbpool.Set
	Promoter   Promoter
	Leadership Leadership
	Leases     Leases
	// Leader is the ID of this VM, by which its orders name the leader.
	Leader string
	Clock  clock.Clock
	Log    *event.Log
	// IsSettled reports whether all running databases have been discovered. Until then a
	// group does not count as one without a primary.
	IsSettled func() bool

	// missingSince is when the group was first observed without a primary; zero if it has
	// one.
	missingSince time.Time
}

// Run checks the group while the VM is the leader, and replaces the primary when
// needed, until ctx ends. It sleeps while the VM is not the leader.
func (controller *Controller) Run(ctx context.Context) error {
	for {
		acquired := controller.Leadership.Acquired()
		var next <-chan time.Time
		if _, ok := controller.Leadership.Holds(0); ok {
			next = controller.Clock.After(controller.step(ctx))
		} else {
			controller.missingSince = time.Time{}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-next:
		case <-acquired:
		}
	}
}

// step checks the group once, promotes a replica if needed, and returns the delay until
// the next check.
func (controller *Controller) step(ctx context.Context) time.Duration {
	now := controller.Clock.Now()
	state := controller.Group.State()
	if state.Primary != "" || !controller.IsSettled() {
		controller.missingSince = time.Time{}
	} else if controller.missingSince.IsZero() {
		controller.missingSince = now
	}
	cause := FailoverCause(state, controller.Leases.PeerObservations(controller.Group.Name, state.Primary), controller.missingSince, now)
	if cause == NoCause {
		controller.unsealAbandoned(state)
		return checkInterval
	}
	if err := controller.promote(ctx, state, cause); err != nil {
		controller.Log.Write(event.PromotionFailed, event.Fields{
			"group": controller.Group.Name, "term": state.Term + 1, "error": err.Error(),
		})
		return retryDelay
	}
	return checkInterval
}
