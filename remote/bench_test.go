package remote_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/quota"
	"github.com/bramleydoor/bramleydoor/remote"
)

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *int
}

func (conn countingConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	*conn.bytes += count
	return count, err
}

func (conn countingConn) Write(data []byte) (int, error) {
	*conn.bytes += len(data)
	return conn.Conn.Write(data)
}

// BenchmarkForward measures a forwarded read over loopback TCP, both sides and without a
// database, and the bytes of its request and answer.
func BenchmarkForward(b *testing.B) {
	var bytes int
	client := benchmarkClient(b, &bytes)
	request := remote.Request{
		Database: "ledger1", Kind: remote.Read, ID: "5c0e7a21d94b36f8", Text: "READ 1a4",
		Route:  config.Route{Name: "ledger1", Upstream: "debtor-ledger", Timeout: time.Second, Target: 250 * time.Millisecond},
		Values: map[string]string{"zone": "north"},
	}
	if _, err := client.Forward(request, time.Second); err != nil {
		b.Fatal(err)
	}
	before := bytes
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		reply, err := client.Forward(request, time.Second)
		if err != nil || reply.Answer.Code != proto.OK {
			b.Fatal(err, reply.Answer.Code)
		}
	}
	b.ReportMetric(float64(bytes-before)/float64(b.N), "B/request")
}

// BenchmarkTokens measures a request for tokens of three teams over loopback TCP, both sides
// and without the home's work, and its bytes.
func BenchmarkTokens(b *testing.B) {
	var bytes int
	client := benchmarkClient(b, &bytes)
	request := quota.Request{
		VM: "front-attica-d-1@10.2.3.4", Process: 1 << 50, Home: 12, SentAfter: time.Minute, SentBefore: time.Minute,
		HasShares: true, Delegates: true, VMs: 33, DelegatedFor: 400 * time.Millisecond,
		Teams: []quota.Demand{
			{Team: "harbour", Waiting: 1},
			{Team: "census", Waiting: 1},
			{Team: "archive", Expected: 2, Returned: 1},
		},
	}
	if _, err := client.Tokens(request, time.Second); err != nil {
		b.Fatal(err)
	}
	before := bytes
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		request.Seq++
		if _, err := client.Tokens(request, time.Second); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes-before)/float64(b.N), "B/request")
}

// benchmarkClient returns a client of a server that is connected by loopback TCP.
func benchmarkClient(b *testing.B, bytes *int) *remote.Client {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := event.NewLog(logger, "vm1")
	server := &remote.Server{
		Listener: listener, Executor: &executor{}, Clock: clock.Boot{}, Log: log,
		TokensFor: func(query quota.Request) quota.Answer {
			answer := quota.Answer{Home: 12, Time: time.Minute}
			for _, demand := range query.Teams {
				answer.Teams = append(answer.Teams, quota.Grant{Team: demand.Team, Tokens: 1})
			}
			return answer
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	go func() { _ = server.Run(ctx) }()
	clients := &remote.Clients{
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
			return countingConn{Conn: conn, bytes: bytes}, err
		},
		Clock: clock.Boot{}, Log: log,
	}
	b.Cleanup(clients.Close)
	for clients.Usable("router") == nil {
		time.Sleep(time.Millisecond)
	}
	return clients.Usable("router")
}

// BenchmarkConnect measures opening a connection to another VM over loopback TCP, with its
// sign of life and a first request, both sides together. In a large fleet many VMs connect
// to the same one at once.
func BenchmarkConnect(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := event.NewLog(logger, "vm1")
	server := &remote.Server{
		Listener: listener, Executor: &executor{}, Clock: clock.Boot{}, Log: log,
		ChangesAfter: func(remote.ChangesQuery) remote.Changes { return remote.Changes{IsKnown: true} },
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = server.Run(ctx) }()
	clients := &remote.Clients{
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
		},
		Clock: clock.Boot{}, Log: log,
	}
	b.ReportAllocs()
	for range b.N {
		for clients.Usable("router") == nil {
			time.Sleep(time.Millisecond)
		}
		if _, err := clients.Usable("router").Changes(remote.ChangesQuery{Prefix: "config"}, time.Second); err != nil {
			b.Fatal(err)
		}
		clients.Retain(nil)
	}
}
