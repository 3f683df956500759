package leader_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/store"
)

// setsVM is a VM with an elector for each set.
type setsVM struct {
	*leader.Sets
	cancel context.CancelFunc
	done   chan struct{}
	tree   *flakyTree
}

// flakyTree is a VM's connection to the store, which fails while isCut is set.
type flakyTree struct {
	store.Tree
	mu    sync.Mutex
	isCut bool
	// isFormer makes the VM decide by the records, and write them, as the version before the
	// field "before" did: it does not see the field, and releases a record without sets.
	isFormer bool
}

func (tree *flakyTree) setCut(isCut bool) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	tree.isCut = isCut
}

// unlessCut fails after the time of a call without an answer while the VM is cut off.
func (tree *flakyTree) unlessCut(ctx context.Context) error {
	tree.mu.Lock()
	isCut := tree.isCut
	tree.mu.Unlock()
	if !isCut {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(1500 * time.Millisecond):
	}
	return store.ErrUncertain
}

func (tree *flakyTree) Range(ctx context.Context, prefix string, allowStale bool) ([]store.Item, uint64, error) {
	if err := tree.unlessCut(ctx); err != nil {
		return nil, 0, err
	}
	items, revision, err := tree.Tree.Range(ctx, prefix, allowStale)
	if tree.isFormer {
		for i := range items {
			items[i].Value = formerRecord(items[i].Value)
		}
	}
	return items, revision, err
}

func (tree *flakyTree) Swap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	if err := tree.unlessCut(ctx); err != nil {
		return store.Item{}, err
	}
	if tree.isFormer {
		value = formerRecord(value)
	}
	item, err := tree.Tree.Swap(ctx, key, value, revision)
	if tree.isFormer {
		item.Value = formerRecord(item.Value)
	}
	return item, err
}

// formerRecord returns a record as the version before the field "before" writes and reads it.
func formerRecord(value []byte) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(value, &fields) != nil {
		return value
	}
	delete(fields, "before")
	if string(fields["holder"]) == `""` {
		delete(fields, "sets")
	}
	former, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return former
}

func startSets(tree store.Tree, vm string, process uint64, count int) *setsVM {
	return startSetsOf(&flakyTree{Tree: tree}, vm, process, count)
}

func startSetsOf(flaky *flakyTree, vm string, process uint64, count int) *setsVM {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	sets := &leader.Sets{
		Store: flaky, Clock: clock.System{}, Log: event.NewLog(logger, vm), VM: vm, Process: process,
		LastMessageAt:   func(int) time.Time { return time.Time{} },
		MessageInterval: func(int) time.Duration { return 400 * time.Millisecond },
	}
	sets.SetCount(count)
	sets.Watch([]int{0, 1, 2, 3})
	ctx, cancel := context.WithCancel(context.Background())
	started := &setsVM{Sets: sets, cancel: cancel, done: make(chan struct{}), tree: flaky}
	go func() {
		defer close(started.done)
		_ = sets.Run(ctx)
	}()
	return started
}

// Groups are spread over sets, and one set more moves groups to it only: a group that stays
// has no handover.
func TestSetOf(t *testing.T) {
	c := qt.New(t)
	for groups, sets := range map[int]int{0: 1, 1: 1, 24: 1, 25: 2, 48: 2, 49: 3, 80: 4} {
		c.Check(leader.SetCount(groups), qt.Equals, sets, qt.Commentf("%d groups", groups))
	}
	counts := make([]int, 4)
	for i := range 800 {
		group := fmt.Sprintf("group%d", i)
		counts[leader.SetOf(group, 4)]++
		if three, four := leader.SetOf(group, 3), leader.SetOf(group, 4); three != four {
			c.Check(four, qt.Equals, 3)
		}
	}
	for _, count := range counts {
		c.Check(count > 150 && count < 250, qt.IsTrue, qt.Commentf("%v", counts))
	}
}

// Rule 7 of the fleet's size: each set has a leader soon after the VMs start, and they are
// different VMs. When one dies, its sets are led by others as soon as that of a small fleet.
func TestSetsHaveDifferentLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		var vms []*setsVM
		for vm := range 12 {
			vms = append(vms, startSets(tree, fmt.Sprintf("vm%d", vm), 1, 4))
		}
		time.Sleep(500 * time.Millisecond)
		ledBy := func(vm *setsVM) (led []int) {
			for set := range 4 {
				if _, ok := vm.Holds(set, 0); ok {
					led = append(led, set)
				}
			}
			return led
		}
		countLed := func() (count int) {
			for _, vm := range vms {
				c.Check(len(ledBy(vm)) <= 1, qt.IsTrue)
				count += len(ledBy(vm))
			}
			return count
		}
		c.Assert(countLed(), qt.Equals, 4)
		for _, vm := range vms {
			if len(ledBy(vm)) > 0 {
				vm.tree.setCut(true)
				break
			}
		}
		time.Sleep(leader.TTL + 1500*time.Millisecond)
		c.Assert(countLed(), qt.Equals, 4)
		for _, vm := range vms {
			vm.tree.setCut(false)
			vm.cancel()
			<-vm.done
		}
	})
}

// Load: all VMs are killed and start again, and learn the number of sets at different times.
// Each group has a leader within the time of a small fleet.
func TestSetsAfterLossOfAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		run := func(process uint64, initial int) (vms []*setsVM) {
			for vm := range 12 {
				vms = append(vms, startSets(tree, fmt.Sprintf("vm%d", vm), process, initial))
			}
			return vms
		}
		stop := func(vms []*setsVM) {
			for _, vm := range vms {
				vm.cancel()
				<-vm.done
			}
		}
		killed := run(1, 4)
		time.Sleep(10 * time.Second)
		for _, vm := range killed {
			vm.tree.setCut(true)
		}
		stop(killed)
		started := run(2, 1)
		for i, vm := range started {
			time.AfterFunc(time.Duration(i)*20*time.Millisecond, func() { vm.SetCount(4) })
		}
		time.Sleep(500 * time.Millisecond)
		for i := range 80 {
			var holders int
			for _, vm := range started {
				if _, ok := vm.HoldsGroup(fmt.Sprintf("group%d", i), 0); ok {
					holders++
				}
			}
			c.Check(holders, qt.Equals, 1)
		}
		stop(started)
	})
}

// Rule 9 while the number of sets changes at different times on different VMs, VMs lose the
// store, stop and start, and the store loses answers: no two VMs may act on a group at the
// same time, none acts on one while an order of another is in flight, and the fencing token
// of a group is higher with each change of the VM. Once nothing fails, one VM may act on
// each group.
func TestOneLeaderPerGroup(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkOneLeaderPerGroup(t, rand.New(rand.NewPCG(2, seed)), 0) })
		})
	}
}

// The same while two of the four VMs read and write records as the version before the field
// "before" did.
func TestOneLeaderPerGroupOfTwoVersions(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkOneLeaderPerGroup(t, rand.New(rand.NewPCG(3, seed)), 2) })
		})
	}
}

// countingTree counts the writes that were made.
type countingTree struct {
	store.Tree
	swaps atomic.Int64
}

func (tree *countingTree) Swap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	// As long as the store of the users takes, so that the VMs' writes and reads alternate.
	time.Sleep(4 * time.Millisecond)
	item, err := tree.Tree.Swap(ctx, key, value, revision)
	if err == nil {
		tree.swaps.Add(1)
	}
	return item, err
}

// Load: the leaders of many sets take them at the same time. They don't raise their fencing
// tokens above each other's: before the first renewal, after a second, each writes its record
// to take the set, and at most once more if it is woken.
func TestTokensOfManySets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const sets = 13
		tree := &countingTree{Tree: &fakekv.Tree{}}
		var allSets []int
		for set := range sets {
			allSets = append(allSets, set)
		}
		var vms []*setsVM
		for vm := range 4 * sets {
			started := startSets(tree, fmt.Sprintf("vm%d", vm), 1, sets)
			started.Watch(allSets)
			vms = append(vms, started)
		}
		time.Sleep(900 * time.Millisecond)
		for set := range sets {
			var leaders int
			for _, vm := range vms {
				if _, ok := vm.Holds(set, 0); ok {
					leaders++
				}
			}
			c.Check(leaders, qt.Equals, 1)
		}
		c.Check(tree.swaps.Load() <= 2*sets, qt.IsTrue, qt.Commentf("%d writes", tree.swaps.Load()))
		for _, vm := range vms {
			vm.cancel()
			<-vm.done
		}
	})
}

// groupHistory is which VM last could act on a group, and the order in flight.
type groupHistory struct {
	vm, orderBy int
	token       uint64
	orderEnds   time.Time
	endOrder    func()
}

// former is the number of VMs that use records as an earlier version did.
func checkOneLeaderPerGroup(t *testing.T, random *rand.Rand, former int) {
	const vmCount, groupCount = 4, 12
	tree := &fakekv.Tree{}
	vms := make([]*setsVM, vmCount)
	counts := make([]int, vmCount)
	for vm := range vms {
		counts[vm] = 1 + random.IntN(3)
		flaky := &flakyTree{Tree: tree, isFormer: vm < former}
		vms[vm] = startSetsOf(flaky, fmt.Sprintf("vm%d", vm), 0, counts[vm])
	}
	histories := make([]groupHistory, groupCount)
	check := func() (held int) {
		for i := range histories {
			history, group := &histories[i], fmt.Sprintf("group%d", i)
			if history.endOrder != nil && !time.Now().Before(history.orderEnds) {
				history.endOrder()
				history.endOrder = nil
			}
			var holders int
			for vm := range vms {
				token, ok := vms[vm].HoldsGroup(group, 0)
				if !ok {
					continue
				}
				holders++
				if token < history.token || token == history.token && vm != history.vm {
					t.Fatalf("vm%d acts on %s with token %d after vm%d with %d", vm, group, token, history.vm, history.token)
				}
				history.vm, history.token = vm, token
				if history.endOrder != nil && history.orderBy != vm {
					t.Fatalf("vm%d acts on %s during an order of vm%d", vm, group, history.orderBy)
				}
				if history.endOrder == nil && random.IntN(20) == 0 {
					if _, end, ok := vms[vm].BeginOrder(group, time.Second); ok {
						history.orderBy, history.endOrder = vm, end
						history.orderEnds = time.Now().Add(time.Duration(random.IntN(950)) * time.Millisecond)
					}
				}
			}
			if holders > 1 {
				t.Fatalf("%d VMs act on %s", holders, group)
			}
			held += holders
		}
		return held
	}
	for range 2000 {
		time.Sleep(20 * time.Millisecond)
		vm := random.IntN(vmCount)
		switch random.IntN(100) {
		case 0:
			tree.SetDown(true)
		case 1, 2, 3:
			tree.SetDown(false)
		case 4:
			tree.LoseSwapAnswers(1+random.IntN(3), time.Duration(random.IntN(4000))*time.Millisecond)
		case 5, 6, 7, 8:
			vms[vm].SetCount(1 + random.IntN(3))
		case 9:
			vms[vm].tree.setCut(true)
		case 10, 11:
			vms[vm].tree.setCut(false)
		}
		check()
	}
	tree.SetDown(false)
	for vm := range vms {
		vms[vm].tree.setCut(false)
		vms[vm].SetCount(3)
	}
	for range 500 {
		time.Sleep(20 * time.Millisecond)
		check()
	}
	if held := check(); held != groupCount {
		t.Fatalf("%d of %d groups have a leader", held, groupCount)
	}
	for i := range histories {
		if histories[i].endOrder != nil {
			histories[i].endOrder()
		}
	}
	for vm := range vms {
		vms[vm].cancel()
		<-vms[vm].done
	}
}
