package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// writesFor is how long a consumer writes, goneDownFor how long two databases are down.
	writesFor   = 800 * time.Millisecond
	goneDownFor = 3 * time.Second
)

// playGone: the service has syncReplicas 1. A consumer writes at one VM, which is then stopped as
// planned. One replica receives nothing meanwhile; then the primary and the other replica, which has
// all acknowledged commits, crash, and come back with their logs.
func playGone(record *record, isTroubled bool) int {
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
	leader := fleet.leader()
	if leader == nil {
		return 2
	}
	stopped := fleet.vms[0]
	if stopped == leader {
		stopped = fleet.vms[1]
	}
	primary, replica, deaf := group.databases[0], group.databases[1], group.databases[2]
	if isTroubled {
		deaf.setDeaf(true)
		time.AfterFunc(deafFor, func() { deaf.setDeaf(false) })
	}
	over := make(chan struct{})
	var writers sync.WaitGroup
	for number := range 2 {
		writers.Go(func() {
			playWrites(record, stopped, fmt.Sprintf("w%d", number), over, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				acknowledged[id] = true
			})
		})
	}
	time.Sleep(writesFor)
	close(over)
	writers.Wait()
	record.write("SIGTERM to %s", stopped.name)
	check(stopped.command.Process.Signal(syscall.SIGTERM))
	<-stopped.ended
	time.Sleep(200 * time.Millisecond)
	if isTroubled {
		primary.crash()
		replica.crash()
		time.Sleep(goneDownFor)
		primary.restart()
		replica.restart()
	}
	fleet.start(stopped)
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	record.write("%d writes were acknowledged", len(acknowledged))
	switch {
	case len(acknowledged) == 0:
		return 2
	case len(lost) > 0:
		record.write("BROKEN: LOST: %d acknowledged commits aren't in the log of the database that was promoted, among them %s", len(lost), strings.Join(lost[:min(len(lost), 5)], " "))
		fmt.Printf("broken: LOST: %d acknowledged commits\n", len(lost))
		return 1
	}
	fmt.Println("held")
	return 0
}
