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

// DefaultTimeout bounds a call that does not wait for anything.
const DefaultTimeout = 300 * time.Millisecond

// Client calls other VMs by their peer address. It keeps one connection to each.
type Client struct {
	Key []byte
	// Dial replaces the network in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// Opinion asks a VM for its view of a group's primary.
func (client *Client) Opinion(ctx context.Context, address, group string) (detect.Opinion, error) {
	return call[detect.Opinion](ctx, client, address, "Peer.Opinion", &OpinionQuery{Group: group}, DefaultTimeout)
}

// Tickets asks a VM for what follows a configuration number.
func (client *Client) Tickets(ctx context.Context, address string, query TicketQuery) (TicketReply, error) {
	return call[TicketReply](ctx, client, address, "Peer.Tickets", &query, query.Wait+DefaultTimeout)
}

// Shares asks a VM for its view of the connection shares.
func (client *Client) Shares(ctx context.Context, address string) (share.View, error) {
	return call[share.View](ctx, client, address, "Peer.Shares", &Nothing{}, DefaultTimeout)
}

// Cancel passes on a cancel request.
func (client *Client) Cancel(ctx context.Context, address string, query CancelQuery) error {
	_, err := call[Nothing](ctx, client, address, "Peer.Cancel", &query, DefaultTimeout)
	return err
}

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
		// The reply may still be written to; it must not be read any more. The
		// connection is dropped, as a late answer on it would be mistaken for
		// liveness.
		client.drop(address, conn)
		var none T
		return none, errors.Wrapf(ctx.Err(), "%s at %s", method, address)
	}
}

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
	if other, ok := client.conns[address]; ok {
		_ = conn.Close()
		return other, nil
	}
	if client.conns == nil {
		client.conns = make(map[string]*rpc.Client)
	}
	client.conns[address] = conn
	return conn, nil
}

func (client *Client) open(ctx context.Context, address string) (*rpc.Client, error) {
	dial := client.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	raw, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := shake(raw, client.Key, "client", "server"); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return rpc.NewClient(raw), nil
}

func (client *Client) drop(address string, conn *rpc.Client) {
	client.mu.Lock()
	if client.conns[address] == conn {
		delete(client.conns, address)
	}
	client.mu.Unlock()
	_ = conn.Close()
}

// Close ends all connections.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, conn := range client.conns {
		_ = conn.Close()
	}
	client.conns = nil
}
