package serve

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/gossip"
	"github.com/bramleydoor/bramleydoor/holder"
	"github.com/bramleydoor/bramleydoor/keeper"
	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/member"
	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/watch"
)

// applyState brings the groups that the VM holds in line with a configuration.
func (vm *VM) applyState(state ticket.State) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	for name, found := range vm.groups {
		if _, ok := state.Groups[name]; !ok {
			delete(vm.groups, name)
			go found.stop()
		}
	}
	for name, wanted := range state.Groups {
		settings := holder.Settings{
			Group:   wanted,
			Rule:    state.Rule(wanted),
			Leaving: state.Upstreams[wanted.Upstream].Leaving,
		}
		found, ok := vm.groups[name]
		if !ok {
			vm.groups[name] = vm.startGroup(settings)
			continue
		}
		found.holder.Apply(settings)
	}
	vm.shares.poke()
}

func (running *running) stop() {
	running.holder.Pool.Stop()
	running.cancel()
	select {
	case <-running.done:
	case <-time.After(waitStop):
	}
}

func (vm *VM) startGroup(settings holder.Settings) *running {
	ctx, cancel := context.WithCancel(vm.ctx)
	observer := &watch.Watch{
		Control:  vm.Control,
		Clock:    vm.Clock,
		Interval: vm.Settings.PollInterval,
		Timeout:  watch.DefaultTimeout,
		IsKeeper: func() bool { return vm.isKeeper(settings.Group.Name) },
	}
	connections := &pool.Pool{Clock: vm.Clock}
	held := &holder.Holder{
		Watch:      observer,
		Pool:       connections,
		Clock:      vm.Clock,
		Stats:      &vm.Stats,
		Events:     vm.events,
		Zone:       vm.Settings.Zone,
		Policy:     vm.Policy,
		SendCancel: vm.cancelUpstream(settings.Group.Name),
	}
	connections.Open = func(ctx context.Context, slot string) (*pool.Conn, error) {
		return vm.connect(ctx, held.Settings().Group, slot)
	}
	connections.Share = func() int { return vm.shares.of(held.Settings().Group) }
	held.Apply(settings)
	name := settings.Group.Name
	kept := &keeper.Keeper{
		VM:       vm.Settings.ID,
		Watch:    observer,
		Control:  vm.Control,
		Store:    vm.Store,
		Clock:    vm.Clock,
		Stats:    &vm.Stats,
		Events:   vm.events,
		Limits:   vm.Limits,
		IsKeeper: func() bool { return vm.isKeeper(name) },
		Opinions: func(ctx context.Context) ([]detect.Opinion, int) { return vm.opinions(ctx, name) },
	}
	started := &running{holder: held, keeper: kept, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		_ = kernel.Run(ctx, held, kept)
	}()
	return started
}

func (vm *VM) isKeeper(name string) bool {
	return owner.Of(name, gossip.IDs(vm.gossip.Live())) == vm.Settings.ID
}

// opinionVMs is how many VMs are asked about a primary: enough that one with a
// view of its own doesn't decide, and no more in a large fleet.
const opinionVMs = 5

// judges are the VMs whose opinions on a group count: those that rank first for
// it, the keeper among them.
func (vm *VM) judges(name string) []member.Member {
	live := vm.gossip.Live()
	byID := make(map[string]member.Member, len(live))
	for _, m := range live {
		byID[m.ID] = m
	}
	ranked := owner.Rank(name, gossip.IDs(live))
	judges := make([]member.Member, 0, opinionVMs)
	for _, id := range ranked[:min(opinionVMs, len(ranked))] {
		judges = append(judges, byID[id])
	}
	return judges
}

// opinions asks VMs what they think of a group's primary.
func (vm *VM) opinions(ctx context.Context, name string) ([]detect.Opinion, int) {
	live := vm.judges(name)
	results := make(chan *detect.Opinion, len(live))
	for _, m := range live {
		go func() {
			if m.ID == vm.Settings.ID {
				own := (*handler)(vm).opinion(name)
				results <- &own
				return
			}
			opinion, err := vm.peers.Opinion(ctx, m.Address, name)
			if err != nil {
				results <- nil
				return
			}
			results <- &opinion
		}()
	}
	var opinions []detect.Opinion
	for range live {
		if opinion := <-results; opinion != nil {
			opinions = append(opinions, *opinion)
		}
	}
	return opinions, len(live)
}

// connect opens a connection to a slot of a group.
func (vm *VM) connect(ctx context.Context, group ticket.Group, name string) (*pool.Conn, error) {
	settings, err := vm.upstreamConfig(group, name)
	if err != nil {
		return nil, err
	}
	return pool.Connect(ctx, settings, name)
}

func (vm *VM) upstreamConfig(group ticket.Group, name string) (*pgconn.Config, error) {
	settings, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	for _, slot := range group.Slots {
		if slot.Name != name {
			continue
		}
		address, err := net.ResolveTCPAddr("tcp", slot.Address)
		if err != nil {
			return nil, err
		}
		settings.Host, settings.Port = address.IP.String(), uint16(address.Port)
	}
	settings.Database = group.Name[strings.LastIndexByte(group.Name, '.')+1:]
	settings.User, settings.Password = vm.Settings.UpstreamUser, vm.Settings.UpstreamPassword
	settings.RuntimeParams = map[string]string{"application_name": "bramleydoor/" + vm.Settings.ID}
	settings.Fallbacks = nil
	if vm.Dial != nil {
		settings.DialFunc = pgconn.DialFunc(vm.Dial)
	}
	return settings, nil
}

// cancelTimeout bounds a cancel request to a slot.
const cancelTimeout = 2 * time.Second

func (vm *VM) cancelUpstream(name string) func(*pool.Conn) {
	return func(conn *pool.Conn) {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		found, ok := vm.lookup(name)
		if !ok {
			return
		}
		for _, slot := range found.Settings().Group.Slots {
			if slot.Name == conn.Slot {
				vm.sendCancel(ctx, slot.Address, conn)
			}
		}
	}
}

func (vm *VM) sendCancel(ctx context.Context, address string, conn *pool.Conn) {
	dial := vm.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	network, err := dial(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer network.Close()
	request := &pgproto3.CancelRequest{ProcessID: conn.PID, SecretKey: conn.Secret}
	bytes, err := request.Encode(nil)
	if err != nil {
		return
	}
	if _, err := network.Write(bytes); err != nil {
		return
	}
	// The server closes the connection once it has taken the request.
	_ = network.SetReadDeadline(time.Now().Add(cancelTimeout))
	_, _ = network.Read(make([]byte, 1))
}
