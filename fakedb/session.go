package fakedb

import (
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/group"
	"github.com/bramleydoor/bramleydoor/posn"
)

func (slot *Slot) init() {
	if slot.conns == nil {
		slot.conns = make(map[net.Conn]struct{})
		slot.sessions = make(map[uint32]*session)
		slot.changed = make(chan struct{})
		slot.unlock = newCond(&slot.mu)
	}
	if slot.locks == nil {
		slot.locks = make(map[string]*transaction)
	}
}

func (slot *Slot) serveData(listener net.Listener) {
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
	slot.waitStall()
	slot.mu.Lock()
	drops := slot.drops
	slot.mu.Unlock()
	if !slot.group.admit(slot) {
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
		_ = backend.Flush()
		return
	}
	defer slot.release(drops)
	if slot.group.ConnectCost > 0 {
		time.Sleep(slot.group.ConnectCost)
	}
	session := &session{
		slot:       slot,
		backend:    backend,
		statements: make(map[string]*prepared),
		portals:    make(map[string]*portal),
		cancelled:  make(chan struct{}, 1),
	}
	defer session.end()
	pid := slot.register(session)
	defer slot.unregister(pid)
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte{0, 0, 0, 1}})
	session.ready()
	session.loop()
}

// session is one connection to a slot.
type session struct {
	slot       *Slot
	backend    *pgproto3.Backend
	tx         *transaction
	failed     bool
	skipping   bool
	statements map[string]*prepared
	portals    map[string]*portal
	reported   posn.Position
	cancelled  chan struct{}
}

func (slot *Slot) register(session *session) uint32 {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.lastPID++
	slot.sessions[slot.lastPID] = session
	return slot.lastPID
}

func (slot *Slot) unregister(pid uint32) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	delete(slot.sessions, pid)
}

// cancel ends the statement that a session sleeps in.
func (slot *Slot) cancel(pid uint32) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if session, ok := slot.sessions[pid]; ok {
		select {
		case session.cancelled <- struct{}{}:
		default:
		}
	}
}

type prepared struct {
	text string
	form *form
	args []string
}

type portal struct {
	prepared *prepared
	params   []string
}

func (session *session) loop() {
	for {
		message, err := session.backend.Receive()
		if err != nil {
			return
		}
		session.slot.waitStall()
		if !session.handle(message) {
			return
		}
	}
}

func (session *session) handle(message pgproto3.FrontendMessage) bool {
	switch message := message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		session.simple(message.String)
		return session.ready()
	case *pgproto3.Sync:
		session.skipping = false
		session.endImplicit()
		return session.ready()
	case *pgproto3.Flush:
		return session.backend.Flush() == nil
	}
	if session.skipping {
		return true
	}
	if err := session.extended(message); err != nil {
		session.fail(err)
		session.skipping = true
	}
	return true
}

func (session *session) extended(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		return session.parse(message)
	case *pgproto3.Bind:
		return session.bind(message)
	case *pgproto3.Describe:
		return session.describe(message)
	case *pgproto3.Execute:
		p, ok := session.portals[message.Portal]
		if !ok {
			return pgError{"34000", "no such portal"}
		}
		return session.execute(p.prepared, p.params)
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

const textOID = 25

func (session *session) describe(message *pgproto3.Describe) error {
	var statement *prepared
	if message.ObjectType == 'S' {
		statement = session.statements[message.Name]
	} else if p := session.portals[message.Name]; p != nil {
		statement = p.prepared
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

func (session *session) simple(text string) {
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
			session.fail(err)
			return
		}
	}
	session.endImplicit()
}

// execute runs a statement; without an open transaction it has one of its own
// that endImplicit commits.
func (session *session) execute(statement *prepared, params []string) error {
	if session.failed && !statement.form.endsTransaction {
		return pgError{"25P02", "current transaction is aborted"}
	}
	if session.tx == nil {
		session.tx = &transaction{slot: session.slot, implicit: true}
	}
	session.report()
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
	session.report()
	// The tag of a commit may follow only once the commit has been made.
	if session.tx != nil && session.tx.implicit {
		if err := session.commit(); err != nil {
			return err
		}
	}
	session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(result.tag)})
	return nil
}

func (session *session) commit() error {
	tx := session.tx
	session.tx, session.failed = nil, false
	position, err := tx.commit()
	if err != nil {
		return err
	}
	if !position.IsZero() {
		session.reportAt(position)
	}
	return nil
}

func (session *session) endImplicit() {
	if session.tx != nil && session.tx.implicit {
		session.tx.rollback()
		session.tx = nil
	}
}

// report tells the position that the statement saw.
func (session *session) report() {
	session.slot.mu.Lock()
	position := session.slot.held()
	session.slot.mu.Unlock()
	session.reportAt(position)
}

func (session *session) reportAt(position posn.Position) {
	if session.reported == position {
		return
	}
	session.reported = position
	session.backend.Send(&pgproto3.ParameterStatus{Name: group.PositionParameter, Value: position.String()})
}

func (session *session) fail(err error) {
	failure, ok := err.(pgError)
	if !ok {
		failure = pgError{"XX000", err.Error()}
	}
	if session.tx != nil && session.tx.implicit {
		session.endImplicit()
	} else if session.tx != nil {
		session.failed = true
	}
	session.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: failure.code, Message: failure.message})
}

func (session *session) ready() bool {
	status := byte('I')
	if session.tx != nil {
		status = 'T'
		if session.failed {
			status = 'E'
		}
	}
	session.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return session.backend.Flush() == nil
}

func (session *session) end() {
	if session.tx != nil {
		session.tx.rollback()
	}
}

// pgError is an error with an SQLSTATE.
type pgError struct{ code, message string }

func (e pgError) Error() string { return e.message + " (SQLSTATE " + e.code + ")" }
