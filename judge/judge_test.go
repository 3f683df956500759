package judge_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/judge"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/wires"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func position(term, lsn uint64) posn.Position { return posn.Position{Term: term, LSN: lsn} }

// right is a history that breaks nothing: a write, reads of it, a transaction
// across a promotion, openings.
func right() *judge.History {
	ok := func(id, text string) wires.Answer { return wires.Answer{Rows: []string{text}, Proof: "p-" + id} }
	values := map[string]string{"zone": "a"}
	ops := []judge.Op{
		{ID: "open", Kind: judge.Open, Version: 2, SetAt: at(0), Boot: "vm1/1", Began: at(900), Ended: at(905)},
		{ID: "w1", Kind: judge.Write, Text: "WRITE x 1", Session: 1, Values: values, Began: at(1000), Ended: at(1010), Answer: ok("w1", "WRITE x 1")},
		{ID: "r1", Kind: judge.Read, Text: "READ x", Access: config.Current, Session: 2, Began: at(1020), Ended: at(1030), Answer: ok("r1", "READ x")},
		{ID: "t1", Kind: judge.Write, Text: "WRITE y 1", Session: 1, Tx: 7, Values: values, Began: at(1040), Ended: at(1050), Answer: ok("t1", "WRITE y 1")},
		{ID: "t2", Kind: judge.Commit, Text: "COMMIT", Session: 1, Tx: 7, Values: values, Began: at(1060), Ended: at(1070), Answer: ok("t2", "COMMIT")},
		{ID: "r2", Kind: judge.Read, Text: "READ y", Access: config.OwnWrites, MaxAge: time.Second, Session: 1, Values: values, Began: at(2500), Ended: at(2510), Answer: ok("r2", "READ y")},
		{ID: "r3", Kind: judge.Read, Text: "READ y", Access: config.Aged, MaxAge: time.Second, Session: 3, Began: at(1500), Ended: at(1510), Answer: ok("r3", "READ y")},
		{ID: "no", Kind: judge.Write, Text: "WRITE z 1", Session: 1, Values: values, Began: at(1520), Ended: at(1530), Answer: wires.Answer{Code: wires.Busy}},
		{ID: "stop", Kind: judge.Write, Text: "WRITE s 1", Session: 4, Boot: "vm2/1", IsStopping: true, Began: at(1540), Ended: at(1550), Answer: ok("stop", "WRITE s 1")},
		{ID: "lost", Kind: judge.Write, Text: "WRITE l 1", Session: 4, IsLost: true, Began: at(1560), Ended: at(1570)},
	}
	run := func(id, text string, end, committed posn.Position) fakeup.Run {
		return fakeup.Run{ID: id, Text: text, Proof: "p-" + id, Position: end, Committed: committed}
	}
	w1 := run("w1", "WRITE x 1", position(1, 2), position(1, 2))
	t1 := run("t1", "WRITE y 1", position(2, 2), posn.Position{})
	t2 := run("t2", "COMMIT", position(2, 3), position(2, 3))
	r2 := run("r2", "READ y", position(2, 3), posn.Position{})
	w1.Values, t1.Values, t2.Values, r2.Values = values, values, values, values
	t1.Transaction, t2.Transaction = 1, 1
	return &judge.History{
		InForceWithin: 5 * time.Second, Ops: ops,
		Groups: map[string]judge.Group{"": {
			Terms: []fakeup.Term{{Number: 2, Start: position(1, 2)}},
			Runs: []fakeup.Run{
				w1, run("r1", "READ x", position(1, 2), posn.Position{}), t1, t2, r2,
				run("r3", "READ y", position(2, 2), posn.Position{}),
				run("stop", "WRITE s 1", position(2, 4), position(2, 4)),
			},
		}},
	}
}

// Each rule rejects a history that breaks it, and only that rule does.
func TestRules(t *testing.T) {
	c := qt.New(t)
	c.Assert(judge.Check(*right()).Findings, qt.HasLen, 0)
	op := func(history *judge.History, id string) *judge.Op {
		for i := range history.Ops {
			if history.Ops[i].ID == id {
				return &history.Ops[i]
			}
		}
		return nil
	}
	run := func(history *judge.History, id string) *fakeup.Run {
		runs := history.Groups[""].Runs
		for i := range runs {
			if runs[i].ID == id {
				return &runs[i]
			}
		}
		return nil
	}
	add := func(history *judge.History, more ...fakeup.Run) {
		group := history.Groups[""]
		group.Runs = append(group.Runs, more...)
		history.Groups[""] = group
	}
	for name, test := range map[string]struct {
		rule   string
		damage func(*judge.History)
	}{
		"a run that nobody asked": {"asked", func(h *judge.History) { add(h, fakeup.Run{ID: "stray"}) }},
		"another text":            {"asked", func(h *judge.History) { op(h, "stop").Text = "WRITE s 2" }},
		"a write run twice": {"once", func(h *judge.History) {
			add(h, fakeup.Run{ID: "lost", Text: "WRITE l 1"}, fakeup.Run{ID: "lost", Text: "WRITE l 1"})
		}},
		"run though said not to have": {"notRun", func(h *judge.History) {
			add(h, fakeup.Run{ID: "no", Text: "WRITE z 1", Values: map[string]string{"zone": "a"}, Committed: position(2, 5)})
		}},
		"a success without a run": {"proof", func(h *judge.History) { op(h, "r1").Answer.Proof = "p-r2" }},
		"rows of another run":     {"proof", func(h *judge.History) { op(h, "r1").Answer.Rows = []string{"READ y"} }},
		"a former primary":        {"formerPrimary", func(h *judge.History) { run(h, "stop").IsFormer = true }},
		"a stale current read":    {"reads", func(h *judge.History) { run(h, "r1").Position = position(1, 1) }},
		"own write not seen":      {"reads", func(h *judge.History) { run(h, "r2").Position = position(2, 2) }},
		"older than the age":      {"reads", func(h *judge.History) { op(h, "r3").Began = at(2200) }},
		"read in an earlier term": {"reads", func(h *judge.History) { run(h, "r2").Position = position(1, 9) }},
		"alone in a transaction":  {"unmixed", func(h *judge.History) { run(h, "r3").Transaction = 1 }},
		"commit elsewhere":        {"unmixed", func(h *judge.History) { run(h, "t2").Transaction = 2 }},
		"two callers in one": {"unmixed", func(h *judge.History) {
			op(h, "stop").Tx, run(h, "stop").Transaction = 8, 1
		}},
		"a value is missing": {"values", func(h *judge.History) { run(h, "r2").Values = nil }},
		"a value of another": {"values", func(h *judge.History) { run(h, "r1").Values = map[string]string{"zone": "b"} }},
		"an older configuration": {"neverBack", func(h *judge.History) {
			h.Ops = append(h.Ops, judge.Op{
				ID: "back", Kind: judge.Open, Version: 1, SetAt: at(0), Boot: "vm1/1", Began: at(1000), Ended: at(1001),
				Answer: wires.Answer{Code: wires.UnknownDatabase},
			})
		}},
		"not in force": {"inForce", func(h *judge.History) {
			h.Ops = append(h.Ops, judge.Op{
				ID: "late", Kind: judge.Open, Version: 3, SetAt: at(0), Boot: "vm1/1", Began: at(6000), Ended: at(6001),
				Answer: wires.Answer{Code: wires.UnknownDatabase},
			})
		}},
		"cut at a planned stop": {"stops", func(h *judge.History) {
			op(h, "stop").IsLost = true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			history := right()
			test.damage(history)
			report := judge.Check(*history)
			c.Assert(report.Findings, qt.Not(qt.HasLen), 0)
			for _, finding := range report.Findings {
				c.Assert(finding.Rule, qt.Equals, test.rule, qt.Commentf("%s", finding.Text))
			}
		})
	}
}

// What is allowed is not found: a commit that a promotion rolled back need not be
// seen, a fault excuses a lost answer at a planned stop, and a late configuration.
func TestAllowed(t *testing.T) {
	for name, change := range map[string]func(*judge.History){
		"rolled back": func(h *judge.History) {
			group := h.Groups[""]
			group.Terms = []fakeup.Term{{Number: 2, Start: position(1, 1)}}
			for i := range group.Runs {
				if group.Runs[i].ID == "r1" {
					group.Runs[i].Position = position(1, 1)
				}
			}
			h.Groups[""] = group
		},
		"a fault beside a stop": func(h *judge.History) {
			for i := range h.Ops {
				if h.Ops[i].ID == "stop" {
					h.Ops[i].IsLost, h.Ops[i].IsTroubled = true, true
				}
			}
		},
		"a store that was down": func(h *judge.History) {
			h.Ops = append(h.Ops, judge.Op{
				ID: "late", Kind: judge.Open, Version: 3, SetAt: at(0), Boot: "vm1/1", Began: at(9000), IsTroubled: true,
				Answer: wires.Answer{Code: wires.UnknownDatabase},
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			history := right()
			change(history)
			qt.Assert(t, judge.Check(*history).Findings, qt.HasLen, 0)
		})
	}
}
