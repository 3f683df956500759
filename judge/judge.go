// Package judge checks the history of a run under faults against the promises to
// callers: from what callers were told, and from what the databases ran.
//
// Each rule is one entry of Rules, by name; numbers as in docs/DESIGN.md:
//
//	reads             a read sees what its age and its session ask for (rules 2 to 5)
//	once              no write runs twice (rule 11)
//	notRun            what was said not to have run has not (rule 12)
//	proof             a success carries its own run's proof and rows (rule 14)
//	asked             a database runs what a caller asked, unchanged (rule 14)
//	formerPrimary     nothing is confirmed that a former primary ran (rule 7)
//	unmixed           a transaction has its connection for itself (rule 14)
//	values            a statement runs with its session's values (rule 14)
//	neverBack         a VM does not go back to an older configuration (rule 17)
//	inForce           a configuration is in force in time (rule 17)
//	stops             a planned stop cuts no request (rule 21)
package judge

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/wires"
)

// Kind is what a caller asked.
type Kind string

// The kinds.
const (
	Open   Kind = "open"
	Read   Kind = "read"
	Write  Kind = "write"
	Commit Kind = "commit"
)

// Op is one request of a caller and its answer.
type Op struct {
	ID      string
	Kind    Kind
	Text    string
	Group   string
	Access  config.Access
	MaxAge  time.Duration
	Session int
	// Tx tells the transactions apart; zero for a single statement.
	Tx int
	// Version is that of the configuration that brought the database's name, SetAt
	// when it was accepted.
	Version uint64
	SetAt   time.Time
	// Boot is the VM's process.
	Boot   string
	Values map[string]string
	// Began is when the request, or its transaction, was sent, Sent when the request
	// was; Ended when the answer came.
	Began, Sent, Ended time.Time
	// IsLost says that no answer came; Answer is it otherwise.
	IsLost bool
	Answer wires.Answer
	// IsStopping says that the VM was in a planned stop, IsTroubled that a fault may
	// have touched the request.
	IsStopping, IsTroubled bool
}

// Group is what a group's databases did.
type Group struct {
	Runs  []fakeup.Run
	Terms []fakeup.Term
}

// History is all that was seen.
type History struct {
	Ops    []Op
	Groups map[string]Group
	// InForceWithin is how soon a configuration has to be in force.
	InForceWithin time.Duration
}

// Finding is a promise that was broken.
type Finding struct {
	Rule string `json:"rule"`
	Text string `json:"text"`
}

// Report says how often each rule was checked, and what was found.
type Report struct {
	Checked  map[string]int `json:"checked"`
	Findings []Finding      `json:"findings"`
}

// bench is a history with its indexes.
type bench struct {
	History
	report *Report
	rule   string
	// byID are the runs of a request.
	byID map[string][]fakeup.Run
	ops  map[string]*Op
}

// Rule is one promise.
type Rule struct {
	Name  string
	check func(*bench)
}

// Rules are all promises, in the order of the report.
var Rules = []Rule{
	{"asked", checkAsked},
	{"once", checkOnce},
	{"notRun", checkNotRun},
	{"proof", checkProof},
	{"formerPrimary", checkFormerPrimary},
	{"reads", checkReads},
	{"unmixed", checkUnmixed},
	{"values", checkValues},
	{"neverBack", checkNeverBack},
	{"inForce", checkInForce},
	{"stops", checkStops},
}

// maxFindings bounds the findings of one rule.
const maxFindings = 10

// Check judges a history.
func Check(history History) Report {
	report := Report{Checked: make(map[string]int), Findings: []Finding{}}
	judging := &bench{
		History: history, report: &report,
		byID: make(map[string][]fakeup.Run), ops: make(map[string]*Op),
	}
	for i := range history.Ops {
		judging.ops[history.Ops[i].ID] = &history.Ops[i]
	}
	for _, name := range slices.Sorted(maps.Keys(history.Groups)) {
		for _, run := range history.Groups[name].Runs {
			judging.byID[run.ID] = append(judging.byID[run.ID], run)
		}
	}
	for _, rule := range Rules {
		judging.rule = rule.Name
		rule.check(judging)
	}
	return report
}

func (bench *bench) checked() { bench.report.Checked[bench.rule]++ }

func (bench *bench) found(format string, args ...any) {
	count := 0
	for _, finding := range bench.report.Findings {
		if finding.Rule == bench.rule {
			count++
		}
	}
	if count < maxFindings {
		bench.report.Findings = append(bench.report.Findings, Finding{bench.rule, fmt.Sprintf(format, args...)})
	}
}

// isKept reports whether a commit's position is in the log of a term.
func (group Group) isKept(position posn.Position, term uint64) bool {
	if position.Term > term {
		return false
	}
	for _, next := range group.Terms {
		if next.Number > position.Term && next.Number <= term && !next.Start.AtLeast(position) {
			return false
		}
	}
	return true
}

// holds reports whether a log that ends at a position has a commit.
func (group Group) holds(end, commit posn.Position) bool {
	if end.Term == commit.Term {
		return end.LSN >= commit.LSN
	}
	return end.Term > commit.Term && group.isKept(commit, end.Term)
}

func (group Group) lastTerm() uint64 {
	if len(group.Terms) == 0 {
		return 1
	}
	return group.Terms[len(group.Terms)-1].Number
}
