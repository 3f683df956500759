// Package config defines the operators' desired state as known to a VM: the database
// names that callers may connect to, the upstreams that serve them, and limits. A
// Config is immutable.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  17. An accepted configuration is never reverted: a VM never installs a lower
//     version. Latest enforces this for the lifetime of the process.
package config

import (
	"crypto/sha256"
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
	// BoundedStaleness reads may miss commits younger than the route's MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads are BoundedStaleness reads that also see all commits of
	// their own session.
	ReadYourWrites
)

var accessNames = [...]string{Current: "current", BoundedStaleness: "aged", ReadYourWrites: "ownWrites"}

// String returns the name of the level in logs and metrics: BoundedStaleness is
// "aged", ReadYourWrites is "ownWrites".
func (access Access) String() string { return accessNames[access] }

// Route is a database name that callers may connect to.
type Route struct {
	Name     string
	Upstream string
	Access   Access
	// MaxStaleness is the staleness bound of BoundedStaleness and ReadYourWrites reads.
	MaxStaleness time.Duration
	// Timeout limits the time of one statement.
	Timeout time.Duration
	// Target is the latency objective of a whole operation.
	Target time.Duration
	// Priority orders queued requests; 0 is served first.
	Priority int
	// IsPublic admits callers without a known key.
	IsPublic bool
}

// Team is a group of callers with a common quota. It is identified by its callers' keys.
type Team struct {
	Name string
	// RatePerSecond and Burst limit the team's operations over all VMs, as the rate and
	// the depth of a token bucket. If both are zero, the team has no quota.
	RatePerSecond float64
	Burst         float64
}

// HasQuota reports whether the team's operations are limited.
func (team Team) HasQuota() bool { return team.RatePerSecond > 0 || team.Burst > 0 }

// KeyHash is the SHA-256 hash of a caller's API key. A hash of an unknown key reveals
// nothing by the time that its look-up takes, and keys need not be kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

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
	// Teams has the teams by name; without any, callers need no key.
	Teams map[string]Team
	// TeamsByKey has the name of each key's team.
	TeamsByKey map[KeyHash]string
	// Problems describe entries of the operators' document that were left out. They have
	// no key.
	Problems []string
}

// Admit returns the name of the team whose callers have a key, empty without one, and whether
// such a caller may use a route: the configuration has no teams, the route is public or the
// key is a team's.
func (config *Config) Admit(route Route, hash KeyHash) (team string, isAdmitted bool) {
	known, ok := config.TeamOf(hash)
	return known.Name, ok || route.IsPublic || len(config.Teams) == 0
}

// TeamOf returns the team whose callers have a key.
func (config *Config) TeamOf(hash KeyHash) (Team, bool) {
	name, ok := config.TeamsByKey[hash]
	if !ok {
		return Team{}, false
	}
	team, ok := config.Teams[name]
	return team, ok
}

// Latest stores the current Config. The zero value has none. It is safe for concurrent
// use.
type Latest struct {
	current atomic.Pointer[Config]

	mu    sync.Mutex
	first chan struct{}
}

// First returns a channel that is closed once the first Config is installed.
func (latest *Latest) First() <-chan struct{} {
	latest.mu.Lock()
	defer latest.mu.Unlock()
	if latest.first == nil {
		latest.first = make(chan struct{})
		if latest.current.Load() != nil {
			close(latest.first)
		}
	}
	return latest.first
}

// Load returns the current Config, or nil before the first.
func (latest *Latest) Load() *Config { return latest.current.Load() }

// Install installs a Config if its version is higher than that of the current one
// (rule 17), and reports whether it did.
func (latest *Latest) Install(config *Config) bool {
	latest.mu.Lock()
	defer latest.mu.Unlock()
	previous := latest.current.Load()
	if previous != nil && config.Version <= previous.Version {
		return false
	}
	latest.current.Store(config)
	if previous == nil && latest.first != nil {
		close(latest.first)
	}
	return true
}
