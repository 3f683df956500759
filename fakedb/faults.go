package fakedb

import (
	"math"
	"net"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// logNormal returns the value at z of the distribution that has the median at 0 and
// the 99th percentile at 1.
func logNormal(median, p99 time.Duration, z float64) time.Duration {
	ratio := float64(p99) / float64(median)
	return time.Duration(float64(median) * math.Pow(ratio, z))
}

// listen starts the slot's listeners: on free ports at the first start, on the same
// ports after a restart.
func (slot *Slot) listen() error {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.init()
	postgres, err := net.Listen("tcp", orAnyPort(slot.address, slot.group.Host))
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", orAnyPort(slot.control, slot.group.Host))
	if err != nil {
		_ = postgres.Close()
		return err
	}
	slot.address, slot.control = postgres.Addr().String(), control.Addr().String()
	slot.listeners = []net.Listener{postgres, control}
	go slot.servePostgres(postgres)
	go slot.serveControl(control)
	return nil
}

func orAnyPort(address, host string) string {
	if address == "" {
		return net.JoinHostPort(host, "0")
	}
	return address
}

// Kill simulates a crash of the slot's process: its connections break, but it keeps
// its log.
func (slot *Slot) Kill() {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.isKilled = true
	slot.generation++
	for _, listener := range slot.listeners {
		_ = listener.Close()
	}
	slot.dropConns()
	slot.notifyProgress()
	slot.lockReleased.Broadcast()
}

// dropConns closes all connections and resets their count at once, before the
// goroutines that serve them end.
func (slot *Slot) dropConns() {
	slot.dropCount++
	slot.openConns = 0
	for conn := range slot.conns {
		_ = conn.Close()
	}
}

// Restart restarts a killed slot at the same addresses and in its previous role: a
// primary that crashed does not know whether another one has replaced it.
func (slot *Slot) Restart() error {
	slot.mu.Lock()
	slot.isKilled = false
	slot.rowLocks = nil
	term, isPrimary := slot.sealedTerm, slot.isPrimary
	slot.mu.Unlock()
	if err := slot.listen(); err != nil {
		return err
	}
	if !isPrimary {
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

// SetPartitioned partitions the slot from the other slots of its group, or ends the
// partition and closes the slot's connections. Callers can still connect to the slot; a
// test that partitions them too has to do so on their side.
func (slot *Slot) SetPartitioned(isPartitioned bool) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.isPartitioned = isPartitioned
	if !isPartitioned {
		slot.dropConns()
	}
	slot.notifyProgress()
}

// Stall stalls the slot until the returned function is called: the slot accepts
// connections and reads input, but sends no answer.
func (slot *Slot) Stall() (resume func()) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	stall := make(chan struct{})
	slot.stall = stall
	return func() {
		slot.mu.Lock()
		defer slot.mu.Unlock()
		if slot.stall == stall {
			slot.stall = nil
			close(stall)
		}
	}
}

// awaitStallEnd blocks while the slot is stalled.
func (slot *Slot) awaitStallEnd() {
	for {
		slot.mu.Lock()
		stall := slot.stall
		slot.mu.Unlock()
		if stall == nil {
			return
		}
		<-stall
	}
}

// LastPosition returns the position of the last entry in the slot's log, or zero.
func (slot *Slot) LastPosition() posn.Position {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	return slot.lastPosition()
}

// DeleteData deletes the slot's log and data, as if its disk had been replaced.
func (slot *Slot) DeleteData() {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.reset()
}
