// Package config has the operators' desired state as a VM believes it: which
// database names callers may ask for, the upstreams behind them, and limits.
// A Config is immutable.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  17. Accepted never reverts: a VM never installs a lower version. Holder keeps
//     that for one run of the process.
package config

import (
	"sync"
	"sync/atomic"
	"time"
)

// Access says what reads of a route may see.
type Access int

// The kinds of access.
const (
	// Current reads see every commit acknowledged before they were asked for.
	Current Access = iota
	// Aged reads may miss commits younger than the route's MaxAge.
	Aged
	// OwnWrites reads are aged, but see all commits of their own session.
	OwnWrites
)

var accessNames = [...]string{Current: "current", Aged: "aged", OwnWrites: "ownWrites"}

// String returns the name used in logs and counters.
func (access Access) String() string { return accessNames[access] }

// Route is a database name that callers may ask for.
type Route struct {
	Name     string
	Upstream string
	Access   Access
	// MaxAge is the age that Aged and OwnWrites reads accept.
	MaxAge time.Duration
	// Timeout limits one statement.
	Timeout time.Duration
	// Target is the latency that callers hope for, for a whole operation.
	Target time.Duration
	// Priority orders requests that wait; 0 goes first.
	Priority int
}

// Upstream is a service whose databases form one database group.
type Upstream struct {
	Name string
	// MaxConnections is the limit of each database, for all VMs together.
	MaxConnections int
	// SyncReplicas is how many replicas hold a commit before the primary
	// answers it.
	SyncReplicas int
}

// Limits hold for all callers.
type Limits struct {
	// TransactionIdle is how long a transaction may wait for its caller.
	TransactionIdle time.Duration
}

// Config is one version of the desired state.
type Config struct {
	Version   uint64
	Routes    map[string]Route
	Upstreams map[string]Upstream
	Limits    Limits
}

// Holder holds the Config in force. The zero value holds none.
type Holder struct {
	current atomic.Pointer[Config]

	mu    sync.Mutex
	first chan struct{}
}

// First returns a channel that is closed once there is a Config.
func (holder *Holder) First() <-chan struct{} {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	if holder.first == nil {
		holder.first = make(chan struct{})
		if holder.current.Load() != nil {
			close(holder.first)
		}
	}
	return holder.first
}

// Load returns the Config in force, or nil before the first.
func (holder *Holder) Load() *Config { return holder.current.Load() }

// Offer installs a Config if its version is higher than the one in force
// (rule 17) and reports whether it did.
func (holder *Holder) Offer(config *Config) bool {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	old := holder.current.Load()
	if old != nil && config.Version <= old.Version {
		return false
	}
	holder.current.Store(config)
	if old == nil && holder.first != nil {
		close(holder.first)
	}
	return true
}
