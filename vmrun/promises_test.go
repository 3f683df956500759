package vmrun_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleydoor/bramleydoor/audit"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/proto"
)

// request is one request of a scripted session, which is left out where it doesn't fit: a commit
// outside of a transaction, an execution of a name that isn't prepared.
type request struct {
	keyword, name, text string
	// arguments follow the name of an execution, behind a blank; empty for none.
	arguments string
	writes    bool
	// isRefused makes the primary refuse a statement as busy, if it stutters.
	isRefused bool
	pause     time.Duration
}

// drawOdd draws a text with odd bytes at its ends.
func drawOdd(t *rapid.T, label string) string {
	odd := rapid.SampledFrom([]string{"", "", " ", "  ", "\t", "\r", "\r\r", "\n", "\x00", "\x80", "\xff"})
	return odd.Draw(t, label+" start") + rapid.StringMatching(`[a-c]`).Draw(t, label) + odd.Draw(t, label+" end")
}

func drawRequest(t *rapid.T) request {
	text := drawOdd(t, "text")
	return request{
		keyword: rapid.SampledFrom([]string{
			"SET", "PREPARE", "EXECUTE", "EXECUTE", "READ", "READ", "WRITE", "BEGIN", "BEGIN", "COMMIT", "ROLLBACK", "CLOSE",
		}).Draw(t, "keyword"),
		name: rapid.SampledFrom([]string{"a", "b\r"}).Draw(t, "name"), text: text, writes: rapid.Bool().Draw(t, "writes"),
		arguments: rapid.SampledFrom([]string{"", " ", " " + text}).Draw(t, "arguments"),
		isRefused: rapid.IntRange(0, 3).Draw(t, "refused") == 3,
		pause:     time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 4, 12}).Draw(t, "pause")) * time.Millisecond,
	}
}

// scripted is a session that makes the requests of a script and records them.
type scripted struct {
	history  *audit.History
	mu       *sync.Mutex
	testVM   *testVM
	conn     *fakeup.CallerConn
	number   int
	count    int
	values   map[string]string
	prepared map[string]string
	// tx is the number of the open transaction, which began at began; zero is none.
	tx    int
	began time.Time
}

// open opens the session, or opens it again without its state.
func (scripted *scripted) open() bool {
	if scripted.conn != nil {
		scripted.conn.Leave()
	}
	conn, answer := scripted.testVM.open("current")
	scripted.conn, scripted.tx, scripted.values, scripted.prepared = conn, 0, make(map[string]string), make(map[string]string)
	return answer.Code == proto.OK
}

// call makes a call; executed is the statement that a database runs for it, if any.
func (scripted *scripted) call(kind audit.Kind, statement proto.Statement, text, executed, prepared string) bool {
	scripted.count++
	op := audit.Op{
		ID: fmt.Sprintf("s%d.%d", scripted.number, scripted.count), Kind: kind, Text: executed, Group: "ledger", Session: scripted.number,
		Tx: scripted.tx, Values: maps.Clone(scripted.values), Prepared: prepared, SentAt: time.Now(), StartedAt: time.Now(),
	}
	if scripted.tx != 0 {
		op.StartedAt = scripted.began
	}
	op.Answer = scripted.conn.Call(proto.Call{ID: op.ID, Text: text, Statement: statement})
	op.AnsweredAt = time.Now()
	if kind != "" {
		scripted.mu.Lock()
		defer scripted.mu.Unlock()
		scripted.history.Ops = append(scripted.history.Ops, op)
	}
	return op.Answer.Code == proto.OK
}

// control makes a call that the VM answers by itself, or whose run isn't recorded.
func (scripted *scripted) control(statement proto.Statement, text string) bool {
	return scripted.call("", statement, text, "", "")
}

// perform makes a request; false if the session has to be opened again.
func (scripted *scripted) perform(request request) bool {
	text := request.keyword + " " + request.text
	definition := proto.Definition{Writes: request.writes, Text: request.text}
	switch request.keyword {
	case "SET":
		if !scripted.control(proto.Assign{Name: request.name, Value: request.text}, "SET "+request.name+" "+request.text) {
			return false
		}
		scripted.values[request.name] = request.text
	case "PREPARE":
		if !scripted.control(proto.Prepare{Name: request.name, Definition: definition}, "PREPARE "+request.name+" "+fakeup.Definition(definition)) {
			return false
		}
		scripted.prepared[request.name] = fakeup.Definition(definition)
	case "CLOSE":
		if _, ok := scripted.prepared[request.name]; ok {
			delete(scripted.prepared, request.name)
			return scripted.control(proto.Deallocate{Name: request.name}, "CLOSE "+request.name)
		}
	case "EXECUTE":
		if prepared, ok := scripted.prepared[request.name]; ok {
			arguments, hasArguments := strings.CutPrefix(request.arguments, " ")
			statement := proto.Execute{Name: request.name, Arguments: arguments, HasArguments: hasArguments}
			return scripted.call(kindOf(prepared), statement, "EXECUTE "+request.name+request.arguments, prepared+request.arguments, prepared) || scripted.rollBack()
		}
	case "READ":
		return scripted.call(audit.Read, proto.Read{}, text, text, "") || scripted.rollBack()
	case "WRITE":
		return scripted.call(audit.Write, proto.Write{}, text, text, "") || scripted.rollBack()
	case "BEGIN":
		if scripted.tx == 0 {
			scripted.began = time.Now()
			if scripted.control(proto.Begin{}, "BEGIN") {
				scripted.tx = scripted.number*1000 + scripted.count
			}
		}
	case "COMMIT":
		if scripted.tx != 0 {
			isOK := scripted.call(audit.Commit, proto.Commit{}, "COMMIT", "COMMIT", "")
			scripted.tx = 0
			return isOK
		}
	case "ROLLBACK":
		return scripted.rollBack()
	}
	return true
}

// rollBack rolls the open transaction back.
func (scripted *scripted) rollBack() bool {
	if scripted.tx == 0 {
		return true
	}
	scripted.tx = 0
	return scripted.control(proto.Rollback{}, "ROLLBACK")
}

func kindOf(definition string) audit.Kind {
	if definition[0] == 'W' {
		return audit.Write
	}
	return audit.Read
}

// play lets sessions make the requests of their scripts at the same time, at databases that give
// answers twice and whose rows and proofs have odd bytes at their ends. It returns the history.
func playScripts(t *testing.T, forwards bool, stutter fakeup.Stutter, scripts [][]request) (history audit.History) {
	synctest.Test(t, func(*testing.T) {
		fleet := newFleetOf(forwards)
		odd := []string{"", " ", "\r", "\n", "\t", "\x00", "\xff"}
		fleet.upstream.OnRun = func(run *fakeup.Run) {
			digit := int(run.Proof[len(run.Proof)-1])
			first, last := odd[digit%len(odd)], odd[(digit+2)%len(odd)]
			run.Proof, run.Rows = first+run.Proof+last, []string{first + run.Text + last, last + run.Proof}
		}
		for _, id := range []string{"a", "b", "c"} {
			fleet.upstream.Do(id, func(database *fakeup.Database) {
				database.Stutter, database.RequestDuration = stutter, 2*time.Millisecond
			})
		}
		vm := fleet.vms[0]
		if forwards {
			vm = fleet.vms[slices.IndexFunc(fleet.vms, func(testVM *testVM) bool { return len(testVM.vm.Routers("ledger")) > 0 })]
		}
		var mu sync.Mutex
		var sessions sync.WaitGroup
		for i, script := range scripts {
			sessions.Go(func() {
				session := &scripted{history: &history, mu: &mu, testVM: vm, number: i + 1}
				isOpen := false
				for _, request := range script {
					time.Sleep(request.pause)
					if request.isRefused && stutter.Share > 0 {
						fleet.upstream.Do("a", func(database *fakeup.Database) { database.BusyRefusals++ })
					}
					if isOpen = isOpen || session.open(); isOpen {
						isOpen = session.perform(request)
					}
				}
				session.conn.Leave()
			})
		}
		sessions.Wait()
		fleet.close()
		history.Groups = map[string]audit.Group{"ledger": {Runs: fleet.upstream.Runs(), Terms: fleet.upstream.Terms()}}
	})
	return history
}

// newFleetOf returns a fleet with VMs that send requests through another one, or without.
func newFleetOf(forwards bool) *fleet {
	if forwards {
		return newFleetWithTeams(6, 10)
	}
	return newFleet(3)
}

// MIXED, PINNED, UNASKED: whatever callers with odd bytes in their texts do, at databases that
// give answers twice, no caller gets an answer that isn't its own, no statement runs in another
// transaction or with other values or another definition than its session's, and none runs that
// no caller sent.
func TestPromisesWhereDatabasesStutter(t *testing.T) {
	for _, test := range []struct {
		name     string
		forwards bool
		checks   int
		shares   []float64
	}{
		{"oneVM", false, 30, []float64{0}},
		{"oneVMStutter", false, 100, []float64{0.1, 0.3}},
		{"forwardingVM", true, 20, []float64{0}},
		{"forwardingVMStutter", true, 20, []float64{0.1, 0.3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkRapid(t, 9, test.checks, func(rt *rapid.T) {
				stutter := fakeup.Stutter{
					Share: rapid.SampledFrom(test.shares).Draw(rt, "share"), Seed: rapid.Uint64().Draw(rt, "seed"),
					MinDelay: time.Millisecond, MaxDelay: rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 300 * time.Millisecond}).Draw(rt, "delay"),
				}
				scripts := rapid.SliceOfN(rapid.SliceOfN(rapid.Custom(drawRequest), 1, 50), 1, 3).Draw(rt, "scripts")
				history := playScripts(t, test.forwards, stutter, scripts)
				if findings := audit.Check(history).Findings; len(findings) > 0 {
					rt.Fatalf("%d violations of %s, the first: %s", len(findings), findings[0].Rule, findings[0].Text)
				}
				for i := range history.Ops {
					if op := &history.Ops[i]; stutter.Share == 0 && op.Answer.Code != proto.OK {
						rt.Fatalf("%q was answered with %s by a VM whose databases give each answer once", op.Text, op.Answer.Code)
					}
				}
			})
		})
	}
}
