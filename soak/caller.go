package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/audit"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/platform"
	"github.com/bramleydoor/bramleydoor/proto"
)

const (
	// answerTimeout is how long a caller waits for an answer before it counts the
	// answer as lost. It is longer than routeTimeout.
	answerTimeout = 5 * time.Second
	openTimeout   = 2 * time.Second
	// balancerDelay is how long a VM receives new sessions after its planned stop
	// began, as with a load balancer that has not noticed the stop yet.
	balancerDelay = 2 * time.Second
	// maxPause is the longest pause between a caller's operations.
	maxPause = 120 * time.Millisecond
	// configProbeShare is the share of sessions that only test whether the newest
	// configuration is in force.
	configProbeShare = 0.1
)

// recorder collects the callers' requests and their answers.
type recorder struct {
	mu       sync.Mutex
	ops      []audit.Op
	sessions int
	txs      int
	// lastSuccess is the time of the last successful write or commit, including writes
	// in transactions, and longestGap the longest time between two of them, by group.
	lastSuccess map[string]time.Time
	longestGap  map[string]time.Duration
}

func (recorder *recorder) add(op audit.Op) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.ops = append(recorder.ops, op)
	if op.Kind == audit.Open || op.IsUnanswered || op.Answer.Code != proto.OK || op.Kind == audit.Read {
		return
	}
	if last, ok := recorder.lastSuccess[op.Group]; ok {
		recorder.longestGap[op.Group] = max(recorder.longestGap[op.Group], op.AnsweredAt.Sub(last))
	}
	recorder.lastSuccess[op.Group] = op.AnsweredAt
}

func (recorder *recorder) nextSession() int {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.sessions++
	return recorder.sessions
}

func (recorder *recorder) nextTx() int {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.txs++
	return recorder.txs
}

// session is one connection of a caller.
type session struct {
	recorder *recorder
	random   *rand.Rand
	vm       *vm
	conn     *platform.FakeCaller
	number   int
	requests int
	// process names the VM's process that the session was opened to.
	process string
	group   string
	access  config.Access
	// values has the settings that the session has successfully set, by name.
	values map[string]string
	// prepared is the definition of the statement that the session has prepared; empty for none.
	prepared string
	isClosed bool
}

// oddEnds are bytes that begin and end texts, values, definitions, rows and proofs.
var oddEnds = []string{"", "", "", " ", "  ", "\t", "\r", "\r\r", "\n", "\n\r", "\x00", "\x80", "\xff"}

// odd adds odd bytes to both ends of a text.
func (session *session) odd(text string) string {
	return oddEnds[session.random.IntN(len(oddEnds))] + text + oddEnds[session.random.IntN(len(oddEnds))]
}

// runCaller runs sessions one after the other until ctx ends.
func (fleet *fleet) runCaller(ctx context.Context, recorder *recorder, number int) {
	random := rand.New(rand.NewPCG(fleet.soak.Seed, uint64(number)+100))
	for ctx.Err() == nil {
		vm := fleet.randomVM(random)
		if stopTime := vm.stopTime(); !stopTime.IsZero() && time.Since(stopTime) > balancerDelay {
			sleep(ctx, maxPause/4)
			continue
		}
		if random.Float64() < configProbeShare {
			fleet.probeConfig(recorder, vm)
			continue
		}
		session := fleet.openSession(recorder, vm, random)
		if session == nil {
			sleep(ctx, maxPause/2)
			continue
		}
		for range 5 + random.IntN(20) {
			if session.isClosed || ctx.Err() != nil {
				break
			}
			session.runOperation(ctx)
		}
		session.conn.Close()
	}
}

// probeConfig opens a session to the database name that the newest configuration
// added.
func (fleet *fleet) probeConfig(recorder *recorder, vm *vm) {
	fleet.mu.Lock()
	version := fleet.configVersion
	setAt := fleet.configSetAt[version]
	fleet.mu.Unlock()
	op := audit.Op{Kind: audit.Open, Group: "group0", Version: version, AcceptedAt: setAt}
	if fakeCaller := recorder.dial(vm, versionName(version), op); fakeCaller != nil {
		fakeCaller.Close()
	}
}

// openSession opens a session to a random group; nil if it is refused or lost.
func (fleet *fleet) openSession(recorder *recorder, vm *vm, random *rand.Rand) *session {
	group := fmt.Sprintf("group%d", random.IntN(groupCount))
	access := accesses[random.IntN(len(accesses))]
	session := &session{
		recorder: recorder, random: random, vm: vm, group: group, access: access, process: vm.processName(),
		values: make(map[string]string),
	}
	op := audit.Op{Kind: audit.Open, Group: group, Access: access}
	session.conn = recorder.dial(vm, group+"-"+access.String(), op)
	if session.conn == nil {
		return nil
	}
	session.number = recorder.nextSession()
	return session
}

// dial connects to a VM and records the outcome as op; nil if the session is refused or
// the answer lost.
func (recorder *recorder) dial(vm *vm, database string, op audit.Op) *platform.FakeCaller {
	op.ID = fmt.Sprintf("o%d", recorder.nextSession())
	op.Process, op.StartedAt = vm.processName(), time.Now()
	fakeCaller, answer, err := platform.DialCaller(vm.address(), database, "soak", openTimeout)
	op.AnsweredAt, op.Answer, op.IsUnanswered = time.Now(), answer, err != nil
	op.IsStopping = !vm.stopTime().IsZero()
	recorder.add(op)
	if err != nil || answer.Code != proto.OK {
		return nil
	}
	return fakeCaller
}

// runOperation pauses and then runs one random operation.
func (session *session) runOperation(ctx context.Context) {
	sleep(ctx, time.Duration(session.random.Int64N(int64(maxPause))))
	switch session.random.IntN(10) {
	case 0:
		session.setValue()
	case 1:
		definition := "READ " + session.odd(fmt.Sprintf("q%d", session.random.IntN(3)))
		if session.sendControl("PREPARE s1 " + definition) {
			session.prepared = definition
		}
	case 2:
		if session.prepared != "" {
			arguments := []string{"", " ", " " + session.odd("1a"), " " + session.odd("1a")}
			session.execute(arguments[session.random.IntN(len(arguments))], time.Now())
		}
	case 3, 4, 5:
		session.runTransaction(ctx)
	case 6, 7:
		session.runWrite(0, time.Now())
	default:
		session.runRead(0, time.Now())
	}
}

// setValue sets a value of the session.
func (session *session) setValue() {
	value := session.odd(fmt.Sprint(session.random.IntN(1000)))
	if session.sendControl("SET zone " + value) {
		session.values["zone"] = value
	}
}

func (session *session) runRead(tx int, began time.Time) bool {
	text := "READ " + session.odd("x")
	return session.runStatement(audit.Op{Kind: audit.Read, Text: text}, text, tx, began)
}

// execute executes the prepared statement with arguments, which follow a blank unless there
// are none.
func (session *session) execute(arguments string, began time.Time) bool {
	op := audit.Op{Kind: audit.Read, Text: session.prepared + arguments, Prepared: session.prepared}
	return session.runStatement(op, "EXECUTE s1"+arguments, 0, began)
}

// runWrite writes a value that no other request writes. The transaction tx is zero for
// a single statement.
func (session *session) runWrite(tx int, began time.Time) bool {
	text := "WRITE " + session.odd(fmt.Sprintf("x %d.%d", session.number, session.requests))
	return session.runStatement(audit.Op{Kind: audit.Write, Text: text}, text, tx, began)
}

// runTransaction runs a transaction of one to three statements and rolls it back if one
// fails. Of the others, one in ten is rolled back too, and one in ten ends the session
// without a commit. A failed commit ends the session as well.
func (session *session) runTransaction(ctx context.Context) {
	began := time.Now()
	if !session.sendControl("BEGIN") {
		return
	}
	tx := session.recorder.nextTx()
	for range 1 + session.random.IntN(3) {
		isOK := false
		if session.random.IntN(2) == 0 {
			isOK = session.runWrite(tx, began)
		} else {
			isOK = session.runRead(tx, began)
		}
		if !isOK {
			session.sendControl("ROLLBACK")
			return
		}
		sleep(ctx, time.Duration(session.random.Int64N(int64(maxPause))))
	}
	if session.random.IntN(4) == 0 {
		session.setValue()
	}
	switch session.random.IntN(10) {
	case 0:
		session.sendControl("ROLLBACK")
	case 1:
		session.isClosed = true // ends the session in mid-transaction
	default:
		if !session.runStatement(audit.Op{Kind: audit.Commit, Text: "COMMIT"}, "COMMIT", tx, began) && !session.isClosed {
			session.isClosed = true
		}
	}
}

// sendControl sends a request that is not recorded, since no database runs it by
// itself, and reports whether it succeeded.
func (session *session) sendControl(text string) bool {
	if session.isClosed {
		return false
	}
	answer, err := session.conn.Ask(session.nextRequestID(), text, answerTimeout)
	session.isClosed = session.isClosed || err != nil
	return err == nil && answer.Code == proto.OK
}

func (session *session) nextRequestID() string {
	session.requests++
	return fmt.Sprintf("s%d.%d", session.number, session.requests)
}

// runStatement sends a request and records the outcome. The caller sends text; op has the
// kind, the statement that a database runs for it, which differs for a prepared statement,
// and the latter's definition. The time began is the start of the request's transaction, or
// of the request itself. runStatement reports whether the request succeeded.
func (session *session) runStatement(op audit.Op, text string, tx int, began time.Time) bool {
	if session.isClosed {
		return false
	}
	op.ID, op.Group, op.Access, op.MaxStaleness = session.nextRequestID(), session.group, session.access, maxStaleness
	op.Session, op.Tx, op.Process, op.Values, op.StartedAt = session.number, tx, session.process, maps.Clone(session.values), began
	sent := time.Now()
	answer, err := session.conn.Ask(op.ID, text, answerTimeout)
	op.SentAt, op.AnsweredAt, op.Answer, op.IsUnanswered = sent, time.Now(), answer, err != nil
	op.IsStopping = !session.vm.stopTime().IsZero() && session.vm.processName() == session.process
	session.isClosed = err != nil
	session.recorder.add(op)
	return err == nil && answer.Code == proto.OK
}
