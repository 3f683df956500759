// Package peer carries calls between VMs: net/rpc with its gob codec over TCP.
// A connection begins with a challenge that only a holder of the key can
// answer, so that no stranger joins. The bytes after it are not secret.
package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/share"
	"github.com/bramleydoor/bramleydoor/ticket"
)

// Limits of the transport.
const (
	challengeBytes   = 32
	handshakeTimeout = 2 * time.Second
	// maxCalls bounds the calls that run at once for one peer connection.
	maxCalls = 64
	// maxConns bounds the peer connections of a VM.
	maxConns = 8192
)

// ErrStranger says that the other side doesn't know the key.
var ErrStranger = errors.New("peer does not know the key")

// OpinionQuery asks for the view of a group's primary.
type OpinionQuery struct{ Group string }

// TicketQuery asks for what follows a configuration number. It waits until
// there is something, or Wait has passed.
type TicketQuery struct {
	After uint64
	Wait  time.Duration
}

// TicketReply has the tickets after the number asked for, or the whole state if
// those are no longer kept.
type TicketReply struct {
	Tickets []ticket.Ticket
	State   *ticket.State
}

// CancelQuery passes on a caller's cancel request.
type CancelQuery struct {
	PID    uint32
	Secret []byte
}

// Nothing is an empty reply.
type Nothing struct{}

// Handler answers the calls of other VMs.
type Handler interface {
	Opinion(query OpinionQuery) detect.Opinion
	Tickets(ctx context.Context, query TicketQuery) TicketReply
	Shares() share.View
	Cancel(query CancelQuery)
}

// service is what net/rpc sees of a Handler.
type service struct {
	ctx     context.Context
	handler Handler
	slots   chan struct{}
}

func (service *service) enter() func() {
	service.slots <- struct{}{}
	return func() { <-service.slots }
}

// Opinion answers for one group.
func (service *service) Opinion(query *OpinionQuery, reply *detect.Opinion) error {
	defer service.enter()()
	*reply = service.handler.Opinion(*query)
	return nil
}

// Tickets answers with the configuration.
func (service *service) Tickets(query *TicketQuery, reply *TicketReply) error {
	// A waiting call must not take the place of others.
	*reply = service.handler.Tickets(service.ctx, *query)
	return nil
}

// Shares answers with the VM's view of the connection shares.
func (service *service) Shares(_ *Nothing, reply *share.View) error {
	defer service.enter()()
	*reply = service.handler.Shares()
	return nil
}

// Cancel passes on a cancel request.
func (service *service) Cancel(query *CancelQuery, _ *Nothing) error {
	defer service.enter()()
	service.handler.Cancel(*query)
	return nil
}

// Server takes calls from other VMs. Set the exported fields before Run.
type Server struct {
	Listener net.Listener
	Key      []byte
	Handler  Handler
	// OnRefused is called for a connection without the right key.
	OnRefused func(remote string)

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Run takes connections until ctx ends.
func (server *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, server.close)
	defer stop()
	for {
		conn, err := server.Listener.Accept()
		if err != nil {
			return errors.CombineErrors(ctx.Err(), err)
		}
		if !server.add(conn) {
			_ = conn.Close()
			continue
		}
		go server.serve(ctx, conn)
	}
}

func (server *Server) close() {
	_ = server.Listener.Close()
	server.mu.Lock()
	defer server.mu.Unlock()
	for conn := range server.conns {
		_ = conn.Close()
	}
}

func (server *Server) add(conn net.Conn) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.conns == nil {
		server.conns = make(map[net.Conn]struct{})
	}
	if len(server.conns) >= maxConns {
		return false
	}
	server.conns[conn] = struct{}{}
	return true
}

func (server *Server) serve(ctx context.Context, raw net.Conn) {
	defer func() {
		server.mu.Lock()
		delete(server.conns, raw)
		server.mu.Unlock()
		_ = raw.Close()
	}()
	if err := shake(raw, server.Key, "server", "client"); err != nil {
		if server.OnRefused != nil {
			server.OnRefused(raw.RemoteAddr().String())
		}
		return
	}
	rpcServer := rpc.NewServer()
	handler := &service{ctx: ctx, handler: server.Handler, slots: make(chan struct{}, maxCalls)}
	if err := rpcServer.RegisterName("Peer", handler); err != nil {
		return
	}
	rpcServer.ServeConn(raw)
}

// shake proves to each side that the other knows the key. Each side answers the
// other's challenge, and the roles keep an answer from being reflected.
func shake(conn net.Conn, key []byte, self, other string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	var mine, theirs [challengeBytes]byte
	_, _ = rand.Read(mine[:])
	if _, err := conn.Write(mine[:]); err != nil {
		return err
	}
	if _, err := io.ReadFull(conn, theirs[:]); err != nil {
		return err
	}
	if _, err := conn.Write(proof(key, self, theirs[:], mine[:])); err != nil {
		return err
	}
	var answer [sha256.Size]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return err
	}
	if !hmac.Equal(answer[:], proof(key, other, mine[:], theirs[:])) {
		return ErrStranger
	}
	return conn.SetDeadline(time.Time{})
}

func proof(key []byte, role string, challenge, own []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(challenge)
	mac.Write(own)
	return mac.Sum(nil)
}
