package entry

import (
	"context"

	"github.com/bramleydoor/bramleydoor/stmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/fault"
)

// serveLocal answers requests that are about the proxy's own settings, or that
// it must refuse. It returns false if the request is for a slot.
func (session *session) serveLocal(ctx context.Context, req *request) (bool, error) {
	if session.isBroken {
		return true, session.serveBroken(req)
	}
	switch req.kind {
	case stmt.Refused:
		return true, fault.Refuse(fault.CodeUnsupported, fault.ReasonUnsupported,
			"the statement needs a connection of its own, which a pooled session doesn't have: "+stmt.FirstWord(req.text))
	case stmt.Reset, stmt.Discard:
		if _, ok := stmt.ParseCommand(req.text); !ok && session.pinned == nil {
			return true, session.serveReset(req)
		}
	}
	if req.isSimple {
		found, ok := stmt.ParseCommand(req.text)
		if !ok {
			return false, nil
		}
		return true, session.serveCommand(ctx, found)
	}
	if !session.isAboutCommands(req) {
		return false, nil
	}
	return true, session.serveCommandBatch(ctx, req)
}

// serveBroken answers in a transaction whose connection was lost, as an
// upstream does in a failed one.
func (session *session) serveBroken(req *request) error {
	if req.kind != stmt.Commit && req.kind != stmt.Rollback {
		// in_failed_sql_transaction
		return fault.Refuse("25P02", fault.ReasonUpstreamLost, "the transaction was lost with its connection; end it with ROLLBACK")
	}
	session.isBroken = false
	session.endTransaction()
	if req.isSimple {
		return session.answerTag("ROLLBACK")
	}
	session.answerBatch(req, "ROLLBACK")
	return session.answerReady()
}

// answerBatch sends the answers to an extended batch with one statement that
// returns no rows.
func (session *session) answerBatch(req *request, tag string) {
	for _, message := range req.messages {
		switch message := message.(type) {
		case *pgproto3.Parse:
			session.sender.Send(madeParse)
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
			session.sender.Send(madeClose)
		}
	}
}

func (session *session) serveReset(req *request) error {
	tag := session.forgetSettings(req)
	if req.isSimple {
		return session.answerTag(tag)
	}
	session.answerBatch(req, tag)
	return session.answerReady()
}

func (session *session) serveCommand(ctx context.Context, found *stmt.Command) error {
	value, err := session.runCommand(ctx, found)
	if err != nil {
		return err
	}
	if found.Verb == "SHOW" {
		session.sender.Send(showDescription(found))
		session.sender.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	return session.answerTag(found.Verb)
}

const textOID = 25

func showDescription(found *stmt.Command) *pgproto3.RowDescription {
	field := pgproto3.FieldDescription{Name: []byte(found.Name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}}
}

// isAboutCommands reports whether any statement in the batch is about our own
// settings.
func (session *session) isAboutCommands(req *request) bool {
	for _, message := range req.messages {
		if found := session.statementOf(message); found != nil && found.command != nil {
			return true
		}
	}
	return false
}

// statementOf returns the statement that a message refers to, if any.
func (session *session) statementOf(message pgproto3.FrontendMessage) *statement {
	switch message := message.(type) {
	case *pgproto3.Parse:
		return session.statements[message.Name]
	case *pgproto3.Bind:
		return session.statements[message.PreparedStatement]
	case *pgproto3.Describe:
		if message.ObjectType == 'S' {
			return session.statements[message.Name]
		}
		return session.portals[message.Name]
	case *pgproto3.Execute:
		return session.portals[message.Portal]
	}
	return nil
}

func (session *session) serveCommandBatch(ctx context.Context, req *request) error {
	for _, message := range req.messages {
		if found := session.statementOf(message); found != nil && found.command == nil {
			return fault.Refuse(fault.CodeUnsupported, fault.ReasonUnsupported,
				"a batch can't mix bramley settings with other statements")
		}
	}
	for _, message := range req.messages {
		if err := session.answerCommandMessage(ctx, message); err != nil {
			return err
		}
	}
	if req.hasSync {
		return session.answerReady()
	}
	return session.sender.Flush()
}

func (session *session) answerCommandMessage(ctx context.Context, message pgproto3.FrontendMessage) error {
	found := session.statementOf(message)
	switch message := message.(type) {
	case *pgproto3.Parse:
		session.sender.Send(madeParse)
	case *pgproto3.Bind:
		session.sender.Send(&pgproto3.BindComplete{})
	case *pgproto3.Close:
		session.sender.Send(madeClose)
	case *pgproto3.Describe:
		if message.ObjectType == 'S' {
			session.sender.Send(&pgproto3.ParameterDescription{})
		}
		if found != nil && found.command.Verb == "SHOW" {
			session.sender.Send(showDescription(found.command))
			return nil
		}
		session.sender.Send(&pgproto3.NoData{})
	case *pgproto3.Execute:
		value, err := session.runCommand(ctx, found.command)
		if err != nil {
			return err
		}
		if found.command.Verb == "SHOW" {
			session.sender.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
		}
		session.sender.Send(&pgproto3.CommandComplete{CommandTag: []byte(found.command.Verb)})
	}
	return nil
}
