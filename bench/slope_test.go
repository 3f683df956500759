package bench_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/fakedb"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/gossip"
	"github.com/bramleydoor/bramleydoor/grpctl"
	"github.com/bramleydoor/bramleydoor/httpkv"
	"github.com/bramleydoor/bramleydoor/member"
	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/peer"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/probe"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/relay"
	"github.com/bramleydoor/bramleydoor/roster"
	"github.com/bramleydoor/bramleydoor/route"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/view"
	"github.com/bramleydoor/bramleydoor/watch"
)

// figures are the values measured at one size, by unit.
type figures map[string]float64

// slope measures at several sizes, fits a line to the values of each unit and reports
// its slope (each), its constant (base) and the R² of the fit.
func slope(b *testing.B, sizes []int, measure func(size int) figures) {
	b.Helper()
	for b.Loop() {
		xs := make([]float64, 0, len(sizes))
		ys := make(map[string][]float64)
		for _, size := range sizes {
			point := measure(size)
			xs = append(xs, float64(size))
			for unit, value := range point {
				ys[unit] = append(ys[unit], value)
				b.Logf("size %d: %.4g %s", size, value, unit)
			}
		}
		for unit, values := range ys {
			base, each := stat.LinearRegression(xs, values, nil, false)
			fit := stat.RSquared(xs, values, nil, base, each)
			b.ReportMetric(each, unit+"/each")
			b.ReportMetric(base, unit+"/base")
			b.ReportMetric(fit, unit+"/R2")
		}
	}
}

// cpuSeconds returns the processor time that this process has used, in seconds.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / float64(time.Second)
}

// measureDuration is the duration of a measurement.
const measureDuration = 6 * time.Second

// settleDuration is the time between a start and its measurement. It is longer than any
// start-up phase with more frequent calls.
const settleDuration = 6 * time.Second

// cpuShare measures the processor seconds per second, that is the cores in use.
func cpuShare() float64 {
	before := cpuSeconds()
	time.Sleep(measureDuration)
	return (cpuSeconds() - before) / measureDuration.Seconds()
}

// byteCounter counts the bytes read and written on the connections that it dials.
type byteCounter struct{ bytes atomic.Int64 }

func (counter *byteCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: counter}, nil
}

type countedConn struct {
	net.Conn
	counter *byteCounter
}

func (conn *countedConn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	conn.counter.bytes.Add(int64(n))
	return n, err
}

func (conn *countedConn) Write(buffer []byte) (int, error) {
	n, err := conn.Conn.Write(buffer)
	conn.counter.bytes.Add(int64(n))
	return n, err
}

// BenchmarkSlopeWatch measures the cost for a VM of watching idle groups of three slots,
// by the number of groups. The processor time includes that of the fakes.
func BenchmarkSlopeWatch(b *testing.B) {
	b.Run("keeper", func(b *testing.B) { slopeWatch(b, true) })
	b.Run("holder", func(b *testing.B) { slopeWatch(b, false) })
}

func slopeWatch(b *testing.B, isOwner bool) {
	b.Helper()
	slope(b, []int{5, 10, 20, 40}, func(size int) figures { return watchCost(b, size, 3, isOwner) })
}

// BenchmarkSlopeSlots measures the cost for an owner of watching ten groups, by the
// number of slots of each.
func BenchmarkSlopeSlots(b *testing.B) {
	slope(b, []int{3, 5, 7, 9}, func(size int) figures { return watchCost(b, 10, size, true) })
}

// BenchmarkSlopeSessions measures the memory by the number of idle callers.
func BenchmarkSlopeSessions(b *testing.B) {
	proxy, _ := start(b)
	slope(b, []int{500, 1000, 2000, 4000}, func(size int) figures {
		before := memory()
		conns := make([]*rawCaller, size)
		for i := range conns {
			conns[i] = dialRaw(b, proxy)
		}
		used := memory() - before
		for _, conn := range conns {
			conn.Close()
		}
		return figures{"B": float64(used)}
	})
}

// watchCost measures the cost of watching idle groups: processor time, calls and bytes
// per second. The number of groups is size.
func watchCost(b *testing.B, size, slots int, isOwner bool) figures {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counter := &byteCounter{}
	control := grpctl.New(counter.dial)
	watches := make([]*watch.Watch, size)
	for i := range size {
		fake := &fakedb.Group{Slots: slots}
		if err := fake.Start(); err != nil {
			b.Fatal(err)
		}
		defer fake.Stop()
		group := ticket.Group{Name: "g" + strconv.Itoa(i)}
		for s := range slots {
			slot := fake.Slot(s)
			group.Slots = append(group.Slots, ticket.Slot{Name: slot.Name(), Control: slot.Control()})
		}
		watches[i] = &watch.Watch{Control: control, Clock: clock.System{}, Interval: watch.DefaultInterval, Timeout: watch.DefaultTimeout, IsOwner: func() bool { return isOwner }}
		watches[i].SetGroup(group)
		go func() { _ = watches[i].Run(ctx) }()
	}
	time.Sleep(settleDuration)
	calls, bytes := sumCalls(watches), counter.bytes.Load()
	share := cpuShare()
	return figures{
		"cores":   share,
		"calls/s": float64(sumCalls(watches)-calls) / measureDuration.Seconds(),
		"B/s":     float64(counter.bytes.Load()-bytes) / measureDuration.Seconds(),
	}
}

func sumCalls(watches []*watch.Watch) int64 {
	var calls int64
	for _, watch := range watches {
		calls += watch.Calls.Load()
	}
	return calls
}

// countedPackets counts the bytes of datagrams received and sent.
type countedPackets struct {
	net.PacketConn
	counter *byteCounter
}

func (conn *countedPackets) ReadFrom(buffer []byte) (int, net.Addr, error) {
	n, remote, err := conn.PacketConn.ReadFrom(buffer)
	conn.counter.bytes.Add(int64(n))
	return n, remote, err
}

func (conn *countedPackets) WriteTo(buffer []byte, remote net.Addr) (int, error) {
	n, err := conn.PacketConn.WriteTo(buffer, remote)
	conn.counter.bytes.Add(int64(n))
	return n, err
}

// startGossip starts the gossip of many VMs in this process, and counts the bytes of the
// first VM.
func startGossip(ctx context.Context, b *testing.B, size int, counter *byteCounter) []*gossip.Gossip {
	b.Helper()
	var seeds roster.Fixed
	all := make([]*gossip.Gossip, size)
	conns := make([]net.PacketConn, size)
	for i := range size {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		conns[i] = conn
		seeds = append(seeds, roster.VM{ID: fmt.Sprintf("vm%04d", i), Peer: conn.LocalAddr().String(), Zone: "zone1"})
	}
	conns[0] = &countedPackets{PacketConn: conns[0], counter: counter}
	for i := range size {
		endpoint := &probe.Endpoint{Conn: conns[i], Key: []byte("a key of at least 16 bytes")}
		all[i] = &gossip.Gossip{
			Self:   member.Member{ID: seeds[i].ID, Address: seeds[i].Peer, Zone: "zone1", Incarnation: 1},
			Probes: endpoint,
			Lists:  []roster.List{seeds},
			Clock:  clock.System{},
		}
		all[i].Init()
		endpoint.Answer = all[i].Answer
		go func() { _ = endpoint.Run(ctx) }()
		go func() { _ = all[i].Run(ctx) }()
	}
	return all
}

// BenchmarkSlopeGossip measures the cost of membership for one VM by the number of VMs.
// The bytes are those of the VM's own probes and of its answers to other VMs.
func BenchmarkSlopeGossip(b *testing.B) {
	slope(b, []int{25, 50, 100, 200}, func(size int) figures {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		counter := &byteCounter{}
		all := startGossip(ctx, b, size, counter)
		began := time.Now()
		for len(all[0].Live()) < size {
			time.Sleep(10 * time.Millisecond)
			if time.Since(began) > time.Minute {
				b.Fatalf("after 1 minute the first VM has only %d of %d VMs as alive", len(all[0].Live()), size)
			}
		}
		// The membership updates of the start are still being disseminated for a while.
		time.Sleep(3 * time.Second)
		bytes := counter.bytes.Load()
		share := cpuShare()
		return figures{
			"cores/VM": share / float64(size),
			"B/s":      float64(counter.bytes.Load()-bytes) / measureDuration.Seconds(),
		}
	})
}

// BenchmarkSlopeMember measures the memory of the membership table by the number of VMs.
func BenchmarkSlopeMember(b *testing.B) {
	slope(b, []int{250, 500, 1000, 2500}, func(size int) figures {
		before := memory()
		table := member.New(member.Member{ID: "self"})
		for i := range size {
			table.Apply(member.Member{ID: fmt.Sprintf("vm%04d", i), Address: "10.0.0.1:6433", Zone: "zone1", Incarnation: 1}, time.Now())
		}
		live := table.Live()
		used := memory() - before
		runtime.KeepAlive(table)
		return figures{"B": float64(used), "live": float64(len(live))}
	})
}

// newState returns a configuration with the given number of groups of three slots.
func newState(groups int) ticket.State {
	first := ticket.Ticket{Number: 1, ID: "first", Upstreams: []ticket.Upstream{{Name: "ledger1"}}}
	for i := range groups {
		group := ticket.Group{Name: fmt.Sprintf("ledger1.db%05d", i), Upstream: "ledger1", ConnectionLimit: 25}
		for s := range 3 {
			group.Slots = append(group.Slots, ticket.Slot{
				Name: string(rune('a' + s)), Address: fmt.Sprintf("10.%d.%d.%d:5432", s, i/250, i%250), Control: fmt.Sprintf("10.%d.%d.%d:8008", s, i/250, i%250), Zone: "zone" + strconv.Itoa(s),
			})
		}
		first.Groups = append(first.Groups, group)
	}
	state, err := ticket.State{}.With(first)
	if err != nil {
		panic(err)
	}
	return state
}

// BenchmarkSlopeTicket measures the time to apply a ticket of one group, and the memory
// of the configuration, by the number of groups in the configuration.
func BenchmarkSlopeTicket(b *testing.B) {
	slope(b, []int{2750, 5500, 11000, 22000}, func(size int) figures {
		before := memory()
		state := newState(size)
		used := memory() - before
		change := ticket.Ticket{Number: 2, ID: "change", Groups: []ticket.Group{state.Groups["ledger1.db00001"]}}
		const rounds = 20
		began := time.Now()
		for range rounds {
			if _, err := state.With(change); err != nil {
				b.Fatal(err)
			}
		}
		return figures{"us": float64(time.Since(began).Microseconds()) / rounds, "B": float64(used)}
	})
}

// BenchmarkSlopeRelay measures the cost of sending a ticket to followers that wait for
// it, by the number of followers.
func BenchmarkSlopeRelay(b *testing.B) {
	slope(b, []int{25, 50, 100, 200}, func(size int) figures {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		const tickets = 50
		next := make(chan struct{})
		source := newSource(next, tickets)
		go func() { _ = source.Run(ctx) }()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		key := []byte("a key of at least 16 bytes")
		server := &peer.Server{Listener: listener, Key: key, Handler: sourceHandler{relay: source}}
		go func() { _ = server.Run(ctx) }()
		counter := &byteCounter{}
		done := make(chan struct{}, size)
		for range size {
			client := &peer.Client{Key: key, Dial: counter.dial}
			go followTickets(ctx, client, listener.Addr().String(), tickets, done)
		}
		time.Sleep(500 * time.Millisecond)
		before, bytes := cpuSeconds(), counter.bytes.Load()
		for range tickets {
			next <- struct{}{}
		}
		for range size {
			<-done
		}
		return figures{
			"us/ticket": (cpuSeconds() - before) * 1e6 / tickets,
			"B/ticket":  float64(counter.bytes.Load()-bytes) / tickets,
		}
	})
}

// newSource returns a relay that receives one ticket for each value from next, up to the
// number tickets.
func newSource(next chan struct{}, tickets int) *relay.Relay {
	return &relay.Relay{
		Store: &httpkv.Client{}, Clock: clock.System{}, Stats: &stats.Stats{},
		WatchesStore: func() bool { return false },
		QueryPeer: func(ctx context.Context, query peer.TicketQuery) (peer.TicketReply, string, error) {
			if query.After >= uint64(tickets) {
				<-ctx.Done()
				return peer.TicketReply{}, "", ctx.Err()
			}
			<-next
			group := exampleGroup
			return peer.TicketReply{Tickets: []ticket.Ticket{{Number: query.After + 1, ID: "t", Upstreams: []ticket.Upstream{{Name: "ledger1"}}, Groups: []ticket.Group{group}}}}, "store", nil
		},
		OnChange: func(ticket.State) {},
	}
}

// exampleGroup is the group that the tickets of BenchmarkSlopeRelay change.
var exampleGroup = newState(1).Groups["ledger1.db00000"]

// sourceHandler answers ticket queries of peers from a relay.
type sourceHandler struct {
	peer.Handler
	relay *relay.Relay
}

func (handler sourceHandler) Tickets(ctx context.Context, query peer.TicketQuery) peer.TicketReply {
	return handler.relay.ServeQuery(ctx, query)
}

// followTickets queries for tickets until it has received the given number.
func followTickets(ctx context.Context, client *peer.Client, address string, tickets int, done chan<- struct{}) {
	for received := 0; received < tickets; {
		reply, err := client.Tickets(ctx, address, peer.TicketQuery{After: uint64(received), Wait: time.Second})
		if err != nil {
			continue
		}
		received += len(reply.Tickets)
	}
	done <- struct{}{}
}

// BenchmarkSlopeStore measures the calls of the store by the number of idle relays that
// follow it. A watch that waits for a change counts as one call.
func BenchmarkSlopeStore(b *testing.B) {
	slope(b, []int{4, 8, 16, 32}, func(size int) figures {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		server := &fakekv.Server{}
		if err := server.Start("127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		defer server.Stop()
		for range size {
			relay := &relay.Relay{
				Store: &httpkv.Client{Base: server.URL()}, Clock: clock.System{}, Stats: &stats.Stats{},
				WatchesStore: func() bool { return true },
				OnChange:     func(ticket.State) {},
			}
			go func() { _ = relay.Run(ctx) }()
		}
		time.Sleep(500 * time.Millisecond)
		before := server.Calls.Load()
		const window = 21 * time.Second
		time.Sleep(window)
		return figures{"calls/s": float64(server.Calls.Load()-before) / window.Seconds()}
	})
}

// BenchmarkSlopeRoute measures the time of a routing decision by the number of slots.
func BenchmarkSlopeRoute(b *testing.B) {
	slope(b, []int{3, 5, 9, 15}, func(size int) figures {
		now := time.Now()
		candidates := make([]route.Candidate, size)
		for i := range candidates {
			position := posn.Position{Term: 1, LSN: 9}
			candidates[i].Slot = view.Slot{
				Report:           quorum.Report{Slot: string(rune('a' + i)), Sealed: 1, LastPosition: position, Primary: i == 0},
				ObservedPosition: position, LastAnswerAt: now,
			}
		}
		query := route.Query{MinPosition: posn.Position{Term: 1, LSN: 5}, MaxSilence: time.Second, Now: now}
		const rounds = 200_000
		began := time.Now()
		for range rounds {
			route.Choose(query, candidates)
		}
		return figures{"ns": float64(time.Since(began).Nanoseconds()) / rounds}
	})
}

// BenchmarkSlopeOwner measures the time to find the owner of a group by the number of VMs.
func BenchmarkSlopeOwner(b *testing.B) {
	slope(b, []int{250, 500, 1000, 2500}, func(size int) figures {
		vms := make([]string, size)
		for i := range vms {
			vms[i] = fmt.Sprintf("vm%04d", i)
		}
		const rounds = 500
		began := time.Now()
		for i := range rounds {
			owner.Of(strconv.Itoa(i), vms)
		}
		return figures{"us": float64(time.Since(began).Nanoseconds()) / rounds / 1000}
	})
}
