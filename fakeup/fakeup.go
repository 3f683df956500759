// Package fakeup is a fake of an upstream, whose databases form one group: a primary
// and replicas with terms, asynchronous replication, seals and promotion. It answers
// the typed requests of package proto without a network and uses only the clock of
// package time, so that tests can run it in a bubble of testing/synctest.
package fakeup

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/proto"
)

// logEntry is a commit in the log of one database, which shows it from visibleAt on.
type logEntry struct {
	position  posn.Position
	visibleAt time.Time
}

// Database is one database of the group. The exported fields may be changed between
// requests, within Upstream.Do.
type Database struct {
	ID string
	// Born is the time of the database's start in Unix ms.
	Born int64
	// IsUnresponsive makes the database unresponsive: connections and requests time out.
	// IsDown makes it refuse connections and fail requests at once.
	IsUnresponsive, IsDown bool
	// UnreachableFrom is the set of VMs whose connections and requests time out.
	UnreachableFrom map[string]bool
	// IgnoresSeals makes a database answer requests to seal it without effect.
	IgnoresSeals bool
	// IsReplicationStopped makes a replica receive no further commits from the primary.
	IsReplicationStopped bool
	// Lag is the replication lag: the delay before a replica shows a commit.
	Lag time.Duration
	// StatementDuration is the execution time of a statement, RequestDuration that of any other
	// request.
	StatementDuration, RequestDuration time.Duration
	// AnswersToLose is how many further successful statements have their answers lost.
	AnswersToLose int
	// BusyRefusals is how many further statements are refused with proto.Busy.
	BusyRefusals int
	// MaxConnections is the limit of open connections; zero is no limit.
	MaxConnections int
	// Slots is how many requests the database runs at a time; zero is no limit. Requests for a
	// report and new connections need a slot too.
	Slots int
	// Stutter makes the database give answers twice.
	Stutter Stutter
	// Opened counts all connections opened so far, Open those open now.
	Opened, Open int

	// term is the term that the database is in; it leads that term if leads is set.
	term  uint64
	leads bool
	// busy counts the slots in use.
	busy int
	log  []logEntry
	// sealedTerm is the term of the seal; 0 is none.
	sealedTerm uint64
}

// Run records a statement that a database ran.
type Run struct {
	Database string
	ID       string
	Text     string
	// Position is the end of the log that the statement saw.
	Position posn.Position
	// Values are the values set on the connection.
	Values map[string]string
	// Prepared is the definition of the prepared statement that was executed, see Definition;
	// empty if none was.
	Prepared string
	// Conn is the number of the connection, unique in the upstream.
	Conn int
	// Team is the team as which the connection was opened.
	Team string
	// Proof and Rows are those of the answer.
	Proof string
	Rows  []string
	// At is when the statement ran.
	At time.Time
	// Committed is the position of its commit; zero if it committed nothing.
	Committed posn.Position
	// ByFormerPrimary is set if the database was a former primary that still led its
	// earlier term.
	ByFormerPrimary bool
	// Transaction is the number of the transaction that it ran in or ended, unique
	// in the upstream; zero is none.
	Transaction int
}

// Term records a promotion: the new term and its primary, and at its start the end of the
// primary's log and the time.
type Term struct {
	Number  uint64
	Primary string
	Start   posn.Position
	At      time.Time
	// Lost has the texts of the statements whose commits the primary's log lacks, LostIDs their IDs.
	// They are set with SyncReplicas only.
	Lost, LostIDs []string
}

// Upstream is a fake upstream with one group of databases.
type Upstream struct {
	Name string
	// PromotionDuration is the time from an order until it takes effect.
	PromotionDuration time.Duration
	// SyncReplicas is how many replicas must have received a commit before it is answered: 0 or 1.
	SyncReplicas int
	// OnRun is called with each statement that ran, and may change the proof and the rows of its
	// answer; nil for none. It must be set before the first request.
	OnRun func(run *Run)

	mu sync.Mutex
	// orderDelay is the time until the platform acts on an order. onOrder is called with each
	// order that it accepts.
	orderDelay time.Duration
	onOrder    func(order promo.Order)
	// term and primary are the newest term and its primary; no primary is empty.
	term    uint64
	primary string
	// target is the database that the last accepted order named, or the first primary.
	target string
	// source is the last primary; after its demotion it still sends what it has committed.
	source    string
	databases map[string]*Database
	runs      []Run
	orders    []promo.Order
	terms     []Term
	// misdirected is the result of Misdirected.
	misdirected int
	// connCount and transactionCount number the connections and transactions.
	connCount, transactionCount int
}

// New returns an upstream with databases a, b and c, of which a is the primary of term 1.
func New(name string) *Upstream {
	upstream := &Upstream{
		Name: name, PromotionDuration: 300 * time.Millisecond, term: 1, primary: "a", target: "a", source: "a",
		databases: make(map[string]*Database),
	}
	for _, id := range []string{"a", "b", "c"} {
		upstream.databases[id] = &Database{
			ID: id, Lag: 20 * time.Millisecond, StatementDuration: 5 * time.Millisecond, term: 1, leads: id == "a",
			log: []logEntry{{position: posn.Position{Term: 1, LSN: 1}}},
		}
	}
	return upstream
}

// Do calls change with a database while mu is held.
func (upstream *Upstream) Do(id string, change func(*Database)) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.replicate()
	change(upstream.databases[id])
	upstream.replicate()
}

// Members returns the databases as their registrations describe them.
func (upstream *Upstream) Members() []dbset.Member {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	var members []dbset.Member
	for _, id := range slices.Sorted(maps.Keys(upstream.databases)) {
		members = append(members, dbset.Member{
			ID: id, Group: upstream.Name, Address: id, Zone: "zone-" + id, Slots: 3,
			SaysPrimary: id == upstream.primary, Born: upstream.databases[id].Born,
		})
	}
	return members
}

// Runs returns the callers' statements that the databases ran, in order.
func (upstream *Upstream) Runs() []Run {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return slices.Clone(upstream.runs)
}

// Terms returns the promotions so far, in order; term 1 is not included.
func (upstream *Upstream) Terms() []Term {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return slices.Clone(upstream.terms)
}

// Misdirected returns how many connections were opened to a database's address under the ID of
// another one.
func (upstream *Upstream) Misdirected() int {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.misdirected
}

// Orders returns the promotion orders received so far.
func (upstream *Upstream) Orders() []promo.Order {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return slices.Clone(upstream.orders)
}

// Primary returns the ID of the primary of the newest term; empty if it was demoted.
func (upstream *Upstream) Primary() string {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.primary
}

// Position returns the position of the newest commit that the database shows.
func (database *Database) Position() posn.Position {
	var position posn.Position
	now := time.Now()
	for _, entry := range database.log {
		if !entry.visibleAt.After(now) {
			position = entry.position
		}
	}
	return position
}

// DialerFrom returns a dialer that opens connections from the named VM.
func (upstream *Upstream) DialerFrom(vm string) proto.Dialer { return dialer{upstream, vm} }

// dialer opens connections from one VM.
type dialer struct {
	upstream *Upstream
	vm       string
}

// Dial implements proto.Dialer.
func (dialer dialer) Dial(member dbset.Member, team string, timeout time.Duration) (proto.DatabaseConn, proto.Answer, error) {
	return dialer.upstream.dial(dialer.vm, member, team, timeout)
}

// Dial opens a connection from a VM without a name. It implements proto.Dialer.
func (upstream *Upstream) Dial(member dbset.Member, team string, timeout time.Duration) (proto.DatabaseConn, proto.Answer, error) {
	return upstream.dial("", member, team, timeout)
}

func (upstream *Upstream) dial(vm string, member dbset.Member, team string, timeout time.Duration) (proto.DatabaseConn, proto.Answer, error) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if _, ok := upstream.databases[member.Address]; ok && member.Address != member.ID {
		upstream.misdirected++
		return nil, proto.Answer{Code: proto.WrongMember}, nil
	}
	database, ok := upstream.databases[member.ID]
	switch {
	case !ok || database.IsDown:
		return nil, proto.Answer{}, syscall.ECONNREFUSED
	case database.IsUnresponsive || database.UnreachableFrom[vm]:
		upstream.mu.Unlock()
		time.Sleep(timeout)
		upstream.mu.Lock()
		return nil, proto.Answer{}, os.ErrDeadlineExceeded
	case !database.takeSlot(upstream, timeout):
		return nil, proto.Answer{}, os.ErrDeadlineExceeded
	}
	database.busy--
	if database.MaxConnections > 0 && database.Open >= database.MaxConnections {
		return nil, proto.Answer{Code: proto.Full}, nil
	}
	database.Open++
	database.Opened++
	upstream.connCount++
	return &conn{vm: vm, team: team, number: upstream.connCount, upstream: upstream, database: database, values: make(map[string]string), definitions: make(map[string]proto.Definition)}, proto.Answer{}, nil
}

// Conn is a connection to a database.
type Conn interface {
	proto.DatabaseConn
	// Run runs a request and returns its answer, whatever answers are unread.
	Run(request proto.Request, timeout time.Duration) (proto.Answer, error)
	// DrawRepeat returns the time after which the answer to a request, or to the start of the
	// connection if that is nil, is given again; zero is never.
	DrawRepeat(request proto.Request) time.Duration
}

// conn implements Conn.
type conn struct {
	vm            string
	team          string
	number        int
	upstream      *Upstream
	database      *Database
	values        map[string]string
	definitions   map[string]proto.Definition
	inTransaction bool
	// hasWrites is set after a write in the transaction.
	hasWrites bool
	isClosed  bool
	// transaction is the number of the open transaction; zero is none.
	transaction int
	// committed is the position of the commit that the present request has made.
	committed posn.Position
	// unread has the answers that the VM has not read, in the order of their arrival.
	unread []arrival
	// deadline is that of the last request.
	deadline time.Time
	// random draws the answers that are given twice; nil before the first.
	random *rand.Rand
}

// IsAlive reports whether the connection is open, its database is not down, and no unread
// answer has arrived.
func (conn *conn) IsAlive() bool {
	conn.upstream.mu.Lock()
	defer conn.upstream.mu.Unlock()
	return !conn.isClosed && !conn.database.IsDown && !conn.hasUnread()
}

// Close ends the connection.
func (conn *conn) Close() {
	conn.upstream.mu.Lock()
	defer conn.upstream.mu.Unlock()
	if !conn.isClosed {
		conn.isClosed = true
		conn.database.Open--
	}
}

// Run implements Conn. proto.ErrLost means that the database did not answer, or that
// AnswersToLose applied.
func (conn *conn) Run(request proto.Request, timeout time.Duration) (proto.Answer, error) {
	upstream, database := conn.upstream, conn.database
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	deadline := time.Now().Add(timeout)
	if needsSlot(request) {
		if !database.takeSlot(upstream, timeout) {
			return proto.Answer{}, proto.ErrLost
		}
		defer func() { database.busy-- }()
	}
	duration := database.RequestDuration
	if isStatement(request) {
		duration = database.StatementDuration
	}
	if duration > 0 {
		upstream.sleep(min(duration, timeout))
	}
	if database.IsUnresponsive || database.UnreachableFrom[conn.vm] {
		upstream.sleep(timeout)
		return proto.Answer{}, proto.ErrLost
	}
	if database.IsDown || conn.isClosed {
		return proto.Answer{}, proto.ErrLost
	}
	upstream.replicate()
	answer := conn.runRequest(request)
	upstream.replicate()
	if committed := conn.committed; !committed.IsZero() {
		conn.committed = posn.Position{}
		if !upstream.awaitReplica(conn, committed, time.Until(deadline)) {
			return proto.Answer{}, proto.ErrLost
		}
	}
	if isStatement(request) && answer.Code == proto.OK && database.AnswersToLose > 0 {
		database.AnswersToLose--
		return proto.Answer{}, proto.ErrLost
	}
	answer.Position = conn.database.Position()
	if conn.inTransaction {
		answer.State = proto.Open
	}
	return answer, nil
}

// AskAll runs requests one after the other.
func (conn *conn) AskAll(requests []proto.Request, timeout time.Duration) ([]proto.Answer, error) {
	answers := make([]proto.Answer, 0, len(requests))
	for _, request := range requests {
		answer, err := conn.Ask(request, timeout)
		if err != nil {
			return nil, err
		}
		answers = append(answers, answer)
	}
	return answers, nil
}

// isStatement reports whether a request forwards a caller's statement.
func isStatement(request proto.Request) bool {
	switch request.(type) {
	case proto.Forward, proto.ForwardPrepared:
		return true
	}
	return false
}

// runRequest runs a request and returns its answer, without state and position.
func (conn *conn) runRequest(request proto.Request) proto.Answer {
	database := conn.database
	switch request := request.(type) {
	case proto.Start:
		if !request.ReadOnly && !database.leads {
			return proto.Answer{Code: proto.ReadOnly}
		}
		if !database.Position().AtLeast(request.MinPosition) {
			return proto.Answer{Code: proto.Lagging}
		}
		conn.upstream.transactionCount++
		conn.inTransaction, conn.hasWrites, conn.transaction = true, false, conn.upstream.transactionCount
	case proto.AbortTransaction:
		conn.inTransaction, conn.transaction = false, 0
	case proto.SetValue:
		conn.values[request.Name] = request.Value
	case proto.Define:
		conn.definitions[request.Name] = request.Definition
	case proto.Reset:
		clear(conn.values)
		clear(conn.definitions)
	case proto.Forward:
		return conn.runStatement(Run{ID: request.ID, Text: request.Text}, request.MinPosition)
	case proto.ForwardPrepared:
		definition, ok := conn.definitions[request.Name]
		if !ok {
			return proto.Answer{Code: proto.UnknownName}
		}
		run := Run{ID: request.ID, Prepared: Definition(definition)}
		run.Text = run.Prepared
		if request.HasArguments || request.Arguments != "" {
			run.Text += " " + request.Arguments
		}
		return conn.runStatement(run, request.MinPosition)
	default:
		return conn.runControl(request)
	}
	return proto.Answer{}
}

// runControl runs a Seal, Unseal, Demote or GetReport and returns the database's report.
func (conn *conn) runControl(request proto.Request) proto.Answer {
	database, upstream := conn.database, conn.upstream
	switch request := request.(type) {
	case proto.Seal:
		if request.Term > database.term && !database.leads && !database.IgnoresSeals {
			database.sealedTerm = request.Term
		}
	case proto.Unseal:
		database.sealedTerm = 0
	case proto.Demote:
		if database.leads && request.Term > database.term {
			database.leads = false
		}
		if database.ID == upstream.primary && !database.leads {
			upstream.primary = ""
		}
	}
	return proto.Answer{Rows: []string{"report"}, Report: dbset.Report{
		Primary: database.leads, Term: database.term,
		Received: database.log[len(database.log)-1].position, SealedTerm: database.sealedTerm,
		Lag: database.Lag, Connections: database.Open,
	}}
}

// Definition returns the text of a prepared statement, without its arguments.
func Definition(definition proto.Definition) string {
	if definition.Writes {
		return "WRITE " + definition.Text
	}
	return "READ " + definition.Text
}

// runStatement runs a caller's statement and records it in run, which has its ID and text. A
// write outside a transaction commits at once.
func (conn *conn) runStatement(run Run, minPosition posn.Position) proto.Answer {
	database, upstream := conn.database, conn.upstream
	if database.BusyRefusals > 0 {
		database.BusyRefusals--
		return proto.Answer{Code: proto.Busy}
	}
	if !database.Position().AtLeast(minPosition) {
		return proto.Answer{Code: proto.Lagging}
	}
	isWrite := strings.HasPrefix(run.Text, "WRITE")
	isCommit := run.Text == "COMMIT"
	if (isWrite || isCommit && conn.hasWrites) && !database.leads {
		return proto.Answer{Code: proto.ReadOnly}
	}
	if isWrite && conn.inTransaction {
		conn.hasWrites = true
	}
	run.Database, run.Conn, run.Team, run.Transaction = database.ID, conn.number, conn.team, conn.transaction
	run.Values, run.At = maps.Clone(conn.values), time.Now()
	run.Proof, run.Rows = "proof-"+strconv.Itoa(len(upstream.runs)+1), []string{run.Text}
	run.ByFormerPrimary = database.leads && database.ID != upstream.primary
	if upstream.OnRun != nil {
		upstream.OnRun(&run)
	}
	if isWrite && !conn.inTransaction || isCommit && conn.hasWrites {
		run.Committed = upstream.appendCommit(database)
		conn.committed = run.Committed
	}
	if isCommit {
		conn.inTransaction, conn.hasWrites, conn.transaction = false, false, 0
	}
	run.Position = database.Position()
	upstream.runs = append(upstream.runs, run)
	return proto.Answer{Rows: run.Rows, Proof: run.Proof}
}
