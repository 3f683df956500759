package watch

import (
	"context"

	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/view"
)

// confirmer batches concurrent calls of Confirm, so that they share one round of
// reports. A call joins only a round that starts after the call was made (rule 2).
type confirmer struct {
	// requests has a channel for the result of each waiting call.
	requests chan chan confirmation
}

// confirmation is the result of one round; ok is false if there was no majority.
type confirmation struct {
	position posn.Position
	ok       bool
}

// confirmBacklog bounds the calls that are queued for the next round.
const confirmBacklog = 4096

// Confirm returns a minimum position that includes every commit acknowledged before the
// call. It is taken from reports that a majority of slots made after the call (rule 2).
// Rounds without a majority are repeated until ctx ends; then the error is a refusal with
// the reason noConfirmation.
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
				return result.position, nil
			}
		case <-ctx.Done():
			return posn.Position{}, refusal
		}
	}
}

// runConfirm serves the queued calls of Confirm, one round after another, until ctx ends.
func (watch *Watch) runConfirm(ctx context.Context) error {
	for {
		select {
		case first := <-watch.confirm.requests:
			batch := append(watch.confirm.drain(), first)
			watch.runBatch(ctx, batch)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// drain returns the queued requests without blocking.
func (confirmer *confirmer) drain() []chan confirmation {
	var batch []chan confirmation
	for {
		select {
		case answer := <-confirmer.requests:
			batch = append(batch, answer)
		default:
			return batch
		}
	}
}

// runBatch runs one round and sends its result to all calls of the batch.
func (watch *Watch) runBatch(ctx context.Context, batch []chan confirmation) {
	confirmed, ok := watch.confirmOnce(ctx)
	for _, answer := range batch {
		answer <- confirmation{position: confirmed, ok: ok}
	}
}

// confirmOnce runs one round and returns as soon as a majority has answered, so that an
// unreachable slot does not delay each confirmation by its timeout. It returns false
// without a majority.
func (watch *Watch) confirmOnce(ctx context.Context) (posn.Position, bool) {
	start := watch.Clock.Now()
	slots := watch.Group().Slots
	results := make(chan *quorum.Report, len(slots))
	for _, slot := range slots {
		go func() {
			report, err := watch.requestReport(ctx, slot)
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
		if confirmed, ok := quorum.ConfirmedPosition(len(slots), reports); ok {
			watch.updateView(func(old view.View) view.View { return old.WithConfirmation(confirmed, start) })
			return confirmed, true
		}
	}
	return posn.Position{}, false
}
