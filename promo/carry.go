package promo

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/wires"
)

var (
	errNoCandidate = errors.New("no replica was sealed")
	errNoDuty      = errors.New("the duty was lost")
	errNotLeading  = errors.New("the promoted database doesn't lead yet")
)

// sealed is a replica that takes nothing from lower terms any more.
type sealed struct {
	member dbset.Member
	report dbset.Report
}

// promote carries a promotion out (rules 8, 9 and 18).
func (keeper *Keeper) promote(ctx context.Context, state dbset.State, cause Cause) error {
	began := keeper.Clock.Now()
	term := state.Term + 1
	keeper.Log.Write(event.PromotionBegun, event.Fields{"group": keeper.Group.Name, "term": term, "cause": string(cause)})
	if cause == Leaving {
		keeper.demote(state, term)
	}
	seals := keeper.sealAll(state, term)
	sealedAt := keeper.Clock.Now()
	best, ok := mostReceived(seals)
	if !ok {
		keeper.unseal(seals)
		return errNoCandidate
	}
	defer keeper.Grants.Thaw(keeper.Group.Name) // also after a failure
	isConfirmed := keeper.Grants.Freeze(ctx, keeper.Group.Name)
	if !isConfirmed {
		keeper.waitOut(ctx, sealedAt)
	}
	orderedAt := keeper.Clock.Now()
	if err := keeper.order(ctx, best.member); err != nil {
		keeper.unseal(seals)
		return err
	}
	err := keeper.awaitLead(ctx, best.member, state.Term)
	if err == nil {
		keeper.Group.Show(keeper.Group.Term())
		keeper.Grants.Thaw(keeper.Group.Name)
	}
	keeper.unseal(seals)
	if err != nil {
		return err
	}
	keeper.Log.Write(event.PromotionDone, event.Fields{
		"group": keeper.Group.Name, "term": term, "slot": best.member.ID,
		"position": best.report.Received.String(),
		"sealed":   len(seals), "allRevoked": isConfirmed,
		"sealMs":   sealedAt.Sub(began).Milliseconds(),
		"revokeMs": orderedAt.Sub(sealedAt).Milliseconds(),
		"tookMs":   keeper.Clock.Now().Sub(began).Milliseconds(),
	})
	keeper.demote(state, term)
	return nil
}

// demote makes the former primary a replica, if it can be reached, and lets the
// replicas receive what it has.
func (keeper *Keeper) demote(state dbset.State, term uint64) {
	report, err := keeper.control(state.Primary, wires.Demote{Term: term})
	if err != nil {
		return
	}
	until := keeper.Clock.Now().Add(catchUpWait)
	for keeper.Clock.Now().Before(until) && !keeper.hasReceived(state, report.Received) {
		<-keeper.Clock.After(catchUpWait / 10)
	}
}

func (keeper *Keeper) hasReceived(state dbset.State, position posn.Position) bool {
	for _, member := range state.Members {
		if !isCandidate(member, state.Primary) {
			continue
		}
		report, err := keeper.control(member.ID, wires.Inquire{})
		if err == nil && report.Received.AtLeast(position) {
			return true
		}
	}
	return false
}

// sealAll seals the replicas, and again those that did not answer while one of them
// may have commits that no sealed one has: a database that fails part of its requests,
// or is full, must not be passed over.
func (keeper *Keeper) sealAll(state dbset.State, term uint64) []sealed {
	until := keeper.Clock.Now().Add(sealWait)
	known := keeper.Group.Received()
	seals := keeper.seal(state, term, nil)
	for keeper.lacks(state, seals, known) && keeper.Clock.Now().Before(until) {
		<-keeper.Clock.After(lookEvery)
		seals = keeper.seal(state, term, seals)
	}
	return seals
}

// lacks reports whether no sealed replica has all that one of them was known to have
// received, and one that is not sealed may be reached.
func (keeper *Keeper) lacks(state dbset.State, seals []sealed, known posn.Position) bool {
	if best, ok := mostReceived(seals); ok && best.report.Received.AtLeast(known) {
		return false
	}
	for _, member := range keeper.Group.State().Members {
		if member.ID != state.Primary && !member.Leaving && member.Refusals == 0 && !isSealed(seals, member.ID) {
			return true
		}
	}
	return false
}

func isSealed(seals []sealed, id string) bool {
	return slices.ContainsFunc(seals, func(seal sealed) bool { return seal.member.ID == id })
}

// seal seals all replicas at once that are not sealed yet.
func (keeper *Keeper) seal(state dbset.State, term uint64, seals []sealed) []sealed {
	var mu sync.Mutex
	done := slices.Clone(seals)
	keeper.each(state, func(member dbset.MemberState) {
		if isSealed(done, member.ID) {
			return
		}
		report, err := keeper.control(member.ID, wires.Seal{Term: term})
		if err != nil || report.Primary {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		seals = append(seals, sealed{member: member.Member, report: report})
	})
	return seals
}

// each calls f for all members but the primary, at once.
func (keeper *Keeper) each(state dbset.State, f func(dbset.MemberState)) {
	var group sync.WaitGroup
	for _, member := range state.Members {
		if member.ID == state.Primary {
			continue
		}
		group.Go(func() { f(member) })
	}
	group.Wait()
}

func (keeper *Keeper) unseal(seals []sealed) {
	for _, seal := range seals {
		if _, err := keeper.control(seal.member.ID, wires.Unseal{}); err != nil {
			keeper.Log.Write(event.PromotionFailed, event.Fields{
				"group": keeper.Group.Name, "slot": seal.member.ID, "error": err.Error(),
			})
		}
	}
}

// unsealLeftovers ends seals that a keeper left behind when it died.
func (keeper *Keeper) unsealLeftovers(state dbset.State) {
	for _, member := range state.Members {
		if member.Report.Held <= state.Term || member.Failures > 0 || state.Primary == "" {
			continue
		}
		if _, err := keeper.control(member.ID, wires.Unseal{}); err == nil {
			keeper.Log.Write(event.ReplicaUnsealed, event.Fields{"group": keeper.Group.Name, "slot": member.ID})
		}
	}
}

func mostReceived(seals []sealed) (sealed, bool) {
	var best sealed
	var found bool
	for _, seal := range seals {
		if seal.member.Leaving {
			continue
		}
		if !found || !best.report.Received.AtLeast(seal.report.Received) {
			best, found = seal, true
		}
	}
	return best, found
}

// waitOut waits until no replica's report stands for a grant any more.
func (keeper *Keeper) waitOut(ctx context.Context, sealedAt time.Time) {
	select {
	case <-ctx.Done():
	case <-keeper.Clock.After(sealedAt.Add(dbset.EvidenceFor + grantMargin).Sub(keeper.Clock.Now())):
	}
}

func (keeper *Keeper) order(ctx context.Context, member dbset.Member) error {
	token, end, ok := keeper.Duty.Begin(orderWait)
	if !ok {
		return errNoDuty
	}
	defer end()
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	return keeper.Orders.Promote(ctx, Order{
		Group: keeper.Group.Name, Member: member.ID, Holder: keeper.Holder, Token: token,
	})
}

// awaitLead asks the promoted database until it says that it leads.
func (keeper *Keeper) awaitLead(ctx context.Context, member dbset.Member, former uint64) error {
	until := keeper.Clock.Now().Add(leadWait)
	for keeper.Clock.Now().Before(until) {
		report, err := keeper.control(member.ID, wires.Inquire{})
		if err == nil && report.Primary && report.Term > former {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-keeper.Clock.After(lookEvery):
		}
	}
	return errNotLeading
}

// control asks one database for something and takes its report.
func (keeper *Keeper) control(id string, request wires.Request) (dbset.Report, error) {
	pool := keeper.Links.Pool(id)
	if pool == nil {
		return dbset.Report{}, errNoCandidate
	}
	return Ask(keeper.Group, pool, keeper.Clock, request, askWait)
}
