// Package proto defines the typed messages between the session engine and the
// codecs: requests of callers, requests to databases, and their answers. The text
// of statements, rows and proofs is passed through unchanged.
package proto

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/posn"
)

// ErrLost means that a connection was closed or timed out before the answer was
// received.
var ErrLost = errors.New("connection closed or timed out before the answer was received")

// ErrInvalidAnswer means that what was received is not an answer. It is marked as ErrLost too.
var ErrInvalidAnswer = errors.New("not a valid answer")

// Code classifies an answer.
type Code int

// The codes. Each comment states whether the request may have run.
const (
	OK              Code = iota
	Busy                 // did not run: the VM or the database has no capacity
	Aborted              // nothing of the transaction or statement is committed
	Lagging              // did not run: the database's log has not reached the minimum position
	ReadOnly             // did not run: the database is not the primary
	WrongMember          // did not run: the address belongs to another database
	Full                 // did not run: the database's connection limit is reached
	UnknownName          // did not run: no prepared statement has this name
	UnknownDatabase      // did not run: no route has this name
	Unauthorized         // did not run: the caller's key belongs to no team
	Malformed            // did not run: not valid, or not valid in this state
	Failed               // ran and failed
	TimedOut             // may have run: no answer within the time limit
	InDoubt              // may have run: the outcome is unknown
)

var codeNames = [...]string{
	OK: "ok", Busy: "busy", Aborted: "aborted", Lagging: "lagging", ReadOnly: "readOnly",
	WrongMember: "wrongMember", Full: "full", UnknownName: "unknownName",
	UnknownDatabase: "unknownDatabase", Unauthorized: "unauthorized", Malformed: "malformed", Failed: "failed",
	TimedOut: "timedOut", InDoubt: "inDoubt",
}

// String returns the name of the code in logs and metrics. A code that is not known, from a
// VM of another version, is named by its number.
func (code Code) String() string {
	if code < 0 || int(code) >= len(codeNames) {
		return "code" + strconv.Itoa(int(code))
	}
	return codeNames[code]
}

// DidNotRun reports whether the code guarantees that the request did not run, or that
// it had no effect.
func (code Code) DidNotRun() bool { return code >= Busy && code <= Malformed }

// State is the transaction state of a session after an answer.
type State int

// The states.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open.
	Open
	// Broken means that the transaction has failed; a commit or rollback request
	// ends it.
	Broken
)

// Answer is the result of a request.
type Answer struct {
	Code Code
	// Text describes an error.
	Text string
	Rows []string
	// Proof is an opaque text of the database that is passed on to the caller.
	Proof string
	State State
	// Position is the end of the database's log; zero if the answer has none.
	Position posn.Position
	// IsStart marks the answer to the start of a session.
	IsStart bool
	// Report is set in answers to GetReport, Seal, Unseal and Demote.
	Report dbset.Report
}

// Statement is the parsed form of a caller's request.
type Statement interface{ isStatement() }

type (
	// Begin opens a transaction.
	Begin struct{ ReadOnly bool }
	// Commit commits the open transaction.
	Commit struct{}
	// Rollback rolls the open transaction back.
	Rollback struct{}
	// Read is a statement that reads only.
	Read struct{}
	// Write is a statement that may write.
	Write struct{}
	// Assign sets a named value of the session.
	Assign struct{ Name, Value string }
	// Prepare stores a statement in the session under a name.
	Prepare struct {
		Name       string
		Definition Definition
	}
	// Execute runs a prepared statement. HasArguments tells empty arguments from none.
	Execute struct {
		Name, Arguments string
		HasArguments    bool
	}
	// Deallocate removes a prepared statement from the session.
	Deallocate struct{ Name string }
	// TooLong is a statement that can't be sent within the length limit, in bytes, of a message.
	TooLong struct{ Length, Limit int }
	// Unknown is a statement that could not be parsed.
	Unknown struct{}
)

func (Begin) isStatement()      {}
func (Commit) isStatement()     {}
func (Rollback) isStatement()   {}
func (Read) isStatement()       {}
func (Write) isStatement()      {}
func (Assign) isStatement()     {}
func (Prepare) isStatement()    {}
func (Execute) isStatement()    {}
func (Deallocate) isStatement() {}
func (TooLong) isStatement()    {}
func (Unknown) isStatement()    {}

// Definition is the definition of a prepared statement.
type Definition struct {
	// Writes is true if the statement may write.
	Writes bool
	Text   string
}

// Call is a caller's request.
type Call struct {
	// ID is the caller's ID of the request.
	ID        string
	Text      string
	Statement Statement
}

// Request is a request to a database.
type Request interface{ isRequest() }

type (
	// Forward sends a caller's statement. If MinPosition is not zero, the database runs
	// the statement only if its log has reached that position.
	Forward struct {
		ID, Text    string
		MinPosition posn.Position
		// IsCommit is true if the statement commits the open transaction.
		IsCommit bool
	}
	// ForwardPrepared executes a prepared statement; MinPosition is as in Forward. Without
	// HasArguments there are arguments if they are not empty, as in a request of a VM of an
	// earlier version.
	ForwardPrepared struct {
		ID              string
		Name, Arguments string
		HasArguments    bool
		MinPosition     posn.Position
	}
	// Start opens a transaction. ID is that of the caller's request.
	Start struct {
		ID          string
		ReadOnly    bool
		MinPosition posn.Position
	}
	// AbortTransaction rolls a transaction back.
	AbortTransaction struct{}
	// SetValue sets a named value of the connection.
	SetValue struct{ Name, Value string }
	// Define prepares a statement on the connection.
	Define struct {
		Name       string
		Definition Definition
	}
	// Reset clears the connection's values and prepared statements.
	Reset struct{}
	// GetReport requests the database's report.
	GetReport struct{}
	// Seal makes a replica refuse log entries of terms below Term.
	Seal struct{ Term uint64 }
	// Unseal removes a seal.
	Unseal struct{}
	// Demote turns a primary of a term below Term into a replica.
	Demote struct{ Term uint64 }
)

func (Forward) isRequest()          {}
func (ForwardPrepared) isRequest()  {}
func (Start) isRequest()            {}
func (AbortTransaction) isRequest() {}
func (SetValue) isRequest()         {}
func (Define) isRequest()           {}
func (Reset) isRequest()            {}
func (GetReport) isRequest()        {}
func (Seal) isRequest()             {}
func (Unseal) isRequest()           {}
func (Demote) isRequest()           {}

// DatabaseConn is a connection to a database. It carries one request at a time.
type DatabaseConn interface {
	// Ask sends a request and returns its answer. An error means that the
	// outcome is unknown and that the connection can't be used any more.
	Ask(request Request, timeout time.Duration) (Answer, error)
	// AskAll sends requests together, which takes one round trip, and returns their answers
	// in order. The database runs each of them whatever the answers to those before are. An
	// error is as for Ask.
	AskAll(requests []Request, timeout time.Duration) ([]Answer, error)
	// Receive returns the answer that follows those of the last Ask or AskAll, within their
	// timeout. An error is as for Ask.
	Receive() (Answer, error)
	// IsAlive reports whether the idle connection appears to be open.
	IsAlive() bool
	// HasUnread reports whether the connection has received data that no request has read.
	HasUnread() bool
	Close()
}

// Dialer opens connections to databases.
type Dialer interface {
	// Dial opens a connection to member for requests of a team; empty means the VM
	// itself, or callers without a team. The connection is usable if the error is nil and
	// the answer's code is OK.
	Dial(member dbset.Member, team string, timeout time.Duration) (DatabaseConn, Answer, error)
}

// Startup is a caller's first message.
type Startup struct {
	// Database is the name of the route that the caller connects to.
	Database string
	// Key is the caller's API key; empty if it sent none.
	Key string
}

// CallerConn is a caller's connection.
type CallerConn interface {
	// Next returns the caller's next request. It returns ErrIdle if none arrives
	// within timeout; a timeout of 0 means no limit.
	Next(timeout time.Duration) (Call, error)
	// Reply sends the answer to the last request.
	Reply(answer Answer) error
	// Interrupt makes a call of Next that is waiting between two requests return
	// ErrIdle.
	Interrupt()
}

// ErrIdle is returned by CallerConn.Next when no request arrived within the timeout, or on
// Interrupt.
var ErrIdle = errors.New("no request received within the timeout")
