// Package conset has a VM's connections to databases: a bounded pool for each.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  14. A connection serves one transaction at a time. One in doubt is closed.
//  15. Requests wait by priority, then in order of arrival, until their deadline.
//  16. A VM opens no more than its share of a database's limit.
package conset

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/wires"
)

// Errors of Get. Nothing was sent.
var (
	ErrNoRoom = errors.New("no connection was free in time")
	ErrClosed = errors.New("database is gone")
	ErrDial   = errors.New("database can't be reached")
	ErrOther  = errors.New("another database is at the address")
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 1 * time.Second
	// fullPause is how long a pool opens nothing after the database said that
	// it has too many connections.
	fullPause = 300 * time.Millisecond
)

// Link is a connection with the session state that was set on it.
type Link struct {
	wires.Wire
	Member dbset.Member
	// Values and Shapes are what the connection has, by name.
	Values map[string]string
	Shapes map[string]wires.Shape

	pool *Pool
}

type waiter struct {
	priority int
	ready    chan *Link
}

// Pool has the connections to one database. Set the exported fields first.
type Pool struct {
	Member dbset.Member
	Dialer wires.Dialer
	Clock  clock.Clock
	// Limit is the VM's share of the database's connections.
	Limit func() int

	mu        sync.Mutex
	idle      []*Link
	open      int
	waiters   []*waiter
	fullUntil time.Time
	closed    bool
}

// Get returns a connection that nothing else uses. fit prefers one of the idle
// ones: the one with the lowest result.
func (pool *Pool) Get(timeout time.Duration, priority int, fit func(*Link) int) (*Link, error) {
	if link := pool.takeIdle(fit); link != nil {
		return link, nil
	}
	pool.mu.Lock()
	if pool.closed {
		pool.mu.Unlock()
		return nil, ErrClosed
	}
	if pool.mayOpen() {
		pool.open++
		pool.mu.Unlock()
		return pool.dial(timeout)
	}
	waits := &waiter{priority: priority, ready: make(chan *Link, 1)}
	pool.enqueue(waits)
	pool.mu.Unlock()
	return pool.await(waits, timeout)
}

func (pool *Pool) mayOpen() bool {
	return pool.open < max(pool.Limit(), 1) && !pool.Clock.Now().Before(pool.fullUntil)
}

// TryIdle returns an idle connection or nil.
func (pool *Pool) TryIdle() *Link { return pool.takeIdle(nil) }

// IsUnopened reports whether the pool has no connection.
func (pool *Pool) IsUnopened() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.open == 0
}

func (pool *Pool) takeIdle(fit func(*Link) int) *Link {
	for {
		pool.mu.Lock()
		link := pool.popIdle(fit)
		pool.mu.Unlock()
		if link == nil || link.IsAlive() {
			return link
		}
		pool.Discard(link)
	}
}

func (pool *Pool) popIdle(fit func(*Link) int) *Link {
	last := len(pool.idle) - 1
	if last < 0 {
		return nil
	}
	best := last
	if fit != nil {
		bestFit := fit(pool.idle[last])
		for i := last - 1; i >= 0 && bestFit > 0; i-- {
			if f := fit(pool.idle[i]); f < bestFit {
				best, bestFit = i, f
			}
		}
	}
	link := pool.idle[best]
	pool.idle = slices.Delete(pool.idle, best, best+1)
	return link
}

func (pool *Pool) enqueue(waits *waiter) {
	at := len(pool.waiters)
	for at > 0 && pool.waiters[at-1].priority > waits.priority {
		at--
	}
	pool.waiters = slices.Insert(pool.waiters, at, waits)
}

func (pool *Pool) await(waits *waiter, timeout time.Duration) (*Link, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case link := <-waits.ready:
		return pool.handed(link, timeout)
	case <-timer.C:
	}
	pool.mu.Lock()
	if at := slices.Index(pool.waiters, waits); at >= 0 {
		pool.waiters = slices.Delete(pool.waiters, at, at+1)
		pool.mu.Unlock()
		return nil, ErrNoRoom
	}
	pool.mu.Unlock()
	return pool.handed(<-waits.ready, timeout)
}

// handed takes what a waiter was given: a connection, or with nil the right to
// open one, unless the pool has been closed.
func (pool *Pool) handed(link *Link, timeout time.Duration) (*Link, error) {
	if link != nil {
		return link, nil
	}
	pool.mu.Lock()
	closed := pool.closed
	pool.mu.Unlock()
	if closed {
		return nil, ErrClosed
	}
	return pool.dial(timeout)
}

func (pool *Pool) dial(timeout time.Duration) (*Link, error) {
	wire, answer, err := pool.Dialer.Dial(pool.Member, min(timeout, dialTimeout))
	if err == nil && answer.Code == wires.OK {
		return &Link{
			Wire: wire, Member: pool.Member, pool: pool,
			Values: make(map[string]string), Shapes: make(map[string]wires.Shape),
		}, nil
	}
	pool.mu.Lock()
	pool.open--
	if err == nil && answer.Code == wires.Full {
		pool.fullUntil = pool.Clock.Now().Add(fullPause)
	}
	hasOthers := pool.open > 0
	pool.mu.Unlock()
	switch {
	case err != nil:
		return nil, errors.Mark(err, ErrDial)
	case answer.Code == wires.WrongMember:
		return nil, ErrOther
	case answer.Code == wires.Full && hasOthers:
		return pool.waitOnly(timeout)
	}
	return nil, ErrNoRoom
}

func (pool *Pool) waitOnly(timeout time.Duration) (*Link, error) {
	if link := pool.takeIdle(nil); link != nil {
		return link, nil
	}
	waits := &waiter{ready: make(chan *Link, 1)}
	pool.mu.Lock()
	pool.enqueue(waits)
	pool.mu.Unlock()
	return pool.await(waits, timeout)
}

// Put gives a connection back that is outside of a transaction.
func (pool *Pool) Put(link *Link) {
	pool.mu.Lock()
	if pool.closed || pool.open > max(pool.Limit(), 1) {
		pool.mu.Unlock()
		pool.Discard(link)
		return
	}
	if len(pool.waiters) > 0 {
		next := pool.waiters[0]
		pool.waiters = pool.waiters[1:]
		pool.mu.Unlock()
		next.ready <- link
		return
	}
	pool.idle = append(pool.idle, link)
	pool.mu.Unlock()
}

// Discard closes a connection; a request that waits may open another.
func (pool *Pool) Discard(link *Link) {
	link.Close()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.waiters) > 0 && !pool.closed && pool.open <= max(pool.Limit(), 1) {
		next := pool.waiters[0]
		pool.waiters = pool.waiters[1:]
		next.ready <- nil
		return
	}
	pool.open--
}

// Close closes the idle connections and refuses new requests; the others are
// closed as they come back.
func (pool *Pool) Close() {
	pool.mu.Lock()
	pool.closed = true
	idle, waiting := pool.idle, pool.waiters
	pool.idle, pool.waiters = nil, nil
	pool.open -= len(idle)
	pool.mu.Unlock()
	for _, link := range idle {
		link.Close()
	}
	for _, next := range waiting {
		next.ready <- nil
	}
}

// Put gives the link back to its pool.
func (link *Link) Put() { link.pool.Put(link) }

// Discard closes the link.
func (link *Link) Discard() { link.pool.Discard(link) }

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

// Close closes all pools.
func (set *Set) Close() { set.SetMembers(nil) }
