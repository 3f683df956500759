//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The plays of this file try entries of the issues; none of them is a case.

func init() {
	cases["handover-order"] = handoverOrder
	cases["paused-vms"] = pausedVMs
	cases["descriptors"] = descriptors
}

// handoverOrder stops the leader by plan while its order is in flight at a slow platform (issue 20,
// point 1).
func handoverOrder(world *world, trouble bool, done chan struct{}) (*sync.WaitGroup, error) {
	group := world.addGroup("ledger", 0, 5, 60, 6*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
	world.addRoute("db-ledger", "primary", "ledger", 800, 150, 0, 1)
	pending := &sync.WaitGroup{}
	if err := world.begin(); err != nil {
		return pending, err
	}
	began := time.Now()
	world.consume(40, "db-ledger", "primary", "ledger", 0, 0, 150*time.Millisecond, done, pending)
	world.consume(5, "db-ledger", "primary", "ledger", 0.6, 0.2, 300*time.Millisecond, done, pending)
	for round := range 4 {
		at := 4 + float64(round)*18
		world.until(began, at)
		added := group.addDatabase(fmt.Sprintf("i-ledger%d", 3+round), "attica-d", 5)
		if err := added.start(); err != nil {
			return pending, err
		}
		world.until(began, at+2)
		if trouble {
			world.orderDelay.Store(int64(3 * time.Second))
		}
		stop := func(holder string) {
			vm := world.vm(holder)
			vm.signal(syscall.SIGTERM)
			stopped := time.Now()
			select {
			case <-vm.exited:
				world.note("%s ended %.1f s after SIGTERM", holder, time.Since(stopped).Seconds())
			case <-time.After(6 * time.Second):
				world.note("%s is there at the end of its grace", holder)
				vm.kill()
			}
			_ = vm.start()
		}
		world.onArrival.Store(&stop)
		leaving := group.lead()
		leaving.drain()
		world.until(began, at+12)
		world.orderDelay.Store(0)
		world.until(began, at+14)
		leaving.crash()
	}
	world.until(began, 80)
	return pending, nil
}

// pausedVMs suspends two VMs again and again, the leader among them, while primaries are replaced by
// plan (issue 20, point 1).
func pausedVMs(world *world, trouble bool, done chan struct{}) (*sync.WaitGroup, error) {
	services := []string{"ledger", "notices"}
	for i, service := range services {
		world.addGroup(service, i, 5, 60, 6*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
		world.addRoute("db-"+service, "primary", service, 800, 150, 0, 1)
		world.addRoute("lookup-"+service, "bounded", service, 2000, 500, 1500, 2)
	}
	world.usesState = true
	pending := &sync.WaitGroup{}
	if err := world.begin(); err != nil {
		return pending, err
	}
	began := time.Now()
	for _, service := range services {
		world.consume(30, "db-"+service, "primary", service, 0.25, 0.2, 100*time.Millisecond, done, pending)
		world.consume(12, "lookup-"+service, "bounded", service, 0, 0, 100*time.Millisecond, done, pending)
	}
	for round := range 8 {
		at := 3 + float64(round)*10
		world.until(began, at)
		group := world.groups[services[round%2]]
		added := group.addDatabase(fmt.Sprintf("i-%s%d", group.service, 10+round), "attica-d", 5)
		if err := added.start(); err != nil {
			return pending, err
		}
		world.until(began, at+1)
		var paused []*vm
		if trouble {
			paused = append(paused, world.vms[round%5])
			if leader := world.vm(world.leader()); leader != nil && leader != paused[0] && round%3 > 0 {
				paused = append(paused, leader)
			}
		}
		leaving := group.lead()
		if round%2 == 0 {
			leaving.drain()
			time.Sleep(time.Duration(round*7) * time.Millisecond)
		}
		for _, vm := range paused {
			vm.signal(syscall.SIGSTOP)
		}
		if round%2 == 1 {
			leaving.drain()
		}
		time.Sleep(3500 * time.Millisecond)
		for _, vm := range paused {
			vm.signal(syscall.SIGCONT)
		}
		world.until(began, at+9.5)
		leaving.crash()
	}
	world.until(began, 88)
	return pending, nil
}

// descriptors uses up the descriptors of the VMs, which start with few (issue 20, point 3).
func descriptors(world *world, _ bool, done chan struct{}) (*sync.WaitGroup, error) {
	world.addGroup("ledger", 0, 5, 60, 6*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
	world.addRoute("db-ledger", "primary", "ledger", 800, 150, 0, 1)
	pending := &sync.WaitGroup{}
	if err := world.serve(); err != nil {
		return pending, err
	}
	world.configure()
	for _, zone := range []string{"attica-a", "attica-b", "attica-c"} {
		if err := world.addVM(zone, zones); err != nil {
			return pending, err
		}
	}
	wrapper := filepath.Join(world.dir, "few-descriptors")
	text := "#!/bin/sh\nulimit -n 300\nexec " + world.program + "\n"
	if err := os.WriteFile(wrapper, []byte(text), 0o700); err != nil { //nolint:gosec // It is run.
		return pending, err
	}
	world.program = wrapper
	for _, vm := range world.vms {
		if err := vm.start(); err != nil {
			return pending, err
		}
	}
	go world.probe()
	if !world.awaitReady(20 * time.Second) {
		return pending, fmt.Errorf("the VMs are not ready")
	}
	began := time.Now()
	world.consume(20, "db-ledger", "primary", "ledger", 0.3, 0.2, 100*time.Millisecond, done, pending)
	for round := range 3 {
		world.until(began, 4+float64(round)*10)
		var open []net.Conn
		for _, vm := range world.vms {
			for range 500 {
				conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", vm.ip, frontPort), time.Second)
				if err == nil {
					open = append(open, conn)
				}
			}
		}
		world.note("%d connections without STARTUP", len(open))
		world.until(began, 8+float64(round)*10)
		for _, conn := range open {
			_ = conn.Close()
		}
		world.note("connections closed")
	}
	world.until(began, 36)
	return pending, nil
}

// slowOrderUnderLoad is slowOrder with replicas that have no slot free for a STATUS; it is no case.
func slowOrderUnderLoad(world *world, trouble bool, done chan struct{}) (*sync.WaitGroup, error) {
	services := []string{"ledger", "notices", "levies"}
	pending := &sync.WaitGroup{}
	for _, service := range services {
		world.addGroup(service, 0, 3, 23, 18*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
		world.addRoute("db-"+service, "primary", service, 800, 150, 0, 1)
		world.addRoute("lookup-"+service, "bounded", service, 2000, 500, 1500, 2)
	}
	if err := world.begin(); err != nil {
		return pending, err
	}
	began := time.Now()
	for _, service := range services {
		world.consume(10, "db-"+service, "primary", service, 0, 0, 300*time.Millisecond, done, pending)
		world.consume(28, "db-"+service, "primary", service, 0.8, 0.1, 300*time.Millisecond, done, pending)
		world.consume(lookups, "lookup-"+service, "bounded", service, 0, 0, 120*time.Millisecond, done, pending)
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

func init() { cases["slow-order-load"] = slowOrderUnderLoad }

var lookups = 90

func init() {
	if count, err := strconv.Atoi(os.Getenv("LOOKUPS")); err == nil {
		lookups = count
	}
}

// malformed sends malformed input to the VMs from consumers, to their peer ports and by registrations
// of another writer, beside usual traffic (issue 20, point 3).
func malformed(world *world, trouble bool, done chan struct{}) (*sync.WaitGroup, error) {
	world.addGroup("ledger", 0, 5, 60, 6*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
	world.addRoute("db-ledger", "primary", "ledger", 800, 150, 0, 1)
	world.usesState = true
	pending := &sync.WaitGroup{}
	if err := world.begin(); err != nil {
		return pending, err
	}
	began := time.Now()
	world.consume(30, "db-ledger", "primary", "ledger", 0.3, 0.2, 100*time.Millisecond, done, pending)
	random := rand.New(rand.NewPCG(1, 13))
	pieces := []string{
		"STARTUP", "STARTUP db-ledger u1\r\n", "QUERY", "QUERY x\r\n", "QUERY x EXECUTE\r\n", "QUERY x SET\r\n", "QUERY x PREPARE s1\r\n",
		"QUERY x BEGIN WRITE\r\n", "QUERY - STATUS\r\n", "QUERY - PAUSE 9\r\n", "READY I 1.1\r\n", "\r\n", "\x00\xff\xfe", "QUERY x COMMIT\r\n",
		"QUERY x BEGIN\r\n", "QUERY x CLOSE\r\n", "QUERY x ROLLBACK\r\n", "GET / HTTP/1.1\r\n\r\n", strings.Repeat("x", 1<<20), "\n",
	}
	values := []string{
		"", "{", "null", "[]", "\xff\x00", `{"service":1}`, `{"service":"ledger"}`, `{"service":"ledger","address":"x","zone":"a","slots":1,"state":"ready"}`,
		`{"service":"ledger","address":"127.0.0.1:1","zone":"a","slots":-1,"state":"ready"}`, `{"service":"ledger","address":"127.0.0.1:1","zone":"a","slots":1,"state":"odd"}`,
		`{"service":"nowhere","address":"127.0.0.1:1","zone":"a","slots":1,"state":"ready"}`, `{"service":"ledger","address":"127.0.0.1:1","zone":"a","slots":1,"state":"ready","born":1.5}`,
	}
	for round := 0; trouble && time.Since(began) < 30*time.Second; round++ {
		vm := world.vms[random.IntN(len(world.vms))]
		port := []int{frontPort, frontPort, frontPort, internalPort, readyPort}[random.IntN(5)]
		if conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", vm.ip, port), time.Second); err == nil {
			_ = conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
			for range 1 + random.IntN(8) {
				_, _ = conn.Write([]byte(pieces[random.IntN(len(pieces))]))
			}
			_ = conn.Close()
		}
		if conn, err := net.Dial("udp4", net.JoinHostPort(vm.ip, strconv.Itoa(internalPort))); err == nil {
			packet := make([]byte, random.IntN(1400))
			for i := range packet {
				packet[i] = byte(random.IntN(256))
			}
			_, _ = conn.Write(packet)
			_ = conn.Close()
		}
		world.tree.Set(fmt.Sprintf("servers/other%d", random.IntN(6)), []byte(values[random.IntN(len(values))]))
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	return pending, nil
}

func init() { cases["malformed"] = malformed }
