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

// vmModel is a VM with connections. Some are busy: after a change of the view
// they are closed only when their requests end, after a lapse within Closing.
type vmModel struct {
	id      string
	state   share.State
	open    int
	busy    int
	lapseAt time.Time
	alive   bool
	// isCut says that neither peers nor the store reach the VM.
	isCut bool
}

type model struct {
	now   time.Time
	vms   []*vmModel
	store share.View
}

func newModel() *model {
	m := &model{now: time.Unix(1000, 0)}
	for _, id := range []string{"vm1", "vm2", "vm3", "vm4", "vm5"} {
		m.vms = append(m.vms, &vmModel{id: id, state: share.New(id), alive: true})
	}
	return m
}

func (m *model) pick(t *rapid.T, label string) *vmModel {
	vm := m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, label)]
	if !vm.alive {
		t.Skip("dead")
	}
	return vm
}

// enforce is what a VM does about connections over its share.
func (m *model) enforce(vm *vmModel) {
	vm.state = vm.state.Tick(m.now)
	if vm.state.IsConfirmed(m.now) {
		vm.lapseAt = time.Time{}
	} else if vm.lapseAt.IsZero() {
		vm.lapseAt = m.now
	}
	if !vm.lapseAt.IsZero() && m.now.Sub(vm.lapseAt) >= share.Closing {
		vm.busy = 0
	}
	vm.open = max(min(vm.open, vm.state.Of(group, limit, m.now)), vm.busy)
}

// pass lets time go by in steps in which each VM looks after its connections.
func (m *model) pass(ms int) {
	for ; ms > 0; ms -= 50 {
		m.now = m.now.Add(50 * time.Millisecond)
		for _, vm := range m.vms {
			if vm.alive {
				m.enforce(vm)
			}
		}
	}
}

func (m *model) word(vm *vmModel) share.Word {
	fits := vm.open <= vm.state.Of(group, limit, m.now)
	return share.Word{Epoch: vm.state.View.Epoch, IsClosed: fits, At: m.now}
}

func (m *model) gossip() {
	for _, a := range m.vms {
		for _, b := range m.vms {
			if a.alive && b.alive && (a == b || !a.isCut && !b.isCut) {
				b.state = b.state.WithWord(a.id, m.word(a), m.now)
			}
		}
	}
}

func (m *model) adopt(vm *vmModel) {
	if vm.isCut {
		return
	}
	vm.state = vm.state.WithView(m.store, m.now)
	m.enforce(vm)
}

func (m *model) fill(vm *vmModel, busy bool) {
	vm.open = max(vm.open, vm.state.Of(group, limit, m.now))
	if busy {
		vm.busy = vm.open
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":     m.check,
		"time": func(t *rapid.T) { m.pass(rapid.IntRange(50, 800).Draw(t, "ms")) },
		"open": func(t *rapid.T) { m.fill(m.pick(t, "vm"), rapid.Bool().Draw(t, "busy")) },
		"end":  func(t *rapid.T) { m.pick(t, "vm").busy = 0 },
		"cut": func(t *rapid.T) {
			vm := m.pick(t, "vm")
			vm.isCut = !vm.isCut
		},
		"talk": func(t *rapid.T) {
			a, b := m.pick(t, "from"), m.pick(t, "to")
			if !a.isCut && !b.isCut {
				b.state = b.state.WithWord(a.id, m.word(a), m.now)
			}
		},
		"gossip": func(*rapid.T) { m.gossip() },
		"round": func(t *rapid.T) {
			isBusy := rapid.Bool().Draw(t, "busy")
			for range rapid.IntRange(1, 10).Draw(t, "rounds") {
				m.gossip()
				for _, vm := range m.vms {
					if vm.alive {
						m.adopt(vm)
						m.fill(vm, isBusy)
					}
				}
				m.check(t)
				m.pass(200)
			}
		},
		"adopt": func(t *rapid.T) { m.adopt(m.pick(t, "vm")) },
		"ask": func(t *rapid.T) {
			vm := m.pick(t, "vm")
			if vm.isCut {
				t.Skip("cut off")
			}
			m.adopt(vm)
			vm.state = vm.state.WithStore(m.store.Epoch, m.now)
		},
		"propose": func(t *rapid.T) {
			vm := m.pick(t, "vm")
			isFree := vm.state.View.Epoch == 0 || vm.state.IsSettled()
			if vm.isCut || vm.state.View.Epoch != m.store.Epoch || !isFree {
				t.Skip("not free")
			}
			next := share.View{Epoch: m.store.Epoch + 1, Prior: m.store.VMs}
			for _, other := range m.vms {
				if rapid.IntRange(0, 2).Draw(t, other.id) > 0 {
					next.VMs = append(next.VMs, other.id)
				}
			}
			m.store = next
		},
		"die": func(t *rapid.T) {
			vm := m.pick(t, "vm")
			alive := 0
			for _, other := range m.vms {
				if other.alive {
					alive++
				}
			}
			if alive <= quorum.Majority(len(m.vms)) {
				t.Skip("too few left")
			}
			// The upstream closes a dead VM's connections.
			vm.alive, vm.open, vm.busy = false, 0, 0
		},
	}
}

// check is rule 16.
func (m *model) check(t *rapid.T) {
	total := 0
	for _, vm := range m.vms {
		total += vm.open
	}
	if total > limit {
		t.Fatalf("%d connections are open, over the limit of %d", total, limit)
	}
}

// Shares move between VMs that join, leave, fall silent and die, in any order,
// and the limit is never exceeded.
func TestShareModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(m.actions())
	})
}

// A dead VM's share is back within 5 s of its death, of which the detection by
// peers takes less than two.
func TestShareReturns(t *testing.T) {
	m := newModel()
	ids := []string{"vm1", "vm2", "vm3", "vm4", "vm5"}
	m.store = share.View{Epoch: 1, VMs: ids}
	talk := func() {
		for _, vm := range m.vms {
			for _, other := range m.vms {
				if vm.alive && other.alive {
					vm.state = vm.state.WithView(m.store, m.now).WithWord(other.id, m.word(other), m.now)
				}
			}
		}
	}
	talk()
	m.vms[4].alive = false
	m.store = share.View{Epoch: 2, VMs: ids[:4], Prior: ids}
	began := m.now
	for m.vms[0].state.Of(group, limit, m.now) < limit/4 || !m.vms[0].state.IsSettled() {
		m.pass(50)
		talk()
		if m.now.Sub(began) > 3*time.Second {
			t.Fatal("the share is not back after 3 s")
		}
	}
}
