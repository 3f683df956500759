package audit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/audit"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func position(term, lsn uint64) posn.Position { return posn.Position{Term: term, LSN: lsn} }

// validHistory returns a history without violations: a session start, a write, a
// transaction after a promotion, reads at each access level, a refusal, a write during
// a planned stop and a lost answer. Op.Tx is the caller's number of a transaction,
// Run.Transaction the database's.
func validHistory() *audit.History {
	ok := func(id, text string) proto.Answer { return proto.Answer{Rows: []string{text}, Proof: "p-" + id} }
	values := map[string]string{"zone": "a"}
	ops := []audit.Op{
		{ID: "open", Kind: audit.Open, Version: 2, AcceptedAt: at(0), Process: "vm1/1", StartedAt: at(900), AnsweredAt: at(905)},
		{ID: "w1", Kind: audit.Write, Text: "WRITE x 1", Session: 1, Values: values, StartedAt: at(1000), AnsweredAt: at(1010), Answer: ok("w1", "WRITE x 1")},
		{ID: "r1", Kind: audit.Read, Text: "READ x", Access: config.Current, Session: 2, StartedAt: at(1020), AnsweredAt: at(1030), Answer: ok("r1", "READ x")},
		{ID: "t1", Kind: audit.Write, Text: "WRITE y 1", Session: 1, Tx: 7, Values: values, StartedAt: at(1040), AnsweredAt: at(1050), Answer: ok("t1", "WRITE y 1")},
		{ID: "t2", Kind: audit.Commit, Text: "COMMIT", Session: 1, Tx: 7, Values: values, StartedAt: at(1060), AnsweredAt: at(1070), Answer: ok("t2", "COMMIT")},
		{ID: "r2", Kind: audit.Read, Text: "READ y", Access: config.ReadYourWrites, MaxStaleness: time.Second, Session: 1, Values: values, StartedAt: at(2500), AnsweredAt: at(2510), Answer: ok("r2", "READ y")},
		{ID: "r3", Kind: audit.Read, Text: "READ y", Access: config.BoundedStaleness, MaxStaleness: time.Second, Session: 3, StartedAt: at(1500), AnsweredAt: at(1510), Answer: ok("r3", "READ y")},
		{ID: "no", Kind: audit.Write, Text: "WRITE z 1", Session: 1, Values: values, StartedAt: at(1520), AnsweredAt: at(1530), Answer: proto.Answer{Code: proto.Busy}},
		{ID: "stop", Kind: audit.Write, Text: "WRITE s 1", Session: 4, Process: "vm2/1", IsStopping: true, StartedAt: at(1540), AnsweredAt: at(1550), Answer: ok("stop", "WRITE s 1")},
		{ID: "lost", Kind: audit.Write, Text: "WRITE l 1", Session: 4, IsUnanswered: true, StartedAt: at(1560), AnsweredAt: at(1570)},
	}
	run := func(id, text string, end, committed posn.Position) fakeup.Run {
		return fakeup.Run{ID: id, Text: text, Rows: []string{text}, Proof: "p-" + id, Position: end, Committed: committed}
	}
	w1 := run("w1", "WRITE x 1", position(1, 2), position(1, 2))
	t1 := run("t1", "WRITE y 1", position(2, 2), posn.Position{})
	t2 := run("t2", "COMMIT", position(2, 3), position(2, 3))
	r2 := run("r2", "READ y", position(2, 3), posn.Position{})
	w1.Values, t1.Values, t2.Values, r2.Values = values, values, values, values
	t1.Transaction, t2.Transaction = 1, 1
	return &audit.History{
		ActivationTimeout: 5 * time.Second, Ops: ops,
		Groups: map[string]audit.Group{"": {
			// Another statement of the same text was lost.
			Terms: []fakeup.Term{{Number: 2, Start: position(1, 2), At: at(1015), LostIDs: []string{"other"}, Lost: []string{"WRITE x 1"}}},
			Runs: []fakeup.Run{
				w1, run("r1", "READ x", position(1, 2), posn.Position{}), t1, t2, r2,
				run("r3", "READ y", position(2, 2), posn.Position{}),
				run("stop", "WRITE s 1", position(2, 4), position(2, 4)),
			},
		}},
	}
}

// Check reports a violated rule, and only that one.
func TestRules(t *testing.T) {
	c := qt.New(t)
	c.Assert(audit.Check(*validHistory()).Findings, qt.HasLen, 0)
	op := func(history *audit.History, id string) *audit.Op {
		for i := range history.Ops {
			if history.Ops[i].ID == id {
				return &history.Ops[i]
			}
		}
		return nil
	}
	run := func(history *audit.History, id string) *fakeup.Run {
		runs := history.Groups[""].Runs
		for i := range runs {
			if runs[i].ID == id {
				return &runs[i]
			}
		}
		return nil
	}
	add := func(history *audit.History, more ...fakeup.Run) {
		group := history.Groups[""]
		group.Runs = append(group.Runs, more...)
		history.Groups[""] = group
	}
	for name, test := range map[string]struct {
		rule    string
		violate func(*audit.History)
	}{
		"run without a request":         {"asked", func(history *audit.History) { add(history, fakeup.Run{ID: "stray"}) }},
		"text differs from the request": {"asked", func(history *audit.History) { op(history, "stop").Text = "WRITE s 2" }},
		"write run twice": {"once", func(history *audit.History) {
			add(history, fakeup.Run{ID: "lost", Text: "WRITE l 1"}, fakeup.Run{ID: "lost", Text: "WRITE l 1"})
		}},
		"committed though answered as not run": {"notRun", func(history *audit.History) {
			add(history, fakeup.Run{ID: "no", Text: "WRITE z 1", Values: map[string]string{"zone": "a"}, Committed: position(2, 5)})
		}},
		"success with the proof of another request": {"proof", func(history *audit.History) { op(history, "r1").Answer.Proof = "p-r2" }},
		"rows of another run":                       {"proof", func(history *audit.History) { op(history, "r1").Answer.Rows = []string{"READ y"} }},
		"commit that a promotion lost": {"kept", func(history *audit.History) {
			term := &history.Groups[""].Terms[0]
			term.At, term.LostIDs = at(1500), []string{"other", "w1"}
		}},
		"commit of a former primary":                                         {"formerPrimary", func(history *audit.History) { run(history, "stop").ByFormerPrimary = true }},
		"read at level current without an earlier commit":                    {"reads", func(history *audit.History) { run(history, "r1").Position = position(1, 1) }},
		"read without a write of its session":                                {"reads", func(history *audit.History) { run(history, "r2").Position = position(2, 2) }},
		"read beyond its staleness bound":                                    {"reads", func(history *audit.History) { op(history, "r3").StartedAt = at(2200) }},
		"read at a position of an earlier term":                              {"reads", func(history *audit.History) { run(history, "r2").Position = position(1, 9) }},
		"single statement in a transaction":                                  {"unmixed", func(history *audit.History) { run(history, "r3").Transaction = 1 }},
		"commit ran in a different database transaction than its statements": {"unmixed", func(history *audit.History) { run(history, "t2").Transaction = 2 }},
		"transactions of two sessions in one database transaction": {"unmixed", func(history *audit.History) {
			op(history, "stop").Tx, run(history, "stop").Transaction = 8, 1
		}},
		"missing session value":      {"values", func(history *audit.History) { run(history, "r2").Values = nil }},
		"value of another session":   {"values", func(history *audit.History) { run(history, "r1").Values = map[string]string{"zone": "b"} }},
		"another prepared statement": {"prepared", func(history *audit.History) { run(history, "r2").Prepared = "READ y" }},
		"older configuration": {"neverBack", func(history *audit.History) {
			history.Ops = append(history.Ops, audit.Op{
				ID: "back", Kind: audit.Open, Version: 1, AcceptedAt: at(0), Process: "vm1/1", StartedAt: at(1000), AnsweredAt: at(1001),
				Answer: proto.Answer{Code: proto.UnknownDatabase},
			})
		}},
		"configuration not in force": {"inForce", func(history *audit.History) {
			history.Ops = append(history.Ops, audit.Op{
				ID: "late", Kind: audit.Open, Version: 3, AcceptedAt: at(0), Process: "vm1/1", StartedAt: at(6000), AnsweredAt: at(6001),
				Answer: proto.Answer{Code: proto.UnknownDatabase},
			})
		}},
		"request interrupted by a planned stop": {"stops", func(history *audit.History) {
			op(history, "stop").IsUnanswered = true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			history := validHistory()
			test.violate(history)
			report := audit.Check(*history)
			c.Assert(report.Findings, qt.Not(qt.HasLen), 0)
			for _, finding := range report.Findings {
				c.Assert(finding.Rule, qt.Equals, test.rule, qt.Commentf("%s", finding.Text))
			}
		})
	}
}

// Check accepts a read without a commit that a promotion rolled back. If a fault may
// have affected the request, it also accepts a lost answer during a planned stop and a
// late configuration.
func TestAcceptedHistories(t *testing.T) {
	for name, change := range map[string]func(*audit.History){
		"commit rolled back by a promotion": func(history *audit.History) {
			group := history.Groups[""]
			group.Terms = []fakeup.Term{{Number: 2, Start: position(1, 1)}}
			for i := range group.Runs {
				if group.Runs[i].ID == "r1" {
					group.Runs[i].Position = position(1, 1)
				}
			}
			history.Groups[""] = group
		},
		"answer lost by a fault during a planned stop": func(history *audit.History) {
			for i := range history.Ops {
				if history.Ops[i].ID == "stop" {
					history.Ops[i].IsUnanswered, history.Ops[i].IsFaultAffected = true, true
				}
			}
		},
		"late configuration while the store was down": func(history *audit.History) {
			history.Ops = append(history.Ops, audit.Op{
				ID: "late", Kind: audit.Open, Version: 3, AcceptedAt: at(0), Process: "vm1/1", StartedAt: at(9000), IsFaultAffected: true,
				Answer: proto.Answer{Code: proto.UnknownDatabase},
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			history := validHistory()
			change(history)
			qt.Assert(t, audit.Check(*history).Findings, qt.HasLen, 0)
		})
	}
}
