package fakeup

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/proto"
)

// Stutter makes a database give answers twice, the second time late. The zero value turns
// this off.
type Stutter struct {
	// Share is the share of the answers that are given twice.
	Share float64
	// MinDelay and MaxDelay bound the time until an answer is given again.
	MinDelay, MaxDelay time.Duration
	// Seed selects the answers and the delays on each connection.
	Seed uint64
	// Only selects requests whose answers may be given twice; nil selects all.
	Only func(request proto.Request) bool
}

// arrival is an answer that a VM has not read.
type arrival struct {
	answer proto.Answer
	at     time.Time
}

// DrawRepeat implements Conn.
func (conn *conn) DrawRepeat(request proto.Request) time.Duration {
	conn.upstream.mu.Lock()
	defer conn.upstream.mu.Unlock()
	stutter := conn.database.Stutter
	if stutter.Share == 0 || stutter.Only != nil && !stutter.Only(request) {
		return 0
	}
	if conn.random == nil {
		conn.random = rand.New(rand.NewPCG(stutter.Seed, uint64(conn.number)))
	}
	if conn.random.Float64() >= stutter.Share {
		return 0
	}
	return stutter.MinDelay + time.Duration(conn.random.Int64N(int64(stutter.MaxDelay-stutter.MinDelay)+1))
}

// arrive puts an answer behind the unread ones that arrive earlier.
func (conn *conn) arrive(answer proto.Answer, at time.Time) {
	later := slices.IndexFunc(conn.unread, func(other arrival) bool { return other.at.After(at) })
	if later < 0 {
		later = len(conn.unread)
	}
	conn.unread = slices.Insert(conn.unread, later, arrival{answer, at})
}

// Ask runs a request and returns the earliest unread answer, like a client that takes what
// arrives next for the answer to its request. An answer that arrives while the request runs
// is returned when that has ended.
func (conn *conn) Ask(request proto.Request, timeout time.Duration) (proto.Answer, error) {
	answer, err := conn.Run(request, timeout)
	if err != nil {
		return proto.Answer{}, err
	}
	delay := conn.DrawRepeat(request)
	conn.upstream.mu.Lock()
	defer conn.upstream.mu.Unlock()
	now := time.Now()
	conn.deadline = now.Add(timeout)
	conn.arrive(answer, now)
	if delay > 0 {
		conn.arrive(answer, now.Add(delay))
	}
	return conn.receive()
}

// Receive returns the next answer to one of the requests so far, which may be late. It waits
// for it at most for the timeout of the last request.
func (conn *conn) Receive() (proto.Answer, error) {
	conn.upstream.mu.Lock()
	defer conn.upstream.mu.Unlock()
	return conn.receive()
}

// receive is Receive for callers that hold mu.
func (conn *conn) receive() (proto.Answer, error) {
	if len(conn.unread) == 0 || conn.unread[0].at.After(conn.deadline) {
		conn.upstream.sleep(time.Until(conn.deadline))
		return proto.Answer{}, proto.ErrLost
	}
	conn.upstream.sleep(time.Until(conn.unread[0].at))
	first := conn.unread[0].answer
	conn.unread = conn.unread[1:]
	return first, nil
}

// HasUnread reports whether an unread answer has arrived.
func (conn *conn) HasUnread() bool {
	conn.upstream.mu.Lock()
	defer conn.upstream.mu.Unlock()
	return conn.hasUnread()
}

// hasUnread is HasUnread for callers that hold mu.
func (conn *conn) hasUnread() bool {
	return len(conn.unread) > 0 && !conn.unread[0].at.After(time.Now())
}
