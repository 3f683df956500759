package remote

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/clock"
)

// conn is one connection to the VM.
type conn struct {
	net    *timedConn
	client *rpc.Client
	clock  clock.Clock
	// key is the number of the key that authenticated the connection.
	key uint32
	// transactions is the number of transactions opened.
	transactions atomic.Uint64

	mu sync.Mutex
	// pingedAt is when the last ping was sent.
	pingedAt time.Time
}

// timedConn records when data last arrived.
type timedConn struct {
	net.Conn
	clock      clock.Clock
	lastReadAt atomic.Int64
}

func (conn *timedConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.lastReadAt.Store(conn.clock.Now().UnixNano())
	}
	return count, err
}

func (conn *timedConn) Write(data []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(data)
}

// errTimeout means that the VM is alive but has not answered the request in time.
var errTimeout = errors.Mark(errors.New("no answer within the timeout"), ErrLost)

// call sends a request and waits for its answer. Once the VM shows no sign of life, a
// request that can be given up ends with ErrSilent.
func (conn *conn) call(request Request, timeout time.Duration) (Reply, error) {
	reply := new(Reply)
	sentAt := conn.clock.Now()
	pending := conn.client.Go(serviceName+".Execute", &request, reply, make(chan *rpc.Call, 1))
	for {
		remaining := timeout - conn.clock.Now().Sub(sentAt)
		select {
		case <-pending.Done:
			if pending.Error != nil {
				return Reply{}, pending.Error
			}
			return *reply, nil
		case <-conn.clock.After(min(remaining, pingAfter)):
		}
		now := conn.clock.Now()
		switch {
		case len(pending.Done) > 0:
			// The answer has arrived at the last moment.
		case now.Sub(sentAt) >= timeout:
			return Reply{}, errTimeout
		case request.canBeGivenUp() && conn.isSilent(now):
			return Reply{}, ErrSilent
		default:
			conn.pingIfQuiet(now)
		}
	}
}

// ping asks the VM for a sign of life. The net/rpc client reads the answer, which
// timedConn records.
func (conn *conn) ping() *rpc.Call {
	conn.mu.Lock()
	conn.pingedAt = conn.clock.Now()
	conn.mu.Unlock()
	return conn.client.Go(serviceName+".Ping", new(bool), new(bool), make(chan *rpc.Call, 1))
}

// pingIfQuiet sends a ping if nothing has arrived for pingAfter and no ping is unanswered.
func (conn *conn) pingIfQuiet(now time.Time) {
	lastReadAt := time.Unix(0, conn.net.lastReadAt.Load())
	conn.mu.Lock()
	isDue := now.Sub(lastReadAt) >= pingAfter && !conn.pingedAt.After(lastReadAt)
	conn.mu.Unlock()
	if isDue {
		conn.ping()
	}
}

// isSilent reports whether a ping has been unanswered for silentAfter.
func (conn *conn) isSilent(now time.Time) bool {
	lastReadAt := time.Unix(0, conn.net.lastReadAt.Load())
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.pingedAt.After(lastReadAt) && now.Sub(conn.pingedAt) >= silentAfter
}

func (conn *conn) close() {
	// The error is of no use: the connection is not used any more.
	_ = conn.client.Close()
}
