package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// deafBefore is the time from the moment when a replica begins to receive nothing until the
	// primary is partitioned, cutFor how long that lasts.
	deafBefore = 500 * time.Millisecond
	cutFor     = 5 * time.Second
	// crashAfter is the time from the promotion until the new primary crashes.
	crashAfter = time.Second
	// restartDelay is that from the kill of a process until the platform starts the next one.
	restartDelay = 300 * time.Millisecond
	// thaw is thawMs of the bounds.
	thaw = 300 * time.Millisecond
)

// playFormer: a primary is partitioned from its replicas and from two VMs, among them the leader,
// so that another is promoted, which then crashes. The leader's process is killed and started again.
// One replica receives nothing meanwhile.
func playFormer(record *record, isTroubled bool) int {
	fleet := newFleet(record, nil, []int{414, 414, 544, 544, 544}, 0)
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
	time.Sleep(6 * time.Second)
	history := &history{record: record, isRolledBack: make(map[string]bool), marks: make(map[string]int)}
	var mu sync.Mutex
	late, acknowledged := make(map[string]string), make(map[string]bool)
	promotedAt := make(chan *database, 8)
	group.mu.Lock()
	group.lag, group.onRead = 20*time.Millisecond, history.read
	group.promoted = func(member *database) {
		history.promoted(member)
		promotedAt <- member
	}
	group.onCommit = func(member *database, id string) {
		// What a VM sends within thawMs after its link was disrupted doesn't count.
		if member.term < group.term && !member.isCut && time.Since(member.healedAt) > thaw {
			mu.Lock()
			defer mu.Unlock()
			late[id] = member.id
		}
	}
	group.mu.Unlock()
	over := make(chan struct{})
	var callers sync.WaitGroup
	var unanswered, answered atomic.Int64
	for index, vm := range fleet.vms {
		for number := range 2 {
			callers.Go(func() {
				playWrites(record, vm, fmt.Sprintf("w%d%d", index, number), over, func(id string) {
					history.mu.Lock()
					history.acknowledged, history.times = append(history.acknowledged, id), append(history.times, time.Now())
					history.mu.Unlock()
					mu.Lock()
					defer mu.Unlock()
					acknowledged[id] = true
				})
			})
			callers.Go(func() { playLookups(record, vm, number, over, &unanswered, &answered) })
			callers.Go(func() { history.playCalls(vm, fmt.Sprintf("r%d%d", index, number), "READ k", over) })
		}
	}
	time.Sleep(2 * time.Second)
	if isTroubled {
		if !fleet.disturb(promotedAt) {
			return 2
		}
	} else {
		time.Sleep(cutFor)
	}
	time.Sleep(6 * time.Second)
	close(over)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	for id, member := range late {
		if acknowledged[id] {
			broken = append(broken, id+" at "+member)
		}
	}
	record.write("%d writes acknowledged, %d committed at a former primary after a promote, %d of them acknowledged; %d stale reads",
		len(acknowledged), len(late), len(broken), history.stale)
	switch {
	case len(broken) > 0:
		record.write("BROKEN: ONE: among them %s", strings.Join(broken[:min(5, len(broken))], ", "))
		fmt.Printf("broken: ONE: %d writes; STALE: %d reads\n", len(broken), history.stale)
		return 1
	case history.stale > 0:
		fmt.Printf("broken: STALE: %d reads\n", history.stale)
		return 1
	case len(acknowledged) == 0:
		return 2
	}
	fmt.Println("held")
	return 0
}

// disturb makes the disruptions. It returns false if nothing was promoted.
func (fleet *fleet) disturb(promotedAt chan *database) bool {
	record, group := fleet.record, fleet.group
	former, deaf := group.databases[0], group.databases[2]
	leader := fleet.leader()
	if leader == nil {
		record.write("no leader")
		return false
	}
	other := fleet.vms[0]
	if other == leader {
		other = fleet.vms[1]
	}
	deaf.setDeaf(true)
	time.AfterFunc(deafFor, func() { deaf.setDeaf(false) })
	time.Sleep(deafBefore)
	former.cut(leader.name, other.name)
	healed := make(chan struct{})
	time.AfterFunc(cutFor, func() { former.heal(); close(healed) })
	select {
	case promoted := <-promotedAt:
		time.Sleep(crashAfter)
		promoted.crash()
		time.AfterFunc(downFor, promoted.restart)
	case <-healed:
		record.write("nothing was promoted")
		return false
	}
	record.write("the process of %s, which leads, is killed", leader.name)
	check(leader.command.Process.Signal(syscall.SIGKILL))
	<-leader.ended
	time.Sleep(restartDelay)
	fleet.start(leader)
	<-healed
	time.Sleep(downFor)
	return true
}
