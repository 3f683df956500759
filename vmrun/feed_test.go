package vmrun

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/grants"
)

// A keeper that has read nothing yet does not make others believe that they know
// the newest; neither does one whose news lie in the future.
func TestNewsOfAnUnreadFeed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var unread, known feed
	known.cover(4, 5, now)
	later := now.Add(10 * time.Second)
	known.hear(unread.tell(later), later)
	c.Assert(known.isOlder(later, 9*time.Second), qt.IsTrue)
	known.hear(grants.Feed{Changed: 4, AgeMS: -5000}, later)
	c.Assert(known.isOlder(later.Add(time.Second), 500*time.Millisecond), qt.IsTrue)
}

// News count from when they were asked for, and only while they tell of nothing
// that isn't known.
func TestNews(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var known feed
	known.cover(4, 5, now)
	known.hear(grants.Feed{Changed: 4, AgeMS: 100}, at(1000))
	c.Assert(known.isOlder(at(1000), 99*time.Millisecond), qt.IsTrue)
	c.Assert(known.isOlder(at(1000), 101*time.Millisecond), qt.IsFalse)
	c.Assert(known.isBehind(), qt.IsFalse)
	known.hear(grants.Feed{Changed: 6, AgeMS: 0}, at(2000))
	c.Assert(known.isBehind(), qt.IsTrue)
	c.Assert(known.isOlder(at(2000), time.Second), qt.IsTrue)
	known.cover(6, 6, at(2100))
	c.Assert(known.isBehind(), qt.IsFalse)
}
