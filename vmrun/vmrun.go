// Package vmrun runs one VM of bramleydoor on a platform whose store tells it
// the operators' configuration and the databases. It joins the parts; what the
// platform calls things is known to its adapter alone.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  17. The configuration is followed in the store and never reverts.
//  18. A database whose registration ends is leaving at once, and gone after a
//     while in which the registration may come back.
//  19. With the store down, what is known goes on serving.
//  21. A planned stop: not ready, then sessions end between requests, then open
//     transactions, then the process.
package vmrun

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/duty"
	"github.com/bramleydoor/bramleydoor/engine"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/grants"
	"github.com/bramleydoor/bramleydoor/kept"
	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/store"
	"github.com/bramleydoor/bramleydoor/wires"
)

// Adapter is what the platform's translation offers.
type Adapter struct {
	Store  store.Tree
	Dialer wires.Dialer
	Orders promo.Orders
	// ConfigKey and MemberPrefix are where the store has the configuration and
	// the registrations of databases.
	ConfigKey    string
	MemberPrefix string
	DecodeConfig func(value []byte) (*config.Config, error)
	DecodeMember func(key string, value []byte) (dbset.Member, error)
	// Accept reads a caller's first message and returns the database asked for.
	Accept func(conn net.Conn) (wires.Front, string, error)
}

// VM runs one VM. Set the exported fields before Run.
type VM struct {
	Adapter
	Name string
	// Address tells VMs of the same name apart.
	Address string
	Zone    string
	Grace   time.Duration
	// Peers takes datagrams of other VMs, which all listen on PeerPort.
	Peers    net.PacketConn
	PeerPort uint16
	// Listener takes callers.
	Listener net.Listener
	Clock    clock.Clock
	Log      *event.Log
	Stats    *stats.Stats

	config  config.Holder
	links   *conset.Set
	engine  *engine.Engine
	duty    *duty.Holder
	grants  *grants.Agent
	members members
	vms     vms

	configFeed, memberFeed *feed

	mu         sync.Mutex
	groups     map[string]*running
	isReady    bool
	isStopping bool
	isStopped  bool
	// summarizedAt belongs to sweepMembers.
	summarizedAt time.Time
	callers      sync.WaitGroup
	duties       sync.WaitGroup
}

// running is a group with the duties that belong to it.
type running struct {
	group *dbset.Group
	stop  context.CancelFunc
}

// Run serves until ctx ends, and then stops as planned.
func (vm *VM) Run(ctx context.Context) error {
	vm.init()
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	ended := make(chan error, 1)
	go func() {
		ended <- kernel.Run(background,
			kernel.DutyFunc(func(ctx context.Context) error { return vm.follow(ctx, vm.configFeed) }),
			kernel.DutyFunc(func(ctx context.Context) error { return vm.follow(ctx, vm.memberFeed) }),
			kernel.DutyFunc(vm.followVMs),
			kernel.DutyFunc(vm.sweepMembers),
			vm.grants,
			kernel.DutyFunc(vm.accept),
		)
	}()
	dutyCtx, releaseDuty := context.WithCancel(ctx)
	defer releaseDuty()
	released := make(chan struct{})
	go func() {
		defer close(released)
		if err := vm.duty.Serve(dutyCtx); err != nil {
			vm.Log.Write(event.DutyEnded, event.Fields{"error": err.Error()})
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

// init makes the VM's parts.
func (vm *VM) init() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.links = &conset.Set{Dialer: vm.Dialer, Clock: vm.Clock, Limit: vm.share}
	vm.engine = &engine.Engine{
		Config: &vm.config, Groups: vm, Links: vm.links, Clock: vm.Clock, Log: vm.Log, Stats: vm.Stats,
		Receipts: &kept.Receipts{Links: vm.links, Clock: vm.Clock},
	}
	vm.duty = &duty.Holder{
		Store: vm.Store, Clock: vm.Clock, Log: vm.Log,
		VM: vm.id(), Run: uint64(vm.Clock.Now().UnixNano()),
	}
	vm.grants = &grants.Agent{
		Conn: vm.Peers, VM: vm.id(), Port: vm.PeerPort, Duty: vm.duty, Clock: vm.Clock, Log: vm.Log,
		Groups: vm.allGroups, Peers: vm.vms.names, Tell: vm.tell, Hear: vm.hear,
	}
	vm.duty.HeardAt = vm.grants.HeardAt
	vm.groups = make(map[string]*running)
	vm.configFeed, vm.memberFeed = vm.newConfigFeed(), vm.newMemberFeed()
}

// id names the VM to other VMs; another VM may get the same name later.
func (vm *VM) id() string { return vm.Name + "@" + vm.Address }

func (vm *VM) allGroups() []*dbset.Group {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	all := make([]*dbset.Group, 0, len(vm.groups))
	for _, found := range vm.groups {
		all = append(all, found.group)
	}
	return all
}

// IsReady reports whether the VM takes callers.
func (vm *VM) IsReady() bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.isReady
}

// leave makes the VM not ready for good.
func (vm *VM) leave() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.isReady, vm.isStopping = false, true
}

// Group returns what is known of an upstream's databases, or nil.
func (vm *VM) Group(name string) *dbset.Group {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if found, ok := vm.groups[name]; ok {
		return found.group
	}
	return nil
}

// share is the VM's part of the connections to one of a group's databases. VMs
// see uneven traffic and close what they don't use, so each may open borrow times
// its part; the database refuses what would be too many.
func (vm *VM) share(group string) int {
	const (
		reserve = 10 // a tenth stays free for VMs that come and go
		borrow  = 2
	)
	limit := 1
	if current := vm.config.Load(); current != nil {
		limit = current.Upstreams[group].MaxConnections
	}
	return max(1, (limit-limit/reserve)*borrow/max(vm.vms.count(vm.Clock.Now()), borrow))
}

// accept takes callers until the process ends.
func (vm *VM) accept(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		if err := vm.Listener.Close(); err != nil {
			vm.Log.Write(event.DutyEnded, event.Fields{"error": err.Error()})
		}
	}()
	for {
		conn, err := vm.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		vm.callers.Go(func() { vm.serve(conn) })
	}
}

func (vm *VM) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	front, database, err := vm.Accept(conn)
	if err != nil {
		vm.Log.Write(event.CallerBroke, event.Fields{"error": err.Error(), "remote": conn.RemoteAddr().String()})
		return
	}
	vm.engine.Serve(front, database)
}

// turnAway is how long the platform may still send callers to a VM that is not
// ready: it asks once a second and believes the second answer.
const turnAway = 2200 * time.Millisecond

// stop ends all sessions as planned (rule 21).
func (vm *VM) stop() {
	vm.Log.Write(event.Stopping, event.Fields{"reason": "signal"})
	vm.leave()
	began := vm.Clock.Now()
	vm.await(began.Add(min(turnAway, vm.Grace*2/5)))
	vm.engine.Enter(engine.Closing)
	vm.await(began.Add(vm.Grace / 2))
	vm.engine.Enter(engine.Ending)
	vm.await(began.Add(vm.Grace * 2 / 3))
	vm.engine.Enter(engine.Refusing)
	vm.await(began.Add(vm.Grace * 9 / 10))
	vm.links.Close()
	vm.Log.Write(event.Stopped, nil)
}

// await waits until a time; once no more sessions are taken, only for the last.
func (vm *VM) await(until time.Time) {
	const look = 20 * time.Millisecond
	for vm.Clock.Now().Before(until) {
		if vm.engine.IsRefusing() && vm.engine.Sessions() == 0 {
			return
		}
		<-vm.Clock.After(look)
	}
}

// IsKeeper reports whether the VM holds the duty to promote.
func (vm *VM) IsKeeper() bool {
	vm.mu.Lock()
	holder := vm.duty
	vm.mu.Unlock()
	if holder == nil {
		return false
	}
	_, ok := holder.Holds(0)
	return ok
}
