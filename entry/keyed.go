package entry

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/posn"
)

// Request keys (rule 13) are rows of a table in the caller's own database, so
// that a key and what it names commit together or not at all:
//
//	CREATE TABLE bramley_request (key text PRIMARY KEY, value text NOT NULL)
//
// The value is "committed TAG" or "aborted". Asking for the outcome of a key
// that has none inserts "aborted": from then on its transaction can't commit,
// which makes the answer true.
const (
	keyTable       = "bramley_request"
	outcomeDone    = "committed"
	outcomeAborted = "aborted"
	outcomeUnknown = "unknown"
)

const codeUniqueViolation = "23505"

func selectKey(key string) string {
	return "SELECT value FROM " + keyTable + " WHERE key = " + quoteText(key)
}

func insertKey(key, value string) string {
	return "INSERT INTO " + keyTable + " (key, value) VALUES (" + quoteText(key) + ", " + quoteText(value) + ")"
}

// findKey returns the recorded outcome of the session's key, if there is one.
func (session *session) findKey(conn *pool.Conn) (string, error) {
	found, err := conn.Exec(selectKey(session.settings.key))
	if err != nil || len(found.Rows) == 0 {
		return "", err
	}
	return found.Rows[0][0], nil
}

// recordKey adds the key to the open transaction.
func (session *session) recordKey(conn *pool.Conn, tag string) error {
	_, err := conn.Exec(insertKey(session.settings.key, outcomeDone+" "+tag))
	var upstream *pgconn.PgError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &upstream) && upstream.Code == codeUniqueViolation:
		// Another transaction with the key was first; this one is undone.
		return keyUsed("")
	case errors.As(err, &upstream) && upstream.Code == fault.CodeReadOnly:
		return err
	case errors.As(err, &upstream):
		return &fault.Error{Verdict: fault.NotRun, Code: upstream.Code, Reason: fault.ReasonKeyUsed, Message: "the request key could not be recorded: " + upstream.Message}
	}
	return &lostError{err}
}

// keyUsed says that a key has its outcome already.
func keyUsed(value string) *fault.Error {
	failure := fault.Refuse(fault.CodeKeyUsed, fault.ReasonKeyUsed, "the request key was settled before: "+value)
	if strings.HasPrefix(value, outcomeDone) {
		failure.Verdict = fault.Ran
	}
	if value == "" {
		failure.Message = "another transaction with the request key was first; ask for its outcome"
	}
	return failure
}

// checkKeyAtBegin refuses a transaction whose key has its outcome already, just
// after it began and before any of its statements ran.
func (session *session) checkKeyAtBegin(ctx context.Context) error {
	if !session.settings.isKeyArmed || session.pinned.Status != 'T' {
		return nil
	}
	value, err := session.findKey(session.pinned)
	if err != nil {
		return &lostError{err}
	}
	if value == "" {
		return nil
	}
	session.output.takeBack()
	return session.settledKey(ctx, value, session.pinned.Position)
}

// settledKey returns the error for a key that was found, once what was read is
// acknowledged: an outcome that a failover could still undo is not told.
func (session *session) settledKey(ctx context.Context, value string, seen posn.Position) error {
	if err := session.acknowledge(ctx, seen); err != nil {
		return err
	}
	return keyUsed(value)
}

// serveKeyed runs a single statement in a transaction with its key. A repeat is
// answered with the command tag of the first run.
func (session *session) serveKeyed(ctx context.Context, req *request) error {
	conn, err := session.holder.Write(ctx, session.who(), session.floor)
	if err != nil {
		return err
	}
	position, value, err := session.runKeyed(conn, req)
	if err != nil {
		session.holder.Pool.Discard(conn)
		if isReadOnlyRefusal(err) && session.holder.AwaitChange(ctx, fault.ReasonNoPrimary) {
			session.output.takeBack()
			return session.serveKeyed(ctx, req)
		}
		return keyedFailure(err)
	}
	session.holder.Pool.Release(conn, session.who())
	if value == "" {
		session.endTransaction()
		return session.finish(ctx, position)
	}
	session.output.takeBack()
	if err := session.settledKey(ctx, value, position); fault.From(err).Verdict != fault.Ran {
		return err
	}
	session.endTransaction()
	return session.answerRepeat(ctx, req, strings.TrimPrefix(value, outcomeDone+" "), position)
}

// runKeyed returns the commit's position, or the value of a key that was found.
func (session *session) runKeyed(conn *pool.Conn, req *request) (position posn.Position, value string, err error) {
	if err := session.applySettings(conn); err != nil {
		return position, "", err
	}
	if _, err := conn.Exec("BEGIN"); err != nil {
		return position, "", &notDispatchedError{err}
	}
	value, err = session.findKey(conn)
	if err != nil {
		return position, "", &notDispatchedError{err}
	}
	if value != "" {
		_, err = conn.Exec("ROLLBACK")
		return conn.Position, value, err
	}
	session.isHolding = true
	defer func() { session.isHolding = false }()
	outcome, err := session.exchange(conn, req, posn.Position{})
	if err == nil && session.output.isHeldFull() {
		err = fault.Refuse(fault.CodeUnsupported, fault.ReasonTooLarge, "the answer to a request with a key is too large")
	}
	if err != nil {
		return position, "", &notDispatchedError{err}
	}
	if outcome.isError {
		// The statement's own error is the answer; there is nothing to commit.
		_, err = conn.Exec("ROLLBACK")
		return posn.Position{}, "", err
	}
	if err := session.recordKey(conn, outcome.tag); err != nil {
		return position, "", &notDispatchedError{err}
	}
	if _, err := conn.Exec("COMMIT"); err != nil {
		return position, "", err
	}
	return conn.Position, "", nil
}

// isReadOnlyRefusal reports whether a slot refused a write because it does not
// lead. It has run nothing then, and the transaction can't commit there.
func isReadOnlyRefusal(err error) bool {
	var upstream *pgconn.PgError
	return errors.Is(err, errRefusedWrite) || errors.As(err, &upstream) && upstream.Code == fault.CodeReadOnly
}

// notDispatchedError marks a failure before the COMMIT was sent: the upstream
// rolls back when the connection closes.
type notDispatchedError struct{ cause error }

func (e *notDispatchedError) Error() string { return "before the commit: " + e.cause.Error() }
func (e *notDispatchedError) Unwrap() error { return e.cause }

func keyedFailure(err error) error {
	var failure *fault.Error
	if errors.As(err, &failure) {
		return failure
	}
	var early *notDispatchedError
	if errors.As(err, &early) {
		failure = fault.Refuse(fault.CodeConnection, fault.ReasonUpstreamLost, "the transaction was rolled back: its connection was lost")
		failure.Cause = err
		return failure
	}
	var upstream *pgconn.PgError
	if errors.As(err, &upstream) {
		return &fault.Error{Verdict: fault.NotRun, Code: upstream.Code, Reason: fault.ReasonNoPrimary, Message: upstream.Message}
	}
	return fault.Lost(fault.ReasonUpstreamLost, "the connection to the database was lost during the commit; ask for the outcome of the key", err)
}

// answerRepeat answers a repeated request with the first one's command tag.
func (session *session) answerRepeat(ctx context.Context, req *request, tag string, position posn.Position) error {
	complete := &pgproto3.CommandComplete{CommandTag: []byte(tag)}
	if req.isSimple {
		if err := session.output.add(complete); err != nil {
			return err
		}
		return session.finish(ctx, position)
	}
	session.answerBatch(req, tag)
	if err := session.sender.Flush(); err != nil {
		return err
	}
	return session.finish(ctx, position)
}

// outcomeOf answers whether the transaction with a key has committed. If it has
// no outcome, it is kept from ever having one but this.
func (session *session) outcomeOf(ctx context.Context, key string) (string, error) {
	if key == "" {
		return "", invalid("set bramley.requestKey first")
	}
	if session.pinned != nil {
		return "", invalid("ask for the outcome outside of a transaction")
	}
	ctx, cancel := context.WithTimeout(ctx, session.holder.Settings().Rule.Wait())
	defer cancel()
	value, position, err := session.settleKey(ctx, key)
	if err != nil {
		session.server.Stats.Refuse(fault.ReasonNotAcknowledged)
		return outcomeUnknown, nil
	}
	session.raiseFloor(position)
	session.settings.isKeyArmed = false
	session.outer.isKeyArmed = false
	outcome, _, _ := strings.Cut(value, " ")
	return outcome, nil
}

// settleKey inserts "aborted" unless the key is there, and reads what it is.
func (session *session) settleKey(ctx context.Context, key string) (string, posn.Position, error) {
	conn, err := session.holder.Write(ctx, session.who(), session.floor)
	if err != nil {
		return "", posn.Position{}, err
	}
	found := pool.Result{}
	_, err = conn.Exec(insertKey(key, outcomeAborted) + " ON CONFLICT (key) DO NOTHING")
	if err == nil {
		found, err = conn.Exec(selectKey(key))
	}
	if err != nil {
		session.holder.Pool.Discard(conn)
		return "", posn.Position{}, err
	}
	position := conn.Position
	session.holder.Pool.Release(conn, session.who())
	if len(found.Rows) == 0 {
		return "", position, errors.New("the key vanished")
	}
	return found.Rows[0][0], position, session.acknowledge(ctx, position)
}
