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

func newRequest(priority, dueMS int) admit.Request {
	return admit.Request{
		Priority: priority, Due: at(dueMS),
		MaxWait: 500 * time.Millisecond, MaxStandingWait: 100 * time.Millisecond,
	}
}

// observedLimiter returns a limiter that observed answers of a constant latency every
// 20 ms up to a time.
func observedLimiter(latency time.Duration, untilMS int) *admit.Limiter[string] {
	limiter := &admit.Limiter[string]{}
	for ms := 0; ms < untilMS; ms += 20 {
		limiter.Observe(latency, at(ms))
	}
	return limiter
}

// Rule 15: the queue is ordered by priority, then by due time, then by arrival.
func TestQueueOrder(t *testing.T) {
	c := qt.New(t)
	limiter := &admit.Limiter[string]{}
	for _, next := range []struct {
		priority, due int
		name          string
	}{{2, 800, "shelf"}, {2, 400, "dropOff"}, {1, 900, "order"}, {2, 400, "laterDropOff"}} {
		c.Assert(limiter.Queue(newRequest(next.priority, next.due), next.name, at(0)), qt.IsTrue)
	}
	var order []string
	for limiter.Waiting() > 0 {
		next, _ := limiter.Next()
		order = append(order, next)
	}
	c.Assert(order, qt.DeepEquals, []string{"order", "dropOff", "laterDropOff", "shelf"})
}

// One slow replica: the limit falls while the latency is above its baseline, and
// rises again once answers are fast.
func TestLimitFollowsLatency(t *testing.T) {
	c := qt.New(t)
	limiter := observedLimiter(20*time.Millisecond, 1000)
	before := limiter.Limit()
	for ms := 1000; ms < 3000; ms += 20 {
		limiter.Observe(200*time.Millisecond, at(ms))
	}
	c.Assert(limiter.Limit() < 0.5, qt.IsTrue, qt.Commentf("%f", limiter.Limit()))
	for ms := 3000; ms < 9000; ms += 20 {
		for limiter.HasCapacity(at(ms)) {
			limiter.Enter()
		}
		limiter.Observe(20*time.Millisecond, at(ms))
	}
	c.Assert(limiter.Limit() > before, qt.IsTrue)
}

// The limit of a lightly used database does not grow beyond its use.
func TestLimitGrowsOnlyWhenUsed(t *testing.T) {
	limiter := observedLimiter(20*time.Millisecond, 60_000)
	qt.Assert(t, limiter.Limit(), qt.Equals, 4.0)
}

// A burst: requests that can be sent within their maximum wait are queued, the
// others are refused at once.
func TestBurst(t *testing.T) {
	c := qt.New(t)
	limiter := observedLimiter(100*time.Millisecond, 1000)
	for limiter.HasCapacity(at(1000)) {
		limiter.Enter()
	}
	var queued int
	for range 100 {
		if limiter.Queue(newRequest(1, 2000), "call", at(1000)) {
			queued++
		}
	}
	// With a limit of 4 and 100 ms for each answer, 20 requests start within the maximum
	// wait of 500 ms; one more is queued, since its expected wait is exactly 500 ms.
	c.Assert(queued, qt.Equals, 21)
}

// A database at half its parallelism: a standing queue accepts only requests whose expected
// wait is within the shorter maximum.
func TestStandingQueue(t *testing.T) {
	c := qt.New(t)
	limiter := observedLimiter(100*time.Millisecond, 1000)
	for limiter.HasCapacity(at(1000)) {
		limiter.Enter()
	}
	for range 10 {
		c.Assert(limiter.Queue(newRequest(1, 2000), "call", at(1000)), qt.IsTrue)
	}
	c.Assert(limiter.Queue(newRequest(1, 2000), "call", at(1200)), qt.IsTrue)
	c.Assert(limiter.Queue(newRequest(1, 2000), "late", at(1400)), qt.IsFalse)
	c.Assert(limiter.Queue(newRequest(0, 2000), "urgent", at(1400)), qt.IsTrue)
	for limiter.Waiting() > 0 {
		limiter.Next()
	}
	c.Assert(limiter.Queue(newRequest(1, 2000), "call", at(1500)), qt.IsTrue)
}

// Many VMs that share a database of low parallelism: with a limit below one, the VM
// pauses between requests.
func TestPause(t *testing.T) {
	c := qt.New(t)
	limiter := observedLimiter(20*time.Millisecond, 1000)
	for ms := 1000; ms < 3000; ms += 20 {
		limiter.Observe(300*time.Millisecond, at(ms))
	}
	c.Assert(limiter.HasCapacity(at(3000)), qt.IsTrue)
	limiter.Enter()
	c.Assert(limiter.HasCapacity(at(3000)), qt.IsFalse)
	limiter.Leave(at(3100))
	pause := limiter.RemainingPause(at(3100))
	c.Assert(pause > 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", pause))
	c.Assert(limiter.HasCapacity(at(3100)), qt.IsFalse)
	c.Assert(limiter.HasCapacity(at(3100).Add(pause)), qt.IsTrue)
}

// Removed and drained requests are no longer queued.
func TestRemove(t *testing.T) {
	c := qt.New(t)
	limiter := &admit.Limiter[string]{}
	limiter.Queue(newRequest(1, 100), "a", at(0))
	limiter.Queue(newRequest(1, 100), "b", at(0))
	c.Assert(limiter.Remove("a"), qt.IsTrue)
	c.Assert(limiter.Remove("a"), qt.IsFalse)
	c.Assert(limiter.Drain(), qt.DeepEquals, []string{"b"})
	_, ok := limiter.Next()
	c.Assert(ok, qt.IsFalse)
}
