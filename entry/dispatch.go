package entry

import (
	"context"
	"regexp"

	"github.com/bramleydoor/bramleydoor/stmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/holder"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/route"
)

// dispatch sends a request to a slot and its answer to the caller. An error of
// type fault.Error is still to be answered; any other ends the session.
func (session *session) dispatch(ctx context.Context, req *request) error {
	ctx, cancel := context.WithTimeout(ctx, session.holder.Settings().Rule.Wait())
	defer cancel()
	session.takeCancel()
	session.setWait(cancel)
	defer session.setWait(nil)
	session.output.open()
	defer session.output.close()
	defer session.holder.WatchSlow()()
	if session.pinned != nil {
		return session.servePinned(ctx, req)
	}
	switch req.kind {
	case stmt.Commit, stmt.Rollback:
		// Outside of a transaction these do nothing.
		tag := stmt.FirstWord(req.text)
		session.answerBatch(req, tag)
		if req.isSimple {
			return session.answerTag(tag)
		}
		return session.answerReady()
	case stmt.Read, stmt.BeginReadOnly, stmt.Set:
		return session.serveRead(ctx, req)
	case stmt.Begin:
		if session.isReadOnly {
			return session.serveRead(ctx, req)
		}
	case stmt.Write:
		if session.settings.isKeyArmed {
			return session.serveKeyed(ctx, req)
		}
	}
	return session.serveWrite(ctx, req)
}

func (session *session) setWait(cancel context.CancelFunc) {
	session.mu.Lock()
	defer session.mu.Unlock()
	session.stopWait = cancel
}

// serveRead tries replicas first. A read has no effects, so it may be repeated
// as long as none of its answer is on the way.
func (session *session) serveRead(ctx context.Context, req *request) error {
	floor, err := session.readFloor(ctx)
	if err != nil {
		return err
	}
	failed := make(map[string]bool)
	for {
		read := holder.Read{Session: session.who(), Floor: floor, Staleness: session.settings.staleness, LastWrite: session.lastWrite, Failed: failed}
		conn, choice, err := session.holder.Read(ctx, read)
		if err != nil {
			return err
		}
		session.isAged = choice.Reason == route.ReplicaAged
		err = session.attempt(ctx, conn, req, choice.Floor)
		session.isAged = false
		var lost *lostError
		switch {
		case err == nil:
			return nil
		case errors.Is(err, errRefusedWrite):
			session.learnWrite(req.text)
			session.output.takeBack()
			session.holder.Stats.Route(route.PrimaryRefused)
			return session.serveWrite(ctx, req)
		case errors.Is(err, errBehind):
			session.holder.Stats.Retry(fault.ReasonStaleReplica)
		case errors.As(err, &lost) || isRolledBack(err):
			if session.output.isFlushed || ctx.Err() != nil || !session.holder.Retry(fault.ReasonUpstreamLost) {
				return session.lostRead(err)
			}
		default:
			return err
		}
		session.output.takeBack()
		failed[choice.Slot] = true
	}
}

func isRolledBack(err error) bool {
	var failure *fault.Error
	return errors.As(err, &failure) && failure.Reason == fault.ReasonRolledBack
}

func (session *session) lostRead(err error) error {
	var failure *fault.Error
	if errors.As(err, &failure) {
		return failure
	}
	failure = fault.Lost(fault.ReasonUpstreamLost, "the connection to the database was lost during a read", err)
	failure.Code = fault.CodeConnection
	return failure
}

// serveWrite sends a request to the primary. A primary that refuses because it
// leads no longer has not run it, so it waits for the next one.
func (session *session) serveWrite(ctx context.Context, req *request) error {
	session.lastWrite = session.server.Clock.Now()
	floor, err := session.beginFloor(ctx, req)
	if err != nil {
		return err
	}
	for {
		conn, err := session.holder.Write(ctx, session.who(), session.floor)
		if err != nil {
			return err
		}
		err = session.attempt(ctx, conn, req, floor)
		var lost *lostError
		switch {
		case errors.Is(err, errRefusedWrite), errors.Is(err, errBehind):
			if !session.holder.AwaitChange(ctx, fault.ReasonNoPrimary) {
				return fault.Refuse(fault.CodeUnavailable, fault.ReasonNoPrimary, "no primary took the request within the deadline")
			}
			session.output.takeBack()
		case errors.As(err, &lost):
			return fault.Lost(fault.ReasonUpstreamLost, "the connection to the database was lost before the outcome was known", lost.cause)
		default:
			return err
		}
	}
}

// beginFloor is the floor of a transaction that may write. Its reads are answered
// before anything is acknowledged, so a former primary must not answer them. A
// single statement needs none: its answer waits for the acknowledgement.
func (session *session) beginFloor(ctx context.Context, req *request) (posn.Position, error) {
	if req.kind != stmt.Begin {
		return posn.Position{}, nil
	}
	staleness := session.settings.staleness
	session.settings.staleness = 0
	defer func() { session.settings.staleness = staleness }()
	return session.readFloor(ctx)
}

// attempt runs a request on a fresh connection and answers it, or returns why
// it didn't. The connection is given back or closed in each case.
func (session *session) attempt(ctx context.Context, conn *pool.Conn, req *request, floor posn.Position) error {
	if err := session.applySettings(conn); err != nil {
		session.holder.Pool.Discard(conn)
		return err
	}
	session.setActive(conn)
	outcome, err := session.exchange(conn, req, floor)
	session.setActive(nil)
	if err != nil {
		session.giveBack(conn, err)
		return err
	}
	if req.kind == stmt.Set && !outcome.isError && isSessionSetting(req.text) {
		if err := session.addUpstreamSetting(req.text); err != nil {
			session.holder.Pool.Discard(conn)
			return err
		}
	}
	session.holder.Watch.Observe(conn.Slot, conn.Position)
	if conn.Status != 'I' || !outcome.isReady {
		session.pinned, session.pinnedFloor = conn, floor
		return session.finishOpen(ctx, req)
	}
	position := conn.Position
	session.holder.Pool.Release(conn, session.who())
	return session.finish(ctx, position)
}

var notSessionSetting = regexp.MustCompile(`(?i)^SET\s+(LOCAL|TRANSACTION|CONSTRAINTS)\b`)

func isSessionSetting(text string) bool { return !notSessionSetting.MatchString(stmt.SkipBlanks(text)) }

func (session *session) applySettings(conn *pool.Conn) error {
	if len(session.upstreamSettings) == 0 {
		return nil
	}
	if _, err := conn.Exec(session.settingsText()); err != nil {
		return invalidUpstream(err)
	}
	return nil
}

func invalidUpstream(err error) error {
	failure := fault.Refuse(fault.CodeInvalidSetting, fault.ReasonBadMessage, "the database refused a session setting")
	failure.Cause = err
	return failure
}

// giveBack returns a connection after a failed exchange. It is good only if the
// exchange ended at ReadyForQuery.
func (session *session) giveBack(conn *pool.Conn, err error) {
	if errors.Is(err, errRefusedWrite) && conn.Status == 'I' {
		session.holder.Pool.Release(conn, session.who())
		return
	}
	session.holder.Pool.Discard(conn)
}

// servePinned continues a transaction.
func (session *session) servePinned(ctx context.Context, req *request) error {
	conn := session.pinned
	if req.kind == stmt.Commit && session.settings.isKeyArmed && conn.Status == 'T' {
		if err := session.recordKey(conn, "COMMIT"); err != nil {
			return session.failPinned(err, req)
		}
	}
	session.setActive(conn)
	outcome, err := session.exchange(conn, req, session.pinnedFloor)
	session.setActive(nil)
	if err != nil {
		return session.failPinned(err, req)
	}
	if req.kind == stmt.Set && !outcome.isError && isSessionSetting(req.text) {
		if err := session.addUpstreamSetting(req.text); err != nil {
			return session.failPinned(err, req)
		}
	}
	if req.kind == stmt.Reset && !outcome.isError {
		session.forgetSettings(req)
	}
	session.holder.Watch.Observe(conn.Slot, conn.Position)
	if conn.Status != 'I' || !outcome.isReady {
		return session.finishOpen(ctx, req)
	}
	position := conn.Position
	session.pinned = nil
	session.endTransaction()
	session.holder.Pool.Release(conn, session.who())
	return session.finish(ctx, position)
}

// failPinned gives up a transaction with its connection. Without a COMMIT on
// the way, the upstream rolls it back.
//
// Without a BEGIN, messages before a Sync are a transaction that the Sync
// commits.
func (session *session) failPinned(err error, req *request) error {
	isCommit := req.mayCommit || session.pinned.Status == 'I' && req.hasSync
	session.holder.Pool.Discard(session.pinned)
	session.pinned = nil
	var failure *fault.Error
	if errors.As(err, &failure) {
		session.breakTransaction(req)
		return failure
	}
	var lost *lostError
	if !errors.As(err, &lost) && !errors.Is(err, errBehind) && !errors.Is(err, errRefusedWrite) {
		return err
	}
	if isCommit {
		session.endTransaction()
		return fault.Lost(fault.ReasonUpstreamLost, "the connection to the database was lost during the commit", err)
	}
	session.breakTransaction(req)
	failure = fault.Refuse(fault.CodeConnection, fault.ReasonUpstreamLost, "the transaction was rolled back: its connection was lost")
	failure.Cause = err
	return failure
}

// breakTransaction leaves the caller in a failed transaction, so that its next
// statements aren't taken for ones outside of it.
func (session *session) breakTransaction(req *request) {
	if req.kind == stmt.Commit || req.kind == stmt.Rollback {
		session.endTransaction()
		return
	}
	session.isBroken = true
	session.status = 'E'
}

// endTransaction restores what SET LOCAL changed and uses up the request key.
func (session *session) endTransaction() {
	session.status = 'I'
	session.settings = session.outer
	session.settings.isKeyArmed = false
	session.outer.isKeyArmed = false
}

// finishOpen answers within a transaction. What it saw is provisional until the
// commit, so nothing waits for acknowledgement here.
func (session *session) finishOpen(ctx context.Context, req *request) error {
	if session.status == 'I' && req.hasSync {
		if err := session.checkKeyAtBegin(ctx); err != nil {
			return session.failPinned(err, req)
		}
	}
	if req.hasSync {
		session.status = session.pinned.Status
		if err := session.output.add(&pgproto3.ReadyForQuery{TxStatus: session.status}); err != nil {
			return err
		}
	}
	session.output.release()
	return session.output.flush(session.conn)
}

// finish answers the end of a request outside of a transaction, once all that
// the answer rests on is acknowledged (rule 7).
func (session *session) finish(ctx context.Context, position posn.Position) error {
	session.status = 'I'
	err := session.acknowledge(ctx, position)
	if err != nil && !session.mayAnswerUnacked(err) {
		session.output.takeBack()
		return err
	}
	if err == nil {
		session.raiseFloor(position)
	}
	if session.floor.Compare(session.told) > 0 {
		session.told = session.floor
		// The session's own answers carry its floor from here on.
		session.hasFloor = true
		token := session.server.Sealer.Seal(session.database, session.floor)
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

// mayAnswerUnacked reports whether an answer may go out although what it saw is
// not known to be acknowledged. That is so for a replica's answer to a read of a
// stated age (rule 5): without a majority of slots nobody could tell, and such
// reads must go on then. What was undone for good is not answered.
func (session *session) mayAnswerUnacked(err error) bool {
	return session.isAged && fault.From(err).Reason == fault.ReasonNotAcknowledged
}

func (session *session) acknowledge(ctx context.Context, position posn.Position) error {
	if session.holder.Watch.IsAcked(position) {
		return nil
	}
	if ctx.Err() != nil {
		// A long statement has used up the time to wait for a connection; its
		// acknowledgement has a time of its own.
		ctx = context.WithoutCancel(ctx)
	}
	rule := session.holder.Settings().Rule
	wait := rule.Wait()
	if session.isAged {
		wait = rule.ReplicaWait()
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return session.holder.Watch.WaitAcked(ctx, position)
}
