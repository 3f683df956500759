// Package remote passes callers' requests from one VM to another, by net/rpc over TCP. A
// VM that shares a database's scarce connections with many others forwards requests to a
// routing VM, which uses its own connections.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  12. ErrNotSent means that the request did not run. After any other error its outcome
//     is unknown. No request is sent twice.
//  14. A transaction stays with one connection between two VMs, and is rolled back when
//     that connection ends.
//  20. A VM that does not answer receives no new requests. Requests in progress there are
//     given up if they have no lasting effect; others wait for their answer.
package remote

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/store"
)

// Errors of Client and Transaction.
var (
	// ErrNotSent means that the request was not sent, so it did not run.
	ErrNotSent = errors.New("request was not sent: no usable connection to the VM")
	// ErrSilent means that the VM has stopped answering while it had the request.
	ErrSilent = errors.New("VM does not answer")
	// ErrLost means that the connection failed or the timeout expired before the answer
	// was received.
	ErrLost = errors.New("answer of the VM was lost")
)

// Kind is the kind of a forwarded statement.
type Kind uint8

// The kinds. Prepared is the execution of a prepared statement.
const (
	Read Kind = iota + 1
	Write
	Prepared
	Commit
)

// Request is a statement of a caller's session.
type Request struct {
	// Transaction identifies an open transaction on its connection; 0 for a single
	// statement.
	Transaction uint64
	// TransactionID is the ID of the caller's request that opened the transaction.
	TransactionID string
	// IsFirst marks the first statement of a transaction, IsReadOnly a read-only one.
	IsFirst, IsReadOnly bool
	// Database is the session's database, Route the route by which the request is served:
	// the forwarding VM decides it, so that a session never returns to an older
	// configuration.
	Database string
	Route    config.Route
	// Team is the team of the session's caller.
	Team string
	// Values are the session's settings.
	Values map[string]string

	ID, Text string
	Kind     Kind
	// Name, Arguments and Definition belong to a prepared statement. HasArguments tells empty
	// arguments from none; a VM of an earlier version sets it never.
	Name, Arguments string
	HasArguments    bool
	Definition      proto.Definition
	// Elapsed is the time from the request's arrival until it was forwarded.
	Elapsed time.Duration
	// LastCommit is the position of the session's last commit in the group, made
	// LastCommitAge before the request was forwarded.
	LastCommit    posn.Position
	LastCommitAge time.Duration
}

// WithCall returns the request with the statement of a call. The definition is that of the
// prepared statement, if the call executes one.
func (request Request) WithCall(call proto.Call, definition proto.Definition) Request {
	request.ID, request.Text = call.ID, call.Text
	switch statement := call.Statement.(type) {
	case proto.Read:
		request.Kind = Read
	case proto.Write:
		request.Kind = Write
	case proto.Commit:
		request.Kind = Commit
	case proto.Execute:
		request.Kind, request.Name, request.Arguments = Prepared, statement.Name, statement.Arguments
		request.HasArguments, request.Definition = statement.HasArguments, definition
	}
	return request
}

// Call returns the request's statement as a call.
func (request Request) Call() proto.Call {
	call := proto.Call{ID: request.ID, Text: request.Text, Statement: proto.Unknown{}}
	switch request.Kind {
	case Read:
		call.Statement = proto.Read{}
	case Write:
		call.Statement = proto.Write{}
	case Commit:
		call.Statement = proto.Commit{}
	case Prepared:
		call.Statement = proto.Execute{Name: request.Name, Arguments: request.Arguments, HasArguments: request.HasArguments}
	}
	return call
}

// Writes reports whether the statement may write.
func (request Request) Writes() bool {
	return request.Kind == Write || request.Kind == Prepared && request.Definition.Writes
}

// canBeGivenUp reports whether the request has no lasting effect, even if it runs after it
// was given up: it is a single read, or a statement of a transaction other than its commit.
func (request Request) canBeGivenUp() bool {
	if request.Transaction != 0 {
		return request.Kind != Commit
	}
	return !request.Writes()
}

// Reply is the answer to a Request.
type Reply struct {
	// IsDeclined means that the VM does not take the request, so it did not run. IsStopping
	// means that it takes no other request either.
	IsDeclined, IsStopping bool
	Answer                 proto.Answer
	// LastCommit is the position of the session's last commit in the group; zero if the
	// request committed nothing.
	LastCommit posn.Position
}

// ChangesQuery asks for the changes of a prefix of the store after a revision.
type ChangesQuery struct {
	Prefix string
	After  uint64
	// HasNoStore is set if the VM can't read them from the store itself.
	HasNoStore bool
}

// Changes are the changes of a prefix of the store, as a VM knows them.
type Changes struct {
	// IsKnown is set if the VM has read the prefix.
	IsKnown bool
	// IsSnapshot means that Changes has all items of the prefix instead.
	IsSnapshot bool
	Changes    []store.Change
	// Covered is the revision up to which the VM knows all changes, complete Age before
	// the answer.
	Covered uint64
	Age     time.Duration
}

// Executor runs forwarded requests.
type Executor interface {
	// Execute runs a single statement.
	Execute(request Request) Reply
	// Open opens a transaction by its first statement. The transaction is nil if it is not
	// open after that.
	Open(request Request) (Transaction, Reply)
}

// Transaction is an open transaction of an Executor.
type Transaction interface {
	// Execute runs a statement of the transaction. It is closed unless the answer's state
	// is proto.Open.
	Execute(request Request) Reply
	// Close rolls the transaction back. It may be called more than once.
	Close()
}
