package share_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/share"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.steps", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
}

const (
	group = "ledger1.db1"
	limit = 7
)

// vmModel is a VM with open connections. Busy ones carry requests: after a change of
// the view they are closed when their requests end, or at the latest CloseTimeout after the
// confirmation of the view has expired.
type vmModel struct {
	id        string
	state     share.State
	open      int
	busy      int
	expiredAt time.Time
	alive     bool
	// isIsolated says that the VM can reach neither peers nor the store.
	isIsolated bool
}

// model is a fleet of VMs and the view in the store.
type model struct {
	now   time.Time
	vms   []*vmModel
	store share.View
}

func newModel() *model {
	model := &model{now: time.Unix(1000, 0)}
	for _, id := range []string{"vm1", "vm2", "vm3", "vm4", "vm5"} {
		model.vms = append(model.vms, &vmModel{id: id, state: share.New(id), alive: true})
	}
	return model
}

// pickAlive draws a VM, and skips the step if that VM is dead.
func (model *model) pickAlive(t *rapid.T, label string) *vmModel {
	vm := model.vms[rapid.IntRange(0, len(model.vms)-1).Draw(t, label)]
	if !vm.alive {
		t.Skip("dead")
	}
	return vm
}

// enforce closes a VM's connections in excess of its share, as far as it may.
func (model *model) enforce(vm *vmModel) {
	vm.state = vm.state.Tick(model.now)
	if vm.state.IsConfirmed(model.now) {
		vm.expiredAt = time.Time{}
	} else if vm.expiredAt.IsZero() {
		vm.expiredAt = model.now
	}
	if !vm.expiredAt.IsZero() && model.now.Sub(vm.expiredAt) >= share.CloseTimeout {
		vm.busy = 0
	}
	vm.open = max(min(vm.open, vm.state.Of(group, limit, model.now)), vm.busy)
}

// advance advances the time in steps of 50 ms. In each step, every VM enforces its
// share.
func (model *model) advance(ms int) {
	for ; ms > 0; ms -= 50 {
		model.now = model.now.Add(50 * time.Millisecond)
		for _, vm := range model.vms {
			if vm.alive {
				model.enforce(vm)
			}
		}
	}
}

// report returns a VM's report about itself.
func (model *model) report(vm *vmModel) share.Report {
	fits := vm.open <= vm.state.Of(group, limit, model.now)
	return share.Report{Epoch: vm.state.View.Epoch, IsWithinShare: fits, At: model.now}
}

// gossip delivers each VM's report to every VM that it can reach, itself included.
func (model *model) gossip() {
	for _, from := range model.vms {
		for _, to := range model.vms {
			if from.alive && to.alive && (from == to || !from.isIsolated && !to.isIsolated) {
				to.state = to.state.WithReport(from.id, model.report(from), model.now)
			}
		}
	}
}

// adopt makes a VM adopt the view in the store, unless the VM is isolated.
func (model *model) adopt(vm *vmModel) {
	if vm.isIsolated {
		return
	}
	vm.state = vm.state.WithView(model.store, model.now)
	model.enforce(vm)
}

// openAll opens all connections that a VM may open, and makes them busy if asked.
func (model *model) openAll(vm *vmModel, isBusy bool) {
	vm.open = max(vm.open, vm.state.Of(group, limit, model.now))
	if isBusy {
		vm.busy = vm.open
	}
}

func (model *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":     model.check,
		"time": func(t *rapid.T) { model.advance(rapid.IntRange(50, 800).Draw(t, "ms")) },
		"open": func(t *rapid.T) { model.openAll(model.pickAlive(t, "vm"), rapid.Bool().Draw(t, "busy")) },
		"end":  func(t *rapid.T) { model.pickAlive(t, "vm").busy = 0 },
		"cut": func(t *rapid.T) {
			vm := model.pickAlive(t, "vm")
			vm.isIsolated = !vm.isIsolated
		},
		"talk": func(t *rapid.T) {
			from, to := model.pickAlive(t, "from"), model.pickAlive(t, "to")
			if !from.isIsolated && !to.isIsolated {
				to.state = to.state.WithReport(from.id, model.report(from), model.now)
			}
		},
		"gossip": func(*rapid.T) { model.gossip() },
		"round": func(t *rapid.T) {
			isBusy := rapid.Bool().Draw(t, "busy")
			for range rapid.IntRange(1, 10).Draw(t, "rounds") {
				model.gossip()
				for _, vm := range model.vms {
					if vm.alive {
						model.adopt(vm)
						model.openAll(vm, isBusy)
					}
				}
				model.check(t)
				model.advance(200)
			}
		},
		"adopt": func(t *rapid.T) { model.adopt(model.pickAlive(t, "vm")) },
		"ask": func(t *rapid.T) {
			vm := model.pickAlive(t, "vm")
			if vm.isIsolated {
				t.Skip("VM can't reach the store")
			}
			model.adopt(vm)
			vm.state = vm.state.WithStore(model.store.Epoch, model.now)
		},
		"propose": func(t *rapid.T) {
			vm := model.pickAlive(t, "vm")
			mayPropose := vm.state.View.Epoch == 0 || vm.state.IsSettled()
			if vm.isIsolated || vm.state.View.Epoch != model.store.Epoch || !mayPropose {
				t.Skip("VM may not propose a view")
			}
			next := share.View{Epoch: model.store.Epoch + 1, Prior: model.store.VMs}
			for _, other := range model.vms {
				if rapid.IntRange(0, 2).Draw(t, other.id) > 0 {
					next.VMs = append(next.VMs, other.id)
				}
			}
			model.store = next
		},
		"die": func(t *rapid.T) {
			vm := model.pickAlive(t, "vm")
			alive := 0
			for _, other := range model.vms {
				if other.alive {
					alive++
				}
			}
			if alive <= quorum.Majority(len(model.vms)) {
				t.Skip("only a majority is alive")
			}
			// The upstream closes the connections of a dead VM.
			vm.alive, vm.open, vm.busy = false, 0, 0
		},
	}
}

// check checks rule 16: open connections do not exceed the limit.
func (model *model) check(t *rapid.T) {
	total := 0
	for _, vm := range model.vms {
		total += vm.open
	}
	if total > limit {
		t.Fatalf("%d connections are open, which exceeds the limit of %d", total, limit)
	}
}

// The limit is never exceeded while VMs join, leave, become unreachable and die in any
// order.
func TestLimitNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newModel()
		t.Repeat(model.actions())
	})
}

// The other VMs may use a dead VM's share within 5 s of its death. Its detection by
// peers takes less than 2 s of that, which leaves 3 s.
func TestDeadVMShareReclaimed(t *testing.T) {
	model := newModel()
	ids := []string{"vm1", "vm2", "vm3", "vm4", "vm5"}
	model.store = share.View{Epoch: 1, VMs: ids}
	exchange := func() {
		for _, vm := range model.vms {
			for _, other := range model.vms {
				if vm.alive && other.alive {
					vm.state = vm.state.WithView(model.store, model.now).WithReport(other.id, model.report(other), model.now)
				}
			}
		}
	}
	exchange()
	model.vms[4].alive = false
	model.store = share.View{Epoch: 2, VMs: ids[:4], Prior: ids}
	start := model.now
	for model.vms[0].state.Of(group, limit, model.now) < limit/4 || !model.vms[0].state.IsSettled() {
		model.advance(50)
		exchange()
		if model.now.Sub(start) > 3*time.Second {
			t.Fatal("the dead VM's share is not usable 3 s after the view changed")
		}
	}
}
