package check_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/check"
	"github.com/bramleydoor/bramleydoor/fault"
)

func add(caller string, value int64) check.Op {
	return check.Op{Kind: check.Add, Caller: caller, Key: "k", Value: value, OK: true}
}

func read(caller string, value int64) check.Op {
	return check.Op{Kind: check.Read, Caller: caller, Key: "k", Value: value, OK: true}
}

func failed(verdict fault.Verdict) check.Op {
	return check.Op{Kind: check.Add, Caller: "x", Key: "k", Verdict: verdict}
}

func final(value int64) map[string]int64 { return map[string]int64{"k": value} }

// Check counts the violations in each history that has some, and none in the others.
func TestCheck(t *testing.T) {
	staleRead := read("b", 1)
	staleRead.MaxStaleness, staleRead.Start = time.Minute, 2*time.Minute
	oldAdd := add("a", 2)
	oldAdd.End = 30 * time.Second
	recentAdd := oldAdd
	recentAdd.End = 90 * time.Second
	tests := []struct {
		name    string
		history check.History
		want    check.Report
	}{
		{"clean", check.History{Ops: []check.Op{add("a", 1), add("b", 2), read("a", 2)}, Final: final(2)}, check.Report{Acknowledged: 2}},
		{"unknown outcome, ran", check.History{Ops: []check.Op{add("a", 1), failed(fault.Unknown)}, Final: final(2)}, check.Report{Acknowledged: 1, Unknown: 1}},
		{"unknown outcome, not run", check.History{Ops: []check.Op{add("a", 1), failed(fault.Unknown)}, Final: final(1)}, check.Report{Acknowledged: 1, Unknown: 1}},
		{"value acknowledged twice", check.History{Ops: []check.Op{add("a", 1), add("b", 1)}, Final: final(2)}, check.Report{Acknowledged: 2, Lost: 1}},
		{"final value too low", check.History{Ops: []check.Op{add("a", 1), add("b", 2)}, Final: final(1)}, check.Report{Acknowledged: 2, Lost: 2}},
		{"verdict notRun, but ran", check.History{Ops: []check.Op{add("a", 1), failed(fault.NotRun)}, Final: final(2)}, check.Report{Acknowledged: 1, Doubled: 1}},
		{"read without own write", check.History{Ops: []check.Op{add("a", 1), read("a", 0)}, Final: final(1)}, check.Report{Acknowledged: 1, StaleReads: 1}},
		{"non-monotonic reads", check.History{Ops: []check.Op{add("a", 1), read("b", 1), read("b", 0)}, Final: final(1)}, check.Report{Acknowledged: 1, StaleReads: 1}},
		{"read beyond its staleness bound", check.History{Ops: []check.Op{add("c", 1), oldAdd, staleRead}, Final: final(2)}, check.Report{Acknowledged: 2, StaleReads: 1}},
		{"read within its staleness bound", check.History{Ops: []check.Op{add("c", 1), recentAdd, staleRead}, Final: final(2)}, check.Report{Acknowledged: 2}},
		{"read the mark of another transaction", check.History{Ops: []check.Op{{Kind: check.Pair, OK: true, IsMixed: true}}}, check.Report{Mixed: 1}},
		{"pair with different marks", check.History{FinalPairs: map[string][2]string{"p": {"x", "y"}}}, check.Report{Mixed: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := check.Check(test.history)
			got.Findings = nil
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}
