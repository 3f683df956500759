package pool

import (
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/fault"
)

// Release returns a connection to the pool. The same session may reuse it without a
// reset; for other sessions it is reset first. If requests wait it is reset at once, and
// if the pool must not keep it, it is closed after the reset.
func (pool *Pool) Release(conn *Conn, session Session) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	conn.lastSession, conn.needsReset = session.ID, true
	if pool.queue.Len() > 0 || !pool.canKeep(conn) {
		go pool.recycle(conn)
		return
	}
	pool.addIdle(conn)
	if !pool.isResetScheduled {
		pool.isResetScheduled = true
		go pool.resetUnreused()
	}
}

func (pool *Pool) canKeep(conn *Conn) bool {
	return !conn.isDropped && !conn.isInterrupted && !pool.isStopped && pool.openCount <= pool.Share()
}

// recycle resets a connection and makes it idle for every session, or closes it if the reset
// fails or the pool must not keep it.
func (pool *Pool) recycle(conn *Conn) {
	err := conn.reset()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if err != nil || !pool.canKeep(conn) {
		pool.retire(conn)
	} else {
		conn.needsReset = false
		pool.addIdle(conn)
	}
	pool.dispatch()
}

// resetUnreused waits for resetDelay and then resets the connections that their sessions
// have not reused since.
func (pool *Pool) resetUnreused() {
	<-pool.Clock.After(resetDelay)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.isResetScheduled = false
	now := pool.Clock.Now()
	for slot := range pool.idle {
		for conn := pool.takeUnreused(slot, now); conn != nil; conn = pool.takeUnreused(slot, now) {
			go pool.recycle(conn)
		}
		needsReset := func(conn *Conn) bool { return conn.needsReset }
		if !pool.isResetScheduled && slices.ContainsFunc(pool.idle[slot], needsReset) {
			pool.isResetScheduled = true
			go pool.resetUnreused()
		}
	}
}

// takeUnreused takes an idle connection that its session has not reused for resetDelay, or
// returns nil.
func (pool *Pool) takeUnreused(slot string, now time.Time) *Conn {
	return pool.takeMatching(slot, func(conn *Conn) bool {
		return conn.needsReset && now.Sub(conn.idleAt) >= resetDelay
	})
}

// resetFor resets a connection that another session used, and delivers it to a waiting
// request. If the reset fails or the pool must not keep the connection, it closes the
// connection and refuses the request.
func (pool *Pool) resetFor(pending *pendingAcquire, conn *Conn) {
	err := conn.reset()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	conn.needsReset = false
	switch {
	case err != nil || !pool.canKeep(conn):
		pool.retire(conn)
		if !pending.isAbandoned {
			pending.result <- acquireResult{err: fault.Refuse(fault.CodeConnection, fault.ReasonConnectFailed, "no connection to the database")}
		}
	case pending.isAbandoned:
		pool.addIdle(conn)
	default:
		pool.deliver(pending, conn)
	}
	pool.dispatch()
}
