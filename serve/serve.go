// Package serve puts the duties of one VM together: entry, holders, keepers,
// relay, membership and connection shares.
//
// Rules:
//
//  21. A planned stop leaves the list, lets callers finish their transactions,
//     and says FATAL 57P01 only at a request boundary.
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
	"github.com/bramleydoor/bramleydoor/entry"
	"github.com/bramleydoor/bramleydoor/event"
	_ "github.com/bramleydoor/bramleydoor/gctl" // registers the adapter
	"github.com/bramleydoor/bramleydoor/gossip"
	"github.com/bramleydoor/bramleydoor/group"
	"github.com/bramleydoor/bramleydoor/holder"
	_ "github.com/bramleydoor/bramleydoor/httpkv" // registers the adapter
	"github.com/bramleydoor/bramleydoor/keeper"
	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/member"
	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/peer"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/probe"
	"github.com/bramleydoor/bramleydoor/relay"
	"github.com/bramleydoor/bramleydoor/roster"
	"github.com/bramleydoor/bramleydoor/route"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/store"
)

// Dialer opens a network connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// VM is one VM of the system. Set the exported fields before Run.
type VM struct {
	Settings Settings
	Clock    clock.Clock
	Logger   *logrus.Logger
	// Dial replaces the network in tests and demos.
	Dial Dialer
	// Blocked drops datagrams to and from an address, in tests and demos.
	Blocked func(address string) bool
	// Store and Control replace the adapters that the settings name.
	Store   store.Store
	Control group.Control
	// Limits are the patience of the failure detector.
	Limits detect.Limits
	// Policy is how reads are routed; nil is the product's. Others are baselines.
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
	groups map[string]*running
	// ahead is a peer that has a later configuration.
	ahead   string
	ready   atomic.Bool
	ctx     context.Context
	started chan struct{}
}

// running is a group that the VM holds.
type running struct {
	holder *holder.Holder
	keeper *keeper.Keeper
	cancel context.CancelFunc
	done   chan struct{}
}

// Open listens and prepares the duties. It returns Mistakes for settings that
// can't work.
func (vm *VM) Open() error {
	if err := vm.Settings.Check(); err != nil {
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
	vm.groups = make(map[string]*running)
	vm.started = make(chan struct{})
	if err := vm.openAdapters(); err != nil {
		return err
	}
	return vm.openListeners()
}

func (vm *VM) openAdapters() error {
	if vm.Store == nil {
		opened, err := openStore(vm.Settings.Store)
		if err != nil {
			return Mistakes{"store: " + err.Error()}
		}
		vm.Store = opened
	}
	if vm.Control == nil {
		opener, err := group.Adapters.Lookup(vm.Settings.GroupControl)
		if err != nil {
			return Mistakes{"group-control: " + err.Error()}
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
		return Mistakes{"users: " + err.Error()}
	}
	callers, err := net.Listen("tcp", vm.Settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	peers, err := net.Listen("tcp", vm.Settings.Peer)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "peer"), callers.Close())
	}
	sealer := &posn.Sealer{}
	for _, key := range vm.Settings.TokenKeys {
		sealer.Keys = append(sealer.Keys, []byte(key))
	}
	vm.entry = &entry.Server{
		Listener:       callers,
		TLS:            tlsConfig,
		Users:          users,
		Sealer:         sealer,
		Lookup:         vm.lookup,
		IsReady:        vm.isReady,
		Cancel:         vm.passCancel,
		Clock:          vm.Clock,
		Stats:          &vm.Stats,
		Events:         vm.events,
		StartupTimeout: vm.Settings.StartupTimeout,
		MaxCallers:     vm.Settings.MaxCallers,
		MaxMessage:     vm.Settings.MaxMessage,
	}
	vm.server = &peer.Server{
		Listener:  peers,
		Key:       []byte(vm.Settings.PeerKey),
		Handler:   (*handler)(vm),
		OnRefused: vm.refusePeer,
	}
	vm.peers = &peer.Client{Key: []byte(vm.Settings.PeerKey), Dial: vm.Dial}
	datagrams, err := net.ListenPacket("udp", peers.Addr().String())
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "peer"), errors.CombineErrors(callers.Close(), peers.Close()))
	}
	vm.probes = &probe.Endpoint{
		Conn:    datagrams,
		Key:     []byte(vm.Settings.PeerKey),
		Answer:  func(message probe.Message) probe.Message { return vm.gossip.Answer(message) },
		OnBad:   func(remote string, _ error) { vm.refusePeer(remote) },
		Blocked: vm.Blocked,
	}
	vm.openDuties(peers.Addr().String())
	return nil
}

func (vm *VM) openDuties(peerAddress string) {
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
			roster.When{List: roster.StoreList{Store: vm.Store}, Is: vm.isRelay},
		},
		Clock:  vm.Clock,
		Events: vm.events,
		Fill:   vm.fillPing,
		Heard:  vm.heard,
	}
	vm.gossip.Init()
	vm.relay = &relay.Relay{
		Store:   vm.Store,
		Clock:   vm.Clock,
		Stats:   &vm.Stats,
		Events:  vm.events,
		IsRelay: vm.isRelay,
		Ask:     vm.askTickets,
		IsWriter: func() bool {
			return owner.Of("snapshot", gossip.IDs(vm.gossip.Live())) == vm.Settings.ID
		},
		OnState: vm.applyState,
	}
	vm.shares.init(vm)
}

func (vm *VM) refusePeer(remote string) {
	vm.Stats.PeerRefused.Add(1)
	vm.events.Write(event.PeerRefused, event.Fields{"remote": remote})
}

// Address is where callers connect.
func (vm *VM) Address() string { return vm.entry.Listener.Addr().String() }

// PeerAddress is where other VMs connect.
func (vm *VM) PeerAddress() string { return vm.server.Listener.Addr().String() }

// Run runs the duties until ctx ends, then stops at once. Call Stop first for a
// graceful stop.
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
		kernel.DutyFunc(vm.shares.run),
		kernel.DutyFunc(vm.runAdmin),
	)
	cancel()
	vm.stopGroups()
	vm.peers.Close()
	if err != nil && !errors.Is(err, context.Canceled) {
		vm.events.Write(event.DutyEnded, event.Fields{"error": err.Error()})
		return err
	}
	vm.events.Write(event.Stopped, nil)
	return nil
}

// Stop is the planned stop (rule 21): it returns when callers have gone or ctx
// ends. Run goes on until its own context ends.
func (vm *VM) Stop(ctx context.Context) {
	vm.events.Write(event.Stopping, event.Fields{"reason": "planned"})
	vm.gossip.Leave(ctx)
	vm.entry.Drain(ctx)
}

func (vm *VM) stopGroups() {
	vm.mu.Lock()
	groups := vm.groups
	vm.groups = make(map[string]*running)
	vm.mu.Unlock()
	for _, group := range groups {
		group.stop()
	}
}

func (vm *VM) isRelay() bool {
	var zone []string
	for _, m := range vm.gossip.Live() {
		if m.Zone == vm.Settings.Zone {
			zone = append(zone, m.ID)
		}
	}
	ranked := owner.Rank("relay/"+vm.Settings.Zone, zone)
	for i, id := range ranked {
		if id == vm.Settings.ID {
			return i < relay.PerZone
		}
	}
	return true
}

// isReady reports whether the VM has begun to serve: it has a configuration and
// connection shares. It stays ready when a share lapses later, since callers are
// better served by waiting then.
func (vm *VM) isReady() bool {
	if vm.ready.Load() {
		return true
	}
	if vm.relay.State().Number == 0 || !vm.shares.isUsable() {
		return false
	}
	vm.ready.Store(true)
	return true
}

// lookup finds a holder for the entry.
func (vm *VM) lookup(database string) (*holder.Holder, bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	found, ok := vm.groups[database]
	if !ok {
		return nil, false
	}
	return found.holder, true
}

// waitStop bounds the wait for a group's duties to end.
const waitStop = 5 * time.Second
