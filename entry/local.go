package entry

import (
	"context"

	"github.com/bramleydoor/bramleydoor/stmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/fault"
)

// serveLocal answers requests for the proxy's own settings and refuses those that
// are not supported. It returns false if the request must be sent to a slot.
func (session *session) serveLocal(ctx context.Context, request *request) (bool, error) {
	if session.isTransactionLost {
		return true, session.serveLostTransaction(request)
	}
	switch request.kind {
	case stmt.Unsupported:
		return true, fault.Refuse(fault.CodeUnsupported, fault.ReasonUnsupported,
			"the statement needs a dedicated connection, which a pooled session does not have: "+stmt.FirstWord(request.text))
	case stmt.Reset, stmt.Discard:
		if _, ok := stmt.ParseSettingCommand(request.text); !ok && session.pinned == nil {
			return true, session.serveReset(request)
		}
	}
	if request.isSimple {
		command, ok := stmt.ParseSettingCommand(request.text)
		if !ok {
			return false, nil
		}
		return true, session.serveCommand(ctx, command)
	}
	if !request.hasCommand() {
		return false, nil
	}
	return true, session.serveCommandBatch(ctx, request)
}

// serveLostTransaction answers in a transaction whose connection was lost, in the
// way that a database answers in a failed transaction.
func (session *session) serveLostTransaction(request *request) error {
	if request.kind != stmt.Commit && request.kind != stmt.Rollback {
		// in_failed_sql_transaction
		return fault.Refuse("25P02", fault.ReasonUpstreamLost, "the transaction failed because its connection was lost; end it with ROLLBACK")
	}
	session.isTransactionLost = false
	session.endTransaction()
	if request.isSimple {
		return session.answerCommandTag("ROLLBACK")
	}
	session.answerBatch(request, "ROLLBACK")
	return session.answerReady()
}

// answerBatch queues the answers to an extended batch with one statement that
// returns no rows.
func (session *session) answerBatch(request *request, tag string) {
	for _, message := range request.messages {
		switch message := message.(type) {
		case *pgproto3.Parse:
			session.sender.Send(localParseComplete)
		case *pgproto3.Bind:
			session.sender.Send(&pgproto3.BindComplete{})
		case *pgproto3.Describe:
			if message.ObjectType == 'S' {
				session.sender.Send(&pgproto3.ParameterDescription{})
			}
			session.sender.Send(&pgproto3.NoData{})
		case *pgproto3.Execute:
			session.sender.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		case *pgproto3.Close:
			session.sender.Send(localCloseComplete)
		}
	}
}

// serveReset runs RESET or DISCARD outside of a transaction.
func (session *session) serveReset(request *request) error {
	tag := session.resetSettings(request)
	if request.isSimple {
		return session.answerCommandTag(tag)
	}
	session.answerBatch(request, tag)
	return session.answerReady()
}

func (session *session) serveCommand(ctx context.Context, command *stmt.SettingCommand) error {
	value, err := session.runCommand(ctx, command)
	if err != nil {
		return err
	}
	if command.Verb == "SHOW" {
		session.sender.Send(showDescription(command))
		session.sender.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	return session.answerCommandTag(command.Verb)
}

// textOID is PostgreSQL's object identifier of the type text.
const textOID = 25

func showDescription(command *stmt.SettingCommand) *pgproto3.RowDescription {
	field := pgproto3.FieldDescription{Name: []byte(command.Name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}}
}

// hasCommand reports whether any statement in the batch sets, shows or resets one
// of the proxy's own settings.
func (request *request) hasCommand() bool {
	for _, statement := range request.statements {
		if statement != nil && statement.command != nil {
			return true
		}
	}
	return false
}

// serveCommandBatch answers a batch of commands for the proxy's own settings.
func (session *session) serveCommandBatch(ctx context.Context, request *request) error {
	for _, statement := range request.statements {
		if statement != nil && statement.command == nil {
			return fault.Refuse(fault.CodeUnsupported, fault.ReasonUnsupported,
				"a batch can't contain both bramley settings and other statements")
		}
	}
	for i, message := range request.messages {
		if isPortalUse(message) && request.statementOf(i) == nil {
			// invalid_cursor_name
			return fault.Refuse("34000", fault.ReasonBadMessage, "portal does not exist")
		}
		if err := session.answerCommandMessage(ctx, message, request.statementOf(i)); err != nil {
			return err
		}
	}
	if request.hasSync {
		return session.answerReady()
	}
	return session.sender.Flush()
}

// isPortalUse reports whether a message executes or describes a portal.
func isPortalUse(message pgproto3.FrontendMessage) bool {
	switch message := message.(type) {
	case *pgproto3.Execute:
		return true
	case *pgproto3.Describe:
		return message.ObjectType == 'P'
	}
	return false
}

func (session *session) answerCommandMessage(ctx context.Context, message pgproto3.FrontendMessage, statement *statement) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		session.sender.Send(localParseComplete)
	case *pgproto3.Bind:
		session.sender.Send(&pgproto3.BindComplete{})
	case *pgproto3.Close:
		session.sender.Send(localCloseComplete)
	case *pgproto3.Describe:
		if message.ObjectType == 'S' {
			session.sender.Send(&pgproto3.ParameterDescription{})
		}
		if statement.command.Verb == "SHOW" {
			session.sender.Send(showDescription(statement.command))
			return nil
		}
		session.sender.Send(&pgproto3.NoData{})
	case *pgproto3.Execute:
		value, err := session.runCommand(ctx, statement.command)
		if err != nil {
			return err
		}
		if statement.command.Verb == "SHOW" {
			session.sender.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
		}
		session.sender.Send(&pgproto3.CommandComplete{CommandTag: []byte(statement.command.Verb)})
	}
	return nil
}
