// Package promo replaces the primary of a database group: it detects when a promotion
// is needed, and performs it.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  8. The leases are revoked first, then all reachable replicas are sealed; the one
//     with the highest received position is promoted, also if it is leaving. An
//     acknowledged commit that any of them received is kept. A replica known to be
//     ahead of all sealed ones is retried for a limited time. Where replication is
//     synchronous, a database is promoted only if it certainly has all acknowledged
//     commits: all databases that the leader's record names are sealed, also those that
//     are no longer registered, or the primary is. No VM's word replaces that.
//  9. A promotion is ordered only while the VM holds the leader lease, with
//     its fencing token, and after the order is in the leader's record. An order
//     may take effect at any time after it was sent, also if its call failed: until
//     its outcome is known no leases of an earlier term are issued, neither by this
//     leader nor by its successor, which goes on with the same database.
//  10. A slow primary does not count as failed: several requests in a row must fail.
//     A promotion without a candidate is not begun.
//  18. A leaving primary is replaced while it still runs, once a replica has caught up
//     with it: it is demoted first, so it accepts no write that its successor lacks.
package promo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/stats"
)

// Order asks the platform to make a database the primary of its group.
type Order struct {
	Group, Member string
	// Leader is the ID of the leader, Token its fencing token.
	Leader string
	Token  uint64
}

// Promoter sends orders to the platform. An order whose call fails may still take effect, at
// any later time, unless the error is ErrRefused or ErrNotSent.
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
	// RecordOrder records an order before it is sent, so that a successor knows of it. It
	// reports whether that was confirmed before ctx ended.
	RecordOrder(ctx context.Context, order leader.Order) bool
	// SettleOrder records that the order has taken effect, or can't any more. With isRepeated,
	// a call without an answer may still begin another term.
	SettleOrder(isRepeated bool)
	// Order returns the order that may still take effect.
	Order() (leader.Order, bool)
	// Known returns the recorded state of the group; false if there is none.
	Known() (leader.GroupState, bool)
	// RecordGroup records the state of the group. Leases are issued once that is confirmed.
	RecordGroup(state leader.GroupState)
}

// Leases revokes the primary leases of the VMs before a promotion.
type Leases interface {
	// Revoke stops issuing leases and revokes those in force. It returns true once all
	// VMs have confirmed that. It returns false once the leases of the other VMs have
	// expired, if ctx ends before that, or if this VM is not the leader.
	Revoke(ctx context.Context, group string) bool
	// UnknownHoldersUntil returns until when unknown VMs may have leases of another leader. Revoke
	// waits for that.
	UnknownHoldersUntil(group string) time.Time
	// Acknowledged returns a position that covers all commits that the present processes of the
	// VMs have acknowledged to callers; false unless Revoke has returned true and all VMs state
	// it. Others may have ended since they acknowledged more.
	Acknowledged(group string) (posn.Position, bool)
	// Resume allows leases to be issued again.
	Resume(group string)
	// HasEarlierLeases reports whether no leases of the term are issued since leases of
	// earlier terms may be in force.
	HasEarlierLeases(group string, term uint64) bool
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
	// revocationLead is how long the revocation of the leases may take before the replicas are
	// sealed nevertheless, for instance because a VM is gone. All VMs acknowledge sooner, also
	// if a datagram is lost.
	revocationLead = 60 * time.Millisecond
	// leavingPatience is how long a leaving primary stays while no replica has caught up with it.
	// It serves for some seconds, and may not be used for longer. Where replication is
	// synchronous it stays longer: its successor would lack acknowledged commits.
	leavingPatience = 3 * time.Second
	// evidenceMargin is added to the wait for evidence from before the seals to expire.
	evidenceMargin = 50 * time.Millisecond
	// recordTimeout bounds the write of an order into the leader's record.
	recordTimeout = 1 * time.Second
	// orderTimeout bounds an order to the platform.
	orderTimeout = 1 * time.Second
	// effectTimeout bounds the wait for a predecessor's order to take effect.
	effectTimeout = 1 * time.Second
	// primaryTimeout bounds the wait for the promoted database to report itself as primary.
	primaryTimeout = 3 * time.Second
	// retryDelay is the delay after a failed promotion, behindDelay after one for which no
	// sealed replica had all acknowledged commits: others may use the primary meanwhile.
	retryDelay  = 300 * time.Millisecond
	behindDelay = 1 * time.Second
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
	Stats  *stats.Stats
	// IsLost reports whether operators have declared a database lost, so that a promotion may go
	// without the commits that only it has; nil if none is.
	IsLost func(id string) bool
	// IsSettled reports whether all running databases have been discovered. Until then a
	// group does not count as one without a primary.
	IsSettled func() bool

	waits   waits
	holders holders
	// missingSince is when the group was first observed without a primary; zero if it has
	// one.
	missingSince time.Time
	// leavingSince is when the primary was first observed to be leaving; zero if it is not.
	leavingSince time.Time
	// awaitedToken is the fencing token under which the controller last sent an order, or
	// waited for the order of a predecessor.
	awaitedToken uint64
	// token is the fencing token at the last check, tokenSince when it was new. hasUnanswered is
	// set if the present order may have been sent in a call without an answer, wasRepeated if an
	// earlier one was. isUnseen is set if the platform has accepted the present order, and its
	// database has not answered since.
	token                      uint64
	tokenSince                 time.Time
	hasUnanswered, wasRepeated bool
	isUnseen                   bool
	// ineffective is the database that the last order named, if that was accepted without
	// effect.
	ineffective string
}

// Run checks the group while the VM is the leader, and replaces the primary when
// needed, until ctx ends. It sleeps while the VM is not the leader.
func (controller *Controller) Run(ctx context.Context) error {
	for {
		acquired := controller.Leadership.Acquired()
		var next <-chan time.Time
		if token, ok := controller.Leadership.Holds(0); ok {
			controller.observeToken(token)
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

// observeToken begins anew if the VM has become the leader since the last check. Whether the
// calls of its predecessor had answers is unknown.
func (controller *Controller) observeToken(token uint64) {
	if token == controller.token {
		return
	}
	order, ok := controller.Leadership.Order()
	controller.token, controller.tokenSince = token, controller.Clock.Now()
	controller.hasUnanswered, controller.wasRepeated, controller.isUnseen = ok, ok && order.IsRepeated, false
}

// step checks the group once, promotes a replica if needed, and returns the delay until
// the next check.
func (controller *Controller) step(ctx context.Context) time.Duration {
	controller.waits.begin()
	now := controller.Clock.Now()
	state := controller.stateInNewestTerm()
	if state.Primary != "" || !controller.IsSettled() {
		controller.missingSince = time.Time{}
	} else if controller.missingSince.IsZero() {
		controller.missingSince = now
	}
	if order, ok := controller.Leadership.Order(); ok && !order.IsRepeated {
		return controller.finishOrder(ctx, state, order)
	}
	if state.Primary != "" && controller.Leases.HasEarlierLeases(controller.Group.Name, state.Term) {
		controller.endEarlierLeases(ctx)
		return checkInterval
	}
	cause := FailoverCause(state, controller.Leases.PeerObservations(controller.Group.Name, state.Primary), controller.missingSince, now)
	if cause != Leaving {
		controller.leavingSince = time.Time{}
	} else if controller.leavingSince.IsZero() {
		controller.leavingSince = now
	}
	if cause == NoCause {
		controller.unsealAbandoned(state)
		controller.demoteFormer(state)
		return checkInterval
	}
	if until := controller.Leases.UnknownHoldersUntil(controller.Group.Name); until.After(now) {
		controller.reportWait(waitHolders, state.Term+1, "")
		if cause == Leaving || cause == Partitioned {
			// The primary serves meanwhile.
			return min(until.Sub(now), checkInterval)
		}
	}
	return controller.promoteOrLog(ctx, state, cause, "")
}

// promoteOrLog promotes a database, and returns the delay until the next check.
func (controller *Controller) promoteOrLog(ctx context.Context, state dbset.State, cause Cause, target string) time.Duration {
	if err := controller.promote(ctx, state, cause, target); err != nil {
		controller.Log.Write(event.PromotionFailed, event.Fields{
			"group": controller.Group.Name, "term": state.Term + 1, "error": err.Error(),
		})
		if errors.Is(err, errBehind) {
			return behindDelay
		}
		return retryDelay
	}
	return checkInterval
}
