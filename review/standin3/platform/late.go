//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	lateBy      = 6 * time.Second
	crashLasts  = 7 * time.Second
	writerCount = 10
)

// write is one write of a consumer that was answered with success.
type write struct {
	id, item string
	answered time.Time
}

// lateCase crashes the primary of a service with syncReplicas 1 while the platform is slow: it takes
// lateBy before it acts on a failover call, once for each. The database that the first call names is
// started again under its id meanwhile, and knows nothing of before.
func lateCase(world *world, isTrouble bool) ([]string, error) {
	world.groups = append(world.groups, newGroup(world, "ledger", 1))
	routes := []route{{Name: "r-1", Host: "arrangement", Type: "primary", Service: "ledger", TimeoutMs: 800, TargetMs: 150, Priority: 1}}
	if err := world.start(routes); err != nil {
		return nil, err
	}
	if err := world.awaitService("arrangement"); err != nil {
		return nil, err
	}
	group := world.groups[0]
	var mu sync.Mutex
	var acknowledged []write
	group.onLead = func(db *database) {
		mu.Lock()
		defer mu.Unlock()
		lost, example := 0, ""
		for _, write := range acknowledged {
			if write.answered.Before(time.Now()) && !db.has(write.item) {
				lost, example = lost+1, write.id
			}
		}
		if lost > 0 {
			world.breaks = append(world.breaks, fmt.Sprintf("LOST: %s is promoted without %d acknowledged commits, for instance %s", db.id, lost, example))
		}
	}
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for i := range writerCount {
		writers.Go(func() {
			world.writeOn(stop, world.nodes[i%len(world.nodes)], i, func(done write) {
				mu.Lock()
				defer mu.Unlock()
				acknowledged = append(acknowledged, done)
			})
		})
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	world.record("%d writes acknowledged", len(acknowledged))
	mu.Unlock()
	if isTrouble {
		world.slowCalls.Store(int64(lateBy))
		var once sync.Once
		world.onCall = func(id string) {
			once.Do(func() { go world.restartEmpty(group, id) })
		}
	}
	primary := group.primary()
	world.record("%s, the primary, crashes", primary.id)
	primary.crash()
	time.Sleep(crashLasts)
	if err := primary.start(); err != nil {
		return nil, err
	}
	world.record("%s is back with its log", primary.id)
	time.Sleep(6 * time.Second)
	close(stop)
	writers.Wait()
	mu.Lock()
	world.record("%d writes acknowledged", len(acknowledged))
	mu.Unlock()
	group.mu.Lock()
	defer group.mu.Unlock()
	for _, run := range group.runs {
		world.record("%s ran %s %s at %.3f: commit %s, %s", run.Database, run.ID, run.Text, run.At.Sub(world.began).Seconds(), run.Commit, run.Outcome)
	}
	return world.breaks, nil
}

// restartEmpty restarts a database that has been named in a call, without its log.
func (world *world) restartEmpty(group *group, id string) {
	time.Sleep(time.Second)
	for _, db := range group.databases {
		if db.id != id {
			continue
		}
		db.crash()
		group.mu.Lock()
		db.leads, db.term, db.seal, db.log = false, 0, 0, []entry{{data: map[string]string{}}}
		db.born = time.Now().UnixMilli()
		group.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		if err := db.start(); err != nil {
			world.record("%s could not be started: %v", id, err)
			return
		}
		world.record("%s is started again under its id, and knows nothing of before", id)
	}
}

// writeOn writes one item after the other until stop is closed.
func (world *world) writeOn(stop chan struct{}, node *node, number int, onDone func(done write)) {
	for count := 0; ; {
		session, _, err := connect(node.front(), "arrangement")
		for err == nil && session != nil {
			select {
			case <-stop:
				session.close()
				return
			default:
			}
			count++
			id, item := newID(), fmt.Sprintf("k%d-%d", number, count)
			world.record("sent %s WRITE %s to %s", id, item, node.name)
			reply, askErr := session.ask(id, "WRITE "+item+" 1", 2500*time.Millisecond)
			world.record("answer to %s: code %q, proof %q, connection %v", id, reply.Code, reply.Proof, askErr)
			switch {
			case askErr != nil:
				err = askErr
				session.close()
			case reply.Code == "":
				onDone(write{id, item, time.Now()})
			default:
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(40 * time.Millisecond)
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
