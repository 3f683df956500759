package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// deafFor is how long one replica receives nothing, downFor how long two databases are down.
	deafFor = 6500 * time.Millisecond
	downFor = 7 * time.Second
)

// playLost: the service has syncReplicas 1. One replica receives nothing for a while; then the
// primary and the other replica, which has all acknowledged commits, crash, and come back with
// their logs.
func playLost(record *record, isTroubled bool) int {
	fleet := newFleet(record, nil, []int{414, 414, 544, 544, 544}, 1)
	defer fleet.stop()
	group := fleet.group
	for _, vm := range fleet.vms {
		fleet.start(vm)
	}
	for _, vm := range fleet.vms {
		if !vm.awaitReady(15 * time.Second) {
			record.write("%s is not ready", vm.name)
			return 2
		}
	}
	time.Sleep(7 * time.Second)

	var mu sync.Mutex
	acknowledged := make(map[string]bool)
	var lost []string
	group.mu.Lock()
	group.promoted = func(member *database) {
		mu.Lock()
		defer mu.Unlock()
		for id := range acknowledged {
			if !member.has(id) {
				lost = append(lost, id)
			}
		}
	}
	group.mu.Unlock()

	over := make(chan struct{})
	var writers sync.WaitGroup
	for index, vm := range fleet.vms {
		writers.Go(func() {
			playWrites(record, vm, fmt.Sprintf("w%d", index), over, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				acknowledged[id] = true
			})
		})
	}
	time.Sleep(2 * time.Second)
	replica, other := group.databases[1], group.databases[2]
	if isTroubled {
		other.setDeaf(true)
		time.AfterFunc(deafFor, func() { other.setDeaf(false) })
		time.Sleep(time.Second)
		group.awaitBeat()
		// Just before the next check-in, so that the entries expire as soon as they can.
		time.Sleep(heartbeat - 100*time.Millisecond)
		primary := group.databases[0]
		primary.crash()
		replica.crash()
		time.Sleep(downFor)
		primary.restart()
		replica.restart()
	} else {
		time.Sleep(downFor)
	}
	time.Sleep(5 * time.Second)
	close(over)
	writers.Wait()
	mu.Lock()
	defer mu.Unlock()
	record.write("%d writes were acknowledged", len(acknowledged))
	if len(acknowledged) == 0 {
		return 2
	}
	if len(lost) > 0 {
		record.write("BROKEN: LOST: %d acknowledged commits aren't in the log of the database that was promoted, among them %s", len(lost), strings.Join(lost[:min(len(lost), 5)], " "))
		fmt.Printf("broken: LOST: %d acknowledged commits\n", len(lost))
		return 1
	}
	fmt.Println("held")
	return 0
}

// awaitBeat waits until the first database has just checked in, so that the others have, too.
func (group *group) awaitBeat() {
	group.mu.Lock()
	seq := group.databases[0].seq
	group.mu.Unlock()
	for {
		time.Sleep(5 * time.Millisecond)
		group.mu.Lock()
		isOver := group.databases[0].seq > seq
		group.mu.Unlock()
		if isOver {
			return
		}
	}
}

// playWrites sends single writes at a VM, one after the other, until over is closed.
func playWrites(record *record, vm *vm, name string, over chan struct{}, isAcknowledged func(id string)) {
	var session *client
	for count := 0; ; count++ {
		select {
		case <-over:
			if session != nil {
				_ = session.conn.Close()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		if session == nil {
			opened, err := open(vm.front, "writes", 0)
			if err != nil {
				continue
			}
			session = opened
		}
		id := fmt.Sprintf("%s.%d", name, count)
		record.write("sent %s", id)
		err := session.send(id, "WRITE k"+name+" v")
		var result string
		if err == nil {
			_, _, result, err = session.receive(4 * time.Second)
		}
		if err == nil && strings.HasPrefix(result, "COMPLETE ") {
			isAcknowledged(id)
		}
		record.write("answer %s: %q %v", id, result, err)
		if err != nil {
			_ = session.conn.Close()
			session = nil
		}
	}
}
