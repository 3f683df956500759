// Package pool holds a VM's connections to the slots of one database group.
//
// Rules:
//
//  14. A transaction has one upstream connection to itself. A connection goes
//     back only after a confirmed reset; one in doubt is closed.
//  15. Requests wait for a connection in a bounded fair queue (package limit).
//  16. The pool never has more connections open, opening or closing than its
//     share of the group's limit. It moves them between slots as needed.
package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/limit"
)

// Opener opens a connection to a slot.
type Opener func(ctx context.Context, slot string) (*Conn, error)

// Session is whom a connection is for.
type Session struct {
	// ID differs between sessions.
	ID uint64
	// Caller is what fairness goes by: the user's name.
	Caller string
}

// cleanAfter is how long a connection waits for its session to come back
// before it is reset for others.
const cleanAfter = time.Millisecond

// openTimeout bounds the opening of a connection.
const openTimeout = 2 * time.Second

// Pool is safe for concurrent use. Set the exported fields before use.
type Pool struct {
	Open  Opener
	Clock clock.Clock
	// Share returns how many connections the pool may have now.
	Share func() int

	mu      sync.Mutex
	open    int
	closing int
	idle    map[string][]*Conn
	all     map[*Conn]struct{}
	queue   limit.Queue[*waiter]
	stopped bool
	// isCleaning says that a clean-up of left connections is on its way.
	isCleaning bool
	waits      map[string]time.Duration
}

type waiter struct {
	slot    string
	session Session
	since   time.Time
	// result is buffered, so that the pool never blocks on a waiter.
	result chan outcome
	gone   bool
}

type outcome struct {
	conn *Conn
	err  error
}

// SetQueueLimit bounds the requests that wait for a connection. Those beyond a
// lower limit are refused at once.
func (pool *Pool) SetQueueLimit(queueLimit int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.init()
	pool.queue.Limit = queueLimit
	for shed, isShed := pool.queue.Shed(); isShed; shed, isShed = pool.queue.Shed() {
		shed.Value.refuse(fault.ReasonShed)
	}
}

func (w *waiter) refuse(reason fault.Reason) {
	refusal := fault.Refuse(fault.CodeTooMany, reason, "too many requests wait for a connection")
	refusal.RetryAfter = time.Second
	w.result <- outcome{err: refusal}
}

// Enforce closes idle connections over the share, lets waiting requests use a
// share that has grown, and reports whether the open ones fit. Busy ones over
// the share are closed when they are released, or at once if force is set: a VM
// whose share has lapsed must not keep them.
func (pool *Pool) Enforce(force bool) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.init()
	share := pool.Share()
	for excess := pool.open - pool.closing - share; excess > 0 && pool.evict(""); excess-- {
	}
	if force {
		pool.breakBusy(pool.open - pool.closing - share)
	}
	pool.dispatch()
	return pool.open <= share
}

// breakBusy closes connections under their requests.
func (pool *Pool) breakBusy(excess int) {
	for conn := range pool.all {
		if excess <= 0 {
			return
		}
		if !conn.dropped {
			conn.dropped = true
			conn.Close()
			excess--
		}
	}
}

func (pool *Pool) init() {
	if pool.idle == nil {
		pool.idle = make(map[string][]*Conn)
		pool.all = make(map[*Conn]struct{})
		pool.waits = make(map[string]time.Duration)
	}
}

// Usage is a snapshot of the pool's numbers.
type Usage struct {
	Share   int `json:"share"`
	Open    int `json:"open"`
	Idle    int `json:"idle"`
	Waiting int `json:"waiting"`
}

// Usage returns the current numbers.
func (pool *Pool) Usage() Usage {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	usage := Usage{Share: pool.Share(), Open: pool.open, Waiting: pool.queue.Len()}
	for _, idle := range pool.idle {
		usage.Idle += len(idle)
	}
	return usage
}

// Wait is the smoothed time that recent requests waited for the slot.
func (pool *Pool) Wait(slot string) time.Duration {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.idle[slot]) > 0 {
		return 0
	}
	return pool.waits[slot]
}

// Acquire returns a connection to slot. Nothing is dispatched when it fails,
// so each of its errors has the verdict notRun.
func (pool *Pool) Acquire(ctx context.Context, slot string, session Session) (*Conn, error) {
	pool.mu.Lock()
	pool.init()
	if pool.stopped {
		pool.mu.Unlock()
		return nil, fault.Refuse(fault.CodeUnavailable, fault.ReasonStopping, "the VM is stopping")
	}
	if pool.queue.Len() == 0 {
		if conn := pool.takeIdle(slot, session); conn != nil {
			pool.noteWait(slot, 0)
			pool.mu.Unlock()
			return conn, nil
		}
	}
	w := &waiter{slot: slot, session: session, since: pool.Clock.Now(), result: make(chan outcome, 1)}
	pool.push(ctx, w)
	pool.dispatch()
	pool.mu.Unlock()
	select {
	case result := <-w.result:
		return result.conn, result.err
	case <-ctx.Done():
		return nil, pool.abandon(w)
	}
}

func (pool *Pool) push(ctx context.Context, w *waiter) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = w.since.Add(time.Hour)
	}
	shed, isShed := pool.queue.Push(limit.Item[*waiter]{Value: w, Caller: w.session.Caller, Deadline: deadline})
	if !isShed {
		return
	}
	reason := fault.ReasonShed
	if shed.Value == w {
		reason = fault.ReasonQueueFull
	}
	shed.Value.refuse(reason)
}

// abandon takes back a waiter whose time is up, or the connection that it was
// given meanwhile.
func (pool *Pool) abandon(w *waiter) error {
	pool.mu.Lock()
	wasWaiting := pool.queue.Remove(w.session.Caller, w)
	w.gone = true
	pool.mu.Unlock()
	select {
	case result := <-w.result:
		if result.conn != nil {
			pool.Release(result.conn, w.session)
		}
	default:
	}
	if !wasWaiting {
		// A place was free; it is the database that did not answer.
		return fault.Refuse(fault.CodeConnection, fault.ReasonConnectFailed, "no connection to the database within the deadline")
	}
	return fault.Refuse(fault.CodeTooMany, fault.ReasonDeadline, "no connection was free within the deadline")
}

// dispatch serves waiters in turn while there is something to serve them with.
func (pool *Pool) dispatch() {
	for pool.queue.Len() > 0 && pool.canServe() {
		item, _ := pool.queue.Pop()
		w := item.Value
		if conn := pool.takeIdle(w.slot, w.session); conn != nil {
			pool.give(w, conn)
			continue
		}
		if conn := pool.takeLeft(w.slot); conn != nil {
			go pool.resetFor(w, conn)
			continue
		}
		if pool.open >= pool.Share() && pool.evict(w.slot) {
			// The place comes free when the upstream has closed its side; the
			// waiter then is the first in its turn.
			pool.queue.PushFront(item)
			return
		}
		pool.open++
		go pool.openFor(w)
	}
}

func (pool *Pool) canServe() bool {
	if pool.open < pool.Share() {
		return true
	}
	if pool.open > pool.Share() {
		return false
	}
	for _, idle := range pool.idle {
		if len(idle) > 0 {
			return true
		}
	}
	return false
}

func (pool *Pool) give(w *waiter, conn *Conn) {
	pool.noteWait(w.slot, pool.Clock.Now().Sub(w.since))
	w.result <- outcome{conn: conn}
}

// waitWeight is the weight of a new value in the smoothed wait: one in eight.
const waitWeight = 8

func (pool *Pool) noteWait(slot string, wait time.Duration) {
	pool.waits[slot] += (wait - pool.waits[slot]) / waitWeight
}

// takeIdle takes the connection that the session used last, or else a clean
// one.
func (pool *Pool) takeIdle(slot string, session Session) *Conn {
	return pool.takeWhere(slot, func(conn *Conn) bool {
		return !conn.isLeft || conn.owner == session.ID
	})
}

// takeLeft takes a connection that another session left and that is not reset
// yet.
func (pool *Pool) takeLeft(slot string) *Conn {
	return pool.takeWhere(slot, func(conn *Conn) bool { return conn.isLeft })
}

// takeWhere takes the connection that fits and was used last. Dead ones that it
// meets are closed.
func (pool *Pool) takeWhere(slot string, fits func(*Conn) bool) *Conn {
	idle := pool.idle[slot]
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		if !fits(conn) {
			continue
		}
		idle = slices.Delete(idle, i, i+1)
		pool.idle[slot] = idle
		if conn.isAlive() {
			return conn
		}
		pool.forget(conn)
	}
	return nil
}

// evict closes the connection that has been idle longest, preferably not one
// to slot.
func (pool *Pool) evict(slot string) bool {
	var oldest *Conn
	for name, idle := range pool.idle {
		if name == slot || len(idle) == 0 {
			continue
		}
		if oldest == nil || idle[0].idleAt.Before(oldest.idleAt) {
			oldest = idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	pool.idle[oldest.Slot] = pool.idle[oldest.Slot][1:]
	pool.forget(oldest)
	return true
}

// forget closes a connection. Its place is returned only once the upstream has
// closed its side too (rule 16): a new connection could otherwise arrive there
// before the end of the old one. A dropped connection's upstream is gone or
// fenced, and won't answer.
func (pool *Pool) forget(conn *Conn) {
	if _, ok := pool.all[conn]; !ok {
		return
	}
	delete(pool.all, conn)
	if conn.dropped {
		conn.Close()
		pool.open--
		return
	}
	pool.closing++
	go func() {
		conn.terminate()
		pool.mu.Lock()
		defer pool.mu.Unlock()
		pool.open--
		pool.closing--
		pool.dispatch()
	}()
}

func (pool *Pool) openFor(w *waiter) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	conn, err := pool.Open(ctx, w.slot)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if err != nil {
		pool.open--
		failure := fault.Refuse(fault.CodeConnection, fault.ReasonConnectFailed, "no connection to the database")
		failure.Cause = err
		w.result <- outcome{err: failure}
		pool.dispatch()
		return
	}
	pool.all[conn] = struct{}{}
	if pool.stopped || pool.open > pool.Share() {
		pool.forget(conn)
		w.result <- outcome{err: fault.Refuse(fault.CodeTooMany, fault.ReasonNoShare, "the connection share was given up")}
		return
	}
	if w.gone {
		pool.putIdle(conn)
		pool.dispatch()
		return
	}
	pool.give(w, conn)
}

func (pool *Pool) putIdle(conn *Conn) {
	conn.idleAt = pool.Clock.Now()
	pool.idle[conn.Slot] = append(pool.idle[conn.Slot], conn)
}

// Discard closes a connection that is in doubt.
func (pool *Pool) Discard(conn *Conn) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.forget(conn)
	pool.dispatch()
}

// Drop closes every connection to a slot, in use or not: the slot is dead, cut
// off, or no longer what it was taken for.
func (pool *Pool) Drop(slot string) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	dropped := 0
	for conn := range pool.all {
		if conn.Slot == slot && !conn.dropped {
			// Whoever uses it sees the error and discards it.
			conn.dropped = true
			conn.Close()
			dropped++
		}
	}
	for _, conn := range pool.idle[slot] {
		pool.forget(conn)
	}
	delete(pool.idle, slot)
	pool.dispatch()
	return dropped
}

// Stop closes idle connections now and busy ones as they come back.
func (pool *Pool) Stop() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.stopped = true
	for pool.evict("") {
	}
	for pool.queue.Len() > 0 {
		item, _ := pool.queue.Pop()
		item.Value.result <- outcome{err: fault.Refuse(fault.CodeUnavailable, fault.ReasonStopping, "the VM is stopping")}
	}
}
