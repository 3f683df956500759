// Package roster is the interface to the platform's list of live and leaving
// VMs, which lags, and its adapter for a list in the platform's store.
package roster

import (
	"context"
	"encoding/json"

	"github.com/bramleydoor/bramleydoor/store"
)

// VM is one line of the list.
type VM struct {
	ID string `json:"id"`
	// Peer is the address for other VMs: IP and port.
	Peer    string `json:"peer"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
}

// List is the platform's list.
type List interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Key is where StoreList finds the list.
const Key = "vms"

// StoreList reads the list from a key of the platform's store.
type StoreList struct {
	Store store.Store
}

// VMs reads the list. An absent key is an empty list.
func (list StoreList) VMs(ctx context.Context) ([]VM, error) {
	found, err := list.Store.Get(ctx, Key)
	if err != nil || found.Version == 0 {
		return nil, err
	}
	var vms []VM
	err = json.Unmarshal(found.Value, &vms)
	return vms, err
}

// Fixed is a list from the settings, for seeds.
type Fixed []VM

// VMs returns the list.
func (fixed Fixed) VMs(context.Context) ([]VM, error) { return fixed, nil }

// When reads a list only while a condition holds, so that not every VM of a
// large fleet reads the same.
type When struct {
	List List
	Is   func() bool
}

// VMs reads the list, or returns nothing.
func (when When) VMs(ctx context.Context) ([]VM, error) {
	if !when.Is() {
		return nil, nil
	}
	return when.List.VMs(ctx)
}
