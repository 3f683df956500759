// Package links puts delays and cuts on connections, for tests and demos. It
// wraps a dialer; the two ends need no change.
package links

import (
	"context"
	"net"
	"sync"
	"time"
)

// Net is a network between named places. Set the fields before use.
type Net struct {
	// Delay returns the one-way delay between two places.
	Delay func(from, to string) time.Duration

	mu     sync.Mutex
	places map[string]string
	cuts   map[[2]string]bool
}

// Place says at which place an address is.
func (n *Net) Place(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.places == nil {
		n.places = make(map[string]string)
	}
	n.places[address] = place
}

// Cut stops all bytes from a name to an address, and back, or lets them pass
// again. Connections stay open, as they do when a network loses packets.
func (n *Net) Cut(from, address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[[2]string]bool)
	}
	n.cuts[[2]string{from, address}] = cut
}

// IsCut reports whether a name is cut off from an address.
func (n *Net) IsCut(from, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, address}]
}

func (n *Net) placeOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.places[address]
}

// cutPoll is how often a cut connection looks whether it is joined again.
const cutPoll = 5 * time.Millisecond

// Dialer returns a dialer for a name at a place.
func (n *Net) Dialer(name, place string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for n.IsCut(name, address) {
			select {
			case <-time.After(cutPoll):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		var delay time.Duration
		if n.Delay != nil {
			delay = n.Delay(place, n.placeOf(address))
		}
		return n.wrap(raw, name, address, delay), nil
	}
}

// wrapped is the near end of a pipe; its addresses are those of the network.
type wrapped struct {
	net.Conn
	raw net.Conn
}

func (w *wrapped) LocalAddr() net.Addr  { return w.raw.LocalAddr() }
func (w *wrapped) RemoteAddr() net.Addr { return w.raw.RemoteAddr() }

func (n *Net) wrap(raw net.Conn, name, address string, delay time.Duration) net.Conn {
	near, far := net.Pipe()
	blocked := func() bool { return n.IsCut(name, address) }
	go pump(raw, far, delay, blocked)
	go pump(far, raw, delay, blocked)
	return &wrapped{Conn: near, raw: raw}
}

// chunk is some bytes with the time when they arrive; empty is the end.
type chunk struct {
	data []byte
	due  time.Time
}

const (
	chunkBytes = 64 << 10
	// inFlight bounds the chunks on their way.
	inFlight = 256
)

// pump moves bytes from source to target, each after the delay.
func pump(target, source net.Conn, delay time.Duration, blocked func() bool) {
	queue := make(chan chunk, inFlight)
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
		for blocked() {
			time.Sleep(cutPoll)
		}
		if _, err := target.Write(next.data); err != nil {
			break
		}
	}
	_ = source.Close()
	for range queue {
		// The reader may still wait to put its last chunk.
		continue
	}
}
