package fakedb

import (
	"math"
	"net"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

func logNormal(median, p99 time.Duration, z float64) time.Duration {
	ratio := float64(p99) / float64(median)
	return time.Duration(float64(median) * math.Pow(ratio, z))
}

func (slot *Slot) listen() error {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.init()
	data, err := net.Listen("tcp", orAnyPort(slot.address, slot.group.Host))
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", orAnyPort(slot.control, slot.group.Host))
	if err != nil {
		_ = data.Close()
		return err
	}
	slot.address, slot.control = data.Addr().String(), control.Addr().String()
	slot.listeners = []net.Listener{data, control}
	go slot.serveData(data)
	go slot.serveControl(control)
	return nil
}

func orAnyPort(address, host string) string {
	if address == "" {
		return net.JoinHostPort(host, "0")
	}
	return address
}

// Kill ends the slot's process: its connections break, its log stays.
func (slot *Slot) Kill() {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.killed = true
	slot.generation++
	for _, listener := range slot.listeners {
		_ = listener.Close()
	}
	slot.dropConns()
	slot.notify()
	slot.unlock.Broadcast()
}

// dropConns closes all connections, and counts them as closed from now on.
func (slot *Slot) dropConns() {
	slot.drops++
	slot.open = 0
	for conn := range slot.conns {
		_ = conn.Close()
	}
}

// Restart starts a killed slot again, at the same addresses, in the role that
// it had: a primary that crashed does not know that it was replaced.
func (slot *Slot) Restart() error {
	slot.mu.Lock()
	slot.killed = false
	slot.locks = nil
	term, leading := slot.sealed, slot.leading
	slot.mu.Unlock()
	if err := slot.listen(); err != nil {
		return err
	}
	if !leading {
		return nil
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	for i, replica := range slot.group.slots {
		if i != slot.index {
			go slot.replicate(replica, term, slot.generation)
		}
	}
	return nil
}

// Cut takes the slot off from the other slots of its group, or joins it again.
// Callers still reach it: cut those off at their own side.
func (slot *Slot) Cut(cut bool) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.cut = cut
	if !cut {
		slot.dropConns()
	}
	slot.notify()
}

// Stall freezes the slot until the returned function is called: it takes
// connections and bytes, and answers nothing.
func (slot *Slot) Stall() (resume func()) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	stalled := make(chan struct{})
	slot.stalled = stalled
	return func() {
		slot.mu.Lock()
		defer slot.mu.Unlock()
		if slot.stalled == stalled {
			slot.stalled = nil
			close(stalled)
		}
	}
}

// waitStall returns once the slot is not stalled.
func (slot *Slot) waitStall() {
	for {
		slot.mu.Lock()
		stalled := slot.stalled
		slot.mu.Unlock()
		if stalled == nil {
			return
		}
		<-stalled
	}
}

// Held is the position of the last entry in the slot's log.
func (slot *Slot) Held() posn.Position {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	return slot.held()
}

// Wipe empties the slot, as if its disk had been replaced.
func (slot *Slot) Wipe() {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.reset()
}
