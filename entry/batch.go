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

// maxStatements bounds the prepared statements of one session. The error message
// states it.
const maxStatements = 1000

// statement is a caller's prepared statement. It has the same name on each
// connection to the database, so that any of them can run it.
type statement struct {
	parse        pgproto3.Parse
	upstreamName string
	kind         stmt.Kind
	command      *stmt.SettingCommand
	// mayCommit is set if running the statement may commit a transaction.
	mayCommit bool
}

func newStatement(message *pgproto3.Parse) *statement {
	statement := &statement{parse: *message, kind: stmt.Classify(message.Query)}
	statement.parse.ParameterOIDs = append([]uint32(nil), message.ParameterOIDs...)
	statement.upstreamName = upstreamStatementName(message)
	statement.command, _ = stmt.ParseSettingCommand(message.Query)
	statement.mayCommit = stmt.MayCommit(message.Query)
	return statement
}

// upstreamStatementName derives a statement's name from its text and parameter
// types. The hash is cryptographic, since on a collision one caller would run
// another caller's statement.
func upstreamStatementName(message *pgproto3.Parse) string {
	hash := sha256.New()
	hash.Write([]byte(message.Query))
	// The text ends here: in the protocol it has no zero byte.
	hash.Write([]byte{0})
	for _, oid := range message.ParameterOIDs {
		var bytes [4]byte
		binary.BigEndian.PutUint32(bytes[:], oid)
		hash.Write(bytes[:])
	}
	// The first 128 bits of the hash make the name.
	const nameBytes = 16
	return "bd" + hex.EncodeToString(hash.Sum(nil)[:nameBytes])
}

// request is a unit of work that is sent to a slot: a simple query, or a batch of
// extended-protocol messages up to a Sync or Flush.
type request struct {
	messages []pgproto3.FrontendMessage
	// statements has the prepared statement of each of the first messages, or nil. The names
	// may have had other statements since.
	statements []*statement
	kind       stmt.Kind
	mayCommit  bool
	// isSimple is set for a single Query message.
	isSimple bool
	// hasSync is set if the answer ends with ReadyForQuery.
	hasSync bool
	// text is the statement, or the last one that a batch executes.
	text string
	// sizeBytes is the size of the request's content.
	sizeBytes int
}

// expectation is one expected message of an answer.
type expectation struct {
	kind answerKind
	// preparedName is the statement that is prepared on the connection once its
	// ParseComplete arrives.
	preparedName string
}

type answerKind int

const (
	// expectLocal is answered by the proxy, with a message of expectedAnswers.local.
	expectLocal answerKind = iota
	expectParse
	// expectHidden is the ParseComplete of a Parse that the proxy added; the caller
	// does not receive it.
	expectHidden
	expectBind
	expectDescribe
	expectExecute
	expectClose
)

// Answers to Parse and Close messages that are not sent to the database.
var (
	localParseComplete = &pgproto3.ParseComplete{}
	localCloseComplete = &pgproto3.CloseComplete{}
)

// expectedAnswers lists the answers to one request, in order. Some are sent by the
// database, the others by the proxy itself.
type expectedAnswers struct {
	items []expectation
	// local maps indexes in items to the proxy's own messages.
	local map[int]pgproto3.BackendMessage
	next  int
}

func (answers *expectedAnswers) expect(kind answerKind) {
	answers.items = append(answers.items, expectation{kind: kind})
}

func (answers *expectedAnswers) expectParse(kind answerKind, name string) {
	answers.items = append(answers.items, expectation{kind: kind, preparedName: name})
}

// expectLocal adds an answer that the proxy sends itself.
func (answers *expectedAnswers) expectLocal(message pgproto3.BackendMessage) {
	if answers.local == nil {
		answers.local = make(map[int]pgproto3.BackendMessage)
	}
	answers.local[len(answers.items)] = message
	answers.expect(expectLocal)
}

// takeLocal removes and returns the proxy's own answers that are due now.
func (answers *expectedAnswers) takeLocal() []pgproto3.BackendMessage {
	var due []pgproto3.BackendMessage
	for answers.next < len(answers.items) && answers.items[answers.next].kind == expectLocal {
		due = append(due, answers.local[answers.next])
		answers.next++
	}
	return due
}

func (answers *expectedAnswers) isDone() bool { return answers.next >= len(answers.items) }

// abort drops the remaining answers: after an error, the database skips them.
func (answers *expectedAnswers) abort() { answers.next = len(answers.items) }

// match consumes the next expected answer if the database's message completes it.
// It reports whether the message must be hidden from the caller.
func (answers *expectedAnswers) match(conn *pool.Conn, message pgproto3.BackendMessage) (isHidden bool) {
	if answers.isDone() {
		return false
	}
	expected := answers.items[answers.next]
	if !completes(expected.kind, message) {
		return false
	}
	answers.next++
	if expected.preparedName != "" {
		conn.SetPrepared(expected.preparedName)
	}
	return expected.kind == expectHidden
}

// completes reports whether a message is the last one of an answer.
func completes(kind answerKind, message pgproto3.BackendMessage) bool {
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

// sendRequest buffers a request on a connection. Statements that are not prepared
// there yet are prepared first.
func (session *session) sendRequest(conn *pool.Conn, request *request) *expectedAnswers {
	answers := new(expectedAnswers)
	sentNames := make(map[string]bool)
	for i, message := range request.messages {
		statement := request.statementOf(i)
		switch message := message.(type) {
		case *pgproto3.Parse:
			name := statement.upstreamName
			if conn.IsPrepared(name) || sentNames[name] {
				answers.expectLocal(localParseComplete)
				continue
			}
			sentNames[name] = true
			conn.Frontend.Send(&pgproto3.Parse{Name: name, Query: message.Query, ParameterOIDs: message.ParameterOIDs})
			answers.expectParse(expectParse, name)
		case *pgproto3.Bind:
			bind := *message
			bind.PreparedStatement = ensurePrepared(conn, answers, statement, sentNames)
			conn.Frontend.Send(&bind)
			answers.expect(expectBind)
		case *pgproto3.Describe:
			describe := *message
			if describe.ObjectType == 'S' {
				describe.Name = ensurePrepared(conn, answers, statement, sentNames)
			}
			conn.Frontend.Send(&describe)
			answers.expect(expectDescribe)
		case *pgproto3.Execute:
			conn.Frontend.Send(message)
			answers.expect(expectExecute)
		case *pgproto3.Close:
			if message.ObjectType == 'S' {
				answers.expectLocal(localCloseComplete)
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

// ensurePrepared sends a Parse unless the statement is prepared on the connection
// or its name is in sentNames, the names sent with this request. It returns the
// statement's name on the connection.
func ensurePrepared(conn *pool.Conn, answers *expectedAnswers, statement *statement, sentNames map[string]bool) string {
	if conn.IsPrepared(statement.upstreamName) || sentNames[statement.upstreamName] {
		return statement.upstreamName
	}
	sentNames[statement.upstreamName] = true
	parse := statement.parse
	parse.Name = statement.upstreamName
	conn.Frontend.Send(&parse)
	answers.expectParse(expectHidden, statement.upstreamName)
	return statement.upstreamName
}

// collectMessage adds an extended-protocol message to the current batch. The
// message is copied, since the protocol library reuses it.
func (session *session) collectMessage(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		if len(session.statements) >= maxStatements {
			return fault.Refuse(fault.CodeTooMany, fault.ReasonTooLarge, "more than 1000 prepared statements in one session")
		}
		statement := newStatement(message)
		session.statements[message.Name] = statement
		session.addToBatch(&statement.parse, statement, len(message.Query))
	case *pgproto3.Bind:
		statement := session.statements[message.PreparedStatement]
		if statement == nil {
			return errNoStatement(message.PreparedStatement)
		}
		bind, size := copyBind(message)
		session.portals[message.DestinationPortal] = statement
		session.addToBatch(bind, statement, size)
	case *pgproto3.Describe:
		statement := session.portals[message.Name]
		if message.ObjectType == 'S' {
			if statement = session.statements[message.Name]; statement == nil {
				return errNoStatement(message.Name)
			}
		}
		copied := *message
		session.addToBatch(&copied, statement, 0)
	case *pgproto3.Execute:
		copied := *message
		session.addToBatch(&copied, session.portals[message.Portal], 0)
	case *pgproto3.Close:
		if message.ObjectType == 'S' {
			delete(session.statements, message.Name)
		}
		copied := *message
		session.addToBatch(&copied, nil, 0)
	}
	if session.batchBytes > session.server.MaxMessageBytes {
		return fault.Refuse(fault.CodeProtocol, fault.ReasonTooLarge, "the messages before Sync exceed the size limit")
	}
	return nil
}

// messageOverheadBytes is added to each message's size, so that the size limit
// also bounds the number of small messages.
const messageOverheadBytes = 64

// addToBatch adds a message and its prepared statement, which is looked up now: a later
// message in the batch may give the statement's or portal's name to another one.
func (session *session) addToBatch(message pgproto3.FrontendMessage, statement *statement, size int) {
	session.batch = append(session.batch, message)
	session.batchStatements = append(session.batchStatements, statement)
	session.batchBytes += size + messageOverheadBytes
}

func errNoStatement(name string) error {
	// invalid_sql_statement_name
	return fault.Refuse("26000", fault.ReasonBadMessage, "prepared statement \""+name+"\" does not exist")
}

// copyBind returns a copy of the message and the total size of its parameters.
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

// takeBatch returns the collected messages as a request and starts a new batch.
func (session *session) takeBatch(end pgproto3.FrontendMessage) *request {
	_, hasSync := end.(*pgproto3.Sync)
	request := &request{
		messages: append(session.batch, end), statements: session.batchStatements, hasSync: hasSync, kind: stmt.Read,
		sizeBytes: session.batchBytes,
	}
	for i, statement := range request.statements {
		if _, ok := request.messages[i].(*pgproto3.Execute); !ok || statement == nil {
			continue
		}
		request.text = statement.parse.Query
		request.mayCommit = request.mayCommit || statement.mayCommit
		if statement.kind != stmt.Read || session.isKnownWrite(statement.parse.Query) {
			request.kind = statement.kind
		}
	}
	session.batch, session.batchStatements, session.batchBytes = nil, nil, 0
	return request
}

// statementOf returns the prepared statement that a message refers to, if any.
func (request *request) statementOf(index int) *statement {
	if index >= len(request.statements) {
		return nil
	}
	return request.statements[index]
}
