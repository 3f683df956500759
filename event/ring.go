package event

import (
	"context"
	"io"
	"sync/atomic"
)

// ringLines is how many lines wait for a writer that is slow.
const ringLines = 1024

// Ring is a writer that never blocks: lines wait in a bounded ring, and those that
// find it full are dropped and counted. Set Out before Run.
type Ring struct {
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// NewRing makes a ring before a writer.
func NewRing(out io.Writer) *Ring {
	return &Ring{Out: out, lines: make(chan []byte, ringLines)}
}

// Write takes a line.
func (ring *Ring) Write(line []byte) (int, error) {
	select {
	case ring.lines <- append([]byte(nil), line...):
	default:
		ring.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last call.
func (ring *Ring) Dropped() int64 { return ring.dropped.Swap(0) }

// Run writes lines until ctx ends, and then what waits.
func (ring *Ring) Run(ctx context.Context) error {
	for {
		select {
		case line := <-ring.lines:
			ring.out(line)
		case <-ctx.Done():
			for len(ring.lines) > 0 {
				ring.out(<-ring.lines)
			}
			return nil
		}
	}
}

// out writes a line. There is nowhere to report that a log can't be written, so
// it counts as dropped.
func (ring *Ring) out(line []byte) {
	if _, err := ring.Out.Write(line); err != nil {
		ring.dropped.Add(1)
	}
}
