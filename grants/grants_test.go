package grants_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/grants"
	"github.com/bramleydoor/bramleydoor/posn"
)

// air carries datagrams between agents, by IP address.
type air struct {
	mu    sync.Mutex
	boxes map[string]chan []byte
	cut   map[string]bool
	// late is how long datagrams take, bytes and sent what was sent.
	late        time.Duration
	bytes, sent int
}

// count returns what has been sent since the last count.
func (air *air) count() (sent, bytes int) {
	air.mu.Lock()
	defer air.mu.Unlock()
	sent, bytes = air.sent, air.bytes
	air.sent, air.bytes = 0, 0
	return sent, bytes
}

func (air *air) cutOff(ip string, isCut bool) {
	air.mu.Lock()
	defer air.mu.Unlock()
	air.cut[ip] = isCut
}

// socket is one agent's end.
type socket struct {
	net.PacketConn
	air    *air
	ip     string
	box    chan []byte
	closed chan struct{}
}

func (socket *socket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case data := <-socket.box:
		return copy(buffer, data), &net.UDPAddr{}, nil
	case <-socket.closed:
		return 0, nil, net.ErrClosed
	}
}

func (socket *socket) WriteTo(data []byte, to net.Addr) (int, error) {
	socket.air.mu.Lock()
	defer socket.air.mu.Unlock()
	ip := to.(*net.UDPAddr).IP.String()
	socket.air.sent++
	socket.air.bytes += len(data)
	if box, ok := socket.air.boxes[ip]; ok && !socket.air.cut[ip] && !socket.air.cut[socket.ip] {
		copied := append([]byte(nil), data...)
		time.AfterFunc(socket.air.late, func() { box <- copied })
	}
	return len(data), nil
}

func (socket *socket) Close() error {
	close(socket.closed)
	return nil
}

// holder is the duty as a test sets it.
type holder struct {
	mu    sync.Mutex
	vm    string
	name  string
	token uint64
}

func (holder *holder) Holder() string {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	return holder.name
}

func (holder *holder) Holds(time.Duration) (uint64, bool) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	return holder.token, holder.name == holder.vm
}

func (holder *holder) set(name string, token uint64) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	holder.name, holder.token = name, token
}

// node is a VM with one group.
type node struct {
	ip    string
	agent *grants.Agent
	group *dbset.Group
	duty  *holder
	mu    sync.Mutex
	// more are further groups.
	more []*dbset.Group
}

func (node *node) add(group *dbset.Group) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.more = append(node.more, group)
}

func (node *node) groups() []*dbset.Group {
	node.mu.Lock()
	defer node.mu.Unlock()
	return append([]*dbset.Group{node.group}, node.more...)
}

func (node *node) leads() string {
	member, _ := node.group.Primary(time.Now())
	return member.ID
}

// knows tells a node of the primary, as its own questions would.
func (node *node) knows(term uint64, primary string) {
	now := time.Now()
	end := posn.Position{Term: term, LSN: 5}
	node.group.Report(primary, dbset.Report{Primary: true, Term: term, Received: end}, now, now)
	node.group.Show(term)
}

// run runs a test with three VMs of which the first holds the duty.
func run(t *testing.T, test func(c *qt.C, air *air, nodes []*node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		air := &air{boxes: make(map[string]chan []byte), cut: make(map[string]bool)}
		names := []string{"vm1@10.0.0.1", "vm2@10.0.0.2", "vm3@10.0.0.3"}
		ctx, cancel := context.WithCancel(t.Context())
		var nodes []*node
		var running sync.WaitGroup
		for _, name := range names {
			node := newNode(air, name, names)
			nodes = append(nodes, node)
			running.Go(func() { _ = node.agent.Run(ctx) })
		}
		synctest.Wait()
		nodes[0].knows(1, "a")
		time.Sleep(time.Second)
		test(qt.New(t), air, nodes)
		cancel()
		running.Wait()
		synctest.Wait()
	})
}

func newNode(air *air, name string, all []string) *node {
	ip := name[len("vm1@"):]
	box := make(chan []byte, 100)
	air.mu.Lock()
	air.boxes[ip] = box
	air.mu.Unlock()
	group := dbset.New("ledger", "zone-a")
	group.SetMembers([]dbset.Member{{ID: "a", Zone: "zone-a", Slots: 3}, {ID: "b", Zone: "zone-a", Slots: 3}}, time.Now())
	duty := &holder{vm: name, name: all[0], token: 1}
	node := &node{ip: ip, group: group, duty: duty}
	node.agent = &grants.Agent{
		Conn: &socket{air: air, ip: ip, box: box, closed: make(chan struct{})},
		VM:   name, Port: 7440, Duty: duty, Clock: clock.System{},
		Groups: node.groups,
		Peers:  func() []string { return all },
		Tell:   func() grants.News { return grants.News{} },
		Hear:   func(grants.News, grants.Keeper, time.Time) {},
	}
	return node
}

// Rule 7: grants are renewed while the keeper is heard, and run out without it.
func TestGrantsRunOut(t *testing.T) {
	run(t, func(c *qt.C, air *air, nodes []*node) {
		for range 50 {
			for _, node := range nodes {
				c.Assert(node.leads(), qt.Equals, "a")
			}
			time.Sleep(100 * time.Millisecond)
		}
		air.cutOff(nodes[1].ip, true)
		time.Sleep(dbset.GrantFor + 10*time.Millisecond)
		c.Assert(nodes[1].leads(), qt.Equals, "")
		c.Assert(nodes[2].leads(), qt.Equals, "a")
		air.cutOff(nodes[1].ip, false)
		time.Sleep(200 * time.Millisecond)
		c.Assert(nodes[1].leads(), qt.Equals, "a")
	})
}

// Rule 9: a freeze returns once every VM has confirmed the end of its grant; nobody
// uses the primary after that, until the thaw.
func TestFreeze(t *testing.T) {
	run(t, func(c *qt.C, _ *air, nodes []*node) {
		began := time.Now()
		c.Assert(nodes[0].agent.Freeze(context.Background(), "ledger"), qt.IsTrue)
		c.Assert(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
		for range 30 {
			for _, node := range nodes {
				c.Assert(node.leads(), qt.Equals, "")
			}
			time.Sleep(100 * time.Millisecond)
		}
		nodes[0].agent.Thaw("ledger")
		time.Sleep(time.Second)
		c.Assert(nodes[2].leads(), qt.Equals, "a")
	})
}

// Rule 9: a VM that can't be reached is waited out, for as long as it can have a
// grant.
func TestFreezeWaitsOut(t *testing.T) {
	run(t, func(c *qt.C, air *air, nodes []*node) {
		air.cutOff(nodes[1].ip, true)
		c.Assert(nodes[0].agent.Freeze(context.Background(), "ledger"), qt.IsFalse)
		c.Assert(nodes[1].leads(), qt.Equals, "")
	})
}

// Rule 9: a keeper that has just taken the duty waits for the grants of its
// predecessor.
func TestNewKeeperWaits(t *testing.T) {
	run(t, func(c *qt.C, air *air, nodes []*node) {
		air.cutOff(nodes[0].ip, true)
		air.cutOff(nodes[1].ip, true)
		nodes[2].duty.set(nodes[2].duty.vm, 2)
		nodes[2].knows(1, "a")
		began := time.Now()
		c.Assert(nodes[2].agent.Freeze(context.Background(), "ledger"), qt.IsFalse)
		c.Assert(time.Since(began) >= dbset.GrantFor, qt.IsTrue)
		for _, node := range nodes[:2] {
			c.Assert(node.leads(), qt.Equals, "")
		}
	})
}

// An order of an earlier keeper ends no grant of a later one.
func TestOldKeeperRevokesNothing(t *testing.T) {
	run(t, func(c *qt.C, _ *air, nodes []*node) {
		for _, node := range nodes[1:] {
			node.duty.set(nodes[1].duty.vm, 2)
		}
		nodes[1].knows(1, "a")
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		nodes[0].agent.Freeze(ctx, "ledger")
		c.Assert(nodes[2].leads(), qt.Equals, "a")
	})
}

// Answers that take longer than the pause between questions count, from when they
// were asked for. A keeper that answers late gets three questions for one, not a flood.
func TestLateAnswers(t *testing.T) {
	run(t, func(c *qt.C, air *air, nodes []*node) {
		air.count()
		time.Sleep(4 * time.Second)
		usual, _ := air.count()
		air.mu.Lock()
		air.late = 150 * time.Millisecond
		air.mu.Unlock()
		time.Sleep(4 * time.Second)
		c.Assert(nodes[1].leads(), qt.Equals, "a")
		late, _ := air.count()
		c.Assert(late <= 3*usual, qt.IsTrue, qt.Commentf("%d datagrams, %d usually", late, usual))
	})
}

// A group without a primary is asked for often, but alone; one without databases is
// not asked for.
func TestMissingGrants(t *testing.T) {
	run(t, func(c *qt.C, air *air, nodes []*node) {
		const groups = 50
		for _, node := range nodes {
			for i := range groups {
				group := dbset.New(fmt.Sprintf("group%d", i), "zone-a")
				group.SetMembers([]dbset.Member{{ID: fmt.Sprintf("a%d", i), Slots: 3}}, time.Now())
				now := time.Now()
				group.Report(fmt.Sprintf("a%d", i), dbset.Report{Primary: true, Term: 1}, now, now)
				node.add(group)
			}
		}
		time.Sleep(time.Second)
		air.count()
		time.Sleep(4 * time.Second)
		sent, usual := air.count()
		// Three VMs ask ten times in 4 s, and are answered.
		c.Assert(sent <= 3*11*2, qt.IsTrue, qt.Commentf("%d datagrams", sent))
		for _, node := range nodes {
			node.add(dbset.New("empty", "zone-a"))
		}
		time.Sleep(4 * time.Second)
		_, withEmpty := air.count()
		// A window of ten rounds may hold one more or less than the one before.
		c.Assert(withEmpty <= usual*5/4, qt.IsTrue, qt.Commentf("%d B, %d B usually", withEmpty, usual))
		for _, node := range nodes {
			group := dbset.New("dark", "zone-a")
			group.SetMembers([]dbset.Member{{ID: "d", Slots: 3}}, time.Now())
			node.add(group)
		}
		time.Sleep(4 * time.Second)
		_, withDark := air.count()
		c.Assert(withDark <= usual*2, qt.IsTrue, qt.Commentf("%d B, %d B usually", withDark, usual))
	})
}

// What VMs see of a primary reaches its keeper: one that alone doesn't answer them.
func TestOthers(t *testing.T) {
	run(t, func(c *qt.C, _ *air, nodes []*node) {
		for range 5 {
			nodes[1].group.Failed("a", false, time.Now())
			nodes[1].group.Done("b", posn.Position{}, time.Now(), time.Now())
			time.Sleep(150 * time.Millisecond)
		}
		others := nodes[0].agent.Others("ledger", "a")
		c.Assert(others.CutShare > 0, qt.IsTrue, qt.Commentf("%f", others.CutShare))
	})
}
