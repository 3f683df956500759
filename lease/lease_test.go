package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/authn"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/lease"
	"github.com/bramleydoor/bramleydoor/posn"
)

// fleetKeys are the keys of all agents.
var fleetKeys = authn.NewRecord(time.Unix(1000, 0))

// network delivers datagrams between agents, by IP address.
type network struct {
	mu       sync.Mutex
	inboxes  map[string]chan []byte
	isolated map[string]bool
	// delay is how long a datagram takes; bytes and sent count the bytes and the
	// datagrams sent since the last takeCounts.
	delay       time.Duration
	bytes, sent int
	// recorded has all datagrams by IP address of the receiver, if it is not nil.
	recorded map[string][][]byte
	// sentTo counts all datagrams sent to an address. Of those to an address in lossy, one
	// of that many arrives on average.
	sentTo map[string]int
	lossy  map[string]int
	random *rand.Rand
}

func newNetwork() *network {
	return &network{
		inboxes: make(map[string]chan []byte), isolated: make(map[string]bool),
		sentTo: make(map[string]int), lossy: make(map[string]int), random: rand.New(rand.NewPCG(1, 2)),
	}
}

// takeCounts returns the datagrams and bytes sent since its last call.
func (network *network) takeCounts() (sent, bytes int) {
	network.mu.Lock()
	defer network.mu.Unlock()
	sent, bytes = network.sent, network.bytes
	network.sent, network.bytes = 0, 0
	return sent, bytes
}

// countSentTo returns the datagrams sent to an address so far.
func (network *network) countSentTo(ip string) int {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.sentTo[ip]
}

// isolate starts or ends the loss of all datagrams from and to an address.
func (network *network) isolate(ip string, isIsolated bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.isolated[ip] = isIsolated
}

// socket is the connection of one agent to the network.
type socket struct {
	net.PacketConn
	network *network
	ip      string
	inbox   chan []byte
	once    sync.Once
	closed  chan struct{}
}

func (socket *socket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case data := <-socket.inbox:
		return copy(buffer, data), &net.UDPAddr{}, nil
	case <-socket.closed:
		return 0, nil, net.ErrClosed
	}
}

func (socket *socket) WriteTo(data []byte, to net.Addr) (int, error) {
	socket.network.mu.Lock()
	defer socket.network.mu.Unlock()
	select {
	case <-socket.closed:
		return 0, net.ErrClosed
	default:
	}
	ip := to.(*net.UDPAddr).IP.String()
	socket.network.sent++
	socket.network.bytes += len(data)
	socket.network.sentTo[ip]++
	if interval := socket.network.lossy[ip]; interval > 0 && socket.network.random.IntN(interval) > 0 {
		return len(data), nil
	}
	if inbox, ok := socket.network.inboxes[ip]; ok && !socket.network.isolated[ip] && !socket.network.isolated[socket.ip] {
		copied := append([]byte(nil), data...)
		if socket.network.recorded != nil {
			socket.network.recorded[ip] = append(socket.network.recorded[ip], copied)
		}
		time.AfterFunc(socket.network.delay, func() { inbox <- copied })
	}
	return len(data), nil
}

func (socket *socket) Close() error {
	socket.once.Do(func() { close(socket.closed) })
	return nil
}

// fakeLeadership is a lease.Leadership of the VM vm. Tests set the leader.
type fakeLeadership struct {
	mu     sync.Mutex
	vm     string
	leader string
	token  uint64
	// renewedAt is when the lease was last renewed; zero means that it doesn't expire.
	renewedAt            time.Time
	predecessorRenewedAt time.Time
	// sets is the number of sets; 0 counts as 1.
	sets int
	// order is the unsettled order of every group; zero is none.
	order leader.Order
	// known is the recorded state of every group.
	known leader.GroupState
}

func (fakeLeadership *fakeLeadership) Count() int              { return max(fakeLeadership.sets, 1) }
func (fakeLeadership *fakeLeadership) Watch([]int)             {}
func (fakeLeadership *fakeLeadership) GrantedAt(int) time.Time { return time.Time{} }

func (fakeLeadership *fakeLeadership) Order(string) (leader.Order, bool) {
	fakeLeadership.mu.Lock()
	defer fakeLeadership.mu.Unlock()
	return fakeLeadership.order, fakeLeadership.order != leader.Order{}
}

func (fakeLeadership *fakeLeadership) Known(string) (leader.GroupState, bool) {
	fakeLeadership.mu.Lock()
	defer fakeLeadership.mu.Unlock()
	return fakeLeadership.known, fakeLeadership.known.Term > 0
}

func (fakeLeadership *fakeLeadership) Covers(_ string, term uint64, _ []leader.Database) bool {
	known, isKnown := fakeLeadership.Known("")
	return !isKnown || known.Term == term
}

func (fakeLeadership *fakeLeadership) HoldsGroup(_ string, need time.Duration) (uint64, bool) {
	return fakeLeadership.Holds(0, need)
}

func (fakeLeadership *fakeLeadership) Leader(int) string {
	fakeLeadership.mu.Lock()
	defer fakeLeadership.mu.Unlock()
	return fakeLeadership.leader
}

func (fakeLeadership *fakeLeadership) Holds(_ int, need time.Duration) (uint64, bool) {
	fakeLeadership.mu.Lock()
	defer fakeLeadership.mu.Unlock()
	isValid := fakeLeadership.renewedAt.IsZero() || time.Since(fakeLeadership.renewedAt)+need < leader.Validity
	return fakeLeadership.token, fakeLeadership.leader == fakeLeadership.vm && isValid
}

func (fakeLeadership *fakeLeadership) PredecessorRenewedAt(int) time.Time {
	fakeLeadership.mu.Lock()
	defer fakeLeadership.mu.Unlock()
	return fakeLeadership.predecessorRenewedAt
}

// stopRenewing makes the VM's lease expire as if it was last renewed now.
func (fakeLeadership *fakeLeadership) stopRenewing() {
	fakeLeadership.mu.Lock()
	defer fakeLeadership.mu.Unlock()
	fakeLeadership.renewedAt = time.Now()
}

func (fakeLeadership *fakeLeadership) set(leader string, token uint64) {
	fakeLeadership.mu.Lock()
	defer fakeLeadership.mu.Unlock()
	fakeLeadership.leader, fakeLeadership.token = leader, token
}

// node is a VM with the group "ledger".
type node struct {
	ip         string
	agent      *lease.Agent
	group      *dbset.Group
	leadership *fakeLeadership
	mu         sync.Mutex
	// extraGroups are the groups besides "ledger".
	extraGroups []*dbset.Group
	// needed is how many of the groups the node needs, 0 is all. neededOnly replaces it
	// unless it is nil.
	needed     int
	neededOnly []*dbset.Group
	peers      []string
	// reported has the numbers of VMs that the leader has reported.
	reported []int
}

// takeReported returns the numbers of VMs that the leader has reported since the last call.
func (node *node) takeReported() []int {
	node.mu.Lock()
	defer node.mu.Unlock()
	reported := node.reported
	node.reported = nil
	return reported
}

// setNeeded makes the node need the given groups only.
func (node *node) setNeeded(groups ...*dbset.Group) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.neededOnly = append([]*dbset.Group{}, groups...)
}

// setPeers sets the list of VMs that the node knows.
func (node *node) setPeers(peers []string) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.peers = peers
}

func (node *node) listPeers() []string {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.peers
}

// need makes the node need the first count groups only.
func (node *node) need(count int) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.needed = count
}

func (node *node) neededGroups() []*dbset.Group {
	groups := node.groups()
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.neededOnly != nil {
		return node.neededOnly
	}
	if node.needed == 0 {
		return groups
	}
	return groups[:node.needed]
}

func (node *node) addGroup(group *dbset.Group) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.extraGroups = append(node.extraGroups, group)
}

// setGroup replaces the group "ledger", as a restart of the VM would.
func (node *node) setGroup(group *dbset.Group) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.group = group
}

func (node *node) groups() []*dbset.Group {
	node.mu.Lock()
	defer node.mu.Unlock()
	return append([]*dbset.Group{node.group}, node.extraGroups...)
}

// find returns the group of a name.
func (node *node) find(name string) *dbset.Group {
	for _, group := range node.groups() {
		if group.Name == name {
			return group
		}
	}
	return nil
}

// primary returns the primary that the node may use, "" without a lease.
func (node *node) primary() string {
	member, _ := node.group.Primary(time.Now())
	return member.ID
}

// reportPrimary reports the primary to a node, as an answer of the database would.
func (node *node) reportPrimary(term uint64, primary string) {
	now := time.Now()
	end := posn.Position{Term: term, LSN: 5}
	node.group.Report(primary, dbset.Report{Primary: true, Term: term, Received: end}, now, now)
	node.group.ConfirmTerm(term)
}

// runThreeVMs runs a test with three VMs of which the first is the leader.
func runThreeVMs(t *testing.T, test func(c *qt.C, network *network, nodes []*node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork()
		names := []string{"vm1@10.0.0.1", "vm2@10.0.0.2", "vm3@10.0.0.3"}
		ctx, cancel := context.WithCancel(t.Context())
		var nodes []*node
		var running sync.WaitGroup
		for _, name := range names {
			node := newNode(network, name, names)
			nodes = append(nodes, node)
			running.Go(func() { _ = node.agent.Run(ctx) })
		}
		synctest.Wait()
		nodes[0].reportPrimary(1, "a")
		time.Sleep(time.Second)
		test(qt.New(t), network, nodes)
		cancel()
		running.Wait()
		synctest.Wait()
	})
}

func newNode(network *network, name string, all []string) *node {
	ip := name[len("vm1@"):]
	inbox := make(chan []byte, 100)
	network.mu.Lock()
	network.inboxes[ip] = inbox
	network.mu.Unlock()
	group := dbset.New("ledger", "zone-a")
	group.SetMembers([]dbset.Member{{ID: "a", Zone: "zone-a", Slots: 3}, {ID: "b", Zone: "zone-a", Slots: 3}}, time.Now())
	keys := &authn.Ring{}
	if err := keys.Install(fleetKeys, 1); err != nil {
		panic(err)
	}
	leadership := &fakeLeadership{vm: name, leader: all[0], token: 1}
	node := &node{ip: ip, group: group, leadership: leadership, peers: all}
	node.agent = &lease.Agent{
		Conn: &socket{network: network, ip: ip, inbox: inbox, closed: make(chan struct{})},
		VM:   name, Port: 7440, Leadership: leadership, Clock: clock.System{},
		Auth:       &authn.Authenticator{VM: name, Keys: keys, Process: uint64(time.Now().UnixNano())},
		Group:      node.find,
		Needed:     node.neededGroups,
		Peers:      node.listPeers,
		StoreState: func(int) lease.StoreState { return lease.StoreState{} },
		OnStoreState: func(storeState lease.StoreState, _ lease.Leader, _ time.Time) {
			node.mu.Lock()
			defer node.mu.Unlock()
			node.reported = append(node.reported, storeState.VMs)
		},
	}
	return node
}

// Rule 7: leases are renewed while the leader answers, and expire when it can't be
// reached.
func TestLeasesExpire(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		for range 50 {
			for _, node := range nodes {
				c.Assert(node.primary(), qt.Equals, "a")
			}
			time.Sleep(100 * time.Millisecond)
		}
		network.isolate(nodes[1].ip, true)
		time.Sleep(dbset.LeaseDuration + 10*time.Millisecond)
		c.Assert(nodes[1].primary(), qt.Equals, "")
		c.Assert(nodes[2].primary(), qt.Equals, "a")
		network.isolate(nodes[1].ip, false)
		time.Sleep(200 * time.Millisecond)
		c.Assert(nodes[1].primary(), qt.Equals, "a")
	})
}

// Load: the leader can't be reached. The VM finds out that no lease is to be expected, once
// its lease has been missing for longer than a usual gap, and that one is again.
func TestNoLeaseIsExpectedWithoutLeader(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		network.isolate(nodes[1].ip, true)
		time.Sleep(dbset.LeaseDuration + 1500*time.Millisecond)
		c.Assert(nodes[1].primary(), qt.Equals, "")
		c.Assert(nodes[1].group.MayExpectLease(time.Now()), qt.IsTrue)
		time.Sleep(2 * time.Second)
		c.Assert(nodes[1].group.MayExpectLease(time.Now()), qt.IsFalse)
		network.isolate(nodes[1].ip, false)
		time.Sleep(200 * time.Millisecond)
		c.Assert(nodes[1].group.MayExpectLease(time.Now()), qt.IsTrue)
	})
}

// Rule 9: Revoke returns once every VM has acknowledged the revocation. No VM uses
// the primary between Revoke and Resume.
func TestRevoke(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, _ *network, nodes []*node) {
		time.Sleep(dbset.LeaseDuration) // the leases of the leader before
		start := time.Now()
		c.Assert(nodes[0].agent.Revoke(context.Background(), "ledger"), qt.IsTrue)
		c.Assert(time.Since(start) < 100*time.Millisecond, qt.IsTrue)
		for range 30 {
			for _, node := range nodes {
				c.Assert(node.primary(), qt.Equals, "")
			}
			time.Sleep(100 * time.Millisecond)
		}
		nodes[0].agent.Resume("ledger")
		time.Sleep(time.Second)
		c.Assert(nodes[2].primary(), qt.Equals, "a")
	})
}

// Rule 9: if a VM can't be reached, Revoke returns only after that VM's lease has
// expired.
func TestRevokeAwaitsExpiry(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		network.isolate(nodes[1].ip, true)
		c.Assert(nodes[0].agent.Revoke(context.Background(), "ledger"), qt.IsFalse)
		c.Assert(nodes[1].primary(), qt.Equals, "")
	})
}

// Rule 9: a VM that has just become the leader waits until the leases of its
// predecessor have expired.
func TestNewLeaderAwaitsExpiry(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		network.isolate(nodes[0].ip, true)
		network.isolate(nodes[1].ip, true)
		nodes[2].leadership.set(nodes[2].leadership.vm, 2)
		nodes[2].reportPrimary(1, "a")
		start := time.Now()
		c.Assert(nodes[2].agent.Revoke(context.Background(), "ledger"), qt.IsFalse)
		c.Assert(time.Since(start) >= dbset.LeaseDuration, qt.IsTrue)
		for _, node := range nodes[:2] {
			c.Assert(node.primary(), qt.Equals, "")
		}
	})
}

// A revocation with an earlier leader's fencing token does not revoke a later
// leader's lease.
func TestFormerLeaderRevokesNothing(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, _ *network, nodes []*node) {
		for _, node := range nodes[1:] {
			node.leadership.set(nodes[1].leadership.vm, 2)
		}
		nodes[1].reportPrimary(1, "a")
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		nodes[0].agent.Revoke(ctx, "ledger")
		c.Assert(nodes[2].primary(), qt.Equals, "a")
	})
}

// An answer that arrives after its request was repeated is still accepted. While
// the leader answers late, at most three times the usual number of datagrams is sent.
func TestLateAnswers(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		network.takeCounts()
		time.Sleep(4 * time.Second)
		baseline, _ := network.takeCounts()
		network.mu.Lock()
		network.delay = 150 * time.Millisecond
		network.mu.Unlock()
		time.Sleep(4 * time.Second)
		c.Assert(nodes[1].primary(), qt.Equals, "a")
		delayed, _ := network.takeCounts()
		c.Assert(delayed <= 3*baseline, qt.IsTrue, qt.Commentf("%d datagrams with delay, %d without", delayed, baseline))
	})
}

// The lease of a group without a primary is requested often, but in requests that name only
// such groups. No lease is requested for a group without databases. Otherwise a single
// missing lease would multiply the traffic.
func TestMissingLeases(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		const groups = 50
		for _, node := range nodes {
			for i := range groups {
				group := dbset.New(fmt.Sprintf("group%d", i), "zone-a")
				group.SetMembers([]dbset.Member{{ID: fmt.Sprintf("a%d", i), Slots: 3}}, time.Now())
				now := time.Now()
				group.Report(fmt.Sprintf("a%d", i), dbset.Report{Primary: true, Term: 1}, now, now)
				node.addGroup(group)
			}
		}
		time.Sleep(time.Second)
		network.takeCounts()
		time.Sleep(4 * time.Second)
		sent, baseline := network.takeCounts()
		// Three VMs send ten requests each in 4 s, and each request is answered.
		c.Assert(sent <= 3*11*2, qt.IsTrue, qt.Commentf("%d datagrams in 4 s", sent))
		for _, node := range nodes {
			node.addGroup(dbset.New("empty", "zone-a"))
		}
		time.Sleep(4 * time.Second)
		_, withEmpty := network.takeCounts()
		// A window of ten rounds may include one round more or less than the one before.
		c.Assert(withEmpty <= baseline*5/4, qt.IsTrue, qt.Commentf("%d B with an empty group, %d B without", withEmpty, baseline))
		for _, node := range nodes {
			group := dbset.New("dark", "zone-a")
			group.SetMembers([]dbset.Member{{ID: "d", Slots: 3}}, time.Now())
			node.addGroup(group)
		}
		time.Sleep(4 * time.Second)
		_, withoutPrimary := network.takeCounts()
		c.Assert(withoutPrimary <= baseline*2, qt.IsTrue, qt.Commentf("%d B with a group without a primary, %d B before", withoutPrimary, baseline))
	})
}

// VMs report to the leader whether they can reach a primary. One is unreachable for a
// VM if it does not answer while another database of the group does.
func TestPeerObservations(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, _ *network, nodes []*node) {
		for range 5 {
			nodes[1].group.Failed("a", false, time.Now())
			nodes[1].group.Done("b", posn.Position{}, time.Now(), time.Now())
			time.Sleep(150 * time.Millisecond)
		}
		observations := nodes[0].agent.PeerObservations("ledger", "a")
		c.Assert(observations.PartitionedShare > 0, qt.IsTrue, qt.Commentf("%f", observations.PartitionedShare))
	})
}

// Load: many groups, of which a VM serves few. Requests and answers are about those only.
// When the VM needs another group, it has the lease within a round trip.
func TestNeededGroups(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		const groups = 50
		for _, node := range nodes {
			for i := range groups {
				group := dbset.New(fmt.Sprintf("group%d", i), "zone-a")
				group.SetMembers([]dbset.Member{{ID: fmt.Sprintf("a%d", i), Slots: 3}}, time.Now())
				now := time.Now()
				group.Report(fmt.Sprintf("a%d", i), dbset.Report{Primary: true, Term: 1}, now, now)
				node.addGroup(group)
			}
		}
		time.Sleep(time.Second)
		network.takeCounts()
		time.Sleep(4 * time.Second)
		_, withAll := network.takeCounts()

		for _, node := range nodes[1:] {
			node.need(1)
		}
		time.Sleep(4 * time.Second)
		network.takeCounts()
		time.Sleep(4 * time.Second)
		_, withOne := network.takeCounts()
		// The leader still requests all leases from itself.
		c.Assert(withOne <= withAll/2, qt.IsTrue, qt.Commentf("%d B with one group needed, %d B with all", withOne, withAll))
		c.Assert(nodes[1].primary(), qt.Equals, "a")
		c.Assert(nodes[1].groups()[1].HasLease(time.Now()), qt.IsFalse)

		nodes[1].need(2)
		nodes[1].agent.Wake()
		synctest.Wait()
		time.Sleep(time.Millisecond)
		c.Assert(nodes[1].groups()[1].HasLease(time.Now()), qt.IsTrue)
	})
}

// VMs that have had no contact with a primary for a while don't count: they can't tell
// whether they would reach it. Otherwise, where few of many VMs use a group, a primary that
// all of those have lost would not be replaced.
func TestViewsWithoutContact(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, _ *network, nodes []*node) {
		time.Sleep(11 * time.Second)
		for range 8 {
			nodes[1].group.Failed("a", false, time.Now())
			nodes[1].group.Done("b", posn.Position{}, time.Now(), time.Now())
			time.Sleep(150 * time.Millisecond)
		}
		observations := nodes[0].agent.PeerObservations("ledger", "a")
		c.Assert(observations.PartitionedShare, qt.Equals, 1.0)
	})
}

// Rule 9: a leader that can't renew its own lease stops issuing leases early, and its
// successor waits until the last one that it may have issued has ended, and no longer.
func TestSuccessorOfPartitionedLeader(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		network.isolate("10.0.0.2", true)
		network.isolate("10.0.0.3", true)
		renewedAt := time.Now()
		nodes[0].leadership.stopRenewing()
		time.Sleep(leader.TTL + 100*time.Millisecond)
		for _, node := range nodes[1:] {
			node.leadership.set(nodes[1].leadership.vm, 2)
			node.leadership.mu.Lock()
			node.leadership.predecessorRenewedAt = renewedAt
			node.leadership.mu.Unlock()
		}
		network.isolate("10.0.0.1", true)
		network.isolate("10.0.0.2", false)
		network.isolate("10.0.0.3", false)
		nodes[1].reportPrimary(1, "a")
		tookOverAt := time.Now()
		c.Assert(nodes[1].agent.Revoke(context.Background(), "ledger"), qt.IsFalse)
		c.Assert(time.Since(tookOverAt) <= 600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(tookOverAt)))
		c.Assert(nodes[0].primary(), qt.Equals, "")
	})
}
