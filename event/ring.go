package event

import (
	"context"
	"io"
	"sync/atomic"
)

// ringCapacity is the number of lines that are buffered for a slow writer.
const ringCapacity = 1024

// Ring is an io.Writer that never blocks: lines are buffered in a bounded queue, and are
// dropped and counted when it is full. Out must be set before Run.
type Ring struct {
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// NewRing returns a ring that writes to out.
func NewRing(out io.Writer) *Ring {
	return &Ring{Out: out, lines: make(chan []byte, ringCapacity)}
}

// Write buffers a copy of line, or drops it if the ring is full. It returns no error.
func (ring *Ring) Write(line []byte) (int, error) {
	select {
	case ring.lines <- append([]byte(nil), line...):
	default:
		ring.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (ring *Ring) Dropped() int64 { return ring.dropped.Swap(0) }

// Run writes lines until ctx is done, and then the lines that are still buffered.
func (ring *Ring) Run(ctx context.Context) error {
	for {
		select {
		case line := <-ring.lines:
			ring.writeLine(line)
		case <-ctx.Done():
			for len(ring.lines) > 0 {
				ring.writeLine(<-ring.lines)
			}
			return nil
		}
	}
}

// writeLine writes a line. A failure of the log itself can't be logged, so the line is
// counted as dropped.
func (ring *Ring) writeLine(line []byte) {
	if _, err := ring.Out.Write(line); err != nil {
		ring.dropped.Add(1)
	}
}
