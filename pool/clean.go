package pool

import (
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/fault"
)

// Release gives a connection back. Its session may have it again as it is; for
// others it is reset first.
func (pool *Pool) Release(conn *Conn, session Session) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	conn.owner, conn.isLeft = session.ID, true
	if pool.queue.Len() > 0 || !pool.mayKeep(conn) {
		go pool.clean(conn)
		return
	}
	pool.putIdle(conn)
	if !pool.isCleaning {
		pool.isCleaning = true
		go pool.cleanLater()
	}
}

func (pool *Pool) mayKeep(conn *Conn) bool {
	return !conn.dropped && !pool.stopped && pool.open <= pool.Share()
}

// clean resets a connection and makes it free for all.
func (pool *Pool) clean(conn *Conn) {
	err := conn.reset()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if err != nil || !pool.mayKeep(conn) {
		pool.forget(conn)
	} else {
		conn.isLeft = false
		pool.putIdle(conn)
	}
	pool.dispatch()
}

// cleanLater resets the connections whose sessions did not come back.
func (pool *Pool) cleanLater() {
	<-pool.Clock.After(cleanAfter)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.isCleaning = false
	now := pool.Clock.Now()
	for slot := range pool.idle {
		for conn := pool.takeOld(slot, now); conn != nil; conn = pool.takeOld(slot, now) {
			go pool.clean(conn)
		}
		isLeft := func(conn *Conn) bool { return conn.isLeft }
		if !pool.isCleaning && slices.ContainsFunc(pool.idle[slot], isLeft) {
			pool.isCleaning = true
			go pool.cleanLater()
		}
	}
}

func (pool *Pool) takeOld(slot string, now time.Time) *Conn {
	return pool.takeWhere(slot, func(conn *Conn) bool {
		return conn.isLeft && now.Sub(conn.idleAt) >= cleanAfter
	})
}

// resetFor resets a connection for a waiter.
func (pool *Pool) resetFor(w *waiter, conn *Conn) {
	err := conn.reset()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	conn.isLeft = false
	switch {
	case err != nil || !pool.mayKeep(conn):
		pool.forget(conn)
		if !w.gone {
			w.result <- outcome{err: fault.Refuse(fault.CodeConnection, fault.ReasonConnectFailed, "no connection to the database")}
		}
	case w.gone:
		pool.putIdle(conn)
	default:
		pool.give(w, conn)
	}
	pool.dispatch()
}
