package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted means that the store has discarded the requested revisions; the prefix
// has to be read again with Range.
var ErrCompacted = errors.New("store has discarded the requested revisions")

// Item is a key with its value and the revision of its last change.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Change is a written item or a removed key.
type Change struct {
	Item
	IsRemoved bool
}

// Tree is a key-value service that numbers all changes with one revision counter, so
// that all keys of a prefix can be read and watched together.
type Tree interface {
	// Range returns all keys of a prefix and the store's revision before the read.
	// With allowStale the result may be some seconds old, which is cheaper.
	Range(ctx context.Context, prefix string, allowStale bool) ([]Item, uint64, error)
	// Watch waits for changes of a prefix after a revision, at most for timeout, and
	// returns them with the revision to continue from. The errors are ErrCompacted
	// and ErrUnavailable.
	Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) ([]Change, uint64, error)
	// Swap writes value if the key's revision equals revision; 0 means that the
	// key is absent. It returns the written item or, with ErrConflict, the current
	// one. The other errors are ErrUncertain and ErrUnavailable.
	Swap(ctx context.Context, key string, value []byte, revision uint64) (Item, error)
}
