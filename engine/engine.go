// Package engine serves callers' sessions: it knows sessions, transactions,
// statements and their verdicts, and no wire format.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  4. Reads go where package dbset says; what ran at most without effect is
//     tried elsewhere.
//  7. A write is confirmed only if the database that ran it led under a grant
//     after it had answered.
//  12. A failure promises that nothing is kept only if that is known. A write
//     or commit without an answer is in doubt and is never repeated.
//  14. A transaction is pinned to one connection. Values and prepared
//     statements of a session are set on a connection before it is used.
//  21. A stopping VM finishes what runs and ends sessions between requests.
package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/kept"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/wires"
)

// startWait is how long a new session waits for a VM's first configuration.
// Callers wait 2 s for the start of a session.
const startWait = 1200 * time.Millisecond

// Groups finds what is known of a database group by its upstream's name.
type Groups interface {
	Group(name string) *dbset.Group
}

// Engine serves sessions. Set the exported fields before use.
type Engine struct {
	Config *config.Holder
	Groups Groups
	Links  *conset.Set
	// Receipts tells what replicas have received; nil confirms without asking.
	Receipts *kept.Receipts
	Clock    clock.Clock
	Log      *event.Log
	Stats    *stats.Stats

	phase    atomic.Int32
	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// Phase is how far a planned stop has come.
type Phase int32

// The phases.
const (
	// Serving is before a stop.
	Serving Phase = iota
	// Closing ends each session shortly after its next answer.
	Closing
	// Ending ends idle sessions at once, and open transactions with their next
	// statement.
	Ending
	// Refusing takes no request any more; what runs still finishes.
	Refusing
)

// Enter begins a phase of a planned stop.
func (engine *Engine) Enter(phase Phase) {
	engine.phase.Store(int32(phase))
	if phase < Ending {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	for session := range engine.sessions {
		session.front.Interrupt()
	}
}

func (engine *Engine) isIn(phase Phase) bool { return Phase(engine.phase.Load()) >= phase }

// IsRefusing reports whether no request is taken any more.
func (engine *Engine) IsRefusing() bool { return engine.isIn(Refusing) }

// Sessions returns the number of sessions.
func (engine *Engine) Sessions() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return len(engine.sessions)
}

func (engine *Engine) add(session *Session) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.sessions == nil {
		engine.sessions = make(map[*Session]struct{})
	}
	engine.sessions[session] = struct{}{}
}

func (engine *Engine) remove(session *Session) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	delete(engine.sessions, session)
}

// Serve serves one caller, who asked for a database, until the caller leaves.
func (engine *Engine) Serve(front wires.Front, database string) {
	session := &Session{
		engine: engine, front: front, database: database,
		values: make(map[string]string), prepared: make(map[string]wires.Shape),
		own: make(map[string]commit),
	}
	engine.add(session)
	defer engine.remove(session)
	defer session.abandon()
	answer := session.start()
	answer.IsStart = true
	if session.front.Reply(answer) != nil || answer.Code != wires.OK {
		return
	}
	session.run()
}

// start decides whether the session may begin. On a VM that has just started it
// waits for the configuration for a moment.
func (session *Session) start() wires.Answer {
	if session.engine.isIn(Refusing) {
		return session.refuse(wires.Call{}, wires.Busy, "stopping")
	}
	select {
	case <-session.engine.Config.First():
	case <-session.engine.Clock.After(startWait):
		return session.refuse(wires.Call{}, wires.Busy, "starting")
	}
	if _, ok := session.route(); !ok {
		return session.refuse(wires.Call{}, wires.UnknownDatabase, "noRoute")
	}
	return wires.Answer{}
}

func (engine *Engine) now() time.Time { return engine.Clock.Now() }
