// Package audit checks the history of a test under faults for violations of the
// guarantees to callers. It compares the answers that callers received with the statements that
// the databases ran; a run (fakeup.Run) is one execution of a statement.
//
// Rules (numbers as in docs/DESIGN.md; Rules has one entry for each name):
//
//	reads             a read includes the commits that its staleness bound and session require (rules 2 to 5)
//	once              no write runs twice (rule 11)
//	notRun            a request that was answered as not run has not run (rule 12)
//	proof             a success carries the proof and rows of its own run (rule 14)
//	asked             a database runs only requests of callers, with unchanged text (rule 14)
//	formerPrimary     no commit of a former primary is acknowledged (rule 7)
//	unmixed           a transaction does not share its connection (rule 14)
//	values            a statement runs with its session's values (rule 14)
//	prepared          an execution runs the statement that its session prepared (rule 14)
//	neverBack         a VM does not revert to an older configuration (rule 17)
//	inForce           a configuration takes effect in time (rule 17)
//	stops             a planned stop interrupts no request (rule 21)
package audit

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
)

// Kind is the type of a caller's request.
type Kind string

// Kinds of requests.
const (
	// Open is the start of a session.
	Open   Kind = "open"
	Read   Kind = "read"
	Write  Kind = "write"
	Commit Kind = "commit"
)

// Op is one request of a caller and its answer, if it received one.
type Op struct {
	ID     string
	Kind   Kind
	Text   string
	Group  string
	Access config.Access
	// MaxStaleness is the staleness bound of a read.
	MaxStaleness time.Duration
	// Session is the number of the caller's session.
	Session int
	// Tx is the caller's number of the transaction that the request belongs to; zero is
	// a single statement. The database numbers its transactions in fakeup.Run.
	Tx int
	// Version is the configuration version that added the database's name, AcceptedAt the
	// time when that version was accepted. Version zero excludes a session start from
	// the rules neverBack and inForce.
	Version    uint64
	AcceptedAt time.Time
	// Process identifies one process of the VM; a restart begins another.
	Process string
	// Values are the values that the session has set, by name.
	Values map[string]string
	// Prepared is the definition that the session has prepared under the name which the request
	// executes, as in fakeup.Run; empty for other requests.
	Prepared string
	// StartedAt is the time when the request, or the first request of its transaction,
	// was sent, SentAt the time when the request itself was sent. AnsweredAt is the time
	// of the answer, or for an unanswered request the time when the caller gave up or
	// lost the connection.
	StartedAt, SentAt, AnsweredAt time.Time
	// IsUnanswered says that the caller received no answer; otherwise Answer is set.
	IsUnanswered bool
	Answer       proto.Answer
	// IsStopping says that the VM was in a planned stop, IsFaultAffected that an injected
	// fault may have affected the request or the delivery of the configuration version.
	IsStopping, IsFaultAffected bool
}

// Group is the record of a database group: the statements that it ran and its terms.
type Group struct {
	Runs  []fakeup.Run
	Terms []fakeup.Term
}

// History is the record of a test: the requests of all callers and the groups by name.
type History struct {
	Ops    []Op
	Groups map[string]Group
	// ActivationTimeout is the time limit for an accepted configuration to take effect.
	ActivationTimeout time.Duration
}

// Finding describes one violation of a rule.
type Finding struct {
	Rule string `json:"rule"`
	Text string `json:"text"`
}

// Report has the number of checks by rule name, and a finding for each violation.
// Findings of a rule beyond maxFindings are dropped.
type Report struct {
	Checked  map[string]int `json:"checked"`
	Findings []Finding      `json:"findings"`
}

// checker is a history with indexes and the report of its check.
type checker struct {
	History
	report *Report
	// rule is the name of the rule that is being checked.
	rule string
	// runsByID and opsByID are keyed by request ID.
	runsByID map[string][]fakeup.Run
	opsByID  map[string]*Op
}

// Rule is the check of one guarantee to callers.
type Rule struct {
	Name  string
	check func(*checker)
}

// Rules are all rules, in the order in which they are checked and reported.
var Rules = []Rule{
	{"asked", checkAsked},
	{"once", checkOnce},
	{"notRun", checkNotRun},
	{"proof", checkProof},
	{"formerPrimary", checkFormerPrimary},
	{"kept", checkKept},
	{"reads", checkReads},
	{"unmixed", checkUnmixed},
	{"values", checkValues},
	{"prepared", checkPrepared},
	{"neverBack", checkNeverBack},
	{"inForce", checkInForce},
	{"stops", checkStops},
}

// maxFindings bounds the reported findings of each rule.
const maxFindings = 10

// Check checks history against all Rules.
func Check(history History) Report {
	report := Report{Checked: make(map[string]int), Findings: []Finding{}}
	checker := &checker{
		History: history, report: &report,
		runsByID: make(map[string][]fakeup.Run), opsByID: make(map[string]*Op),
	}
	for i := range history.Ops {
		checker.opsByID[history.Ops[i].ID] = &history.Ops[i]
	}
	for _, name := range slices.Sorted(maps.Keys(history.Groups)) {
		for _, run := range history.Groups[name].Runs {
			checker.runsByID[run.ID] = append(checker.runsByID[run.ID], run)
		}
	}
	for _, rule := range Rules {
		checker.rule = rule.Name
		rule.check(checker)
	}
	return report
}

func (checker *checker) countCheck() { checker.report.Checked[checker.rule]++ }

func (checker *checker) addFinding(format string, args ...any) {
	count := 0
	for _, finding := range checker.report.Findings {
		if finding.Rule == checker.rule {
			count++
		}
	}
	if count < maxFindings {
		checker.report.Findings = append(checker.report.Findings, Finding{checker.rule, fmt.Sprintf(format, args...)})
	}
}

// logIncludes reports whether the log of a term includes a position. A promotion
// discards entries of earlier terms whose position is higher than Term.Start.
func (group Group) logIncludes(position posn.Position, term uint64) bool {
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

// includesCommit reports whether a log that ends at position end includes a commit.
func (group Group) includesCommit(end, commit posn.Position) bool {
	if end.Term == commit.Term {
		return end.LSN >= commit.LSN
	}
	return end.Term > commit.Term && group.logIncludes(commit, end.Term)
}

func (group Group) lastTerm() uint64 {
	if len(group.Terms) == 0 {
		return 1
	}
	return group.Terms[len(group.Terms)-1].Number
}
