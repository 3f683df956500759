package fakedb

import (
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/group"
	"github.com/bramleydoor/bramleydoor/posn"
)

// init makes the slot's maps and channels at the first start, and its row locks at
// each start.
func (slot *Slot) init() {
	if slot.conns == nil {
		slot.conns = make(map[net.Conn]struct{})
		slot.sessionsByPID = make(map[uint32]*session)
		slot.progressChanged = make(chan struct{})
		slot.lockReleased = newCond(&slot.mu)
	}
	if slot.rowLocks == nil {
		slot.rowLocks = make(map[string]*transaction)
	}
}

func (slot *Slot) servePostgres(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		slot.track(conn)
		go func() {
			defer slot.untrack(conn)
			defer conn.Close()
			slot.serveConn(conn)
		}()
	}
}

// serveConn serves one connection, or one cancel request, until it ends.
func (slot *Slot) serveConn(conn net.Conn) {
	backend := pgproto3.NewBackend(conn, conn)
	startup, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if request, ok := startup.(*pgproto3.CancelRequest); ok {
		slot.cancel(request.ProcessID)
		return
	}
	slot.awaitStallEnd()
	slot.mu.Lock()
	dropCount := slot.dropCount
	slot.mu.Unlock()
	if !slot.group.admitConn(slot, dropCount) {
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
		_ = backend.Flush()
		return
	}
	defer slot.releaseConn(dropCount)
	if slot.group.ConnectDelay > 0 {
		time.Sleep(slot.group.ConnectDelay)
	}
	session := &session{
		slot:       slot,
		backend:    backend,
		statements: make(map[string]*prepared),
		portals:    make(map[string]*portal),
		settings:   make(map[string]string),
		cancelled:  make(chan struct{}, 1),
	}
	defer session.close()
	pid := slot.register(session)
	defer slot.unregister(pid)
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte{0, 0, 0, 1}})
	session.sendReady()
	session.serve()
}

// session is one connection to a slot.
type session struct {
	slot    *Slot
	backend *pgproto3.Backend
	tx      *transaction
	// isAborted says that a statement of the open transaction has failed.
	isAborted bool
	// isSkipping says that an extended query has failed and that messages are ignored
	// until the next Sync.
	isSkipping bool
	statements map[string]*prepared
	portals    map[string]*portal
	// settings are the session's settings, settingsAtBegin those before the open transaction. A
	// change replaces the map.
	settings, settingsAtBegin map[string]string
	// reportedPosition is the last position sent to the client.
	reportedPosition posn.Position
	// cancelled receives a value for each cancel request.
	cancelled chan struct{}
}

// register adds a session and returns its process ID.
func (slot *Slot) register(session *session) uint32 {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.lastPID++
	slot.sessionsByPID[slot.lastPID] = session
	return slot.lastPID
}

func (slot *Slot) unregister(pid uint32) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	delete(slot.sessionsByPID, pid)
}

// cancel cancels the sleep statement that a session is running.
func (slot *Slot) cancel(pid uint32) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if session, ok := slot.sessionsByPID[pid]; ok {
		select {
		case session.cancelled <- struct{}{}:
		default:
		}
	}
}

// prepared is a prepared statement.
type prepared struct {
	text string
	form *form
	args []string
}

// portal is a prepared statement with its parameters.
type portal struct {
	prepared *prepared
	params   []string
}

// serve handles messages until the connection ends.
func (session *session) serve() {
	for {
		message, err := session.backend.Receive()
		if err != nil {
			return
		}
		session.slot.awaitStallEnd()
		if !session.handle(message) {
			return
		}
	}
}

// handle handles one message and reports whether the session continues.
func (session *session) handle(message pgproto3.FrontendMessage) bool {
	switch message := message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		session.handleSimpleQuery(message.String)
		return session.sendReady()
	case *pgproto3.Sync:
		session.isSkipping = false
		session.rollbackImplicit()
		return session.sendReady()
	case *pgproto3.Flush:
		return session.backend.Flush() == nil
	}
	if session.isSkipping {
		return true
	}
	if err := session.handleExtendedQuery(message); err != nil {
		session.sendError(err)
		session.isSkipping = true
	}
	return true
}

// handleExtendedQuery handles a message of the extended query protocol.
func (session *session) handleExtendedQuery(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		return session.parse(message)
	case *pgproto3.Bind:
		return session.bind(message)
	case *pgproto3.Describe:
		return session.describe(message)
	case *pgproto3.Execute:
		portal, ok := session.portals[message.Portal]
		if !ok {
			return pgError{"34000", "no such portal"}
		}
		return session.execute(portal.prepared, portal.params)
	case *pgproto3.Close:
		delete(session.statements, message.Name)
		session.backend.Send(&pgproto3.CloseComplete{})
	default:
		return pgError{"0A000", fmt.Sprintf("stand-in does not take %T", message)}
	}
	return nil
}

func (session *session) parse(message *pgproto3.Parse) error {
	form, args, err := findForm(message.Query)
	if err != nil {
		return err
	}
	session.statements[message.Name] = &prepared{text: message.Query, form: form, args: args}
	session.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (session *session) bind(message *pgproto3.Bind) error {
	statement, ok := session.statements[message.PreparedStatement]
	if !ok {
		return pgError{"26000", "no such prepared statement"}
	}
	params := make([]string, len(message.Parameters))
	for i, parameter := range message.Parameters {
		params[i] = string(parameter)
	}
	session.portals[message.DestinationPortal] = &portal{prepared: statement, params: params}
	session.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// textOID is the object ID of the PostgreSQL type text.
const textOID = 25

func (session *session) describe(message *pgproto3.Describe) error {
	var statement *prepared
	if message.ObjectType == 'S' {
		statement = session.statements[message.Name]
	} else if portal := session.portals[message.Name]; portal != nil {
		statement = portal.prepared
	}
	if statement == nil {
		return pgError{"26000", "nothing to describe"}
	}
	if message.ObjectType == 'S' {
		oids := make([]uint32, countParams(statement.text))
		for i := range oids {
			oids[i] = textOID
		}
		session.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	}
	session.describeRows(statement)
	return nil
}

func (session *session) describeRows(statement *prepared) {
	columns := statement.form.columnsOf(statement.args)
	if len(columns) == 0 {
		session.backend.Send(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, column := range columns {
		fields[i] = pgproto3.FieldDescription{Name: []byte(column), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	session.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

func (session *session) handleSimpleQuery(text string) {
	for _, statement := range splitStatements(text) {
		form, args, err := findForm(statement)
		if err == nil {
			prepared := &prepared{text: statement, form: form, args: args}
			if len(form.columnsOf(args)) > 0 {
				session.describeRows(prepared)
			}
			err = session.execute(prepared, nil)
		}
		if err != nil {
			session.sendError(err)
			return
		}
	}
	session.rollbackImplicit()
}

// execute runs a statement. Without an open transaction the statement runs in an
// implicit one, which execute commits.
func (session *session) execute(statement *prepared, params []string) error {
	if session.isAborted && !statement.form.endsTransaction {
		return pgError{"25P02", "current transaction is aborted"}
	}
	if session.tx == nil {
		session.tx = &transaction{slot: session.slot, isImplicit: true}
	}
	session.reportLogEnd()
	result, err := statement.form.run(session, statement.args, params)
	if err != nil {
		return err
	}
	for _, row := range result.rows {
		session.backend.Send(&pgproto3.DataRow{Values: row})
	}
	if result.stream != nil {
		if err := result.stream(); err != nil {
			return err
		}
	}
	session.reportLogEnd()
	// The command tag acknowledges the commit, so it is sent only after the commit.
	if session.tx != nil && session.tx.isImplicit {
		if err := session.commit(); err != nil {
			return err
		}
	}
	session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(result.tag)})
	return nil
}

// commit commits the open transaction and reports the position of its commit.
func (session *session) commit() error {
	transaction := session.tx
	session.tx, session.isAborted = nil, false
	position, err := transaction.commit()
	if err != nil {
		return err
	}
	if !position.IsZero() {
		session.reportPosition(position)
	}
	return nil
}

// rollbackImplicit rolls back the open transaction if it is implicit.
func (session *session) rollbackImplicit() {
	if session.tx != nil && session.tx.isImplicit {
		session.tx.rollback()
		session.tx = nil
	}
}

// reportLogEnd sends the position of the last log entry to the client.
func (session *session) reportLogEnd() {
	session.slot.mu.Lock()
	position := session.slot.lastPosition()
	session.slot.mu.Unlock()
	session.reportPosition(position)
}

// reportPosition sends a position to the client if it differs from the last one sent.
func (session *session) reportPosition(position posn.Position) {
	if session.reportedPosition == position {
		return
	}
	session.reportedPosition = position
	session.backend.Send(&pgproto3.ParameterStatus{Name: group.PositionParameter, Value: position.String()})
}

// sendError sends an error to the client. It rolls back an implicit transaction and
// marks another open transaction as aborted.
func (session *session) sendError(err error) {
	failure, ok := err.(pgError)
	if !ok {
		failure = pgError{"XX000", err.Error()}
	}
	if session.tx != nil && session.tx.isImplicit {
		session.rollbackImplicit()
	} else if session.tx != nil {
		session.isAborted = true
	}
	session.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: failure.code, Message: failure.message})
}

// sendReady sends ReadyForQuery and reports whether the connection still works.
func (session *session) sendReady() bool {
	status := byte('I')
	if session.tx != nil {
		status = 'T'
		if session.isAborted {
			status = 'E'
		}
	}
	session.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return session.backend.Flush() == nil
}

// close rolls back the open transaction.
func (session *session) close() {
	if session.tx != nil {
		session.tx.rollback()
	}
}

// pgError is an error with an SQLSTATE.
type pgError struct{ code, message string }

func (pgError pgError) Error() string {
	return pgError.message + " (SQLSTATE " + pgError.code + ")"
}
