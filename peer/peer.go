// Package peer implements the calls between VMs, using net/rpc with its gob codec over TCP.
// A connection begins with a challenge-response handshake that authenticates both sides with
// a shared key, so that only VMs of the same deployment connect. The calls that follow are
// neither encrypted nor authenticated.
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
	// maxCalls bounds the concurrent calls on one peer connection.
	maxCalls = 64
	// maxConns bounds the peer connections that a VM accepts.
	maxConns = 8192
)

// ErrAuthentication means that the other side failed the handshake, as it does not know
// the key.
var ErrAuthentication = errors.New("peer failed authentication: its answer was not made with the peer key")

// OpinionQuery requests the VM's opinion of a group's primary.
type OpinionQuery struct{ Group string }

// TicketQuery requests the tickets after a configuration number. If there are none yet, the
// VM waits for one, for at most Wait.
type TicketQuery struct {
	After uint64
	Wait  time.Duration
}

// TicketReply has the tickets after the requested number, or the whole state if the VM no
// longer has these tickets.
type TicketReply struct {
	Tickets []ticket.Ticket
	State   *ticket.State
}

// CancelQuery is a caller's cancel request.
type CancelQuery struct {
	PID    uint32
	Secret []byte
}

// Nothing is an empty query or reply.
type Nothing struct{}

// Handler answers the calls of other VMs.
type Handler interface {
	Opinion(query OpinionQuery) detect.Opinion
	Tickets(ctx context.Context, query TicketQuery) TicketReply
	Shares() share.View
	Cancel(query CancelQuery)
}

// service exports a Handler to net/rpc.
type service struct {
	ctx     context.Context
	handler Handler
	// permits limits the concurrent calls.
	permits chan struct{}
}

// acquire waits for a permit and returns the function that releases it.
func (service *service) acquire() func() {
	service.permits <- struct{}{}
	return func() { <-service.permits }
}

// Opinion returns the VM's opinion of a group's primary.
func (service *service) Opinion(query *OpinionQuery, reply *detect.Opinion) error {
	defer service.acquire()()
	*reply = service.handler.Opinion(*query)
	return nil
}

// Tickets returns the tickets after a configuration number, or the whole state.
func (service *service) Tickets(query *TicketQuery, reply *TicketReply) error {
	// This call takes no permit: it may wait for a long time and would block other calls.
	*reply = service.handler.Tickets(service.ctx, *query)
	return nil
}

// Shares returns the VM's view of the connection shares.
func (service *service) Shares(_ *Nothing, reply *share.View) error {
	defer service.acquire()()
	*reply = service.handler.Shares()
	return nil
}

// Cancel handles a forwarded cancel request.
func (service *service) Cancel(query *CancelQuery, _ *Nothing) error {
	defer service.acquire()()
	service.handler.Cancel(*query)
	return nil
}

// Server serves the calls of other VMs. Set the exported fields before Run.
type Server struct {
	Listener net.Listener
	// Key is the secret that VMs authenticate each other with.
	Key     []byte
	Handler Handler
	// OnRefused, if set, is called with the remote address of a connection whose
	// handshake failed.
	OnRefused func(remote string)

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Run accepts and serves connections until ctx ends. It returns the error of ctx or of the
// listener.
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

// add registers a connection, unless there are maxConns already.
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

// serve authenticates a connection and serves its calls until it ends.
func (server *Server) serve(ctx context.Context, netConn net.Conn) {
	defer func() {
		server.mu.Lock()
		delete(server.conns, netConn)
		server.mu.Unlock()
		_ = netConn.Close()
	}()
	if err := authenticate(netConn, server.Key, "server", "client"); err != nil {
		if server.OnRefused != nil {
			server.OnRefused(netConn.RemoteAddr().String())
		}
		return
	}
	rpcServer := rpc.NewServer()
	rpcService := &service{ctx: ctx, handler: server.Handler, permits: make(chan struct{}, maxCalls)}
	if err := rpcServer.RegisterName("Peer", rpcService); err != nil {
		return
	}
	rpcServer.ServeConn(netConn)
}

// authenticate performs the handshake: each side answers the other's challenge, which proves
// that it knows the key. The answers include the role, so that an attacker can't reflect a
// side's own answer.
func authenticate(conn net.Conn, key []byte, self, other string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	var ownChallenge, peerChallenge [challengeBytes]byte
	_, _ = rand.Read(ownChallenge[:])
	if _, err := conn.Write(ownChallenge[:]); err != nil {
		return err
	}
	if _, err := io.ReadFull(conn, peerChallenge[:]); err != nil {
		return err
	}
	if _, err := conn.Write(proof(key, self, peerChallenge[:], ownChallenge[:])); err != nil {
		return err
	}
	var answer [sha256.Size]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return err
	}
	if !hmac.Equal(answer[:], proof(key, other, ownChallenge[:], peerChallenge[:])) {
		return ErrAuthentication
	}
	return conn.SetDeadline(time.Time{})
}

// proof returns the answer of a role to a challenge. ownChallenge is the challenge that the
// answering side sent.
func proof(key []byte, role string, challenge, ownChallenge []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(challenge)
	mac.Write(ownChallenge)
	return mac.Sum(nil)
}
