package store

import (
	"context"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
)

const (
	// againAfter is how long a first read may stay without an answer before it is
	// made again: longer than a slow store takes, far shorter than the timeout of
	// a call that went into silence.
	againAfter = 300 * time.Millisecond
	// mostAtOnce bounds the reads that wait for an answer.
	mostAtOnce = 5
)

type read struct {
	items    []Item
	revision uint64
	err      error
}

// RangeEarly reads a prefix like Tree.Range, for a process that knows nothing yet.
// A call that went into a silent store hears nothing though the store is back, so
// the read is made again while none has been answered; the first answer counts. It
// fails when all reads that were made have failed.
func RangeEarly(ctx context.Context, tree Tree, clock clock.Clock, prefix string, mayBeOld bool) ([]Item, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan read, mostAtOnce)
	ask := func() {
		items, revision, err := tree.Range(ctx, prefix, mayBeOld)
		answers <- read{items, revision, err}
	}
	go ask()
	waiting, again := 1, clock.After(againAfter)
	for {
		select {
		case answer := <-answers:
			waiting--
			if answer.err == nil || waiting == 0 || ctx.Err() != nil {
				return answer.items, answer.revision, answer.err
			}
		case <-again:
			again = clock.After(againAfter)
			if waiting < mostAtOnce {
				waiting++
				go ask()
			}
		}
	}
}
