// Package kernel provides registries of plug-ins and runs the long-lived tasks
// of a VM. Plug-ins register themselves in a Registry from an init function. Tasks run
// in an oklog/run group, so all stop when one returns.
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

// Registry has the plug-ins of one kind by name. It is safe for concurrent use.
type Registry[T any] struct {
	kind string

	mu    sync.RWMutex
	items map[string]T
}

// NewRegistry returns an empty registry; kind names the plug-ins in errors.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, items: make(map[string]T)}
}

// Register adds a plug-in. It panics if the name is already registered, which is a
// programming error that shows when the program starts.
func (registry *Registry[T]) Register(name string, item T) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if _, ok := registry.items[name]; ok {
		panic(registry.kind + " " + name + " is registered twice")
	}
	registry.items[name] = item
}

// Lookup returns the plug-in with a name, or an error that lists the registered names.
func (registry *Registry[T]) Lookup(name string) (T, error) {
	registry.mu.RLock()
	defer registry.mu.RUnlock()
	item, ok := registry.items[name]
	if !ok {
		names := slices.Sorted(maps.Keys(registry.items))
		return item, errors.Newf("unknown %s %q; registered names: %s", registry.kind, name, strings.Join(names, ", "))
	}
	return item, nil
}

// Task is a long-lived task of a VM. Run runs it in a goroutine of its own until its
// context ends.
type Task interface {
	Run(ctx context.Context) error
}

// TaskFunc adapts a function to Task.
type TaskFunc func(ctx context.Context) error

// Run calls the function.
func (taskFunc TaskFunc) Run(ctx context.Context) error { return taskFunc(ctx) }

// Run runs the tasks until ctx ends or one of them returns. It then cancels the
// contexts of the others, waits until they return, and returns the error of the first
// one that returned. The error of an ended ctx is reported as nil.
func Run(ctx context.Context, tasks ...Task) error {
	var group run.Group
	waitCtx, stopWait := context.WithCancel(ctx)
	group.Add(
		func() error { <-waitCtx.Done(); return nil },
		func(error) { stopWait() },
	)
	for _, task := range tasks {
		taskCtx, cancel := context.WithCancel(ctx)
		group.Add(
			func() error { return task.Run(taskCtx) },
			func(error) { cancel() },
		)
	}
	err := group.Run()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}
