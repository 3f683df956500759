// Package admit decides how much work a VM gives one database at a time, which
// request goes next, and which is refused. It does no I/O; time is passed in. It
// is not safe for concurrent use.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  15. Work beyond what the database takes without delay waits at the VM, by
//     priority, then by when it is due. A request that can't be sent in time is
//     refused at once. A queue that has stood for a while only takes what can
//     still be answered by its due time, so that an overload ends in some
//     refusals and not in all answers being late.
package admit

import (
	"slices"
	"time"
)

const (
	// leastLimit is the least work that a VM gives a database at a time. Below one,
	// the VM pauses between two requests: many VMs share few slots.
	leastLimit = 0.1
	// firstLimit is what it begins with.
	firstLimit = 4
	// adjustEvery is how often the limit changes.
	adjustEvery = 100 * time.Millisecond
	// decrease is the factor of the limit while answers are slow.
	decrease = 0.85
	// slowFactor times the usual latency, and slowMargin more, is slow;
	// veryFactor times, and veryMargin more, is so slow that the VM pauses.
	slowFactor = 2
	slowMargin = 10 * time.Millisecond
	veryFactor = 4
	veryMargin = 30 * time.Millisecond
	// fastFactor times the usual latency leaves room for more.
	fastFactor = 1.5
	// latencyWeight is that of the past in the moving average.
	latencyWeight = 16
	// usualRise is how long the usual latency takes to follow a lasting rise.
	usualRise = 20 * time.Second
	// standsFor is how long a queue must not have been empty to be a standing one.
	standsFor = 300 * time.Millisecond
)

// Want is a request for one of a database's places.
type Want struct {
	// Priority 0 goes first.
	Priority int
	// Due is when its caller hopes for the answer.
	Due time.Time
	// Patience is how long it waits at most, ShortPatience in a standing queue.
	Patience      time.Duration
	ShortPatience time.Duration
}

// Gate is the way to one database. The zero value is ready for use.
type Gate[T comparable] struct {
	inUse    int
	limit    float64
	latency  time.Duration
	usual    time.Duration
	observed time.Time
	adjusted time.Time
	queue    []waiting[T]
	stands   time.Time
	// pausedUntil is when a limit below one lets the next request through.
	pausedUntil time.Time
}

type waiting[T comparable] struct {
	want  Want
	value T
}

// Limit is how much work the database gets at a time.
func (gate *Gate[T]) Limit() float64 {
	if gate.limit == 0 {
		return firstLimit
	}
	return gate.limit
}

// InUse is how much it has; Waiting is how much waits.
func (gate *Gate[T]) InUse() int { return gate.inUse }

// Waiting returns how many requests wait.
func (gate *Gate[T]) Waiting() int { return len(gate.queue) }

// HasRoom reports whether more work may go to the database.
func (gate *Gate[T]) HasRoom(now time.Time) bool {
	if gate.Limit() < 1 {
		return gate.inUse == 0 && !now.Before(gate.pausedUntil)
	}
	return gate.inUse < int(gate.Limit())
}

// Pause is how long HasRoom stays false though nothing is in use; zero if that
// depends on the work in use.
func (gate *Gate[T]) Pause(now time.Time) time.Duration {
	if gate.inUse > 0 || gate.Limit() >= 1 || !now.Before(gate.pausedUntil) {
		return 0
	}
	return gate.pausedUntil.Sub(now)
}

// Enter takes a place; Leave gives it back.
func (gate *Gate[T]) Enter() { gate.inUse++ }

// Leave gives a place back.
func (gate *Gate[T]) Leave(now time.Time) {
	gate.inUse--
	if limit := gate.Limit(); limit < 1 {
		gate.pausedUntil = now.Add(time.Duration(float64(gate.latency) * (1/limit - 1)))
	}
}

// Overload learns that the database refused work for lack of room.
func (gate *Gate[T]) Overload(now time.Time) {
	if now.Sub(gate.adjusted) >= adjustEvery {
		gate.adjusted = now
		gate.limit = max(leastLimit, gate.Limit()*decrease)
	}
}

// Observe learns from the latency of an answer: additive increase of the limit,
// multiplicative decrease (Chiu and Jain, 1989).
func (gate *Gate[T]) Observe(latency time.Duration, now time.Time) {
	if gate.usual == 0 {
		gate.latency, gate.usual, gate.limit, gate.observed = latency, latency, firstLimit, now
	}
	gate.latency += (latency - gate.latency) / latencyWeight
	if gate.latency < gate.usual {
		gate.usual = gate.latency
	} else {
		passed := min(now.Sub(gate.observed), time.Second)
		gate.usual += time.Duration(float64(gate.latency-gate.usual) * float64(passed) / float64(usualRise))
	}
	gate.observed = now
	if now.Sub(gate.adjusted) < adjustEvery {
		return
	}
	gate.adjusted = now
	switch {
	case gate.latency > veryFactor*gate.usual+veryMargin:
		gate.limit = max(leastLimit, gate.limit*decrease)
	case gate.latency > slowFactor*gate.usual+slowMargin:
		gate.limit = max(min(1, gate.limit), gate.limit*decrease)
	case float64(gate.latency) < fastFactor*float64(gate.usual)+float64(slowMargin) && float64(gate.inUse+1) >= gate.Limit():
		gate.limit += min(1, gate.limit/2)
	}
}

// Queue lets a request wait; false if it would wait for too long.
func (gate *Gate[T]) Queue(want Want, value T, now time.Time) bool {
	at := len(gate.queue)
	for at > 0 && want.isBefore(gate.queue[at-1].want) {
		at--
	}
	if gate.expected(at) > gate.patience(want, now) {
		return false
	}
	if len(gate.queue) == 0 {
		gate.stands = now
	}
	gate.queue = slices.Insert(gate.queue, at, waiting[T]{want, value})
	return true
}

func (want Want) isBefore(other Want) bool {
	if want.Priority != other.Priority {
		return want.Priority < other.Priority
	}
	return want.Due.Before(other.Due)
}

// expected is how long a request waits that has so many ahead of it.
func (gate *Gate[T]) expected(ahead int) time.Duration {
	limit := gate.Limit()
	if limit >= 1 {
		limit = min(limit, float64(max(gate.inUse, 1)))
	}
	return time.Duration(float64(gate.latency) * float64(ahead) / limit)
}

func (gate *Gate[T]) patience(want Want, now time.Time) time.Duration {
	if len(gate.queue) > 0 && now.Sub(gate.stands) >= standsFor {
		return min(want.Patience, want.ShortPatience)
	}
	return want.Patience
}

// Next takes the next request out of the queue.
func (gate *Gate[T]) Next() (T, bool) {
	var none T
	if len(gate.queue) == 0 {
		return none, false
	}
	next := gate.queue[0]
	gate.queue = slices.Delete(gate.queue, 0, 1)
	return next.value, true
}

// Remove takes a request out that waits no longer; false if it isn't there.
func (gate *Gate[T]) Remove(value T) bool {
	at := slices.IndexFunc(gate.queue, func(waiting waiting[T]) bool { return waiting.value == value })
	if at < 0 {
		return false
	}
	gate.queue = slices.Delete(gate.queue, at, at+1)
	return true
}

// Drain takes all requests out of the queue.
func (gate *Gate[T]) Drain() []T {
	values := make([]T, 0, len(gate.queue))
	for _, waiting := range gate.queue {
		values = append(values, waiting.value)
	}
	gate.queue = nil
	return values
}
