package vmrun

import (
	"context"
	"time"

	"github.com/bramleydoor/bramleydoor/authn"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

// newAuthenticator returns the authenticator of the messages between VMs.
func (vm *VM) newAuthenticator() *authn.Authenticator {
	return &authn.Authenticator{
		VM: vm.id(), Keys: &authn.Ring{},
		// vm.Clock may start over with the machine.
		Process: uint64(time.Now().UnixNano()),
		OnRefused: func(remote string, reason error) {
			vm.Stats.PeerRefused.Add(1)
			vm.Log.Write(event.PeerRefused, event.Fields{"remote": remote, "error": reason.Error()})
		},
	}
}

// readPeerKeys reads the keys for messages between VMs, or creates them, and then waits until
// ctx ends. Later changes are read with the list of VMs. Until then the VM neither sends nor
// accepts messages.
func (vm *VM) readPeerKeys(ctx context.Context) error {
	for ctx.Err() == nil && !vm.auth.Keys.HasKey() {
		item, err := authn.ReadOrCreate(ctx, vm.Store, vm.Clock)
		if err == nil {
			vm.installPeerKeys([]store.Item{item})
			vm.leases.Wake()
			vm.quota.wake()
		}
		if vm.auth.Keys.HasKey() {
			break
		}
		select {
		case <-ctx.Done():
		case <-vm.Clock.After(vm.retryDelay()):
		}
	}
	<-ctx.Done()
	return nil
}

// installPeerKeys installs the keys if their record is among the items read.
func (vm *VM) installPeerKeys(items []store.Item) {
	for _, item := range items {
		if item.Key != authn.RecordKey {
			continue
		}
		if err := vm.auth.Keys.InstallItem(item); err != nil {
			vm.Log.Write(event.PeerKeysRefused, event.Fields{"revision": item.Revision, "error": err.Error()})
		}
	}
}
