// Package serve runs the components of one VM: the callers' sessions (package entry), a
// router and a failover controller for each database group, the configuration (package
// relay), the membership (package gossip) and the connection shares.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  21. On a planned stop the VM announces that it leaves the membership, lets callers
//     finish their transactions, and sends FATAL 57P01 only at a request boundary.
package serve

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/elect"
	"github.com/bramleydoor/bramleydoor/entry"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/gossip"
	"github.com/bramleydoor/bramleydoor/group"
	_ "github.com/bramleydoor/bramleydoor/grpctl" // registers the adapter
	_ "github.com/bramleydoor/bramleydoor/httpkv" // registers the adapter
	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/member"
	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/peer"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/probe"
	"github.com/bramleydoor/bramleydoor/relay"
	"github.com/bramleydoor/bramleydoor/roster"
	"github.com/bramleydoor/bramleydoor/route"
	"github.com/bramleydoor/bramleydoor/router"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/store"
)

// Dialer opens a network connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// VM is one VM of the proxy. Set the exported fields before Open.
type VM struct {
	Settings Settings
	Clock    clock.Clock
	Logger   *logrus.Logger
	// Dial, if set, opens the connections to slots and other VMs, in tests and demos.
	Dial Dialer
	// IsBlocked, if set, reports whether datagrams to and from an address are dropped,
	// in tests and demos.
	IsBlocked func(address string) bool
	// Store and Control, if set, replace the adapters that the settings name.
	Store   store.Store
	Control group.Control
	// Limits are the limits of failure detection; the zero value means
	// detect.DefaultLimits.
	Limits detect.Limits
	// Policy is how reads are routed; nil is route.ByCost. The other policies are baselines
	// for measurements.
	Policy route.Policy

	Stats stats.Stats

	events *event.Log
	entry  *entry.Server
	server *peer.Server
	peers  *peer.Client
	probes *probe.Endpoint
	gossip *gossip.Gossip
	relay  *relay.Relay
	shares shares

	mu     sync.Mutex
	groups map[string]*runningGroup
	// newerPeer is a peer that reported a later configuration.
	newerPeer string
	// hasBeenReady says that isReady has been true once.
	hasBeenReady atomic.Bool
	ctx          context.Context
	started      chan struct{}
}

// runningGroup has the tasks of one group.
type runningGroup struct {
	router     *router.Router
	controller *elect.Controller
	cancel     context.CancelFunc
	// done is closed when the tasks have ended.
	done chan struct{}
}

// Open opens the listeners and prepares the tasks. It returns SettingsErrors if the
// settings are invalid.
func (vm *VM) Open() error {
	if err := vm.Settings.Validate(); err != nil {
		return err
	}
	if vm.Clock == nil {
		vm.Clock = clock.System{}
	}
	if vm.Logger == nil {
		vm.Logger = logrus.New()
	}
	if vm.Limits == (detect.Limits{}) {
		vm.Limits = detect.DefaultLimits
	}
	vm.events = event.NewLog(vm.Logger, vm.Settings.ID)
	vm.groups = make(map[string]*runningGroup)
	vm.started = make(chan struct{})
	if err := vm.openAdapters(); err != nil {
		return err
	}
	return vm.openListeners()
}

func (vm *VM) openAdapters() error {
	if vm.Store == nil {
		store, err := openStore(vm.Settings.Store)
		if err != nil {
			return SettingsErrors{"store: " + err.Error()}
		}
		vm.Store = store
	}
	if vm.Control == nil {
		opener, err := group.Adapters.Lookup(vm.Settings.GroupControl)
		if err != nil {
			return SettingsErrors{"group-control: " + err.Error()}
		}
		if vm.Control, err = opener(); err != nil {
			return err
		}
	}
	return nil
}

func (vm *VM) openListeners() error {
	tlsConfig, err := vm.Settings.tlsConfig()
	if err != nil {
		return err
	}
	users, err := entry.NewUsers(vm.Settings.Users)
	if err != nil {
		return SettingsErrors{"users: " + err.Error()}
	}
	callerListener, err := net.Listen("tcp", vm.Settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	peerListener, err := net.Listen("tcp", vm.Settings.Peer)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "peer"), callerListener.Close())
	}
	signer := &posn.Signer{}
	for _, key := range vm.Settings.TokenKeys {
		signer.Keys = append(signer.Keys, []byte(key))
	}
	vm.entry = &entry.Server{
		Listener:        callerListener,
		TLS:             tlsConfig,
		Users:           users,
		Signer:          signer,
		Lookup:          vm.lookup,
		IsReady:         vm.isReady,
		Cancel:          vm.forwardCancel,
		Clock:           vm.Clock,
		Stats:           &vm.Stats,
		Events:          vm.events,
		StartupTimeout:  vm.Settings.StartupTimeout,
		MaxCallers:      vm.Settings.MaxCallers,
		MaxMessageBytes: vm.Settings.MaxMessageBytes,
	}
	vm.server = &peer.Server{
		Listener:  peerListener,
		Key:       []byte(vm.Settings.PeerKey),
		Handler:   (*handler)(vm),
		OnRefused: vm.onRefusedPeer,
	}
	vm.peers = &peer.Client{Key: []byte(vm.Settings.PeerKey), Dial: vm.Dial}
	probeConn, err := net.ListenPacket("udp", peerListener.Addr().String())
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "peer"), errors.CombineErrors(callerListener.Close(), peerListener.Close()))
	}
	vm.probes = &probe.Endpoint{
		Conn:       probeConn,
		Key:        []byte(vm.Settings.PeerKey),
		Answer:     func(message probe.Message) probe.Message { return vm.gossip.Answer(message) },
		OnRejected: func(remote string, _ error) { vm.onRefusedPeer(remote) },
		IsBlocked:  vm.IsBlocked,
	}
	vm.initTasks(peerListener.Addr().String())
	return nil
}

// initTasks creates the tasks for membership, configuration and connection shares.
func (vm *VM) initTasks(peerAddress string) {
	vm.gossip = &gossip.Gossip{
		Self: member.Member{
			ID:          vm.Settings.ID,
			Address:     peerAddress,
			Zone:        vm.Settings.Zone,
			Incarnation: uint64(vm.Clock.Now().UnixMilli()),
		},
		Probes: vm.probes,
		Lists: []roster.List{
			roster.Fixed(vm.Settings.Seeds),
			roster.Conditional{List: roster.StoreList{Store: vm.Store}, Condition: vm.isRelay},
		},
		Clock:       vm.Clock,
		Events:      vm.events,
		FillMessage: vm.fillMessage,
		OnMessage:   vm.onMessage,
	}
	vm.gossip.Init()
	vm.relay = &relay.Relay{
		Store:        vm.Store,
		Clock:        vm.Clock,
		Stats:        &vm.Stats,
		Events:       vm.events,
		WatchesStore: vm.isRelay,
		QueryPeer:    vm.queryTickets,
		WritesSnapshots: func() bool {
			return owner.Of("snapshot", gossip.IDs(vm.gossip.Live())) == vm.Settings.ID
		},
		OnChange: vm.applyState,
	}
	vm.shares.init(vm)
}

// onRefusedPeer records that a connection or datagram of another VM was refused.
func (vm *VM) onRefusedPeer(remote string) {
	vm.Stats.PeerRefused.Add(1)
	vm.events.Write(event.PeerRefused, event.Fields{"remote": remote})
}

// Address returns the address for callers.
func (vm *VM) Address() string { return vm.entry.Listener.Addr().String() }

// PeerAddress returns the address for other VMs.
func (vm *VM) PeerAddress() string { return vm.server.Listener.Addr().String() }

// Run runs the tasks until ctx ends, then stops them without waiting for callers. Call Stop
// first for a graceful stop.
func (vm *VM) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	vm.mu.Lock()
	vm.ctx = ctx
	vm.mu.Unlock()
	close(vm.started)
	vm.events.Write(event.Started, event.Fields{"address": vm.Address(), "zone": vm.Settings.Zone})
	err := kernel.Run(ctx,
		vm.entry,
		vm.server,
		vm.probes,
		vm.gossip,
		vm.relay,
		kernel.TaskFunc(vm.shares.run),
		kernel.TaskFunc(vm.runAdmin),
	)
	cancel()
	vm.stopGroups()
	vm.peers.Close()
	if err != nil && !errors.Is(err, context.Canceled) {
		vm.events.Write(event.TaskEnded, event.Fields{"error": err.Error()})
		return err
	}
	vm.events.Write(event.Stopped, nil)
	return nil
}

// Stop performs the planned stop (rule 21). It returns when all sessions have ended or ctx
// ends. Run continues until its own context ends.
func (vm *VM) Stop(ctx context.Context) {
	vm.events.Write(event.Stopping, event.Fields{"reason": "planned"})
	vm.gossip.Leave(ctx)
	vm.entry.Drain(ctx)
}

func (vm *VM) stopGroups() {
	vm.mu.Lock()
	groups := vm.groups
	vm.groups = make(map[string]*runningGroup)
	vm.mu.Unlock()
	for _, group := range groups {
		group.stop()
	}
}

// isRelay reports whether this VM watches the store, as one of the first
// relay.RelaysPerZone VMs of its availability zone or because it is not in the
// membership.
func (vm *VM) isRelay() bool {
	var sameZone []string
	for _, member := range vm.gossip.Live() {
		if member.Zone == vm.Settings.Zone {
			sameZone = append(sameZone, member.ID)
		}
	}
	ranked := owner.Rank("relay/"+vm.Settings.Zone, sameZone)
	for i, id := range ranked {
		if id == vm.Settings.ID {
			return i < relay.RelaysPerZone
		}
	}
	return true
}

// isReady reports whether the VM has a configuration and usable connection shares, or has had
// both at an earlier call. It stays ready if a share expires later, because it is then better
// for callers to wait for a connection than to be refused.
func (vm *VM) isReady() bool {
	if vm.hasBeenReady.Load() {
		return true
	}
	if vm.relay.State().Number == 0 || !vm.shares.isUsable() {
		return false
	}
	vm.hasBeenReady.Store(true)
	return true
}

// lookup returns the router of a database.
func (vm *VM) lookup(database string) (*router.Router, bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	group, ok := vm.groups[database]
	if !ok {
		return nil, false
	}
	return group.router, true
}

// groupStopTimeout bounds the wait for a group's tasks to end.
const groupStopTimeout = 5 * time.Second
