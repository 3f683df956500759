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
	// pollEvery is how often a database is asked that is to be asked often. It
	// leaves two polls within a replica's evidence.
	pollEvery = 150 * time.Millisecond
	// pollSeldom is how often the others are: a keeper has to know which
	// replicas it could promote.
	pollSeldom = 2500 * time.Millisecond
	// summaryEvery is how often the state of the groups is logged.
	summaryEvery = 5 * time.Second
	// pollWait bounds one poll. A database with a long queue answers late, but
	// answers other requests meanwhile, which shows that it lives.
	pollWait = 200 * time.Millisecond
)

// rearrange brings groups, pools and duties in line with configuration and
// registrations.
func (vm *VM) rearrange() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	// Read under the lock: what was read before it may be older than what another
	// call has put in force meanwhile.
	current := vm.config.Load()
	all, byGroup := vm.members.all()
	if current == nil || vm.isStopped {
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
			vm.engine.Receipts.Forget(found.group)
			delete(vm.groups, name)
		}
	}
	vm.isReady = len(all) > 0 && !vm.isStopping
}

// start starts the duties of a group.
func (vm *VM) start(name string) *running {
	ctx, stop := context.WithCancel(context.Background())
	group := dbset.New(name, vm.Zone)
	group.IsWarm = vm.links.IsWarm
	keeper := &promo.Keeper{
		Group: group, Links: vm.links, Orders: vm.Orders, Duty: vm.duty, Grants: vm.grants,
		Holder: vm.Name, Clock: vm.Clock, Log: vm.Log,
		IsSettled: func() bool { return vm.members.isSettled(vm.Clock.Now()) },
	}
	vm.duties.Go(func() {
		if err := keeper.Run(ctx); err != nil {
			vm.Log.Write(event.DutyEnded, event.Fields{"error": err.Error()})
		}
	})
	vm.duties.Go(func() { vm.poll(ctx, group) })
	return &running{group: group, stop: stop}
}

// poll asks the databases of a group for their reports, as far as that is needed.
// A database that is slow to answer holds up only itself.
func (vm *VM) poll(ctx context.Context, group *dbset.Group) {
	asked := make(map[string]time.Time)
	busy := make(map[string]chan struct{})
	for {
		now := vm.Clock.Now()
		_, isKeeper := vm.duty.Holds(0)
		group.AllowProof(vm.vms.mayProve(now))
		for id, need := range group.Needs(isKeeper, now) {
			if need == dbset.NoNeed || now.Sub(asked[id]) < pause(need) || isRunning(busy[id]) {
				continue
			}
			done := make(chan struct{})
			asked[id], busy[id] = now, done
			vm.duties.Go(func() {
				defer close(done)
				vm.ask(group, id)
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-vm.Clock.After(pollEvery / 3):
		}
	}
}

// stopGroups ends the duties of all groups.
func (vm *VM) stopGroups() {
	vm.mu.Lock()
	vm.isStopped = true
	for name, found := range vm.groups {
		found.stop()
		delete(vm.groups, name)
	}
	vm.mu.Unlock()
	vm.duties.Wait()
}

func pause(need dbset.Need) time.Duration {
	if need == dbset.Often {
		return pollEvery
	}
	return pollSeldom
}

func isRunning(done chan struct{}) bool {
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
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

// summarize logs what is known of each group, so that a failure can be explained
// afterwards.
func (vm *VM) summarize() {
	now := vm.Clock.Now()
	if now.Sub(vm.summarizedAt) < summaryEvery {
		return
	}
	vm.summarizedAt = now
	for _, group := range vm.allGroups() {
		vm.Log.Write(event.GroupState, event.Fields{
			"group": group.Name, "term": group.Term(), "slots": group.Summary(now),
			"links":  vm.links.Summary(group.Name),
			"routes": vm.Stats.Routes.String(),
		})
	}
}
