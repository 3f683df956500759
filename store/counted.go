package store

import (
	"context"
	"expvar"
	"time"
)

// Counted is a Tree that counts its calls: each is charged for, and all VMs together may
// make a limited number a second. Its fields must be set before use.
type Counted struct {
	Tree  Tree
	Calls *expvar.Map
}

var _ Tree = Counted{}

// Range counts a call as "range", or with allowStale as "rangeStale".
func (counted Counted) Range(ctx context.Context, prefix string, allowStale bool) ([]Item, uint64, error) {
	if allowStale {
		counted.Calls.Add("rangeStale", 1)
	} else {
		counted.Calls.Add("range", 1)
	}
	return counted.Tree.Range(ctx, prefix, allowStale)
}

// Watch counts a call as "watch".
func (counted Counted) Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) ([]Change, uint64, error) {
	counted.Calls.Add("watch", 1)
	return counted.Tree.Watch(ctx, prefix, after, timeout)
}

// Swap counts a call as "swap".
func (counted Counted) Swap(ctx context.Context, key string, value []byte, revision uint64) (Item, error) {
	counted.Calls.Add("swap", 1)
	return counted.Tree.Swap(ctx, key, value, revision)
}
