//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// slowOrder replaces the primaries of three services by plan, five times, while the platform takes
// some seconds for each failover call.
func slowOrder(world *world, trouble bool, done chan struct{}) (*sync.WaitGroup, error) {
	services := []string{"ledger", "notices", "levies"}
	pending := &sync.WaitGroup{}
	for _, service := range services {
		world.addGroup(service, 0, 5, 60, 6*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
		world.addRoute("db-"+service, "primary", service, 800, 150, 0, 1)
	}
	if err := world.begin(); err != nil {
		return pending, err
	}
	began := time.Now()
	for _, service := range services {
		world.consume(24, "db-"+service, "primary", service, 0, 0, 150*time.Millisecond, done, pending)
		world.consume(5, "db-"+service, "primary", service, 0.6, 0.2, 300*time.Millisecond, done, pending)
	}
	for round := range 5 {
		at := 4 + float64(round)*13
		world.until(began, at)
		leaving := make(map[string]*database)
		for _, service := range services {
			added := world.groups[service].addDatabase(fmt.Sprintf("i-%s%d", service, 3+round), "attica-d", 5)
			if err := added.start(); err != nil {
				return pending, err
			}
		}
		world.until(began, at+2)
		if trouble {
			world.note("the platform is slow: it acts on a failover call after 3 s")
			world.orderDelay.Store(int64(3 * time.Second))
		}
		world.until(began, at+3)
		for _, service := range services {
			leaving[service] = world.groups[service].lead()
			leaving[service].drain()
		}
		world.until(began, at+11)
		world.orderDelay.Store(0)
		world.until(began, at+12)
		for _, service := range services {
			leaving[service].crash()
		}
	}
	world.until(began, 74)
	return pending, nil
}

// drainedReplica shuts one replica down by plan, while another receives nothing and the primary
// crashes. The service has syncReplicas.
func drainedReplica(world *world, trouble bool, done chan struct{}) (*sync.WaitGroup, error) {
	group := world.addGroup("ledger", 1, 5, 60, 6*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
	world.addRoute("current", "primary", "ledger", 800, 150, 0, 1)
	pending := &sync.WaitGroup{}
	if err := world.begin(); err != nil {
		return pending, err
	}
	began := time.Now()
	world.consume(30, "current", "primary", "ledger", 0.35, 0.2, 300*time.Millisecond, done, pending)
	world.until(began, 4)
	group.databases[1].drain()
	if trouble {
		group.mu.Lock()
		group.databases[2].isDeaf = true
		world.note("%s receives nothing", group.databases[2].id)
		group.mu.Unlock()
		world.until(began, 7)
		group.databases[0].crash()
	}
	world.until(began, 10)
	group.mu.Lock()
	group.databases[2].isDeaf = false
	group.mu.Unlock()
	world.until(began, 13)
	if trouble {
		if err := group.databases[0].restart(); err != nil {
			return pending, err
		}
	}
	world.until(began, 14)
	group.databases[1].crash() // it ends, as planned
	world.until(began, 17)
	return pending, nil
}

// killedLeader partitions a primary from two of five VMs, so that the leader has it replaced. The
// leader's process is killed right after it has given the order, and started again.
func killedLeader(world *world, trouble bool, done chan struct{}) (*sync.WaitGroup, error) {
	group := world.addGroup("ledger", 0, 5, 60, 6*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
	world.addRoute("db-ledger", "primary", "ledger", 800, 150, 0, 1)
	world.addRoute("db-lookup", "bounded", "ledger", 2000, 500, 1500, 2)
	pending := &sync.WaitGroup{}
	if err := world.begin(); err != nil {
		return pending, err
	}
	began := time.Now()
	world.consume(40, "db-ledger", "primary", "ledger", 0, 0, 150*time.Millisecond, done, pending)
	world.consume(8, "db-ledger", "primary", "ledger", 0.6, 0.2, 300*time.Millisecond, done, pending)
	world.consume(20, "db-lookup", "bounded", "ledger", 0, 0, 200*time.Millisecond, done, pending)
	for round := range 4 {
		world.until(began, 4+float64(round)*13)
		if !trouble {
			continue
		}
		leader := world.leader()
		var others []string
		for _, vm := range world.vms {
			if vm.name != leader && len(others) < 2 {
				others = append(others, vm.name)
			}
		}
		primary := group.lead()
		restart := func(holder string) {
			vm := world.vm(holder)
			vm.kill()
			primary.cut()
			time.Sleep(200 * time.Millisecond)
			_ = vm.start()
		}
		world.onOrder.Store(&restart)
		primary.cut(others...)
	}
	world.until(began, 56)
	return pending, nil
}

// unsealedReplica partitions a primary and one of its replicas from the leader's VM only. The service
// has syncReplicas.
func unsealedReplica(world *world, trouble bool, done chan struct{}) (*sync.WaitGroup, error) {
	for _, service := range []string{"ledger", "notices", "levies"} {
		places := []string{"attica-a", "attica-b", "attica-c"}
		if service == "levies" {
			places = append(places, "attica-d") // 10 databases in all
		}
		world.addGroup(service, 1, 5, 60, 6*time.Millisecond, 600*time.Millisecond, places)
		world.addRoute("db-"+service, "primary", service, 800, 150, 0, 1)
		world.addRoute("lookup-"+service, "bounded", service, 2000, 500, 1500, 2)
	}
	pending := &sync.WaitGroup{}
	if err := world.begin(); err != nil {
		return pending, err
	}
	leader := world.vm(world.leader())
	if leader == nil {
		return pending, fmt.Errorf("there is no leader")
	}
	world.fronts = []*vm{leader}
	for _, vm := range world.vms {
		if vm != leader && len(world.fronts) < 3 {
			world.fronts = append(world.fronts, vm)
		}
	}
	began := time.Now()
	world.consume(24, "db-ledger", "primary", "ledger", 0.35, 0.2, 200*time.Millisecond, done, pending)
	world.consume(12, "lookup-ledger", "bounded", "ledger", 0, 0, 200*time.Millisecond, done, pending)
	world.until(began, 12)
	group := world.groups["ledger"]
	if trouble {
		group.databases[0].cut(leader.name)
		group.databases[2].cut(leader.name)
	}
	world.until(began, 17)
	group.databases[0].cut()
	group.databases[2].cut()
	world.until(began, 24)
	return pending, nil
}

// deafReplica lets one replica receive nothing, and the primary crash meanwhile. The service has
// syncReplicas.
func deafReplica(world *world, trouble bool, done chan struct{}) (*sync.WaitGroup, error) {
	group := world.addGroup("ledger", 1, 5, 60, 6*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
	world.addRoute("db-ledger", "primary", "ledger", 800, 150, 0, 1)
	world.addRoute("lookup-ledger", "bounded", "ledger", 2000, 500, 1500, 2)
	pending := &sync.WaitGroup{}
	if err := world.begin(); err != nil {
		return pending, err
	}
	began := time.Now()
	world.consume(30, "db-ledger", "primary", "ledger", 0.35, 0.2, 300*time.Millisecond, done, pending)
	world.consume(12, "lookup-ledger", "bounded", "ledger", 0, 0, 200*time.Millisecond, done, pending)
	world.until(began, 4)
	deaf := func(isDeaf bool) {
		group.mu.Lock()
		defer group.mu.Unlock()
		group.databases[2].isDeaf = isDeaf
		world.note("%s receives nothing: %t", group.databases[2].id, isDeaf)
	}
	if trouble {
		deaf(true)
		world.until(began, 6)
		group.databases[0].crash()
	}
	world.until(began, 10.5) // 6.5 s after the beginning
	if trouble {
		deaf(false)
		world.until(began, 12)
		if err := group.databases[0].restart(); err != nil {
			return pending, err
		}
	}
	world.until(began, 20)
	return pending, nil
}

func init() { cases["deaf-replica"] = deafReplica }
