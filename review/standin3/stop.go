package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	lookupTimeout = 3000 * time.Millisecond
	lookupBudget  = 5000 * time.Millisecond
	longWork      = 2400 // ms
	longCount     = 6
)

// longRequest is a statement that takes long, and what became of it.
type longRequest struct {
	id        string
	sent, end time.Time
	reply     answer
	err       error
}

// stopCase stops one machine as planned while its consumers go on working on their open sessions.
// From 3.2 s after the SIGTERM on, some send a statement that its database works on for 2.4 s, well
// below the route's timeout.
func stopCase(world *world, isTrouble bool) ([]string, error) {
	world.groups = append(world.groups, newGroup(world, "nucleo", 0))
	routes := []route{
		{Name: "r-1", Host: "pedidos", Type: "primary", Service: "nucleo", TimeoutMs: 1000, TargetMs: 200, Priority: 1},
		{Name: "r-2", Host: "estantes", Type: "bounded", Service: "nucleo", TimeoutMs: int(lookupTimeout.Milliseconds()), TargetMs: 800, Priority: 2, Staleness: 1500},
	}
	if err := world.start(routes); err != nil {
		return nil, err
	}
	if err := world.awaitService("pedidos"); err != nil {
		return nil, err
	}
	time.Sleep(4500 * time.Millisecond) // contactMs
	node := world.nodes[0]
	stopAt := time.Now().Add(1500 * time.Millisecond)
	requests := make([]*longRequest, longCount)
	var sessions sync.WaitGroup
	for i := range requests {
		requests[i] = &longRequest{id: newID()}
		sessions.Go(func() {
			requests[i].err = world.work(node, requests[i], stopAt.Add(3200*time.Millisecond+time.Duration(i)*100*time.Millisecond))
		})
	}
	time.Sleep(time.Until(stopAt))
	if isTrouble {
		world.record("SIGTERM %s", node.name)
		if err := node.command.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	sessions.Wait()
	if isTrouble {
		select {
		case <-node.exited:
			world.record("%s has ended", node.name)
		case <-time.After(4 * time.Second):
			world.record("%s runs on", node.name)
		}
	}
	return world.judgeStop(requests, stopAt)
}

// work runs short reads on one session, and from a time on the long one, in a read transaction.
func (world *world) work(node *node, long *longRequest, longAt time.Time) error {
	session, reply, err := connect(node.front(), "estantes")
	if err != nil || session == nil {
		return fmt.Errorf("no session: %v %v", reply, err)
	}
	defer session.close()
	for time.Now().Before(longAt) {
		id := newID()
		reply, err := session.ask(id, "READ 1a4", lookupBudget)
		if err != nil {
			world.record("short read %s: %v", id, err)
			return nil
		}
		if reply.Code != "" {
			world.record("short read %s refused %s %s", id, reply.Code, reply.Text)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if reply, err := session.ask(newID(), "BEGIN READ", lookupBudget); err != nil || reply.Code != "" {
		world.record("BEGIN READ: %+v %v", reply, err)
		return nil
	}
	long.sent = time.Now()
	world.record("sent %s READ slow-%d-x", long.id, longWork)
	long.reply, long.err = session.ask(long.id, fmt.Sprintf("READ slow-%d-x", longWork), lookupBudget)
	long.end = time.Now()
	world.record("answer to %s after %d ms: code %q, rows %q, proof %q, connection %v",
		long.id, long.end.Sub(long.sent).Milliseconds(), long.reply.Code, long.reply.Rows, long.reply.Proof, long.err)
	return long.err
}

// judgeStop applies LOST to the long requests.
func (world *world) judgeStop(requests []*longRequest, stopAt time.Time) ([]string, error) {
	var breaks []string
	sent := 0
	for _, long := range requests {
		if long.sent.IsZero() {
			continue
		}
		sent++
		after, took := long.sent.Sub(stopAt), long.end.Sub(long.sent)
		for _, run := range world.groups[0].runsOf(long.id) {
			world.record("run %s at %s, %d ms after the SIGTERM: %s", run.ID, run.Database, run.At.Sub(stopAt).Milliseconds(), run.Outcome)
			// Not counted: sent up to 3 s after the SIGTERM, or cut at the route's timeout or the budget.
			if long.err != nil && after > 3*time.Second && took < lookupTimeout-100*time.Millisecond {
				breaks = append(breaks, fmt.Sprintf("LOST: %s was sent %d ms after the SIGTERM and passed on to %s; its connection ended after %d ms without an answer",
					long.id, after.Milliseconds(), run.Database, took.Milliseconds()))
				break
			}
		}
	}
	if sent == 0 {
		world.record("no long request could be sent: the machine had ended its sessions")
	}
	return breaks, nil
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
