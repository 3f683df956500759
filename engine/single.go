package engine

import (
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/kept"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/wires"
)

const (
	// retryAfterText is when a refused caller should come back, in ms: about
	// what a queue of one slot or the change of a grant takes.
	retryAfterText = "200"
	// maxAttempts bounds the databases that one read tries.
	maxAttempts = 6
	// busyPause is the wait before a database that had no room is asked again.
	busyPause = 10 * time.Millisecond
	// confirmWait bounds the wait for a grant after a write was answered.
	confirmWait = 500 * time.Millisecond
	// receiptShare of receiptOf of the time that is left may be spent on the wait
	// for a replica's receipt.
	receiptShare, receiptOf = 4, 5
	// leastAttempt is the shortest time that a read is given at one database.
	leastAttempt = 250 * time.Millisecond
)

// read runs a single read, at as many databases as it takes.
func (session *Session) read(call wires.Call, route config.Route) wires.Answer {
	attempt := session.attempt(call, route)
	if attempt.group == nil {
		return attempt.giveUp("noUpstream")
	}
	for ; attempt.tries < maxAttempts && attempt.remaining() > 0; attempt.tries++ {
		choice, ok := attempt.choose()
		if !ok {
			return attempt.giveUp(attempt.blocked("noDatabase"))
		}
		answer, reason := attempt.readAt(choice)
		if reason == "" {
			session.engine.Stats.Routes.Add(string(choice.Reason), 1)
			return answer
		}
		attempt.skip(choice.Member.ID)
		attempt.retried(choice.Member, reason)
	}
	return attempt.giveUp("attemptsFailed")
}

// readAt tries a read at one database; a reason means that another may do.
func (attempt *attempt) readAt(choice dbset.Choice) (wires.Answer, string) {
	link, err := attempt.link(choice.Member)
	if err != nil {
		return wires.Answer{}, reasonOf(err)
	}
	isPrimary := choice.Reason != dbset.ToReplica
	if isPrimary && !attempt.leads(choice.Member.ID) {
		link.Put()
		return wires.Answer{}, "noLongerLeads"
	}
	timeout := max(attempt.remaining()/2, leastAttempt)
	answer, err := attempt.ask(link, attempt.session.request(attempt.call, choice.Floor), timeout)
	if err != nil {
		link.Discard()
		return answer, "answerLost"
	}
	if answer.Code == wires.UnknownName {
		clear(link.Shapes)
	}
	link.Put()
	if answer.Code == wires.OK || answer.Code == wires.TimedOut || answer.Code == wires.Malformed {
		return answer, ""
	}
	return answer, answer.Code.String()
}

// write runs a single write. It is repeated only if it is known not to have run.
func (session *Session) write(call wires.Call, route config.Route) wires.Answer {
	attempt := session.attempt(call, route)
	if attempt.group == nil {
		return attempt.giveUp("noUpstream")
	}
	for ; ; attempt.tries++ {
		leads, ok := attempt.primary()
		if !ok {
			return attempt.giveUp("noPrimary")
		}
		answer, reason := attempt.writeAt(leads)
		if reason == "" {
			return answer
		}
		attempt.retried(leads, reason)
		if attempt.patience() <= 0 {
			return attempt.giveUp(reason)
		}
		attempt.pause()
	}
}

// writeAt tries a write at the primary; a reason means that it did not run.
func (attempt *attempt) writeAt(leads dbset.Member) (wires.Answer, string) {
	link, err := attempt.link(leads)
	if err != nil {
		return wires.Answer{}, reasonOf(err)
	}
	term := attempt.group.Term()
	if !attempt.leads(leads.ID) {
		link.Put()
		return wires.Answer{}, "noLongerLeads"
	}
	answer, err := attempt.ask(link, attempt.session.request(attempt.call, posn.Position{}), max(attempt.remaining(), leastAttempt))
	if err != nil {
		link.Discard()
		return attempt.inDoubt(leads.ID, "answerLost"), ""
	}
	if answer.Code == wires.UnknownName {
		clear(link.Shapes)
	}
	link.Put()
	if answer.Code == wires.ReadOnly {
		attempt.group.Demoted(leads.ID)
	}
	if answer.Code.DidNotRun() && answer.Code != wires.Malformed {
		return answer, answer.Code.String()
	}
	if answer.Code != wires.OK {
		return answer, ""
	}
	return attempt.confirm(answer, leads, term), ""
}

// confirm checks that a replica has received the commit, and that the database
// still led after that (rule 7).
func (attempt *attempt) confirm(answer wires.Answer, leads dbset.Member, term uint64) wires.Answer {
	engine := attempt.session.engine
	if !attempt.isKept(answer.Position) {
		return attempt.inDoubt(leads.ID, "noReceipt")
	}
	until := engine.now().Add(confirmWait)
	for {
		changed := attempt.group.Changed()
		now := engine.now()
		if attempt.group.Leads(leads.ID, term, now) {
			attempt.session.committed(attempt.group.Name, answer.Position)
			return answer
		}
		if now.After(until) || attempt.group.Term() != term {
			return attempt.inDoubt(leads.ID, "noLongerLeads")
		}
		select {
		case <-changed:
		case <-engine.Clock.After(busyPause):
		}
	}
}

// isKept waits until a replica has a commit, as far as databases don't do so
// themselves, and reports whether it may be confirmed.
func (attempt *attempt) isKept(position posn.Position) bool {
	engine := attempt.session.engine
	if engine.Receipts == nil || position.IsZero() || engine.Config.Load().Upstreams[attempt.group.Name].SyncReplicas > 0 {
		return true
	}
	switch engine.Receipts.Await(attempt.group, position, attempt.remaining()*receiptShare/receiptOf) {
	case kept.Received:
		engine.Stats.Receipts.Add("received", 1)
	case kept.Alone:
		engine.Stats.Receipts.Add("alone", 1)
		engine.Log.Write(event.ConfirmedAlone, withOpening(event.Fields{
			"request": attempt.call.ID, "group": attempt.group.Name, "position": position.String(), "afterMs": attempt.after(),
		}, attempt.opening))
	case kept.Doubtful:
		return false
	}
	return true
}

func (attempt *attempt) inDoubt(slot, reason string) wires.Answer {
	attempt.session.engine.Stats.Refusals.Add("inDoubt", 1)
	attempt.session.engine.Log.Write(event.UncertainOutcome, withOpening(event.Fields{
		"request": attempt.call.ID, "database": attempt.session.database, "group": attempt.group.Name,
		"slot": slot, "reason": reason, "term": attempt.group.Term(),
	}, attempt.opening))
	return wires.Answer{Code: wires.InDoubt, Text: reason}
}
