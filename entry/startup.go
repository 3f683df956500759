package entry

import (
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/stmt"
)

// startupParameters are reported to callers after authentication. The values are
// fixed, since a startup does not use a connection to the database.
var startupParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

const secretBytes = 4

// newCancelKey returns a random process number and secret for cancel requests.
func newCancelKey() (pid uint32, secret []byte) {
	var random [4 + secretBytes]byte
	_, _ = rand.Read(random[:])
	// The highest bit stays clear, since some drivers read the process number as a
	// signed integer.
	pid = binary.BigEndian.Uint32(random[:4]) &^ (1 << 31)
	return pid, random[4:]
}

func (session *session) hasSecret(secret []byte) bool {
	return subtle.ConstantTimeCompare(session.secret, secret) == 1
}

// startup runs the protocol up to the first ReadyForQuery. If it returns no error and
// session.backend is nil, the connection was for a cancel request and is done.
func (session *session) startup() error {
	server := session.server
	if err := session.conn.SetDeadline(time.Now().Add(server.StartupTimeout)); err != nil {
		return err
	}
	backend := session.newBackend()
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return fault.Refuse(fault.CodeProtocol, fault.ReasonBadMessage, "malformed startup message")
		}
		switch message := message.(type) {
		case *pgproto3.SSLRequest:
			if backend, err = session.negotiateTLS(backend); err != nil {
				return err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := session.conn.Write([]byte{'N'}); err != nil {
				return err
			}
		case *pgproto3.CancelRequest:
			session.handleCancelRequest(message)
			return nil
		case *pgproto3.StartupMessage:
			return session.openSession(backend, message)
		}
	}
}

// negotiateTLS answers an SSLRequest and returns the backend for what follows.
func (session *session) negotiateTLS(backend *pgproto3.Backend) (*pgproto3.Backend, error) {
	if session.server.TLS == nil {
		_, err := session.conn.Write([]byte{'N'})
		return backend, err
	}
	if _, err := session.conn.Write([]byte{'S'}); err != nil {
		return nil, err
	}
	session.conn = tls.Server(session.conn, session.server.TLS)
	return session.newBackend(), nil
}

// newBackend returns a protocol backend for the startup on the current connection.
func (session *session) newBackend() *pgproto3.Backend {
	session.startupReader = newStartupReader(session.conn)
	return pgproto3.NewBackend(session.startupReader, session.conn)
}

// handleCancelRequest cancels a request on this VM, or forwards the cancel request
// to the other VMs.
func (session *session) handleCancelRequest(cancel *pgproto3.CancelRequest) {
	if session.server.CancelLocal(cancel.ProcessID, cancel.SecretKey) {
		return
	}
	if session.server.Cancel != nil {
		session.server.Cancel(cancel.ProcessID, cancel.SecretKey)
	}
}

// openSession authenticates the caller and registers the session.
func (session *session) openSession(backend *pgproto3.Backend, startup *pgproto3.StartupMessage) error {
	session.backend = backend
	backend.SetMaxBodyLen(session.server.MaxMessageBytes)
	session.user = startup.Parameters["user"]
	session.database = startup.Parameters["database"]
	if session.database == "" {
		session.database = session.user
	}
	if err := session.authenticate(); err != nil {
		return err
	}
	if session.server.IsReady != nil && !session.server.IsReady() {
		refusal := fault.Refuse(fault.CodeUnavailable, fault.ReasonStarting, "the VM is starting and not ready for connections")
		refusal.RetryAfter = time.Second
		return refusal
	}
	groupRouter, ok := session.server.Lookup(session.database)
	if !ok {
		refusal := fault.Refuse(fault.CodeNoDatabase, fault.ReasonUnknownDatabase, "unknown database: "+session.database)
		return refusal
	}
	session.router = groupRouter
	if err := session.applyOptions(startup.Parameters); err != nil {
		return err
	}
	if err := session.server.add(session); err != nil {
		return err
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	for i := range startupParameters {
		backend.Send(&startupParameters[i])
	}
	backend.Send(&pgproto3.BackendKeyData{ProcessID: session.pid, SecretKey: session.secret})
	session.status = 'I'
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := backend.Flush(); err != nil {
		return err
	}
	return session.conn.SetDeadline(time.Time{})
}

// applyOptions applies settings that are startup parameters themselves, and those in
// the options parameter in the form -c name=value.
func (session *session) applyOptions(parameters map[string]string) error {
	for name, value := range parameters {
		switch {
		case name == "options":
			if err := session.applyCommandLine(value); err != nil {
				return err
			}
		case strings.HasPrefix(strings.ToLower(name), settingPrefix):
			if err := session.changeSetting(strings.ToLower(name), value, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyCommandLine applies the settings of the options startup parameter.
func (session *session) applyCommandLine(options string) error {
	for _, option := range stmt.SplitOptions(options) {
		name, value, ok := strings.Cut(option, "=")
		if !ok {
			return fault.Refuse(fault.CodeInvalidSetting, fault.ReasonBadMessage, "startup option "+option+" needs the form name=value")
		}
		name = strings.ToLower(strings.ReplaceAll(name, "-", "_"))
		if strings.HasPrefix(name, settingPrefix) {
			if err := session.changeSetting(name, value, false); err != nil {
				return err
			}
			continue
		}
		if err := session.addUpstreamSetting("SET " + quoteName(name) + " = " + quoteText(value)); err != nil {
			return err
		}
	}
	return nil
}

func quoteText(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

func quoteName(name string) string {
	parts := strings.Split(name, ".")
	for i, part := range parts {
		parts[i] = `"` + strings.ReplaceAll(part, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}

// refuseStartup reports a failed startup to the caller. Errors that are not a
// fault.Error, such as a broken connection, are not reported.
func (session *session) refuseStartup(err error) {
	var failure *fault.Error
	if !errors.As(err, &failure) {
		return
	}
	session.server.Stats.RecordRefusal(failure.Reason)
	session.server.Events.Write(event.CallerRefused, event.Fields{
		"reason": string(failure.Reason), "remote": session.conn.RemoteAddr().String(),
	})
	backend := session.backend
	if backend == nil {
		backend = pgproto3.NewBackend(session.conn, session.conn)
	}
	backend.Send(errorResponse("FATAL", failure))
	_ = backend.Flush()
}

func errorResponse(severity string, failure *fault.Error) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                failure.Code,
		Message:             failure.Message,
		Detail:              failure.Detail(),
	}
}
