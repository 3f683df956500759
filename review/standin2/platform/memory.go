package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// waves is how often consumers ask for long answers, at two VMs by turns, readers the number of
	// sessions of a wave.
	waves   = 6
	readers = 100
	// rowsEach is the number of rows of each answer; each makes a message of less than 1 MiB.
	rowsEach = 8
	// unreadFor is how long a consumer doesn't read its answer.
	unreadFor = 9 * time.Second
)

// playMemory: consumers at two VMs by turns ask for answers of 8 MiB, in six waves. With the disruption
// they don't read them for some seconds, so that the VM can't pass them on.
func playMemory(record *record, isTroubled bool) int {
	links := make(map[string]*bucket)
	for index := range 5 {
		links[fmt.Sprintf("front-%d", index)] = &bucket{bytesPerSecond: 1500e6 / 8}
	}
	fleet := newFleet(record, links, []int{414, 414, 544, 544, 544}, 0)
	defer fleet.stop()
	for _, vm := range fleet.vms {
		fleet.start(vm)
	}
	for _, vm := range fleet.vms {
		if !vm.awaitReady(15 * time.Second) {
			record.write("%s is not ready", vm.name)
			return 2
		}
	}
	time.Sleep(6 * time.Second)
	killed := make([]atomic.Int64, len(fleet.vms))
	for index, vm := range fleet.vms {
		go fleet.enforceMemory(vm, &killed[index])
	}
	over := make(chan struct{})
	var broken, served, answered atomic.Int64
	var lookups sync.WaitGroup
	targets := fleet.vms[:2]
	for _, vm := range targets {
		for number := range 5 {
			lookups.Go(func() { playLookups(record, vm, number, over, &broken, &served) })
		}
	}
	var all sync.WaitGroup
	for wave := range waves {
		vm, count := targets[wave%len(targets)], &killed[wave%len(targets)]
		if !vm.awaitReady(10 * time.Second) {
			record.write("%s is not ready for wave %d", vm.name, wave)
			return 2
		}
		time.Sleep(2 * time.Second)
		before := count.Load()
		var long sync.WaitGroup
		done := make(chan struct{})
		for number := range readers {
			long.Go(func() {
				if readLong(record, vm, fmt.Sprintf("%s.%d.%d", vm.name, wave, number), isTroubled) {
					answered.Add(1)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		all.Go(func() { long.Wait(); close(done) })
		for isOver := false; !isOver && count.Load() == before; {
			select {
			case <-done:
				isOver = true
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	all.Wait()
	close(over)
	lookups.Wait()
	record.write("long answers: %d of %d read whole; short lookups: %d served, %d sent and never answered",
		answered.Load(), waves*readers, served.Load(), broken.Load())
	machines := 0
	for index := range killed {
		if killed[index].Load() >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		record.write("BROKEN: Fault: on %d machines processes ended three times over their memory", machines)
		fmt.Printf("broken: on %d machines processes ended three times over their memory; %d short lookups never answered\n", machines, broken.Load())
		return 1
	}
	if answered.Load() == 0 {
		record.write("no long answer was read, so nothing was tested")
		return 2
	}
	fmt.Println("held")
	return 0
}

// readLong asks for a long answer, again after BUSY, and reads it, at once or after unreadFor.
func readLong(record *record, vm *vm, name string, isSlow bool) bool {
	session, err := open(vm.front, "lookups", 64<<10)
	if err != nil {
		record.write("reader %s: %v", name, err)
		return false
	}
	defer session.conn.Close()
	for attempt := range 3 {
		id := fmt.Sprintf("long.%s.%d", name, attempt)
		record.write("sent %s READ big-%d", id, rowsEach)
		if session.send(id, fmt.Sprintf("READ big-%d-%s", rowsEach, name)) != nil {
			return false
		}
		if isSlow {
			time.Sleep(unreadFor)
		}
		rows, size, result, err := session.receive(8 * time.Second)
		record.write("answer %s: %d rows, %d bytes, %q, %v", id, rows, size, shorten(result), err)
		if err != nil || strings.HasPrefix(result, "COMPLETE") {
			return err == nil && rows == rowsEach
		}
		if isSlow {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// playLookups sends short reads, one after the other, until over is closed.
func playLookups(record *record, vm *vm, number int, over chan struct{}, broken, served *atomic.Int64) {
	var session *client
	for count := 0; ; count++ {
		select {
		case <-over:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if session == nil {
			opened, err := open(vm.front, "lookups", 0)
			if err != nil {
				continue
			}
			session = opened
		}
		id := fmt.Sprintf("short.%s.%d.%d", vm.name, number, count)
		record.write("sent %s", id)
		err := session.send(id, "READ a")
		if err == nil {
			var result string
			_, _, result, err = session.receive(8 * time.Second)
			record.write("answer %s: %q %v", id, shorten(result), err)
		}
		if err != nil {
			broken.Add(1)
			record.write("no answer to %s: %v", id, err)
			_ = session.conn.Close()
			session = nil
			continue
		}
		served.Add(1)
	}
}
