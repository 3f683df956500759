package vmrun_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/netsim"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/store"
	"github.com/bramleydoor/bramleydoor/vmrun"
)

// failoverTarget is the longest time that the users allow for a change of primary.
const failoverTarget = 10 * time.Second

const (
	configKey    = "config"
	memberPrefix = "members/"
)

// network carries datagrams between the VMs' sockets. It drops those from and to the
// IP addresses in blocked, except what a VM sends to itself.
type network struct {
	mu      sync.Mutex
	queues  map[string]chan packet
	blocked map[string]bool
	// peers has the listeners for forwarded requests, by IP address.
	peers map[string]*netsim.PipeListener
}

// listen returns the listener for forwarded requests of an IP address.
func (network *network) listen(ip string) *netsim.PipeListener {
	network.mu.Lock()
	defer network.mu.Unlock()
	listener := &netsim.PipeListener{}
	listener.Open()
	network.peers[ip] = listener
	return listener
}

// dialFrom returns the function by which the VM at an IP address connects to others.
func (network *network) dialFrom(from string) func(ctx context.Context, vm string) (net.Conn, error) {
	return func(ctx context.Context, vm string) (net.Conn, error) {
		_, ip, _ := strings.Cut(vm, "@")
		network.mu.Lock()
		listener, isBlocked := network.peers[ip], network.blocked[ip] || network.blocked[from]
		network.mu.Unlock()
		if listener == nil || isBlocked {
			return nil, syscall.ECONNREFUSED
		}
		return listener.Dial(ctx)
	}
}

type packet struct {
	data []byte
	from net.Addr
}

type socket struct {
	net.PacketConn
	network *network
	address *net.UDPAddr
	queue   chan packet
	once    sync.Once
	closed  chan struct{}
}

func (network *network) open(ip string) *socket {
	network.mu.Lock()
	defer network.mu.Unlock()
	address := &net.UDPAddr{IP: net.ParseIP(ip), Port: 7440}
	opened := &socket{network: network, address: address, queue: make(chan packet, 256), closed: make(chan struct{})}
	network.queues[ip] = opened.queue
	return opened
}

func (socket *socket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case next := <-socket.queue:
		return copy(buffer, next.data), next.from, nil
	case <-socket.closed:
		return 0, nil, net.ErrClosed
	}
}

func (socket *socket) WriteTo(data []byte, to net.Addr) (int, error) {
	socket.network.mu.Lock()
	defer socket.network.mu.Unlock()
	ip := to.(*net.UDPAddr).IP.String()
	own := socket.address.IP.String()
	if ip != own && (socket.network.blocked[ip] || socket.network.blocked[own]) {
		return len(data), nil
	}
	select {
	case socket.network.queues[ip] <- packet{data: append([]byte(nil), data...), from: socket.address}:
	default:
	}
	return len(data), nil
}

func (socket *socket) Close() error {
	socket.once.Do(func() { close(socket.closed) })
	return nil
}

// listener accepts the connections that a test puts into conns.
type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (listener *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *listener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

func (listener *listener) Addr() net.Addr { return &net.TCPAddr{} }

// caller is a connection that carries a fake proto.CallerConn instead of bytes.
type caller struct {
	net.Conn
	conn     *fakeup.CallerConn
	database string
}

func (caller *caller) Close() error         { return nil }
func (caller *caller) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func readStartup(conn net.Conn) (proto.CallerConn, string, error) {
	caller, ok := conn.(*caller)
	if !ok {
		return nil, "", errors.New("connection is not a caller of the test")
	}
	return caller.conn, caller.database, nil
}

// cutTree is a VM's connection to the store, which a test can cut.
type cutTree struct {
	store.Tree
	isCut atomic.Bool
}

// unlessCut waits for the time of a call without an answer if the connection is cut.
func (tree *cutTree) unlessCut(ctx context.Context) error {
	if !tree.isCut.Load() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(1500 * time.Millisecond):
	}
	return store.ErrUncertain
}

func (tree *cutTree) Range(ctx context.Context, prefix string, allowStale bool) ([]store.Item, uint64, error) {
	if err := tree.unlessCut(ctx); err != nil {
		return nil, 0, err
	}
	return tree.Tree.Range(ctx, prefix, allowStale)
}

func (tree *cutTree) Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) ([]store.Change, uint64, error) {
	if err := tree.unlessCut(ctx); err != nil {
		return nil, 0, err
	}
	return tree.Tree.Watch(ctx, prefix, after, timeout)
}

func (tree *cutTree) Swap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	if err := tree.unlessCut(ctx); err != nil {
		return store.Item{}, err
	}
	return tree.Tree.Swap(ctx, key, value, revision)
}

// fleet runs VMs in front of one upstream, in a synctest bubble.
type fleet struct {
	tree     *fakekv.Tree
	upstream *fakeup.Upstream
	network  *network
	vms      []*testVM
}

type testVM struct {
	vm       *vmrun.VM
	name     string
	listener *listener
	store    *cutTree
	stop     context.CancelFunc
	done     chan struct{}
}

func newFleet(count int) *fleet {
	fleet := &fleet{
		tree: &fakekv.Tree{}, upstream: fakeup.New("ledger"),
		network: &network{
			queues: make(map[string]chan packet), blocked: make(map[string]bool), peers: make(map[string]*netsim.PipeListener),
		},
	}
	fleet.configure(1)
	fleet.registerAll()
	for range count {
		fleet.start()
	}
	time.Sleep(5 * time.Second)
	return fleet
}

func (fleet *fleet) configure(version uint64) {
	fleet.tree.Set(configKey, []byte(fmt.Sprint(version)))
}

// registerAll writes the registrations of all databases.
func (fleet *fleet) registerAll() {
	for _, member := range fleet.upstream.Members() {
		fleet.register(member)
	}
}

func (fleet *fleet) register(member dbset.Member) {
	value, err := json.Marshal(member)
	if err != nil {
		panic(err)
	}
	fleet.tree.Set(memberPrefix+member.ID, value)
}

func decodeConfig(value []byte) (*config.Config, error) {
	var version uint64
	if err := json.Unmarshal(value, &version); err != nil {
		return nil, err
	}
	route := config.Route{Upstream: "ledger", Timeout: time.Second, MaxStaleness: 1500 * time.Millisecond}
	return &config.Config{
		Version:   version,
		Routes:    map[string]config.Route{"current": route, fmt.Sprintf("v%d", version): route},
		Upstreams: map[string]config.Upstream{"ledger": {Name: "ledger", MaxConnections: 30}},
		Limits:    config.Limits{TransactionIdle: 3 * time.Second},
	}, nil
}

func decodeMember(_ string, value []byte) (dbset.Member, error) {
	var member dbset.Member
	err := json.Unmarshal(value, &member)
	return member, err
}

func (fleet *fleet) start() *testVM {
	number := len(fleet.vms) + 1
	ip := fmt.Sprintf("10.0.0.%d", number)
	name := fmt.Sprintf("vm%d", number)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if os.Getenv("BRAMLEYDOOR_TEST_LOG") != "" {
		logger.SetOutput(os.Stderr)
	}
	started := &testVM{
		name: name, done: make(chan struct{}),
		listener: &listener{conns: make(chan net.Conn), closed: make(chan struct{})},
		store:    &cutTree{Tree: fleet.tree},
	}
	started.vm = &vmrun.VM{
		Adapter: vmrun.Adapter{
			Store: started.store, Dialer: fleet.upstream.DialerFrom(name), Promoter: fleet.upstream,
			ConfigKey: configKey, MemberPrefix: memberPrefix,
			DecodeConfig: decodeConfig, DecodeMember: decodeMember, ReadStartup: readStartup,
		},
		Name: name, Address: ip, Zone: "zone-a", ShutdownTimeout: 6 * time.Second,
		PeerConn: fleet.network.open(ip), PeerPort: 7440, Listener: started.listener,
		PeerListener: fleet.network.listen(ip), DialPeer: fleet.network.dialFrom(ip),
		Clock: clock.System{}, Log: event.NewLog(logger, name), Stats: &stats.Stats{},
	}
	ctx, stop := context.WithCancel(context.Background())
	started.stop = stop
	go func() {
		defer close(started.done)
		_ = started.vm.Run(ctx)
	}()
	fleet.vms = append(fleet.vms, started)
	return started
}

func (fleet *fleet) close() {
	for _, testVM := range fleet.vms {
		testVM.stop()
	}
	for _, testVM := range fleet.vms {
		<-testVM.done
	}
	synctest.Wait()
}

// open opens a session at a VM.
func (testVM *testVM) open(database string) (*fakeup.CallerConn, proto.Answer) {
	callerConn := fakeup.NewCallerConn()
	testVM.listener.conns <- &caller{conn: callerConn, database: database}
	return callerConn, callerConn.Start()
}

// tryWrite makes one write at a VM and returns the code of its answer.
func (testVM *testVM) tryWrite() proto.Code { return testVM.try(proto.Write{}, "WRITE x 1") }

func (testVM *testVM) try(statement proto.Statement, text string) proto.Code {
	callerConn, answer := testVM.open("current")
	if answer.Code != proto.OK {
		return answer.Code
	}
	defer callerConn.Leave()
	return callerConn.Ask(statement, text).Code
}

// writeGap retries writes at a VM and returns the time until one succeeds, at most
// about 30 s.
func (testVM *testVM) writeGap() time.Duration {
	began := time.Now()
	for testVM.tryWrite() != proto.OK {
		if time.Since(began) > 30*time.Second {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

func (fleet *fleet) leader() *testVM {
	for _, testVM := range fleet.vms {
		if testVM.vm.IsLeader() {
			return testVM
		}
	}
	return nil
}

// nonLeader returns a VM that is not the leader.
func (fleet *fleet) nonLeader() *testVM {
	leader := fleet.leader()
	for _, testVM := range fleet.vms {
		if testVM != leader {
			return testVM
		}
	}
	return nil
}

func withFleet(t *testing.T, test func(c *qt.C, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(3)
		defer fleet.close()
		test(qt.New(t), fleet)
	})
}

// Rules 8 and 10: after the primary stops or no longer answers, a replica is promoted
// and writes succeed again within two seconds.
func TestFailedPrimaryIsReplaced(t *testing.T) {
	for name, fail := range map[string]func(*fakeup.Database){
		"stopped": func(database *fakeup.Database) { database.IsDown = true },
		"dark":    func(database *fakeup.Database) { database.IsUnresponsive = true },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(c *qt.C, fleet *fleet) {
				c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
				fleet.upstream.Do("a", fail)
				gap := fleet.nonLeader().writeGap()
				c.Assert(gap < 2*time.Second, qt.IsTrue, qt.Commentf("gap %s", gap))
				orders := fleet.upstream.Orders()
				c.Assert(orders, qt.HasLen, 1)
				c.Assert(orders[0].Leader, qt.Equals, fleet.leader().name)
			})
		})
	}
}

// Rule 8: the replica with the latest received position is promoted.
func TestMostAdvancedReplicaIsPromoted(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsReplicationStopped = true })
		c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		fleet.nonLeader().writeGap()
		c.Assert(fleet.upstream.Primary(), qt.Equals, "c")
	})
}

// Rule 8: a replica that is known to be ahead of the others is still promoted if it
// doesn't answer the first seal requests.
func TestUnresponsiveReplicaIsRetried(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsReplicationStopped = true })
		for range 20 {
			c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
			c.Assert(fleet.leader().tryWrite(), qt.Equals, proto.OK)
		}
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsUnresponsive = true })
		time.AfterFunc(900*time.Millisecond, func() {
			fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsUnresponsive = false })
		})
		gap := fleet.nonLeader().writeGap()
		c.Assert(fleet.upstream.Primary(), qt.Equals, "c")
		c.Assert(gap < 3*time.Second, qt.IsTrue, qt.Commentf("gap %s", gap))
	})
}

// Rule 18: while a leaving primary is replaced, each write either succeeds or
// certainly did not run.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		leaving := fleet.upstream.Members()[0]
		leaving.Leaving = true
		fleet.register(leaving)
		for range 100 {
			code := fleet.nonLeader().tryWrite()
			c.Assert(code == proto.OK || code.DidNotRun(), qt.IsTrue, qt.Commentf("%s", code))
			time.Sleep(20 * time.Millisecond)
		}
		c.Assert(fleet.upstream.Primary(), qt.Not(qt.Equals), "a")
		c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
	})
}

// isolate partitions a VM that is not the leader from the other VMs, and returns it.
func (fleet *fleet) isolate() *testVM {
	isolated := fleet.nonLeader()
	fleet.network.mu.Lock()
	defer fleet.network.mu.Unlock()
	fleet.network.blocked[isolated.vm.Address] = true
	return isolated
}

// partitionPrimaryFromAllBut makes the primary a unreachable for all VMs but one.
func (fleet *fleet) partitionPrimaryFromAllBut(only *testVM) {
	blocked := make(map[string]bool)
	for _, testVM := range fleet.vms {
		blocked[testVM.name] = testVM != only
	}
	fleet.upstream.Do("a", func(database *fakeup.Database) { database.UnreachableFrom = blocked })
}

// checkFailover makes requests at a VM while the primary a is replaced. It fails if the
// VM returns the result of a statement that a ran after it was replaced, or if a is
// still the primary at the end.
func (fleet *fleet) checkFailover(c *qt.C, testVM *testVM, statement proto.Statement, requests int, pause time.Duration) {
	text := "READ x"
	if _, ok := statement.(proto.Write); ok {
		text = "WRITE x 1"
	}
	for range requests {
		primary := fleet.upstream.Primary()
		before := len(fleet.upstream.Runs())
		if testVM.try(statement, text) == proto.OK {
			runs := fleet.upstream.Runs()[before:]
			c.Assert(runs[len(runs)-1].Database == "a" && primary != "a", qt.IsFalse, qt.Commentf("%s", text))
		}
		time.Sleep(pause)
	}
	c.Assert(fleet.upstream.Primary(), qt.Not(qt.Equals), "a")
}

// Rule 7: if the leader can't reach the primary but another VM can, no write that the
// former primary runs after the promotion is confirmed.
func TestFormerPrimaryIsNotUsed(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.partitionPrimaryFromAllBut(fleet.nonLeader())
		fleet.checkFailover(c, fleet.nonLeader(), proto.Write{}, 200, 10*time.Millisecond)
	})
}

// Rule 7: a VM that is partitioned from the other VMs stops using the primary before
// another is promoted.
func TestIsolatedVM(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		isolated := fleet.isolate()
		fleet.partitionPrimaryFromAllBut(isolated)
		fleet.checkFailover(c, isolated, proto.Write{}, 300, 10*time.Millisecond)
	})
}

// Rule 7: a promotion waits until the evidence of every VM has expired, also of one
// whose lease ended long before and that relies on replicas' reports. The test reads,
// since a write would wait for an acknowledgement.
func TestPromotionWaitsForEvidence(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		isolated := fleet.isolate()
		time.Sleep(4 * time.Second)
		c.Assert(isolated.tryWrite(), qt.Equals, proto.OK)
		fleet.partitionPrimaryFromAllBut(isolated)
		fleet.checkFailover(c, isolated, proto.Read{}, 600, 2*time.Millisecond)
	})
}

// Rules 7 and 8: confirmed writes are not rolled back when the primary is lost after
// its replicas have received nothing for a while.
func TestConfirmedWritesSurviveFailover(t *testing.T) {
	for name, failing := range map[string]func(fleet *fleet){
		"primary stops while replicas receive nothing": func(fleet *fleet) {
			time.AfterFunc(500*time.Millisecond, func() {
				fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
			})
		},
		"leader is partitioned from the primary while replicas receive nothing": func(fleet *fleet) {
			blocked := map[string]bool{fleet.leader().name: true}
			fleet.upstream.Do("a", func(database *fakeup.Database) { database.UnreachableFrom = blocked })
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(c *qt.C, fleet *fleet) {
				for _, replica := range []string{"b", "c"} {
					fleet.upstream.Do(replica, func(database *fakeup.Database) { database.IsReplicationStopped = true })
				}
				failing(fleet)
				var confirmed int
				for range 40 {
					if fleet.nonLeader().tryWrite() == proto.OK {
						confirmed++
					}
					time.Sleep(10 * time.Millisecond)
				}
				c.Assert(fleet.upstream.Primary(), qt.Not(qt.Equals), "a")
				var kept int
				for _, run := range fleet.upstream.Runs() {
					if !run.Committed.IsZero() && (run.Committed.Term > 1 || fleet.upstream.Terms()[0].Start.AtLeast(run.Committed)) {
						kept++
					}
				}
				c.Assert(confirmed <= kept, qt.IsTrue, qt.Commentf("%d confirmed, %d kept", confirmed, kept))
			})
		})
	}
}

// Rules 7 and 9, load: a network partition leaves the primary and the leader on one side, and
// the replicas, the store and the other VMs on the other, while callers write on both sides.
// No write is confirmed that the promotion rolls back, and writes succeed again within
// failoverTarget.
func TestLeaderPartitionedWithPrimary(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		minority := fleet.leader()
		fleet.partitionPrimaryFromAllBut(minority)
		for _, replica := range []string{"b", "c"} {
			fleet.upstream.Do(replica, func(database *fakeup.Database) {
				database.IsReplicationStopped = true
				database.UnreachableFrom = map[string]bool{minority.name: true}
			})
		}
		fleet.network.mu.Lock()
		fleet.network.blocked[minority.vm.Address] = true
		fleet.network.mu.Unlock()
		minority.store.isCut.Store(true)
		began := time.Now()
		var confirmed atomic.Int32
		var writers sync.WaitGroup
		for range 5 {
			writers.Go(func() {
				for time.Since(began) < 8*time.Second {
					if minority.tryWrite() == proto.OK {
						confirmed.Add(1)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		majority := fleet.vms[0]
		if majority == minority {
			majority = fleet.vms[1]
		}
		for fleet.upstream.Primary() == "a" && time.Since(began) < 8*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		for _, replica := range []string{"b", "c"} {
			fleet.upstream.Do(replica, func(database *fakeup.Database) { database.IsReplicationStopped = false })
		}
		majority.writeGap()
		gap := time.Since(began)
		c.Check(gap < failoverTarget, qt.IsTrue, qt.Commentf("gap %s", gap))
		t.Logf("gap %s", gap)
		writers.Wait()
		var lost int
		for _, run := range fleet.upstream.Runs() {
			if run.Committed.Term == 1 && !fleet.upstream.Terms()[0].Start.AtLeast(run.Committed) {
				lost++
			}
		}
		c.Assert(lost > 0, qt.IsTrue)
		c.Assert(int(confirmed.Load()), qt.Equals, 0)
	})
}

// Rules 9 and 19: writes succeed while the leader has stopped and the store is down,
// and a failover still works once the store is back.
func TestLeaderAndStoreLost(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		other := fleet.nonLeader()
		fleet.tree.SetDown(true)
		leader := fleet.leader()
		leader.stop()
		for range 100 {
			c.Assert(other.tryWrite(), qt.Equals, proto.OK)
			time.Sleep(100 * time.Millisecond)
		}
		fleet.tree.SetDown(false)
		time.Sleep(5 * time.Second)
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		gap := other.writeGap()
		c.Assert(gap < 4*time.Second, qt.IsTrue, qt.Commentf("gap %s", gap))
	})
}

// A healthy primary whose registration lapsed in an outage of the store is not
// replaced.
func TestLapsedRegistration(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.SetDown(true)
		time.Sleep(3 * time.Second)
		fleet.tree.Remove(memberPrefix + "a")
		fleet.tree.SetDown(false)
		time.Sleep(1900 * time.Millisecond)
		fleet.registerAll()
		time.Sleep(5 * time.Second)
		c.Assert(fleet.upstream.Orders(), qt.HasLen, 0)
		c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
	})
}

// A database whose registration ends while the store is up counts as leaving: a
// primary is replaced.
func TestEndedRegistration(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.Remove(memberPrefix + "a")
		time.Sleep(3 * time.Second)
		c.Assert(fleet.upstream.Orders(), qt.HasLen, 1)
		c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
	})
}

// Rule 17: a configuration is in force within 3 s even if the watch doesn't answer and
// the store has discarded its history. An older configuration is never applied.
func TestUnresponsiveWatch(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.SetWatchUnresponsive(true)
		fleet.configure(5)
		fleet.tree.DropHistory()
		time.Sleep(3 * time.Second)
		callerConn, answer := fleet.nonLeader().open("v5")
		c.Assert(answer.Code, qt.Equals, proto.OK)
		callerConn.Leave()
		fleet.tree.SetWatchUnresponsive(false)
		fleet.configure(4)
		time.Sleep(3 * time.Second)
		_, answer = fleet.nonLeader().open("v4")
		c.Assert(answer.Code, qt.Equals, proto.UnknownDatabase)
	})
}

// A VM that starts while the store is down is ready soon after the store is back.
func TestStartWithoutStore(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.SetDown(true)
		late := fleet.start()
		time.Sleep(2 * time.Second)
		c.Assert(late.vm.IsReady(), qt.IsFalse)
		fleet.tree.SetDown(false)
		time.Sleep(time.Second)
		c.Assert(late.vm.IsReady(), qt.IsTrue)
		c.Assert(late.tryWrite(), qt.Equals, proto.OK)
	})
}

// A fleet that starts while the store doesn't answer serves soon after the store is
// back, without waiting for the timeout of the calls made before.
func TestStartWithUnresponsiveStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(0)
		defer fleet.close()
		fleet.tree.SetUnresponsive(true)
		for range 3 {
			fleet.start()
		}
		time.Sleep(200 * time.Millisecond)
		fleet.tree.SetUnresponsive(false)
		gap := fleet.vms[0].writeGap()
		c.Assert(gap < 800*time.Millisecond, qt.IsTrue, qt.Commentf("gap %s", gap))
	})
}
