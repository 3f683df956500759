// Package admit performs admission control for one database: it limits the number
// of concurrent requests, orders the queue of those that exceed the limit, and
// rejects requests that can't be sent in time. It does no I/O; callers pass in the
// time. It is not safe for concurrent use.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  15. Requests beyond the number that the database answers without delay are
//     queued at the VM by priority, then by due time. A request that can't be sent
//     in time is rejected at once. A standing queue, one that has not been empty
//     for some time, accepts only requests that can still be answered by their due
//     time, so that an overload leads to some rejections rather than to late
//     answers for all.
package admit

import (
	"slices"
	"time"
)

const (
	// minLimit is the lower bound of the concurrency limit. Below a limit of one,
	// the VM pauses between requests, because many VMs may share few slots.
	minLimit = 0.1
	// initialLimit is the concurrency limit before any latency is known.
	initialLimit = 4
	// adjustInterval is the minimum time between two changes of the limit.
	adjustInterval = 100 * time.Millisecond
	// decreaseFactor multiplies the limit while answers are slow.
	decreaseFactor = 0.85
	// A latency above slowFactor times the baseline plus slowMargin is slow. One
	// above verySlowFactor times the baseline plus verySlowMargin may lower the
	// limit below one, so that the VM pauses between requests.
	slowFactor     = 2
	slowMargin     = 10 * time.Millisecond
	verySlowFactor = 4
	verySlowMargin = 30 * time.Millisecond
	// A latency below fastFactor times the baseline plus slowMargin lets the limit
	// grow.
	fastFactor = 1.5
	// smoothingDivisor is the inverse of the weight of a new sample in the moving
	// average of the latency.
	smoothingDivisor = 16
	// baselineRiseTime is the time constant with which the baseline follows a
	// lasting rise of the latency.
	baselineRiseTime = 20 * time.Second
	// standingAfter is how long a queue must be non-empty to count as standing.
	standingAfter = 300 * time.Millisecond
)

// Want describes a request for admission to the database.
type Want struct {
	// Priority orders the queue; lower values go first.
	Priority int
	// Due is when the caller expects the answer.
	Due time.Time
	// Patience is the maximum wait in the queue, ShortPatience the maximum wait in
	// a standing queue if that is shorter.
	Patience      time.Duration
	ShortPatience time.Duration
}

// Gate limits the concurrent requests to one database. The zero value is ready for
// use.
type Gate[T comparable] struct {
	inUse int
	limit float64
	// smoothedLatency is the moving average of observed latencies, baseline the
	// latency without overload.
	smoothedLatency time.Duration
	baseline        time.Duration
	lastObserved    time.Time
	lastAdjusted    time.Time
	queue           []queued[T]
	nonEmptySince   time.Time
	// pausedUntil is when a limit below one admits the next request.
	pausedUntil time.Time
}

type queued[T comparable] struct {
	want  Want
	value T
}

// Limit returns the concurrency limit. Below one, it is the share of time during
// which a request may be under way.
func (gate *Gate[T]) Limit() float64 {
	if gate.limit == 0 {
		return initialLimit
	}
	return gate.limit
}

// InUse returns the number of requests under way.
func (gate *Gate[T]) InUse() int { return gate.inUse }

// Waiting returns the number of queued requests.
func (gate *Gate[T]) Waiting() int { return len(gate.queue) }

// HasRoom reports whether another request may be sent to the database.
func (gate *Gate[T]) HasRoom(now time.Time) bool {
	if gate.Limit() < 1 {
		return gate.inUse == 0 && !now.Before(gate.pausedUntil)
	}
	return gate.inUse < int(gate.Limit())
}

// Pause returns how long HasRoom stays false while no request is under way. It
// returns zero if there is no pause, or if room depends on requests under way.
func (gate *Gate[T]) Pause(now time.Time) time.Duration {
	if gate.inUse > 0 || gate.Limit() >= 1 || !now.Before(gate.pausedUntil) {
		return 0
	}
	return gate.pausedUntil.Sub(now)
}

// Enter counts a request as under way. Each call is paired with one of Leave.
func (gate *Gate[T]) Enter() { gate.inUse++ }

// Leave counts a request as ended. With a limit below one, it starts a pause.
func (gate *Gate[T]) Leave(now time.Time) {
	gate.inUse--
	if limit := gate.Limit(); limit < 1 {
		gate.pausedUntil = now.Add(time.Duration(float64(gate.smoothedLatency) * (1/limit - 1)))
	}
}

// Overload lowers the limit after the database refused a request because it had no
// capacity.
func (gate *Gate[T]) Overload(now time.Time) {
	if now.Sub(gate.lastAdjusted) >= adjustInterval {
		gate.lastAdjusted = now
		gate.limit = max(minLimit, gate.Limit()*decreaseFactor)
	}
}

// Observe adjusts the limit to the latency of an answer, by additive increase and
// multiplicative decrease (Chiu and Jain, 1989). The limit grows only while it is
// nearly used up.
func (gate *Gate[T]) Observe(latency time.Duration, now time.Time) {
	if gate.baseline == 0 {
		gate.smoothedLatency, gate.baseline, gate.limit, gate.lastObserved = latency, latency, initialLimit, now
	}
	gate.smoothedLatency += (latency - gate.smoothedLatency) / smoothingDivisor
	if gate.smoothedLatency < gate.baseline {
		gate.baseline = gate.smoothedLatency
	} else {
		elapsed := min(now.Sub(gate.lastObserved), time.Second)
		gate.baseline += time.Duration(float64(gate.smoothedLatency-gate.baseline) * float64(elapsed) / float64(baselineRiseTime))
	}
	gate.lastObserved = now
	if now.Sub(gate.lastAdjusted) < adjustInterval {
		return
	}
	gate.lastAdjusted = now
	switch {
	case gate.smoothedLatency > verySlowFactor*gate.baseline+verySlowMargin:
		gate.limit = max(minLimit, gate.limit*decreaseFactor)
	case gate.smoothedLatency > slowFactor*gate.baseline+slowMargin:
		gate.limit = max(min(1, gate.limit), gate.limit*decreaseFactor)
	case float64(gate.smoothedLatency) < fastFactor*float64(gate.baseline)+float64(slowMargin) && float64(gate.inUse+1) >= gate.Limit():
		gate.limit += min(1, gate.limit/2)
	}
}

// Queue adds a request to the queue. It returns false, and adds nothing, if the
// expected wait exceeds the request's maximum.
func (gate *Gate[T]) Queue(want Want, value T, now time.Time) bool {
	index := len(gate.queue)
	for index > 0 && want.isBefore(gate.queue[index-1].want) {
		index--
	}
	if gate.expectedWait(index) > gate.maxWait(want, now) {
		return false
	}
	if len(gate.queue) == 0 {
		gate.nonEmptySince = now
	}
	gate.queue = slices.Insert(gate.queue, index, queued[T]{want, value})
	return true
}

func (want Want) isBefore(other Want) bool {
	if want.Priority != other.Priority {
		return want.Priority < other.Priority
	}
	return want.Due.Before(other.Due)
}

// expectedWait estimates how long a request waits that has the given number of
// requests ahead of it.
func (gate *Gate[T]) expectedWait(ahead int) time.Duration {
	limit := gate.Limit()
	if limit >= 1 {
		limit = min(limit, float64(max(gate.inUse, 1)))
	}
	return time.Duration(float64(gate.smoothedLatency) * float64(ahead) / limit)
}

func (gate *Gate[T]) maxWait(want Want, now time.Time) time.Duration {
	if len(gate.queue) > 0 && now.Sub(gate.nonEmptySince) >= standingAfter {
		return min(want.Patience, want.ShortPatience)
	}
	return want.Patience
}

// Next removes the first request from the queue and returns it; false if the queue
// is empty.
func (gate *Gate[T]) Next() (T, bool) {
	var none T
	if len(gate.queue) == 0 {
		return none, false
	}
	next := gate.queue[0]
	gate.queue = slices.Delete(gate.queue, 0, 1)
	return next.value, true
}

// Remove removes a request from the queue before its turn, for instance after a
// time-out; false if it is not queued.
func (gate *Gate[T]) Remove(value T) bool {
	index := slices.IndexFunc(gate.queue, func(queued queued[T]) bool { return queued.value == value })
	if index < 0 {
		return false
	}
	gate.queue = slices.Delete(gate.queue, index, index+1)
	return true
}

// Drain removes all requests from the queue and returns them in order.
func (gate *Gate[T]) Drain() []T {
	values := make([]T, 0, len(gate.queue))
	for _, queued := range gate.queue {
		values = append(values, queued.value)
	}
	gate.queue = nil
	return values
}
