// Package retry limits the number and the timing of retries.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  12. Only a request whose verdict is notRun, or one without side effects, is
//     retried. Package fault decides which requests those are.
//  15. Retries are limited to a fifth of the successful requests plus a burst, so
//     that they add little load to a failing upstream. The pauses between attempts
//     have jitter.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// tokensPerSuccess and tokensPerRetry limit retries to a fifth of the
	// successful requests.
	tokensPerSuccess = 1
	tokensPerRetry   = 5
	// maxTokens allows a burst of 100 retries after a period without failures.
	maxTokens = 100 * tokensPerRetry
)

// Budget limits retries: it is a token bucket refilled by successful requests. The
// zero value is full, so that the first requests after a start can be retried.
// All methods are safe for concurrent use.
type Budget struct {
	spentTokens atomic.Int64
}

// RecordSuccess adds the tokens for a successful request.
func (budget *Budget) RecordSuccess() {
	for {
		spentTokens := budget.spentTokens.Load()
		if spentTokens < tokensPerSuccess {
			return
		}
		if budget.spentTokens.CompareAndSwap(spentTokens, spentTokens-tokensPerSuccess) {
			return
		}
	}
}

// TryTake takes the tokens for one retry; false if too few are left.
func (budget *Budget) TryTake() bool {
	for {
		spentTokens := budget.spentTokens.Load()
		if spentTokens+tokensPerRetry > maxTokens {
			return false
		}
		if budget.spentTokens.CompareAndSwap(spentTokens, spentTokens+tokensPerRetry) {
			return true
		}
	}
}

// Jitter returns a random duration of at least half of base and less than one
// and a half times base. The base must be positive.
func Jitter(base time.Duration) time.Duration {
	return base/2 + rand.N(base)
}
