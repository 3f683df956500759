package dbpool

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/proto"
)

// Set holds the pools of all databases. Its exported fields must be set before use.
type Set struct {
	Dialer proto.Dialer
	Clock  clock.Clock
	// Share returns the VM's share of the connection limit of each database of a
	// group. It bounds open connections; the limiter of each pool bounds concurrent
	// requests.
	Share func(group string) int

	mu    sync.Mutex
	pools map[string]*Pool
}

// SetMembers creates and closes pools so that there is one for each member. A member
// with a new address or start time gets a new pool.
func (set *Set) SetMembers(members []dbset.Member) {
	set.mu.Lock()
	defer set.mu.Unlock()
	old := set.pools
	set.pools = make(map[string]*Pool, len(members))
	for _, member := range members {
		pool, ok := old[member.ID]
		if ok && pool.Member.Address == member.Address && pool.Member.Born == member.Born {
			delete(old, member.ID)
		} else {
			pool = &Pool{
				Member: member, Dialer: set.Dialer, Clock: set.Clock,
				Share: func() int { return set.Share(member.Group) },
			}
		}
		set.pools[member.ID] = pool
	}
	for _, removed := range old {
		removed.Close()
	}
}

// Pool returns the pool of a database, or nil if the database is not a member.
func (set *Set) Pool(id string) *Pool {
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.pools[id]
}

// Trim closes connections that have been idle for longer than their idle timeout. It
// keeps one connection to each database, unless the VM's share is below
// ScarceShare.
func (set *Set) Trim() {
	now := set.Clock.Now()
	set.mu.Lock()
	defer set.mu.Unlock()
	for _, pool := range set.pools {
		if pool.Share() >= ScarceShare {
			pool.trim(now.Add(-idleTimeout), 1)
		} else {
			pool.trim(now.Add(-scarceIdleTimeout), 0)
		}
	}
}

// HasIdle reports whether there is an idle connection to a database.
func (set *Set) HasIdle(id string) bool {
	pool := set.Pool(id)
	if pool == nil {
		return false
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.idle) > 0
}

// HasScarceConns reports whether the VM's share of a database's connection limit is
// below ScarceShare.
func (set *Set) HasScarceConns(id string) bool {
	pool := set.Pool(id)
	return pool != nil && pool.Share() < ScarceShare
}

// Close closes and removes all pools.
func (set *Set) Close() { set.SetMembers(nil) }

// Summary describes the pools of a group's databases for a log line, as
// ID=open/idle/limit/waiting: open connections, idle ones among them, the limiter's
// limit of concurrent requests (not the share), and queued requests.
func (set *Set) Summary(group string) string {
	set.mu.Lock()
	defer set.mu.Unlock()
	var parts []string
	for id, pool := range set.pools {
		if pool.Member.Group != group {
			continue
		}
		pool.mu.Lock()
		parts = append(parts, fmt.Sprintf("%s=%d/%d/%.1f/%d", id, pool.open, len(pool.idle), pool.limiter.Limit(), pool.limiter.Waiting()))
		pool.mu.Unlock()
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
