package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrForgotten says that the store no longer has the history that was asked
// for; the keys have to be read anew.
var ErrForgotten = errors.New("store has forgotten this history")

// Item is a key with its value and the revision of its last change.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Change is an item as it was written, or a key that was removed.
type Change struct {
	Item
	IsRemoved bool
}

// Tree is a key-value service that counts all changes with one revision, so
// that whole prefixes can be read and followed.
type Tree interface {
	// Range reads all keys of a prefix, and the store's revision before it. A
	// read that may be seconds old is cheaper.
	Range(ctx context.Context, prefix string, mayBeOld bool) ([]Item, uint64, error)
	// Follow waits for changes of a prefix after a revision, for as long as
	// wait, and returns them with the revision to continue from. The errors are
	// ErrForgotten and ErrUnavailable.
	Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Swap writes value if the key's revision is still revision; 0 means that
	// the key is absent. It returns the item as written or, with ErrConflict, as
	// it is. The other errors are ErrUncertain and ErrUnavailable.
	Swap(ctx context.Context, key string, value []byte, revision uint64) (Item, error)
}
