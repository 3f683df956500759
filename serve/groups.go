package serve

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/elect"
	"github.com/bramleydoor/bramleydoor/gossip"
	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/member"
	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/router"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/watch"
)

// applyState starts, updates and stops the VM's groups according to a configuration.
func (vm *VM) applyState(state ticket.State) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	for name, group := range vm.groups {
		if _, ok := state.Groups[name]; !ok {
			delete(vm.groups, name)
			go group.stop()
		}
	}
	for name, config := range state.Groups {
		groupConfig := router.GroupConfig{
			Group:   config,
			Rule:    state.Rule(config),
			Leaving: state.Upstreams[config.Upstream].Leaving,
		}
		group, ok := vm.groups[name]
		if !ok {
			vm.groups[name] = vm.startGroup(groupConfig)
			continue
		}
		group.router.Apply(groupConfig)
	}
	vm.shares.wake()
}

// stop ends the group's tasks and waits for them, for at most groupStopTimeout.
func (group *runningGroup) stop() {
	group.router.Pool.Stop()
	group.cancel()
	select {
	case <-group.done:
	case <-time.After(groupStopTimeout):
	}
}

// startGroup starts the tasks of a group.
func (vm *VM) startGroup(groupConfig router.GroupConfig) *runningGroup {
	ctx, cancel := context.WithCancel(vm.ctx)
	groupWatch := &watch.Watch{
		Control:  vm.Control,
		Clock:    vm.Clock,
		Interval: vm.Settings.PollInterval,
		Timeout:  watch.DefaultTimeout,
		IsOwner:  func() bool { return vm.isOwner(groupConfig.Group.Name) },
	}
	groupPool := &pool.Pool{Clock: vm.Clock}
	groupRouter := &router.Router{
		Watch:      groupWatch,
		Pool:       groupPool,
		Clock:      vm.Clock,
		Stats:      &vm.Stats,
		Events:     vm.events,
		Zone:       vm.Settings.Zone,
		Policy:     vm.Policy,
		SendCancel: vm.cancelUpstream(groupConfig.Group.Name),
	}
	groupPool.Open = func(ctx context.Context, slot string) (*pool.Conn, error) {
		return vm.connect(ctx, groupRouter.GroupConfig().Group, slot)
	}
	groupPool.Share = func() int { return vm.shares.shareOf(groupRouter.GroupConfig().Group) }
	groupRouter.Apply(groupConfig)
	groupName := groupConfig.Group.Name
	controller := &elect.Controller{
		VM:       vm.Settings.ID,
		Watch:    groupWatch,
		Control:  vm.Control,
		Store:    vm.Store,
		Clock:    vm.Clock,
		Stats:    &vm.Stats,
		Events:   vm.events,
		Limits:   vm.Limits,
		IsOwner:  func() bool { return vm.isOwner(groupName) },
		Opinions: func(ctx context.Context) ([]detect.Opinion, int) { return vm.opinions(ctx, groupName) },
	}
	started := &runningGroup{router: groupRouter, controller: controller, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		_ = kernel.Run(ctx, groupRouter, controller)
	}()
	return started
}

func (vm *VM) isOwner(groupName string) bool {
	return owner.Of(groupName, gossip.IDs(vm.gossip.Live())) == vm.Settings.ID
}

// maxVoters is how many VMs are asked whether they suspect a primary: enough that a single
// VM that sees a failure by itself does not decide, and no more in a large fleet.
const maxVoters = 5

// voters returns the VMs whose opinions on a group's primary count: those that rank first
// for the group, among them its owner.
func (vm *VM) voters(groupName string) []member.Member {
	live := vm.gossip.Live()
	byID := make(map[string]member.Member, len(live))
	for _, member := range live {
		byID[member.ID] = member
	}
	ranked := owner.Rank(groupName, gossip.IDs(live))
	voters := make([]member.Member, 0, maxVoters)
	for _, id := range ranked[:min(maxVoters, len(ranked))] {
		voters = append(voters, byID[id])
	}
	return voters
}

// opinions asks the voters whether they suspect a group's primary. It returns the opinions
// received and the number of voters.
func (vm *VM) opinions(ctx context.Context, groupName string) ([]detect.Opinion, int) {
	voters := vm.voters(groupName)
	results := make(chan *detect.Opinion, len(voters))
	for _, member := range voters {
		go func() {
			if member.ID == vm.Settings.ID {
				own := (*handler)(vm).opinion(groupName)
				results <- &own
				return
			}
			opinion, err := vm.peers.Opinion(ctx, member.Address, groupName)
			if err != nil {
				results <- nil
				return
			}
			results <- &opinion
		}()
	}
	var opinions []detect.Opinion
	for range voters {
		if opinion := <-results; opinion != nil {
			opinions = append(opinions, *opinion)
		}
	}
	return opinions, len(voters)
}

// connect opens a connection to a slot of a group.
func (vm *VM) connect(ctx context.Context, group ticket.Group, slotName string) (*pool.Conn, error) {
	settings, err := vm.upstreamConfig(group, slotName)
	if err != nil {
		return nil, err
	}
	return pool.Connect(ctx, settings, slotName)
}

// upstreamConfig returns the connection settings for a slot. Its database is the last part
// of the group's name.
func (vm *VM) upstreamConfig(group ticket.Group, slotName string) (*pgconn.Config, error) {
	settings, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	for _, slot := range group.Slots {
		if slot.Name != slotName {
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

// cancelUpstream returns a function that sends a cancel request to a connection's slot.
func (vm *VM) cancelUpstream(groupName string) func(*pool.Conn) {
	return func(conn *pool.Conn) {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		groupRouter, ok := vm.lookup(groupName)
		if !ok {
			return
		}
		for _, slot := range groupRouter.GroupConfig().Group.Slots {
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
	netConn, err := dial(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer netConn.Close()
	request := &pgproto3.CancelRequest{ProcessID: conn.PID, SecretKey: conn.Secret}
	bytes, err := request.Encode(nil)
	if err != nil {
		return
	}
	if _, err := netConn.Write(bytes); err != nil {
		return
	}
	// The server closes the connection once it has processed the request.
	_ = netConn.SetReadDeadline(time.Now().Add(cancelTimeout))
	_, _ = netConn.Read(make([]byte, 1))
}
