package conset

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/wires"
)

// Set has the pools of all databases. Set the exported fields first.
type Set struct {
	Dialer wires.Dialer
	Clock  clock.Clock
	// Limit is the VM's share of the connections of a group's databases.
	Limit func(group string) int

	mu    sync.Mutex
	pools map[string]*Pool
}

// SetMembers makes and closes pools so that there is one for each database.
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
				Limit: func() int { return set.Limit(member.Group) },
			}
		}
		set.pools[member.ID] = pool
	}
	for _, gone := range old {
		gone.Close()
	}
}

// Pool returns the pool of a database, or nil.
func (set *Set) Pool(id string) *Pool {
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.pools[id]
}

// Trim closes connections that nothing has used for a while.
func (set *Set) Trim() {
	now := set.Clock.Now()
	set.mu.Lock()
	defer set.mu.Unlock()
	for _, pool := range set.pools {
		if pool.Limit() >= plenty {
			pool.trim(now.Add(-idleFor), 1)
		} else {
			pool.trim(now.Add(-scarceIdleFor), 0)
		}
	}
}

// IsWarm reports whether there is an idle connection to a database.
func (set *Set) IsWarm(id string) bool {
	pool := set.Pool(id)
	if pool == nil {
		return false
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.idle) > 0
}

// IsScarce reports whether the VM may have only few connections to a database.
func (set *Set) IsScarce(id string) bool {
	pool := set.Pool(id)
	return pool != nil && pool.Limit() < plenty
}

// Close closes all pools.
func (set *Set) Close() { set.SetMembers(nil) }

// Summary describes the pools of a group's databases for a log line:
// connections that are open, those of them that are idle, how much work the
// database gets at a time, and requests that wait.
func (set *Set) Summary(group string) string {
	set.mu.Lock()
	defer set.mu.Unlock()
	var parts []string
	for id, pool := range set.pools {
		if pool.Member.Group != group {
			continue
		}
		pool.mu.Lock()
		parts = append(parts, fmt.Sprintf("%s=%d/%d/%.1f/%d", id, pool.open, len(pool.idle), pool.gate.Limit(), pool.gate.Waiting()))
		pool.mu.Unlock()
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
