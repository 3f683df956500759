// Package entry terminates callers: it speaks the PostgreSQL protocol to them
// and sends their requests to the slots that a holder chooses.
//
// Rules:
//
//  2. A caller that hands no token back may have roamed; its floor is confirmed
//     by a majority of slots before its first read.
//  4. An answer is passed on only if its position covers the session's floor.
//  6. What is a read: a statement that starts like one, or a read-only
//     transaction. A replica that refuses a write (25006) did not run it, so it
//     can be sent on to the primary. Statements are not parsed.
//  7. The end of an answer is held back until everything it rests on is
//     acknowledged: the commit, and also what a read saw, since a failover could
//     undo that.
//  12. A failure after dispatch has the verdict unknown unless the upstream said
//     otherwise, and is repeated only if it can't have had effects.
//  13. A request key is recorded in the transaction that it names.
//  14. A transaction keeps its connection to its end.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/holder"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/stats"
)

// Defaults of a Server.
const (
	DefaultStartupTimeout = 10 * time.Second
	DefaultMaxCallers     = 10_000
	DefaultMaxMessage     = 16 << 20
)

// Server accepts callers. Set the exported fields before Run.
type Server struct {
	Listener net.Listener
	// TLS, if set, is offered to callers.
	TLS *tls.Config
	// Users maps user names to their stored SCRAM credentials. If it is empty,
	// callers are trusted.
	Users  Users
	Sealer *posn.Sealer
	// Lookup finds the holder of a database by name.
	Lookup func(database string) (*holder.Holder, bool)
	// IsReady reports whether the VM can serve; until then callers are told to come
	// back. Nil is true.
	IsReady func() bool
	// Cancel passes on a cancel request for a session of another VM.
	Cancel func(pid uint32, secret []byte)
	Clock  clock.Clock
	Stats  *stats.Stats
	Events *event.Log

	StartupTimeout time.Duration
	MaxCallers     int
	MaxMessage     int

	mu       sync.Mutex
	sessions map[uint32]*session
	stopping bool
	done     sync.WaitGroup
}

// Run accepts callers until ctx ends, then closes them at once. Call Drain
// first for a graceful stop.
func (server *Server) Run(ctx context.Context) error {
	server.mu.Lock()
	server.sessions = make(map[uint32]*session)
	server.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		_ = server.Listener.Close()
		server.closeAll()
	})
	defer stop()
	for {
		conn, err := server.Listener.Accept()
		if err != nil {
			server.done.Wait()
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return ctx.Err()
			}
			return err
		}
		server.done.Go(func() { server.serve(ctx, conn) })
	}
}

// serve runs one caller's connection. A failure there must not reach others.
func (server *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	session := &session{server: server, conn: conn}
	if err := session.startup(); err != nil {
		session.refuse(err)
		return
	}
	if session.backend == nil {
		return
	}
	defer server.remove(session)
	session.run(ctx)
}

// add registers a session, so that it can be cancelled and stopped.
func (server *Server) add(session *session) error {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.stopping {
		return fault.Refuse(fault.CodeStopping, fault.ReasonStopping, "the VM is stopping")
	}
	if len(server.sessions) >= server.MaxCallers {
		refusal := fault.Refuse(fault.CodeTooMany, fault.ReasonTooManyCallers, "too many callers on this VM")
		refusal.RetryAfter = time.Second
		return refusal
	}
	for {
		session.pid, session.secret = newCancelKey()
		if _, taken := server.sessions[session.pid]; !taken {
			break
		}
	}
	server.sessions[session.pid] = session
	server.Stats.Sessions.Add(1)
	return nil
}

func (server *Server) remove(session *session) {
	server.mu.Lock()
	defer server.mu.Unlock()
	if _, ok := server.sessions[session.pid]; ok {
		delete(server.sessions, session.pid)
		server.Stats.Sessions.Add(-1)
	}
}

func (server *Server) closeAll() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.stopping = true
	for _, session := range server.sessions {
		_ = session.conn.Close()
		session.breakOff()
	}
}

// Drain refuses new callers and ends each session at its next request boundary.
// It returns when all have ended or ctx does.
func (server *Server) Drain(ctx context.Context) {
	server.mu.Lock()
	server.stopping = true
	for _, session := range server.sessions {
		session.stop()
	}
	server.mu.Unlock()
	for {
		server.mu.Lock()
		left := len(server.sessions)
		server.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-server.Clock.After(drainPoll):
		case <-ctx.Done():
			return
		}
	}
}

// drainPoll is how often Drain looks whether all sessions have ended.
const drainPoll = 20 * time.Millisecond

// CancelLocal cancels the request of a session of this VM; false if the key is
// not of one.
func (server *Server) CancelLocal(pid uint32, secret []byte) bool {
	server.mu.Lock()
	session := server.sessions[pid]
	server.mu.Unlock()
	if session == nil || !session.hasSecret(secret) {
		return false
	}
	session.cancel()
	return true
}

// IsStopping reports whether a planned stop has begun.
func (server *Server) IsStopping() bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.stopping
}
