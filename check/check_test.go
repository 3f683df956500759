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

// Each wrong history must be rejected, and each right one accepted.
func TestCheck(t *testing.T) {
	aged := read("b", 1)
	aged.Staleness, aged.Start = time.Minute, 2*time.Minute
	early := add("a", 2)
	early.End = 30 * time.Second
	recent := early
	recent.End = 90 * time.Second
	tests := []struct {
		name    string
		history check.History
		want    check.Report
	}{
		{"clean", check.History{Ops: []check.Op{add("a", 1), add("b", 2), read("a", 2)}, Final: final(2)}, check.Report{Acknowledged: 2}},
		{"unknown that ran", check.History{Ops: []check.Op{add("a", 1), failed(fault.Unknown)}, Final: final(2)}, check.Report{Acknowledged: 1, Unknown: 1}},
		{"unknown that did not", check.History{Ops: []check.Op{add("a", 1), failed(fault.Unknown)}, Final: final(1)}, check.Report{Acknowledged: 1, Unknown: 1}},
		{"value twice", check.History{Ops: []check.Op{add("a", 1), add("b", 1)}, Final: final(2)}, check.Report{Acknowledged: 2, Lost: 1}},
		{"final too low", check.History{Ops: []check.Op{add("a", 1), add("b", 2)}, Final: final(1)}, check.Report{Acknowledged: 2, Lost: 2}},
		{"notRun that ran", check.History{Ops: []check.Op{add("a", 1), failed(fault.NotRun)}, Final: final(2)}, check.Report{Acknowledged: 1, Doubled: 1}},
		{"own write unseen", check.History{Ops: []check.Op{add("a", 1), read("a", 0)}, Final: final(1)}, check.Report{Acknowledged: 1, StaleReads: 1}},
		{"reads go back", check.History{Ops: []check.Op{add("a", 1), read("b", 1), read("b", 0)}, Final: final(1)}, check.Report{Acknowledged: 1, StaleReads: 1}},
		{"older than stated", check.History{Ops: []check.Op{add("c", 1), early, aged}, Final: final(2)}, check.Report{Acknowledged: 2, StaleReads: 1}},
		{"as old as stated", check.History{Ops: []check.Op{add("c", 1), recent, aged}, Final: final(2)}, check.Report{Acknowledged: 2}},
		{"saw another's mark", check.History{Ops: []check.Op{{Kind: check.Pair, OK: true, IsMixed: true}}}, check.Report{Mixed: 1}},
		{"half a pair", check.History{FinalPairs: map[string][2]string{"p": {"x", "y"}}}, check.Report{Mixed: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := check.Check(test.history)
			got.Findings = nil
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}
