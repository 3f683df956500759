package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/admit"
)

var start = time.Unix(1000, 0)

// at returns the time so many ms after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func want(priority, dueMS int) admit.Want {
	return admit.Want{
		Priority: priority, Due: at(dueMS),
		Patience: 500 * time.Millisecond, ShortPatience: 100 * time.Millisecond,
	}
}

// observedGate returns a gate that observed answers of a constant latency every
// 20 ms up to a time.
func observedGate(latency time.Duration, untilMS int) *admit.Gate[string] {
	gate := &admit.Gate[string]{}
	for ms := 0; ms < untilMS; ms += 20 {
		gate.Observe(latency, at(ms))
	}
	return gate
}

// Rule 15: the queue is ordered by priority, then by due time, then by arrival.
func TestQueueOrder(t *testing.T) {
	c := qt.New(t)
	gate := &admit.Gate[string]{}
	for _, next := range []struct {
		priority, due int
		name          string
	}{{2, 800, "shelf"}, {2, 400, "dropOff"}, {1, 900, "order"}, {2, 400, "laterDropOff"}} {
		c.Assert(gate.Queue(want(next.priority, next.due), next.name, at(0)), qt.IsTrue)
	}
	var order []string
	for gate.Waiting() > 0 {
		next, _ := gate.Next()
		order = append(order, next)
	}
	c.Assert(order, qt.DeepEquals, []string{"order", "dropOff", "laterDropOff", "shelf"})
}

// One slow replica: the limit falls while the latency is above its baseline, and
// rises again once answers are fast.
func TestLimitFollowsLatency(t *testing.T) {
	c := qt.New(t)
	gate := observedGate(20*time.Millisecond, 1000)
	before := gate.Limit()
	for ms := 1000; ms < 3000; ms += 20 {
		gate.Observe(200*time.Millisecond, at(ms))
	}
	c.Assert(gate.Limit() < 0.5, qt.IsTrue, qt.Commentf("%f", gate.Limit()))
	for ms := 3000; ms < 9000; ms += 20 {
		for gate.HasRoom(at(ms)) {
			gate.Enter()
		}
		gate.Observe(20*time.Millisecond, at(ms))
	}
	c.Assert(gate.Limit() > before, qt.IsTrue)
}

// The limit of a lightly used database does not grow beyond its use.
func TestLimitGrowsOnlyWhenUsed(t *testing.T) {
	gate := observedGate(20*time.Millisecond, 60_000)
	qt.Assert(t, gate.Limit(), qt.Equals, 4.0)
}

// A burst: requests that can be sent within their maximum wait are queued, the
// others are rejected at once.
func TestBurst(t *testing.T) {
	c := qt.New(t)
	gate := observedGate(100*time.Millisecond, 1000)
	for gate.HasRoom(at(1000)) {
		gate.Enter()
	}
	var queued int
	for range 100 {
		if gate.Queue(want(1, 2000), "call", at(1000)) {
			queued++
		}
	}
	// With a limit of 4 and 100 ms each, 20 requests start within the maximum wait of
	// 500 ms; one more is queued, since its expected wait is exactly 500 ms.
	c.Assert(queued, qt.Equals, 21)
}

// A service at half its slots: a standing queue accepts only requests whose expected
// wait is within the shorter maximum.
func TestStandingQueue(t *testing.T) {
	c := qt.New(t)
	gate := observedGate(100*time.Millisecond, 1000)
	for gate.HasRoom(at(1000)) {
		gate.Enter()
	}
	for range 10 {
		c.Assert(gate.Queue(want(1, 2000), "call", at(1000)), qt.IsTrue)
	}
	c.Assert(gate.Queue(want(1, 2000), "call", at(1200)), qt.IsTrue)
	c.Assert(gate.Queue(want(1, 2000), "late", at(1400)), qt.IsFalse)
	c.Assert(gate.Queue(want(0, 2000), "urgent", at(1400)), qt.IsTrue)
	for gate.Waiting() > 0 {
		gate.Next()
	}
	c.Assert(gate.Queue(want(1, 2000), "call", at(1500)), qt.IsTrue)
}

// Many VMs that share few slots: with a limit below one, the VM pauses between
// requests.
func TestPause(t *testing.T) {
	c := qt.New(t)
	gate := observedGate(20*time.Millisecond, 1000)
	for ms := 1000; ms < 3000; ms += 20 {
		gate.Observe(300*time.Millisecond, at(ms))
	}
	c.Assert(gate.HasRoom(at(3000)), qt.IsTrue)
	gate.Enter()
	c.Assert(gate.HasRoom(at(3000)), qt.IsFalse)
	gate.Leave(at(3100))
	pause := gate.Pause(at(3100))
	c.Assert(pause > 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", pause))
	c.Assert(gate.HasRoom(at(3100)), qt.IsFalse)
	c.Assert(gate.HasRoom(at(3100).Add(pause)), qt.IsTrue)
}

// Removed and drained requests are no longer queued.
func TestRemove(t *testing.T) {
	c := qt.New(t)
	gate := &admit.Gate[string]{}
	gate.Queue(want(1, 100), "a", at(0))
	gate.Queue(want(1, 100), "b", at(0))
	c.Assert(gate.Remove("a"), qt.IsTrue)
	c.Assert(gate.Remove("a"), qt.IsFalse)
	c.Assert(gate.Drain(), qt.DeepEquals, []string{"b"})
	_, ok := gate.Next()
	c.Assert(ok, qt.IsFalse)
}
