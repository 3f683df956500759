// Package clock passes time in as an interface, so that decisions can be
// replayed and tested without waiting.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time and makes timers.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives once duration has passed.
	After(duration time.Duration) <-chan time.Time
}

// System is the machine's clock.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// After waits on the machine's clock.
func (System) After(duration time.Duration) <-chan time.Time { return time.After(duration) }

// Manual is a clock that moves only when told to. The zero value starts at
// the zero time.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

type timer struct {
	at time.Time
	ch chan time.Time
}

// Now returns the time the clock was last moved to.
func (manual *Manual) Now() time.Time {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	return manual.now
}

// After returns a channel that receives when Advance passes duration.
func (manual *Manual) After(duration time.Duration) <-chan time.Time {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	ch := make(chan time.Time, 1)
	manual.timers = append(manual.timers, timer{at: manual.now.Add(duration), ch: ch})
	return ch
}

// Advance moves the clock and fires the timers that are due.
func (manual *Manual) Advance(duration time.Duration) {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	manual.now = manual.now.Add(duration)
	waiting := manual.timers[:0]
	for _, t := range manual.timers {
		if t.at.After(manual.now) {
			waiting = append(waiting, t)
			continue
		}
		t.ch <- manual.now
	}
	manual.timers = waiting
}
