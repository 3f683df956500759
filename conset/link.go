package conset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/wires"
)

// Link is a connection with the session state that was set on it.
type Link struct {
	wires.Wire
	Member dbset.Member
	// Values and Shapes are what the connection has, by name.
	Values map[string]string
	Shapes map[string]wires.Shape

	pool      *Pool
	usedAt    time.Time
	isResting bool
}

// Rest says that the link's transaction waits for its caller: it keeps the
// connection and leaves the database's room to others.
func (link *Link) Rest() {
	link.pool.mu.Lock()
	defer link.pool.mu.Unlock()
	if !link.isResting {
		now := link.pool.Clock.Now()
		link.isResting = true
		link.pool.gate.Leave(now)
		link.pool.grow(now)
	}
}

// Wake says that the transaction goes on. It doesn't wait for room, since what it
// holds at the database may be in the way of others.
func (link *Link) Wake() {
	link.pool.mu.Lock()
	defer link.pool.mu.Unlock()
	if link.isResting {
		link.isResting = false
		link.pool.gate.Enter()
	}
}

// Overload learns that the database had no room.
func (link *Link) Overload() {
	link.pool.mu.Lock()
	defer link.pool.mu.Unlock()
	link.pool.gate.Overload(link.pool.Clock.Now())
}

// Observe learns from the latency of an answer.
func (link *Link) Observe(latency time.Duration) {
	link.pool.mu.Lock()
	defer link.pool.mu.Unlock()
	link.pool.gate.Observe(latency, link.pool.Clock.Now())
}

// Put gives the link back to its pool.
func (link *Link) Put() { link.pool.Put(link) }

// Discard closes the link.
func (link *Link) Discard() { link.pool.Discard(link) }
