package vmrun

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/lease"
)

// The status of a leader that has not read the prefix must not make the VM's feed count
// as current. A status with a negative age must make it count as current as of the
// request, and no later.
func TestStatusUnreadOrOfNegativeAge(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var unread, known feed
	known.advance(4, 5, now)
	later := now.Add(10 * time.Second)
	known.applyStatus(unread.status(later), later)
	c.Assert(known.isOlderThan(later, 9*time.Second), qt.IsTrue)
	known.applyStatus(lease.Feed{Changed: 4, AgeMS: -5000}, later)
	c.Assert(known.isOlderThan(later.Add(time.Second), 500*time.Millisecond), qt.IsTrue)
}

// A leader's status counts from the time of its request, and makes the feed current
// only if it reports no change that the feed lacks.
func TestFeedStatus(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var known feed
	known.advance(4, 5, now)
	known.applyStatus(lease.Feed{Changed: 4, AgeMS: 100}, at(1000))
	c.Assert(known.isOlderThan(at(1000), 99*time.Millisecond), qt.IsTrue)
	c.Assert(known.isOlderThan(at(1000), 101*time.Millisecond), qt.IsFalse)
	c.Assert(known.isBehind(), qt.IsFalse)
	known.applyStatus(lease.Feed{Changed: 6, AgeMS: 0}, at(2000))
	c.Assert(known.isBehind(), qt.IsTrue)
	c.Assert(known.isOlderThan(at(2000), time.Second), qt.IsTrue)
	known.advance(6, 6, at(2100))
	c.Assert(known.isBehind(), qt.IsFalse)
}
