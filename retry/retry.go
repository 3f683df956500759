// Package retry bounds repeated attempts.
//
// Rules:
//
//  12. Only a request whose verdict is notRun, or one without effects, is
//     attempted again. This package doesn't decide that; package fault says it.
//  15. Retries are a share of the successful requests, so that a failing
//     upstream isn't hit harder than a healthy one. Pauses are spread out.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// fillPerSuccess and costPerRetry make retries a fifth of the successes.
	fillPerSuccess = 1
	costPerRetry   = 5
	// maxTokens lets a burst of a hundred retries through after quiet times.
	maxTokens = 100 * costPerRetry
)

// Budget is a token bucket that successes fill. The zero value is full, so that
// the first requests after a start may be repeated.
type Budget struct {
	spent atomic.Int64
}

// Fill notes a successful request.
func (budget *Budget) Fill() {
	for {
		spent := budget.spent.Load()
		if spent < fillPerSuccess {
			return
		}
		if budget.spent.CompareAndSwap(spent, spent-fillPerSuccess) {
			return
		}
	}
}

// Take takes one retry; false if the budget is spent.
func (budget *Budget) Take() bool {
	for {
		spent := budget.spent.Load()
		if spent+costPerRetry > maxTokens {
			return false
		}
		if budget.spent.CompareAndSwap(spent, spent+costPerRetry) {
			return true
		}
	}
}

// Jitter returns a random duration between half of base and one and a half.
func Jitter(base time.Duration) time.Duration {
	return base/2 + rand.N(base)
}
