// Package kernel joins plug-ins and runs duties. Plug-ins register themselves
// in a Registry from an init function; duties are joined by an oklog/run group,
// so that the end of one stops all.
package kernel

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

// Registry holds the plug-ins of one kind by name.
type Registry[T any] struct {
	kind string

	mu    sync.RWMutex
	items map[string]T
}

// NewRegistry makes a registry; kind is used in errors.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, items: make(map[string]T)}
}

// Register adds a plug-in. It panics if the name is taken, which is a mistake
// in the program and shows at its start.
func (registry *Registry[T]) Register(name string, item T) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if _, ok := registry.items[name]; ok {
		panic(registry.kind + " " + name + " is registered twice")
	}
	registry.items[name] = item
}

// Lookup returns the plug-in of a name.
func (registry *Registry[T]) Lookup(name string) (T, error) {
	registry.mu.RLock()
	defer registry.mu.RUnlock()
	item, ok := registry.items[name]
	if !ok {
		names := slices.Sorted(maps.Keys(registry.items))
		return item, errors.Newf("unknown %s %q; known are %s", registry.kind, name, strings.Join(names, ", "))
	}
	return item, nil
}

// Duty is one thing that a VM does, in a goroutine of its own, until its
// context ends.
type Duty interface {
	Run(ctx context.Context) error
}

// DutyFunc makes a function a Duty.
type DutyFunc func(ctx context.Context) error

// Run calls the function.
func (f DutyFunc) Run(ctx context.Context) error { return f(ctx) }

// Run runs the duties until ctx ends or one of them returns, then stops the
// others and waits for them. The end of ctx is no error.
func Run(ctx context.Context, duties ...Duty) error {
	var group run.Group
	outer, stop := context.WithCancel(ctx)
	group.Add(
		func() error { <-outer.Done(); return nil },
		func(error) { stop() },
	)
	for _, duty := range duties {
		inner, cancel := context.WithCancel(ctx)
		group.Add(
			func() error { return duty.Run(inner) },
			func(error) { cancel() },
		)
	}
	err := group.Run()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}
