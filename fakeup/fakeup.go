// Package fakeup is a stand-in for an upstream whose databases form one group: a
// primary and replicas with terms, an asynchronous log, seals and promotion. It
// answers the typed requests of package wires without a network, and by the
// clock of package time, so that tests run it in a bubble of testing/synctest.
package fakeup

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/wires"
)

// entry is a commit, visible at a database from a time on.
type entry struct {
	position posn.Position
	at       time.Time
}

// Database is one database of the group. The exported fields may be changed
// between requests, under the upstream's Do.
type Database struct {
	ID string
	// IsDark leaves everything unanswered; IsDown refuses connections.
	IsDark, IsDown bool
	// CutFrom are the VMs that can't reach the database.
	CutFrom map[string]bool
	// IsDeaf receives nothing of the primary's log.
	IsDeaf bool
	// Lag is how late commits are visible at a replica.
	Lag time.Duration
	// Work is how long a statement takes.
	Work time.Duration
	// LoseAnswers is how many statements run whose answers are lost.
	LoseAnswers int
	// RefuseBusy is how many statements are refused for lack of room.
	RefuseBusy int
	// MaxConnections refuses openings beyond it; zero is no limit.
	MaxConnections int
	// Opened counts connections that were opened, Open those that are.
	Opened, Open int

	log  []entry
	held uint64
}

// Run is a statement that a database ran.
type Run struct {
	Database string
	ID       string
	Text     string
	// Position is the end of the log that the statement saw.
	Position posn.Position
	Values   map[string]string
	// Conn tells the connections apart; Proof and At are the answer's and when it
	// ran.
	Conn  int
	Proof string
	At    time.Time
	// Committed is the position of what it committed; zero for nothing.
	Committed posn.Position
	// IsFormer says that a database ran it that led an earlier term.
	IsFormer bool
	// Transaction numbers the transaction that it ran in, or ended; zero for none.
	Transaction int
}

// Term is when a database began to lead, and the end of the log that it had.
type Term struct {
	Number  uint64
	Primary string
	Start   posn.Position
	At      time.Time
}

// Upstream is a group of databases.
type Upstream struct {
	Name string
	// PromoteTakes is the time from an order to the new primary.
	PromoteTakes time.Duration

	mu        sync.Mutex
	term      uint64
	primary   string
	former    map[string]uint64
	databases map[string]*Database
	runs      []Run
	orders    []promo.Order
	terms     []Term
	// conns and opened count connections and transactions.
	conns, opened int
}

// New makes an upstream with databases a, b and c, of which a leads term 1.
func New(name string) *Upstream {
	upstream := &Upstream{
		Name: name, PromoteTakes: 300 * time.Millisecond, term: 1, primary: "a",
		former: make(map[string]uint64), databases: make(map[string]*Database),
	}
	for _, id := range []string{"a", "b", "c"} {
		upstream.databases[id] = &Database{
			ID: id, Lag: 20 * time.Millisecond, Work: 5 * time.Millisecond,
			log: []entry{{position: posn.Position{Term: 1, LSN: 1}}},
		}
	}
	return upstream
}

// Do calls f with a database while nothing else changes it.
func (upstream *Upstream) Do(id string, f func(*Database)) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	f(upstream.databases[id])
}

// Members returns the databases as their registrations would tell them.
func (upstream *Upstream) Members() []dbset.Member {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	var members []dbset.Member
	for _, id := range slices.Sorted(maps.Keys(upstream.databases)) {
		members = append(members, dbset.Member{
			ID: id, Group: upstream.Name, Address: id, Zone: "zone-" + id, Slots: 3,
			SaysPrimary: id == upstream.primary,
		})
	}
	return members
}

// Runs returns what the databases ran of callers' statements.
func (upstream *Upstream) Runs() []Run {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return slices.Clone(upstream.runs)
}

// Terms returns the terms that began by a promotion.
func (upstream *Upstream) Terms() []Term {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return slices.Clone(upstream.terms)
}

// Rejoin makes a database that led an earlier term a replica of the newest, as
// when it has reached the new primary. What only it had is rolled back.
func (upstream *Upstream) Rejoin(id string) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.rejoin(id)
}

func (upstream *Upstream) rejoin(id string) {
	if _, ok := upstream.former[id]; !ok {
		return
	}
	delete(upstream.former, id)
	if leads, ok := upstream.databases[upstream.primary]; ok {
		upstream.databases[id].log, upstream.databases[id].held = slices.Clone(leads.log), 0
	}
}

// Orders returns the orders to promote.
func (upstream *Upstream) Orders() []promo.Order {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return slices.Clone(upstream.orders)
}

// Primary returns the database that leads the newest term.
func (upstream *Upstream) Primary() string {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.primary
}

// Promote makes a database the primary of the next term. The former one leads
// its own term on, until it is demoted.
func (upstream *Upstream) Promote(_ context.Context, order promo.Order) error {
	time.Sleep(upstream.PromoteTakes)
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.orders = append(upstream.orders, order)
	next, ok := upstream.databases[order.Member]
	if !ok || next.IsDark || next.IsDown {
		return promo.ErrRefused
	}
	if order.Member == upstream.primary {
		return nil
	}
	upstream.former[upstream.primary] = upstream.term
	delete(upstream.former, order.Member)
	upstream.term++
	upstream.primary = order.Member
	next.held = 0
	upstream.terms = append(upstream.terms, Term{
		Number: upstream.term, Primary: order.Member, Start: next.log[len(next.log)-1].position, At: time.Now(),
	})
	for _, other := range upstream.databases {
		if _, ok := upstream.former[other.ID]; !ok && other != next {
			other.log, other.held = slices.Clone(next.log), 0
		}
	}
	return nil
}

func (upstream *Upstream) leads(id string) bool {
	_, isFormer := upstream.former[id]
	return id == upstream.primary || isFormer
}

func (upstream *Upstream) termOf(id string) uint64 {
	if term, ok := upstream.former[id]; ok {
		return term
	}
	return upstream.term
}

// Position is the end of the log that is visible at the database now.
func (database *Database) Position() posn.Position {
	var position posn.Position
	now := time.Now()
	for _, entry := range database.log {
		if !entry.at.After(now) {
			position = entry.position
		}
	}
	return position
}

// commit adds to the log of a database that leads, and of its replicas.
func (upstream *Upstream) commit(id string) posn.Position {
	leads := upstream.databases[id]
	now := time.Now()
	position := posn.Position{Term: upstream.termOf(id), LSN: leads.log[len(leads.log)-1].position.LSN + 1}
	leads.log = append(leads.log, entry{position: position, at: now})
	for _, other := range upstream.databases {
		if id != upstream.primary || other == leads || upstream.leads(other.ID) || other.IsDeaf || other.IsDark || other.IsDown || other.held > 0 {
			continue
		}
		other.log = append(other.log, entry{position: position, at: now.Add(other.Lag)})
	}
	return position
}

// From returns the way to the databases from one VM.
func (upstream *Upstream) From(vm string) wires.Dialer { return dialer{upstream, vm} }

type dialer struct {
	upstream *Upstream
	vm       string
}

func (dialer dialer) Dial(member dbset.Member, timeout time.Duration) (wires.Wire, wires.Answer, error) {
	return dialer.upstream.dial(dialer.vm, member, timeout)
}

// Dial opens a connection from a VM without a name.
func (upstream *Upstream) Dial(member dbset.Member, timeout time.Duration) (wires.Wire, wires.Answer, error) {
	return upstream.dial("", member, timeout)
}

func (upstream *Upstream) dial(vm string, member dbset.Member, timeout time.Duration) (wires.Wire, wires.Answer, error) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	database, ok := upstream.databases[member.ID]
	switch {
	case !ok || database.IsDown:
		return nil, wires.Answer{}, syscall.ECONNREFUSED
	case database.IsDark || database.CutFrom[vm]:
		upstream.mu.Unlock()
		time.Sleep(timeout)
		upstream.mu.Lock()
		return nil, wires.Answer{}, os.ErrDeadlineExceeded
	case database.MaxConnections > 0 && database.Open >= database.MaxConnections:
		return nil, wires.Answer{Code: wires.Full}, nil
	}
	database.Open++
	database.Opened++
	upstream.conns++
	return &wire{vm: vm, number: upstream.conns, upstream: upstream, database: database, values: make(map[string]string), shapes: make(map[string]wires.Shape)}, wires.Answer{}, nil
}

// wire is a connection to a database.
type wire struct {
	vm       string
	number   int
	upstream *Upstream
	database *Database
	values   map[string]string
	shapes   map[string]wires.Shape
	isOpen   bool
	wrote    bool
	isClosed bool
	// transaction is the number of the open one.
	transaction int
}

// IsAlive reports whether the connection was not closed and its database runs.
func (wire *wire) IsAlive() bool {
	wire.upstream.mu.Lock()
	defer wire.upstream.mu.Unlock()
	return !wire.isClosed && !wire.database.IsDown
}

// Close ends the connection.
func (wire *wire) Close() {
	wire.upstream.mu.Lock()
	defer wire.upstream.mu.Unlock()
	if !wire.isClosed {
		wire.isClosed = true
		wire.database.Open--
	}
}

// Ask runs a request.
func (wire *wire) Ask(request wires.Request, timeout time.Duration) (wires.Answer, error) {
	wire.upstream.mu.Lock()
	defer wire.upstream.mu.Unlock()
	if isStatement(request) {
		work := min(wire.database.Work, timeout)
		wire.upstream.mu.Unlock()
		time.Sleep(work)
		wire.upstream.mu.Lock()
	}
	if wire.database.IsDark || wire.database.CutFrom[wire.vm] {
		wire.upstream.mu.Unlock()
		time.Sleep(timeout)
		wire.upstream.mu.Lock()
		return wires.Answer{}, wires.ErrLost
	}
	if wire.database.IsDown || wire.isClosed {
		return wires.Answer{}, wires.ErrLost
	}
	answer := wire.run(request)
	if isStatement(request) && answer.Code == wires.OK && wire.database.LoseAnswers > 0 {
		wire.database.LoseAnswers--
		return wires.Answer{}, wires.ErrLost
	}
	answer.Position = wire.database.Position()
	if wire.isOpen {
		answer.State = wires.Open
	}
	return answer, nil
}

func isStatement(request wires.Request) bool {
	switch request.(type) {
	case wires.Forward, wires.ForwardPrepared:
		return true
	}
	return false
}

func (wire *wire) run(request wires.Request) wires.Answer {
	database := wire.database
	switch request := request.(type) {
	case wires.Start:
		if !request.ReadOnly && !wire.upstream.leads(database.ID) {
			return wires.Answer{Code: wires.ReadOnly}
		}
		if !database.Position().AtLeast(request.Floor) {
			return wires.Answer{Code: wires.Lagging}
		}
		wire.upstream.opened++
		wire.isOpen, wire.wrote, wire.transaction = true, false, wire.upstream.opened
	case wires.Undo:
		wire.isOpen, wire.transaction = false, 0
	case wires.SetValue:
		wire.values[request.Name] = request.Value
	case wires.Define:
		wire.shapes[request.Name] = request.Shape
	case wires.Reset:
		clear(wire.values)
		clear(wire.shapes)
	case wires.Forward:
		return wire.statement(request.ID, request.Text, request.Floor)
	case wires.ForwardPrepared:
		shape, ok := wire.shapes[request.Name]
		if !ok {
			return wires.Answer{Code: wires.UnknownName}
		}
		word := "READ "
		if shape.Writes {
			word = "WRITE "
		}
		return wire.statement(request.ID, word+shape.Text+" "+request.Arguments, request.Floor)
	default:
		return wire.control(request)
	}
	return wires.Answer{}
}

func (wire *wire) control(request wires.Request) wires.Answer {
	database, upstream := wire.database, wire.upstream
	switch request := request.(type) {
	case wires.Seal:
		if request.Term > upstream.termOf(database.ID) && !upstream.leads(database.ID) {
			database.held = request.Term
		}
	case wires.Unseal:
		database.held = 0
	case wires.Demote:
		upstream.rejoin(database.ID)
		if database.ID == upstream.primary && request.Term > upstream.term {
			upstream.primary = ""
		}
	}
	return wires.Answer{Report: dbset.Report{
		Primary: upstream.leads(database.ID), Term: upstream.termOf(database.ID),
		Received: database.log[len(database.log)-1].position, Held: database.held,
		Lag: database.Lag, Connections: database.Open,
	}}
}

func (wire *wire) statement(id, text string, floor posn.Position) wires.Answer {
	database, upstream := wire.database, wire.upstream
	if database.RefuseBusy > 0 {
		database.RefuseBusy--
		return wires.Answer{Code: wires.Busy}
	}
	if !database.Position().AtLeast(floor) {
		return wires.Answer{Code: wires.Lagging}
	}
	isWrite := strings.HasPrefix(text, "WRITE")
	isCommit := text == "COMMIT"
	if (isWrite || isCommit && wire.wrote) && !upstream.leads(database.ID) {
		return wires.Answer{Code: wires.ReadOnly}
	}
	if isWrite && wire.isOpen {
		wire.wrote = true
	}
	_, isFormer := upstream.former[database.ID]
	ran := Run{
		Database: database.ID, ID: id, Text: text, Values: maps.Clone(wire.values), Conn: wire.number,
		Proof: "proof-" + strconv.Itoa(len(upstream.runs)+1), At: time.Now(),
		IsFormer: isFormer, Transaction: wire.transaction,
	}
	if isWrite && !wire.isOpen || isCommit && wire.wrote {
		ran.Committed = upstream.commit(database.ID)
	}
	if isCommit {
		wire.isOpen, wire.wrote, wire.transaction = false, false, 0
	}
	ran.Position = database.Position()
	upstream.runs = append(upstream.runs, ran)
	return wires.Answer{Rows: []string{text}, Proof: ran.Proof}
}

// Front is a caller's connection that a test drives.
type Front struct {
	calls   chan wires.Call
	answers chan wires.Answer
	wake    chan struct{}
	next    int
}

// ErrGone says that the caller has left.
var ErrGone = errors.New("caller has left")

// NewFront makes a caller's connection.
func NewFront() *Front {
	return &Front{calls: make(chan wires.Call), answers: make(chan wires.Answer, 1), wake: make(chan struct{}, 1)}
}

// Next waits for the test's next call.
func (front *Front) Next(wait time.Duration) (wires.Call, error) {
	var timeout <-chan time.Time
	if wait > 0 {
		timeout = time.After(wait)
	}
	select {
	case call, ok := <-front.calls:
		if !ok {
			return wires.Call{}, ErrGone
		}
		return call, nil
	case <-timeout:
		return wires.Call{}, wires.ErrIdle
	case <-front.wake:
		return wires.Call{}, wires.ErrIdle
	}
}

// Reply hands the test an answer.
func (front *Front) Reply(answer wires.Answer) error {
	front.answers <- answer
	return nil
}

// Interrupt ends a wait between two calls.
func (front *Front) Interrupt() {
	select {
	case front.wake <- struct{}{}:
	default:
	}
}

// Start waits for the answer to the start of the session.
func (front *Front) Start() wires.Answer { return <-front.answers }

// Ask makes a call and waits for its answer.
func (front *Front) Ask(statement wires.Statement, text string) wires.Answer {
	front.next++
	front.calls <- wires.Call{ID: fmt.Sprintf("call-%d", front.next), Text: text, Statement: statement}
	return <-front.answers
}

// Leave ends the caller's connection.
func (front *Front) Leave() { close(front.calls) }
