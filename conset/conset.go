// Package conset has a VM's connections to databases: a bounded pool for each.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  14. A connection serves one transaction at a time. One in doubt is closed.
//  15. Requests wait as package admit says.
//  16. A VM opens no more than its share of a database's limit.
package conset

import (
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/admit"
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

// IsRefused reports whether a database's machine answered that nothing listens.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 1 * time.Second
	// maxDialing bounds the connections that are being opened at a time.
	maxDialing = 2
	// fullPause is how long a pool opens nothing after the database said that
	// it has too many connections.
	fullPause = 150 * time.Millisecond
	// idleFor is how long a connection beyond the first is kept unused. Few open
	// connections leave room for VMs that come back while their old connections
	// still count.
	idleFor = 1 * time.Second
	// scarceIdleFor holds for all connections where the VM's share is less than
	// plenty: with many VMs, one idle connection of each would fill a database.
	scarceIdleFor = 400 * time.Millisecond
	plenty        = 4
)

// errAgain says that the way to a connection has changed.
var errAgain = errors.New("look again")

type waiter struct {
	ready chan *Link
}

// Pool has the connections to one database. Set the exported fields first.
type Pool struct {
	Member dbset.Member
	Dialer wires.Dialer
	Clock  clock.Clock
	// Limit is the VM's share of the database's connections.
	Limit func() int

	mu      sync.Mutex
	idle    []*Link
	open    int
	dialing int
	gate    admit.Gate[*waiter]
	// isFull says that the database had too many connections at the last try;
	// tryAt is when to try again.
	isFull bool
	tryAt  time.Time
	closed bool
}

// Get returns a connection that nothing else uses. fit prefers one of the idle
// ones: the one with the lowest result. A request that would wait for too long is
// refused at once.
func (pool *Pool) Get(want admit.Want, fit func(*Link) int) (*Link, error) {
	until := pool.Clock.Now().Add(want.Patience)
	for {
		want.Patience = until.Sub(pool.Clock.Now())
		link, err := pool.step(want, fit)
		if link != nil && !link.IsAlive() {
			pool.Discard(link)
			continue
		}
		if !errors.Is(err, errAgain) {
			return link, err
		}
	}
}

// step takes an idle connection, opens one, or waits for one. The error errAgain
// says that it is worth looking again.
func (pool *Pool) step(want admit.Want, fit func(*Link) int) (*Link, error) {
	pool.mu.Lock()
	if pool.closed {
		pool.mu.Unlock()
		return nil, ErrClosed
	}
	now := pool.Clock.Now()
	if link := pool.takeIdle(fit, now); link != nil {
		pool.mu.Unlock()
		return link, nil
	}
	if pool.mayOpen(now) {
		pool.reserve(now)
		pool.mu.Unlock()
		return pool.dial(want.Patience)
	}
	waits := &waiter{ready: make(chan *Link, 1)}
	if want.Patience <= 0 || !pool.gate.Queue(want, waits, now) {
		pool.mu.Unlock()
		return nil, ErrNoRoom
	}
	wait := want.Patience
	if pool.isFull && now.Before(pool.tryAt) {
		wait = min(wait, pool.tryAt.Sub(now))
	}
	if pause := pool.gate.Pause(now); pause > 0 {
		wait = min(wait, pause)
	}
	pool.mu.Unlock()
	link, err := pool.await(waits, wait, want.Patience)
	if errors.Is(err, ErrNoRoom) && wait < want.Patience {
		return nil, errAgain
	}
	return link, err
}

// mayOpen reports whether another connection may be opened now. Openings are few
// at a time, since each takes one of the database's slots, and one by one while
// the database says that it has too many.
func (pool *Pool) mayOpen(now time.Time) bool {
	return pool.gate.HasRoom(now) && pool.open < max(pool.Limit(), 1) && pool.dialing < maxDialing &&
		(!pool.isFull || !now.Before(pool.tryAt))
}

func (pool *Pool) reserve(now time.Time) {
	pool.open++
	pool.dialing++
	pool.gate.Enter()
	if pool.isFull {
		pool.tryAt = now.Add(fullPause)
	}
}

// grow hands waiters idle connections, or the right to open one.
func (pool *Pool) grow(now time.Time) {
	for !pool.closed && pool.gate.Waiting() > 0 {
		var link *Link
		switch {
		case len(pool.idle) > 0 && pool.gate.HasRoom(now):
			link = pool.takeIdle(nil, now)
		case pool.mayOpen(now):
			pool.reserve(now)
		default:
			return
		}
		if next, ok := pool.gate.Next(); ok {
			next.ready <- link
		}
	}
}

// takeIdle takes the idle connection that fits best, if the database has room.
func (pool *Pool) takeIdle(fit func(*Link) int, now time.Time) *Link {
	last := len(pool.idle) - 1
	if last < 0 || !pool.gate.HasRoom(now) {
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
	pool.gate.Enter()
	return link
}

func (pool *Pool) await(waits *waiter, wait, timeout time.Duration) (*Link, error) {
	select {
	case link, isOpen := <-waits.ready:
		return pool.handed(link, isOpen, timeout)
	case <-pool.Clock.After(wait):
	}
	pool.mu.Lock()
	wasWaiting := pool.gate.Remove(waits)
	pool.mu.Unlock()
	if wasWaiting {
		return nil, ErrNoRoom
	}
	link, isOpen := <-waits.ready
	return pool.handed(link, isOpen, timeout)
}

// handed takes what a waiter was given: a connection, or with nil the right to
// open one. The channel is closed with the pool.
func (pool *Pool) handed(link *Link, isOpen bool, timeout time.Duration) (*Link, error) {
	if link != nil {
		return link, nil
	}
	if !isOpen {
		return nil, ErrClosed
	}
	return pool.dial(timeout)
}

func (pool *Pool) dial(timeout time.Duration) (*Link, error) {
	wire, answer, err := pool.Dialer.Dial(pool.Member, min(timeout, dialTimeout))
	isFull := err == nil && answer.Code == wires.Full || errors.Is(err, syscall.ECONNRESET)
	isOpen := err == nil && answer.Code == wires.OK
	pool.dialed(isOpen, isFull)
	if isOpen {
		return &Link{
			Wire: wire, Member: pool.Member, pool: pool,
			Values: make(map[string]string), Shapes: make(map[string]wires.Shape),
		}, nil
	}
	switch {
	case isFull:
		return nil, errAgain
	case err != nil:
		return nil, errors.Mark(err, ErrDial)
	case answer.Code == wires.WrongMember:
		return nil, ErrOther
	}
	return nil, ErrNoRoom
}

// dialed notes the end of an opening.
func (pool *Pool) dialed(isOpen, isFull bool) {
	now := pool.Clock.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.dialing--
	if !isOpen {
		pool.open--
		pool.gate.Leave(now)
	}
	if isFull {
		pool.isFull, pool.tryAt = true, now.Add(fullPause)
	} else if isOpen {
		pool.isFull = false
	}
	pool.grow(now)
}

// Put gives a connection back that is outside of a transaction.
func (pool *Pool) Put(link *Link) {
	now := pool.Clock.Now()
	pool.mu.Lock()
	if pool.closed || pool.open > max(pool.Limit(), 1) {
		pool.mu.Unlock()
		pool.Discard(link)
		return
	}
	pool.release(link)
	link.usedAt = now
	pool.idle = append(pool.idle, link)
	pool.grow(now)
	pool.mu.Unlock()
}

// release ends the link's claim on the database's room.
func (pool *Pool) release(link *Link) {
	if !link.isResting {
		pool.gate.Leave(pool.Clock.Now())
	}
	link.isResting = false
}

// Discard closes a connection; a request that waits may open another.
func (pool *Pool) Discard(link *Link) {
	link.Close()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.release(link)
	pool.open--
	pool.grow(pool.Clock.Now())
}

// Close closes the idle connections and refuses new requests; the others are
// closed as they come back.
func (pool *Pool) Close() {
	pool.mu.Lock()
	pool.closed = true
	idle, waiting := pool.idle, pool.gate.Drain()
	pool.idle = nil
	pool.open -= len(idle)
	pool.mu.Unlock()
	for _, link := range idle {
		link.Close()
	}
	for _, next := range waiting {
		close(next.ready)
	}
}

// trim closes connections that have not been used since a time, but some.
func (pool *Pool) trim(since time.Time, keep int) {
	pool.mu.Lock()
	var old []*Link
	for len(pool.idle) > 0 && pool.open > keep && pool.idle[0].usedAt.Before(since) {
		old = append(old, pool.idle[0])
		pool.idle = slices.Delete(pool.idle, 0, 1)
		pool.open--
	}
	pool.mu.Unlock()
	for _, link := range old {
		link.Close()
	}
}
