package remote

import (
	"context"
	"net"
	"sync"

	"github.com/bramleydoor/bramleydoor/authn"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
)

// Clients holds the clients of other VMs. Its exported fields must be set before use.
type Clients struct {
	// Dial connects to a VM.
	Dial func(ctx context.Context, vm string) (net.Conn, error)
	// Auth authenticates the connections; nil in tests without authentication.
	Auth  *authn.Authenticator
	Clock clock.Clock
	Log   *event.Log

	mu       sync.Mutex
	clients  map[string]*Client
	isClosed bool
}

// Usable returns the client of a VM if requests may be forwarded to it now, or nil. The
// first call starts to connect to the VM.
func (clients *Clients) Usable(vm string) *Client {
	clients.mu.Lock()
	client, ok := clients.clients[vm]
	if !ok && clients.isClosed {
		clients.mu.Unlock()
		return nil
	}
	if !ok {
		if clients.clients == nil {
			clients.clients = make(map[string]*Client)
		}
		client = newClient(vm, clients)
		clients.clients[vm] = client
	}
	clients.mu.Unlock()
	if !client.isUsable(clients.Clock.Now()) {
		return nil
	}
	return client
}

// Reach connects to a VM, and reports whether it is connected and, if not, whether the last
// attempt has failed.
func (clients *Clients) Reach(vm string) (isConnected, hasFailed bool) {
	client := clients.Usable(vm)
	if client == nil {
		clients.mu.Lock()
		client = clients.clients[vm]
		clients.mu.Unlock()
		return false, client == nil || client.hasFailed()
	}
	return client.isConnected(), false
}

// Retain closes the clients of all VMs but those given.
func (clients *Clients) Retain(vms map[string]bool) {
	clients.mu.Lock()
	defer clients.mu.Unlock()
	for vm, client := range clients.clients {
		if !vms[vm] {
			client.close()
			delete(clients.clients, vm)
		}
	}
}

// Close closes all clients. Later requests are not sent.
func (clients *Clients) Close() {
	clients.mu.Lock()
	clients.isClosed = true
	clients.mu.Unlock()
	clients.Retain(nil)
}

// close closes the client's connection. Requests that wait on it get ErrLost.
func (client *Client) close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.isClosed = true
	close(client.closed)
	if client.conn != nil {
		client.conn.close()
		client.conn = nil
	}
}
