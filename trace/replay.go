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

// replayer holds the state of the decision packages.
type replayer struct {
	view    view.View
	tracker detect.Tracker
	config  ticket.State
	shares  share.State
}

// maxSilence is how long a slot may be silent in routing, as on a VM.
const maxSilence = time.Second

// Replay feeds the steps to the decision packages.
func Replay(steps []Step) []Mismatch {
	replayer := &replayer{shares: share.New("vm1")}
	var mismatches []Mismatch
	for i, step := range steps {
		replayer.feed(step)
		for _, outcome := range replayer.compare(step) {
			if outcome.want != outcome.got {
				mismatches = append(mismatches, Mismatch{Step: i + 1, Note: step.Note, Want: outcome.want, Got: outcome.got})
			}
		}
	}
	return mismatches
}

// feed takes in the step's input, if it has one.
func (replayer *replayer) feed(step Step) {
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
	case step.Seen != nil:
		replayer.view = replayer.view.WithSeen(step.Seen.Slot, step.Seen.Position, at)
	case step.Floor != nil:
		replayer.view = replayer.view.WithFloor(*step.Floor, at)
	case step.Shares != nil:
		replayer.shares = replayer.shares.WithView(*step.Shares, at)
	case step.Word != nil:
		replayer.hear(*step.Word, at)
	}
}

func (replayer *replayer) hear(word Word, at time.Time) {
	said := share.Word{Epoch: word.Epoch, IsClosed: word.Closed}
	if word.Asked {
		said.At = at
	}
	replayer.shares = replayer.shares.WithWord(word.VM, said, at)
}

// outcome is one comparison, as text.
type outcome struct{ want, got string }

func same(want, got any) outcome { return outcome{fmt.Sprint(want), fmt.Sprint(got)} }

// compare checks the step's expectations.
func (replayer *replayer) compare(step Step) []outcome {
	at := step.at()
	switch {
	case step.Ticket != nil:
		return replayer.applyTicket(*step.Ticket)
	case step.Acked != nil:
		return []outcome{same(*step.Acked, replayer.view.Acked)}
	case step.Fate != nil:
		return []outcome{same(step.Fate.Fate, fateName(replayer.view.Fate(step.Fate.Position)))}
	case step.Primary != nil:
		return replayer.comparePrimary(*step.Primary)
	case step.Suspect != nil:
		return replayer.compareSuspect(*step.Suspect, at)
	case step.Elect != nil:
		winner, ok := quorum.Elect(replayer.view.Size, step.Elect.Term, step.Elect.Seals, step.Elect.Avoid)
		if !ok {
			winner = quorum.Report{}
		}
		return []outcome{same(step.Elect.Winner, winner.Slot)}
	case step.Read != nil:
		return replayer.compareRead(*step.Read, at)
	case step.Share != nil:
		replayer.shares = replayer.shares.Tick(at)
		return []outcome{same(step.Share.Share, replayer.shares.Of(step.Share.Group, step.Share.Limit, at))}
	}
	return nil
}

var fateNames = map[quorum.Fate]string{quorum.FateOpen: "open", quorum.FateKept: "kept", quorum.FateLost: "lost"}

func fateName(fate quorum.Fate) string { return fateNames[fate] }

func (replayer *replayer) applyTicket(step Ticket) []outcome {
	next, err := replayer.config.With(step.Ticket)
	if err == nil {
		replayer.config = next
		return []outcome{same(step.Error, "")}
	}
	if step.Error != "" && strings.Contains(err.Error(), step.Error) {
		return nil
	}
	return []outcome{same(step.Error, err.Error())}
}

func (replayer *replayer) comparePrimary(want Primary) []outcome {
	primary, _ := replayer.view.Primary()
	_, isReady := replayer.view.Ready()
	return []outcome{same(want.Slot, primary.Report.Slot), same(want.Ready, isReady)}
}

func (replayer *replayer) compareSuspect(want Suspect, at time.Time) []outcome {
	suspected := replayer.tracker.Judge(replayer.view, detect.DefaultLimits, at)
	if want.Live > 0 {
		term := replayer.view.Term()
		opinions := make([]detect.Opinion, want.Agreeing)
		for i := range opinions {
			opinions[i] = detect.Opinion{Term: term, Suspected: true}
		}
		suspected = suspected && detect.Agreed(term, opinions, want.Live)
	}
	return []outcome{same(want.Suspected, suspected)}
}

func (replayer *replayer) compareRead(want Read, at time.Time) []outcome {
	candidates := make([]route.Candidate, len(replayer.view.Slots))
	for i, slot := range replayer.view.Slots {
		candidates[i] = route.Candidate{Slot: slot}
	}
	choice := route.Choose(route.Query{
		Floor:      want.Floor,
		Staleness:  time.Duration(want.StalenessMs) * time.Millisecond,
		MaxSilence: maxSilence,
		Now:        at,
	}, candidates)
	return []outcome{same(want.Slot, choice.Slot), same(want.Reason, choice.Reason)}
}
