// Package clock defines a clock as an interface, so that decisions can be replayed and
// tested without real delays.
package clock

import (
	"sync"
	"time"
)

// Clock returns the current time and signals when a duration has passed.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time, once, when duration has passed.
	After(duration time.Duration) <-chan time.Time
}

// System is the clock of package time.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives the time, once, when duration has passed.
func (System) After(duration time.Duration) <-chan time.Time { return time.After(duration) }

// Manual is a clock that moves only by Advance. The zero value starts at the zero
// time. It is safe for concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

// timer is a pending call of After.
type timer struct {
	dueAt time.Time
	ch    chan time.Time
}

// Now returns the time to which the clock was last advanced.
func (manual *Manual) Now() time.Time {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	return manual.now
}

// After returns a channel that receives the time when Advance has moved the clock by at
// least duration. The channel receives only in a call of Advance, also if duration is 0
// or less.
func (manual *Manual) After(duration time.Duration) <-chan time.Time {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	ch := make(chan time.Time, 1)
	manual.timers = append(manual.timers, timer{dueAt: manual.now.Add(duration), ch: ch})
	return ch
}

// Advance moves the clock forward by duration and fires the timers that are due.
func (manual *Manual) Advance(duration time.Duration) {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	manual.now = manual.now.Add(duration)
	pending := manual.timers[:0]
	for _, timer := range manual.timers {
		if timer.dueAt.After(manual.now) {
			pending = append(pending, timer)
			continue
		}
		timer.ch <- manual.now
	}
	manual.timers = pending
}
