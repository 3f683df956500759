// Package pool is the pool of a VM's connections to the slots of one database group.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  14. A transaction has a connection of its own. Another session gets the
//     connection only after a confirmed reset; a connection in an unknown state is
//     closed. On a connection with unread data nothing is sent.
//  15. Requests wait for a connection in a bounded fair queue (package fairq).
//  16. Together, the connections that are open, being opened or being closed never
//     exceed the VM's share of the group's limit. To connect to one slot the pool
//     closes idle connections to others.
package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/fairq"
	"github.com/bramleydoor/bramleydoor/fault"
)

// Opener opens a connection to a slot.
type Opener func(ctx context.Context, slot string) (*Conn, error)

// Session identifies the session that a connection is acquired for.
type Session struct {
	// ID is unique among the VM's sessions.
	ID uint64
	// Caller is the user's name. The queue is fair between callers.
	Caller string
}

// resetDelay is how long a released connection may stay idle without a reset, so that its
// session can reuse it. Another session that needs it earlier has it reset at once.
const resetDelay = time.Millisecond

// openTimeout bounds connecting to a slot.
const openTimeout = 2 * time.Second

// Pool is safe for concurrent use. Set the exported fields before use.
type Pool struct {
	Open  Opener
	Clock clock.Clock
	// Share returns the number of connections that the pool may have now.
	Share func() int

	mu sync.Mutex
	// openCount counts the connections that are open, being opened or being closed;
	// closingCount those being closed.
	openCount    int
	closingCount int
	// idle has the idle connections of each slot, the least recently used first.
	idle      map[string][]*Conn
	conns     map[*Conn]struct{}
	queue     fairq.Queue[*pendingAcquire]
	isStopped bool
	// isResetScheduled says that a run of resetUnreused is scheduled.
	isResetScheduled bool
	// smoothedWaits has the smoothed wait of recent requests for each slot.
	smoothedWaits map[string]time.Duration
}

// pendingAcquire is a call of Acquire that waits for a connection.
type pendingAcquire struct {
	slot    string
	session Session
	since   time.Time
	// result is buffered, so that the pool never blocks when it sends the result.
	result chan acquireResult
	// isAbandoned says that the deadline expired and nothing receives from result.
	isAbandoned bool
}

type acquireResult struct {
	conn *Conn
	err  error
}

// SetQueueLimit bounds the number of requests that wait for a connection. If the limit is
// lowered, waiting requests in excess of it are refused immediately.
func (pool *Pool) SetQueueLimit(queueLimit int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.init()
	pool.queue.Limit = queueLimit
	for shed, isShed := pool.queue.Shed(); isShed; shed, isShed = pool.queue.Shed() {
		shed.Value.refuse(fault.ReasonShed)
	}
}

func (pending *pendingAcquire) refuse(reason fault.Reason) {
	refusal := fault.Refuse(fault.CodeTooMany, reason, "too many requests are waiting for a connection")
	refusal.RetryAfter = time.Second
	pending.result <- acquireResult{err: refusal}
}

// EnforceShare closes idle connections in excess of the share, serves waiting requests
// if the share has grown, and reports whether the connections now fit the share. Busy
// connections in excess are closed when they are released, or immediately if force is
// set, because a VM whose share has expired must not keep them.
func (pool *Pool) EnforceShare(force bool) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.init()
	share := pool.Share()
	for excess := pool.openCount - pool.closingCount - share; excess > 0 && pool.evict(""); excess-- {
	}
	if force {
		pool.closeBusy(pool.openCount - pool.closingCount - share)
	}
	pool.dispatch()
	return pool.openCount <= share
}

// closeBusy interrupts requests so that up to excess connections in use are closed. The
// connections count towards the share until the database has closed them (see retire).
func (pool *Pool) closeBusy(excess int) {
	for conn := range pool.conns {
		if conn.isDropped || conn.isInterrupted {
			excess--
		}
	}
	for conn := range pool.conns {
		if excess <= 0 {
			return
		}
		if !conn.isDropped && !conn.isInterrupted {
			conn.isInterrupted = true
			go conn.interrupt()
			excess--
		}
	}
}

func (pool *Pool) init() {
	if pool.idle == nil {
		pool.idle = make(map[string][]*Conn)
		pool.conns = make(map[*Conn]struct{})
		pool.smoothedWaits = make(map[string]time.Duration)
	}
}

// Usage is a snapshot of the pool's share, its connections and its waiting requests.
type Usage struct {
	Share   int `json:"share"`
	Open    int `json:"open"`
	Idle    int `json:"idle"`
	Waiting int `json:"waiting"`
}

// Usage returns the current usage.
func (pool *Pool) Usage() Usage {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	usage := Usage{Share: pool.Share(), Open: pool.openCount, Waiting: pool.queue.Len()}
	for _, idle := range pool.idle {
		usage.Idle += len(idle)
	}
	return usage
}

// ExpectedWait returns the expected wait for a connection to the slot: zero if one is
// idle, or else the smoothed wait of recent requests.
func (pool *Pool) ExpectedWait(slot string) time.Duration {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.idle[slot]) > 0 {
		return 0
	}
	return pool.smoothedWaits[slot]
}

// Acquire returns a connection to slot, and waits for one until ctx ends. When it fails,
// nothing has been dispatched, so each of its errors has the verdict notRun.
func (pool *Pool) Acquire(ctx context.Context, slot string, session Session) (*Conn, error) {
	pool.mu.Lock()
	pool.init()
	if pool.isStopped {
		pool.mu.Unlock()
		return nil, fault.Refuse(fault.CodeUnavailable, fault.ReasonStopping, "the VM is stopping")
	}
	if pool.queue.Len() == 0 {
		if conn := pool.takeIdle(slot, session); conn != nil {
			pool.recordWait(slot, 0)
			pool.mu.Unlock()
			return conn, nil
		}
	}
	pending := &pendingAcquire{slot: slot, session: session, since: pool.Clock.Now(), result: make(chan acquireResult, 1)}
	pool.enqueue(ctx, pending)
	pool.dispatch()
	pool.mu.Unlock()
	select {
	case result := <-pending.result:
		return result.conn, result.err
	case <-ctx.Done():
		return nil, pool.abandon(pending)
	}
}

func (pool *Pool) enqueue(ctx context.Context, pending *pendingAcquire) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = pending.since.Add(time.Hour)
	}
	shed, isShed := pool.queue.Push(fairq.Item[*pendingAcquire]{Value: pending, Caller: pending.session.Caller, Deadline: deadline})
	if !isShed {
		return
	}
	reason := fault.ReasonShed
	if shed.Value == pending {
		reason = fault.ReasonQueueFull
	}
	shed.Value.refuse(reason)
}

// abandon removes a request whose deadline has expired from the queue, or releases the
// connection that it received in the meantime. It returns the error for Acquire to return.
func (pool *Pool) abandon(pending *pendingAcquire) error {
	pool.mu.Lock()
	wasWaiting := pool.queue.Remove(pending.session.Caller, pending)
	pending.isAbandoned = true
	pool.mu.Unlock()
	select {
	case result := <-pending.result:
		if result.conn != nil {
			pool.Release(result.conn, pending.session)
		}
	default:
	}
	if !wasWaiting {
		// The pool had capacity; the database did not answer in time.
		return fault.Refuse(fault.CodeConnection, fault.ReasonConnectFailed, "no connection to the database within the deadline")
	}
	return fault.Refuse(fault.CodeTooMany, fault.ReasonDeadline, "no connection became available within the deadline")
}

// dispatch serves waiting requests in the queue's order while the pool has an idle connection
// or may open one.
func (pool *Pool) dispatch() {
	for pool.queue.Len() > 0 && pool.canDispatch() {
		item, _ := pool.queue.Pop()
		pending := item.Value
		if conn := pool.takeIdle(pending.slot, pending.session); conn != nil {
			pool.deliver(pending, conn)
			continue
		}
		if conn := pool.takeUnreset(pending.slot); conn != nil {
			go pool.resetFor(pending, conn)
			continue
		}
		if pool.openCount >= pool.Share() && pool.evict(pending.slot) {
			// The capacity is free once the database has closed the evicted
			// connection. Until then the request stays first in the queue.
			pool.queue.PushFront(item)
			return
		}
		pool.openCount++
		go pool.openFor(pending)
	}
}

func (pool *Pool) canDispatch() bool {
	if pool.openCount < pool.Share() {
		return true
	}
	if pool.openCount > pool.Share() {
		return false
	}
	for _, idle := range pool.idle {
		if len(idle) > 0 {
			return true
		}
	}
	return false
}

func (pool *Pool) deliver(pending *pendingAcquire, conn *Conn) {
	pool.recordWait(pending.slot, pool.Clock.Now().Sub(pending.since))
	pending.result <- acquireResult{conn: conn}
}

// waitDivisor gives a new value a weight of one in eight in the smoothed wait.
const waitDivisor = 8

func (pool *Pool) recordWait(slot string, wait time.Duration) {
	pool.smoothedWaits[slot] += (wait - pool.smoothedWaits[slot]) / waitDivisor
}

// takeIdle removes and returns an idle connection that the session can use without a reset:
// one that it used last itself, or one that has been reset.
func (pool *Pool) takeIdle(slot string, session Session) *Conn {
	return pool.takeMatching(slot, func(conn *Conn) bool {
		return !conn.needsReset || conn.lastSession == session.ID
	})
}

// takeUnreset removes and returns an idle connection that another session used and that
// has not been reset.
func (pool *Pool) takeUnreset(slot string) *Conn {
	return pool.takeMatching(slot, func(conn *Conn) bool { return conn.needsReset })
}

// takeMatching removes and returns the most recently used idle connection for which matches
// is true, or nil. Matching connections that are no longer alive are closed.
func (pool *Pool) takeMatching(slot string, matches func(*Conn) bool) *Conn {
	idle := pool.idle[slot]
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		if !matches(conn) {
			continue
		}
		idle = slices.Delete(idle, i, i+1)
		pool.idle[slot] = idle
		if conn.isAlive() {
			return conn
		}
		pool.retire(conn)
	}
	return nil
}

// evict closes the connection that has been idle longest, other than those to slot, and
// reports whether there was one.
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
	pool.retire(oldest)
	return true
}

// retire closes a connection. The connection counts towards the share until the database
// has closed it too (rule 16): otherwise a new connection could reach the database before
// the old one ends. A dropped connection stops counting immediately, because its slot is
// assumed to be down or fenced and would not answer.
func (pool *Pool) retire(conn *Conn) {
	if _, ok := pool.conns[conn]; !ok {
		return
	}
	delete(pool.conns, conn)
	if conn.isDropped {
		conn.Close()
		pool.openCount--
		return
	}
	pool.closingCount++
	go func() {
		conn.terminate()
		pool.mu.Lock()
		defer pool.mu.Unlock()
		pool.openCount--
		pool.closingCount--
		pool.dispatch()
	}()
}

func (pool *Pool) openFor(pending *pendingAcquire) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	conn, err := pool.Open(ctx, pending.slot)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if err != nil {
		pool.openCount--
		failure := fault.Refuse(fault.CodeConnection, fault.ReasonConnectFailed, "no connection to the database")
		failure.Cause = err
		pending.result <- acquireResult{err: failure}
		pool.dispatch()
		return
	}
	pool.conns[conn] = struct{}{}
	if pool.isStopped || pool.openCount > pool.Share() {
		pool.retire(conn)
		pending.result <- acquireResult{err: fault.Refuse(fault.CodeTooMany, fault.ReasonNoShare, "the VM stopped or its connection share was reduced while the connection was being opened")}
		return
	}
	if pending.isAbandoned {
		pool.addIdle(conn)
		pool.dispatch()
		return
	}
	pool.deliver(pending, conn)
}

func (pool *Pool) addIdle(conn *Conn) {
	conn.idleAt = pool.Clock.Now()
	pool.idle[conn.Slot] = append(pool.idle[conn.Slot], conn)
}

// Discard closes a connection whose state is unknown.
func (pool *Pool) Discard(conn *Conn) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.retire(conn)
	pool.dispatch()
}

// CloseSlot closes every connection to a slot, in use or not, and returns how many it
// closed. It is for a slot that is down, fenced or has changed its role.
func (pool *Pool) CloseSlot(slot string) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	closed := 0
	for conn := range pool.conns {
		if conn.Slot == slot && !conn.isDropped {
			// A request that uses it gets an error and calls Discard.
			conn.isDropped = true
			conn.Close()
			closed++
		}
	}
	for _, conn := range pool.idle[slot] {
		pool.retire(conn)
	}
	delete(pool.idle, slot)
	pool.dispatch()
	return closed
}

// Stop closes idle connections immediately and busy ones when they are released. Waiting
// and later requests are refused.
func (pool *Pool) Stop() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.isStopped = true
	for pool.evict("") {
	}
	for pool.queue.Len() > 0 {
		item, _ := pool.queue.Pop()
		item.Value.result <- acquireResult{err: fault.Refuse(fault.CodeUnavailable, fault.ReasonStopping, "the VM is stopping")}
	}
}
