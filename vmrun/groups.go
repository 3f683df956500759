package vmrun

import (
	"context"
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/wires"
)

const (
	// pollEvery leaves two polls within a grant.
	pollEvery = 200 * time.Millisecond
	// pollWait bounds one poll.
	pollWait = 400 * time.Millisecond
)

// rearrange brings groups, pools and duties in line with configuration and
// registrations.
func (vm *VM) rearrange() {
	current := vm.config.Load()
	all, byGroup := vm.members.all()
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if current == nil {
		return
	}
	vm.links.SetMembers(all)
	now := vm.Clock.Now()
	for name := range current.Upstreams {
		found, ok := vm.groups[name]
		if !ok {
			found = vm.start(name)
			vm.groups[name] = found
		}
		found.group.SetMembers(byGroup[name], now)
	}
	for name, found := range vm.groups {
		if _, ok := current.Upstreams[name]; !ok {
			found.stop()
			delete(vm.groups, name)
		}
	}
	vm.isReady = len(all) > 0
}

// start starts the duties of a group.
func (vm *VM) start(name string) *running {
	ctx, stop := context.WithCancel(context.Background())
	group := dbset.New(name, vm.Zone)
	keeper := &promo.Keeper{
		Group: group, Links: vm.links, Orders: vm.Orders, Duty: vm.duty,
		Holder: vm.Name, Clock: vm.Clock, Log: vm.Log,
	}
	go func() {
		if err := keeper.Run(ctx); err != nil {
			vm.Log.Write(event.DutyEnded, event.Fields{"error": err.Error()})
		}
	}()
	go vm.poll(ctx, group)
	return &running{group: group, stop: stop}
}

// poll asks all databases of a group for their reports, again and again. A
// database that is slow to answer holds up only itself.
func (vm *VM) poll(ctx context.Context, group *dbset.Group) {
	asking := make(map[string]chan struct{})
	for {
		for _, member := range group.Members() {
			if before, ok := asking[member.ID]; ok {
				select {
				case <-before:
				default:
					continue
				}
			}
			done := make(chan struct{})
			asking[member.ID] = done
			go func() {
				defer close(done)
				vm.ask(group, member.ID)
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-vm.Clock.After(pollEvery):
		}
	}
}

func (vm *VM) ask(group *dbset.Group, id string) {
	pool := vm.links.Pool(id)
	if pool == nil {
		return
	}
	// The group keeps the outcome, and its failures.
	_, _ = promo.Ask(group, pool, vm.Clock, wires.Inquire{}, pollWait)
}
