// Package config defines the operators' desired state as known to a VM: the database
// names that callers may connect to, the upstreams that serve them, and limits. A
// Config is immutable.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  17. An accepted configuration is never reverted: a VM never installs a lower
//     version. Holder enforces this for the lifetime of the process.
package config

import (
	"sync"
	"sync/atomic"
	"time"
)

// Access is the consistency level of a route's reads.
type Access int

// The consistency levels.
const (
	// Current reads see every commit acknowledged before the read was received.
	Current Access = iota
	// Aged reads have bounded staleness: they may miss commits younger than the
	// route's MaxAge.
	Aged
	// OwnWrites reads are Aged reads that also see all commits of their own
	// session (read-your-writes).
	OwnWrites
)

var accessNames = [...]string{Current: "current", Aged: "aged", OwnWrites: "ownWrites"}

// String returns the name of the level in logs and metrics.
func (access Access) String() string { return accessNames[access] }

// Route is a database name that callers may connect to.
type Route struct {
	Name     string
	Upstream string
	Access   Access
	// MaxAge is the staleness bound of Aged and OwnWrites reads.
	MaxAge time.Duration
	// Timeout limits the time of one statement.
	Timeout time.Duration
	// Target is the latency objective of a whole operation.
	Target time.Duration
	// Priority orders queued requests; 0 is served first.
	Priority int
}

// Upstream is a service whose databases form one database group.
type Upstream struct {
	Name string
	// MaxConnections is the connection limit of each database, shared by all VMs.
	MaxConnections int
	// SyncReplicas is the number of replicas that must have received a commit
	// before the primary acknowledges it; 0 is asynchronous replication.
	SyncReplicas int
}

// Limits apply to all callers.
type Limits struct {
	// TransactionIdle is the timeout for the next statement within a transaction.
	TransactionIdle time.Duration
}

// Config is one version of the desired state.
type Config struct {
	Version   uint64
	Routes    map[string]Route
	Upstreams map[string]Upstream
	Limits    Limits
}

// Holder stores the current Config. The zero value has none. It is safe for concurrent
// use.
type Holder struct {
	current atomic.Pointer[Config]

	mu    sync.Mutex
	first chan struct{}
}

// First returns a channel that is closed once the first Config is installed.
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

// Load returns the current Config, or nil before the first.
func (holder *Holder) Load() *Config { return holder.current.Load() }

// Offer installs a Config if its version is higher than that of the current one
// (rule 17), and reports whether it did.
func (holder *Holder) Offer(config *Config) bool {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	previous := holder.current.Load()
	if previous != nil && config.Version <= previous.Version {
		return false
	}
	holder.current.Store(config)
	if previous == nil && holder.first != nil {
		close(holder.first)
	}
	return true
}
