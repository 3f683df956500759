//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/bramleydoor/bramleydoor/platform"
)

// random draws disruptions from the seed in the variable SEED; it is no case, but looks for some.
func random(world *world, trouble bool, done chan struct{}) (*sync.WaitGroup, error) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	random := rand.New(rand.NewPCG(uint64(seed), 11))
	services := []string{"ledger", "notices"}
	conns := 60
	if os.Getenv("SCARCE") != "" {
		conns, world.isOneZone = 9, true
	}
	for i, service := range services {
		world.addGroup(service, (seed+i)%2, 5, conns, 6*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
		world.addRoute("db-"+service, "primary", service, 800, 150, 0, 1)
		world.addRoute("lookup-"+service, "bounded", service, 2000, 500, 1500, 2)
	}
	pending := &sync.WaitGroup{}
	world.usesState = true
	if os.Getenv("TENANTS") != "" {
		world.tenants = 7
	}
	if err := world.begin(); err != nil {
		return pending, err
	}
	began := time.Now()
	for _, service := range services {
		world.consume(30, "db-"+service, "primary", service, 0.25, 0.15, 200*time.Millisecond, done, pending)
		world.consume(12, "lookup-"+service, "bounded", service, 0, 0, 200*time.Millisecond, done, pending)
	}
	var busy sync.Map // what has a disruption
	take := func(key any) bool { _, taken := busy.LoadOrStore(key, true); return !taken }
	between := func(low, high float64) time.Duration {
		return time.Duration((low + (high-low)*random.Float64()) * float64(time.Second))
	}
	var running sync.WaitGroup
	number := 10
	for trouble && time.Since(began) < 85*time.Second {
		time.Sleep(between(0.2, 2.2))
		group := world.groups[services[random.IntN(2)]]
		primary := group.lead()
		group.mu.Lock()
		any := group.databases[random.IntN(len(group.databases))]
		isUp := any.isUp && !any.draining
		group.mu.Unlock()
		vm := world.vms[random.IntN(len(world.vms))]
		if leader := world.vm(world.leader()); leader != nil && random.IntN(2) == 0 {
			vm = leader
		}
		length, short := between(1, 5), between(0.1, 0.8)
		draw, variant := random.IntN(13), random.IntN(3)
		number++
		fresh := number
		running.Go(func() {
			switch {
			case draw == 0 && take(vm):
				vm.kill()
				time.Sleep(short)
				_ = vm.start()
				time.Sleep(2 * time.Second)
				busy.Delete(vm)
			case draw == 1 && take(vm):
				vm.signal(syscall.SIGSTOP)
				time.Sleep(min(length, 3500*time.Millisecond))
				vm.signal(syscall.SIGCONT)
				busy.Delete(vm)
			case draw == 2 && take(vm):
				vm.signal(syscall.SIGTERM)
				select {
				case <-vm.exited:
				case <-time.After(6 * time.Second):
					vm.kill()
				}
				_ = vm.start()
				busy.Delete(vm)
			case draw == 3 && primary != nil && take(primary):
				primary.crash()
				time.Sleep(length)
				_ = primary.restart()
				busy.Delete(primary)
			case draw == 4 && isUp && take(any):
				any.crash()
				time.Sleep(length)
				_ = any.restart()
				busy.Delete(any)
			case draw == 5 && isUp && any != primary && take(any):
				world.note("%s receives nothing", any.id)
				group.mu.Lock()
				any.isDeaf = true
				group.mu.Unlock()
				time.Sleep(length)
				group.mu.Lock()
				any.isDeaf = false
				group.mu.Unlock()
				world.note("%s receives again", any.id)
				busy.Delete(any)
			case (draw == 6 || draw == 7) && primary != nil && take(primary):
				primary.cut(vm.name, world.vms[variant].name)
				time.Sleep(length)
				primary.cut()
				busy.Delete(primary)
			case draw == 8 && isUp && take(any):
				any.cut(vm.name)
				time.Sleep(length)
				any.cut()
				busy.Delete(any)
			case draw == 9 && primary != nil && take(primary):
				world.note("%s is partitioned from the other databases", primary.id)
				group.mu.Lock()
				primary.isAlone = true
				group.mu.Unlock()
				time.Sleep(length)
				group.mu.Lock()
				primary.isAlone = false
				group.mu.Unlock()
				world.note("%s is back", primary.id)
				busy.Delete(primary)
			case draw == 10 && take("store"):
				mode := []platform.StoreMode{platform.StoreDown, platform.StoreUnresponsive, platform.StoreLosesAnswers}[variant]
				world.note("store %s", mode)
				world.store.SetMode(mode)
				time.Sleep(min(length, 4500*time.Millisecond))
				world.store.SetMode(platform.StoreNormal)
				world.note("store serves")
				time.Sleep(4 * time.Second)
				busy.Delete("store")
			case draw >= 11 && take(group):
				leaving := any
				if draw == 12 {
					leaving = primary
				}
				if leaving != nil && leaving.isUp && !leaving.draining && take(leaving) {
					added := group.addDatabase(fmt.Sprintf("i-%s%d", group.service, fresh), "attica-d", 5)
					if added.start() == nil {
						time.Sleep(time.Second)
						leaving.drain()
						time.Sleep(8 * time.Second)
						leaving.crash()
					}
				}
				time.Sleep(2 * time.Second)
				busy.Delete(group)
			}
		})
	}
	running.Wait()
	time.Sleep(6 * time.Second)
	return pending, nil
}

func init() { cases["random"] = random }

// roll stops and starts the VMs in turn, by plan only; it is no case.
func roll(world *world, _ bool, done chan struct{}) (*sync.WaitGroup, error) {
	services := []string{"ledger", "notices"}
	for _, service := range services {
		world.addGroup(service, 0, 5, 60, 6*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
		world.addRoute("db-"+service, "primary", service, 800, 150, 0, 1)
		world.addRoute("lookup-"+service, "bounded", service, 2000, 500, 1500, 2)
	}
	pending := &sync.WaitGroup{}
	if err := world.begin(); err != nil {
		return pending, err
	}
	began := time.Now()
	for _, service := range services {
		world.consume(40, "db-"+service, "primary", service, 0.25, 0.25, 100*time.Millisecond, done, pending)
		world.consume(20, "lookup-"+service, "bounded", service, 0, 0, 60*time.Millisecond, done, pending)
	}
	for i, vm := range world.vms {
		world.until(began, 4+float64(i)*9)
		vm.signal(syscall.SIGTERM)
		if i == 1 || i == 3 {
			group := world.groups[services[i%2]]
			added := group.addDatabase(fmt.Sprintf("i-%s%d", group.service, 10+i), "attica-d", 5)
			_ = added.start()
			time.Sleep(500 * time.Millisecond)
			group.lead().drain()
		}
		select {
		case <-vm.exited:
		case <-time.After(6 * time.Second):
			world.note("%s needed SIGKILL", vm.name)
			vm.kill()
		}
		time.Sleep(300 * time.Millisecond)
		_ = vm.start()
	}
	world.until(began, 52)
	world.mu.Lock()
	for _, operation := range world.all {
		if operation.code == "LOST" {
			fmt.Println(world.at(operation.sentAt), operation.vm, operation.kind, operation.id, "ended", world.at(operation.answeredAt))
		}
	}
	world.mu.Unlock()
	return pending, nil
}

func init() { cases["roll"] = roll }

// setInTransaction sets a value between a transaction's last statement and its COMMIT; it is no
// case, since there is no disruption.
func setInTransaction(world *world, _ bool, _ chan struct{}) (*sync.WaitGroup, error) {
	world.addGroup("ledger", 0, 5, 60, 6*time.Millisecond, 600*time.Millisecond, []string{"attica-a", "attica-b", "attica-c"})
	world.addRoute("db-ledger", "primary", "ledger", 800, 150, 0, 1)
	pending := &sync.WaitGroup{}
	if err := world.begin(); err != nil {
		return pending, err
	}
	consumer := &consumer{
		world: world, number: 1, host: "db-ledger", kind: "primary", service: "ledger", random: rand.New(rand.NewPCG(1, 7)),
	}
	for i := range 20 {
		if consumer.conn == nil && !consumer.connect() {
			continue
		}
		now := time.Now()
		begin := consumer.ask("begin", "BEGIN", "", now, 2500)
		consumer.ask("txwrite", consumer.write(), begin.id, now, 2500)
		if consumer.ask("set", fmt.Sprintf("SET v1 %d", i), "", now, 2500).code == "OK" {
			consumer.values = map[string]string{"v1": fmt.Sprint(i)}
		}
		consumer.ask("commit", "COMMIT", begin.id, now, 2500)
	}
	consumer.close()
	return pending, nil
}

func init() { cases["set-in-transaction"] = setInTransaction }
