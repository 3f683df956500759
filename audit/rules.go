package audit

import (
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
)

func checkAsked(checker *checker) {
	for id, runs := range checker.runsByID {
		for _, run := range runs {
			checker.countCheck()
			op, ok := checker.opsByID[id]
			switch {
			case !ok:
				checker.addFinding("request %s was run, but no caller sent it", id)
			case op.Text != run.Text:
				checker.addFinding("request %s is %q, but %q was run", id, op.Text, run.Text)
			}
		}
	}
}

func checkOnce(checker *checker) {
	for id, runs := range checker.runsByID {
		op, ok := checker.opsByID[id]
		if !ok || op.Kind == Read {
			continue
		}
		checker.countCheck()
		if len(runs) > 1 {
			checker.addFinding("%s %s was run %d times", op.Kind, id, len(runs))
		}
	}
}

func checkNotRun(checker *checker) {
	for i := range checker.Ops {
		op := &checker.Ops[i]
		if op.IsUnanswered || !op.Answer.Code.DidNotRun() || op.Kind == Open || op.Kind == Read {
			continue
		}
		checker.countCheck()
		for _, run := range checker.runsByID[op.ID] {
			if !run.Committed.IsZero() {
				checker.addFinding("%s %s was answered with %s, but committed at %s", op.Kind, op.ID, op.Answer.Code, run.Committed)
			}
		}
	}
}

// eachSuccess calls f for each statement that was answered with success, and with
// the run whose proof the answer carries. The run is nil if there is none.
func (checker *checker) eachSuccess(f func(op *Op, run *fakeup.Run)) {
	for i := range checker.Ops {
		op := &checker.Ops[i]
		if op.IsUnanswered || op.Answer.Code != proto.OK || op.Kind == Open {
			continue
		}
		runs := checker.runsByID[op.ID]
		at := slices.IndexFunc(runs, func(run fakeup.Run) bool { return run.Proof == op.Answer.Proof })
		if at < 0 {
			f(op, nil)
			continue
		}
		f(op, &runs[at])
	}
}

func checkProof(checker *checker) {
	checker.eachSuccess(func(op *Op, run *fakeup.Run) {
		checker.countCheck()
		if run == nil {
			checker.addFinding("%s %s succeeded with proof %q, which is of none of its runs", op.Kind, op.ID, op.Answer.Proof)
			return
		}
		if !slices.Equal(op.Answer.Rows, run.Rows) {
			checker.addFinding("%s %s succeeded with rows %q, but its run has %q", op.Kind, op.ID, op.Answer.Rows, run.Rows)
		}
	})
}

func checkFormerPrimary(checker *checker) {
	checker.eachSuccess(func(op *Op, run *fakeup.Run) {
		if run == nil || run.Committed.IsZero() {
			return
		}
		checker.countCheck()
		if run.ByFormerPrimary {
			checker.addFinding("%s %s was acknowledged, but a former primary committed it at %s", op.Kind, op.ID, run.Committed)
		}
	})
}

// checkKept checks that a promoted database has all commits that were acknowledged before, where
// replication is synchronous.
func checkKept(checker *checker) {
	checker.eachSuccess(func(op *Op, run *fakeup.Run) {
		if run == nil || run.Committed.IsZero() {
			return
		}
		for _, term := range checker.Groups[op.Group].Terms {
			if !op.AnsweredAt.Before(term.At) {
				continue
			}
			checker.countCheck()
			if slices.Contains(term.LostIDs, run.ID) {
				checker.addFinding("%s %s was acknowledged at %s, and %s was promoted without it", op.Kind, op.ID, run.Committed, term.Primary)
			}
		}
	})
}

// commit is a commit that was acknowledged to a caller.
type commit struct {
	position posn.Position
	// ackedAt is the time of the acknowledgement.
	ackedAt time.Time
	session int
	id      string
}

// checkReads checks read-your-writes and bounded staleness: each read must include
// every commit that its session and its staleness bound require.
func checkReads(checker *checker) {
	commits := make(map[string][]commit)
	checker.eachSuccess(func(op *Op, run *fakeup.Run) {
		if run == nil || run.Committed.IsZero() {
			return
		}
		group := checker.Groups[op.Group]
		if group.logIncludes(run.Committed, group.lastTerm()) {
			commits[op.Group] = append(commits[op.Group], commit{run.Committed, op.AnsweredAt, op.Session, op.ID})
		}
	})
	checker.eachSuccess(func(op *Op, run *fakeup.Run) {
		if run == nil || op.Kind != Read {
			return
		}
		checker.countCheck()
		for _, commit := range commits[op.Group] {
			if op.mustInclude(commit) && !checker.Groups[op.Group].includesCommit(run.Position, commit.position) {
				checker.addFinding("%s read %s saw the log up to %s without commit %s at %s, acknowledged %s before the read",
					op.Access, op.ID, run.Position, commit.id, commit.position, op.StartedAt.Sub(commit.ackedAt))
			}
		}
	})
}

// mustInclude reports whether the read must include a commit.
func (op *Op) mustInclude(commit commit) bool {
	maxStaleness := op.MaxStaleness
	if op.Access == config.Current || op.Access == config.ReadYourWrites && commit.session == op.Session {
		maxStaleness = 0
	}
	return commit.ackedAt.Add(maxStaleness).Before(op.StartedAt)
}

// checkUnmixed checks that callers' transactions and database transactions
// correspond one to one.
func checkUnmixed(checker *checker) {
	for _, group := range checker.Groups {
		// Callers' transactions by database transaction, and the reverse.
		callerTxs := make(map[int]int)
		databaseTxs := make(map[int]int)
		for _, run := range group.Runs {
			op, ok := checker.opsByID[run.ID]
			if !ok {
				continue
			}
			checker.countCheck()
			if (run.Transaction != 0) != (op.Tx != 0) {
				checker.addFinding("%s %s ran in database transaction %d, but was sent in transaction %d (0 is none)", op.Kind, op.ID, run.Transaction, op.Tx)
				continue
			}
			if op.Tx == 0 {
				continue
			}
			if callerTx, ok := callerTxs[run.Transaction]; ok && callerTx != op.Tx {
				checker.addFinding("%s %s ran in the database transaction of another transaction", op.Kind, op.ID)
			}
			if databaseTx, ok := databaseTxs[op.Tx]; ok && databaseTx != run.Transaction {
				checker.addFinding("%s %s ran in a different database transaction than the earlier statements of its transaction", op.Kind, op.ID)
			}
			callerTxs[run.Transaction], databaseTxs[op.Tx] = op.Tx, run.Transaction
		}
	}
}

func checkValues(checker *checker) {
	for id, runs := range checker.runsByID {
		op, ok := checker.opsByID[id]
		if !ok {
			continue
		}
		for _, run := range runs {
			checker.countCheck()
			for name, value := range op.Values {
				if run.Values[name] != value {
					checker.addFinding("%s %s ran with %s=%q, but its session has %q", op.Kind, id, name, run.Values[name], value)
				}
			}
			for name := range run.Values {
				if _, ok := op.Values[name]; !ok {
					checker.addFinding("%s %s ran with value %s, which its session has not set", op.Kind, id, name)
				}
			}
		}
	}
}

func checkPrepared(checker *checker) {
	for id, runs := range checker.runsByID {
		op, ok := checker.opsByID[id]
		if !ok {
			continue
		}
		for _, run := range runs {
			checker.countCheck()
			if run.Prepared != op.Prepared {
				checker.addFinding("%s %s executed %q, but its session prepared %q", op.Kind, id, run.Prepared, op.Prepared)
			}
		}
	}
}

func checkNeverBack(checker *checker) {
	// shownAt has, by process and version, the earliest answer that shows that the
	// process has that configuration version.
	shownAt := make(map[string]map[uint64]time.Time)
	for i := range checker.Ops {
		op := &checker.Ops[i]
		if op.Kind != Open || op.Version == 0 || op.IsUnanswered || op.Answer.Code != proto.OK {
			continue
		}
		if shownAt[op.Process] == nil {
			shownAt[op.Process] = make(map[uint64]time.Time)
		}
		if at, ok := shownAt[op.Process][op.Version]; !ok || op.AnsweredAt.Before(at) {
			shownAt[op.Process][op.Version] = op.AnsweredAt
		}
	}
	checker.eachUnknownDatabase(func(op *Op) {
		checker.countCheck()
		for version, at := range shownAt[op.Process] {
			if version >= op.Version && at.Before(op.StartedAt) {
				checker.addFinding("%s had configuration version %d, but later lacked version %d", op.Process, version, op.Version)
				return
			}
		}
	})
}

// eachUnknownDatabase calls f for each session start at a configured database that was
// answered with UnknownDatabase.
func (checker *checker) eachUnknownDatabase(f func(op *Op)) {
	for i := range checker.Ops {
		op := &checker.Ops[i]
		if op.Kind == Open && op.Version != 0 && !op.IsUnanswered && op.Answer.Code == proto.UnknownDatabase {
			f(op)
		}
	}
}

func checkInForce(checker *checker) {
	for i := range checker.Ops {
		if op := &checker.Ops[i]; op.Kind == Open && op.Version != 0 && !op.IsFaultAffected {
			checker.countCheck()
		}
	}
	checker.eachUnknownDatabase(func(op *Op) {
		if delay := op.StartedAt.Sub(op.AcceptedAt); delay > checker.ActivationTimeout && !op.IsFaultAffected {
			checker.addFinding("%s lacked configuration version %d %s after that version was accepted", op.Process, op.Version, delay)
		}
	})
}

// closeRace is the longest time from sending a request to losing its connection if the
// VM closed the connection while the request was on its way. Such a request is not run,
// so its loss is no violation.
const closeRace = 200 * time.Millisecond

func checkStops(checker *checker) {
	for i := range checker.Ops {
		op := &checker.Ops[i]
		if !op.IsStopping || op.IsFaultAffected || op.Kind == Open {
			continue
		}
		checker.countCheck()
		if op.IsUnanswered && (len(checker.runsByID[op.ID]) > 0 || op.AnsweredAt.Sub(op.SentAt) > closeRace) {
			checker.addFinding("planned stop of %s interrupted %s %s", op.Process, op.Kind, op.ID)
		}
	}
}
