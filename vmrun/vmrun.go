// Package vmrun runs one VM of bramleydoor on a platform whose store has the
// operators' configuration and the registrations of databases. It connects the
// parts of a VM; only the adapter knows the platform's formats and names.
//
// One VM at a time is the leader: it orders promotions (package leader) and
// gives the others primary leases (package lease). With each reply to them it sends its
// store state, that is how far it follows the store, so that they need not watch it.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  17. The configuration is followed in the store and never reverts.
//  18. A database whose registration ends is leaving at once, and is removed after
//     a retention time in which the registration may return.
//  19. While the store is down, the VM serves by its last known configuration and
//     registrations.
//  21. A planned stop has phases: the VM is not ready, then sessions end between
//     requests, then open transactions end, then the process.
package vmrun

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleydoor/bramleydoor/acks"
	"github.com/bramleydoor/bramleydoor/authn"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/engine"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/lease"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/quota"
	"github.com/bramleydoor/bramleydoor/remote"
	"github.com/bramleydoor/bramleydoor/sock"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/store"
)

// Adapter has the platform-specific parts of a VM.
type Adapter struct {
	Store    store.Tree
	Dialer   proto.Dialer
	Promoter promo.Promoter
	// ConfigKey is the store's key of the configuration, MemberPrefix the prefix of
	// the databases' registrations.
	ConfigKey    string
	MemberPrefix string
	DecodeConfig func(value []byte) (*config.Config, error)
	DecodeMember func(key string, value []byte) (dbset.Member, error)
	// ReadStartup reads a caller's first message.
	ReadStartup func(conn net.Conn) (proto.CallerConn, proto.Startup, error)
}

// VM runs one VM. Set the exported fields before Run.
type VM struct {
	Adapter
	Name string
	// Address distinguishes VMs of the same name.
	Address string
	Zone    string
	// ShutdownTimeout bounds a planned stop.
	ShutdownTimeout time.Duration
	// PeerConn exchanges datagrams with other VMs, which all listen on PeerPort.
	PeerConn net.PacketConn
	PeerPort uint16
	// PeerListener accepts the connections on which other VMs forward requests, and DialPeer
	// connects to another VM's. Without PeerListener no requests are forwarded.
	PeerListener net.Listener
	DialPeer     func(ctx context.Context, vm string) (net.Conn, error)
	// QuotaBounds are the bounds of the teams' quotas; zero means quota.DefaultBounds.
	QuotaBounds quota.Bounds
	// Listener accepts callers.
	Listener net.Listener
	Clock    clock.Clock
	Log      *event.Log
	Stats    *stats.Stats

	config  config.Latest
	pools   *dbpool.Set
	engine  *engine.Engine
	elector setLeaders
	leases  *lease.Agent
	members members
	vmList  vmList
	// refreshing is held while the list of VMs is read for a revocation.
	refreshing sync.Mutex
	peers      *remote.Clients
	auth       *authn.Authenticator
	quota      *teamQuota

	configFeed, memberFeed *feed

	mu         sync.Mutex
	groups     map[string]*groupEntry
	isReady    bool
	isStopping bool
	isStopped  bool
	// summarizedAt is used by sweepMembers only.
	summarizedAt time.Time
	callers      sync.WaitGroup
	groupTasks   sync.WaitGroup
}

// groupEntry is a group with the function that stops its background tasks.
type groupEntry struct {
	group *dbset.Group
	stop  context.CancelFunc
	// usedAt is when the VM last served a request for the group; isUsed receives a value
	// when the group may have become needed.
	usedAt atomic.Int64
	isUsed chan struct{}
}

// Run serves until ctx ends, and then makes a planned stop. It returns the error of
// a background task that fails.
func (vm *VM) Run(ctx context.Context) error {
	vm.init()
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	ended := make(chan error, 1)
	go func() {
		ended <- kernel.Run(background,
			kernel.TaskFunc(func(ctx context.Context) error { return vm.follow(ctx, vm.configFeed) }),
			kernel.TaskFunc(func(ctx context.Context) error { return vm.follow(ctx, vm.memberFeed) }),
			kernel.TaskFunc(vm.readPeerKeys),
			kernel.TaskFunc(vm.syncVMList),
			kernel.TaskFunc(vm.sweepMembers),
			vm.leases,
			kernel.TaskFunc(vm.accept),
			kernel.TaskFunc(vm.serveForwarded),
			kernel.TaskFunc(vm.quota.run),
		)
	}()
	electorCtx, releaseLeadership := context.WithCancel(ctx)
	defer releaseLeadership()
	released := make(chan struct{})
	go func() {
		defer close(released)
		if err := vm.elector.Run(electorCtx); err != nil {
			vm.Log.Write(event.TaskEnded, event.Fields{"error": err.Error()})
		}
	}()
	vm.Log.Write(event.Started, event.Fields{"address": vm.Address, "zone": vm.Zone})
	select {
	case err := <-ended:
		vm.stopGroups()
		return err
	case <-ctx.Done():
	}
	vm.stop()
	stopBackground()
	vm.stopGroups()
	<-released
	return <-ended
}

// init creates the parts of the VM.
func (vm *VM) init() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.Store = store.Counted{Tree: vm.Store, Calls: &vm.Stats.StoreCalls}
	vm.pools = &dbpool.Set{
		Dialer: vm.Dialer, Clock: vm.Clock, Share: vm.connectionShare, IsScarce: vm.hasScarceConns,
		Log: vm.Log, Stats: vm.Stats,
	}
	vm.engine = &engine.Engine{
		Config: &vm.config, Groups: vm, Pools: vm.pools, Clock: vm.Clock, Log: vm.Log, Stats: vm.Stats,
		Acks: &acks.Waiter{Pools: vm.pools, Clock: vm.Clock},
	}
	vm.auth = vm.newAuthenticator()
	if vm.PeerListener != nil {
		vm.peers = &remote.Clients{Dial: vm.DialPeer, Auth: vm.auth, Clock: vm.Clock, Log: vm.Log}
		vm.engine.Routers = vm
	}
	vm.elector.Sets = &leader.Sets{
		Store: vm.Store, Clock: vm.Clock, Log: vm.Log,
		VM: vm.id(), Process: uint64(vm.Clock.Now().UnixNano()),
	}
	vm.quota = vm.newTeamQuota()
	vm.engine.Quota = vm.quota
	vm.leases = &lease.Agent{
		Conn: vm.PeerConn, VM: vm.id(), Port: vm.PeerPort, Auth: vm.auth, Leadership: vm.elector.Sets, Clock: vm.Clock, Log: vm.Log,
		Group: vm.findGroup, Needed: vm.neededGroups, Peers: vm.vmList.names, StoreState: vm.storeStateOf, OnStoreState: vm.receiveStoreState,
	}
	vm.leases.Evidence, vm.leases.HasAllPeers = vm.vmList.evidenceDuration, func() bool { return vm.vmList.isComplete(vm.Clock.Now()) }
	vm.leases.RefreshPeers = vm.refreshVMList
	vm.leases.IdleInterval, vm.leases.NeedsFirstSet = vm.idleInterval, vm.hasTeams
	vm.elector.LastMessageAt, vm.elector.MessageInterval = vm.leases.LastAnswerAt, vm.leases.Interval
	vm.elector.lastAnswerAt = vm.leases.LastAnswerAt
	vm.groups = make(map[string]*groupEntry)
	vm.configFeed, vm.memberFeed = vm.newConfigFeed(), vm.newMemberFeed()
}

// id identifies the VM to other VMs. It includes the address, since another VM may
// get the same name later.
func (vm *VM) id() string { return vm.Name + "@" + vm.Address }

// IsReady reports whether the VM is ready for callers: it has a configuration and
// knows databases, and is not stopping.
func (vm *VM) IsReady() bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.isReady
}

// markStopping makes the VM not ready for the rest of its run.
func (vm *VM) markStopping() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.isReady, vm.isStopping = false, true
}

// hasBegunStop reports whether a planned stop has begun.
func (vm *VM) hasBegunStop() bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.isStopping
}

// Group returns the database group of an upstream for a request, or nil if there is none.
func (vm *VM) Group(name string) *dbset.Group {
	vm.mu.Lock()
	entry, ok := vm.groups[name]
	vm.mu.Unlock()
	if !ok {
		return nil
	}
	vm.markUsed(entry)
	return entry.group
}

// findGroup is Group without a request, so that the group doesn't become needed by it.
func (vm *VM) findGroup(name string) *dbset.Group {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if entry, ok := vm.groups[name]; ok {
		return entry.group
	}
	return nil
}

// accept accepts callers until ctx ends, and serves each on its own goroutine.
func (vm *VM) accept(ctx context.Context) error {
	acceptor := sock.Acceptor{
		Listener: vm.Listener, Clock: vm.Clock, Log: vm.Log,
		Serve: func(conn net.Conn) { vm.callers.Go(func() { vm.serve(conn) }) },
	}
	return acceptor.Run(ctx)
}

func (vm *VM) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	callerConn, startup, err := vm.ReadStartup(conn)
	if err != nil {
		vm.Log.Write(event.CallerBroke, event.Fields{"error": err.Error(), "remote": conn.RemoteAddr().String()})
		return
	}
	vm.engine.Serve(callerConn, startup)
}

// notReadyDelay is how long the platform may still send callers to a VM that is not
// ready: it probes once a second and acts on the second negative result.
const notReadyDelay = 2200 * time.Millisecond

// stop ends all sessions in the phases of a planned stop (rule 21).
func (vm *VM) stop() {
	vm.Log.Write(event.Stopping, event.Fields{"reason": "signal"})
	vm.markStopping()
	vm.engine.Enter(engine.Declining)
	began := vm.Clock.Now()
	vm.waitUntil(began.Add(min(notReadyDelay, vm.ShutdownTimeout*2/5)))
	vm.engine.Enter(engine.Closing)
	vm.waitUntil(began.Add(vm.ShutdownTimeout / 2))
	vm.engine.Enter(engine.Ending)
	vm.waitUntil(began.Add(vm.ShutdownTimeout * 2 / 3))
	vm.engine.Enter(engine.Refusing)
	vm.waitUntil(began.Add(vm.ShutdownTimeout * 9 / 10))
	vm.pools.Close()
	vm.Log.Write(event.Stopped, nil)
}

// waitUntil waits until a time. Once new sessions are refused, it returns early when
// the last session has ended.
func (vm *VM) waitUntil(until time.Time) {
	const checkInterval = 20 * time.Millisecond
	for vm.Clock.Now().Before(until) {
		if vm.engine.IsRefusing() && vm.engine.Sessions() == 0 {
			return
		}
		<-vm.Clock.After(checkInterval)
	}
}

// IsLeader reports whether the VM leads a set of groups, for which it orders promotions.
func (vm *VM) IsLeader() bool {
	vm.mu.Lock()
	sets := vm.elector.Sets
	vm.mu.Unlock()
	return sets != nil && sets.LeadsAny()
}
