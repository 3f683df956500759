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
// that a key is committed atomically with the transaction that it identifies:
//
//	CREATE TABLE bramley_request (key text PRIMARY KEY, value text NOT NULL)
//
// The value is "committed TAG", where TAG is the command tag, or "aborted". The outcome
// of a key is the first word of its value, or "unknown" if it can't be determined. A
// query for the outcome of a key that has no row inserts "aborted". A transaction with
// that key then can't commit any more, so the outcome stays correct.
const (
	keyTable         = "bramley_request"
	outcomeCommitted = "committed"
	outcomeAborted   = "aborted"
	outcomeUnknown   = "unknown"
)

const codeUniqueViolation = "23505"

func selectKey(key string) string {
	return "SELECT value FROM " + keyTable + " WHERE key = " + quoteText(key)
}

func insertKey(key, value string) string {
	return "INSERT INTO " + keyTable + " (key, value) VALUES (" + quoteText(key) + ", " + quoteText(value) + ")"
}

// lookUpKey returns the value of the session's key, or "" if the key has no row.
func (session *session) lookUpKey(conn *pool.Conn) (string, error) {
	result, err := conn.Exec(selectKey(session.settings.key))
	if err != nil || len(result.Rows) == 0 {
		return "", err
	}
	return result.Rows[0][0], nil
}

// recordKey inserts the key, with the command tag, in the open transaction.
func (session *session) recordKey(conn *pool.Conn, tag string) error {
	_, err := conn.Exec(insertKey(session.settings.key, outcomeCommitted+" "+tag))
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &pgErr) && pgErr.Code == codeUniqueViolation:
		// The key has a row since it was looked up: another transaction with it has
		// committed, or a query for its outcome has recorded "aborted". This transaction
		// is rolled back.
		return keyUsedError("")
	case errors.As(err, &pgErr) && pgErr.Code == fault.CodeReadOnly:
		return err
	case errors.As(err, &pgErr):
		return &fault.Error{Verdict: fault.NotRun, Code: pgErr.Code, Reason: fault.ReasonKeyUsed, Message: "the request key could not be recorded: " + pgErr.Message}
	}
	return &lostError{err}
}

// keyUsedError returns the error for a key that already has an outcome. value is the key's
// value, or "" if it is not known. The verdict is ran if the transaction with the key has
// committed: for serveKeyed this is success, and it repeats the answer of the first run.
func keyUsedError(value string) *fault.Error {
	failure := fault.Refuse(fault.CodeKeyUsed, fault.ReasonKeyUsed, "the request key was already used, with the outcome: "+value)
	if strings.HasPrefix(value, outcomeCommitted) {
		failure.Verdict = fault.Ran
	}
	if value == "" {
		failure.Message = "the request key already has an outcome; read it with SHOW bramley.outcome"
	}
	return failure
}

// checkKeyAtBegin refuses a transaction whose key already has an outcome. It is
// called after BEGIN, before any other statement runs.
func (session *session) checkKeyAtBegin(ctx context.Context) error {
	if !session.settings.isKeyPending || session.pinned.Status != 'T' {
		return nil
	}
	value, err := session.lookUpKey(session.pinned)
	if err != nil {
		return &lostError{err}
	}
	if value == "" {
		return nil
	}
	session.output.discardWithheld()
	return session.acknowledgedKeyError(ctx, value, session.pinned.Position)
}

// acknowledgedKeyError returns the error for a key whose value was read at position, once
// that position is acknowledged: an outcome that a failover could still roll back is not
// reported.
func (session *session) acknowledgedKeyError(ctx context.Context, value string, position posn.Position) error {
	if err := session.awaitAcknowledgement(ctx, position); err != nil {
		return err
	}
	return keyUsedError(value)
}

// serveKeyed runs a single statement in a transaction with its key. If a transaction with
// the key has already committed, the statement is not run again, and the caller receives
// the command tag of the first run. If the outcome of the key is "aborted", the request is
// refused.
func (session *session) serveKeyed(ctx context.Context, request *request) error {
	conn, err := session.router.AcquireForWrite(ctx, session.poolSession(), session.minPosition)
	if err != nil {
		return err
	}
	position, value, err := session.runKeyed(conn, request)
	if err != nil {
		session.router.Pool.Discard(conn)
		if isReadOnlyRefusal(err) && session.router.TakeRetryAndWait(ctx, fault.ReasonNoPrimary) {
			session.output.discardWithheld()
			return session.serveKeyed(ctx, request)
		}
		return keyedError(err)
	}
	session.router.Pool.Release(conn, session.poolSession())
	if value == "" {
		session.endTransaction()
		return session.finish(ctx, position)
	}
	session.output.discardWithheld()
	// The verdict ran means that the first run has committed and is acknowledged.
	if err := session.acknowledgedKeyError(ctx, value, position); fault.From(err).Verdict != fault.Ran {
		return err
	}
	session.endTransaction()
	return session.answerRepeated(ctx, request, strings.TrimPrefix(value, outcomeCommitted+" "), position)
}

// runKeyed runs a statement with its key in one transaction. It returns the position of the
// commit and no value; or, if the key already has a row, its value and the position at
// which it was read; or neither, if the statement failed with an error of its own, which
// is then in the output.
func (session *session) runKeyed(conn *pool.Conn, request *request) (position posn.Position, value string, err error) {
	if err := session.applySettings(conn); err != nil {
		return position, "", err
	}
	if _, err := conn.Exec("BEGIN"); err != nil {
		return position, "", &beforeCommitError{err}
	}
	value, err = session.lookUpKey(conn)
	if err != nil {
		return position, "", &beforeCommitError{err}
	}
	if value != "" {
		_, err = conn.Exec("ROLLBACK")
		return conn.Position, value, err
	}
	session.isWithholding = true
	defer func() { session.isWithholding = false }()
	result, err := session.exchange(conn, request, posn.Position{})
	if err == nil && session.output.isWithheldTooLarge() {
		err = fault.Refuse(fault.CodeUnsupported, fault.ReasonTooLarge, "the answer to a request with a key exceeds 256 KiB")
	}
	if err != nil {
		return position, "", &beforeCommitError{err}
	}
	if result.isError {
		// The answer is the statement's own error; there is nothing to commit.
		_, err = conn.Exec("ROLLBACK")
		return posn.Position{}, "", err
	}
	if err := session.recordKey(conn, result.tag); err != nil {
		return position, "", &beforeCommitError{err}
	}
	if _, err := conn.Exec("COMMIT"); err != nil {
		return position, "", err
	}
	return conn.Position, "", nil
}

// isReadOnlyRefusal reports whether a slot refused a write because it is not the
// primary. The slot has then run nothing, and the transaction can't commit there.
func isReadOnlyRefusal(err error) bool {
	var pgErr *pgconn.PgError
	return errors.Is(err, errRefusedWrite) || errors.As(err, &pgErr) && pgErr.Code == fault.CodeReadOnly
}

// beforeCommitError is a failure before the COMMIT was sent: the database rolls the
// transaction back when the connection closes.
type beforeCommitError struct{ cause error }

func (beforeCommit *beforeCommitError) Error() string {
	return "failed before the commit: " + beforeCommit.cause.Error()
}
func (beforeCommit *beforeCommitError) Unwrap() error { return beforeCommit.cause }

// keyedError converts an error of runKeyed into one with a verdict. An error that has a
// verdict keeps it. Any other failure between the start of the transaction and the COMMIT
// is reported as a lost connection, also if the database answered one of the proxy's own
// statements with an error. At any other time, as during the COMMIT, an error message of
// the database means that the transaction did not run, and a failure of the connection
// gives the verdict unknown.
func keyedError(err error) error {
	var failure *fault.Error
	if errors.As(err, &failure) {
		return failure
	}
	var beforeCommit *beforeCommitError
	if errors.As(err, &beforeCommit) {
		failure = fault.Refuse(fault.CodeConnection, fault.ReasonUpstreamLost, "the transaction was rolled back: the connection to the database was lost before the commit")
		failure.Cause = err
		return failure
	}
	if errors.Is(err, pool.ErrNotSent) {
		return notSentError(err)
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return &fault.Error{Verdict: fault.NotRun, Code: pgErr.Code, Reason: fault.ReasonNoPrimary, Message: pgErr.Message}
	}
	return fault.Lost(fault.ReasonUpstreamLost, "the connection to the database was lost during the commit; read the outcome with SHOW bramley.outcome", err)
}

// answerRepeated answers a repeated request with the first run's command tag.
func (session *session) answerRepeated(ctx context.Context, request *request, tag string, position posn.Position) error {
	complete := &pgproto3.CommandComplete{CommandTag: []byte(tag)}
	if request.isSimple {
		if err := session.output.add(complete); err != nil {
			return err
		}
		return session.finish(ctx, position)
	}
	session.answerBatch(request, tag)
	if err := session.sender.Flush(); err != nil {
		return err
	}
	return session.finish(ctx, position)
}

// keyOutcome returns the outcome of the transaction with a key: "committed",
// "aborted" or "unknown". If the key has no outcome yet, "aborted" is recorded, so that
// the transaction can't commit later. The outcome is "unknown" if the key could not be
// read at the primary, or its position was not acknowledged in time.
func (session *session) keyOutcome(ctx context.Context, key string) (string, error) {
	if key == "" {
		return "", invalidSetting("bramley.outcome needs a request key: set bramley.requestKey first")
	}
	if session.pinned != nil {
		return "", invalidSetting("bramley.outcome can't be read within a transaction")
	}
	ctx, cancel := context.WithTimeout(ctx, session.router.GroupConfig().Rule.Wait())
	defer cancel()
	value, position, err := session.resolveKey(ctx, key)
	if err != nil {
		session.server.Stats.RecordRefusal(fault.ReasonNotAcknowledged)
		return outcomeUnknown, nil
	}
	session.raiseMinPosition(position)
	session.settings.isKeyPending = false
	session.sessionSettings.isKeyPending = false
	outcome, _, _ := strings.Cut(value, " ")
	return outcome, nil
}

// resolveKey inserts "aborted" unless the key exists, and returns the key's value with the
// connection's position after reading it. It waits until that position is acknowledged.
func (session *session) resolveKey(ctx context.Context, key string) (string, posn.Position, error) {
	conn, err := session.router.AcquireForWrite(ctx, session.poolSession(), session.minPosition)
	if err != nil {
		return "", posn.Position{}, err
	}
	result := pool.Result{}
	_, err = conn.Exec(insertKey(key, outcomeAborted) + " ON CONFLICT (key) DO NOTHING")
	if err == nil {
		result, err = conn.Exec(selectKey(key))
	}
	if err != nil {
		session.router.Pool.Discard(conn)
		return "", posn.Position{}, err
	}
	position := conn.Position
	session.router.Pool.Release(conn, session.poolSession())
	if len(result.Rows) == 0 {
		return "", position, errors.New("request key not found after its insertion")
	}
	return result.Rows[0][0], position, session.awaitAcknowledgement(ctx, position)
}
