package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/bramleydoor/bramleydoor/stmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/pool"
)

// maxStatements bounds the prepared statements of one caller.
const maxStatements = 1000

// statement is a caller's prepared statement. It has the same name on every
// upstream connection, so any of them can run it.
type statement struct {
	parse    pgproto3.Parse
	upstream string
	kind     stmt.Kind
	command  *stmt.Command
	// mayCommit says that running it may end a transaction.
	mayCommit bool
}

func newStatement(message *pgproto3.Parse) *statement {
	found := &statement{parse: *message, kind: stmt.Classify(message.Query)}
	found.parse.ParameterOIDs = append([]uint32(nil), message.ParameterOIDs...)
	found.upstream = upstreamName(message)
	found.command, _ = stmt.ParseCommand(message.Query)
	found.mayCommit = stmt.MayCommit(message.Query)
	return found
}

// upstreamName names a statement by what it says. The hash is cryptographic,
// since two callers' statements with one name would be mixed up.
func upstreamName(message *pgproto3.Parse) string {
	hash := sha256.New()
	hash.Write([]byte(message.Query))
	for _, oid := range message.ParameterOIDs {
		var bytes [4]byte
		binary.BigEndian.PutUint32(bytes[:], oid)
		hash.Write(bytes[:])
	}
	// nameBytes is 128 bits of the hash.
	const nameBytes = 16
	return "bd" + hex.EncodeToString(hash.Sum(nil)[:nameBytes])
}

// request is what goes to a slot at once: a simple query, or an extended batch
// up to its Sync or Flush.
type request struct {
	messages  []pgproto3.FrontendMessage
	kind      stmt.Kind
	mayCommit bool
	// isSimple is a single Query message; hasSync says that ReadyForQuery ends
	// the answer.
	isSimple bool
	hasSync  bool
	text     string
	bytes    int
}

// expectation is an answer that the caller expects, in order.
type expectation struct {
	kind expectKind
	// prepares is the statement that a ParseComplete adds to the connection.
	prepares string
}

type expectKind int

const (
	// expectMade is answered by the proxy itself: made is the message.
	expectMade expectKind = iota
	expectParse
	// expectHidden is a Parse that the caller did not send.
	expectHidden
	expectBind
	expectDescribe
	expectExecute
	expectClose
)

// madeParse and madeClose are answers to messages that did not go upstream.
var (
	madeParse = &pgproto3.ParseComplete{}
	madeClose = &pgproto3.CloseComplete{}
)

// answerList are the answers still to come, with what the proxy answers itself.
type answerList struct {
	items []expectation
	made  map[int]pgproto3.BackendMessage
	next  int
}

func (answers *answerList) expect(kind expectKind) {
	answers.items = append(answers.items, expectation{kind: kind})
}

func (answers *answerList) expectParse(kind expectKind, name string) {
	answers.items = append(answers.items, expectation{kind: kind, prepares: name})
}

func (answers *answerList) make(message pgproto3.BackendMessage) {
	if answers.made == nil {
		answers.made = make(map[int]pgproto3.BackendMessage)
	}
	answers.made[len(answers.items)] = message
	answers.expect(expectMade)
}

// takeMade returns the proxy's own answers that are due now.
func (answers *answerList) takeMade() []pgproto3.BackendMessage {
	var due []pgproto3.BackendMessage
	for answers.next < len(answers.items) && answers.items[answers.next].kind == expectMade {
		due = append(due, answers.made[answers.next])
		answers.next++
	}
	return due
}

func (answers *answerList) isDone() bool { return answers.next >= len(answers.items) }

func (answers *answerList) abort() { answers.next = len(answers.items) }

// take notes a message of the upstream; hidden ones aren't for the caller.
func (answers *answerList) take(conn *pool.Conn, message pgproto3.BackendMessage) (hidden bool) {
	if answers.isDone() {
		return false
	}
	head := answers.items[answers.next]
	if !completes(head.kind, message) {
		return false
	}
	answers.next++
	if head.prepares != "" {
		conn.SetPrepared(head.prepares)
	}
	return head.kind == expectHidden
}

func completes(kind expectKind, message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.ParseComplete:
		return kind == expectParse || kind == expectHidden
	case *pgproto3.BindComplete:
		return kind == expectBind
	case *pgproto3.CloseComplete:
		return kind == expectClose
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return kind == expectDescribe
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return kind == expectExecute
	}
	return false
}

// send puts a request on a connection. Statements are prepared there first if
// they aren't yet.
func (session *session) send(conn *pool.Conn, req *request) *answerList {
	answers := new(answerList)
	sent := make(map[string]bool)
	for _, message := range req.messages {
		switch message := message.(type) {
		case *pgproto3.Parse:
			name := session.statements[message.Name].upstream
			if conn.IsPrepared(name) || sent[name] {
				answers.make(madeParse)
				continue
			}
			sent[name] = true
			conn.Frontend.Send(&pgproto3.Parse{Name: name, Query: message.Query, ParameterOIDs: message.ParameterOIDs})
			answers.expectParse(expectParse, name)
		case *pgproto3.Bind:
			bind := *message
			bind.PreparedStatement = session.prepare(conn, answers, message.PreparedStatement, sent)
			conn.Frontend.Send(&bind)
			answers.expect(expectBind)
		case *pgproto3.Describe:
			describe := *message
			if describe.ObjectType == 'S' {
				describe.Name = session.prepare(conn, answers, message.Name, sent)
			}
			conn.Frontend.Send(&describe)
			answers.expect(expectDescribe)
		case *pgproto3.Execute:
			conn.Frontend.Send(message)
			answers.expect(expectExecute)
		case *pgproto3.Close:
			if message.ObjectType == 'S' {
				answers.make(madeClose)
				continue
			}
			conn.Frontend.Send(message)
			answers.expect(expectClose)
		default:
			conn.Frontend.Send(message)
		}
	}
	return answers
}

func (session *session) prepare(conn *pool.Conn, answers *answerList, name string, sent map[string]bool) string {
	found := session.statements[name]
	if conn.IsPrepared(found.upstream) || sent[found.upstream] {
		return found.upstream
	}
	sent[found.upstream] = true
	parse := found.parse
	parse.Name = found.upstream
	conn.Frontend.Send(&parse)
	answers.expectParse(expectHidden, found.upstream)
	return found.upstream
}

// collect adds an extended-protocol message to the current batch. It is copied,
// since the protocol library reuses its messages.
func (session *session) collect(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		if len(session.statements) >= maxStatements {
			return fault.Refuse(fault.CodeTooMany, fault.ReasonTooLarge, "too many prepared statements")
		}
		found := newStatement(message)
		session.statements[message.Name] = found
		session.addToBatch(&found.parse, len(message.Query))
	case *pgproto3.Bind:
		if session.statements[message.PreparedStatement] == nil {
			return errNoStatement(message.PreparedStatement)
		}
		bind, size := copyBind(message)
		session.portals[message.DestinationPortal] = session.statements[message.PreparedStatement]
		session.addToBatch(bind, size)
	case *pgproto3.Describe:
		if message.ObjectType == 'S' && session.statements[message.Name] == nil {
			return errNoStatement(message.Name)
		}
		copied := *message
		session.addToBatch(&copied, 0)
	case *pgproto3.Execute:
		copied := *message
		session.addToBatch(&copied, 0)
		// A later Bind in the batch may give the portal's name to another.
		if found := session.portals[message.Portal]; found != nil {
			session.executed = append(session.executed, found)
		}
	case *pgproto3.Close:
		copied := *message
		session.addToBatch(&copied, 0)
	}
	if session.batchBytes > session.server.MaxMessage {
		return fault.Refuse(fault.CodeProtocol, fault.ReasonTooLarge, "too many bytes before Sync")
	}
	return nil
}

// messageOverhead is counted for each message, whatever its content.
const messageOverhead = 64

func (session *session) addToBatch(message pgproto3.FrontendMessage, size int) {
	session.batch = append(session.batch, message)
	session.batchBytes += size + messageOverhead
}

func errNoStatement(name string) error {
	// invalid_sql_statement_name
	return fault.Refuse("26000", fault.ReasonBadMessage, "prepared statement \""+name+"\" does not exist")
}

func copyBind(message *pgproto3.Bind) (*pgproto3.Bind, int) {
	copied := *message
	size := 0
	for _, value := range message.Parameters {
		size += len(value)
	}
	values := make([]byte, 0, size)
	copied.Parameters = make([][]byte, len(message.Parameters))
	for i, value := range message.Parameters {
		if value == nil {
			continue
		}
		start := len(values)
		values = append(values, value...)
		copied.Parameters[i] = values[start:len(values):len(values)]
	}
	copied.ParameterFormatCodes = append([]int16(nil), message.ParameterFormatCodes...)
	copied.ResultFormatCodes = append([]int16(nil), message.ResultFormatCodes...)
	return &copied, size
}

// takeBatch makes a request of the collected messages.
func (session *session) takeBatch(end pgproto3.FrontendMessage) *request {
	_, hasSync := end.(*pgproto3.Sync)
	req := &request{messages: append(session.batch, end), hasSync: hasSync, kind: stmt.Read, bytes: session.batchBytes}
	for _, found := range session.executed {
		req.text = found.parse.Query
		req.mayCommit = req.mayCommit || found.mayCommit
		if found.kind != stmt.Read || session.isKnownWrite(found.parse.Query) {
			req.kind = found.kind
		}
	}
	session.executed = nil
	session.batch, session.batchBytes = nil, 0
	return req
}

// closeStatements carries out the Close messages of a request.
func (session *session) closeStatements(req *request) {
	for _, message := range req.messages {
		if message, ok := message.(*pgproto3.Close); ok && message.ObjectType == 'S' {
			delete(session.statements, message.Name)
		}
	}
}
