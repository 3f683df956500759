package promo

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
)

var (
	// errNoCandidate is also the error of a control request to a database without a pool.
	errNoCandidate = errors.New("no replica could be sealed")
	errBehind      = errors.New("no sealed replica has all acknowledged commits")
)

// sealedReplica is a replica that refuses log entries of terms below that of its seal.
type sealedReplica struct {
	member dbset.Member
	report dbset.Report
}

// promote revokes the primary leases, seals the replicas and promotes the most advanced one
// (rules 8, 9 and 18). preferred is the database that an unsettled order names, or empty: it is
// promoted if it was sealed, since with another one both orders might take effect.
func (controller *Controller) promote(ctx context.Context, state dbset.State, cause Cause, preferred string) error {
	start := controller.Clock.Now()
	term := state.Term + 1
	controller.Log.Write(event.PromotionBegun, event.Fields{"group": controller.Group.Name, "term": term, "cause": string(cause)})
	if cause == Leaving {
		isPatient := state.IsSynchronous || start.Sub(controller.leavingSince) < leavingPatience
		if isPatient && !controller.isReplicaCaughtUp(state) {
			return errors.Wrapf(errBehind, "no replica has caught up with %s, which is leaving", state.Primary)
		}
		// The leaving primary accepts no write that its successor lacks.
		controller.demote(state, term)
	}
	if cause == Unfinished && state.IsSynchronous {
		// The order's database may be gone, and the primary the only one with all commits.
		controller.demote(state, term)
	}
	revocation := controller.revoke(ctx)
	defer revocation.end() // on any return; after a success leases resume earlier, below
	if state.Primary == "" {
		// A database that leads an earlier term can't be sealed.
		controller.demoteFormer(state)
	}
	if revocation.await(controller.Clock.After(revocationLead)) {
		// Replicas that are sealed now receive no more.
		controller.awaitAcknowledged(state)
	}
	seals := controller.sealAll(state, term)
	sealedAt := controller.Clock.Now()
	if _, ok := controller.newerPrimary(state.Term); ok {
		controller.unseal(seals)
		return nil
	}
	best, ok := controller.choose(seals, preferred, state.LastPrimary)
	if !ok {
		controller.abandon(seals)
		return errNoCandidate
	}
	if state.IsSynchronous {
		// Until the last lease has ended, a replica that is started again loses its seal and may
		// receive commits that are acknowledged.
		controller.awaitRevocation(ctx, revocation, sealedAt)
		again := controller.seal(state, term, nil)
		if err := controller.checkComplete(best, seals, again); err != nil {
			controller.abandon(append(again, seals...))
			return err
		}
	}
	order := leader.Order{Member: best.member.ID, Term: term}
	if state.IsSynchronous {
		order.Complete = best.report.Received
	}
	isRecorded := controller.record(ctx, order)
	controller.awaitRevocation(ctx, revocation, sealedAt)
	orderedAt := controller.Clock.Now()
	if err := controller.send(ctx, order, <-isRecorded); err != nil {
		if !mayTakeEffect(err) {
			controller.abandon(seals)
		}
		return err
	}
	controller.settle()
	controller.Group.ConfirmTerm(controller.Group.Term())
	controller.Leases.Resume(controller.Group.Name)
	controller.unseal(seals)
	controller.Log.Write(event.PromotionDone, event.Fields{
		"group": controller.Group.Name, "term": term, "slot": best.member.ID,
		"position": best.report.Received.String(),
		"sealed":   len(seals), "allRevoked": revocation.areAllRevoked,
		"sealMs":   sealedAt.Sub(start).Milliseconds(),
		"revokeMs": orderedAt.Sub(sealedAt).Milliseconds(),
		"tookMs":   controller.Clock.Now().Sub(start).Milliseconds(),
	})
	// The former primary may still be running, for instance if it was only partitioned.
	controller.demote(state, term)
	return nil
}

// revocation is a revocation of the group's leases in progress.
type revocation struct {
	controller *Controller
	cancel     context.CancelFunc
	done       chan struct{}
	// areAllRevoked is the result of Leases.Revoke, valid after done.
	areAllRevoked bool
}

// revoke begins to revoke the leases.
func (controller *Controller) revoke(ctx context.Context) *revocation {
	ctx, cancel := context.WithCancel(ctx)
	revocation := &revocation{controller: controller, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(revocation.done)
		revocation.areAllRevoked = controller.Leases.Revoke(ctx, controller.Group.Name)
	}()
	return revocation
}

// await waits for the end of the revocation, or until timeout, and reports whether all VMs have
// acknowledged it.
func (revocation *revocation) await(timeout <-chan time.Time) bool {
	select {
	case <-revocation.done:
		return revocation.areAllRevoked
	case <-timeout:
		return false
	}
}

// end ends the revocation and lets leases be issued again.
func (revocation *revocation) end() {
	revocation.cancel()
	<-revocation.done
	revocation.controller.Leases.Resume(revocation.controller.Group.Name)
}

// awaitAcknowledged waits up to catchUpTimeout until a replica has received all commits that VMs
// have acknowledged. It doesn't wait if the primary has ended.
func (controller *Controller) awaitAcknowledged(state dbset.State) {
	acknowledged, ok := controller.Leases.Acknowledged(controller.Group.Name)
	primary, isMember := findMember(state, state.Primary)
	if ok && isMember && primary.RefusedConnections == 0 {
		controller.awaitReceived(state, acknowledged)
	}
}

// checkComplete returns errBehind unless the best of the sealed replicas certainly has all commits
// that were acknowledged, where the primary acknowledges none that only it has. It must have been
// sealed before the leases ended, and have what those have that are sealed now. They must meet each
// pair of primary and replica by which a commit may have been acknowledged. What the VMs state
// proves nothing: one that has ended states no more what it had acknowledged.
func (controller *Controller) checkComplete(best sealedReplica, before, seals []sealedReplica) error {
	state := controller.Group.State()
	if best.report.Term < state.Term {
		return errors.Wrapf(errBehind, "%s has received %s in term %d, and the group is in term %d",
			best.member.ID, best.report.Received, best.report.Term, state.Term)
	}
	if !isSealed(before, best.member.ID) || !isSealed(seals, best.member.ID) {
		return errors.Wrapf(errBehind, "%s is not sealed any more", best.member.ID)
	}
	if order, ok := controller.Leadership.Order(); ok && !order.IsRepeated && isStillComplete(best, order) {
		return nil
	}
	if ahead, ok := mostAdvanced(seals); ok && !best.report.Received.AtLeast(ahead.report.Received) {
		return errors.Wrapf(errBehind, "%s has received %s, and %s has received %s",
			best.member.ID, best.report.Received, ahead.member.ID, ahead.report.Received)
	}
	if unmet := controller.unmet(state, seals); len(unmet) > 0 {
		controller.reportWait(waitSeals, state.Term+1, unmet)
		return errors.Wrapf(errBehind, "%s may have acknowledged commits, and is not sealed", unmet)
	}
	return nil
}

// isStillComplete reports whether a replica has all acknowledged commits since it had them when an
// unsettled order for it was recorded: none has been acknowledged since, unless the order's term has
// begun.
func isStillComplete(replica sealedReplica, order leader.Order) bool {
	return order.Member == replica.member.ID && !order.Complete.IsZero() &&
		replica.report.Received.AtLeast(order.Complete) && replica.report.Term < order.Term
}

// unmet names the databases that may have an acknowledged commit which no sealed replica has. While
// an order is unsettled, commits may have been acknowledged in its term as well.
func (controller *Controller) unmet(state dbset.State, seals []sealedReplica) string {
	known, _ := controller.Leadership.Known()
	if len(known.Databases) == 0 {
		// A leader that records databases has issued no lease.
		last, _ := findMember(state, state.LastPrimary)
		known = leader.GroupState{Term: state.Term, Primary: databaseOf(last.Member)}
	}
	databases := unmet(known, known.Primary, known.Term, state.Members, seals)
	if order, ok := controller.Leadership.Order(); ok && order.Term > known.Term {
		ordered := leader.Database{ID: order.Member}
		for _, database := range known.Databases {
			if database.ID == order.Member {
				ordered = database
			}
		}
		databases = append(databases, unmet(known, ordered, order.Term, state.Members, seals)...)
	}
	names := make([]string, 0, len(databases))
	for _, database := range databases {
		if _, isRegistered := findMember(state, database.ID); !isRegistered && controller.IsLost != nil && controller.IsLost(database.ID) {
			controller.Log.Write(event.DatabaseGivenUp, event.Fields{"group": controller.Group.Name, "slot": database.ID})
			continue
		}
		names = append(names, database.ID)
	}
	slices.Sort(names)
	return strings.Join(slices.Compact(names), " ")
}

// demote makes the former primary a replica if it is reachable, and waits up to
// catchUpTimeout until a replica has received all of its log.
func (controller *Controller) demote(state dbset.State, term uint64) {
	report, err := controller.sendControl(state.Primary, proto.Demote{Term: term})
	if err == nil && !report.Primary {
		controller.awaitReceived(state, report.Received)
	}
}

// demoteFormer makes replicas of databases that still report to lead an earlier term, since the
// order after their successor's promotion did not reach them. A leader that starts while the
// successor is down would take one for the primary.
func (controller *Controller) demoteFormer(state dbset.State) {
	for _, member := range state.Members {
		if !member.Report.Primary || member.Report.Term >= state.Term || member.Failures > 0 {
			continue
		}
		if _, err := controller.sendControl(member.ID, proto.Demote{Term: state.Term}); err != nil {
			controller.Log.Write(event.PromotionFailed, event.Fields{
				"group": controller.Group.Name, "slot": member.ID, "error": err.Error(),
			})
		}
	}
}

// isReplicaCaughtUp reports whether a replica catches up with the primary, or the primary does
// not answer any more. A primary that is demoted earlier leaves the group without one until a
// replica has received all acknowledged commits.
func (controller *Controller) isReplicaCaughtUp(state dbset.State) bool {
	report, err := controller.sendControl(state.Primary, proto.GetReport{})
	if err != nil {
		primary, _ := findMember(controller.Group.State(), state.Primary)
		return isDown(primary, controller.Leases.PeerObservations(controller.Group.Name, state.Primary), controller.Clock.Now())
	}
	return controller.awaitReceived(state, report.Received)
}

// awaitReceived waits up to catchUpTimeout until a replica has received the log up to position,
// and reports whether one has.
func (controller *Controller) awaitReceived(state dbset.State, position posn.Position) bool {
	deadline := controller.Clock.Now().Add(catchUpTimeout)
	for !controller.hasReplicaReceived(state, position) {
		if !controller.Clock.Now().Before(deadline) {
			return false
		}
		<-controller.Clock.After(catchUpTimeout / 10)
	}
	return true
}

// hasReplicaReceived reports whether a replica has received the log up to position; a leaving one
// counts only if no other is a candidate.
func (controller *Controller) hasReplicaReceived(state dbset.State, position posn.Position) bool {
	mayBeLeaving := !hasCandidate(state, false)
	for _, member := range state.Members {
		if !isCandidate(member, state) || member.Leaving && !mayBeLeaving {
			continue
		}
		report, err := controller.sendControl(member.ID, proto.GetReport{})
		if err == nil && report.Received.AtLeast(position) {
			return true
		}
	}
	return false
}

// sealAll seals the replicas. It retries those that did not answer as long as one of
// them may have commits that no sealed replica has: a database that fails some requests
// or has no free connection must not be skipped.
func (controller *Controller) sealAll(state dbset.State, term uint64) []sealedReplica {
	deadline := controller.Clock.Now().Add(sealTimeout)
	newestKnown := controller.Group.Received()
	if acknowledged, ok := controller.Leases.Acknowledged(controller.Group.Name); ok {
		newestKnown = posn.Max(newestKnown, acknowledged)
	}
	seals := controller.seal(state, term, nil)
	for controller.needsMoreSeals(state, seals, newestKnown) && controller.Clock.Now().Before(deadline) {
		<-controller.Clock.After(checkInterval)
		seals = controller.seal(state, term, seals)
	}
	return seals
}

// needsMoreSeals reports whether all sealed replicas are behind the newest position that
// a replica is known to have received, and an unsealed replica may be reachable.
func (controller *Controller) needsMoreSeals(state dbset.State, seals []sealedReplica, newestKnown posn.Position) bool {
	if best, ok := mostAdvanced(seals); ok && best.report.Received.AtLeast(newestKnown) {
		return false
	}
	for _, member := range controller.Group.State().Members {
		if member.ID != state.Primary && member.RefusedConnections == 0 && !isSealed(seals, member.ID) {
			return true
		}
	}
	return false
}

func isSealed(seals []sealedReplica, id string) bool {
	return slices.ContainsFunc(seals, func(seal sealedReplica) bool { return seal.member.ID == id })
}

// seal seals concurrently all replicas that are not sealed yet, and returns seals with
// the new ones added.
func (controller *Controller) seal(state dbset.State, term uint64, seals []sealedReplica) []sealedReplica {
	var mu sync.Mutex
	sealedBefore := slices.Clone(seals)
	controller.forEachReplica(state, func(member dbset.MemberState) {
		if isSealed(sealedBefore, member.ID) {
			return
		}
		report, err := controller.sendControl(member.ID, proto.Seal{Term: term})
		if err != nil || report.Primary || report.SealedTerm < term {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		seals = append(seals, sealedReplica{member: member.Member, report: report})
	})
	return seals
}

// forEachReplica calls f concurrently for all members except the primary. Where replication is
// synchronous, a primary that was demoted is a replica that has all commits.
func (controller *Controller) forEachReplica(state dbset.State, f func(dbset.MemberState)) {
	var pending sync.WaitGroup
	for _, member := range state.Members {
		isFormer := state.IsSynchronous && controller.Group.State().Primary == ""
		if member.ID == state.Primary && !isFormer {
			continue
		}
		pending.Go(func() { f(member) })
	}
	pending.Wait()
}

// unseal removes the seals. It logs each failure as event.PromotionFailed, also after a
// promotion that succeeded. Seals that remain after a failed promotion are removed by
// unsealAbandoned.
func (controller *Controller) unseal(seals []sealedReplica) {
	for _, seal := range seals {
		if _, err := controller.sendControl(seal.member.ID, proto.Unseal{}); err != nil {
			controller.Log.Write(event.PromotionFailed, event.Fields{
				"group": controller.Group.Name, "slot": seal.member.ID, "error": err.Error(),
			})
		}
	}
}

// unsealAbandoned removes seals that were left by a failed promotion, or by a leader that
// stopped during one before it had recorded an order.
func (controller *Controller) unsealAbandoned(state dbset.State) {
	for _, member := range state.Members {
		if member.Report.SealedTerm <= state.Term || member.Failures > 0 || state.Primary == "" {
			continue
		}
		if _, err := controller.sendControl(member.ID, proto.Unseal{}); err == nil {
			controller.Log.Write(event.ReplicaUnsealed, event.Fields{"group": controller.Group.Name, "slot": member.ID})
		}
	}
}

// choose returns the sealed replica to promote: the preferred one, or else the most advanced. The
// term's last primary, which was demoted, is the primary still in the platform's view, so that an
// order for it has no effect.
func (controller *Controller) choose(seals []sealedReplica, preferred, lastPrimary string) (sealedReplica, bool) {
	for _, seal := range seals {
		if seal.member.ID == preferred {
			return seal, true
		}
	}
	return mostAdvanced(slices.DeleteFunc(slices.Clone(seals), func(seal sealedReplica) bool {
		return seal.member.ID == lastPrimary || seal.member.ID == controller.ineffective
	}))
}

// mostAdvanced returns the sealed replica with the highest received position, and of several one
// that is not leaving: a leaving one is replaced again once another has received its log.
func mostAdvanced(seals []sealedReplica) (sealedReplica, bool) {
	var best sealedReplica
	var found bool
	for _, seal := range seals {
		isAhead := !best.report.Received.AtLeast(seal.report.Received)
		isEqual := best.report.Received == seal.report.Received
		if !found || isAhead || isEqual && best.member.Leaving && !seal.member.Leaving {
			best, found = seal, true
		}
	}
	return best, found
}

// awaitRevocation waits until the leases have ended, and the evidence from before the seals.
func (controller *Controller) awaitRevocation(ctx context.Context, revocation *revocation, sealedAt time.Time) {
	if !revocation.await(nil) {
		controller.awaitEvidenceExpiry(ctx, sealedAt)
	}
}

// awaitEvidenceExpiry waits until no VM uses a replica's report from before the seals in
// place of a lease any more, or until ctx ends.
func (controller *Controller) awaitEvidenceExpiry(ctx context.Context, sealedAt time.Time) {
	select {
	case <-ctx.Done():
	case <-controller.Clock.After(sealedAt.Add(controller.Leases.EvidenceDuration() + evidenceMargin).Sub(controller.Clock.Now())):
	}
}

// sendControl sends one control request to a database and returns its report.
func (controller *Controller) sendControl(id string, request proto.Request) (dbset.Report, error) {
	pool := controller.Pools.Pool(id)
	if pool == nil {
		return dbset.Report{}, errNoCandidate
	}
	return SendControl(controller.Group, pool, controller.Clock, request, controlTimeout)
}
