//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	fewServices, manyServices = 24, 26
	setRounds                 = 5
)

// setsCase changes the number of services around 24, at which the groups of databases get a second
// leader, while primaries crash or drain. Each service has one item that one
// consumer counts up, and others read on a `primary` route.
func setsCase(world *world, isTrouble bool) ([]string, error) {
	var few, many []route
	for i := range manyServices {
		name := fmt.Sprintf("ledger%d", i)
		world.groups = append(world.groups, newGroup(world, name, 1))
		many = append(many, route{Name: "r-" + name, Host: "h-" + name, Type: "primary", Service: name, TimeoutMs: 800, TargetMs: 150, Priority: 1})
	}
	few = many[:fewServices]
	if err := world.start(few); err != nil {
		return nil, err
	}
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 3))
	for _, route := range few {
		if err := world.awaitService(route.Host); err != nil {
			return nil, err
		}
	}
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	for i := range fewServices {
		counter := &counter{}
		consumers.Go(func() { world.count(stop, counter, world.nodes[i%5], many[i].Host) })
		for j := range 3 {
			consumers.Go(func() { world.readCount(stop, counter, world.nodes[(i+j+1)%5], many[i].Host) })
		}
	}
	version := 7
	for round := range setRounds {
		time.Sleep(4 * time.Second)
		version++
		routes := many
		if round%2 == 1 {
			routes = few
		}
		if isTrouble {
			if err := world.configure(version, routes); err != nil {
				return nil, err
			}
		}
		world.record("round %d: %d services", round, len(routes))
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		var crashed, leaving []*database
		for i, at := range random.Perm(fewServices)[:10] {
			primary := world.groups[at].primary()
			switch {
			case primary == nil || !isTrouble:
			case i%2 == 0:
				world.record("%s crashes", primary.id)
				primary.crash()
				crashed = append(crashed, primary)
			default:
				world.record("%s is draining", primary.id)
				world.setState(primary, "draining")
				leaving = append(leaving, primary)
			}
		}
		time.Sleep(crashLasts)
		for _, db := range crashed {
			if err := db.start(); err != nil {
				return nil, err
			}
		}
		for _, db := range leaving {
			world.setState(db, "")
		}
	}
	close(stop)
	consumers.Wait()
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.breaks, nil
}

func (world *world) setState(db *database, state string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.states[db.id] = state
}

// counter is the highest value of an item that was acknowledged.
type counter struct {
	mu    sync.Mutex
	value int
}

func (counter *counter) get() int {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	return counter.value
}

func (world *world) count(stop chan struct{}, counter *counter, node *node, host string) {
	for value := 1; ; {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		session, _, err := connect(node.front(), host)
		for err == nil && session != nil {
			reply, askErr := session.ask(newID(), fmt.Sprintf("WRITE n %d", value), 2500*time.Millisecond)
			if askErr == nil && reply.Code == "" {
				counter.mu.Lock()
				counter.value = value
				counter.mu.Unlock()
			}
			value++
			select {
			case <-stop:
				err = os.ErrClosed
			case <-time.After(40 * time.Millisecond):
				err = askErr
			}
		}
		if session != nil {
			session.close()
		}
	}
}

func (world *world) readCount(stop chan struct{}, counter *counter, node *node, host string) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		session, _, err := connect(node.front(), host)
		for err == nil && session != nil {
			id, least := newID(), counter.get()
			reply, askErr := session.ask(id, "READ n", 2500*time.Millisecond)
			if askErr == nil && reply.Code == "" && len(reply.Rows) == 1 {
				if got, _ := strconv.Atoi(reply.Rows[0]); got < least {
					for _, group := range world.groups {
						if "h-"+group.name != host {
							continue
						}
						for _, run := range group.runsOf(id) {
							world.record("ran %s at %s from %.3f to %.3f, saw %s, conn %s", id, run.Database, run.At.Sub(world.began).Seconds(), run.Ended.Sub(world.began).Seconds(), run.Saw, run.Outcome)
						}
					}
					world.record("read %s of %s at %s: %d, acknowledged before %d", id, host, node.name, got, least)
					world.mu.Lock()
					world.breaks = append(world.breaks, fmt.Sprintf("STALE or LOST: read %s of %s saw %d, acknowledged before %d", id, host, got, least))
					world.mu.Unlock()
				}
			}
			select {
			case <-stop:
				err = os.ErrClosed
			case <-time.After(40 * time.Millisecond):
				err = askErr
			}
		}
		if session != nil {
			session.close()
		}
	}
}

// runsOf returns the runs of a request.
func (group *group) runsOf(id string) []run {
	group.mu.Lock()
	defer group.mu.Unlock()
	var found []run
	for _, run := range group.runs {
		if run.ID == id {
			found = append(found, *run)
		}
	}
	return found
}
