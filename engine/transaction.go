package engine

import (
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/wires"
)

// undoTimeout bounds the rollback of an abandoned transaction.
const undoTimeout = 500 * time.Millisecond

// transaction is a session's open transaction. It gets its connection with its
// first statement.
type transaction struct {
	// id is that of the request that opened it.
	id       string
	route    config.Route
	readOnly bool
	link     *conset.Link
	term     uint64
	wrote    bool
	isBroken bool
	// isTold says that the caller knows of the failure.
	isTold bool
}

// fail ends the transaction at the database and keeps it as failed.
func (tx *transaction) fail() {
	tx.isBroken = true
	link := tx.link
	tx.link = nil
	if link == nil {
		return
	}
	answer, err := link.Ask(wires.Undo{}, undoTimeout)
	if err != nil || answer.State != wires.Idle {
		link.Discard()
		return
	}
	link.Put()
}

// drop closes the connection, which rolls back.
func (tx *transaction) drop() {
	tx.isBroken, tx.isTold = true, true
	if tx.link != nil {
		tx.link.Discard()
		tx.link = nil
	}
}

func (session *Session) begin(call wires.Call, statement wires.Begin) wires.Answer {
	if session.tx != nil {
		return wires.Answer{Code: wires.Malformed, Text: "a transaction is open"}
	}
	route, ok := session.route()
	if !ok {
		return session.refuse(call, wires.UnknownDatabase, "noRoute")
	}
	session.tx = &transaction{id: call.ID, route: route, readOnly: statement.ReadOnly}
	return wires.Answer{}
}

func (session *Session) rollback() wires.Answer {
	if session.tx == nil {
		return wires.Answer{Code: wires.Malformed, Text: "no transaction is open"}
	}
	session.tx.fail()
	session.tx = nil
	return wires.Answer{}
}

// inTransaction runs a statement of the open transaction.
func (session *Session) inTransaction(call wires.Call, writes bool) wires.Answer {
	tx := session.tx
	attempt := session.attempt(call, tx.route)
	if answer, ok := session.pin(attempt); !ok {
		return answer
	}
	if err := session.restore(tx.link, call, true); err != nil {
		tx.drop()
		return session.refuse(call, wires.Aborted, "connectionLost")
	}
	if writes {
		tx.wrote = true
	}
	answer, err := attempt.askPinned(tx.link, session.request(call, posn.Position{}))
	if err != nil {
		// Without its commit, the transaction ends with the connection.
		tx.drop()
		return session.refuse(call, wires.Aborted, "answerLost")
	}
	if answer.Code == wires.OK {
		return answer
	}
	session.noteDemoted(attempt, answer)
	tx.isTold = true
	tx.fail()
	if answer.Code == wires.Failed {
		return answer
	}
	return session.refuse(call, wires.Aborted, answer.Code.String())
}

func (session *Session) noteDemoted(attempt *attempt, answer wires.Answer) {
	if answer.Code == wires.ReadOnly && !session.tx.readOnly && session.tx.link != nil {
		attempt.group.Demoted(session.tx.link.Member.ID)
	}
}

// askPinned asks on a transaction's connection; while the database has no room,
// it asks again.
func (attempt *attempt) askPinned(link *conset.Link, request wires.Request) (wires.Answer, error) {
	link.Wake()
	defer link.Rest()
	for {
		answer, err := attempt.ask(link, request, max(attempt.remaining(), leastAttempt))
		if err != nil || answer.Code != wires.Busy || answer.State != wires.Open || attempt.patience() <= 0 {
			return answer, err
		}
		attempt.session.engine.Stats.Retries.Add("busy", 1)
		attempt.pause()
	}
}

// pin gets the transaction its connection and opens it there.
func (session *Session) pin(attempt *attempt) (wires.Answer, bool) {
	tx := session.tx
	if tx.link != nil {
		return wires.Answer{}, true
	}
	if attempt.group == nil {
		tx.isBroken, tx.isTold = true, true
		return attempt.giveUp("noUpstream"), false
	}
	for ; attempt.tries < maxAttempts; attempt.tries++ {
		choice, ok := attempt.chooseFor(tx)
		if !ok {
			break
		}
		reason := session.open(attempt, choice)
		if reason == "" {
			return wires.Answer{}, true
		}
		attempt.skip(choice.Member.ID)
		attempt.retried(choice.Member, reason)
	}
	tx.isBroken, tx.isTold = true, true
	return attempt.giveUp(attempt.blocked("noDatabase")), false
}

func (attempt *attempt) chooseFor(tx *transaction) (dbset.Choice, bool) {
	if tx.readOnly {
		return attempt.choose()
	}
	leads, ok := attempt.primary()
	return dbset.Choice{Member: leads, Reason: dbset.ToPrimary}, ok
}

// open opens the transaction at a database; a reason means that it didn't.
func (session *Session) open(attempt *attempt, choice dbset.Choice) string {
	tx := session.tx
	link, err := attempt.link(choice.Member)
	if err != nil {
		return reasonOf(err)
	}
	tx.term = attempt.group.Term()
	isReplica := choice.Reason == dbset.ToReplica
	if !isReplica && !attempt.leads(choice.Member.ID) {
		link.Put()
		return "noLongerLeads"
	}
	answer, err := attempt.ask(link, wires.Start{ID: tx.id, ReadOnly: tx.readOnly, Floor: choice.Floor}, restoreTimeout)
	switch {
	case err != nil:
		link.Discard()
		return "answerLost"
	case answer.Code != wires.OK:
		if answer.Code == wires.ReadOnly {
			attempt.group.Demoted(choice.Member.ID)
		}
		link.Put()
		return answer.Code.String()
	}
	session.engine.Stats.Routes.Add(string(choice.Reason), 1)
	tx.link = link
	return ""
}

// commit ends the open transaction.
func (session *Session) commit(call wires.Call) wires.Answer {
	tx := session.tx
	if tx == nil {
		return wires.Answer{Code: wires.Malformed, Text: "no transaction is open"}
	}
	attempt := session.attempt(call, tx.route)
	answer, ok := session.pin(attempt)
	if !ok {
		session.tx = nil
		return answer
	}
	link := tx.link
	answer, err := attempt.askPinned(link, wires.Forward{ID: call.ID, Text: call.Text})
	session.tx = nil
	if err != nil {
		link.Discard()
		if tx.wrote {
			return attempt.inDoubt(link.Member.ID, "answerLost")
		}
		return session.refuse(call, wires.Aborted, "answerLost")
	}
	session.release(link, answer)
	switch {
	case answer.Code == wires.OK && tx.wrote:
		return attempt.confirm(answer, link.Member, tx.term)
	case answer.Code == wires.ReadOnly:
		attempt.group.Demoted(link.Member.ID)
		return session.refuse(call, wires.Aborted, answer.Code.String())
	case answer.Code.DidNotRun():
		return session.refuse(call, wires.Aborted, answer.Code.String())
	}
	return answer
}

// release gives a connection back after a commit, rolled back if that failed.
func (session *Session) release(link *conset.Link, answer wires.Answer) {
	if answer.State == wires.Idle {
		link.Put()
		return
	}
	failed := transaction{link: link}
	failed.fail()
}
