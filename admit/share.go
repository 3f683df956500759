package admit

import (
	"slices"
	"time"
)

const (
	// maxDebt limits how far a team's service may be ahead of the virtual time of its
	// class, and the service expected for what it holds. Without it, a long transaction
	// would lock its team out for as long as the other teams take to catch up.
	maxDebt = time.Second
	// forgetAfter is how long a team is remembered that neither waits nor holds anything.
	forgetAfter = time.Second
	// minCost is the lower bound of a request's cost. Without a cost, a team's requests
	// would not alternate with those of other teams before any latency is known.
	minCost = time.Millisecond
	// maxReleases is the number of releases at which the history for a team's cost is
	// halved.
	maxReleases = 32
	// patience is the weight of a request's aim, relative to its age, in the order of the queue.
	patience = 4
)

// queued is a request in the queue.
type queued[T comparable] struct {
	request Request
	value   T
	// number is the order of arrival.
	number uint64
}

func (item queued[T]) isBefore(other queued[T]) bool {
	if rank, otherRank := item.request.rank(), other.request.rank(); !rank.Equal(otherRank) {
		return rank.Before(otherRank)
	}
	return item.number < other.number
}

// rank orders the requests of a team: a request goes before a later one unless its Aim is
// longer by more than its lead divided by patience. Work with a long aim is long, as a rule,
// and its callers can wait.
func (request Request) rank() time.Time { return request.Due.Add((patience - 1) * request.Aim) }

// isLate reports whether a request can't be answered by its due time any more if it is sent
// now and takes as long as an answer usually does.
func (request Request) isLate(latency time.Duration, now time.Time) bool {
	return now.Add(latency).After(request.Due)
}

// class is the part of the queue that has one priority. It serves the teams by start-time
// fair queueing (Goyal, Vin and Cheng, 1996): the next request is that of the team with
// the least service, where a team that was idle starts at the virtual time.
type class[T comparable] struct {
	priority int
	// virtual is the virtual time: the least service of the teams that waited when a
	// request was last taken.
	virtual time.Duration
	shares  []*share[T]
}

// share is a team's part of a class.
type share[T comparable] struct {
	team string
	// waiting has the team's requests by rank, then by arrival.
	waiting []queued[T]
	// held is the number of the team's requests that were admitted and have not ended;
	// idle transactions are among them.
	held int
	// service is the time that the team has used, by the virtual time, as of settledAt.
	service   time.Duration
	settledAt time.Time
	// used and releases are the recent time used and the number of releases, for cost.
	used     time.Duration
	releases int
}

// classOf returns the class of a priority, creating it if necessary.
func (limiter *Limiter[T]) classOf(priority int) *class[T] {
	index, ok := slices.BinarySearchFunc(limiter.classes, priority, func(class *class[T], priority int) int {
		return class.priority - priority
	})
	if !ok {
		limiter.classes = slices.Insert(limiter.classes, index, &class[T]{priority: priority})
	}
	return limiter.classes[index]
}

// find returns the share of a team, or nil.
func (class *class[T]) find(team string) *share[T] {
	for _, share := range class.shares {
		if share.team == team {
			return share
		}
	}
	return nil
}

// shareOf returns the share of a team, creating it if necessary. Before that, it forgets
// the teams without waiting, held or recent requests, which bounds the memory used.
func (class *class[T]) shareOf(team string, now time.Time) *share[T] {
	if share := class.find(team); share != nil && !share.isExpired(now) {
		return share
	}
	class.shares = slices.DeleteFunc(class.shares, func(share *share[T]) bool {
		return share.isExpired(now) || share.isIdle() && share.service <= class.virtual
	})
	share := &share[T]{team: team, settledAt: now}
	class.shares = append(class.shares, share)
	return share
}

// nextIndex returns the index of the request that goes first: of those that can still be on
// time, or else of all, the first one by rank.
func (share *share[T]) nextIndex(latency time.Duration, now time.Time) int {
	return max(0, slices.IndexFunc(share.waiting, func(item queued[T]) bool { return !item.request.isLate(latency, now) }))
}

// next returns the request that goes first.
func (share *share[T]) next(latency time.Duration, now time.Time) queued[T] {
	return share.waiting[share.nextIndex(latency, now)]
}

func (share *share[T]) isIdle() bool { return len(share.waiting) == 0 && share.held == 0 }

// isExpired reports whether the team has been idle for forgetAfter.
func (share *share[T]) isExpired(now time.Time) bool {
	return share.isIdle() && now.Sub(share.settledAt) >= forgetAfter
}

// settle adds the time used since the last call.
func (share *share[T]) settle(class *class[T], now time.Time) {
	if now.After(share.settledAt) {
		used := time.Duration(share.held) * now.Sub(share.settledAt)
		share.used += used
		share.service = min(share.service+used, max(share.service, class.virtual+maxDebt))
	}
	if share.held > 0 {
		share.settledAt = now
	}
}

// cost estimates the time that one request of the team uses. The mean latency of all
// requests counts as one sample.
func (share *share[T]) cost(latency time.Duration) time.Duration {
	return max((share.used+latency)/time.Duration(share.releases+1), minCost)
}

// start returns the virtual start time of the team's next request: its service with the
// expected service of what it holds, since requests sent together would count too late.
func (share *share[T]) start(latency time.Duration) time.Duration {
	return share.service + min(time.Duration(share.held)*share.cost(latency), maxDebt)
}

// lift raises the service of a team without waiting requests to the virtual time, so that
// a team gains nothing by having been idle.
func (share *share[T]) lift(class *class[T], latency time.Duration) {
	if behind := class.virtual - share.start(latency); len(share.waiting) == 0 && behind > 0 {
		share.service += behind
	}
}

func (share *share[T]) hold(class *class[T], now time.Time) {
	share.settle(class, now)
	share.held++
	share.settledAt = now
}

// release ends a use that hold began.
func (share *share[T]) release(class *class[T], now time.Time) {
	share.settle(class, now)
	share.held--
	share.releases++
	if share.releases >= maxReleases {
		share.releases /= 2
		share.used /= 2
	}
}

// count returns the number of waiting requests.
func (class *class[T]) count() int {
	var count int
	for _, share := range class.shares {
		count += len(share.waiting)
	}
	return count
}

// first returns the waiting share whose request is next, or nil. Among equals it is the
// one whose first request is due first.
func (class *class[T]) first(latency time.Duration, now time.Time) *share[T] {
	var first *share[T]
	var firstStart time.Duration
	for _, share := range class.shares {
		if len(share.waiting) == 0 {
			continue
		}
		share.settle(class, now)
		start := share.start(latency)
		if first == nil || start < firstStart || start == firstStart && share.next(latency, now).isBefore(first.next(latency, now)) {
			first, firstStart = share, start
		}
	}
	return first
}

// ahead returns the number of the class's requests that are served before a request of a
// share, if it is inserted at an index of the share's requests and no other arrives.
func (class *class[T]) ahead(own *share[T], index int, item queued[T], latency time.Duration, now time.Time) int {
	own.settle(class, now)
	start := own.start(latency) + time.Duration(index)*own.cost(latency)
	ahead := index
	for _, share := range class.shares {
		if share == own || len(share.waiting) == 0 {
			continue
		}
		share.settle(class, now)
		lead := start - share.start(latency)
		if lead < 0 {
			continue
		}
		cost := share.cost(latency)
		before := min(int((lead+cost-1)/cost), len(share.waiting))
		if lead%cost == 0 && before < len(share.waiting) && share.waiting[before].isBefore(item) {
			before++
		}
		ahead += before
	}
	return ahead
}

// first returns the class and the share whose request is next, or nil.
func (limiter *Limiter[T]) first() (*class[T], *share[T]) {
	for _, class := range limiter.classes {
		if share := class.first(limiter.smoothedLatency, limiter.now); share != nil {
			return class, share
		}
	}
	return nil, nil
}

// take removes the first waiting request of a share, which need not be the next one in the
// fair order, and counts it as held by its team.
func (limiter *Limiter[T]) take(class *class[T], share *share[T]) T {
	next := class.first(limiter.smoothedLatency, limiter.now)
	class.virtual = max(class.virtual, next.start(limiter.smoothedLatency))
	index := share.nextIndex(limiter.smoothedLatency, limiter.now)
	value := share.waiting[index].value
	share.waiting = slices.Delete(share.waiting, index, index+1)
	limiter.waiting--
	share.hold(class, limiter.now)
	return value
}

// Take counts a request that was sent without having been queued as held by its team.
// Next does that for queued ones. Each request that was taken is paired with one call of
// Release.
func (limiter *Limiter[T]) Take(request Request, now time.Time) {
	limiter.advance(now)
	class := limiter.classOf(request.Priority)
	share := class.shareOf(request.Team, limiter.now)
	share.settle(class, limiter.now)
	share.lift(class, limiter.smoothedLatency)
	if limiter.waiting == 0 {
		class.virtual = max(class.virtual, share.start(limiter.smoothedLatency))
	}
	share.hold(class, limiter.now)
}

// Release ends the use by a request that was taken. Until then the request counts for its
// team, even if it has left the limiter as an idle transaction.
func (limiter *Limiter[T]) Release(request Request, now time.Time) {
	limiter.advance(now)
	class := limiter.classOf(request.Priority)
	if share := class.find(request.Team); share != nil && share.held > 0 {
		share.release(class, limiter.now)
	}
}

// advance records the time, which Next needs to count the time that teams have used.
func (limiter *Limiter[T]) advance(now time.Time) {
	if now.After(limiter.now) {
		limiter.now = now
	}
}
