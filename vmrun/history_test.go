package vmrun_test

import (
	"fmt"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
)

// history records what callers were told, for a check against what the databases ran.
type history struct {
	fleet *fleet

	mu      sync.Mutex
	count   int
	ackedAt map[string]time.Time
	// readAt has when each read was sent that succeeded.
	readAt  map[string]time.Time
	isEnded bool
	callers sync.WaitGroup
}

func (fleet *fleet) newHistory() *history {
	return &history{fleet: fleet, ackedAt: make(map[string]time.Time), readAt: make(map[string]time.Time)}
}

// next returns a unique text for a statement; false once the history has ended.
func (history *history) next(keyword string) (string, bool) {
	history.mu.Lock()
	defer history.mu.Unlock()
	history.count++
	return fmt.Sprintf("%s item %d", keyword, history.count), !history.isEnded
}

// record records a success.
func (history *history) record(successes map[string]time.Time, text string, at time.Time) {
	history.mu.Lock()
	defer history.mu.Unlock()
	successes[text] = at
}

// call makes calls through a VM, whose present process vm returns, until end.
func (history *history) call(vm func() *testVM, writes bool, pause time.Duration) {
	history.callers.Go(func() {
		for {
			keyword, statement := "READ", proto.Statement(proto.Read{})
			if writes {
				keyword, statement = "WRITE", proto.Write{}
			}
			text, ok := history.next(keyword)
			if !ok {
				return
			}
			sentAt := time.Now()
			switch process := vm(); {
			case process.isKilled.Load() || process.try(statement, text) != proto.OK || process.isKilled.Load():
			case writes:
				history.record(history.ackedAt, text, time.Now())
			default:
				history.record(history.readAt, text, sentAt)
			}
			time.Sleep(pause)
		}
	})
}

// callOne makes reads through a VM, as long as its process runs.
func (history *history) callOne(called *testVM) {
	history.call(func() *testVM { return called }, false, 30*time.Millisecond)
}

// callAll makes writes and reads through every VM of the fleet.
func (history *history) callAll(readPause, writePause time.Duration) {
	for i := range history.fleet.vms {
		vm := func() *testVM {
			history.fleet.vmsMu.Lock()
			defer history.fleet.vmsMu.Unlock()
			return history.fleet.vms[i]
		}
		history.call(vm, true, writePause)
		history.call(vm, false, readPause)
	}
}

// end waits for the last calls, and returns the violations of the promises.
func (history *history) end() []string {
	history.mu.Lock()
	history.isEnded = true
	history.mu.Unlock()
	history.callers.Wait()
	terms := history.fleet.upstream.Terms()
	runs := history.fleet.upstream.Runs()
	return append(history.lost(terms), append(history.confirmedByFormer(runs), history.stale(runs, terms)...)...)
}

// lost returns the acknowledged commits that a promoted database lacked.
func (history *history) lost(terms []fakeup.Term) []string {
	var violations []string
	for _, term := range terms {
		for _, text := range term.Lost {
			if at, ok := history.ackedAt[text]; ok && at.Before(term.At) {
				violations = append(violations, fmt.Sprintf("LOST: %s lacks %q in term %d", term.Primary, text, term.Number))
			}
		}
	}
	return violations
}

// confirmedByFormer returns the acknowledged commits that a former primary made.
func (history *history) confirmedByFormer(runs []fakeup.Run) []string {
	var violations []string
	for _, run := range runs {
		if _, ok := history.ackedAt[run.Text]; ok && run.ByFormerPrimary && !run.Committed.IsZero() {
			violations = append(violations, fmt.Sprintf("ONE: %s committed %q at %s as a former primary", run.Database, run.Text, run.Committed))
		}
	}
	return violations
}

// stale returns the reads that lacked a commit which was acknowledged before they were sent.
// Commits that a promotion rolled back don't count.
func (history *history) stale(runs []fakeup.Run, terms []fakeup.Term) []string {
	var violations []string
	var kept []fakeup.Run
	for _, write := range runs {
		if _, ok := history.ackedAt[write.Text]; ok && !write.Committed.IsZero() && !isRolledBack(write.Committed, terms) {
			kept = append(kept, write)
		}
	}
	for _, read := range runs {
		sentAt, ok := history.readAt[read.Text]
		if !ok {
			continue
		}
		for _, write := range kept {
			if read.Position.AtLeast(write.Committed) || !history.ackedAt[write.Text].Before(sentAt) {
				continue
			}
			violations = append(violations, fmt.Sprintf("STALE: %q at %s saw %s without %q, which was committed at %s at %s",
				read.Text, read.Database, read.Position, write.Text, write.Committed, write.Database))
			break
		}
	}
	return violations
}

// isRolledBack reports whether the log of a later term lacks a commit. A term that begins with an
// entry of a term in between has what that began with.
func isRolledBack(committed posn.Position, terms []fakeup.Term) bool {
	starts := make(map[uint64]posn.Position)
	for _, term := range terms {
		start := term.Start
		for start.Term > committed.Term {
			start = starts[start.Term]
		}
		starts[term.Number] = start
		if term.Number > committed.Term && !start.AtLeast(committed) {
			return true
		}
	}
	return false
}
