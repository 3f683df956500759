package trace

import (
	"fmt"
	"strings"
	"time"

	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/route"
	"github.com/bramleydoor/bramleydoor/share"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/view"
)

// replayer has the state that the decision packages work on.
type replayer struct {
	view    view.View
	tracker detect.Tracker
	config  ticket.State
	shares  share.State
}

// maxSilence is the longest time since a slot's last answer at which the replay still
// routes reads to the slot. On a VM it is longer (see package router), since a VM polls
// some groups only at watch.IdleInterval.
const maxSilence = time.Second

// Replay applies the steps' inputs to the decision packages and returns the outcomes
// that differ from the expected ones. It replays the decisions of one VM, which traces
// call vm1.
func Replay(steps []Step) []Mismatch {
	replayer := &replayer{shares: share.New("vm1")}
	var mismatches []Mismatch
	for i, step := range steps {
		replayer.applyInput(step)
		for _, comparison := range replayer.compare(step) {
			if comparison.want != comparison.got {
				mismatches = append(mismatches, Mismatch{Step: i + 1, Note: step.Note, Want: comparison.want, Got: comparison.got})
			}
		}
	}
	return mismatches
}

// applyInput applies the step's input, if it has one. Tickets are applied by compare,
// since their error is compared too.
func (replayer *replayer) applyInput(step Step) {
	at := step.at()
	switch {
	case step.Group != nil:
		replayer.view = view.View{Size: step.Group.Slots}
		replayer.tracker = detect.Tracker{}
	case step.Report != nil:
		replayer.view = replayer.view.WithReport(*step.Report, at)
	case step.Failure != nil:
		replayer.view = replayer.view.WithFailure(step.Failure.Slot, step.Failure.Refused, at)
	case step.Progress != nil:
		replayer.view = replayer.view.WithProgress(step.Progress.Reports, at)
	case step.ObservedPosition != nil:
		replayer.view = replayer.view.WithObservation(step.ObservedPosition.Slot, step.ObservedPosition.Position, at)
	case step.Confirmed != nil:
		replayer.view = replayer.view.WithConfirmation(*step.Confirmed, at)
	case step.Shares != nil:
		replayer.shares = replayer.shares.WithView(*step.Shares, at)
	case step.ShareReport != nil:
		replayer.applyShareReport(*step.ShareReport, at)
	}
}

func (replayer *replayer) applyShareReport(shareReport ShareReport, at time.Time) {
	report := share.Report{Epoch: shareReport.Epoch, IsWithinShare: shareReport.IsWithinShare}
	if shareReport.IsReply {
		report.At = at
	}
	replayer.shares = replayer.shares.WithReport(shareReport.VM, report, at)
}

// comparison is an expected and an actual value as text.
type comparison struct{ want, got string }

func newComparison(want, got any) comparison {
	return comparison{fmt.Sprint(want), fmt.Sprint(got)}
}

// compare returns the comparisons for the step's expectation. For a ticket it applies
// the ticket and compares its error; for a share it first ticks the shares to the step's
// time. For any other input it returns none.
func (replayer *replayer) compare(step Step) []comparison {
	at := step.at()
	switch {
	case step.Ticket != nil:
		return replayer.applyTicket(*step.Ticket)
	case step.Acked != nil:
		return []comparison{newComparison(*step.Acked, replayer.view.Acked)}
	case step.Outcome != nil:
		return []comparison{newComparison(step.Outcome.Outcome, outcomeName(replayer.view.Outcome(step.Outcome.Position)))}
	case step.Primary != nil:
		return replayer.comparePrimary(*step.Primary)
	case step.Suspicion != nil:
		return replayer.compareSuspicion(*step.Suspicion, at)
	case step.Election != nil:
		winner, ok := quorum.Elect(replayer.view.Size, step.Election.Term, step.Election.Seals, step.Election.Avoid)
		if !ok {
			winner = quorum.Report{}
		}
		return []comparison{newComparison(step.Election.Winner, winner.Slot)}
	case step.ReadRoute != nil:
		return replayer.compareRead(*step.ReadRoute, at)
	case step.Share != nil:
		replayer.shares = replayer.shares.Tick(at)
		return []comparison{newComparison(step.Share.Share, replayer.shares.Of(step.Share.Group, step.Share.Limit, at))}
	}
	return nil
}

var outcomeNames = map[quorum.Outcome]string{quorum.OutcomeOpen: "open", quorum.OutcomeKept: "kept", quorum.OutcomeLost: "lost"}

func outcomeName(outcome quorum.Outcome) string { return outcomeNames[outcome] }

// applyTicket applies a ticket and compares its error with the expected one. It
// returns no comparison if the error contains the expected text.
func (replayer *replayer) applyTicket(want Ticket) []comparison {
	next, err := replayer.config.With(want.Ticket)
	if err == nil {
		replayer.config = next
		return []comparison{newComparison(want.Error, "")}
	}
	if want.Error != "" && strings.Contains(err.Error(), want.Error) {
		return nil
	}
	return []comparison{newComparison(want.Error, err.Error())}
}

func (replayer *replayer) comparePrimary(want Primary) []comparison {
	primary, _ := replayer.view.Primary()
	_, isReady := replayer.view.Ready()
	return []comparison{newComparison(want.Slot, primary.Report.Slot), newComparison(want.Ready, isReady)}
}

// compareSuspicion compares whether the primary is suspected. If want.Live is set, it
// counts as suspected only if the local VM suspects it and more than half of want.Live
// agree.
func (replayer *replayer) compareSuspicion(want Suspicion, at time.Time) []comparison {
	suspected := replayer.tracker.NeedsFailover(replayer.view, detect.DefaultLimits, at)
	if want.Live > 0 {
		term := replayer.view.Term()
		opinions := make([]detect.Opinion, want.Agreeing)
		for i := range opinions {
			opinions[i] = detect.Opinion{Term: term, Suspected: true}
		}
		suspected = suspected && detect.Agreed(term, opinions, want.Live)
	}
	return []comparison{newComparison(want.Suspected, suspected)}
}

func (replayer *replayer) compareRead(want ReadRoute, at time.Time) []comparison {
	candidates := make([]route.Candidate, len(replayer.view.Slots))
	for i, slot := range replayer.view.Slots {
		candidates[i] = route.Candidate{Slot: slot}
	}
	choice := route.Choose(route.Query{
		MinPosition:  want.MinPosition,
		MaxStaleness: time.Duration(want.StalenessMs) * time.Millisecond,
		MaxSilence:   maxSilence,
		Now:          at,
	}, candidates)
	return []comparison{newComparison(want.Slot, choice.Slot), newComparison(want.Reason, choice.Reason)}
}
