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
	"github.com/bramleydoor/bramleydoor/promo"
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
	startup  proto.Startup
	isClosed atomic.Bool
}

func (caller *caller) Close() error         { caller.isClosed.Store(true); return nil }
func (caller *caller) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func readStartup(conn net.Conn) (proto.CallerConn, proto.Startup, error) {
	caller, ok := conn.(*caller)
	if !ok {
		return nil, proto.Startup{}, errors.New("connection is not a caller of the test")
	}
	return caller.conn, caller.startup, nil
}

// cutTree is a VM's connection to the store, which a test can cut.
type cutTree struct {
	store.Tree
	isCut atomic.Bool
	// isKilled is set once the VM's process has been killed.
	isKilled *atomic.Bool
}

// unlessCut waits for the time of a call without an answer if the connection is cut.
func (tree *cutTree) unlessCut(ctx context.Context) error {
	if !tree.isCut.Load() && !tree.isKilled.Load() {
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
	// vmsMu guards vms while processes are killed and started again.
	vmsMu sync.Mutex
	vms   []*testVM
	// killed has the processes that were killed and started again.
	killed []*testVM
	// teams is the number of teams in the configuration.
	teams int
	// others has the groups with databases besides upstream, by name.
	others   map[string]*fakeup.Upstream
	othersMu sync.Mutex
}

// addUpstream adds the databases of another group of the configuration.
func (fleet *fleet) addUpstream(name string) {
	added := fakeup.New(name)
	fleet.othersMu.Lock()
	fleet.others[name] = added
	fleet.othersMu.Unlock()
	for _, member := range added.Members() {
		member.ID = name + "-" + member.ID
		fleet.register(member)
	}
}

// groupDialer connects a VM to the databases of all groups.
type groupDialer struct {
	fleet    *fleet
	vm       string
	isKilled *atomic.Bool
}

// processConn is a connection that ends with its process.
type processConn struct {
	proto.DatabaseConn
	isKilled *atomic.Bool
}

func (conn processConn) Ask(request proto.Request, timeout time.Duration) (proto.Answer, error) {
	if conn.isKilled.Load() {
		return proto.Answer{}, proto.ErrLost
	}
	return conn.DatabaseConn.Ask(request, timeout)
}

func (conn processConn) AskAll(requests []proto.Request, timeout time.Duration) ([]proto.Answer, error) {
	if conn.isKilled.Load() {
		return nil, proto.ErrLost
	}
	return conn.DatabaseConn.AskAll(requests, timeout)
}

// processPromoter sends the orders of one process.
type processPromoter struct {
	upstream *fakeup.Upstream
	isKilled *atomic.Bool
}

func (promoter processPromoter) Promote(ctx context.Context, order promo.Order) error {
	if promoter.isKilled.Load() {
		return promo.ErrNotSent
	}
	return promoter.upstream.Promote(ctx, order)
}

func (dialer groupDialer) Dial(member dbset.Member, team string, timeout time.Duration) (proto.DatabaseConn, proto.Answer, error) {
	if dialer.isKilled.Load() {
		return nil, proto.Answer{}, proto.ErrLost
	}
	dialer.fleet.othersMu.Lock()
	upstream, ok := dialer.fleet.others[member.Group]
	dialer.fleet.othersMu.Unlock()
	if !ok {
		upstream = dialer.fleet.upstream
	}
	member.ID = strings.TrimPrefix(member.ID, member.Group+"-")
	conn, answer, err := upstream.DialerFrom(dialer.vm).Dial(member, team, timeout)
	if conn == nil {
		return nil, answer, err
	}
	return processConn{conn, dialer.isKilled}, answer, err
}

type testVM struct {
	vm       *vmrun.VM
	name     string
	number   int
	isKilled *atomic.Bool
	listener *listener
	store    *cutTree
	stop     context.CancelFunc
	done     chan struct{}
}

func newFleet(count int) *fleet { return newFleetWithTeams(count, 0) }

func newFleetWithTeams(count, teams int) *fleet {
	fleet := startFleet(count, teams, 1)
	time.Sleep(5 * time.Second)
	return fleet
}

// startFleet starts VMs at the same time, with a version of the configuration.
func startFleet(count, teams int, version uint64) *fleet {
	fleet := &fleet{
		teams: teams, tree: &fakekv.Tree{}, upstream: fakeup.New("ledger"), others: make(map[string]*fakeup.Upstream),
		network: &network{
			queues: make(map[string]chan packet), blocked: make(map[string]bool), peers: make(map[string]*netsim.PipeListener),
			sent: make(map[string]int), traffic: make(map[string]int), connected: make(map[string]int), losses: make(map[string]int),
		},
	}
	fleet.configure(version)
	fleet.registerAll()
	for range count {
		fleet.start()
	}
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

// withGroups returns a configuration's version with a number of groups without databases.
func withGroups(version, groups uint64) uint64 { return version<<16 | groups<<8 }

func decodeConfig(value []byte) (*config.Config, error) {
	var version uint64
	if err := json.Unmarshal(value, &version); err != nil {
		return decodeConfigWithTeams(value)
	}
	route := config.Route{Upstream: "ledger", Timeout: time.Second, MaxStaleness: 1500 * time.Millisecond}
	upstreams := map[string]config.Upstream{"ledger": {Name: "ledger", MaxConnections: 30}}
	hasTeams := version>>8 == teamsVersion>>8
	for i := range version >> 8 & 0xff {
		if hasTeams {
			break
		}
		name := fmt.Sprintf("group%d", i)
		upstreams[name] = config.Upstream{Name: name, MaxConnections: 30}
	}
	decoded := &config.Config{
		Version:   version,
		Routes:    map[string]config.Route{"current": route, fmt.Sprintf("v%d", version): route},
		Upstreams: upstreams,
		Limits:    config.Limits{TransactionIdle: 3 * time.Second},
	}
	if hasTeams {
		decoded.Teams = map[string]config.Team{"red": redTeam, "blue": blueTeam}
		decoded.TeamsByKey = map[config.KeyHash]string{config.HashKey("red"): "red", config.HashKey("blue"): "blue"}
	}
	return decoded, nil
}

func (fleet *fleet) decodeConfig(value []byte) (*config.Config, error) {
	decoded, err := decodeConfig(value)
	if err == nil && fleet.upstream.SyncReplicas > 0 {
		decoded.Upstreams["ledger"] = config.Upstream{Name: "ledger", MaxConnections: 30, SyncReplicas: fleet.upstream.SyncReplicas}
	}
	if err == nil && fleet.teams > 0 {
		decoded.Teams = make(map[string]config.Team)
		for i := range fleet.teams {
			name := fmt.Sprintf("team%d", i)
			decoded.Teams[name] = config.Team{Name: name}
		}
		// The callers of these tests send no key.
		decoded.TeamsByKey = map[config.KeyHash]string{config.HashKey(""): "team0"}
	}
	return decoded, err
}

func decodeMember(_ string, value []byte) (dbset.Member, error) {
	var member dbset.Member
	err := json.Unmarshal(value, &member)
	return member, err
}

func (fleet *fleet) start() *testVM {
	started := fleet.startProcess(len(fleet.vms) + 1)
	fleet.vms = append(fleet.vms, started)
	return started
}

// kill ends the VM's process: from now on it reaches nothing and nobody.
func (testVM *testVM) kill() {
	testVM.isKilled.Store(true)
	testVM.stop()
}

// restart starts a killed process again, at the same address.
func (fleet *fleet) restart(killed *testVM) *testVM {
	started := fleet.startProcess(killed.number)
	fleet.vmsMu.Lock()
	defer fleet.vmsMu.Unlock()
	fleet.killed = append(fleet.killed, killed)
	fleet.vms[killed.number-1] = started
	return started
}

func (fleet *fleet) startProcess(number int) *testVM {
	ip := fmt.Sprintf("10.0.%d.%d", number>>8, number&0xff)
	name := fmt.Sprintf("vm%d", number)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if os.Getenv("BRAMLEYDOOR_TEST_LOG") != "" {
		logger.SetOutput(os.Stderr)
	}
	isKilled := &atomic.Bool{}
	started := &testVM{
		name: name, number: number, done: make(chan struct{}), isKilled: isKilled,
		listener: &listener{conns: make(chan net.Conn), closed: make(chan struct{})},
		store:    &cutTree{Tree: fleet.tree, isKilled: isKilled},
	}
	started.vm = &vmrun.VM{
		Adapter: vmrun.Adapter{
			Store: started.store, Dialer: groupDialer{fleet: fleet, vm: name, isKilled: isKilled},
			Promoter:  processPromoter{fleet.upstream, isKilled},
			ConfigKey: configKey, MemberPrefix: memberPrefix,
			DecodeConfig: fleet.decodeConfig, DecodeMember: decodeMember, ReadStartup: readStartup,
		},
		Name: name, Address: ip, Zone: "zone-a", ShutdownTimeout: 6 * time.Second,
		PeerConn: fleet.network.open(ip, isKilled), PeerPort: 7440, Listener: started.listener,
		PeerListener: fleet.network.listen(ip), DialPeer: fleet.network.dialFrom(ip),
		Clock: clock.System{}, Log: event.NewLog(logger, name), Stats: &stats.Stats{},
	}
	ctx, stop := context.WithCancel(context.Background())
	started.stop = stop
	go func() {
		defer close(started.done)
		_ = started.vm.Run(ctx)
	}()
	return started
}

func (fleet *fleet) close() {
	for _, testVM := range fleet.vms {
		testVM.stop()
	}
	for _, testVM := range append(fleet.vms, fleet.killed...) {
		<-testVM.done
	}
	synctest.Wait()
}

// open opens a session at a VM.
func (testVM *testVM) open(database string) (*fakeup.CallerConn, proto.Answer) {
	return testVM.openWithKey(database, "")
}

func (testVM *testVM) openWithKey(database, key string) (*fakeup.CallerConn, proto.Answer) {
	callerConn := fakeup.NewCallerConn()
	callerConn.EndWith(testVM.done)
	select {
	case testVM.listener.conns <- &caller{conn: callerConn, startup: proto.Startup{Database: database, Key: key}}:
	case <-testVM.done:
	}
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
	fleet.vmsMu.Lock()
	defer fleet.vmsMu.Unlock()
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
	fleet.vmsMu.Lock()
	defer fleet.vmsMu.Unlock()
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
