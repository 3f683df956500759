package vmrun_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/bramleydoor/bramleydoor/netsim"
)

// network carries datagrams between the VMs' sockets. It drops those from and to the
// IP addresses in blocked, except what a VM sends to itself.
type network struct {
	mu      sync.Mutex
	queues  map[string]chan packet
	blocked map[string]bool
	// peers has the listeners for forwarded requests, by IP address.
	peers map[string]*netsim.PipeListener
	// sent counts the datagrams from an IP address, traffic the bytes in datagrams from and to
	// it, connected the connections to it. The next losses to one are lost.
	sent, traffic, connected, losses map[string]int
}

// listen returns the listener for forwarded requests of an IP address.
func (network *network) listen(ip string) *netsim.PipeListener {
	network.mu.Lock()
	defer network.mu.Unlock()
	listener := &netsim.PipeListener{}
	listener.Open()
	network.peers[ip] = listener
	return listener
}

// dialFrom returns the function by which the VM at an IP address connects to others.
func (network *network) dialFrom(from string) func(ctx context.Context, vm string) (net.Conn, error) {
	return func(ctx context.Context, vm string) (net.Conn, error) {
		_, ip, _ := strings.Cut(vm, "@")
		network.mu.Lock()
		listener, isBlocked := network.peers[ip], network.blocked[ip] || network.blocked[from]
		network.connected[ip]++
		network.mu.Unlock()
		if listener == nil || isBlocked {
			return nil, syscall.ECONNREFUSED
		}
		return listener.Dial(ctx)
	}
}

type packet struct {
	data []byte
	from net.Addr
}

type socket struct {
	net.PacketConn
	network *network
	address *net.UDPAddr
	queue   chan packet
	once    sync.Once
	closed  chan struct{}
	// isKilled is set once the process of the socket has been killed.
	isKilled *atomic.Bool
}

func (network *network) open(ip string, isKilled *atomic.Bool) *socket {
	network.mu.Lock()
	defer network.mu.Unlock()
	address := &net.UDPAddr{IP: net.ParseIP(ip), Port: 7440}
	opened := &socket{network: network, address: address, queue: make(chan packet, 256), closed: make(chan struct{}), isKilled: isKilled}
	network.queues[ip] = opened.queue
	return opened
}

func (socket *socket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case next := <-socket.queue:
		return copy(buffer, next.data), next.from, nil
	case <-socket.closed:
		return 0, nil, net.ErrClosed
	}
}

func (socket *socket) WriteTo(data []byte, to net.Addr) (int, error) {
	socket.network.mu.Lock()
	defer socket.network.mu.Unlock()
	if socket.isKilled.Load() {
		return len(data), nil
	}
	ip := to.(*net.UDPAddr).IP.String()
	own := socket.address.IP.String()
	socket.network.sent[own]++
	socket.network.traffic[own] += len(data)
	socket.network.traffic[ip] += len(data)
	if ip != own && (socket.network.blocked[ip] || socket.network.blocked[own]) {
		return len(data), nil
	}
	if ip != own && socket.network.losses[ip] > 0 {
		socket.network.losses[ip]--
		return len(data), nil
	}
	select {
	case socket.network.queues[ip] <- packet{data: append([]byte(nil), data...), from: socket.address}:
	default:
	}
	return len(data), nil
}

func (socket *socket) Close() error {
	socket.once.Do(func() { close(socket.closed) })
	return nil
}
