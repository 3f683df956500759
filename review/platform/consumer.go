//go:build review

package main

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// operation is one statement of a consumer and its answer.
type operation struct {
	id, kind, text, route, transaction, vm string
	session                                int
	// firstByteAt is when the statement was sent, or the BEGIN of its transaction.
	firstByteAt, sentAt, answeredAt time.Time
	code, proof                     string // code is OK, an error's code, or LOST
	rows                            []string
	// tenant is the consumer's, executed the statement that a database runs for it, values the
	// session's values that were acknowledged.
	tenant, executed string
	values           map[string]string
}

// consumer is one consumer, with a session at a time.
type consumer struct {
	world    *world
	number   int
	host     string
	kind     string
	service  string
	staleMs  int
	random   *rand.Rand
	conn     net.Conn
	reader   *bufio.Reader
	vm       *vm
	sessions int
	pause    time.Duration
	// writes and transactions are the shares of operations.
	writes, transactions float64
	// fronts are the VMs that the consumer's connections reach; all if it is empty.
	fronts []*vm
	// key and tenant are empty without tenants. usesState makes the consumer set values and prepare
	// statements.
	key, tenant string
	usesState   bool
	values      map[string]string
	shape       string
}

var sessionCount, requestCount atomic.Int64

func (consumer *consumer) connect() bool {
	front := consumer.world.frontOf(consumer.number)
	if len(consumer.fronts) > 0 {
		front = consumer.fronts[consumer.number%len(consumer.fronts)]
	}
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", front.ip, frontPort), 2*time.Second)
	if err != nil {
		return false
	}
	consumer.conn, consumer.reader, consumer.vm = conn, bufio.NewReader(conn), front
	consumer.sessions = int(sessionCount.Add(1))
	consumer.world.mu.Lock()
	consumer.world.serviceOf[consumer.sessions] = consumer.service
	consumer.world.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	key := fmt.Sprintf("u%d", consumer.number)
	if consumer.key != "" {
		key = consumer.key
	}
	consumer.values, consumer.shape = make(map[string]string), ""
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", consumer.host, key)
	line, err := consumer.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		consumer.close()
		return false
	}
	return true
}

func (consumer *consumer) close() {
	if consumer.conn != nil {
		_ = consumer.conn.Close()
		consumer.conn = nil
	}
}

// run runs operations until done is closed.
func (consumer *consumer) run(done <-chan struct{}) {
	defer consumer.close()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(float64(consumer.pause) * (0.5 + consumer.random.Float64()))):
		}
		if consumer.conn == nil && !consumer.connect() {
			continue
		}
		consumer.operate()
	}
}

func (consumer *consumer) operate() {
	now := time.Now()
	if consumer.usesState && consumer.random.IntN(6) == 0 {
		consumer.changeState(now)
		return
	}
	switch draw := consumer.random.Float64(); {
	case draw < consumer.writes:
		consumer.ask("write", consumer.write(), "", now, 2500)
	case draw < consumer.writes+consumer.transactions:
		begin := consumer.ask("begin", "BEGIN", "", now, 2500)
		if begin.code != "OK" {
			consumer.close()
			return
		}
		for range 2 {
			if answer := consumer.ask("txwrite", consumer.write(), begin.id, now, 2500); answer.code != "OK" {
				consumer.rollback(now)
				return
			}
			time.Sleep(time.Duration(consumer.random.IntN(10)) * time.Millisecond)
		}
		if answer := consumer.ask("commit", "COMMIT", begin.id, now, 2500); answer.code != "OK" {
			consumer.close()
		}
	case consumer.shape != "" && consumer.random.IntN(2) == 0:
		item := fmt.Sprintf("%x", consumer.random.IntN(2000))
		consumer.askAs("read", "EXECUTE s1 "+item, "READ "+consumer.shape+" "+item, "", now, 2500)
	default:
		consumer.ask("read", fmt.Sprintf("READ %x", consumer.random.IntN(2000)), "", now, 2500)
	}
}

// changeState sets a value or prepares a statement, whose names collide between consumers.
func (consumer *consumer) changeState(now time.Time) {
	if consumer.random.IntN(2) == 0 {
		name, value := fmt.Sprintf("v%d", consumer.random.IntN(2)), fmt.Sprint(consumer.random.IntN(50))
		if consumer.ask("set", "SET "+name+" "+value, "", now, 2500).code == "OK" {
			values := maps.Clone(consumer.values)
			values[name] = value
			consumer.values = values
		}
		return
	}
	shape := fmt.Sprintf("q%d", consumer.random.IntN(40))
	if consumer.ask("prepare", "PREPARE s1 READ "+shape, "", now, 2500).code == "OK" {
		consumer.shape = shape
	}
}

func (consumer *consumer) write() string {
	return fmt.Sprintf("WRITE %x w%d", consumer.random.IntN(2000), requestCount.Load())
}

func (consumer *consumer) rollback(now time.Time) {
	if consumer.conn != nil {
		consumer.ask("rollback", "ROLLBACK", "", now, 2500)
	}
}

// ask sends a statement and records it and its answer.
func (consumer *consumer) ask(kind, text, transaction string, firstByteAt time.Time, timeoutMs int) *operation {
	return consumer.askAs(kind, text, text, transaction, firstByteAt, timeoutMs)
}

func (consumer *consumer) askAs(kind, text, executed, transaction string, firstByteAt time.Time, timeoutMs int) *operation {
	world := consumer.world
	asked := &operation{
		id: fmt.Sprintf("%016x", requestCount.Add(1)), kind: kind, text: text, route: consumer.kind, transaction: transaction,
		vm: consumer.vm.name, session: consumer.sessions, firstByteAt: firstByteAt, sentAt: time.Now(), code: "LOST",
		tenant: consumer.tenant, executed: executed, values: consumer.values,
	}
	if transaction == "" {
		asked.firstByteAt = asked.sentAt
	}
	world.mu.Lock()
	world.operations[asked.id] = asked
	world.all = append(world.all, asked)
	world.mu.Unlock()
	code, proof, rows := consumer.exchange(asked.id, text, timeoutMs)
	world.answered(asked, code, proof, rows)
	if code == "LOST" {
		consumer.close()
	}
	return asked
}

func (consumer *consumer) exchange(id, text string, timeoutMs int) (code, proof string, rows []string) {
	if consumer.conn == nil {
		return "LOST", "", nil
	}
	_ = consumer.conn.SetDeadline(time.Now().Add(time.Duration(timeoutMs) * time.Millisecond))
	if _, err := fmt.Fprintf(consumer.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "LOST", "", nil
	}
	code = "LOST"
	for {
		line, err := consumer.reader.ReadString('\n')
		if err != nil {
			return "LOST", "", nil
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			rows = append(rows, rest)
		case "COMPLETE":
			code, proof = "OK", rest
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return code, proof, rows
		}
	}
}

// answered records an answer, and the commit that it acknowledges.
func (world *world) answered(asked *operation, code, proof string, rows []string) {
	now := time.Now()
	var committed *entry
	if code == "OK" && (asked.kind == "write" || asked.kind == "commit") {
		committed = world.commitOf(proof)
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	asked.code, asked.proof, asked.rows, asked.answeredAt = code, proof, rows, now
	if committed != nil {
		world.acked = append(world.acked, committed)
		world.ackedAt[committed] = now
	}
}

// commitOf returns the commit of the run with a proof.
func (world *world) commitOf(proof string) *entry {
	for _, group := range world.groups {
		group.mu.Lock()
		for i := len(group.runs) - 1; i >= 0; i-- {
			if group.runs[i].proof == proof {
				committed := group.runs[i].committed
				group.mu.Unlock()
				return committed
			}
		}
		group.mu.Unlock()
	}
	return nil
}

func (world *world) ackedCommits() []*entry {
	world.mu.Lock()
	defer world.mu.Unlock()
	return append([]*entry(nil), world.acked...)
}

// lackedBy returns the commits that a read had to see and that the database's log lacks. On a
// primary route these are all commits that were acknowledged before the first byte of the read, on
// a bounded route those acknowledged more than its staleness before that.
func (world *world) lackedBy(database *database, id string) []*entry {
	world.mu.Lock()
	defer world.mu.Unlock()
	asked := world.operations[id]
	if asked == nil || asked.kind != "read" {
		return nil
	}
	before, count := asked.firstByteAt, len(database.log)
	if asked.route == "bounded" {
		before, count = before.Add(-staleness), database.visible
	}
	var lacked []*entry
	for i := len(world.acked) - 1; i >= max(0, len(world.acked)-600); i-- {
		acked := world.acked[i]
		if database.group.find(acked.database) == nil || !world.ackedAt[acked].Before(before) {
			continue
		}
		if !database.has(acked, count) {
			lacked = append(lacked, acked)
		}
	}
	return lacked
}

const staleness = 1500 * time.Millisecond
