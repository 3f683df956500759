package entry

import (
	"context"
	"regexp"

	"github.com/bramleydoor/bramleydoor/stmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/route"
	"github.com/bramleydoor/bramleydoor/router"
)

// dispatch sends a request to a slot and the answer to the caller. An error of
// type fault.Error has not been reported to the caller yet; any other error ends
// the session.
func (session *session) dispatch(ctx context.Context, request *request) error {
	ctx, cancel := context.WithTimeout(ctx, session.router.GroupConfig().Rule.Wait())
	defer cancel()
	session.resetCancelled()
	session.setCancelWait(cancel)
	defer session.setCancelWait(nil)
	session.output.open()
	defer session.output.close()
	defer session.router.PollFastIfSlow()()
	if session.pinned != nil {
		return session.servePinned(ctx, request)
	}
	switch request.kind {
	case stmt.Commit, stmt.Rollback:
		// Outside of a transaction, these have no effect.
		tag := stmt.FirstWord(request.text)
		session.answerBatch(request, tag)
		if request.isSimple {
			return session.answerCommandTag(tag)
		}
		return session.answerReady()
	case stmt.Read, stmt.BeginReadOnly, stmt.Set:
		return session.serveRead(ctx, request)
	case stmt.Begin:
		if session.isReadOnly {
			return session.serveRead(ctx, request)
		}
	case stmt.Write:
		if session.settings.isKeyPending {
			return session.serveKeyed(ctx, request)
		}
	}
	return session.serveWrite(ctx, request)
}

// setCancelWait sets the function that ends the request's waits, or nil.
func (session *session) setCancelWait(cancel context.CancelFunc) {
	session.mu.Lock()
	defer session.mu.Unlock()
	session.cancelWait = cancel
}

// serveRead tries replicas first. A read has no effects, so it is retried as long
// as no part of its answer has been sent.
func (session *session) serveRead(ctx context.Context, request *request) error {
	minPosition, err := session.readMinPosition(ctx)
	if err != nil {
		return err
	}
	failed := make(map[string]bool)
	for {
		read := router.Read{Session: session.poolSession(), MinPosition: minPosition, MaxStaleness: session.settings.staleness, LastWrite: session.lastWrite, Failed: failed}
		conn, choice, err := session.router.AcquireForRead(ctx, read)
		if err != nil {
			return err
		}
		session.isStaleRead = choice.Reason == route.ReplicaWithinStaleness
		err = session.attempt(ctx, conn, request, choice.MinPosition)
		session.isStaleRead = false
		var lost *lostError
		switch {
		case err == nil:
			return nil
		case errors.Is(err, errRefusedWrite):
			session.recordWriteText(request.text)
			session.output.discardWithheld()
			session.router.Stats.RecordRoute(route.ToPrimaryReplicaRefusedWrite)
			return session.serveWrite(ctx, request)
		case errors.Is(err, errBehindMinPosition):
			session.router.Stats.RecordRetry(fault.ReasonStaleReplica)
		case errors.Is(err, pool.ErrNotSent):
			// The slot has not failed, so it stays a candidate.
			if ctx.Err() != nil || !session.router.TakeRetry(fault.ReasonUpstreamLost) {
				return notSentError(err)
			}
			continue
		case errors.As(err, &lost) || isRolledBack(err):
			if session.output.isPartlySent || ctx.Err() != nil || !session.router.TakeRetry(fault.ReasonUpstreamLost) {
				return session.lostReadError(err)
			}
		default:
			return err
		}
		session.output.discardWithheld()
		failed[choice.Slot] = true
	}
}

// isRolledBack reports whether a failover rolled back data that a read returned.
func isRolledBack(err error) bool {
	var failure *fault.Error
	return errors.As(err, &failure) && failure.Reason == fault.ReasonRolledBack
}

// lostReadError returns the error for a read that can't be retried.
func (session *session) lostReadError(err error) error {
	var failure *fault.Error
	if errors.As(err, &failure) {
		return failure
	}
	failure = fault.Lost(fault.ReasonUpstreamLost, "the connection to the database was lost during a read", err)
	failure.Code = fault.CodeConnection
	return failure
}

// serveWrite sends a request to the primary. A former primary that refuses the
// request has not run it, so the request waits for the next primary.
func (session *session) serveWrite(ctx context.Context, request *request) error {
	session.lastWrite = session.server.Clock.Now()
	minPosition, err := session.beginMinPosition(ctx, request)
	if err != nil {
		return err
	}
	for {
		conn, err := session.router.AcquireForWrite(ctx, session.poolSession(), session.minPosition)
		if err != nil {
			return err
		}
		err = session.attempt(ctx, conn, request, minPosition)
		var lost *lostError
		switch {
		case errors.Is(err, errRefusedWrite), errors.Is(err, errBehindMinPosition):
			if !session.router.TakeRetryAndWait(ctx, fault.ReasonNoPrimary) {
				return fault.Refuse(fault.CodeUnavailable, fault.ReasonNoPrimary, "no primary accepted the request before the deadline")
			}
			session.output.discardWithheld()
		case errors.Is(err, pool.ErrNotSent):
			if !session.router.TakeRetry(fault.ReasonUpstreamLost) {
				return notSentError(err)
			}
		case errors.As(err, &lost):
			return fault.Lost(fault.ReasonUpstreamLost, "the connection to the database was lost before the outcome was known", lost.cause)
		default:
			return err
		}
	}
}

// beginMinPosition returns the minimum position for a transaction that may write. Its
// reads are answered before anything is acknowledged, so a former primary must
// not answer them. A single statement needs no minimum position: its answer is
// withheld until it is acknowledged.
func (session *session) beginMinPosition(ctx context.Context, request *request) (posn.Position, error) {
	if request.kind != stmt.Begin {
		return posn.Position{}, nil
	}
	staleness := session.settings.staleness
	session.settings.staleness = 0
	defer func() { session.settings.staleness = staleness }()
	return session.readMinPosition(ctx)
}

// attempt runs a request on a newly acquired connection and answers it. Unless a
// transaction stays open on the connection, it is released or discarded, also
// after an error.
func (session *session) attempt(ctx context.Context, conn *pool.Conn, request *request, minPosition posn.Position) error {
	if err := session.applySettings(conn); err != nil {
		session.router.Pool.Discard(conn)
		return err
	}
	session.saveSettings()
	session.setActive(conn)
	result, err := session.exchange(conn, request, minPosition)
	session.setActive(nil)
	if err != nil {
		session.returnFailed(conn, err)
		return err
	}
	if request.kind == stmt.Set && !result.isError && isSessionSetting(request.text) {
		if err := session.addUpstreamSetting(request.text); err != nil {
			session.router.Pool.Discard(conn)
			return err
		}
	}
	session.router.Watch.RecordPosition(conn.Slot, conn.Position)
	if conn.Status != 'I' || !result.isReady {
		session.pinned, session.pinnedMinPosition = conn, minPosition
		return session.finishInTransaction(ctx, request)
	}
	position := conn.Position
	session.router.Pool.Release(conn, session.poolSession())
	return session.finish(ctx, position)
}

var transactionSettingPattern = regexp.MustCompile(`(?i)^SET\s+(LOCAL|TRANSACTION|CONSTRAINTS)\b`)

// isSessionSetting reports whether a SET lasts beyond its transaction.
func isSessionSetting(text string) bool {
	return !transactionSettingPattern.MatchString(stmt.SkipBlanks(text))
}

// applySettings repeats the session's settings on a connection.
func (session *session) applySettings(conn *pool.Conn) error {
	if len(session.upstreamSettings) == 0 {
		return nil
	}
	if _, err := conn.Exec(session.settingsQuery()); err != nil {
		return settingRefusedError(err)
	}
	return nil
}

func settingRefusedError(err error) error {
	failure := fault.Refuse(fault.CodeInvalidSetting, fault.ReasonBadMessage, "the database refused a session setting")
	failure.Cause = err
	return failure
}

// returnFailed returns a connection to the pool after a failed exchange. It can be
// reused only if the exchange ended with ReadyForQuery.
func (session *session) returnFailed(conn *pool.Conn, err error) {
	if errors.Is(err, errRefusedWrite) && conn.Status == 'I' {
		session.router.Pool.Release(conn, session.poolSession())
		return
	}
	session.router.Pool.Discard(conn)
}

// servePinned runs a request on the connection of the open transaction.
func (session *session) servePinned(ctx context.Context, request *request) error {
	conn := session.pinned
	if request.kind == stmt.Commit && session.settings.isKeyPending && conn.Status == 'T' {
		if err := session.recordKey(conn, "COMMIT"); err != nil {
			return session.failPinned(err, request)
		}
	}
	session.setActive(conn)
	result, err := session.exchange(conn, request, session.pinnedMinPosition)
	session.setActive(nil)
	if err != nil {
		return session.failPinned(err, request)
	}
	if request.kind == stmt.Set && !result.isError && isSessionSetting(request.text) {
		if err := session.addUpstreamSetting(request.text); err != nil {
			return session.failPinned(err, request)
		}
	}
	if request.kind == stmt.Reset && !result.isError {
		session.resetSettings(request)
	}
	session.router.Watch.RecordPosition(conn.Slot, conn.Position)
	if conn.Status != 'I' || !result.isReady {
		return session.finishInTransaction(ctx, request)
	}
	position := conn.Position
	session.pinned = nil
	session.endTransaction()
	if result.isError || result.tag == "ROLLBACK" {
		session.restoreSettings()
	}
	session.router.Pool.Release(conn, session.poolSession())
	return session.finish(ctx, position)
}

// failPinned discards the open transaction's connection. The database then rolls
// the transaction back, unless a COMMIT was sent. After pool.ErrNotSent none was.
//
// Messages that are not preceded by a BEGIN form a transaction that the Sync
// commits.
func (session *session) failPinned(err error, request *request) error {
	isCommit := request.mayCommit || session.pinned.Status == 'I' && request.hasSync
	session.router.Pool.Discard(session.pinned)
	session.pinned = nil
	session.restoreSettings()
	var failure *fault.Error
	if errors.As(err, &failure) {
		session.failTransaction(request)
		return failure
	}
	if errors.Is(err, pool.ErrNotSent) {
		session.failTransaction(request)
		return notSentError(err)
	}
	var lost *lostError
	if !errors.As(err, &lost) && !errors.Is(err, errBehindMinPosition) && !errors.Is(err, errRefusedWrite) {
		return err
	}
	if isCommit {
		session.endTransaction()
		return fault.Lost(fault.ReasonUpstreamLost, "the connection to the database was lost during the commit", err)
	}
	session.failTransaction(request)
	failure = fault.Refuse(fault.CodeConnection, fault.ReasonUpstreamLost, "the transaction was rolled back: the connection to the database was lost before the commit")
	failure.Cause = err
	return failure
}

// failTransaction puts the session into a failed transaction, so that the caller's
// next statements do not run outside of the transaction that they were meant for.
func (session *session) failTransaction(request *request) {
	if request.kind == stmt.Commit || request.kind == stmt.Rollback {
		session.endTransaction()
		return
	}
	session.isTransactionLost = true
	session.status = 'E'
}

// endTransaction undoes the effect of SET LOCAL. A pending request key is consumed:
// it does not apply to the next transaction.
func (session *session) endTransaction() {
	session.status = 'I'
	session.settings = session.sessionSettings
	session.settings.isKeyPending = false
	session.sessionSettings.isKeyPending = false
}

// finishInTransaction answers within a transaction. The results are provisional
// until the commit, so the answer is not withheld for an acknowledgement.
func (session *session) finishInTransaction(ctx context.Context, request *request) error {
	if session.status == 'I' && request.hasSync {
		if err := session.checkKeyAtBegin(ctx); err != nil {
			return session.failPinned(err, request)
		}
	}
	if request.hasSync {
		session.status = session.pinned.Status
		if err := session.output.add(&pgproto3.ReadyForQuery{TxStatus: session.status}); err != nil {
			return err
		}
	}
	session.output.release()
	return session.output.flush(session.conn)
}

// finish sends the end of an answer outside of a transaction, once the position
// that the answer depends on is acknowledged (rule 7).
func (session *session) finish(ctx context.Context, position posn.Position) error {
	session.status = 'I'
	err := session.awaitAcknowledgement(ctx, position)
	if err != nil && !session.mayAnswerUnacked(err) {
		session.output.discardWithheld()
		return err
	}
	if err == nil {
		session.raiseMinPosition(position)
	}
	if session.minPosition.Compare(session.reportedMinPosition) > 0 {
		session.reportedMinPosition = session.minPosition
		// From here on, the session's own answers keep its minimum position up to
		// date, so none has to be confirmed (rule 2).
		session.hasMinPosition = true
		token := session.server.Signer.Sign(session.database, session.minPosition)
		if err := session.output.add(&pgproto3.ParameterStatus{Name: sessionParameter, Value: token}); err != nil {
			return err
		}
	}
	if err := session.output.add(&pgproto3.ReadyForQuery{TxStatus: 'I'}); err != nil {
		return err
	}
	session.output.release()
	return session.output.flush(session.conn)
}

// mayAnswerUnacked reports whether an answer may be sent although its position is
// not known to be acknowledged. This holds for a replica's answer to a read with
// bounded staleness (rule 5): without a majority of slots, acknowledgement can't be
// established, and such reads must still be served. Data that a failover has rolled
// back is never returned.
func (session *session) mayAnswerUnacked(err error) bool {
	return session.isStaleRead && fault.From(err).Reason == fault.ReasonNotAcknowledged
}

// awaitAcknowledgement waits until a position is acknowledged.
func (session *session) awaitAcknowledgement(ctx context.Context, position posn.Position) error {
	if session.router.Watch.IsAcked(position) {
		return nil
	}
	if ctx.Err() != nil {
		// The deadline bounds the wait for a connection, and a long statement may
		// run past it. The acknowledgement has a timeout of its own.
		ctx = context.WithoutCancel(ctx)
	}
	rule := session.router.GroupConfig().Rule
	wait := rule.Wait()
	if session.isStaleRead {
		wait = rule.ReplicaWait()
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return session.router.Watch.WaitAcked(ctx, position)
}
