// Package admit performs admission control for one database: it limits the number
// of concurrent requests, orders the queue of those that exceed the limit, and
// refuses requests that can't be sent in time. It does no I/O; the time is an
// argument. It is not safe for concurrent use.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  15. Requests beyond the number that the database answers without delay are
//     queued at the VM by priority, then by due time. A request that can't be sent
//     within MaxWait, as estimated from the latency, is refused at once. In a standing
//     queue, one that has not been empty for standingAfter, the lesser of MaxWait and
//     MaxStandingWait applies, so that an overload leads to some refusals rather than
//     to late answers for all.
//
// Within a priority, teams share the slots and the queue by max-min fairness, and the due
// time orders the requests of one team. What a team uses is the time from a request's
// admission until its connection is returned, idle times of its transaction included.
package admit

import (
	"slices"
	"time"
)

const (
	// minLimit is the lower bound of the concurrency limit, which bounds the requests
	// of this VM that the database runs at a time. Below a limit of one, the VM
	// pauses between requests, because many VMs may share a database that runs few
	// requests in parallel.
	minLimit = 0.1
	// initialLimit is the concurrency limit at the start, and again at the first
	// observed latency, even after Overload has lowered it.
	initialLimit = 4
	// adjustInterval is the minimum time between two changes of the limit.
	adjustInterval = 100 * time.Millisecond
	// decreaseFactor multiplies the limit at each decrease: while answers are slow, and
	// after the database refused a request.
	decreaseFactor = 0.85
	// A smoothed latency above slowFactor times the baseline plus slowMargin is slow. One
	// above verySlowFactor times the baseline plus verySlowMargin may lower the
	// limit below one, so that the VM pauses between requests.
	slowFactor     = 2
	slowMargin     = 10 * time.Millisecond
	verySlowFactor = 4
	verySlowMargin = 30 * time.Millisecond
	// A smoothed latency below fastFactor times the baseline plus slowMargin lets the limit
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

// Request describes a request for admission to the database.
type Request struct {
	// Priority orders the queue; lower values go first.
	Priority int
	// Due is when the caller expects the answer, Aim the time from the request's arrival until
	// then. They only order requests of the same priority and team.
	Due time.Time
	Aim time.Duration
	// MaxWait is the maximum expected wait for the request to be queued. In a standing
	// queue, the lesser of MaxWait and MaxStandingWait applies.
	MaxWait         time.Duration
	MaxStandingWait time.Duration
	// Team is the team of the request's caller. Empty means the VM itself, or a caller
	// without a team.
	Team string
	// IsControl is set for a request of the VM itself, which may use a connection of any
	// team.
	IsControl bool
}

// Limiter limits the concurrent requests to one database. The zero value is ready for
// use.
type Limiter[T comparable] struct {
	inUse int
	limit float64
	// smoothedLatency is the moving average of observed latencies. baseline estimates
	// the latency without overload: it follows smoothedLatency down at once, and up
	// with the time constant baselineRiseTime.
	smoothedLatency time.Duration
	baseline        time.Duration
	lastObserved    time.Time
	lastAdjusted    time.Time
	// classes has the queued requests by priority; waiting is their number, arrivals the
	// number of those queued so far.
	classes       []*class[T]
	waiting       int
	arrivals      uint64
	nonEmptySince time.Time
	// pausedUntil is when a limit below one admits the next request.
	pausedUntil time.Time
	// now is the latest time passed in.
	now time.Time
}

// Limit returns the concurrency limit. Below one, it is the share of time during
// which a request may be in flight.
func (limiter *Limiter[T]) Limit() float64 {
	if limiter.limit == 0 {
		return initialLimit
	}
	return limiter.limit
}

// InUse returns the number of requests in flight.
func (limiter *Limiter[T]) InUse() int { return limiter.inUse }

// Waiting returns the number of queued requests.
func (limiter *Limiter[T]) Waiting() int { return limiter.waiting }

// HasCapacity reports whether another request may be sent to the database.
func (limiter *Limiter[T]) HasCapacity(now time.Time) bool {
	limiter.advance(now)
	if limiter.Limit() < 1 {
		return limiter.inUse == 0 && !now.Before(limiter.pausedUntil)
	}
	return limiter.inUse < int(limiter.Limit())
}

// RemainingPause returns the time until a limit below one admits the next request;
// zero if there is no pause or a request is in flight.
func (limiter *Limiter[T]) RemainingPause(now time.Time) time.Duration {
	if limiter.inUse > 0 || limiter.Limit() >= 1 || !now.Before(limiter.pausedUntil) {
		return 0
	}
	return limiter.pausedUntil.Sub(now)
}

// Enter counts a request as in flight. Each call is paired with one of Leave.
func (limiter *Limiter[T]) Enter() { limiter.inUse++ }

// Leave counts a request as ended. With a limit below one, it starts a pause.
func (limiter *Limiter[T]) Leave(now time.Time) {
	limiter.inUse--
	if limit := limiter.Limit(); limit < 1 {
		limiter.pausedUntil = now.Add(time.Duration(float64(limiter.smoothedLatency) * (1/limit - 1)))
	}
}

// Overload lowers the limit, at most once per adjustInterval, after the database
// refused a request because it had no capacity.
func (limiter *Limiter[T]) Overload(now time.Time) {
	if now.Sub(limiter.lastAdjusted) >= adjustInterval {
		limiter.lastAdjusted = now
		limiter.limit = max(minLimit, limiter.Limit()*decreaseFactor)
	}
}

// Observe adds the latency of an answer to the moving average, and adjusts the limit at
// most once per adjustInterval, by additive increase and multiplicative decrease (Chiu
// and Jain, 1989). The limit grows only while it is nearly used up: by one, or by half
// while it is below two.
func (limiter *Limiter[T]) Observe(latency time.Duration, now time.Time) {
	if limiter.baseline == 0 {
		limiter.smoothedLatency, limiter.baseline, limiter.limit, limiter.lastObserved = latency, latency, initialLimit, now
	}
	limiter.smoothedLatency += (latency - limiter.smoothedLatency) / smoothingDivisor
	if limiter.smoothedLatency < limiter.baseline {
		limiter.baseline = limiter.smoothedLatency
	} else {
		elapsed := min(now.Sub(limiter.lastObserved), time.Second)
		limiter.baseline += time.Duration(float64(limiter.smoothedLatency-limiter.baseline) * float64(elapsed) / float64(baselineRiseTime))
	}
	limiter.lastObserved = now
	if now.Sub(limiter.lastAdjusted) < adjustInterval {
		return
	}
	limiter.lastAdjusted = now
	switch {
	case limiter.smoothedLatency > verySlowFactor*limiter.baseline+verySlowMargin:
		limiter.limit = max(minLimit, limiter.limit*decreaseFactor)
	case limiter.smoothedLatency > slowFactor*limiter.baseline+slowMargin:
		limiter.limit = max(min(1, limiter.limit), limiter.limit*decreaseFactor)
	case float64(limiter.smoothedLatency) < fastFactor*float64(limiter.baseline)+float64(slowMargin) && float64(limiter.inUse+1) >= limiter.Limit():
		limiter.limit += min(1, limiter.limit/2)
	}
}

// Queue adds a request to the queue. It returns false, and adds nothing, if the wait
// expected by the request's position in the fair order exceeds the request's maximum. In a
// long queue that refuses the teams with the most waiting requests first.
func (limiter *Limiter[T]) Queue(request Request, value T, now time.Time) bool {
	limiter.advance(now)
	class := limiter.classOf(request.Priority)
	share := class.shareOf(request.Team, limiter.now)
	share.settle(class, limiter.now)
	share.lift(class, limiter.smoothedLatency)
	item := queued[T]{request, value, limiter.arrivals}
	index := len(share.waiting)
	for index > 0 && item.isBefore(share.waiting[index-1]) {
		index--
	}
	ahead := class.ahead(share, index, item, limiter.smoothedLatency, limiter.now)
	for _, other := range limiter.classes {
		if other.priority < request.Priority {
			ahead += other.count()
		}
	}
	if limiter.expectedWait(ahead) > limiter.maxWait(request, now) {
		return false
	}
	if limiter.waiting == 0 {
		limiter.nonEmptySince = now
	}
	share.waiting = slices.Insert(share.waiting, index, item)
	limiter.waiting++
	limiter.arrivals++
	return true
}

// expectedWait estimates how long a request waits that has the given number of
// requests ahead of it.
func (limiter *Limiter[T]) expectedWait(ahead int) time.Duration {
	limit := limiter.Limit()
	if limit >= 1 {
		limit = min(limit, float64(max(limiter.inUse, 1)))
	}
	return time.Duration(float64(limiter.smoothedLatency) * float64(ahead) / limit)
}

func (limiter *Limiter[T]) maxWait(request Request, now time.Time) time.Duration {
	if limiter.waiting > 0 && now.Sub(limiter.nonEmptySince) >= standingAfter {
		return min(request.MaxWait, request.MaxStandingWait)
	}
	return request.MaxWait
}

// Next removes the first request from the queue and returns its value; false if the
// queue is empty. The request counts as taken.
func (limiter *Limiter[T]) Next() (T, bool) {
	class, share := limiter.first()
	if share == nil {
		var none T
		return none, false
	}
	return limiter.take(class, share), true
}

// Remove removes the request with the value from the queue before its turn, for
// instance after a timeout; false if it is not queued.
func (limiter *Limiter[T]) Remove(value T) bool {
	for _, class := range limiter.classes {
		for _, share := range class.shares {
			index := slices.IndexFunc(share.waiting, func(item queued[T]) bool { return item.value == value })
			if index >= 0 {
				share.waiting = slices.Delete(share.waiting, index, index+1)
				limiter.waiting--
				return true
			}
		}
	}
	return false
}

// Drain removes all requests from the queue and returns their values, by priority and for
// each team in order. They don't count as taken.
func (limiter *Limiter[T]) Drain() []T {
	values := make([]T, 0, limiter.waiting)
	for _, class := range limiter.classes {
		for _, share := range class.shares {
			for _, item := range share.waiting {
				values = append(values, item.value)
			}
			share.waiting = nil
		}
	}
	limiter.waiting = 0
	return values
}
