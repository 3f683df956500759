// Package entry serves callers, the clients of the proxy: it terminates their
// connections, speaks the PostgreSQL protocol, and sends their requests to the slots
// that a router (package router) chooses. A session's minimum position is the position
// that its reads must cover.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  2. A caller that presents no token may have moved here from another VM. Its
//     minimum position is confirmed by a majority of slots before its first read.
//  4. An answer is forwarded only if its position covers the session's minimum position.
//  6. A request counts as a read if it starts with a reading keyword or is a
//     read-only transaction. A replica that refuses a write (25006) did not run it,
//     so it can be sent to the primary. Statements are not parsed.
//  7. The end of an answer is withheld until everything that it depends on is
//     acknowledged: the commit, and also the data that a read returned, since a
//     failover could roll back either.
//  12. A failure after dispatch has the verdict unknown unless the database reported
//     otherwise. The request is retried only if it can't have had effects.
//  13. A request key is recorded in the transaction that it identifies.
//  14. A transaction keeps its connection until it ends.
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
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/router"
	"github.com/bramleydoor/bramleydoor/stats"
)

// Default values for a Server. DefaultMaxMessageBytes is in bytes.
const (
	DefaultStartupTimeout  = 10 * time.Second
	DefaultMaxCallers      = 10_000
	DefaultMaxMessageBytes = 16 << 20
)

// Server accepts callers on a listener. Set the exported fields before Run.
type Server struct {
	Listener net.Listener
	// TLS, if set, is offered to callers.
	TLS *tls.Config
	// Users maps user names to their stored SCRAM credentials. If it is empty,
	// callers are not authenticated.
	Users Users
	// Signer signs and verifies session tokens.
	Signer *posn.Signer
	// Lookup returns the router of a database by name.
	Lookup func(database string) (*router.Router, bool)
	// IsReady reports whether the VM can serve. Until then callers are refused and
	// asked to retry. Nil means always ready.
	IsReady func() bool
	// Cancel, if set, forwards a cancel request for a session of another VM.
	Cancel func(pid uint32, secret []byte)
	Clock  clock.Clock
	Stats  *stats.Stats
	Events *event.Log

	// StartupTimeout bounds the startup of a connection, including authentication.
	StartupTimeout time.Duration
	// MaxCallers bounds the sessions at one time.
	MaxCallers int
	// MaxMessageBytes bounds a message, and the messages before a Sync, in bytes.
	MaxMessageBytes int

	mu         sync.Mutex
	sessions   map[uint32]*session
	isStopping bool
	handlers   sync.WaitGroup
}

// Run accepts connections until ctx ends, then closes all of them immediately. Call
// Drain first for a graceful stop.
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
			server.handlers.Wait()
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return ctx.Err()
			}
			return err
		}
		server.handlers.Go(func() { server.serve(ctx, conn) })
	}
}

// serve handles one caller's connection. A failure must not affect other callers.
func (server *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	session := &session{server: server, conn: conn}
	if err := session.startup(); err != nil {
		session.refuseStartup(err)
		return
	}
	if session.backend == nil {
		return
	}
	defer server.remove(session)
	session.run(ctx)
}

// add registers a session, so that it can be cancelled and drained.
func (server *Server) add(session *session) error {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.isStopping {
		return fault.Refuse(fault.CodeStopping, fault.ReasonStopping, "the VM is shutting down and accepts no new connections")
	}
	if len(server.sessions) >= server.MaxCallers {
		refusal := fault.Refuse(fault.CodeTooMany, fault.ReasonTooManyCallers, "the VM has reached its connection limit")
		refusal.RetryAfter = time.Second
		return refusal
	}
	for {
		session.pid, session.secret = newCancelKey()
		if _, isUsed := server.sessions[session.pid]; !isUsed {
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

// closeAll closes all connections and aborts their requests.
func (server *Server) closeAll() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.isStopping = true
	for _, session := range server.sessions {
		_ = session.conn.Close()
		session.abortRequest()
	}
}

// Drain refuses new connections and ends each session at its next request boundary.
// It returns when all sessions have ended or ctx ends.
func (server *Server) Drain(ctx context.Context) {
	server.mu.Lock()
	server.isStopping = true
	for _, session := range server.sessions {
		session.stop()
	}
	server.mu.Unlock()
	for {
		server.mu.Lock()
		remaining := len(server.sessions)
		server.mu.Unlock()
		if remaining == 0 {
			return
		}
		select {
		case <-server.Clock.After(drainPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// drainPollInterval is the interval at which Drain checks for remaining sessions.
const drainPollInterval = 20 * time.Millisecond

// CancelLocal cancels the running request of a session of this VM. It returns false
// if no session has this process number and secret.
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

// IsStopping reports whether the server is draining or has been closed.
func (server *Server) IsStopping() bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.isStopping
}
