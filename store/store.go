// Package store defines the interface to the platform's key-value service, which
// stores the operators' configuration and the leases. The service differs between
// users, so adapters register themselves in Adapters.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/kernel"
)

// Errors of a Store and a Tree.
var (
	// ErrConflict means that the key's version was not the expected one; nothing
	// was written.
	ErrConflict = errors.New("key has a different version than expected")
	// ErrUncertain means that the store did not confirm the call: a write may have
	// been made.
	ErrUncertain = errors.New("store did not confirm the call: its outcome is unknown")
	// ErrUnavailable means that the store did not accept the call.
	ErrUnavailable = errors.New("store is unavailable")
)

// Entry is a key's value and version. Version 0 means that the key is absent.
type Entry struct {
	Value   []byte
	Version uint64
}

// Store is a key-value service with compare-and-swap, leases and watches.
type Store interface {
	// Get returns the entry of key; an absent key is not an error.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's version equals version, and returns the new
	// entry. The errors are ErrConflict, ErrUncertain and ErrUnavailable.
	Put(ctx context.Context, key string, value []byte, version uint64) (Entry, error)
	// Watch waits until the key's version differs from version, or until the
	// store's own limit for a watch, and returns the entry.
	Watch(ctx context.Context, key string, version uint64) (Entry, error)
	// Lease acquires or renews the lease name for holder. It returns false if
	// another holder has the lease.
	Lease(ctx context.Context, name, holder string, ttl time.Duration) (bool, error)
}

// Opener creates a client of the store at an address.
type Opener func(address string) (Store, error)

// Adapters are the registered adapters, by the scheme of the store's address.
var Adapters = kernel.NewRegistry[Opener]("store")
