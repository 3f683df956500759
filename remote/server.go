package remote

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/authn"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/quota"
	"github.com/bramleydoor/bramleydoor/sock"
)

// serviceName is the name of the net/rpc service.
const serviceName = "VM"

// Server accepts connections of other VMs. Its exported fields must be set before Run.
type Server struct {
	Listener net.Listener
	Executor Executor
	// ChangesAfter returns the changes of a prefix of the store that another VM lacks.
	ChangesAfter func(query ChangesQuery) Changes
	// TokensFor answers another VM's request for tokens; nil if this VM grants none.
	TokensFor func(query quota.Request) quota.Answer
	// Auth authenticates the connections; nil in tests without authentication.
	Auth  *authn.Authenticator
	Clock clock.Clock
	Log   *event.Log

	mu sync.Mutex
	// conns has the number of the key that authenticated each connection; 0 before that.
	conns map[net.Conn]uint32
}

// Run serves connections until ctx ends, and then closes them.
func (server *Server) Run(ctx context.Context) error {
	var serving sync.WaitGroup
	acceptor := sock.Acceptor{
		Listener: server.Listener, Clock: server.Clock, Log: server.Log,
		Serve: func(conn net.Conn) { serving.Go(func() { server.serve(conn) }) },
	}
	if server.Auth != nil {
		serving.Go(func() { server.watchKeys(ctx) })
	}
	err := acceptor.Run(ctx)
	server.closeAll()
	serving.Wait()
	return err
}

// keyWait is how long a connection waits on a VM that has not read the keys yet. VMs that lose
// power together start within some hundred milliseconds of each other, and a refused connection
// is only tried again after a delay.
const keyWait = 300 * time.Millisecond

func (server *Server) awaitKey() {
	if server.Auth.Keys.HasKey() {
		return
	}
	select {
	case <-server.Auth.Keys.First():
	case <-server.Clock.After(keyWait):
	}
}

// serve serves one connection until it ends, and then rolls its transactions back.
func (server *Server) serve(conn net.Conn) {
	server.setKey(conn, 0)
	defer func() {
		server.mu.Lock()
		defer server.mu.Unlock()
		delete(server.conns, conn)
	}()
	if server.Auth != nil {
		server.awaitKey()
		_, key, err := server.Auth.Accept(conn)
		if err != nil {
			server.Auth.Refused(conn.RemoteAddr().String(), err)
			_ = conn.Close()
			return
		}
		server.setKey(conn, key)
	}
	service := &service{
		executor: server.Executor, changesAfter: server.ChangesAfter, tokensFor: server.TokensFor,
		log: server.Log, transactions: make(map[uint64]Transaction),
	}
	rpcServer := rpc.NewServer()
	if err := rpcServer.RegisterName(serviceName, service); err != nil {
		server.Log.Write(event.TaskEnded, event.Fields{"error": err.Error()})
		return
	}
	rpcServer.ServeConn(conn)
	service.closeAll()
}

func (server *Server) setKey(conn net.Conn, key uint32) {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.conns == nil {
		server.conns = make(map[net.Conn]uint32)
	}
	server.conns[conn] = key
}

// keyCheckInterval is how often the connections are checked for removed keys.
const keyCheckInterval = time.Second

// watchKeys closes the connections that were authenticated with a key that was removed since,
// until ctx ends.
func (server *Server) watchKeys(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-server.Clock.After(keyCheckInterval):
		}
		server.mu.Lock()
		for conn, key := range server.conns {
			if key != 0 && !server.Auth.Keys.Accepts(key) {
				// ServeConn closes it as well.
				_ = conn.Close()
			}
		}
		server.mu.Unlock()
	}
}

func (server *Server) closeAll() {
	server.mu.Lock()
	defer server.mu.Unlock()
	for conn := range server.conns {
		// ServeConn closes it as well.
		_ = conn.Close()
	}
}

// service has the methods that another VM calls on one connection.
type service struct {
	executor     Executor
	changesAfter func(query ChangesQuery) Changes
	tokensFor    func(query quota.Request) quota.Answer
	log          *event.Log

	mu           sync.Mutex
	isClosed     bool
	transactions map[uint64]Transaction
}

// Ping answers at once.
func (*service) Ping(_ *bool, _ *bool) error { return nil }

// Execute runs a statement. A panic fails this request only.
func (service *service) Execute(request *Request, reply *Reply) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			service.log.Write(event.PanicContained, event.Fields{"request": request.ID, "error": fmt.Sprint(cause)})
			err = errors.Newf("request %s failed: %v", request.ID, cause)
		}
	}()
	switch {
	case request.Transaction == 0:
		*reply = service.executor.Execute(*request)
	case request.IsFirst:
		*reply = service.open(*request)
	default:
		*reply = service.next(*request)
	}
	return nil
}

func (service *service) open(request Request) Reply {
	transaction, reply := service.executor.Open(request)
	if transaction == nil {
		return reply
	}
	service.mu.Lock()
	isClosed := service.isClosed
	if !isClosed {
		service.transactions[request.Transaction] = transaction
	}
	service.mu.Unlock()
	if isClosed {
		transaction.Close()
	}
	return reply
}

func (service *service) next(request Request) Reply {
	service.mu.Lock()
	transaction, ok := service.transactions[request.Transaction]
	service.mu.Unlock()
	if !ok {
		return Reply{Answer: proto.Answer{Code: proto.Aborted, Text: "transaction is not open", State: proto.Broken}}
	}
	reply := transaction.Execute(request)
	if reply.Answer.State != proto.Open {
		service.remove(request.Transaction)
	}
	return reply
}

// Changes returns the changes of a prefix of the store.
func (service *service) Changes(query *ChangesQuery, changes *Changes) error {
	if service.changesAfter != nil {
		*changes = service.changesAfter(*query)
	}
	return nil
}

// Tokens grants tokens of the teams' quotas.
func (service *service) Tokens(query *quota.Request, answer *quota.Answer) error {
	if service.tokensFor != nil {
		*answer = service.tokensFor(*query)
	}
	return nil
}

// Abort rolls a transaction back.
func (service *service) Abort(transaction *uint64, _ *bool) error {
	service.remove(*transaction)
	return nil
}

// remove closes a transaction, if it is open.
func (service *service) remove(id uint64) {
	service.mu.Lock()
	transaction, ok := service.transactions[id]
	delete(service.transactions, id)
	service.mu.Unlock()
	if ok {
		transaction.Close()
	}
}

func (service *service) closeAll() {
	service.mu.Lock()
	service.isClosed = true
	transactions := service.transactions
	service.transactions = nil
	service.mu.Unlock()
	for _, transaction := range transactions {
		transaction.Close()
	}
}
