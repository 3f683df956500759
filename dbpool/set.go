package dbpool

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/bramleydoor/bramleydoor/admit"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/stats"
)

// Set holds the pools of all databases. Its exported fields must be set before use.
type Set struct {
	Dialer proto.Dialer
	Clock  clock.Clock
	// Share returns the VM's share of the connection limit of each database of a
	// group. It bounds open connections; the limiter of each pool bounds concurrent
	// requests.
	Share func(group string) int
	// IsScarce reports whether the VM's connections to each database of a group are scarce.
	// If it is nil, they are if Share is less than ScarceShare.
	IsScarce func(group string) bool
	// Log and Stats are those of the pools.
	Log   *event.Log
	Stats *stats.Stats

	mu    sync.Mutex
	pools map[string]*Pool
}

// SetMembers creates and closes pools so that there is one for each member. A member
// with a new address or start time gets a new pool.
func (set *Set) SetMembers(members []dbset.Member) {
	set.SetMembersOf(func(string) bool { return true }, members)
}

// SetMembersOf is SetMembers for the chosen groups only. members are theirs.
func (set *Set) SetMembersOf(isChosen func(group string) bool, members []dbset.Member) {
	set.mu.Lock()
	defer set.mu.Unlock()
	next := make(map[string]dbset.Member, len(members))
	for _, member := range members {
		next[member.ID] = member
	}
	for id, pool := range set.pools {
		if member, ok := next[id]; ok && pool.Member.Address == member.Address && pool.Member.Born == member.Born {
			delete(next, id)
		} else if ok || isChosen(pool.Member.Group) {
			pool.Close()
			delete(set.pools, id)
		}
	}
	if set.pools == nil {
		set.pools = make(map[string]*Pool, len(members))
	}
	for id, member := range next {
		set.pools[id] = &Pool{
			Member: member, Dialer: set.Dialer, Clock: set.Clock,
			Share: func() int { return set.Share(member.Group) },
			Log:   set.Log, Stats: set.Stats,
		}
	}
}

// Len returns the number of pools.
func (set *Set) Len() int {
	set.mu.Lock()
	defer set.mu.Unlock()
	return len(set.pools)
}

// Pool returns the pool of a database, or nil if the database is not a member.
func (set *Set) Pool(id string) *Pool {
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.pools[id]
}

// Trim closes connections that have been idle for longer than their idle timeout. It
// keeps one connection to each database, unless connections are scarce. Where connections
// belong to teams, each pool retains a part of its share for longer.
func (set *Set) Trim() {
	now := set.Clock.Now()
	set.mu.Lock()
	defer set.mu.Unlock()
	// Pools may change meanwhile, so each is asked once. A VM of a large fleet has idle
	// connections to few databases.
	var idlePools []*Pool
	teamPools := make(map[*Pool]bool)
	for _, pool := range set.pools {
		hasIdle, hasTeams := pool.idleState()
		if hasIdle {
			idlePools = append(idlePools, pool)
		}
		if hasTeams {
			teamPools[pool] = true
		}
	}
	for _, pool := range idlePools {
		keep, timeout := 1, idleTimeout
		if set.isScarce(pool) {
			keep, timeout = 0, scarceIdleTimeout
		}
		if teamPools[pool] {
			retained := min(pool.Share()/(Overcommit*retainedDivisor), max(1, maxRetained/len(teamPools)))
			pool.trim(now.Add(-scarceIdleTimeout), max(keep, retained))
			timeout = teamIdleTimeout
		}
		pool.trim(now.Add(-timeout), keep)
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

// HasIdleOf reports whether there is an idle connection of a team to a database.
func (set *Set) HasIdleOf(id, team string) bool {
	pool := set.Pool(id)
	if pool == nil {
		return false
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.hasUsable(admit.Request{Team: team})
}

// HasScarceConns reports whether the VM's connections to a database are scarce.
func (set *Set) HasScarceConns(id string) bool {
	pool := set.Pool(id)
	return pool != nil && set.isScarce(pool)
}

func (set *Set) isScarce(pool *Pool) bool {
	if set.IsScarce == nil {
		return pool.Share() < ScarceShare
	}
	return set.IsScarce(pool.Member.Group)
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
