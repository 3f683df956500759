package demo

import (
	"fmt"
	"time"
)

// Deployment describes the size and the load of a cluster.
type Deployment struct {
	Name string
	// UpstreamPrefix is the prefix of the upstreams' names: "ledger" gives ledger1,
	// ledger2, and so on. UpstreamCount is the number of upstreams, Databases the
	// number of databases of each, and Slots the number of slots of each database
	// group.
	UpstreamPrefix string
	UpstreamCount  int
	Databases      int
	Slots          int
	// ConnectionLimit is the limit of open connections to each database.
	ConnectionLimit int
	// ZoneDelay is the one-way delay between availability zones, CallerDelay the one
	// between a caller and a VM. ConnectDelay is the time that a database takes to
	// accept a connection.
	ZoneDelay    time.Duration
	CallerDelay  time.Duration
	ConnectDelay time.Duration
	Zones        int
	VMs          int
	// ReadShare is the share of reads among a caller's requests.
	ReadShare float64
	// BoundedStalenessShare is the share of bounded-staleness reads among the reads,
	// MaxStaleness their bound.
	BoundedStalenessShare float64
	MaxStaleness          time.Duration
	// Wait limits how long a request waits for a database; zero is the default.
	Wait time.Duration
}

// Deployments maps names to the supported deployments. The sizes of authority and
// coop are those of present users.
var Deployments = map[string]Deployment{
	"authority": {
		Name: "authority", UpstreamPrefix: "ledger", UpstreamCount: 3, Databases: 3, Slots: 3, ConnectionLimit: 25,
		ZoneDelay: time.Millisecond, CallerDelay: 3 * time.Millisecond, ConnectDelay: 10 * time.Millisecond,
		Zones: 4, VMs: 5, ReadShare: 0.8, BoundedStalenessShare: 0.1, MaxStaleness: time.Minute,
	},
	"coop": {
		Name: "coop", UpstreamPrefix: "orders", UpstreamCount: 3, Databases: 3, Slots: 5, ConnectionLimit: 60,
		ZoneDelay: 1500 * time.Microsecond, CallerDelay: 3 * time.Millisecond, ConnectDelay: 10 * time.Millisecond,
		Zones: 4, VMs: 5, ReadShare: 0.9, BoundedStalenessShare: 0.2, MaxStaleness: time.Minute,
	},
	// tiny is for tests. It has one database and no delays.
	"tiny": {
		Name: "tiny", UpstreamPrefix: "ledger", UpstreamCount: 1, Databases: 1, Slots: 3, ConnectionLimit: 25,
		Zones: 4, VMs: 5, ReadShare: 0.8, BoundedStalenessShare: 0.1, MaxStaleness: time.Minute,
	},
}

// Zone returns the name of the availability zone of the VM or slot with an index.
func (deployment Deployment) Zone(index int) string {
	return fmt.Sprintf("zone%d", index%deployment.Zones+1)
}

// GroupNames returns the names of all database groups.
func (deployment Deployment) GroupNames() []string {
	var names []string
	for upstream := range deployment.UpstreamCount {
		for database := range deployment.Databases {
			names = append(names, fmt.Sprintf("%s%d.db%d", deployment.UpstreamPrefix, upstream+1, database+1))
		}
	}
	return names
}
