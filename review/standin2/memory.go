package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readers is the number of sessions that ask for a long answer, all at one VM.
	readers = 80
	// rowsEach is the number of rows of each answer; each makes a message of less than 1 MiB.
	rowsEach = 8
)

// playMemory: consumers ask for answers of 8 MiB. With the disruption they don't read them for
// some seconds, so that the VM can't pass them on.
func playMemory(record *record, isTroubled bool) int {
	link := &bucket{bytesPerSecond: 1500e6 / 8}
	fleet := newFleet(record, link, []int{414, 414, 544, 544, 544}, 0)
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
	for _, vm := range fleet.vms {
		go fleet.enforceMemory(vm)
	}
	target := fleet.vms[0]
	over := make(chan struct{})
	var broken, served atomic.Int64
	var others sync.WaitGroup
	for number := range 10 {
		others.Go(func() { playLookups(record, target, number, over, &broken, &served) })
	}
	time.Sleep(time.Second)
	var long sync.WaitGroup
	var answered atomic.Int64
	for number := range readers {
		long.Go(func() {
			if readLong(record, target, number, isTroubled) {
				answered.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	long.Wait()
	time.Sleep(500 * time.Millisecond)
	close(over)
	others.Wait()
	record.write("long answers: %d of %d read whole; short lookups: %d served, %d without an answer", answered.Load(), readers, served.Load(), broken.Load())
	select {
	case name := <-fleet.memoryKilled:
		record.write("BROKEN: the process of %s exceeded its memory and was killed", name)
		fmt.Printf("broken: the process of %s exceeded its memory and was killed\n", name)
		return 1
	default:
	}
	if !target.awaitReady(2 * time.Second) {
		record.write("BROKEN: %s has ended", target.name)
		return 1
	}
	if answered.Load() == 0 {
		record.write("no long answer was read, so nothing was tested")
		return 2
	}
	fmt.Println("held")
	return 0
}

// readLong asks for a long answer, again after BUSY, and reads it, at once or after 9 s.
func readLong(record *record, vm *vm, number int, isSlow bool) bool {
	session, err := open(vm.front, "lookups", 64<<10)
	if err != nil {
		record.write("reader %d: %v", number, err)
		return false
	}
	defer session.conn.Close()
	for attempt := range 4 {
		id := fmt.Sprintf("long%d.%d", number, attempt)
		record.write("sent %s READ big-%d", id, rowsEach)
		if session.send(id, fmt.Sprintf("READ big-%d-%d", rowsEach, number)) != nil {
			return false
		}
		if isSlow {
			time.Sleep(9 * time.Second)
		}
		rows, size, result, err := session.receive(20 * time.Second)
		record.write("answer %s: %d rows, %d bytes, %q, %v", id, rows, size, shorten(result), err)
		if err != nil {
			return false
		}
		if strings.HasPrefix(result, "COMPLETE") {
			return rows == rowsEach
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// playLookups sends short reads, one after the other, until over is closed.
func playLookups(record *record, vm *vm, number int, over chan struct{}, broken, served *atomic.Int64) {
	session, err := open(vm.front, "lookups", 0)
	if err != nil {
		record.write("lookup session %d: %v", number, err)
		return
	}
	defer session.conn.Close()
	for count := 0; ; count++ {
		select {
		case <-over:
			return
		case <-time.After(100 * time.Millisecond):
		}
		id := fmt.Sprintf("short%d.%d", number, count)
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
			return
		}
		served.Add(1)
	}
}
