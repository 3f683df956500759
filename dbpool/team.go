package dbpool

import (
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/admit"
)

// A connection belongs to the team as which it was opened, and a caller's request runs only
// on a connection of its own team. Where all places are taken, a new connection of a team
// replaces the least recently used idle one of another team.

const (
	// dialsPerSlots is the inverse of the part of a database's parallelism that may open
	// connections at a time where connections belong to teams: then many requests need a
	// new one.
	dialsPerSlots = 2
	// teamIdleTimeout is the idle timeout of retained connections of teams. Most teams
	// send a request less often than once per scarceIdleTimeout, and a new connection
	// costs the database as much as a short request.
	teamIdleTimeout = 6 * time.Second
	// retainedDivisor is the inverse of the part of the VM's share, without Overcommit,
	// that may stay open for teamIdleTimeout. After a power loss, the databases count a
	// VM's previous connections for several seconds; the other part is for new ones.
	retainedDivisor = 2
	// maxRetained bounds the retained connections of all pools together, because of their
	// descriptors and buffers.
	maxRetained = 512
)

// grant is what a request receives from the pool: a connection, or the right to open one
// once the replaced connections are closed.
type grant struct {
	conn     *Conn
	replaced []*Conn
}

// isUsable reports whether a request may run on a connection.
func isUsable(conn *Conn, request admit.Request) bool {
	return request.IsControl || conn.Team == request.Team
}

// tryGrant grants the request an idle connection or the right to open one, if there is one
// and the limiter admits the request.
func (pool *Pool) tryGrant(request admit.Request, cost func(*Conn) int, now time.Time) (grant, bool) {
	if !pool.limiter.HasCapacity(now) {
		return grant{}, false
	}
	if conn := pool.popIdle(request, cost); conn != nil {
		return grant{conn: conn}, true
	}
	if pool.mayDial(now) {
		pool.reserveDial(now)
		return grant{}, true
	}
	if request.MaxWait > 0 && pool.mayReplace(now) {
		return grant{replaced: pool.replace(now)}, true
	}
	return grant{}, false
}

// nextGrant removes a request from the queue and returns its waiter and grant. It returns
// false if no request can be served now.
func (pool *Pool) nextGrant(now time.Time) (*waiter, grant, bool) {
	first, ok := pool.limiter.First(now)
	if !ok || !pool.limiter.HasCapacity(now) {
		return nil, grant{}, false
	}
	if !pool.hasUsable(first.request) && !pool.mayDial(now) {
		if waiter, conn := pool.popForTeam(now); waiter != nil {
			return waiter, grant{conn: conn}, true
		}
	}
	granted, ok := pool.tryGrant(first.request, nil, now)
	if !ok {
		return nil, grant{}, false
	}
	pool.limiter.Next()
	return first, granted, true
}

// popForTeam returns an idle connection and a request of its team from near the front of the
// queue; nil if there is none. Only the connections that would be replaced are considered,
// unless none may be replaced.
func (pool *Pool) popForTeam(now time.Time) (*waiter, *Conn) {
	candidates := pool.idle
	if pool.mayReplace(now) {
		candidates = pool.idle[:pool.surplus()]
	}
	for i, conn := range candidates {
		if waiter, ok := pool.limiter.NextFor(conn.Team); ok {
			return waiter, pool.takeIdle(i)
		}
	}
	return nil, nil
}

// surplus returns how many idle connections are closed for a new one.
func (pool *Pool) surplus() int { return max(1, pool.open+1-max(pool.Share(), 1)) }

// mayReplace reports whether idle connections may be closed so that another one may be opened
// now, if mayDial does not hold. While the database reports too many connections, at most one
// is replaced per fullRetryDelay until that succeeds.
func (pool *Pool) mayReplace(now time.Time) bool {
	return pool.limiter.HasCapacity(now) && pool.dialing < pool.maxDials() && pool.surplus() <= len(pool.idle) &&
		(!pool.isFull || !now.Before(pool.nextReplaceAt))
}

// replace removes the least recently used idle connections and reserves the place of a new
// one. The caller closes them before it opens the new one.
func (pool *Pool) replace(now time.Time) []*Conn {
	count := pool.surplus()
	replaced := slices.Clone(pool.idle[:count])
	pool.idle = slices.Delete(pool.idle, 0, count)
	pool.open -= count
	if pool.isFull {
		pool.nextReplaceAt = now.Add(fullRetryDelay)
	}
	pool.reserveDial(now)
	return replaced
}

// maxDials returns how many connections may be opened at a time.
func (pool *Pool) maxDials() int {
	if !pool.hasTeams {
		return maxConcurrentDials
	}
	return max(maxConcurrentDials, pool.Member.Slots/dialsPerSlots)
}

// idleState reports whether there is an idle connection, and whether one belongs to a team.
func (pool *Pool) idleState() (hasIdle, hasTeams bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.idle) > 0, slices.ContainsFunc(pool.idle, func(conn *Conn) bool { return conn.Team != "" })
}

// hasUsable reports whether there is an idle connection on which the request may run.
func (pool *Pool) hasUsable(request admit.Request) bool {
	return slices.ContainsFunc(pool.idle, func(conn *Conn) bool { return isUsable(conn, request) })
}

// popIdle removes and returns the usable idle connection of the lowest cost, or nil if there
// is none. Control requests use the VM's own connections first, then the one last used, so
// that the order in which connections are replaced reflects their teams' requests.
func (pool *Pool) popIdle(request admit.Request, cost func(*Conn) int) *Conn {
	best, lowestCost := -1, 0
	for i := len(pool.idle) - 1; i >= 0; i-- {
		conn := pool.idle[i]
		if !isUsable(conn, request) {
			continue
		}
		connCost := 0
		switch {
		case request.IsControl && conn.Team != "":
			connCost = 1
		case cost != nil:
			connCost = cost(conn)
		}
		if best < 0 || connCost < lowestCost {
			best, lowestCost = i, connCost
		}
		if lowestCost <= 0 {
			break
		}
	}
	if best < 0 {
		return nil
	}
	return pool.takeIdle(best)
}

// takeIdle removes an idle connection for a request.
func (pool *Pool) takeIdle(index int) *Conn {
	conn := pool.idle[index]
	pool.idle = slices.Delete(pool.idle, index, index+1)
	pool.limiter.Enter()
	return conn
}
