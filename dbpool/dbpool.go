// Package dbpool pools a VM's connections to databases. Each database has one bounded
// pool.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  14. A connection serves one transaction at a time. A connection whose state
//     is in doubt is closed, and so is one on which an answer did not match its request
//     (package match).
//  15. Package admit decides which requests wait, in which order, and which are
//     refused.
//  16. A VM opens no more connections to a database than its share of the
//     database's connection limit.
package dbpool

import (
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/admit"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/stats"
)

// Errors of Pool.Get. The request was not sent.
var (
	// ErrNoConn means that the connection limit or the database's load left no
	// connection for the request within its MaxWait.
	ErrNoConn = errors.New("no connection became available within the timeout")
	// ErrClosed means that the pool was closed, since its database was removed.
	ErrClosed = errors.New("connection pool of the database is closed")
	// ErrDial means that no connection could be opened.
	ErrDial = errors.New("connection to the database failed")
	// ErrWrongDatabase means that the address belongs to another database than the member.
	ErrWrongDatabase = errors.New("address belongs to another database")
)

// IsRefused reports whether err is a refused connection (ECONNREFUSED): the database's
// VM answered, but no process listens on the port.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

const (
	// dialTimeout limits the opening of a connection.
	dialTimeout = 1 * time.Second
	// maxConcurrentDials limits the connections of a pool that are being opened
	// at a time, unless they belong to teams and the database's parallelism allows more.
	maxConcurrentDials = 2
	// fullRetryDelay is the delay before a pool opens another connection after
	// the database reported too many connections.
	fullRetryDelay = 150 * time.Millisecond
	// idleTimeout is how long an idle connection beyond the first stays open. Few
	// open connections leave room for VMs that restart while the database still
	// counts their previous connections.
	idleTimeout = 1 * time.Second
	// scarceIdleTimeout is the idle timeout of all connections, including the
	// first, where the VM's share is less than ScarceShare: with many VMs, one idle
	// connection of each would use up the database's limit.
	scarceIdleTimeout = 400 * time.Millisecond
)

const (
	// ScarceShare is the connection share below which connections to a database are
	// scarce.
	ScarceShare = 4
	// Overcommit is how many times its part of a connection limit a VM's share is: traffic
	// is uneven across VMs, and they close unused connections. The database refuses
	// connections beyond its limit.
	Overcommit = 2
)

// errRetry is returned by tryGet and dial when Get should try again.
var errRetry = errors.New("pool may have a connection now: retry")

// waiter is a queued request for a connection.
type waiter struct {
	request admit.Request
	// ready receives the request's grant. It is closed with the pool.
	ready chan grant
}

// Pool holds the connections to one database. Its exported fields must be set before
// use.
type Pool struct {
	Member dbset.Member
	Dialer proto.Dialer
	Clock  clock.Clock
	// Share returns the VM's share of the database's connection limit.
	Share func() int
	// Log and Stats record answers that don't match their requests; nil records nothing.
	Log   *event.Log
	Stats *stats.Stats

	mu      sync.Mutex
	idle    []*Conn
	open    int
	dialing int
	limiter admit.Limiter[*waiter]
	// isFull is set while the database reports too many connections; nextDialAt
	// is when the next connection may be opened then.
	isFull     bool
	nextDialAt time.Time
	// nextReplaceAt is when the next idle connection may be replaced while isFull is set.
	nextReplaceAt time.Time
	// hasTeams is set once a request of a team has arrived.
	hasTeams bool
	closed   bool
}

// Get returns a connection of the request's team for exclusive use. Among the idle
// connections of the team it takes the one with the lowest cost; a nil cost takes the one
// last used. Control requests use those of any team. A request that would
// wait longer than its MaxWait is refused at once. The errors are ErrNoConn, ErrClosed,
// ErrDial and ErrWrongDatabase.
func (pool *Pool) Get(request admit.Request, cost func(*Conn) int) (*Conn, error) {
	deadline := pool.Clock.Now().Add(request.MaxWait)
	for {
		request.MaxWait = deadline.Sub(pool.Clock.Now())
		conn, err := pool.tryGet(request, cost)
		if conn != nil {
			conn.request = request
		}
		if conn != nil && !conn.IsAlive() {
			if conn.HasUnread() {
				conn.recordMismatch(nil, reasonUnread, nil)
			}
			pool.Discard(conn)
			continue
		}
		if conn != nil {
			conn.isChecked = true
		}
		if !errors.Is(err, errRetry) {
			return conn, err
		}
	}
}

// tryGet takes an idle connection, opens one, or waits for one. It returns errRetry if
// Get should try again.
func (pool *Pool) tryGet(request admit.Request, cost func(*Conn) int) (*Conn, error) {
	pool.mu.Lock()
	if pool.closed {
		pool.mu.Unlock()
		return nil, ErrClosed
	}
	now := pool.Clock.Now()
	pool.hasTeams = pool.hasTeams || request.Team != ""
	if granted, ok := pool.tryGrant(request, cost, now); ok {
		pool.limiter.Take(request, now)
		pool.mu.Unlock()
		return pool.use(granted, request)
	}
	waiter := &waiter{request: request, ready: make(chan grant, 1)}
	if request.MaxWait <= 0 || !pool.limiter.Queue(request, waiter, now) {
		pool.mu.Unlock()
		return nil, ErrNoConn
	}
	wait := request.MaxWait
	if pool.isFull && now.Before(pool.nextDialAt) {
		wait = min(wait, pool.nextDialAt.Sub(now))
	}
	if pause := pool.limiter.RemainingPause(now); pause > 0 {
		wait = min(wait, pause)
	}
	pool.mu.Unlock()
	conn, err := pool.awaitHandoff(waiter, wait)
	if errors.Is(err, ErrNoConn) && wait < request.MaxWait {
		return nil, errRetry
	}
	return conn, err
}

// mayDial reports whether another connection may be opened now. Few are opened at a
// time, since each uses part of the database's parallelism; while the database
// reports too many connections, at most one per fullRetryDelay.
func (pool *Pool) mayDial(now time.Time) bool {
	return pool.limiter.HasCapacity(now) && pool.open < max(pool.Share(), 1) && pool.dialing < pool.maxDials() &&
		(!pool.isFull || !now.Before(pool.nextDialAt))
}

func (pool *Pool) reserveDial(now time.Time) {
	pool.open++
	pool.dialing++
	pool.limiter.Enter()
	if pool.isFull {
		pool.nextDialAt = now.Add(fullRetryDelay)
	}
}

// serveWaiters gives idle connections, or the right to open one, to queued requests.
func (pool *Pool) serveWaiters(now time.Time) {
	for !pool.closed {
		waiter, granted, ok := pool.nextGrant(now)
		if !ok {
			return
		}
		waiter.ready <- granted
	}
}

// awaitHandoff waits, for at most wait, until the queued waiter receives its grant.
func (pool *Pool) awaitHandoff(waiter *waiter, wait time.Duration) (*Conn, error) {
	select {
	case granted, isOpen := <-waiter.ready:
		return pool.receiveHandoff(granted, isOpen, waiter.request)
	case <-pool.Clock.After(wait):
	}
	pool.mu.Lock()
	wasQueued := pool.limiter.Remove(waiter)
	pool.mu.Unlock()
	if wasQueued {
		return nil, ErrNoConn
	}
	granted, isOpen := <-waiter.ready
	return pool.receiveHandoff(granted, isOpen, waiter.request)
}

// receiveHandoff uses the grant that a waiter received. isOpen is false if the waiter's
// channel was closed with the pool.
func (pool *Pool) receiveHandoff(granted grant, isOpen bool, request admit.Request) (*Conn, error) {
	if !isOpen {
		return nil, ErrClosed
	}
	return pool.use(granted, request)
}

// use returns the granted connection, or opens one. The request's MaxWait limits the
// opening.
func (pool *Pool) use(granted grant, request admit.Request) (*Conn, error) {
	if granted.conn != nil {
		return granted.conn, nil
	}
	for _, replaced := range granted.replaced {
		replaced.Close()
	}
	return pool.dial(request, request.MaxWait)
}

func (pool *Pool) dial(request admit.Request, timeout time.Duration) (*Conn, error) {
	databaseConn, answer, err := pool.Dialer.Dial(pool.Member, request.Team, min(timeout, dialTimeout))
	isFull := err == nil && answer.Code == proto.Full || errors.Is(err, syscall.ECONNRESET)
	isOpen := err == nil && answer.Code == proto.OK
	pool.finishDial(request, isOpen, isFull)
	if isOpen {
		return &Conn{
			DatabaseConn: databaseConn, Member: pool.Member, Team: request.Team, pool: pool,
			Values: make(map[string]string), Prepared: make(map[proto.Definition]string),
		}, nil
	}
	switch {
	case isFull:
		return nil, errRetry
	case err != nil:
		return nil, errors.Mark(err, ErrDial)
	case answer.Code == proto.WrongMember:
		return nil, ErrWrongDatabase
	}
	return nil, ErrNoConn
}

// finishDial updates the pool after an attempt to open a connection.
func (pool *Pool) finishDial(request admit.Request, isOpen, isFull bool) {
	now := pool.Clock.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.dialing--
	if !isOpen {
		pool.open--
		pool.limiter.Leave(now)
		pool.limiter.Release(request, now)
	}
	if isFull {
		pool.isFull, pool.nextDialAt = true, now.Add(fullRetryDelay)
	} else if isOpen {
		pool.isFull, pool.nextReplaceAt = false, time.Time{}
	}
	pool.serveWaiters(now)
}

// Put returns a connection to the pool. Connections above the limit, those in a transaction,
// and those that have lost an answer or given an error, are closed.
func (pool *Pool) Put(conn *Conn) {
	now := pool.Clock.Now()
	pool.mu.Lock()
	isUsable := !conn.isLost && !conn.stream.HasErred() && conn.stream.State() == proto.Idle
	if !isUsable || pool.closed || pool.open > max(pool.Share(), 1) {
		pool.mu.Unlock()
		pool.Discard(conn)
		return
	}
	pool.leaveLimiter(conn)
	conn.uses++
	conn.lastUsedAt = now
	pool.idle = append(pool.idle, conn)
	pool.serveWaiters(now)
	pool.mu.Unlock()
}

// leaveLimiter ends the connection's use of the limiter, unless its idle transaction
// has already left it, and its use by the team of its request.
func (pool *Pool) leaveLimiter(conn *Conn) {
	pool.limiter.Release(conn.request, pool.Clock.Now())
	if !conn.isIdleInTransaction {
		pool.limiter.Leave(pool.Clock.Now())
	}
	conn.isIdleInTransaction = false
}

// Discard closes a connection, so that a queued request may open another.
func (pool *Pool) Discard(conn *Conn) {
	conn.Close()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.leaveLimiter(conn)
	conn.uses++
	pool.open--
	pool.serveWaiters(pool.Clock.Now())
}

// Close closes the idle connections and refuses queued and new requests. Connections
// in use are closed when they are returned.
func (pool *Pool) Close() {
	pool.mu.Lock()
	pool.closed = true
	idle, waiting := pool.idle, pool.limiter.Drain()
	pool.idle = nil
	pool.open -= len(idle)
	pool.mu.Unlock()
	for _, conn := range idle {
		conn.Close()
	}
	for _, waiter := range waiting {
		close(waiter.ready)
	}
}

// trim closes idle connections that were last used before since, as long as more than
// keep connections are open.
func (pool *Pool) trim(since time.Time, keep int) {
	pool.mu.Lock()
	var expired []*Conn
	for len(pool.idle) > 0 && pool.open > keep && pool.idle[0].lastUsedAt.Before(since) {
		expired = append(expired, pool.idle[0])
		pool.idle = slices.Delete(pool.idle, 0, 1)
		pool.open--
	}
	pool.mu.Unlock()
	for _, conn := range expired {
		conn.Close()
	}
}
