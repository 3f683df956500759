package demo

import (
	"fmt"
	"time"
)

// Deployment describes the size and the load of a simulated system.
type Deployment struct {
	Name string
	// Service is the prefix of the upstreams' names: "ledger" gives ledger1,
	// ledger2, and so on. Services is the number of upstreams, Databases the number
	// of databases of each, and Slots the number of slots of each database group.
	Service   string
	Services  int
	Databases int
	Slots     int
	// Limit is the connection limit of each database.
	Limit int
	// VMDelay is the one-way delay between availability zones, CallerDelay the one
	// between a caller and a VM. ConnectCost is the time that a database takes to
	// accept a connection.
	VMDelay     time.Duration
	CallerDelay time.Duration
	ConnectCost time.Duration
	Zones       int
	VMs         int
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
		Name: "authority", Service: "ledger", Services: 3, Databases: 3, Slots: 3, Limit: 25,
		VMDelay: time.Millisecond, CallerDelay: 3 * time.Millisecond, ConnectCost: 10 * time.Millisecond,
		Zones: 4, VMs: 5, ReadShare: 0.8, BoundedStalenessShare: 0.1, MaxStaleness: time.Minute,
	},
	"coop": {
		Name: "coop", Service: "orders", Services: 3, Databases: 3, Slots: 5, Limit: 60,
		VMDelay: 1500 * time.Microsecond, CallerDelay: 3 * time.Millisecond, ConnectCost: 10 * time.Millisecond,
		Zones: 4, VMs: 5, ReadShare: 0.9, BoundedStalenessShare: 0.2, MaxStaleness: time.Minute,
	},
	// tiny is for tests. It has one database and no delays.
	"tiny": {
		Name: "tiny", Service: "ledger", Services: 1, Databases: 1, Slots: 3, Limit: 25,
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
	for service := range deployment.Services {
		for database := range deployment.Databases {
			names = append(names, fmt.Sprintf("%s%d.db%d", deployment.Service, service+1, database+1))
		}
	}
	return names
}
