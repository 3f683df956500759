// Package check judges recorded histories of concurrent callers. It is pure.
//
// The callers work on counters: an increment returns the value after it, a read
// the value it saw. From that follows what a broken promise looks like:
//
//   - lost: a value acknowledged twice, or a final value below the number of
//     acknowledged increments;
//   - doubled: a final value above what was acknowledged or left unknown; an
//     increment with the verdict notRun that ran shows here too;
//   - stale: a read below what its caller saw or wrote before, on whatever VM,
//     or a read of a stated age below what was acknowledged before that age;
//   - mixed: a transaction that saw or left behind a part of another.
package check

import (
	"fmt"
	"time"

	"github.com/bramleydoor/bramleydoor/fault"
)

// Kind is what an operation does.
type Kind string

// The kinds.
const (
	Add  Kind = "add"
	Read Kind = "read"
	// Pair is a transaction that writes its own mark to two rows.
	Pair Kind = "pair"
)

// Op is one finished operation.
type Op struct {
	Kind   Kind   `json:"kind"`
	Caller string `json:"caller"`
	VM     string `json:"vm,omitempty"`
	// Key is the counter, with its database.
	Key   string `json:"key"`
	Value int64  `json:"value"`
	// OK says that the operation was answered without an error; Verdict counts
	// only if not.
	OK      bool          `json:"ok"`
	Verdict fault.Verdict `json:"verdict,omitempty"`
	// Staleness is the age that a read accepted; zero is none.
	Staleness time.Duration `json:"staleness,omitempty"`
	// IsMixed says that a transaction read another's mark within itself.
	IsMixed bool          `json:"isMixed,omitempty"`
	Start   time.Duration `json:"start"`
	End     time.Duration `json:"end"`
}

// History is a run: the operations, and the values found after it.
type History struct {
	Ops   []Op             `json:"ops"`
	Final map[string]int64 `json:"final"`
	// FinalPairs has the two marks of each pair of rows.
	FinalPairs map[string][2]string `json:"finalPairs"`
}

// Report counts broken promises.
type Report struct {
	Acknowledged int `json:"acknowledged"`
	Unknown      int `json:"unknown"`
	Lost         int `json:"lost"`
	Doubled      int `json:"doubled"`
	StaleReads   int `json:"staleReads"`
	Mixed        int `json:"mixedTransactions"`
	// Findings describe the first few.
	Findings []string `json:"findings,omitempty"`
}

// IsClean reports whether no promise was broken.
func (report Report) IsClean() bool {
	return report.Lost+report.Doubled+report.StaleReads+report.Mixed == 0
}

// maxFindings bounds the descriptions.
const maxFindings = 20

func (report *Report) find(format string, args ...any) {
	if len(report.Findings) < maxFindings {
		report.Findings = append(report.Findings, fmt.Sprintf(format, args...))
	}
}

// Check judges a history.
func Check(history History) Report {
	var report Report
	report.checkCounters(history)
	report.checkSessions(history)
	report.checkAges(history)
	report.checkPairs(history)
	return report
}

type tally struct {
	acked, unknown int64
	values         map[int64]int
}

func (report *Report) checkCounters(history History) {
	tallies := make(map[string]*tally)
	for _, op := range history.Ops {
		if op.Kind != Add {
			continue
		}
		counts := tallies[op.Key]
		if counts == nil {
			counts = &tally{values: make(map[int64]int)}
			tallies[op.Key] = counts
		}
		switch {
		case op.OK:
			counts.acked++
			counts.values[op.Value]++
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
	for value, times := range counts.values {
		if times > 1 {
			report.Lost += times - 1
			report.find("%s: value %d was acknowledged %d times", key, value, times)
		}
		if value > final {
			report.Lost++
			report.find("%s: value %d was acknowledged, the final one is %d", key, value, final)
		}
	}
	if final < counts.acked {
		report.Lost += int(counts.acked - final)
		report.find("%s: final %d, but %d were acknowledged", key, final, counts.acked)
	}
	if most := counts.acked + counts.unknown; final > most {
		report.Doubled += int(final - most)
		report.find("%s: final %d, but only %d were acknowledged and %d unknown", key, final, counts.acked, counts.unknown)
	}
}

type callerKey struct{ caller, key string }

// checkSessions checks read-your-writes and monotonic reads. A caller does one
// thing after the other, so the order of its operations is that of the history.
func (report *Report) checkSessions(history History) {
	seen := make(map[callerKey]int64)
	for _, op := range history.Ops {
		if !op.OK || op.Kind == Pair || op.Staleness > 0 {
			continue
		}
		at := callerKey{op.Caller, op.Key}
		if op.Value < seen[at] {
			report.StaleReads++
			report.find("%s: %s saw %d on %s after %d", op.Key, op.Caller, op.Value, op.VM, seen[at])
		}
		seen[at] = max(seen[at], op.Value)
	}
}

// checkAges checks reads of a stated age against what was acknowledged before.
func (report *Report) checkAges(history History) {
	acked := make(map[string][]Op)
	for _, op := range history.Ops {
		if op.OK && op.Kind == Add {
			acked[op.Key] = append(acked[op.Key], op)
		}
	}
	for _, op := range history.Ops {
		if !op.OK || op.Kind != Read || op.Staleness == 0 {
			continue
		}
		for _, add := range acked[op.Key] {
			if add.End < op.Start-op.Staleness && add.Value > op.Value {
				report.StaleReads++
				report.find("%s: %s read %d at age %s, but %d was acknowledged before", op.Key, op.Caller, op.Value, op.Staleness, add.Value)
				break
			}
		}
	}
}

func (report *Report) checkPairs(history History) {
	for _, op := range history.Ops {
		if op.Kind == Pair && op.IsMixed {
			report.Mixed++
			report.find("%s: a transaction of %s saw another's mark", op.Key, op.Caller)
		}
	}
	for key, marks := range history.FinalPairs {
		if marks[0] != marks[1] {
			report.Mixed++
			report.find("%s: the pair has the marks %q and %q", key, marks[0], marks[1])
		}
	}
}
