package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// addAfter is the time from the other VMs' last reads of their list until a VM is added,
	// stopAfter the time from then, once it is ready, until the leader's SIGTERM, and drainAfter
	// that from the SIGTERM until the primary reports that it is draining.
	addAfter = 215 * time.Millisecond
	// rounds is how often it is played at most, each time with a new fleet, until a rule is broken.
	rounds     = 4
	stopAfter  = 900 * time.Millisecond
	drainAfter = 100 * time.Millisecond
	// restartAt and restartStopAfter are the same for a VM that is restarted: its SIGTERM comes so
	// long after the other VMs' reads of their list that it has left just before their next but one.
	restartAt        = 3870 * time.Millisecond
	restartStopAfter = 750 * time.Millisecond
)

// history has the acknowledged commits in the order of their acknowledgements, and what reads lack.
type history struct {
	record *record

	mu           sync.Mutex
	acknowledged []string
	times        []time.Time
	isRolledBack map[string]bool
	// marks has, by read, the number of commits that were acknowledged before it was sent.
	marks map[string]int
	stale int
}

// promoted records which commits a promotion rolls back.
func (history *history) promoted(member *database) {
	history.mu.Lock()
	defer history.mu.Unlock()
	kept := make(map[string]bool, len(member.log))
	for _, entry := range member.log {
		kept[entry.id] = true
	}
	for _, id := range history.acknowledged {
		if !kept[id] {
			history.isRolledBack[id] = true
		}
	}
}

// read checks that a read runs on a log with the last 100 commits that were acknowledged before its
// first byte was sent.
func (history *history) read(member *database, id string, log []entry) {
	history.mu.Lock()
	defer history.mu.Unlock()
	mark, ok := history.marks[id]
	if !ok {
		return
	}
	has := make(map[string]bool, len(log))
	for _, entry := range log {
		has[entry.id] = true
	}
	for index := max(0, mark-100); index < mark; index++ {
		commit := history.acknowledged[index]
		if !has[commit] && !history.isRolledBack[commit] {
			history.stale++
			history.record.write("BROKEN: STALE: read %s runs at %s (leads: %t) on a log that lacks %s, which was acknowledged %v ago and before the read was sent",
				id, member.id, member.isLeader, commit, time.Since(history.times[index]).Round(time.Millisecond))
			return
		}
	}
}

// playStale: a machine is added; a second later the leader's machine is stopped, and then the
// primary is to be replaced. All of it is planned work. Without the disruption the leader's machine
// is not stopped.
func playStale(record *record, isTroubled bool) int { return playRounds(record, isTroubled, false) }

// playRestart is playStale with a machine that is stopped and started again instead of an added one.
func playRestart(record *record, isTroubled bool) int { return playRounds(record, isTroubled, true) }

// playRounds plays rounds until a rule is broken. It returns 2 if no round could be played.
func playRounds(record *record, isTroubled, isRestart bool) int {
	result := 2
	for round := range rounds {
		record.write("round %d", round+1)
		switch play(record, isTroubled, isRestart) {
		case 0:
			result = 0
		case 1:
			return 1
		}
	}
	return result
}

func play(record *record, isTroubled, isRestart bool) int {
	fleet := newFleet(record, nil, []int{414, 414, 544, 544, 544, 414}, 0)
	defer fleet.stop()
	group := fleet.group
	first, added := fleet.vms[:5], fleet.vms[5]
	for _, vm := range first {
		fleet.start(vm)
	}
	for _, vm := range first {
		if !vm.awaitReady(15 * time.Second) {
			record.write("%s is not ready", vm.name)
			return 2
		}
	}
	time.Sleep(6 * time.Second)
	history := &history{record: record, isRolledBack: make(map[string]bool), marks: make(map[string]int)}
	group.mu.Lock()
	group.lag, group.promoted, group.onRead = 20*time.Millisecond, history.promoted, history.read
	group.mu.Unlock()
	over := make(chan struct{})
	var callers sync.WaitGroup
	if isRestart {
		leader := fleet.leader()
		for _, vm := range first {
			if vm != leader {
				added = vm
			}
		}
	}
	for index, vm := range first {
		if vm == added {
			continue
		}
		for number := range 4 {
			callers.Go(func() { history.playCalls(vm, fmt.Sprintf("w%d%d", index, number), "WRITE k v", over) })
		}
	}
	time.Sleep(time.Second)
	fleet.awaitListReads(len(first))
	fleet.store.mu.Lock()
	readAt := fleet.store.listReadAt[0]
	fleet.store.mu.Unlock()
	stopAfter := stopAfter
	if isRestart {
		stopAfter = restartStopAfter
		time.Sleep(time.Until(readAt.Add(restartAt)))
		record.write("SIGTERM to %s, which starts again", added.name)
		check(added.command.Process.Signal(syscall.SIGTERM))
		<-added.ended
	} else {
		time.Sleep(addAfter)
		record.write("%s is added", added.name)
	}
	fleet.start(added)
	if !added.awaitReady(5 * time.Second) {
		return 2
	}
	for number := range 4 {
		callers.Go(func() { history.playCalls(added, fmt.Sprintf("r%d", number), "READ k", over) })
	}
	time.Sleep(stopAfter)
	leader := fleet.leader()
	if leader == nil || leader == added {
		record.write("no leader among the first VMs")
		return 2
	}
	if isTroubled {
		record.write("SIGTERM to %s, which leads", leader.name)
		check(leader.command.Process.Signal(syscall.SIGTERM))
	}
	time.Sleep(drainAfter)
	group.databases[0].drain()
	time.Sleep(5 * time.Second)
	if leader = fleet.leader(); leader != nil {
		record.write("%s leads", leader.name)
	}
	close(over)
	callers.Wait()
	history.mu.Lock()
	defer history.mu.Unlock()
	record.write("%d commits were acknowledged, %d reads sent, %d of them stale", len(history.acknowledged), len(history.marks), history.stale)
	group.mu.Lock()
	isReplaced := group.term > 3
	group.mu.Unlock()
	switch {
	case history.stale > 0:
		fmt.Printf("broken: STALE: %d reads\n", history.stale)
		return 1
	case !isReplaced || len(history.acknowledged) == 0 || len(history.marks) == 0:
		record.write("the primary was not replaced, or nothing was read or written")
		return 2
	}
	fmt.Println("held")
	return 0
}

// awaitListReads waits until the first VMs have all read their list within the last 0.7 s.
func (fleet *fleet) awaitListReads(count int) {
	for isDone := false; !isDone; {
		time.Sleep(10 * time.Millisecond)
		fleet.store.mu.Lock()
		isDone = true
		for index := range count {
			isDone = isDone && time.Since(fleet.store.listReadAt[index]) < 700*time.Millisecond
		}
		fleet.store.mu.Unlock()
	}
}

// leader returns the VM that gives orders, by the record that the VMs keep in the store.
func (fleet *fleet) leader() *vm {
	fleet.store.mu.Lock()
	defer fleet.store.mu.Unlock()
	text := string(fleet.store.items["bramley/duty/promote"].Value)
	for _, vm := range fleet.vms {
		if strings.Contains(text, vm.name+"@") {
			return vm
		}
	}
	return nil
}

// playCalls sends single statements on the primary route of a VM, one after the other, until over is
// closed.
func (history *history) playCalls(vm *vm, name, text string, over chan struct{}) {
	var session *client
	for count := 0; ; count++ {
		select {
		case <-over:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if session == nil {
			opened, err := open(vm.front, "writes", 0)
			if err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			session = opened
		}
		id := fmt.Sprintf("%s.%d", name, count)
		if strings.HasPrefix(text, "READ") {
			history.mu.Lock()
			history.marks[id] = len(history.acknowledged)
			history.mu.Unlock()
		}
		history.record.write("sent %s %s", id, text)
		err := session.send(id, text)
		var result string
		if err == nil {
			_, _, result, err = session.receive(5 * time.Second)
		}
		history.record.write("answer %s: %q %v", id, result, err)
		if err != nil {
			_ = session.conn.Close()
			session = nil
			continue
		}
		if strings.HasPrefix(text, "WRITE") && strings.HasPrefix(result, "COMPLETE ") {
			history.mu.Lock()
			history.acknowledged, history.times = append(history.acknowledged, id), append(history.times, time.Now())
			history.mu.Unlock()
		}
	}
}
