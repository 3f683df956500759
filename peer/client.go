package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/share"
)

// DefaultTimeout bounds a call that the other VM answers immediately. A call that may wait
// there for new data has its permitted wait in addition.
const DefaultTimeout = 300 * time.Millisecond

// Client calls other VMs by their peer address. It keeps one connection to each and is safe
// for concurrent use. Set the exported fields before use.
type Client struct {
	// Key is the secret that VMs authenticate each other with.
	Key []byte
	// Dial, if set, opens the connections, in tests and demos.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// Opinion requests a VM's opinion of a group's primary.
func (client *Client) Opinion(ctx context.Context, address, group string) (detect.Opinion, error) {
	return call[detect.Opinion](ctx, client, address, "Peer.Opinion", &OpinionQuery{Group: group}, DefaultTimeout)
}

// Tickets requests the tickets after a configuration number from a VM.
func (client *Client) Tickets(ctx context.Context, address string, query TicketQuery) (TicketReply, error) {
	return call[TicketReply](ctx, client, address, "Peer.Tickets", &query, query.Wait+DefaultTimeout)
}

// Shares requests a VM's view of the connection shares.
func (client *Client) Shares(ctx context.Context, address string) (share.View, error) {
	return call[share.View](ctx, client, address, "Peer.Shares", &Nothing{}, DefaultTimeout)
}

// Cancel forwards a cancel request to a VM.
func (client *Client) Cancel(ctx context.Context, address string, query CancelQuery) error {
	_, err := call[Nothing](ctx, client, address, "Peer.Cancel", &query, DefaultTimeout)
	return err
}

// call calls a method of the VM at address and returns its reply. After an error the
// connection is closed.
func call[T any](ctx context.Context, client *Client, address, method string, query any, timeout time.Duration) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := new(T)
	conn, err := client.connect(ctx, address)
	if err != nil {
		return *reply, err
	}
	pending := conn.Go(method, query, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		if pending.Error != nil {
			client.drop(address, conn)
		}
		return *reply, pending.Error
	case <-ctx.Done():
		// net/rpc may still write to the reply, so it must not be read any more. The
		// connection is closed, because a late answer on it would be mistaken for a sign
		// that the VM is alive.
		client.drop(address, conn)
		var zero T
		return zero, errors.Wrapf(ctx.Err(), "calling %s at %s", method, address)
	}
}

// connect returns the connection to address, or opens one.
func (client *Client) connect(ctx context.Context, address string) (*rpc.Client, error) {
	client.mu.Lock()
	conn, ok := client.conns[address]
	client.mu.Unlock()
	if ok {
		return conn, nil
	}
	conn, err := client.open(ctx, address)
	if err != nil {
		return nil, err
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if existing, ok := client.conns[address]; ok {
		_ = conn.Close()
		return existing, nil
	}
	if client.conns == nil {
		client.conns = make(map[string]*rpc.Client)
	}
	client.conns[address] = conn
	return conn, nil
}

// open opens a connection and authenticates both sides.
func (client *Client) open(ctx context.Context, address string) (*rpc.Client, error) {
	dial := client.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	netConn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := authenticate(netConn, client.Key, "client", "server"); err != nil {
		_ = netConn.Close()
		return nil, err
	}
	return rpc.NewClient(netConn), nil
}

// drop closes a connection, so that the next call opens another.
func (client *Client) drop(address string, conn *rpc.Client) {
	client.mu.Lock()
	if client.conns[address] == conn {
		delete(client.conns, address)
	}
	client.mu.Unlock()
	_ = conn.Close()
}

// Close closes all connections.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, conn := range client.conns {
		_ = conn.Close()
	}
	client.conns = nil
}
