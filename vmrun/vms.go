package vmrun

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

// vmList holds the VMs that share the databases' connections.
type vmList struct {
	mu      sync.Mutex
	records map[string]observedRecord
	// lost has the databases that operators have declared lost.
	lost map[string]bool
	// ranks has the VMs of an availability zone in the order in which they route a group,
	// as far as they were asked for since the records or the configuration changed.
	ranks map[zoneGroup][]string
	// ranksFor is the configuration to which ranks apply.
	ranksFor *config.Config
	// zoneCount is the number of availability zones with VMs; 0 if it is not known.
	zoneCount int
	// leaderCount is the number of VMs that a leader reported at leaderCountAt.
	leaderCount   int
	leaderCountAt time.Time
	// writtenAt is when the VM's own record was last written, firstWrittenAt when it
	// was first written, or written again after it had expired.
	writtenAt, firstWrittenAt time.Time
	// joinedAt is when this process first found the VM's own record in the store, or wrote it;
	// wasListed is set if an earlier process had written it.
	joinedAt  time.Time
	wasListed bool
	// revision is that of the store by the last read.
	revision uint64
	// freshAt is when the last read of the list that was not of a stale copy was sent.
	freshAt time.Time
	// isSettled is set once the list can tell the size of the fleet.
	isSettled bool
}

// vmRecord is a VM's record in the store.
type vmRecord struct {
	Zone    string `json:"zone"`
	HasLeft bool   `json:"hasLeft,omitempty"`
	// EvidenceMS is the VM's dbset.EvidenceDuration; absent stands for
	// dbset.FormerEvidenceDuration.
	EvidenceMS int64 `json:"evidenceMS,omitempty"`
	// HasShares is set if the VM's version has shares of the teams' quotas.
	HasShares bool `json:"hasShares,omitempty"`
}

// newVMRecord returns the record of this VM.
func (vm *VM) newVMRecord() vmRecord {
	return vmRecord{Zone: vm.Zone, EvidenceMS: dbset.EvidenceDuration.Milliseconds(), HasShares: true}
}

// observedRecord is the state of a VM's record as this VM last read it.
type observedRecord struct {
	revision uint64
	zone     string
	// hasShares is vmRecord.HasShares.
	hasShares bool
	// evidence is the VM's dbset.EvidenceDuration.
	evidence time.Duration
	// observedAt is when this VM first read the record's revision.
	observedAt time.Time
}

// vmID returns the ID of the VM whose record has a key.
func vmID(recordKey string) string { return strings.TrimPrefix(recordKey, vmPrefix) }

// names returns the IDs of the VMs in the list.
func (vmList *vmList) names() []string {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	names := make([]string, 0, len(vmList.records))
	for key := range vmList.records {
		names = append(names, vmID(key))
	}
	return names
}

// quotaVMs returns the VMs in the list, and whether their versions have shares of the teams'
// quotas. isCounted is set if the others count this one as well: its record is in the store, and
// can't have expired there.
func (vmList *vmList) quotaVMs(self string, now time.Time) (vms map[string]bool, isCounted bool) {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	vms = make(map[string]bool, len(vmList.records))
	for key, record := range vmList.records {
		vms[vmID(key)] = record.hasShares
	}
	_, isListed := vms[self]
	isRecent := now.Sub(vmList.writtenAt) < evidenceAllowedFor || now.Sub(vmList.joinedAt) < evidenceAllowedFor-vmRecordInterval
	return vms, isListed && vmList.isSettled && isRecent
}

// mayUseEvidence reports whether this VM may use evidence in place of a lease: only
// while leaders count the VM, and so wait for its evidence to expire before they
// promote.
func (vmList *vmList) mayUseEvidence(now time.Time) bool {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	return !vmList.firstWrittenAt.IsZero() && now.Sub(vmList.firstWrittenAt) > vmRecordPropagation && now.Sub(vmList.writtenAt) < evidenceAllowedFor
}

// recordWritten records that the VM's own record was written.
func (vmList *vmList) recordWritten(at time.Time) {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	if at.Sub(vmList.writtenAt) > vmRecordTTL {
		vmList.firstWrittenAt = at
	}
	vmList.writtenAt = at
}

// evidenceDuration returns how long any VM in the list uses a replica's report in place of a
// lease.
func (vmList *vmList) evidenceDuration() time.Duration {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	longest := dbset.EvidenceDuration
	for _, record := range vmList.records {
		longest = max(longest, record.evidence)
	}
	return longest
}

// joined records that the VM's own record is in the store.
func (vmList *vmList) joined(at time.Time, wasListed bool) {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	if vmList.joinedAt.IsZero() {
		vmList.joinedAt, vmList.wasListed = at, wasListed
	}
}

// needsFreshRead reports whether the next read of the list, at the time now, has to be that of
// the store's present state: a stale copy may lack the VMs that started together with this one.
func (vmList *vmList) needsFreshRead(now time.Time) bool {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	return !vmList.isSettled && !vmList.joinedAt.IsZero() && now.Sub(vmList.joinedAt) >= settleDelay
}

// settle marks the list as settled after a fresh read. A stale copy is enough if it has the
// record of an earlier process of the VM, since it then has the VMs of that time.
func (vmList *vmList) settle(self string, isFresh bool) {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	_, isListed := vmList.records[vmPrefix+self]
	vmList.isSettled = vmList.isSettled || isFresh || vmList.wasListed && isListed
}

// isComplete reports whether the list has all VMs that may use evidence: one whose record was
// written later may not do so yet.
func (vmList *vmList) isComplete(now time.Time) bool {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	return !vmList.freshAt.IsZero() && now.Sub(vmList.freshAt) < vmListCompleteFor
}

// isLost reports whether operators have declared a database lost.
func (vmList *vmList) isLost(id string) bool {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	return vmList.lost[id]
}

// settled reports whether the list can tell the size of the fleet. A VM that starts together
// with others would else take the fleet for a small one, in which every VM needs all groups.
func (vmList *vmList) settled() bool {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	return vmList.isSettled
}

// count returns the number of VMs: a leader's recent count, or else that of the list.
func (vmList *vmList) count(now time.Time) int {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	if vmList.leaderCount > 0 && now.Sub(vmList.leaderCountAt) < vmListInterval {
		return vmList.leaderCount
	}
	return len(vmList.records)
}

func (vmList *vmList) setLeaderCount(count int, now time.Time) {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	vmList.leaderCount, vmList.leaderCountAt = count, now
}

// updateAt is update by a read at a revision of the store, which was sent at readAt. It does nothing
// and returns false if the list is newer: it would lack VMs again.
func (vmList *vmList) updateAt(items []store.Item, revision uint64, isFresh bool, readAt, now time.Time) bool {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	if revision < vmList.revision {
		return false
	}
	vmList.revision = revision
	if isFresh && readAt.After(vmList.freshAt) {
		vmList.freshAt = readAt
	}
	vmList.updateLocked(items, now)
	return true
}

// update replaces the list by the records among the items read, without the VMs that have
// left or whose record has expired.
func (vmList *vmList) update(items []store.Item, now time.Time) {
	vmList.mu.Lock()
	defer vmList.mu.Unlock()
	vmList.updateLocked(items, now)
}

// updateLocked is update for callers that hold vmList.mu.
func (vmList *vmList) updateLocked(items []store.Item, now time.Time) {
	next := make(map[string]observedRecord, len(items))
	vmList.lost = nil
	for _, item := range items {
		if id, ok := strings.CutPrefix(item.Key, lostPrefix); ok {
			if vmList.lost == nil {
				vmList.lost = make(map[string]bool)
			}
			vmList.lost[id] = true
		}
		if !strings.HasPrefix(item.Key, vmPrefix) {
			continue
		}
		observed, ok := vmList.records[item.Key]
		if !ok || observed.revision != item.Revision {
			observed = observedRecord{revision: item.Revision, observedAt: now}
		}
		var record vmRecord
		hasLeft := json.Unmarshal(item.Value, &record) == nil && record.HasLeft
		observed.zone, observed.hasShares, observed.evidence = record.Zone, record.HasShares, dbset.FormerEvidenceDuration
		if record.EvidenceMS > 0 {
			observed.evidence = time.Duration(record.EvidenceMS) * time.Millisecond
		}
		if !hasLeft && now.Sub(observed.observedAt) <= vmRecordTTL {
			next[item.Key] = observed
		}
	}
	haveSameZones := maps.EqualFunc(vmList.records, next, func(a, b observedRecord) bool { return a.zone == b.zone })
	if !haveSameZones {
		clear(vmList.ranks)
		vmList.zoneCount = 0
	}
	vmList.records = next
}

// syncVMList periodically writes the VM's own record and reads those of all VMs, with the
// keys for messages between them, until ctx ends.
func (vm *VM) syncVMList(ctx context.Context) error {
	value, err := json.Marshal(vm.newVMRecord())
	if err != nil {
		return err
	}
	var own store.Item
	var nextWrite time.Time
	interval := settleDelay
	for {
		if now := vm.Clock.Now(); !now.Before(nextWrite) {
			item, err := vm.Store.Swap(ctx, vmPrefix+vm.id(), value, own.Revision)
			if err == nil || errors.Is(err, store.ErrConflict) {
				own = item
				vm.vmList.joined(now, err != nil)
			}
			if err == nil {
				vm.vmList.recordWritten(now)
				nextWrite = now.Add(vmRecordInterval)
			}
		}
		// A read that fails is repeated with the next one.
		_ = vm.readVMList(ctx, vm.vmList.needsFreshRead(vm.Clock.Now()))
		wait := vmListInterval
		if !vm.vmList.settled() {
			wait, interval = interval, min(2*interval, vmListInterval)
		}
		select {
		case <-ctx.Done():
			return vm.markLeft(own.Revision)
		case <-vm.Clock.After(wait):
		}
	}
}

// readVMList reads the records of all VMs: as the store has them now, or from a copy that may be
// seconds old.
func (vm *VM) readVMList(ctx context.Context, isFresh bool) error {
	readAt := vm.Clock.Now()
	items, revision, err := vm.Store.Range(ctx, ownPrefix, !isFresh)
	if err != nil {
		return err
	}
	if isFresh || vm.auth.Keys.HasKey() {
		// The first keys of a process are not those of an old copy: some may have been removed.
		vm.installPeerKeys(items)
	}
	if !vm.vmList.updateAt(items, revision, isFresh, readAt, vm.Clock.Now()) {
		return nil
	}
	vm.vmList.settle(vm.id(), isFresh)
	vm.retainRouters()
	return nil
}

// refreshVMList makes the list complete, or logs why it can't.
func (vm *VM) refreshVMList(ctx context.Context) {
	vm.refreshing.Lock()
	defer vm.refreshing.Unlock()
	if vm.vmList.isComplete(vm.Clock.Now()) {
		return
	}
	if err := vm.readVMList(ctx, true); err != nil && ctx.Err() == nil {
		vm.Log.Write(event.StoreFailing, event.Fields{"prefix": ownPrefix, "error": err.Error()})
	}
}

// markLeft marks the VM's record as left, so that other VMs stop counting it at
// once.
func (vm *VM) markLeft(revision uint64) error {
	record := vm.newVMRecord()
	record.HasLeft = true
	value, err := json.Marshal(record)
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
