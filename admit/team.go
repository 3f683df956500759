package admit

import "time"

// teamPreference is how much later than the first request a request may be due and still be
// preferred because of its team: about the time that the database spends on two new
// connections.
const teamPreference = 20 * time.Millisecond

// First returns the value of the request that Next would remove at the time now; false if the
// queue is empty. The fair order changes with time, since teams use what they hold.
func (limiter *Limiter[T]) First(now time.Time) (T, bool) {
	limiter.advance(now)
	_, share := limiter.first()
	if share == nil {
		var none T
		return none, false
	}
	return share.next(limiter.smoothedLatency, limiter.now).value, true
}

// NextFor removes the first request of the team if it has the same priority as the one that
// Next would remove and is due at most teamPreference later. It returns false if there is
// none.
func (limiter *Limiter[T]) NextFor(team string) (T, bool) {
	var none T
	class, first := limiter.first()
	if first == nil {
		return none, false
	}
	own := class.find(team)
	if own == nil || len(own.waiting) == 0 {
		return none, false
	}
	latency, now := limiter.smoothedLatency, limiter.now
	if own.next(latency, now).request.Due.Sub(first.next(latency, now).request.Due) > teamPreference {
		return none, false
	}
	return limiter.take(class, own), true
}
