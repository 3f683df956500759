// Package netsim simulates network delays and partitions, for tests and demos. It
// wraps the dialer of the connecting side; the code at both ends stays the same.
package netsim

import (
	"context"
	"net"
	"sync"
	"time"
)

// Net is a simulated network between named locations. Set the fields before use.
type Net struct {
	// Delay returns the one-way delay between two locations; nil is no delay.
	Delay func(from, to string) time.Duration

	mu sync.Mutex
	// locations maps an address to its location.
	locations map[string]string
	// blocked has the name of a dialer and the address that it can't reach.
	blocked map[[2]string]bool
	// conns has the open connections by the name of their dialer.
	conns map[string]map[*pipeConn]struct{}
}

// Place sets the location of an address.
func (network *Net) Place(address, location string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.locations == nil {
		network.locations = make(map[string]string)
	}
	network.locations[address] = location
}

// SetBlocked blocks traffic in both directions between the dialer named from and an
// address, or unblocks it. Connections stay open and their bytes are delayed, as
// when a network loses packets that TCP then retransmits.
func (network *Net) SetBlocked(from, address string, isBlocked bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.blocked == nil {
		network.blocked = make(map[[2]string]bool)
	}
	network.blocked[[2]string{from, address}] = isBlocked
}

// IsBlocked reports whether traffic between the dialer named from and an address is
// blocked.
func (network *Net) IsBlocked(from, address string) bool {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.blocked[[2]string{from, address}]
}

// Disconnect closes all connections that the dialer named from has opened, as the kernel
// does when a process dies.
func (network *Net) Disconnect(from string) {
	network.mu.Lock()
	conns := network.conns[from]
	delete(network.conns, from)
	network.mu.Unlock()
	for conn := range conns {
		_ = conn.Conn.Close()
	}
}

func (network *Net) add(conn *pipeConn) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.conns == nil {
		network.conns = make(map[string]map[*pipeConn]struct{})
	}
	if network.conns[conn.dialer] == nil {
		network.conns[conn.dialer] = make(map[*pipeConn]struct{})
	}
	network.conns[conn.dialer][conn] = struct{}{}
}

func (network *Net) remove(conn *pipeConn) {
	network.mu.Lock()
	defer network.mu.Unlock()
	delete(network.conns[conn.dialer], conn)
}

func (network *Net) location(address string) string {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.locations[address]
}

// blockedPollInterval is how often a blocked connection checks whether it is still
// blocked.
const blockedPollInterval = 5 * time.Millisecond

// Dialer returns a dial function for a client with a name and a location. The
// delay of a connection is fixed when it is dialed. While the address is blocked,
// dialing waits until it is unblocked or the context ends.
func (network *Net) Dialer(name, location string) func(ctx context.Context, protocol, address string) (net.Conn, error) {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		for network.IsBlocked(name, address) {
			select {
			case <-time.After(blockedPollInterval):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		underlying, err := (&net.Dialer{}).DialContext(ctx, protocol, address)
		if err != nil {
			return nil, err
		}
		var delay time.Duration
		if network.Delay != nil {
			delay = network.Delay(location, network.location(address))
		}
		return network.wrap(underlying, name, address, delay), nil
	}
}

// pipeConn is the dialing side's end of a pipe. It reports the addresses of the
// underlying network connection.
type pipeConn struct {
	net.Conn
	underlying net.Conn
	network    *Net
	// dialer is the name of the dialer that opened the connection.
	dialer string
}

// Close closes the dialing side's end. The other end is closed once the bytes sent before
// have arrived.
func (pipeConn *pipeConn) Close() error {
	pipeConn.network.remove(pipeConn)
	return pipeConn.Conn.Close()
}

func (pipeConn *pipeConn) LocalAddr() net.Addr  { return pipeConn.underlying.LocalAddr() }
func (pipeConn *pipeConn) RemoteAddr() net.Addr { return pipeConn.underlying.RemoteAddr() }

// wrap returns a connection whose bytes are delayed, and held back while name and
// address are blocked from each other.
func (network *Net) wrap(underlying net.Conn, name, address string, delay time.Duration) net.Conn {
	near, far := net.Pipe()
	isBlocked := func() bool { return network.IsBlocked(name, address) }
	go forward(underlying, far, delay, isBlocked)
	go forward(far, underlying, delay, isBlocked)
	conn := &pipeConn{Conn: near, underlying: underlying, network: network, dialer: name}
	network.add(conn)
	return conn
}

// chunk is the result of one read, with the time at which it is due at the target.
type chunk struct {
	data []byte
	due  time.Time
}

const (
	chunkBytes = 64 << 10
	// maxQueuedChunks bounds the chunks of one direction that are in transit.
	maxQueuedChunks = 256
)

// forward copies bytes from source to target, each after the delay and not while
// isBlocked returns true. When one side fails or ends it closes both.
func forward(target, source net.Conn, delay time.Duration, isBlocked func() bool) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		buffer := make([]byte, chunkBytes)
		for {
			count, err := source.Read(buffer)
			if count > 0 {
				data := append([]byte(nil), buffer[:count]...)
				queue <- chunk{data: data, due: time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	defer target.Close()
	for next := range queue {
		time.Sleep(time.Until(next.due))
		for isBlocked() {
			time.Sleep(blockedPollInterval)
		}
		if _, err := target.Write(next.data); err != nil {
			break
		}
	}
	_ = source.Close()
	for range queue {
		// Drains the queue, so that a reader blocked on a full queue can return.
		continue
	}
}
