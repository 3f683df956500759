// Package engine serves callers' sessions. It implements sessions, transactions,
// statements and their verdicts, independently of any wire format.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  4. Package dbset routes reads. A request that failed is retried at another
//     database only if it can't have had an effect.
//  7. A write is confirmed only if the database that ran it was still the
//     primary under a lease after it had answered.
//  12. A failure is reported as having had no effect only if that is known. A
//     write or commit without an answer is in doubt and is never retried.
//  14. A transaction is pinned to one connection. Values and prepared
//     statements of a session are set on a connection before each statement
//     that is sent there, COMMIT included.
//  21. A stopping VM completes requests in progress and ends sessions between
//     requests.
//
// Where the configuration has teams, a session belongs to the team of its caller's key, which
// its VM decides, also for requests that other VMs run. A session whose key is revoked ends
// between two requests; its open transaction may go on for revocationGrace.
package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleydoor/bramleydoor/acks"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/stats"
)

// configTimeout is how long a new session waits for the VM's first configuration.
// It is below the 2 s that callers wait for a session to start.
const configTimeout = 1200 * time.Millisecond

// Groups looks up database groups. Group returns the group of the named upstream, or
// nil if there is none.
type Groups interface {
	Group(name string) *dbset.Group
}

// Engine serves sessions. Its exported fields must be set before use.
type Engine struct {
	Config *config.Latest
	Groups Groups
	Pools  *dbpool.Set
	// Acks waits for replicas to receive a commit; with nil, writes are
	// confirmed without an acknowledgement.
	Acks  *acks.Waiter
	Clock clock.Clock
	Log   *event.Log
	Stats *stats.Stats
	// Routers selects the VMs to which requests are forwarded; with nil, this VM serves all
	// requests itself.
	Routers Routers
	// Quota limits the operations of teams; with nil, they are not limited.
	Quota Quota

	phase atomic.Int32
	// forwarded counts the single statements in progress for other VMs.
	forwarded atomic.Int32

	mu       sync.Mutex
	sessions map[*Session]struct{}
	// appliedConfig is the configuration of the last call of ApplyKeys.
	appliedConfig *config.Config
}

// Phase is the progress of a planned stop.
type Phase int32

// The phases of a planned stop, in order.
const (
	// Serving is normal operation.
	Serving Phase = iota
	// Declining declines requests that other VMs forward; their open transactions go on.
	Declining
	// Closing ends each session that is outside a transaction and sends no request
	// within a short timeout after its last answer.
	Closing
	// Ending ends idle sessions at once and rolls back idle transactions. Their
	// callers receive the failure in the answer to their next statement.
	Ending
	// Refusing refuses new requests; requests in progress still complete.
	Refusing
)

// Enter starts a phase of a planned stop. From Ending on it interrupts all sessions that
// wait for their caller.
func (engine *Engine) Enter(phase Phase) {
	engine.phase.Store(int32(phase))
	if phase < Ending {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	for session := range engine.sessions {
		session.caller.Interrupt()
	}
}

func (engine *Engine) hasReached(phase Phase) bool { return Phase(engine.phase.Load()) >= phase }

// IsRefusing reports whether new requests are refused.
func (engine *Engine) IsRefusing() bool { return engine.hasReached(Refusing) }

// Sessions returns the number of open sessions, including those that other VMs forward.
func (engine *Engine) Sessions() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return len(engine.sessions) + int(engine.forwarded.Load())
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

// Serve serves one caller's session with a database until the caller disconnects or the
// session ends.
func (engine *Engine) Serve(caller proto.CallerConn, startup proto.Startup) {
	session := &Session{
		engine: engine, caller: caller, database: startup.Database, keyHash: config.HashKey(startup.Key),
		values: make(map[string]string), prepared: make(map[string]proto.Definition),
		lastCommits: make(map[string]commit),
	}
	engine.add(session)
	defer engine.remove(session)
	defer session.abandon()
	defer session.containPanic()
	answer := session.start()
	answer.IsStart = true
	if answer.Code != proto.OK {
		session.countForTeam(answer)
	}
	if session.caller.Reply(answer) != nil || answer.Code != proto.OK {
		return
	}
	session.run()
}

// start checks that the session may begin. On a VM that has just started it waits up
// to configTimeout for the configuration.
func (session *Session) start() proto.Answer {
	if session.engine.hasReached(Refusing) {
		return session.refuse(proto.Call{}, proto.Busy, "stopping")
	}
	select {
	case <-session.engine.Config.First():
	case <-session.engine.Clock.After(configTimeout):
		return session.refuse(proto.Call{}, proto.Busy, "starting")
	}
	switch code := session.engine.admit(session); code {
	case proto.OK:
		return proto.Answer{}
	case proto.Unauthorized:
		return session.refuse(proto.Call{}, code, "unknownKey")
	default:
		return session.refuse(proto.Call{}, code, "noRoute")
	}
}

func (engine *Engine) now() time.Time { return engine.Clock.Now() }
