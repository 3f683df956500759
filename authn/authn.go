// Package authn authenticates the messages between VMs with keys that only the fleet has:
// datagrams by a message authentication code with replay protection, and connections by a
// mutual challenge-response when they begin. It does no I/O but for the handshake on a
// connection and the calls of the store.
//
// Rules (numbers as in docs/design/teams-and-fleet-size.md):
//
//  6. A datagram is accepted once, by the VM and the process for which it was made, if a
//     key made it that is not removed. A VM that has no key neither sends nor accepts
//     anything. A key that a process has seen removed stays removed.
package authn

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of an Authenticator.
var (
	// ErrNoKey means that the VM has read no key yet.
	ErrNoKey = errors.New("VM has no key for messages between VMs")
	// ErrMalformed means that a datagram or a handshake has not the expected format.
	ErrMalformed = errors.New("message of a VM is malformed")
	// ErrUnknownKey means that a message was made with a key that is not listed.
	ErrUnknownKey = errors.New("message of a VM was made with an unknown key")
	// ErrForged means that a message was not made with the key that it names, by its sender
	// and for this VM.
	ErrForged = errors.New("message of a VM has a wrong authentication code")
	// ErrReplayed means that a datagram was received before, or is too old to tell.
	ErrReplayed = errors.New("datagram of a VM was received before")
	// ErrStale means that a datagram is for, or from, an earlier process of its VM.
	ErrStale = errors.New("datagram belongs to an earlier process")
)

const (
	// secretBytes is the length of a key's secret.
	secretBytes = 32
	// maxKeys is the maximum number of keys in a record. A rotation needs two.
	maxKeys = 8
)

// Key is a secret with its number.
type Key struct {
	Number uint32 `json:"number"`
	Secret []byte `json:"secret"`

	// macs has hash.Hash values of the secret, since making one costs as much as a code.
	macs *sync.Pool
}

// String returns the number only, since keys must not appear in logs.
func (key Key) String() string { return fmt.Sprintf("key %d", key.Number) }

// Record is the record of the keys in the store. All listed keys are accepted.
type Record struct {
	// Signing is the number of the key that makes messages.
	Signing uint32 `json:"signing"`
	Keys    []Key  `json:"keys"`
	// RemovedUpTo is the highest number of a removed key. No key up to it is valid again.
	RemovedUpTo uint32 `json:"removedUpTo,omitempty"`
}

// NewRecord returns a record with one random key. Its number is the time in s, so that it
// is above those of an earlier record that was deleted. The time has to be that of the wall
// clock, since clock.Boot starts over with the machine.
func NewRecord(now time.Time) Record {
	number := uint32(now.Unix())
	return Record{Signing: number, Keys: []Key{newKey(number)}}
}

func newKey(number uint32) Key {
	key := Key{Number: number, Secret: make([]byte, secretBytes)}
	// It never returns an error.
	_, _ = rand.Read(key.Secret)
	return key
}

// find returns the key of a number, or nil.
func (record Record) find(number uint32) *Key {
	for index := range record.Keys {
		if record.Keys[index].Number == number {
			return &record.Keys[index]
		}
	}
	return nil
}

// check returns an error unless the record is complete: keys with different numbers above
// RemovedUpTo, one of which signs.
func (record Record) check() error {
	if len(record.Keys) == 0 || len(record.Keys) > maxKeys {
		return errors.Newf("record of keys has %d keys; it must have 1 to %d", len(record.Keys), maxKeys)
	}
	for index, key := range record.Keys {
		if len(key.Secret) != secretBytes {
			return errors.Newf("secret of key %d has %d bytes; it must have %d", key.Number, len(key.Secret), secretBytes)
		}
		if key.Number <= record.RemovedUpTo {
			return errors.Newf("key %d is listed, but keys up to %d are removed", key.Number, record.RemovedUpTo)
		}
		if record.find(key.Number) != &record.Keys[index] {
			return errors.Newf("key %d is listed twice", key.Number)
		}
	}
	if record.find(record.Signing) == nil {
		return errors.Newf("signing key %d is not listed", record.Signing)
	}
	return nil
}

// Ring holds the keys that a VM has read. The zero value has none. It is safe for
// concurrent use.
type Ring struct {
	installed atomic.Pointer[installedRecord]

	mu sync.Mutex
	// first is closed once the Ring has a key.
	first chan struct{}
}

type installedRecord struct {
	Record
	revision uint64
}

// Install replaces the keys by those of a record at a revision of the store, unless the
// Ring has that revision or a later one. It returns an error and keeps its keys if the
// record is invalid, or signs with a key that this process has seen removed.
func (ring *Ring) Install(record Record, revision uint64) error {
	if err := record.check(); err != nil {
		return err
	}
	for {
		current := ring.installed.Load()
		next := &installedRecord{Record: record, revision: revision}
		next.Keys = slices.Clone(record.Keys)
		for index := range next.Keys {
			secret := next.Keys[index].Secret
			next.Keys[index].macs = &sync.Pool{New: func() any { return hmac.New(sha256.New, secret) }}
		}
		if current != nil {
			if revision <= current.revision {
				return nil
			}
			next.RemovedUpTo = max(next.RemovedUpTo, current.RemovedUpTo)
			for _, key := range current.Keys {
				if record.find(key.Number) == nil {
					next.RemovedUpTo = max(next.RemovedUpTo, key.Number)
				}
			}
		}
		if record.Signing <= next.RemovedUpTo {
			return errors.Newf("signing key %d is not above %d, the highest removed one", record.Signing, next.RemovedUpTo)
		}
		if ring.installed.CompareAndSwap(current, next) {
			if current == nil {
				close(ring.firstChannel())
			}
			return nil
		}
	}
}

// First returns a channel that is closed once the Ring has a key.
func (ring *Ring) First() <-chan struct{} { return ring.firstChannel() }

func (ring *Ring) firstChannel() chan struct{} {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	if ring.first == nil {
		ring.first = make(chan struct{})
	}
	return ring.first
}

// HasKey reports whether the Ring has a key.
func (ring *Ring) HasKey() bool { return ring.installed.Load() != nil }

// Accepts reports whether the key of a number is valid.
func (ring *Ring) Accepts(number uint32) bool { return ring.find(number) != nil }

// Signing returns the number of the key that makes messages; 0 without one.
func (ring *Ring) Signing() uint32 {
	if key := ring.signing(); key != nil {
		return key.Number
	}
	return 0
}

func (ring *Ring) signing() *Key {
	installed := ring.installed.Load()
	if installed == nil {
		return nil
	}
	return installed.find(installed.Signing)
}

func (ring *Ring) find(number uint32) *Key {
	installed := ring.installed.Load()
	if installed == nil || number <= installed.RemovedUpTo {
		return nil
	}
	return installed.find(number)
}

// code returns the authentication code of parts. Each part is preceded by its length, so
// that no two lists of parts have the same code.
func (key *Key) code(parts ...[]byte) []byte {
	mac := key.macs.Get().(hash.Hash)
	defer key.macs.Put(mac)
	mac.Reset()
	var length [4]byte
	for _, part := range parts {
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		mac.Write(length[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}
