package quota

import (
	"math"
	"time"
)

// account is a team's bucket at a home.
type account struct {
	limit Limit
	// lower is the limit that applies from lowerAt on; lowerAt is zero if none is pending.
	lower   Limit
	lowerAt time.Time
	level   float64
	// filled and started are Home.filled and Home.started when the bucket was last filled.
	filled, started float64
	// nextSlot is when the bucket will have a token for the next operation that is refused.
	nextSlot time.Time
}

// SetLimits sets the limits of all teams. A lower rate or burst applies after
// Bounds.LowerDelay, anything else at once.
func (home *Home) SetLimits(limits map[string]Limit, now time.Time) {
	home.advance(now)
	for name, limit := range limits {
		entry, ok := home.accounts[name]
		if !ok {
			home.accounts[name] = &account{limit: limit, filled: home.filled, started: home.started - home.shares}
			continue
		}
		home.fill(entry, now)
		next := Limit{Rate: max(limit.Rate, entry.limit.Rate), Burst: max(limit.Burst, entry.limit.Burst)}
		switch {
		case next == limit:
			entry.lowerAt = time.Time{}
		case entry.lowerAt.IsZero() || entry.lower != limit:
			entry.lower, entry.lowerAt = limit, now.Add(home.bounds.LowerDelay)
		}
		entry.limit = next
	}
	for name := range home.accounts {
		if _, ok := limits[name]; !ok {
			delete(home.accounts, name)
		}
	}
}

// fill adds the tokens since the last call. The home's shares must be those at now.
func (home *Home) fill(account *account, now time.Time) {
	account.level += account.limit.Rate*(home.filled-account.filled) + home.bounds.start(account.limit)*(home.started-account.started)
	account.filled, account.started = home.filled, home.started
	if isLowered := !account.lowerAt.IsZero() && !now.Before(account.lowerAt); isLowered {
		account.lowerAt = time.Time{}
		account.limit = account.lower
	}
	home.bound(account)
}

// bound bounds the level by the home's part of the depth. A home with most shares has room for
// a token of each team.
func (home *Home) bound(account *account) {
	depth := account.limit.depth() * home.shares
	if home.HasMajority() {
		depth = max(depth, min(account.limit.depth(), 1))
	}
	account.level = min(account.level, depth)
}

// grant grants tokens for the operations that wait, and for the expected ones up to half of
// the rest, since other VMs have demand as well.
func (home *Home) grant(account *account, demand Demand, now time.Time) Grant {
	account.level += float64(max(demand.Returned, 0))
	home.bound(account)
	available := math.Floor(account.level + 1e-9)
	granted := min(float64(max(demand.Waiting, 0)), max(available, 0))
	if rest := available - granted; rest > 0 {
		granted += min(float64(max(demand.Expected, 0)), math.Floor(rest/2))
	}
	account.level -= granted
	grant := Grant{Team: demand.Team, Tokens: int(granted)}
	refused := max(demand.Waiting-grant.Tokens, 0) + max(demand.Refused, 0)
	if refused > 0 {
		grant.RetryAfter, grant.Interval = home.schedule(account, refused, now)
	}
	return grant
}

// schedule returns the times at which refused operations should be tried again: one after
// the other at the team's rate, after those that were refused before.
func (home *Home) schedule(account *account, refused int, now time.Time) (retryAfter, interval time.Duration) {
	rate := account.limit.Rate * home.shares
	if account.limit.Rate <= 0 {
		return maxRetryAfter, 0
	}
	if rate <= 0 {
		// The VMs are about to delegate their shares.
		return refusedAfter, 0
	}
	limit := now.Add(maxRetryAfter)
	slot := now.Add(min(seconds(max(1-account.level, 0)/rate), maxRetryAfter))
	if account.nextSlot.After(slot) {
		slot = account.nextSlot
	}
	account.nextSlot = slot.Add(min(seconds(float64(refused)/rate), maxRetryAfter))
	if account.nextSlot.After(limit) {
		account.nextSlot = limit
	}
	return slot.Sub(now), seconds(1 / rate)
}
