package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/judge"
	"github.com/bramleydoor/bramleydoor/platform"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/wires"
)

const (
	// answerWait is how long a caller waits for an answer before it counts it as
	// lost: longer than the routes' timeout.
	answerWait = 5 * time.Second
	openWait   = 2 * time.Second
	// turnAway is how long after its stop began a VM is still given new sessions,
	// as a balancer would.
	turnAway = 2 * time.Second
	// mostPause bounds the pauses of callers.
	mostPause = 120 * time.Millisecond
	// probeShare of the sessions only test the newest configuration.
	probeShare = 0.1
)

// ledger collects what callers were told.
type ledger struct {
	mu       sync.Mutex
	ops      []judge.Op
	sessions int
	txs      int
	lastOK   map[string]time.Time
	longest  map[string]time.Duration
}

func (ledger *ledger) add(op judge.Op) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.ops = append(ledger.ops, op)
	if op.Kind == judge.Open || op.IsLost || op.Answer.Code != wires.OK || op.Kind == judge.Read {
		return
	}
	if last, ok := ledger.lastOK[op.Group]; ok {
		ledger.longest[op.Group] = max(ledger.longest[op.Group], op.Ended.Sub(last))
	}
	ledger.lastOK[op.Group] = op.Ended
}

func (ledger *ledger) nextSession() int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.sessions++
	return ledger.sessions
}

func (ledger *ledger) nextTx() int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.txs++
	return ledger.txs
}

// session is one connection of a caller.
type session struct {
	ledger *ledger
	pick   *rand.Rand
	vm     *vm
	wire   wires.Wire
	number int
	asked  int
	boot   string
	group  string
	access config.Access
	values map[string]string
	shape  bool
	isOver bool
}

// call runs one caller: session after session.
func (fleet *fleet) call(ctx context.Context, ledger *ledger, number int) {
	pick := rand.New(rand.NewPCG(fleet.soak.Seed, uint64(number)+100))
	for ctx.Err() == nil {
		vm := fleet.anyVM(pick)
		if at := vm.stopping(); !at.IsZero() && time.Since(at) > turnAway {
			sleep(ctx, mostPause/4)
			continue
		}
		if pick.Float64() < probeShare {
			fleet.probe(ledger, vm)
			continue
		}
		opened := fleet.open(ledger, vm, pick)
		if opened == nil {
			sleep(ctx, mostPause/2)
			continue
		}
		for range 5 + pick.IntN(20) {
			if opened.isOver || ctx.Err() != nil {
				break
			}
			opened.step(ctx)
		}
		opened.wire.Close()
	}
}

// probe opens a session by the name that the newest configuration brought.
func (fleet *fleet) probe(ledger *ledger, vm *vm) {
	fleet.mu.Lock()
	version := fleet.version
	setAt := fleet.setAt[version]
	fleet.mu.Unlock()
	op := judge.Op{Kind: judge.Open, Group: "group0", Version: version, SetAt: setAt}
	if wire := ledger.open(vm, versionName(version), op); wire != nil {
		wire.Close()
	}
}

// open opens a session; nil if it is refused.
func (fleet *fleet) open(ledger *ledger, vm *vm, pick *rand.Rand) *session {
	group := fmt.Sprintf("group%d", pick.IntN(groupCount))
	access := accesses[pick.IntN(len(accesses))]
	opened := &session{
		ledger: ledger, pick: pick, vm: vm, group: group, access: access, boot: vm.label(),
		values: make(map[string]string),
	}
	op := judge.Op{Kind: judge.Open, Group: group, Access: access}
	opened.wire = ledger.open(vm, group+"-"+access.String(), op)
	if opened.wire == nil {
		return nil
	}
	opened.number = ledger.nextSession()
	return opened
}

func (ledger *ledger) open(vm *vm, database string, op judge.Op) wires.Wire {
	op.ID = fmt.Sprintf("o%d", ledger.nextSession())
	op.Boot, op.Began = vm.label(), time.Now()
	wire, answer, err := platform.DialCaller(vm.front(), database, "soak", openWait)
	op.Ended, op.Answer, op.IsLost = time.Now(), answer, err != nil
	op.IsStopping = !vm.stopping().IsZero()
	ledger.add(op)
	if err != nil || answer.Code != wires.OK {
		return nil
	}
	return wire
}

// step makes one operation, after a pause.
func (session *session) step(ctx context.Context) {
	sleep(ctx, time.Duration(session.pick.Int64N(int64(mostPause))))
	switch session.pick.IntN(10) {
	case 0:
		value := fmt.Sprint(session.pick.IntN(1000))
		if session.plain("SET zone " + value) {
			session.values["zone"] = value
		}
	case 1:
		session.shape = session.plain("PREPARE s1 READ q1") || session.shape
	case 2:
		if session.shape {
			session.ask(judge.Read, "EXECUTE s1 1a", "READ q1 1a", 0, time.Now())
		}
	case 3, 4, 5:
		session.transaction(ctx)
	case 6, 7:
		session.write(0, time.Now())
	default:
		session.ask(judge.Read, "READ x", "READ x", 0, time.Now())
	}
}

func (session *session) write(tx int, began time.Time) bool {
	text := fmt.Sprintf("WRITE x %d.%d", session.number, session.asked)
	return session.ask(judge.Write, text, text, tx, began)
}

// transaction runs one, which is rolled back or left now and then.
func (session *session) transaction(ctx context.Context) {
	began := time.Now()
	if !session.plain("BEGIN") {
		return
	}
	tx := session.ledger.nextTx()
	for range 1 + session.pick.IntN(3) {
		isDone := false
		if session.pick.IntN(2) == 0 {
			isDone = session.write(tx, began)
		} else {
			isDone = session.ask(judge.Read, "READ x", "READ x", tx, began)
		}
		if !isDone {
			session.plain("ROLLBACK")
			return
		}
		sleep(ctx, time.Duration(session.pick.Int64N(int64(mostPause))))
	}
	switch session.pick.IntN(10) {
	case 0:
		session.plain("ROLLBACK")
	case 1:
		session.isOver = true // leaves in the middle
	default:
		if !session.ask(judge.Commit, "COMMIT", "COMMIT", tx, began) && !session.isOver {
			session.isOver = true
		}
	}
}

// plain asks for something that no database runs by itself.
func (session *session) plain(text string) bool {
	if session.isOver {
		return false
	}
	answer, err := session.wire.Ask(wires.Forward{ID: session.nextID(), Text: text}, answerWait)
	session.isOver = session.isOver || err != nil
	return err == nil && answer.Code == wires.OK
}

func (session *session) nextID() string {
	session.asked++
	return fmt.Sprintf("s%d.%d", session.number, session.asked)
}

// ask makes a request that a database runs as ran, and notes what came of it.
func (session *session) ask(kind judge.Kind, text, ran string, tx int, began time.Time) bool {
	if session.isOver {
		return false
	}
	op := judge.Op{
		ID: session.nextID(), Kind: kind, Text: ran, Group: session.group, Access: session.access, MaxAge: maxAge,
		Session: session.number, Tx: tx, Boot: session.boot, Values: maps.Clone(session.values), Began: began,
	}
	sent := time.Now()
	answer, err := session.wire.Ask(wires.Forward{ID: op.ID, Text: text, Floor: posn.Position{}}, answerWait)
	op.Sent, op.Ended, op.Answer, op.IsLost = sent, time.Now(), answer, err != nil
	op.IsStopping = !session.vm.stopping().IsZero() && session.vm.label() == session.boot
	session.isOver = err != nil
	session.ledger.add(op)
	return err == nil && answer.Code == wires.OK
}
