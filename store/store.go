// Package store is the interface to the platform's key-value service, which
// holds the operators' configuration and the leases. Adapters register
// themselves; the service differs between users.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/kernel"
)

// Errors of a Store.
var (
	// ErrConflict says that the key's version was not the expected one: nothing
	// was changed.
	ErrConflict = errors.New("key has another version")
	// ErrUncertain says that the answer was lost: the change may have been made.
	ErrUncertain = errors.New("store's answer was lost")
	// ErrUnavailable says that the store did not take the call.
	ErrUnavailable = errors.New("store is unavailable")
)

// Entry is a key's value and version. Version 0 means that the key is absent.
type Entry struct {
	Value   []byte
	Version uint64
}

// Store is a key-value service with compare-and-swap, leases and watches.
type Store interface {
	// Get returns the entry of key; an absent key is no error.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's version is still version. The errors are
	// ErrConflict, ErrUncertain and ErrUnavailable.
	Put(ctx context.Context, key string, value []byte, version uint64) (Entry, error)
	// Watch waits until the key's version differs from version, or for as long
	// as the store lets a watch wait, and returns the entry.
	Watch(ctx context.Context, key string, version uint64) (Entry, error)
	// Lease takes or renews name for holder; false if another holds it.
	Lease(ctx context.Context, name, holder string, ttl time.Duration) (bool, error)
}

// Opener makes a client of the store at an address.
type Opener func(address string) (Store, error)

// Adapters are the known kinds of store, by the scheme of the address.
var Adapters = kernel.NewRegistry[Opener]("store")
