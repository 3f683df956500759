//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// leaderKey is the key of the first set's record.
	leaderKey = "bramley/duty/promote"
	// The leader's conditional writes are rejected for writesRejected, and wait until writesHeld
	// after that. Its reads are rejected from before that until readsRejected after it.
	writesRejected = 2100 * time.Millisecond
	writesHeld     = 3400 * time.Millisecond
	readsRejected  = 9 * time.Second
	crashCount     = 10
	// reviveCalls is how long the platform takes before it acts on a failover call.
	reviveCalls = 600 * time.Millisecond
)

// outage is the store's trouble for one machine.
type outage struct {
	mu         sync.Mutex
	node       int
	isArmed    bool
	begun      time.Time
	onBegin    func()
	readsUntil time.Time
}

// serve returns false if it has answered the call.
func (outage *outage) serve(node int, writer http.ResponseWriter, request *http.Request) bool {
	outage.mu.Lock()
	if node != outage.node {
		outage.mu.Unlock()
		return true
	}
	now := time.Now()
	if request.Method == http.MethodGet {
		isRejected := outage.readsUntil.IsZero() || now.Before(outage.readsUntil)
		outage.mu.Unlock()
		if isRejected {
			writer.WriteHeader(http.StatusTooManyRequests)
		}
		return !isRejected
	}
	begun := outage.begun
	outage.mu.Unlock()
	body, err := io.ReadAll(request.Body)
	request.Body = io.NopCloser(bytes.NewReader(body))
	if err != nil || !strings.Contains(string(body), `"`+leaderKey+`"`) {
		return true
	}
	switch since := now.Sub(begun); {
	case begun.IsZero():
		// The last renewal that is answered at once.
		outage.mu.Lock()
		if outage.isArmed && outage.begun.IsZero() {
			outage.begun, outage.readsUntil = now, now.Add(readsRejected)
			outage.onBegin()
		}
		outage.mu.Unlock()
	case since < writesRejected:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return false
	case since < writesHeld:
		time.Sleep(writesHeld - since)
	}
	return true
}

// reviveCase adds services, so that the groups of databases get a second leader, while the store
// rejects the first leader's calls, and holds up its writes after that. Then primaries crash, and
// the platform is slow. Without trouble, the store serves all.
func reviveCase(world *world, isTrouble bool) ([]string, error) {
	var many []route
	for i := range manyServices {
		name := fmt.Sprintf("ledger%d", i)
		world.groups = append(world.groups, newGroup(world, name, 1))
		many = append(many, route{Name: "r-" + name, Host: "h-" + name, Type: "primary", Service: name, TimeoutMs: 800, TargetMs: 150, Priority: 1})
	}
	few := many[:fewServices]
	outage := &outage{node: -1}
	world.onStoreCall = outage.serve
	highest := make(map[string]uint64)
	var mu sync.Mutex
	world.onFailover = func(service, holder string, token uint64) {
		mu.Lock()
		defer mu.Unlock()
		if token < highest[service] {
			world.mu.Lock()
			world.breaks = append(world.breaks, fmt.Sprintf("ONE: %s sends token %d for %s after %d", holder, token, service, highest[service]))
			world.mu.Unlock()
		}
		highest[service] = max(highest[service], token)
	}
	if err := world.start(few); err != nil {
		return nil, err
	}
	for _, route := range few {
		if err := world.awaitService(route.Host); err != nil {
			return nil, err
		}
	}
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	for i := range fewServices {
		counter := &counter{}
		consumers.Go(func() { world.count(stop, counter, world.nodes[i%nodeCount], many[i].Host) })
		for j := range 3 {
			consumers.Go(func() { world.readCount(stop, counter, world.nodes[(i+j+1)%nodeCount], many[i].Host) })
		}
	}
	time.Sleep(3 * time.Second)
	first, err := world.leaderOf(leaderKey)
	if err != nil {
		return nil, err
	}
	begun := make(chan struct{})
	outage.mu.Lock()
	outage.onBegin = func() { close(begun) }
	if isTrouble {
		outage.node = first.number
	}
	outage.mu.Unlock()
	if isTrouble {
		world.record("the store rejects the reads of %s, which leads", first.name)
	}
	// A watch that waits may still tell the leader.
	time.Sleep(1600 * time.Millisecond)
	if err := world.configure(8, many); err != nil {
		return nil, err
	}
	world.record("%d services", len(many))
	time.Sleep(4 * time.Second)
	if isTrouble {
		outage.mu.Lock()
		outage.isArmed = true
		outage.mu.Unlock()
		<-begun
		world.record("the store rejects the writes of %s for %v, and then holds them up until %v", first.name, writesRejected, writesHeld)
	}
	time.Sleep(5500 * time.Millisecond)
	world.slowCalls.Store(int64(reviveCalls))
	var crashed []*database
	for i := 0; i < fewServices && len(crashed) < crashCount; i++ {
		if primary := world.groups[i].primary(); primary != nil {
			world.record("%s, a primary, crashes", primary.id)
			primary.crash()
			crashed = append(crashed, primary)
		}
	}
	time.Sleep(crashLasts)
	for _, db := range crashed {
		if err := db.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second)
	close(stop)
	consumers.Wait()
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.breaks, nil
}

// leaderOf returns the machine that a record names as the leader.
func (world *world) leaderOf(key string) (*node, error) {
	items, _, err := world.store.Tree.Range(context.Background(), key, false)
	if err != nil {
		return nil, err
	}
	for _, item := range items {
		var record struct {
			Holder string `json:"holder"`
		}
		if item.Key != key || json.Unmarshal(item.Value, &record) != nil {
			continue
		}
		for _, node := range world.nodes {
			if strings.HasPrefix(record.Holder, node.name) {
				return node, nil
			}
		}
		return nil, fmt.Errorf("unknown leader %q", record.Holder)
	}
	return nil, fmt.Errorf("no leader")
}
