package store

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
)

const (
	// retryAfter is the delay without an answer after which another read is
	// started: longer than a slow store takes, far shorter than the timeout of a
	// call that the store never answers.
	retryAfter = 300 * time.Millisecond
	// maxConcurrentReads limits the reads in progress, maxConcurrentSwaps the writes.
	maxConcurrentReads = 5
	maxConcurrentSwaps = 3
)

// rangeResult is the result of one Tree.Range call.
type rangeResult struct {
	items    []Item
	revision uint64
	err      error
}

// RangeWithRetry reads a prefix like Tree.Range, for the initial read of a process. A call
// made while the store is unresponsive may stay unanswered after the store has
// recovered, so further reads are started until one succeeds; the first success is
// returned. RangeWithRetry fails when all reads in progress have failed or ctx is done.
func RangeWithRetry(ctx context.Context, tree Tree, clock clock.Clock, prefix string, allowStale bool) ([]Item, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	arriving := make(chan struct{}, maxConcurrentReads)
	ctx = withProgress(ctx, func() {
		select {
		case arriving <- struct{}{}:
		default:
		}
	})
	results := make(chan rangeResult, maxConcurrentReads)
	startRead := func() {
		items, revision, err := tree.Range(ctx, prefix, allowStale)
		results <- rangeResult{items, revision, err}
	}
	go startRead()
	pending, retryTimer := 1, clock.After(retryAfter)
	// While an answer arrives, another read would only delay it: many VMs that start together
	// share the store's link.
	isArriving := false
	for {
		select {
		case result := <-results:
			pending--
			isArriving = false
			if result.err == nil || pending == 0 || ctx.Err() != nil {
				return result.items, result.revision, result.err
			}
		case <-arriving:
			isArriving = true
		case <-retryTimer:
			retryTimer = clock.After(retryAfter)
			if pending < maxConcurrentReads && !isArriving {
				pending++
				go startRead()
			}
		}
	}
}

// swapResult is the result of one Tree.Swap call.
type swapResult struct {
	item Item
	err  error
}

// SwapWithRetry writes a key like Tree.Swap. While there is no answer, which may have been lost
// after the write was made, the same write is tried again, since at most one of the tries can
// find the revision unchanged. No other write to the key may have the same value: a conflict
// with that value is a success.
func SwapWithRetry(ctx context.Context, tree Tree, clock clock.Clock, key string, value []byte, revision uint64) (Item, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan swapResult, maxConcurrentSwaps)
	startSwap := func() {
		item, err := tree.Swap(ctx, key, value, revision)
		results <- swapResult{item, err}
	}
	go startSwap()
	pending, started, retryTimer := 1, 1, clock.After(retryAfter)
	for {
		select {
		case result := <-results:
			pending--
			switch {
			case result.err == nil:
				return result.item, nil
			case errors.Is(result.err, ErrConflict):
				if bytes.Equal(result.item.Value, value) {
					return result.item, nil
				}
				return result.item, result.err
			case pending == 0 || ctx.Err() != nil:
				return Item{}, result.err
			}
		case <-retryTimer:
			if started < maxConcurrentSwaps {
				started++
				pending++
				retryTimer = clock.After(retryAfter)
				go startSwap()
			}
		}
	}
}
