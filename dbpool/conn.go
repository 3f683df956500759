package dbpool

import (
	"strconv"
	"time"

	"github.com/bramleydoor/bramleydoor/admit"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/match"
	"github.com/bramleydoor/bramleydoor/proto"
)

// Conn is a connection to a database with the session state that was set on it.
type Conn struct {
	proto.DatabaseConn
	Member dbset.Member
	// Team is the team as which the connection was opened.
	Team string
	// Values are the session settings (SET) on the connection, by name. Prepared has the
	// names of its prepared statements.
	Values   map[string]string
	Prepared map[proto.Definition]string

	pool   *Pool
	stream match.Stream
	// isLost is set once an answer was lost, or did not match its request.
	isLost bool
	// isChecked is set while no request has followed the check of Pool.Get.
	isChecked bool
	// request is the one for which the connection was last taken.
	request             admit.Request
	lastUsedAt          time.Time
	isIdleInTransaction bool
	// uses counts the uses that have ended.
	uses uint64
	// names counts the names that NewName has returned.
	names uint64
}

// NewName returns a name for a prepared statement that the connection has not had before,
// also before a reset.
func (conn *Conn) NewName() string {
	conn.names++
	return "s" + strconv.FormatUint(conn.names, 10)
}

// Use identifies one use of a connection, from Pool.Get until Put or Discard. The zero
// value is no use.
type Use struct {
	conn   *Conn
	number uint64
}

// Use returns the present use of the connection. Only its user may call it.
func (conn *Conn) Use() Use { return Use{conn: conn, number: conn.uses} }

// Abandon discards the connection if the use has not ended: its state is unknown after its
// user has failed.
func (use Use) Abandon() {
	if use.conn == nil {
		return
	}
	use.conn.pool.mu.Lock()
	isCurrent := use.conn.uses == use.number
	use.conn.pool.mu.Unlock()
	if isCurrent {
		use.conn.Discard()
	}
}

// SetIdle marks the connection's transaction as idle until its caller's next statement.
// The transaction keeps the connection but no longer counts in the limiter.
func (conn *Conn) SetIdle() {
	conn.pool.mu.Lock()
	defer conn.pool.mu.Unlock()
	if !conn.isIdleInTransaction {
		now := conn.pool.Clock.Now()
		conn.isIdleInTransaction = true
		conn.pool.limiter.Leave(now)
		conn.pool.serveWaiters(now)
	}
}

// SetActive marks the connection's transaction as active again. It enters the limiter
// without waiting, since the transaction's locks at the database may block other requests.
func (conn *Conn) SetActive() {
	conn.pool.mu.Lock()
	defer conn.pool.mu.Unlock()
	if conn.isIdleInTransaction {
		conn.isIdleInTransaction = false
		conn.pool.limiter.Enter()
	}
}

// Overload lowers the limit of the pool's limiter, since the database refused a request
// as busy.
func (conn *Conn) Overload() {
	conn.pool.mu.Lock()
	defer conn.pool.mu.Unlock()
	conn.pool.limiter.Overload(conn.pool.Clock.Now())
}

// Observe adjusts the limit of the pool's limiter to the latency of an answer.
func (conn *Conn) Observe(latency time.Duration) {
	conn.pool.mu.Lock()
	defer conn.pool.mu.Unlock()
	conn.pool.limiter.Observe(latency, conn.pool.Clock.Now())
}

// Put returns the connection to its pool, or closes it if it is in a transaction.
func (conn *Conn) Put() { conn.pool.Put(conn) }

// Discard closes the connection and removes it from its pool.
func (conn *Conn) Discard() { conn.pool.Discard(conn) }
