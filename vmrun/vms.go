package vmrun

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

// vms is how many VMs share the databases' connections.
type vms struct {
	mu    sync.Mutex
	lines map[string]line
	// told is how many a keeper told of, at toldAt.
	told   int
	toldAt time.Time
	// writtenAt is when the VM's own line was last written, firstAt first.
	writtenAt, firstAt time.Time
}

// vmLine is a VM's line in the store.
type vmLine struct {
	Zone    string `json:"zone"`
	HasLeft bool   `json:"hasLeft,omitempty"`
}

type line struct {
	revision uint64
	// seenAt is when the line last changed.
	seenAt time.Time
}

// names returns the VMs known.
func (vms *vms) names() []string {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	names := make([]string, 0, len(vms.lines))
	for key := range vms.lines {
		names = append(names, strings.TrimPrefix(key, vmPrefix))
	}
	return names
}

// mayProve reports whether keepers count with this VM, so that replicas' reports
// may stand for a grant.
func (vms *vms) mayProve(now time.Time) bool {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	return !vms.firstAt.IsZero() && now.Sub(vms.firstAt) > knownFor && now.Sub(vms.writtenAt) < provesFor
}

func (vms *vms) wrote(at time.Time) {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	if at.Sub(vms.writtenAt) > vmLapses {
		vms.firstAt = at
	}
	vms.writtenAt = at
}

// count returns how many VMs are there as far as known.
func (vms *vms) count(now time.Time) int {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	if vms.told > 0 && now.Sub(vms.toldAt) < vmsEvery {
		return vms.told
	}
	return len(vms.lines)
}

func (vms *vms) heard(count int, now time.Time) {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	vms.told, vms.toldAt = count, now
}

func (vms *vms) saw(items []store.Item, now time.Time) {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	next := make(map[string]line, len(items))
	for _, item := range items {
		known, ok := vms.lines[item.Key]
		if !ok || known.revision != item.Revision {
			known = line{revision: item.Revision, seenAt: now}
		}
		var text vmLine
		hasLeft := json.Unmarshal(item.Value, &text) == nil && text.HasLeft
		if !hasLeft && now.Sub(known.seenAt) <= vmLapses {
			next[item.Key] = known
		}
	}
	vms.lines = next
}

// followVMs writes the VM's own line now and then and reads all.
func (vm *VM) followVMs(ctx context.Context) error {
	value, err := json.Marshal(vmLine{Zone: vm.Zone})
	if err != nil {
		return err
	}
	var own store.Item
	var next time.Time
	for {
		if now := vm.Clock.Now(); !now.Before(next) {
			item, err := vm.Store.Swap(ctx, vmPrefix+vm.id(), value, own.Revision)
			if err == nil || errors.Is(err, store.ErrConflict) {
				own = item
			}
			if err == nil {
				vm.vms.wrote(now)
				next = now.Add(lineEvery)
			}
		}
		if items, _, err := vm.Store.Range(ctx, vmPrefix, true); err == nil {
			vm.vms.saw(items, vm.Clock.Now())
		}
		select {
		case <-ctx.Done():
			return vm.leaveList(own.Revision)
		case <-vm.Clock.After(vmsEvery):
		}
	}
}

// leaveList tells the others that the VM has ended.
func (vm *VM) leaveList(revision uint64) error {
	value, err := json.Marshal(vmLine{Zone: vm.Zone, HasLeft: true})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := vm.Store.Swap(ctx, vmPrefix+vm.id(), value, revision); err != nil {
		vm.Log.Write(event.StoreFailing, event.Fields{"prefix": vmPrefix, "error": err.Error()})
	}
	return nil
}
