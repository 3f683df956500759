// Package check checks recorded histories of concurrent callers for violations of
// the consistency guarantees to callers. It does no I/O and keeps no state.
//
// The callers work on counters: an increment returns the new value, a read the
// current one. The checks find these violations:
//
//   - lost: a value that was acknowledged twice, or a final value below an
//     acknowledged one or below the number of acknowledged increments;
//   - doubled: a final value above the number of increments that were acknowledged
//     or whose outcome is unknown, which includes an increment that ran despite its
//     verdict notRun;
//   - stale: a read below a value that its caller read or wrote before, on any VM,
//     or a read with a staleness bound below a value that had been acknowledged for
//     longer than that bound;
//   - mixed: a transaction that read a part of another one, or a pair of rows that
//     two transactions wrote.
package check

import (
	"fmt"
	"time"

	"github.com/bramleydoor/bramleydoor/fault"
)

// Kind is the type of an operation.
type Kind string

// Kinds of operations.
const (
	Add  Kind = "add"
	Read Kind = "read"
	// Pair is a transaction that writes the same mark, unique to it, to two rows.
	Pair Kind = "pair"
)

// Op is one finished operation.
type Op struct {
	Kind   Kind   `json:"kind"`
	Caller string `json:"caller"`
	VM     string `json:"vm,omitempty"`
	// Key is the counter's name, with that of its database.
	Key   string `json:"key"`
	Value int64  `json:"value"`
	// OK says that the operation succeeded. Verdict is used only if it failed.
	OK      bool          `json:"ok"`
	Verdict fault.Verdict `json:"verdict,omitempty"`
	// MaxStaleness is the staleness bound of a read; zero is none.
	MaxStaleness time.Duration `json:"staleness,omitempty"`
	// IsMixed says that a transaction read the mark of another one.
	IsMixed bool `json:"isMixed,omitempty"`
	// Start and End are times since the start of the run.
	Start time.Duration `json:"start"`
	End   time.Duration `json:"end"`
}

// History is the record of a run: its operations, and the values stored at its end.
type History struct {
	Ops   []Op             `json:"ops"`
	Final map[string]int64 `json:"final"`
	// FinalPairs has the marks in the two rows of each pair.
	FinalPairs map[string][2]string `json:"finalPairs"`
}

// Report counts the violations.
type Report struct {
	Acknowledged int `json:"acknowledged"`
	Unknown      int `json:"unknown"`
	Lost         int `json:"lost"`
	Doubled      int `json:"doubled"`
	StaleReads   int `json:"staleReads"`
	Mixed        int `json:"mixedTransactions"`
	// Findings describe the first violations; there are at most maxFindings.
	Findings []string `json:"findings,omitempty"`
}

// IsClean reports whether there is no violation.
func (report Report) IsClean() bool {
	return report.Lost+report.Doubled+report.StaleReads+report.Mixed == 0
}

// maxFindings bounds the described violations.
const maxFindings = 20

func (report *Report) addFinding(format string, args ...any) {
	if len(report.Findings) < maxFindings {
		report.Findings = append(report.Findings, fmt.Sprintf(format, args...))
	}
}

// Check checks history and returns its violations.
func Check(history History) Report {
	var report Report
	report.checkCounters(history)
	report.checkSessions(history)
	report.checkStaleness(history)
	report.checkPairs(history)
	return report
}

// tally counts the increments of one counter by outcome.
type tally struct {
	acked, unknown int64
	// acksByValue is the number of acknowledgements of each value.
	acksByValue map[int64]int
}

func (report *Report) checkCounters(history History) {
	tallies := make(map[string]*tally)
	for _, op := range history.Ops {
		if op.Kind != Add {
			continue
		}
		counts := tallies[op.Key]
		if counts == nil {
			counts = &tally{acksByValue: make(map[int64]int)}
			tallies[op.Key] = counts
		}
		switch {
		case op.OK:
			counts.acked++
			counts.acksByValue[op.Value]++
			report.Acknowledged++
		case op.Verdict != fault.NotRun:
			counts.unknown++
			report.Unknown++
		}
	}
	for key, counts := range tallies {
		report.checkCounter(key, counts, history.Final[key])
	}
}

func (report *Report) checkCounter(key string, counts *tally, final int64) {
	for value, times := range counts.acksByValue {
		if times > 1 {
			report.Lost += times - 1
			report.addFinding("%s: value %d was acknowledged %d times", key, value, times)
		}
		if value > final {
			report.Lost++
			report.addFinding("%s: value %d was acknowledged, but the final value is %d", key, value, final)
		}
	}
	if final < counts.acked {
		report.Lost += int(counts.acked - final)
		report.addFinding("%s: final value %d, but %d increments were acknowledged", key, final, counts.acked)
	}
	if maxFinal := counts.acked + counts.unknown; final > maxFinal {
		report.Doubled += int(final - maxFinal)
		report.addFinding("%s: final value %d, but only %d increments were acknowledged and %d have an unknown outcome", key, final, counts.acked, counts.unknown)
	}
}

type callerKey struct{ caller, key string }

// checkSessions checks read-your-writes and monotonic reads. Each caller sends its
// operations one after another, so the history has them in their order.
func (report *Report) checkSessions(history History) {
	maxValues := make(map[callerKey]int64)
	for _, op := range history.Ops {
		if !op.OK || op.Kind == Pair || op.MaxStaleness > 0 {
			continue
		}
		key := callerKey{op.Caller, op.Key}
		if op.Value < maxValues[key] {
			report.StaleReads++
			report.addFinding("%s: caller %s got value %d on VM %s after value %d", op.Key, op.Caller, op.Value, op.VM, maxValues[key])
		}
		maxValues[key] = max(maxValues[key], op.Value)
	}
}

// checkStaleness checks that a read with a staleness bound returns no less than any
// value that had been acknowledged for longer than that bound when the read started.
func (report *Report) checkStaleness(history History) {
	acked := make(map[string][]Op)
	for _, op := range history.Ops {
		if op.OK && op.Kind == Add {
			acked[op.Key] = append(acked[op.Key], op)
		}
	}
	for _, op := range history.Ops {
		if !op.OK || op.Kind != Read || op.MaxStaleness == 0 {
			continue
		}
		for _, add := range acked[op.Key] {
			if add.End < op.Start-op.MaxStaleness && add.Value > op.Value {
				report.StaleReads++
				report.addFinding("%s: caller %s read value %d with staleness bound %s, but value %d was acknowledged earlier", op.Key, op.Caller, op.Value, op.MaxStaleness, add.Value)
				break
			}
		}
	}
}

func (report *Report) checkPairs(history History) {
	for _, op := range history.Ops {
		if op.Kind == Pair && op.IsMixed {
			report.Mixed++
			report.addFinding("%s: a transaction of caller %s read the mark of another transaction", op.Key, op.Caller)
		}
	}
	for key, marks := range history.FinalPairs {
		if marks[0] != marks[1] {
			report.Mixed++
			report.addFinding("%s: the rows of the pair have different marks %q and %q", key, marks[0], marks[1])
		}
	}
}
