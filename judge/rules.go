package judge

import (
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/wires"
)

func checkAsked(bench *bench) {
	for id, runs := range bench.byID {
		for _, run := range runs {
			bench.checked()
			op, ok := bench.ops[id]
			switch {
			case !ok:
				bench.found("request %s was run, and no caller asked it", id)
			case op.Text != run.Text:
				bench.found("request %s asked %q, and %q was run", id, op.Text, run.Text)
			}
		}
	}
}

func checkOnce(bench *bench) {
	for id, runs := range bench.byID {
		op, ok := bench.ops[id]
		if !ok || op.Kind == Read {
			continue
		}
		bench.checked()
		if len(runs) > 1 {
			bench.found("%s %s was run %d times", op.Kind, id, len(runs))
		}
	}
}

func checkNotRun(bench *bench) {
	for i := range bench.Ops {
		op := &bench.Ops[i]
		if op.IsLost || !op.Answer.Code.DidNotRun() || op.Kind == Open || op.Kind == Read {
			continue
		}
		bench.checked()
		for _, run := range bench.byID[op.ID] {
			if !run.Committed.IsZero() {
				bench.found("%s %s was answered %s, and committed at %s", op.Kind, op.ID, op.Answer.Code, run.Committed)
			}
		}
	}
}

// answered calls f for each success that a database gave, with its run; nil for
// none.
func (bench *bench) answered(f func(op *Op, run *fakeup.Run)) {
	for i := range bench.Ops {
		op := &bench.Ops[i]
		if op.IsLost || op.Answer.Code != wires.OK || op.Kind == Open {
			continue
		}
		runs := bench.byID[op.ID]
		at := slices.IndexFunc(runs, func(run fakeup.Run) bool { return run.Proof == op.Answer.Proof })
		if at < 0 {
			f(op, nil)
			continue
		}
		f(op, &runs[at])
	}
}

func checkProof(bench *bench) {
	bench.answered(func(op *Op, run *fakeup.Run) {
		bench.checked()
		if run == nil {
			bench.found("%s %s succeeded with the proof %q of no run of it", op.Kind, op.ID, op.Answer.Proof)
			return
		}
		if !slices.Equal(op.Answer.Rows, []string{run.Text}) {
			bench.found("%s %s got rows %q of another run", op.Kind, op.ID, op.Answer.Rows)
		}
	})
}

func checkFormerPrimary(bench *bench) {
	bench.answered(func(op *Op, run *fakeup.Run) {
		if run == nil || run.Committed.IsZero() {
			return
		}
		bench.checked()
		if run.IsFormer {
			bench.found("%s %s was confirmed, and a former primary ran it at %s", op.Kind, op.ID, run.Committed)
		}
	})
}

// commit is one that was confirmed to a caller.
type commit struct {
	position posn.Position
	ended    time.Time
	session  int
	id       string
}

// checkReads judges ownWrites and ages: for each read, all commits that it had to
// see.
func checkReads(bench *bench) {
	commits := make(map[string][]commit)
	bench.answered(func(op *Op, run *fakeup.Run) {
		if run == nil || run.Committed.IsZero() {
			return
		}
		group := bench.Groups[op.Group]
		if group.isKept(run.Committed, group.lastTerm()) {
			commits[op.Group] = append(commits[op.Group], commit{run.Committed, op.Ended, op.Session, op.ID})
		}
	})
	bench.answered(func(op *Op, run *fakeup.Run) {
		if run == nil || op.Kind != Read {
			return
		}
		bench.checked()
		for _, commit := range commits[op.Group] {
			if op.mustSee(commit) && !bench.Groups[op.Group].holds(run.Position, commit.position) {
				bench.found("%s read %s saw the log up to %s without commit %s at %s, confirmed %s before",
					op.Access, op.ID, run.Position, commit.id, commit.position, op.Began.Sub(commit.ended))
			}
		}
	})
}

func (op *Op) mustSee(commit commit) bool {
	age := op.MaxAge
	if op.Access == config.Current || op.Access == config.OwnWrites && commit.session == op.Session {
		age = 0
	}
	return commit.ended.Add(age).Before(op.Began)
}

// A caller's transaction is one transaction of a database, and none else's.
func checkUnmixed(bench *bench) {
	for _, group := range bench.Groups {
		callers := make(map[int]int)
		databases := make(map[int]int)
		for _, run := range group.Runs {
			op, ok := bench.ops[run.ID]
			if !ok {
				continue
			}
			bench.checked()
			if (run.Transaction != 0) != (op.Tx != 0) {
				bench.found("%s %s ran in the transaction %d, asked in %d", op.Kind, op.ID, run.Transaction, op.Tx)
				continue
			}
			if op.Tx == 0 {
				continue
			}
			if known, ok := callers[run.Transaction]; ok && known != op.Tx {
				bench.found("%s %s ran in a transaction of another caller", op.Kind, op.ID)
			}
			if known, ok := databases[op.Tx]; ok && known != run.Transaction {
				bench.found("%s %s ran in another transaction than those before it", op.Kind, op.ID)
			}
			callers[run.Transaction], databases[op.Tx] = op.Tx, run.Transaction
		}
	}
}

func checkValues(bench *bench) {
	for id, runs := range bench.byID {
		op, ok := bench.ops[id]
		if !ok {
			continue
		}
		for _, run := range runs {
			bench.checked()
			for name, value := range op.Values {
				if run.Values[name] != value {
					bench.found("%s %s ran with %s=%q, its session has %q", op.Kind, id, name, run.Values[name], value)
				}
			}
			for name := range run.Values {
				if _, ok := op.Values[name]; !ok {
					bench.found("%s %s ran with a value %s of another session", op.Kind, id, name)
				}
			}
		}
	}
}

func checkNeverBack(bench *bench) {
	// known is when a process first showed a version.
	known := make(map[string]map[uint64]time.Time)
	for i := range bench.Ops {
		op := &bench.Ops[i]
		if op.Kind != Open || op.Version == 0 || op.IsLost || op.Answer.Code != wires.OK {
			continue
		}
		if known[op.Boot] == nil {
			known[op.Boot] = make(map[uint64]time.Time)
		}
		if at, ok := known[op.Boot][op.Version]; !ok || op.Ended.Before(at) {
			known[op.Boot][op.Version] = op.Ended
		}
	}
	bench.eachUnknown(func(op *Op) {
		bench.checked()
		for version, at := range known[op.Boot] {
			if version >= op.Version && at.Before(op.Began) {
				bench.found("%s knew version %d and later not %d", op.Boot, version, op.Version)
				return
			}
		}
	})
}

// eachUnknown calls f for each opening that was told that a name that had been
// configured doesn't exist.
func (bench *bench) eachUnknown(f func(op *Op)) {
	for i := range bench.Ops {
		op := &bench.Ops[i]
		if op.Kind == Open && op.Version != 0 && !op.IsLost && op.Answer.Code == wires.UnknownDatabase {
			f(op)
		}
	}
}

func checkInForce(bench *bench) {
	for i := range bench.Ops {
		if op := &bench.Ops[i]; op.Kind == Open && op.Version != 0 && !op.IsTroubled {
			bench.checked()
		}
	}
	bench.eachUnknown(func(op *Op) {
		if late := op.Began.Sub(op.SetAt); late > bench.InForceWithin && !op.IsTroubled {
			bench.found("%s did not know version %d %s after its acceptance", op.Boot, op.Version, late)
		}
	})
}

// crossing is how late a request may be sent that crosses the end of its
// connection; it is not run.
const crossing = 200 * time.Millisecond

func checkStops(bench *bench) {
	for i := range bench.Ops {
		op := &bench.Ops[i]
		if !op.IsStopping || op.IsTroubled || op.Kind == Open {
			continue
		}
		bench.checked()
		if op.IsLost && (len(bench.byID[op.ID]) > 0 || op.Ended.Sub(op.Sent) > crossing) {
			bench.found("%s stopped as planned and cut %s %s", op.Boot, op.Kind, op.ID)
		}
	}
}
