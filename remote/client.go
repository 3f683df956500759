package remote

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/authn"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/quota"
)

const (
	// pingAfter is how long a request waits for its answer before the VM is asked for a
	// sign of life. Most requests are answered earlier.
	pingAfter = 60 * time.Millisecond
	// silentAfter is how long a sign of life may take. It is longer than a VM pauses that
	// has used up its processor quota of a 100 ms period.
	silentAfter = 150 * time.Millisecond
	// dialTimeout bounds opening a connection, including its first sign of life.
	dialTimeout = 500 * time.Millisecond
	// initialRedialDelay is the delay before the next attempt to connect after a failure. It
	// doubles up to maxRedialDelay with each further one. VMs that lose power together
	// start again within some hundred milliseconds of each other.
	initialRedialDelay = 50 * time.Millisecond
	maxRedialDelay     = 800 * time.Millisecond
	// maxDoublings bounds the exponent of the backoff.
	maxDoublings = 4
	// connectWait is how long a request waits for the first connection to a VM. Within a
	// zone that takes less than a millisecond.
	connectWait = 20 * time.Millisecond
	// skippedFor is how long a stopping VM receives no requests after it declined one.
	skippedFor = 1 * time.Second
	// abandonAfter is how long a connection without a sign of life stays open for the
	// requests that still wait for their answers.
	abandonAfter = 5 * time.Second
	// replacedFor is how long a connection stays open for its transactions after another has
	// replaced it, since the key for new connections has changed.
	replacedFor = 30 * time.Second
	// writeTimeout bounds the sending of one request.
	writeTimeout = 200 * time.Millisecond
)

// Client forwards requests to one VM. It connects in the background, so that a VM that is
// down delays no request.
type Client struct {
	vm    string
	dial  func(ctx context.Context, vm string) (net.Conn, error)
	auth  *authn.Authenticator
	clock clock.Clock
	log   *event.Log

	mu sync.Mutex
	// conn is the connection for new requests; nil if there is none.
	conn *conn
	// connecting is closed when the attempt to connect ends that began at connectingSince;
	// nil if there is none.
	connecting      chan struct{}
	connectingSince time.Time
	// failures counts the attempts to connect that have failed since the last connection;
	// the next one is due at nextDialAt.
	failures     int
	nextDialAt   time.Time
	skippedUntil time.Time
	isClosed     bool
	// closed is closed with the client.
	closed chan struct{}
}

func newClient(vm string, clients *Clients) *Client {
	return &Client{vm: vm, dial: clients.Dial, auth: clients.Auth, clock: clients.Clock, log: clients.Log, closed: make(chan struct{})}
}

// VM returns the ID of the VM.
func (client *Client) VM() string { return client.vm }

// isUsable reports whether a request may be forwarded now. It starts to connect if there
// is no connection. Only the first attempt is worth waiting for: later ones follow a failure.
func (client *Client) isUsable(now time.Time) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.isClosed || now.Before(client.skippedUntil) || client.auth != nil && !client.auth.Keys.HasKey() {
		return false
	}
	if client.conn == nil {
		client.startConnecting(now)
		isFirstAttempt := client.nextDialAt.IsZero()
		return isFirstAttempt && client.connecting != nil && now.Sub(client.connectingSince) < connectWait
	}
	if client.conn.isSilent(now) {
		client.retire(client.conn, ErrSilent)
		return false
	}
	if client.auth != nil && client.conn.key != client.auth.Keys.Signing() {
		client.startConnecting(now)
	}
	return true
}

// isConnected reports whether there is a connection.
func (client *Client) isConnected() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.conn != nil
}

// hasFailed reports whether the last attempt to connect has failed, or the VM takes no requests.
func (client *Client) hasFailed() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.failures > 0 || client.isClosed || client.clock.Now().Before(client.skippedUntil)
}

// startConnecting connects in the background unless an attempt is in progress or has just
// failed, or this VM has no key yet. client.mu must be held.
func (client *Client) startConnecting(now time.Time) {
	if client.auth != nil && !client.auth.Keys.HasKey() {
		return
	}
	if client.isClosed || client.connecting != nil || now.Before(client.nextDialAt) {
		return
	}
	done := make(chan struct{})
	client.connecting, client.connectingSince = done, now
	go func() {
		opened, err := client.open()
		client.mu.Lock()
		defer client.mu.Unlock()
		defer close(done)
		client.connecting = nil
		switch {
		case err != nil:
			client.recordFailure(err)
		case client.isClosed:
			opened.close()
		default:
			if client.conn != nil {
				client.closeAfter(client.conn, replacedFor)
			}
			client.conn, client.failures = opened, 0
			client.log.Write(event.RouterBack, event.Fields{"peer": client.vm})
		}
	}()
}

// recordFailure delays the next attempt to connect, and logs the first failure since the
// last connection. client.mu must be held.
func (client *Client) recordFailure(cause error) {
	if client.failures == 0 {
		client.log.Write(event.RouterSilent, event.Fields{"peer": client.vm, "error": cause.Error()})
	}
	delay := min(initialRedialDelay<<min(client.failures, maxDoublings), maxRedialDelay)
	client.failures++
	client.nextDialAt = client.clock.Now().Add(delay)
}

// open opens a connection and waits for a sign of life: a VM that is suspended may still
// accept connections.
func (client *Client) open() (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	netConn, err := client.dial(ctx, client.vm)
	if err != nil {
		return nil, err
	}
	key, err := client.authenticate(ctx, netConn)
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	timed := &timedConn{Conn: netConn, clock: client.clock}
	opened := &conn{net: timed, client: rpc.NewClient(timed), clock: client.clock, key: key}
	select {
	case call := <-opened.ping().Done:
		if call.Error != nil {
			opened.close()
			return nil, call.Error
		}
		return opened, nil
	case <-ctx.Done():
		opened.close()
		return nil, errors.Wrapf(ErrSilent, "no sign of life within %v", dialTimeout)
	}
}

// authenticate makes the handshake on a new connection and returns the number of the key.
func (client *Client) authenticate(ctx context.Context, netConn net.Conn) (uint32, error) {
	if client.auth == nil {
		return 0, nil
	}
	type result struct {
		key uint32
		err error
	}
	done := make(chan result, 1)
	go func() {
		key, err := client.auth.Connect(netConn, client.vm)
		done <- result{key, err}
	}()
	select {
	case result := <-done:
		return result.key, result.err
	case <-ctx.Done():
		return 0, errors.Wrapf(ErrSilent, "no answer to the handshake within %v", dialTimeout)
	}
}

// retire stops using a connection for new requests. It is closed once the requests that
// still wait on it have had abandonAfter. client.mu must be held.
func (client *Client) retire(old *conn, cause error) {
	if client.conn != old {
		return
	}
	client.conn = nil
	client.recordFailure(cause)
	if !errors.Is(cause, ErrSilent) {
		old.close()
		return
	}
	client.closeAfter(old, abandonAfter)
}

// closeAfter closes a connection after a time, or with the client.
func (client *Client) closeAfter(old *conn, delay time.Duration) {
	go func() {
		select {
		case <-client.clock.After(delay):
		case <-client.closed:
		}
		old.close()
	}()
}

func (client *Client) fail(failed *conn, cause error) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.retire(failed, cause)
}

// skip keeps new requests from the VM for skippedFor.
func (client *Client) skip() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.skippedUntil = client.clock.Now().Add(skippedFor)
}

// connection returns the connection for a new request, or nil. It waits for one that is
// being opened for up to connectWait since the attempt began.
func (client *Client) connection() *conn {
	client.mu.Lock()
	current, connecting := client.conn, client.connecting
	wait := connectWait - client.clock.Now().Sub(client.connectingSince)
	client.mu.Unlock()
	if current != nil || connecting == nil || wait <= 0 {
		return current
	}
	select {
	case <-connecting:
	case <-client.clock.After(wait):
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.conn
}

// Forward runs a single statement at the VM. The errors are ErrNotSent, ErrSilent and
// ErrLost.
func (client *Client) Forward(request Request, timeout time.Duration) (Reply, error) {
	current := client.connection()
	if current == nil {
		return Reply{}, ErrNotSent
	}
	return client.forward(current, request, timeout)
}

func (client *Client) forward(current *conn, request Request, timeout time.Duration) (Reply, error) {
	reply, err := current.call(request, timeout)
	switch {
	case errors.Is(err, ErrSilent):
		client.fail(current, ErrSilent)
	case errors.HasType(err, rpc.ServerError("")):
		err = errors.Mark(err, ErrLost)
	case err != nil && !errors.Is(err, errTimeout):
		client.fail(current, err)
		err = errors.Mark(err, ErrLost)
	}
	if reply.IsStopping {
		client.skip()
	}
	return reply, err
}

// Changes asks the VM for the changes of a prefix of the store. The errors are ErrNotSent and
// ErrLost.
func (client *Client) Changes(query ChangesQuery, timeout time.Duration) (Changes, error) {
	return ask[Changes](client, "Changes", &query, timeout)
}

// Tokens asks the VM, as the home of the teams' quotas, for tokens. The errors are ErrNotSent
// and ErrLost.
func (client *Client) Tokens(query quota.Request, timeout time.Duration) (quota.Answer, error) {
	answer, err := ask[quota.Answer](client, "Tokens", &query, timeout)
	if errors.Is(err, errTimeout) {
		client.pingIfQuiet()
	}
	return answer, err
}

// pingIfQuiet asks for a sign of life, so that a VM that has stopped answering is noticed.
func (client *Client) pingIfQuiet() {
	client.mu.Lock()
	current := client.conn
	client.mu.Unlock()
	if current != nil {
		current.pingIfQuiet(client.clock.Now())
	}
}

// ask calls a method of the VM that has no lasting effect there.
func ask[T any](client *Client, method string, query any, timeout time.Duration) (T, error) {
	var none T
	current := client.connection()
	if current == nil {
		return none, ErrNotSent
	}
	answer := new(T)
	pending := current.client.Go(serviceName+"."+method, query, answer, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		if pending.Error != nil {
			client.fail(current, pending.Error)
			return none, errors.Mark(pending.Error, ErrLost)
		}
		return *answer, nil
	case <-client.clock.After(timeout):
		return none, errTimeout
	}
}
