// Package wires has the typed messages between the session engine and the
// codecs: what callers ask, what databases are asked, and the answers. Text of
// statements, rows and proofs pass through as they are.
package wires

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/posn"
)

// ErrLost says that a connection ended or fell silent before the answer.
var ErrLost = errors.New("connection was lost before the answer")

// Code classifies an answer.
type Code int

// The codes. The comment says what is known about the request.
const (
	OK              Code = iota
	Busy                 // did not run: no room
	Aborted              // nothing of the transaction or statement is kept
	Lagging              // did not run: the log lacks the floor
	ReadOnly             // did not run: the database doesn't lead
	WrongMember          // did not run: another database is at this address
	Full                 // did not run: too many connections
	UnknownName          // did not run: no prepared statement of this name
	UnknownDatabase      // did not run: no route has this name
	Malformed            // did not run: not understood, or not now
	Failed               // ran without success
	TimedOut             // may have run
	InDoubt              // may have run
)

var codeNames = [...]string{
	OK: "ok", Busy: "busy", Aborted: "aborted", Lagging: "lagging", ReadOnly: "readOnly",
	WrongMember: "wrongMember", Full: "full", UnknownName: "unknownName",
	UnknownDatabase: "unknownDatabase", Malformed: "malformed", Failed: "failed",
	TimedOut: "timedOut", InDoubt: "inDoubt",
}

// String returns the name used in logs and counters.
func (code Code) String() string { return codeNames[code] }

// DidNotRun reports whether the code promises that the request did not run.
func (code Code) DidNotRun() bool { return code >= Busy && code <= Malformed }

// State is the state of a session after an answer.
type State int

// The states.
const (
	Idle State = iota
	Open
	Broken
)

// Answer ends a request.
type Answer struct {
	Code Code
	// Text explains an error.
	Text  string
	Rows  []string
	Proof string
	State State
	// Position is the end of the database's log; zero if not told.
	Position posn.Position
	// IsStart says that the answer is to the start of a session.
	IsStart bool
	// Report is set for an Inquire and the control requests.
	Report dbset.Report
}

// Statement is what a caller asks.
type Statement interface{ isStatement() }

type (
	// Begin opens a transaction.
	Begin struct{ ReadOnly bool }
	// Commit ends one.
	Commit struct{}
	// Rollback ends one without effect.
	Rollback struct{}
	// Read is a single read.
	Read struct{}
	// Write is a single write.
	Write struct{}
	// Assign sets a value of the session.
	Assign struct{ Name, Value string }
	// Prepare names a statement.
	Prepare struct {
		Name  string
		Shape Shape
	}
	// Execute runs a prepared statement.
	Execute struct{ Name, Arguments string }
	// Forget ends a prepared name.
	Forget struct{ Name string }
	// Unknown can't be understood.
	Unknown struct{}
)

func (Begin) isStatement()    {}
func (Commit) isStatement()   {}
func (Rollback) isStatement() {}
func (Read) isStatement()     {}
func (Write) isStatement()    {}
func (Assign) isStatement()   {}
func (Prepare) isStatement()  {}
func (Execute) isStatement()  {}
func (Forget) isStatement()   {}
func (Unknown) isStatement()  {}

// Shape is what a prepared statement does.
type Shape struct {
	Writes bool
	Text   string
}

// Call is a caller's request.
type Call struct {
	ID        string
	Text      string
	Statement Statement
}

// Request is what a database is asked.
type Request interface{ isRequest() }

type (
	// Forward passes a caller's statement on. With a floor, the database
	// answers only if its log holds it.
	Forward struct {
		ID, Text string
		Floor    posn.Position
	}
	// ForwardPrepared passes on the execution of a prepared statement.
	ForwardPrepared struct {
		ID              string
		Name, Arguments string
		Floor           posn.Position
	}
	// Start opens a transaction, with the id of its caller's request.
	Start struct {
		ID       string
		ReadOnly bool
		Floor    posn.Position
	}
	// Undo rolls a transaction back.
	Undo struct{}
	// SetValue sets a value of the connection.
	SetValue struct{ Name, Value string }
	// Define prepares a statement on the connection.
	Define struct {
		Name  string
		Shape Shape
	}
	// Reset clears values and prepared statements.
	Reset struct{}
	// Inquire asks for the database's report.
	Inquire struct{}
	// Seal makes a replica receive nothing from terms below Term.
	Seal struct{ Term uint64 }
	// Unseal ends a seal.
	Unseal struct{}
	// Demote makes a primary of a lower term a replica.
	Demote struct{ Term uint64 }
)

func (Forward) isRequest()         {}
func (ForwardPrepared) isRequest() {}
func (Start) isRequest()           {}
func (Undo) isRequest()            {}
func (SetValue) isRequest()        {}
func (Define) isRequest()          {}
func (Reset) isRequest()           {}
func (Inquire) isRequest()         {}
func (Seal) isRequest()            {}
func (Unseal) isRequest()          {}
func (Demote) isRequest()          {}

// Wire is a connection to a database. It carries one request at a time.
type Wire interface {
	// Ask sends a request and returns its answer. An error means that the
	// outcome is unknown and that the connection is of no more use.
	Ask(request Request, timeout time.Duration) (Answer, error)
	// IsAlive reports whether the idle connection looks open.
	IsAlive() bool
	Close()
}

// Dialer opens connections to databases.
type Dialer interface {
	Dial(member dbset.Member, timeout time.Duration) (Wire, Answer, error)
}

// Front is a caller's connection.
type Front interface {
	// Next waits for the caller's next request, for as long as wait if that is
	// not zero.
	Next(wait time.Duration) (Call, error)
	Reply(answer Answer) error
	// Interrupt makes a Next that waits between two requests return ErrIdle.
	Interrupt()
}

// ErrIdle is returned by Front.Next when the wait has passed.
var ErrIdle = errors.New("caller was idle for too long")
