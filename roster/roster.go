// Package roster reads the platform's list of live and leaving VMs, which lags behind
// the actual state. It has adapters for a list in the platform's store and for one in
// the settings.
package roster

import (
	"context"
	"encoding/json"

	"github.com/bramleydoor/bramleydoor/store"
)

// VM is one entry of the list.
type VM struct {
	ID string `json:"id"`
	// Peer is the IP address and port for other VMs.
	Peer string `json:"peer"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Leaving is set for a VM that is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// List is a source of the list of VMs.
type List interface {
	VMs(ctx context.Context) ([]VM, error)
}

// ListKey is the key of the list in the store, as StoreList reads it.
const ListKey = "vms"

// StoreList reads the list, as JSON, from ListKey in the platform's store.
type StoreList struct {
	Store store.Store
}

// VMs reads the list from the store. It is empty if the key is absent. The errors are
// those of the store and of decoding.
func (list StoreList) VMs(ctx context.Context) ([]VM, error) {
	item, err := list.Store.Get(ctx, ListKey)
	if err != nil || item.Version == 0 {
		return nil, err
	}
	var vms []VM
	err = json.Unmarshal(item.Value, &vms)
	return vms, err
}

// Fixed is a fixed list, such as the seeds in the settings.
type Fixed []VM

// VMs returns the fixed list.
func (fixed Fixed) VMs(context.Context) ([]VM, error) { return fixed, nil }

// Conditional reads a list only while a condition is true, so that in a large fleet
// only some VMs read it.
type Conditional struct {
	List List
	// Condition reports whether the list is read now.
	Condition func() bool
}

// VMs reads the list, or returns an empty one while the condition is false.
func (conditional Conditional) VMs(ctx context.Context) ([]VM, error) {
	if !conditional.Condition() {
		return nil, nil
	}
	return conditional.List.VMs(ctx)
}
