package demo

import (
	"fmt"
	"time"
)

// Deployment is the size of one user's system.
type Deployment struct {
	Name string
	// Service names the upstreams: ledger is ledger1, ledger2, ...
	Service   string
	Services  int
	Databases int
	Slots     int
	// Limit is the connection limit of each database.
	Limit int
	// VMDelay is one way between availability zones, CallerDelay between a
	// caller and a VM.
	VMDelay     time.Duration
	CallerDelay time.Duration
	ConnectCost time.Duration
	Zones       int
	VMs         int
	// ReadShare is the part of a caller's requests that read.
	ReadShare float64
	// AgedShare is the part of the reads that accept data of a stated age.
	AgedShare float64
	Staleness time.Duration
	// Wait bounds the wait of a request; zero is the product's default.
	Wait time.Duration
}

// Deployments are the sizes of today, by name.
var Deployments = map[string]Deployment{
	"authority": {
		Name: "authority", Service: "ledger", Services: 3, Databases: 3, Slots: 3, Limit: 25,
		VMDelay: time.Millisecond, CallerDelay: 3 * time.Millisecond, ConnectCost: 10 * time.Millisecond,
		Zones: 4, VMs: 5, ReadShare: 0.8, AgedShare: 0.1, Staleness: time.Minute,
	},
	"coop": {
		Name: "coop", Service: "orders", Services: 3, Databases: 3, Slots: 5, Limit: 60,
		VMDelay: 1500 * time.Microsecond, CallerDelay: 3 * time.Millisecond, ConnectCost: 10 * time.Millisecond,
		Zones: 4, VMs: 5, ReadShare: 0.9, AgedShare: 0.2, Staleness: time.Minute,
	},
	// tiny is for tests: one database, no delays.
	"tiny": {
		Name: "tiny", Service: "ledger", Services: 1, Databases: 1, Slots: 3, Limit: 25,
		Zones: 4, VMs: 5, ReadShare: 0.8, AgedShare: 0.1, Staleness: time.Minute,
	},
}

// Zone is the name of an availability zone.
func (deployment Deployment) Zone(index int) string {
	return fmt.Sprintf("zone%d", index%deployment.Zones+1)
}

// GroupNames lists the names of the database groups.
func (deployment Deployment) GroupNames() []string {
	var names []string
	for service := range deployment.Services {
		for database := range deployment.Databases {
			names = append(names, fmt.Sprintf("%s%d.db%d", deployment.Service, service+1, database+1))
		}
	}
	return names
}
