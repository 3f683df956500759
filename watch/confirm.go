package watch

import (
	"context"

	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/view"
)

// confirmer lets concurrent callers share one round of reports. A caller joins
// only a round that starts after it arrived (rule 2).
type confirmer struct {
	requests chan chan confirmation
}

type confirmation struct {
	floor posn.Position
	ok    bool
}

// confirmBacklog bounds the callers that wait for a confirmation.
const confirmBacklog = 4096

// Confirm returns a floor that covers every commit acknowledged before the
// call, from reports that a majority of slots made after it (rule 2).
func (watch *Watch) Confirm(ctx context.Context) (posn.Position, error) {
	answer := make(chan confirmation, 1)
	refusal := fault.Refuse(fault.CodeUnavailable, fault.ReasonNoConfirmation, "no majority of slots confirmed the current position")
	for {
		select {
		case watch.confirm.requests <- answer:
		case <-ctx.Done():
			return posn.Position{}, refusal
		}
		select {
		case result := <-answer:
			if result.ok {
				return result.floor, nil
			}
		case <-ctx.Done():
			return posn.Position{}, refusal
		}
	}
}

func (watch *Watch) runConfirm(ctx context.Context) error {
	for {
		select {
		case first := <-watch.confirm.requests:
			waiting := append(watch.confirm.drain(), first)
			watch.answer(ctx, waiting)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (confirmer *confirmer) drain() []chan confirmation {
	var waiting []chan confirmation
	for {
		select {
		case answer := <-confirmer.requests:
			waiting = append(waiting, answer)
		default:
			return waiting
		}
	}
}

func (watch *Watch) answer(ctx context.Context, waiting []chan confirmation) {
	floor, ok := watch.confirmOnce(ctx)
	for _, answer := range waiting {
		answer <- confirmation{floor: floor, ok: ok}
	}
}

// confirmOnce returns as soon as a majority has answered; a dead slot must not
// make each confirmation wait for its timeout.
func (watch *Watch) confirmOnce(ctx context.Context) (posn.Position, bool) {
	start := watch.Clock.Now()
	slots := watch.Group().Slots
	results := make(chan *quorum.Report, len(slots))
	for _, slot := range slots {
		go func() {
			report, err := watch.ask(ctx, slot)
			if err != nil {
				results <- nil
				return
			}
			results <- &report
		}()
	}
	var reports []quorum.Report
	for range slots {
		if report := <-results; report != nil {
			reports = append(reports, *report)
		}
		if floor, ok := quorum.Floor(len(slots), reports); ok {
			watch.update(func(v view.View) view.View { return v.WithFloor(floor, start) })
			return floor, true
		}
	}
	return posn.Position{}, false
}
