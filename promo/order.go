package promo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/proto"
)

var (
	// ErrRefused means that the platform refused an order to promote.
	ErrRefused = errors.New("platform refuses to promote the database")
	// ErrNotSent means that an order did not reach the platform.
	ErrNotSent = errors.New("order did not reach the platform")

	errNotRecorded = errors.Wrap(ErrNotSent, "the leader's record could not be written in time")
	errNotLeader   = errors.Wrap(ErrNotSent, "the leader lease was lost or expires too soon")
	errNoEffect    = errors.New("the promoted database answers, but did not report itself as primary in time")
	errNoReport    = errors.New("the promoted database did not answer in time; it may be the primary")
)

// mayTakeEffect reports whether an order may take effect later that failed with err.
func mayTakeEffect(err error) bool {
	return !errors.Is(err, ErrRefused) && !errors.Is(err, ErrNotSent) && !errors.Is(err, errNoEffect)
}

// record records an order while other steps of the promotion run. The channel receives whether
// it was recorded.
func (controller *Controller) record(ctx context.Context, order leader.Order) <-chan bool {
	if earlier, ok := controller.Leadership.Order(); ok {
		controller.wasRepeated = earlier.IsRepeated
	}
	isRecorded := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		isRecorded <- controller.Leadership.RecordOrder(ctx, order)
	}()
	return isRecorded
}

// send makes the platform promote a database, under the fencing token of the leader lease, and
// waits until the database leads the order's term. The order is sent only if it was recorded.
func (controller *Controller) send(ctx context.Context, order leader.Order, isRecorded bool) error {
	if !isRecorded {
		return errNotRecorded
	}
	token, end, ok := controller.Leadership.BeginOrder(orderTimeout)
	if !ok {
		return errNotLeader
	}
	controller.awaitedToken = token
	sendCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := controller.Promoter.Promote(sendCtx, Order{
		Group: controller.Group.Name, Member: order.Member, Leader: controller.Leader, Token: token,
	})
	end()
	acceptedAt := controller.Clock.Now()
	switch {
	case err == nil && controller.awaitPrimary(ctx, order, primaryTimeout):
		controller.ineffective = ""
		return nil
	case err == nil && !controller.hasReported(order.Member, acceptedAt.Add(primaryTimeout/2)):
		// It may have become the primary and then failed.
		controller.isUnseen = true
		controller.logOrder(event.OrderUnsettled, order, event.Fields{"reason": "noReport", "error": errNoReport.Error()})
		return errNoReport
	case err == nil:
		// It may already be the primary in the platform's view.
		controller.ineffective = order.Member
		return errNoEffect
	case mayTakeEffect(err):
		controller.hasUnanswered = true
		controller.logOrder(event.OrderUnsettled, order, event.Fields{"reason": "noAnswer", "error": err.Error()})
		if controller.awaitPrimary(ctx, order, effectTimeout) {
			return nil
		}
	}
	return err
}

// finishOrder goes on with an order whose outcome is unknown, and returns the delay until the
// next check. A predecessor's order is first given the time to take effect.
func (controller *Controller) finishOrder(ctx context.Context, state dbset.State, order leader.Order) time.Duration {
	if primary, ok := controller.newerPrimary(order.Term - 1); ok {
		controller.logOrder(event.OrderSettled, order, event.Fields{"primary": primary})
		controller.Group.ConfirmTerm(order.Term)
		controller.settle()
		return 0
	}
	if _, isMember := findMember(state, order.Member); !isMember {
		// It may have become the primary before it went.
		controller.reportWait(waitOrder, order.Term, order.Member)
	}
	if token, _ := controller.Leadership.Holds(0); controller.awaitedToken != token {
		controller.awaitedToken = token
		controller.logOrder(event.OrderUnsettled, order, event.Fields{"reason": "predecessor"})
		controller.awaitPrimary(ctx, order, effectTimeout)
		return 0
	}
	state.Term = max(state.Term, order.Term-1)
	return controller.promoteOrLog(ctx, state, Unfinished, order.Member)
}

// settle records that the order has taken effect, or can't any more. The term that it has begun is
// recorded first, so that it is never missing from the record.
func (controller *Controller) settle() {
	if order, ok := controller.Leadership.Order(); ok {
		if _, ok := controller.newerPrimary(order.Term - 1); ok {
			controller.recordState(controller.Group.State())
		}
	}
	controller.Leadership.SettleOrder(controller.hasUnanswered || controller.wasRepeated)
	controller.hasUnanswered, controller.wasRepeated, controller.isUnseen = false, false, false
}

// hasReported reports whether a database has answered a request for a report that was sent at a
// time or later.
func (controller *Controller) hasReported(id string, since time.Time) bool {
	member, ok := findMember(controller.Group.State(), id)
	return ok && !member.ReportedAt.IsZero() && !member.RequestedAt.Before(since)
}

// abandon ends a promotion that has sent no order which may take effect. While an earlier order
// may, or may have, the replicas stay sealed, so that no report of theirs stands in for a lease.
func (controller *Controller) abandon(seals []sealedReplica) {
	if order, ok := controller.Leadership.Order(); ok && !order.IsRepeated {
		if controller.hasUnanswered || controller.isUnseen {
			return
		}
		controller.settle()
	}
	controller.unseal(seals)
}

// newerPrimary returns the primary of a term above formerTerm, if one has reported.
func (controller *Controller) newerPrimary(formerTerm uint64) (string, bool) {
	state := controller.Group.State()
	return state.Primary, state.Primary != "" && state.Term > formerTerm
}

// awaitPrimary polls the database that an order names until a primary of the order's term, or of
// a later one, has reported. It returns false after timeout.
func (controller *Controller) awaitPrimary(ctx context.Context, order leader.Order, timeout time.Duration) bool {
	deadline := controller.Clock.Now().Add(timeout)
	for controller.Clock.Now().Before(deadline) {
		// The report is recorded in the group.
		_, _ = controller.sendControl(order.Member, proto.GetReport{})
		if _, ok := controller.newerPrimary(order.Term - 1); ok {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-controller.Clock.After(checkInterval):
		}
	}
	return false
}

// endEarlierLeases ends the leases of earlier terms, after which those of the present one may be
// issued. An order that was thought to be without effect may have begun the present term.
func (controller *Controller) endEarlierLeases(ctx context.Context) {
	since := controller.Clock.Now()
	if !controller.Leases.Revoke(ctx, controller.Group.Name) {
		controller.awaitEvidenceExpiry(ctx, since)
	}
	controller.Leases.Resume(controller.Group.Name)
}

// logOrder writes a log line about an order.
func (controller *Controller) logOrder(id event.ID, order leader.Order, fields event.Fields) {
	line := event.Fields{"group": controller.Group.Name, "term": order.Term, "slot": order.Member}
	for name, value := range fields {
		line[name] = value
	}
	controller.Log.Write(id, line)
}
