package conset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/wires"
)

// Link is a connection to a database with the session state that was set on it.
type Link struct {
	wires.Wire
	Member dbset.Member
	// Values and Shapes are the values and prepared statements set on the
	// connection, by name.
	Values map[string]string
	Shapes map[string]wires.Shape

	pool                *Pool
	lastUsedAt          time.Time
	isIdleInTransaction bool
}

// Rest marks the link's transaction as idle until its caller's next statement.
// The transaction keeps the connection but leaves the limiter to other requests.
func (link *Link) Rest() {
	link.pool.mu.Lock()
	defer link.pool.mu.Unlock()
	if !link.isIdleInTransaction {
		now := link.pool.Clock.Now()
		link.isIdleInTransaction = true
		link.pool.limiter.Leave(now)
		link.pool.serveWaiters(now)
	}
}

// Wake marks the link's transaction as active again. It enters the limiter without
// waiting, since the transaction's locks at the database may block other requests.
func (link *Link) Wake() {
	link.pool.mu.Lock()
	defer link.pool.mu.Unlock()
	if link.isIdleInTransaction {
		link.isIdleInTransaction = false
		link.pool.limiter.Enter()
	}
}

// Overload records that the database refused a request as busy.
func (link *Link) Overload() {
	link.pool.mu.Lock()
	defer link.pool.mu.Unlock()
	link.pool.limiter.Overload(link.pool.Clock.Now())
}

// Observe records the latency of an answer.
func (link *Link) Observe(latency time.Duration) {
	link.pool.mu.Lock()
	defer link.pool.mu.Unlock()
	link.pool.limiter.Observe(latency, link.pool.Clock.Now())
}

// Put returns the link to its pool.
func (link *Link) Put() { link.pool.Put(link) }

// Discard closes the link and removes it from its pool.
func (link *Link) Discard() { link.pool.Discard(link) }
