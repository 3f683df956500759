package promo

import (
	"strings"
	"sync"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/proto"
)

// stateInNewestTerm returns the group's state. A primary of an earlier term than the recorded one
// is none, whatever the databases that answer report: those that know the newer term may be down.
func (controller *Controller) stateInNewestTerm() dbset.State {
	known, isKnown := controller.Leadership.Known()
	if isKnown {
		controller.Group.AdoptTerm(known.Term)
	}
	state := controller.Group.State()
	if !isKnown {
		for _, member := range state.Members {
			controller.Group.AdoptTerm(member.Report.Term)
		}
		state = controller.Group.State()
	}
	if state.Primary == "" {
		return state
	}
	if missing := controller.unheard(state); !isKnown && len(missing) > 0 {
		// Without a record any of them may be the only one that knows the newest term.
		controller.reportWait(waitReports, state.Term, strings.Join(missing, " "))
		controller.requestReports(missing)
		return state
	}
	controller.recordState(state)
	return state
}

// recordState records the group's term and, where replication is synchronous, the databases that may
// have acknowledged commits.
func (controller *Controller) recordState(state dbset.State) {
	found := leader.GroupState{Term: state.Term}
	if state.IsSynchronous {
		known, _ := controller.Leadership.Known()
		primary, _ := findMember(state, state.Primary)
		found.Primary = leader.Database{ID: primary.ID, Born: primary.Born}
		found.Databases = controller.holders.next(known.Databases, state, controller.Clock.Now())
	}
	controller.Leadership.RecordGroup(found)
}

// unheard returns the databases that have answered no request for a report that was sent since this
// VM has become the leader.
func (controller *Controller) unheard(state dbset.State) []string {
	var unheard []string
	for _, member := range state.Members {
		if member.ReportedAt.IsZero() || member.RequestedAt.Before(controller.tokenSince) {
			unheard = append(unheard, member.ID)
		}
	}
	return unheard
}

// requestReports requests reports from databases, and records them in the group.
func (controller *Controller) requestReports(ids []string) {
	var pending sync.WaitGroup
	for _, id := range ids {
		pending.Go(func() { _, _ = controller.sendControl(id, proto.GetReport{}) })
	}
	pending.Wait()
}
