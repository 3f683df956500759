package vmrun_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
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
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/vmrun"
	"github.com/bramleydoor/bramleydoor/wires"
)

const (
	configKey    = "config"
	memberPrefix = "members/"
)

// packets joins the VMs' datagram sockets.
type packets struct {
	mu    sync.Mutex
	boxes map[string]chan packet
	cut   map[string]bool
}

type packet struct {
	data []byte
	from net.Addr
}

type socket struct {
	net.PacketConn
	packets *packets
	address *net.UDPAddr
	box     chan packet
	once    sync.Once
	closed  chan struct{}
}

func (packets *packets) open(ip string) *socket {
	packets.mu.Lock()
	defer packets.mu.Unlock()
	address := &net.UDPAddr{IP: net.ParseIP(ip), Port: 7440}
	opened := &socket{packets: packets, address: address, box: make(chan packet, 256), closed: make(chan struct{})}
	packets.boxes[ip] = opened.box
	return opened
}

func (socket *socket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case next := <-socket.box:
		return copy(buffer, next.data), next.from, nil
	case <-socket.closed:
		return 0, nil, net.ErrClosed
	}
}

func (socket *socket) WriteTo(data []byte, to net.Addr) (int, error) {
	socket.packets.mu.Lock()
	defer socket.packets.mu.Unlock()
	ip := to.(*net.UDPAddr).IP.String()
	if socket.packets.cut[ip] || socket.packets.cut[socket.address.IP.String()] {
		return len(data), nil
	}
	select {
	case socket.packets.boxes[ip] <- packet{data: append([]byte(nil), data...), from: socket.address}:
	default:
	}
	return len(data), nil
}

func (socket *socket) Close() error {
	socket.once.Do(func() { close(socket.closed) })
	return nil
}

// door is a listener whose connections are callers of the test.
type door struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (door *door) Accept() (net.Conn, error) {
	select {
	case conn := <-door.conns:
		return conn, nil
	case <-door.closed:
		return nil, net.ErrClosed
	}
}

func (door *door) Close() error {
	door.once.Do(func() { close(door.closed) })
	return nil
}

func (door *door) Addr() net.Addr { return &net.TCPAddr{} }

// caller is a connection that carries a stand-in front.
type caller struct {
	net.Conn
	front    *fakeup.Front
	database string
}

func (caller *caller) Close() error         { return nil }
func (caller *caller) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func accept(conn net.Conn) (wires.Front, string, error) {
	caller, ok := conn.(*caller)
	if !ok {
		return nil, "", errors.New("not a caller")
	}
	return caller.front, caller.database, nil
}

// fleet is some VMs before one upstream, in a synctest bubble.
type fleet struct {
	tree     *fakekv.Tree
	upstream *fakeup.Upstream
	packets  *packets
	vms      []*running
}

type running struct {
	vm   *vmrun.VM
	name string
	door *door
	stop context.CancelFunc
	done chan struct{}
}

func newFleet(count int) *fleet {
	fleet := &fleet{
		tree: &fakekv.Tree{}, upstream: fakeup.New("ledger"),
		packets: &packets{boxes: make(map[string]chan packet), cut: make(map[string]bool)},
	}
	fleet.configure(1)
	fleet.register()
	for range count {
		fleet.start()
	}
	time.Sleep(5 * time.Second)
	return fleet
}

func (fleet *fleet) configure(version uint64) {
	fleet.tree.Set(configKey, []byte(fmt.Sprint(version)))
}

// register writes the registrations of all databases.
func (fleet *fleet) register() {
	for _, member := range fleet.upstream.Members() {
		fleet.set(member)
	}
}

func (fleet *fleet) set(member dbset.Member) {
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
	route := config.Route{Upstream: "ledger", Timeout: time.Second, MaxAge: 1500 * time.Millisecond}
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

func (fleet *fleet) start() *running {
	number := len(fleet.vms) + 1
	ip := fmt.Sprintf("10.0.0.%d", number)
	name := fmt.Sprintf("vm%d", number)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if os.Getenv("BRAMLEYDOOR_TEST_LOG") != "" {
		logger.SetOutput(os.Stderr)
	}
	started := &running{
		name: name, done: make(chan struct{}),
		door: &door{conns: make(chan net.Conn), closed: make(chan struct{})},
	}
	started.vm = &vmrun.VM{
		Adapter: vmrun.Adapter{
			Store: fleet.tree, Dialer: fleet.upstream.From(name), Orders: fleet.upstream,
			ConfigKey: configKey, MemberPrefix: memberPrefix,
			DecodeConfig: decodeConfig, DecodeMember: decodeMember, Accept: accept,
		},
		Name: name, Address: ip, Zone: "zone-a", Grace: 6 * time.Second,
		Peers: fleet.packets.open(ip), PeerPort: 7440, Listener: started.door,
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
	for _, vm := range fleet.vms {
		vm.stop()
	}
	for _, vm := range fleet.vms {
		<-vm.done
	}
	synctest.Wait()
}

// open opens a session at a VM.
func (vm *running) open(database string) (*fakeup.Front, wires.Answer) {
	front := fakeup.NewFront()
	vm.door.conns <- &caller{front: front, database: database}
	return front, front.Start()
}

// tryWrite makes one write at a VM.
func (vm *running) tryWrite() wires.Code { return vm.try(wires.Write{}, "WRITE x 1") }

func (vm *running) try(statement wires.Statement, text string) wires.Code {
	front, answer := vm.open("current")
	if answer.Code != wires.OK {
		return answer.Code
	}
	defer front.Leave()
	return front.Ask(statement, text).Code
}

// gap returns how long no write succeeds at a VM.
func (vm *running) gap() time.Duration {
	began := time.Now()
	for vm.tryWrite() != wires.OK {
		if time.Since(began) > 30*time.Second {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

func (fleet *fleet) keeper() *running {
	for _, vm := range fleet.vms {
		if vm.vm.IsKeeper() {
			return vm
		}
	}
	return nil
}

// other returns a VM that is not the keeper.
func (fleet *fleet) other() *running {
	keeper := fleet.keeper()
	for _, vm := range fleet.vms {
		if vm != keeper {
			return vm
		}
	}
	return nil
}

func within(t *testing.T, test func(c *qt.C, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(3)
		defer fleet.close()
		test(qt.New(t), fleet)
	})
}

// Rules 8 and 10: a primary that stops, or falls silent, is replaced; writes go on
// within two seconds.
func TestPrimaryIsReplaced(t *testing.T) {
	for name, fail := range map[string]func(*fakeup.Database){
		"stopped": func(database *fakeup.Database) { database.IsDown = true },
		"dark":    func(database *fakeup.Database) { database.IsDark = true },
	} {
		t.Run(name, func(t *testing.T) {
			within(t, func(c *qt.C, fleet *fleet) {
				c.Assert(fleet.other().tryWrite(), qt.Equals, wires.OK)
				fleet.upstream.Do("a", fail)
				gap := fleet.other().gap()
				c.Assert(gap < 2*time.Second, qt.IsTrue, qt.Commentf("gap %s", gap))
				orders := fleet.upstream.Orders()
				c.Assert(orders, qt.HasLen, 1)
				c.Assert(orders[0].Holder, qt.Equals, fleet.keeper().name)
			})
		})
	}
}

// Rule 8: of the replicas, the one that received the most is promoted.
func TestMostReceivedIsPromoted(t *testing.T) {
	within(t, func(c *qt.C, fleet *fleet) {
		fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsDeaf = true })
		c.Assert(fleet.other().tryWrite(), qt.Equals, wires.OK)
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		fleet.other().gap()
		c.Assert(fleet.upstream.Primary(), qt.Equals, "c")
	})
}

// Rule 8: a replica that is known to have more than the others is not passed over
// because it leaves the first requests to seal it unanswered.
func TestSilentReplicaIsTriedAgain(t *testing.T) {
	within(t, func(c *qt.C, fleet *fleet) {
		fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsDeaf = true })
		for range 20 {
			c.Assert(fleet.other().tryWrite(), qt.Equals, wires.OK)
			c.Assert(fleet.keeper().tryWrite(), qt.Equals, wires.OK)
		}
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsDark = true })
		time.AfterFunc(900*time.Millisecond, func() {
			fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsDark = false })
		})
		gap := fleet.other().gap()
		c.Assert(fleet.upstream.Primary(), qt.Equals, "c")
		c.Assert(gap < 3*time.Second, qt.IsTrue, qt.Commentf("gap %s", gap))
	})
}

// Rule 18: a primary that leaves is replaced without a write in doubt.
func TestPrimaryLeaves(t *testing.T) {
	within(t, func(c *qt.C, fleet *fleet) {
		leaving := fleet.upstream.Members()[0]
		leaving.Leaving = true
		fleet.set(leaving)
		for range 100 {
			code := fleet.other().tryWrite()
			c.Assert(code == wires.OK || code.DidNotRun(), qt.IsTrue, qt.Commentf("%s", code))
			time.Sleep(20 * time.Millisecond)
		}
		c.Assert(fleet.upstream.Primary(), qt.Not(qt.Equals), "a")
		c.Assert(fleet.other().tryWrite(), qt.Equals, wires.OK)
	})
}

// lonely returns a VM that hears nothing of the others from now on.
func (fleet *fleet) lonely() *running {
	lonely := fleet.other()
	fleet.packets.mu.Lock()
	defer fleet.packets.mu.Unlock()
	fleet.packets.cut[lonely.vm.Address] = true
	return lonely
}

// cutFromAllBut cuts the primary a off from all VMs but one.
func (fleet *fleet) cutFromAllBut(only *running) {
	cut := make(map[string]bool)
	for _, vm := range fleet.vms {
		cut[vm.name] = vm != only
	}
	fleet.upstream.Do("a", func(database *fakeup.Database) { database.CutFrom = cut })
}

// replaced makes requests at a VM until the primary a has been replaced: it answers
// with nothing that a ran after that.
func (fleet *fleet) replaced(c *qt.C, vm *running, statement wires.Statement, requests int, pause time.Duration) {
	text := "READ x"
	if _, ok := statement.(wires.Write); ok {
		text = "WRITE x 1"
	}
	for range requests {
		led := fleet.upstream.Primary()
		before := len(fleet.upstream.Runs())
		if vm.try(statement, text) == wires.OK {
			runs := fleet.upstream.Runs()[before:]
			c.Assert(runs[len(runs)-1].Database == "a" && led != "a", qt.IsFalse, qt.Commentf("%s", text))
		}
		time.Sleep(pause)
	}
	c.Assert(fleet.upstream.Primary(), qt.Not(qt.Equals), "a")
}

// Rule 7: with a primary that its keeper can't reach and others can, no write is
// confirmed that the former primary ran after the promotion.
func TestFormerPrimaryIsNotUsed(t *testing.T) {
	within(t, func(c *qt.C, fleet *fleet) {
		fleet.cutFromAllBut(fleet.other())
		fleet.replaced(c, fleet.other(), wires.Write{}, 200, 10*time.Millisecond)
	})
}

// Rule 7: a VM that hears nothing of the others stops using a primary before
// another is promoted.
func TestLonelyVM(t *testing.T) {
	within(t, func(c *qt.C, fleet *fleet) {
		lonely := fleet.lonely()
		fleet.cutFromAllBut(lonely)
		fleet.replaced(c, lonely, wires.Write{}, 300, 10*time.Millisecond)
	})
}

// Rule 7: a VM that has long gone by what replicas report is waited out too, though
// its grant ended before. A read shows it: a write would wait for a receipt.
func TestLonelyVMIsWaitedOut(t *testing.T) {
	within(t, func(c *qt.C, fleet *fleet) {
		lonely := fleet.lonely()
		time.Sleep(4 * time.Second)
		c.Assert(lonely.tryWrite(), qt.Equals, wires.OK)
		fleet.cutFromAllBut(lonely)
		fleet.replaced(c, lonely, wires.Read{}, 600, 2*time.Millisecond)
	})
}

// Rules 7 and 8: what is confirmed is not rolled back when a primary is lost that its
// replicas have not heard for a while.
func TestConfirmedIsKept(t *testing.T) {
	for name, failing := range map[string]func(fleet *fleet){
		"primary stops beside deaf replicas": func(fleet *fleet) {
			time.AfterFunc(500*time.Millisecond, func() {
				fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
			})
		},
		"keeper is cut off with the replicas": func(fleet *fleet) {
			cut := map[string]bool{fleet.keeper().name: true}
			fleet.upstream.Do("a", func(database *fakeup.Database) { database.CutFrom = cut })
		},
	} {
		t.Run(name, func(t *testing.T) {
			within(t, func(c *qt.C, fleet *fleet) {
				for _, replica := range []string{"b", "c"} {
					fleet.upstream.Do(replica, func(database *fakeup.Database) { database.IsDeaf = true })
				}
				failing(fleet)
				var confirmed int
				for range 40 {
					if fleet.other().tryWrite() == wires.OK {
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

// Rules 9 and 19: the loss of the keeper, and of the store, leaves writes alone.
func TestKeeperAndStoreLost(t *testing.T) {
	within(t, func(c *qt.C, fleet *fleet) {
		other := fleet.other()
		fleet.tree.SetDown(true)
		keeper := fleet.keeper()
		keeper.stop()
		for range 100 {
			c.Assert(other.tryWrite(), qt.Equals, wires.OK)
			time.Sleep(100 * time.Millisecond)
		}
		fleet.tree.SetDown(false)
		time.Sleep(5 * time.Second)
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		gap := other.gap()
		c.Assert(gap < 4*time.Second, qt.IsTrue, qt.Commentf("gap %s", gap))
	})
}

// A healthy primary whose registration lapsed with the store stays.
func TestLapsedRegistration(t *testing.T) {
	within(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.SetDown(true)
		time.Sleep(3 * time.Second)
		fleet.tree.Remove(memberPrefix + "a")
		fleet.tree.SetDown(false)
		time.Sleep(1900 * time.Millisecond)
		fleet.register()
		time.Sleep(5 * time.Second)
		c.Assert(fleet.upstream.Orders(), qt.HasLen, 0)
		c.Assert(fleet.other().tryWrite(), qt.Equals, wires.OK)
	})
}

// A database whose registration ends while the store is well has left.
func TestEndedRegistration(t *testing.T) {
	within(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.Remove(memberPrefix + "a")
		time.Sleep(3 * time.Second)
		c.Assert(fleet.upstream.Orders(), qt.HasLen, 1)
		c.Assert(fleet.other().tryWrite(), qt.Equals, wires.OK)
	})
}

// Rule 17: a configuration is in force within 3 s though the watch fell silent and
// the store forgot its history; an older one is never taken.
func TestSilentWatch(t *testing.T) {
	within(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.SetMute(true)
		fleet.configure(5)
		fleet.tree.Forget()
		time.Sleep(3 * time.Second)
		front, answer := fleet.other().open("v5")
		c.Assert(answer.Code, qt.Equals, wires.OK)
		front.Leave()
		fleet.tree.SetMute(false)
		fleet.configure(4)
		time.Sleep(3 * time.Second)
		_, answer = fleet.other().open("v4")
		c.Assert(answer.Code, qt.Equals, wires.UnknownDatabase)
	})
}

// A start without the store serves once it is back.
func TestStartWithoutStore(t *testing.T) {
	within(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.SetDown(true)
		late := fleet.start()
		time.Sleep(2 * time.Second)
		c.Assert(late.vm.IsReady(), qt.IsFalse)
		fleet.tree.SetDown(false)
		time.Sleep(time.Second)
		c.Assert(late.vm.IsReady(), qt.IsTrue)
		c.Assert(late.tryWrite(), qt.Equals, wires.OK)
	})
}

// A fleet that starts while the store is silent serves soon after the store is back,
// not after the timeout of the calls that went into the silence.
func TestStartIntoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(0)
		defer fleet.close()
		fleet.tree.SetSilent(true)
		for range 3 {
			fleet.start()
		}
		time.Sleep(200 * time.Millisecond)
		fleet.tree.SetSilent(false)
		gap := fleet.vms[0].gap()
		c.Assert(gap < 800*time.Millisecond, qt.IsTrue, qt.Commentf("gap %s", gap))
	})
}
