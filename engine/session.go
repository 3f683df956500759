package engine

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/wires"
)

// maxNames bounds the values, and the prepared statements, of one session.
const maxNames = 256

// lastWait is how long a stopping VM waits for a caller, in a transaction or for
// the first request of a session.
const lastWait = 300 * time.Millisecond

// betweenWait is how long a stopping VM waits for the next request of a session
// that has just been answered: one that follows at once may be on its way, and
// would be lost if the session ended with the answer.
const betweenWait = 60 * time.Millisecond

// commit is a session's last commit in a group.
type commit struct {
	position posn.Position
	at       time.Time
}

// Session is one caller's connection.
type Session struct {
	engine   *Engine
	front    wires.Front
	database string
	values   map[string]string
	prepared map[string]wires.Shape
	own      map[string]commit
	tx       *transaction
	answered int
}

func (session *Session) route() (config.Route, bool) {
	current := session.engine.Config.Load()
	if current == nil {
		return config.Route{}, false
	}
	route, ok := current.Routes[session.database]
	return route, ok
}

// groupName is the session's database group, for the metrics.
func (session *Session) groupName() string {
	if route, ok := session.route(); ok {
		return route.Upstream
	}
	return "none"
}

func (session *Session) run() {
	for {
		call, err := session.front.Next(session.patience())
		switch {
		case errors.Is(err, wires.ErrIdle):
			if session.tx == nil && session.engine.isIn(Closing) {
				return
			}
			session.endIdle()
			continue
		case err != nil:
			return
		}
		began := session.engine.now()
		answer := session.take(call)
		session.engine.Stats.Answered(session.groupName(), kindOf(call.Statement), answer.Code.String(), session.engine.now().Sub(began))
		answer.State = session.state()
		if session.front.Reply(answer) != nil {
			return
		}
		session.answered++
	}
}

// take answers a call, unless the VM takes none any more.
func (session *Session) take(call wires.Call) wires.Answer {
	if !session.engine.isIn(Refusing) {
		return session.handle(call)
	}
	if session.tx != nil && !session.tx.isBroken {
		session.tx.fail()
		session.tx.isTold = true
		return session.refuse(call, wires.Aborted, "stopping")
	}
	if session.tx != nil {
		return session.handle(call)
	}
	return session.refuse(call, wires.Busy, "stopping")
}

// patience is how long the session waits for its caller; 0 is for ever.
func (session *Session) patience() time.Duration {
	if session.tx == nil && session.engine.isIn(Closing) {
		if session.answered == 0 {
			return lastWait
		}
		return betweenWait
	}
	if session.tx == nil || session.tx.isBroken {
		return 0
	}
	idle := session.engine.Config.Load().Limits.TransactionIdle
	if session.engine.isIn(Ending) {
		return min(idle, lastWait)
	}
	return idle
}

// endIdle takes the connection from a transaction whose caller is silent.
func (session *Session) endIdle() {
	tx := session.tx
	if tx == nil || tx.isBroken {
		return
	}
	session.engine.Stats.Refusals.Add("idleInTransaction", 1)
	tx.fail()
}

func (session *Session) state() wires.State {
	switch {
	case session.tx == nil:
		return wires.Idle
	case session.tx.isBroken:
		return wires.Broken
	}
	return wires.Open
}

// abandon ends what a caller who left has open.
func (session *Session) abandon() {
	if session.tx != nil {
		session.tx.fail()
		session.tx = nil
	}
}

func (session *Session) handle(call wires.Call) wires.Answer {
	if session.tx != nil && session.tx.isBroken {
		return session.handleBroken(call)
	}
	switch statement := call.Statement.(type) {
	case wires.Assign:
		return session.assign(statement)
	case wires.Prepare:
		return session.prepare(statement)
	case wires.Forget:
		delete(session.prepared, statement.Name)
		return wires.Answer{}
	case wires.Begin:
		return session.begin(call, statement)
	case wires.Rollback:
		return session.rollback()
	case wires.Commit:
		return session.commit(call)
	case wires.Read:
		return session.execute(call, false)
	case wires.Write:
		return session.execute(call, true)
	case wires.Execute:
		shape, ok := session.prepared[statement.Name]
		if !ok {
			return wires.Answer{Code: wires.UnknownName, Text: statement.Name}
		}
		return session.execute(call, shape.Writes)
	}
	return wires.Answer{Code: wires.Malformed, Text: "statement is not understood"}
}

// handleBroken answers within a failed transaction.
func (session *Session) handleBroken(call wires.Call) wires.Answer {
	switch call.Statement.(type) {
	case wires.Rollback:
		session.tx = nil
		return wires.Answer{}
	case wires.Commit:
		session.tx = nil
		return wires.Answer{Code: wires.Aborted, Text: "transaction was rolled back"}
	}
	if session.tx.isTold {
		return wires.Answer{Code: wires.Malformed, Text: "transaction has failed"}
	}
	session.tx.isTold = true
	return session.refuse(call, wires.Aborted, "transactionEnded")
}

func (session *Session) assign(statement wires.Assign) wires.Answer {
	if len(session.values) >= maxNames {
		if _, ok := session.values[statement.Name]; !ok {
			return wires.Answer{Code: wires.Malformed, Text: "too many session values"}
		}
	}
	session.values[statement.Name] = statement.Value
	return wires.Answer{}
}

func (session *Session) prepare(statement wires.Prepare) wires.Answer {
	if len(session.prepared) >= maxNames {
		if _, ok := session.prepared[statement.Name]; !ok {
			return wires.Answer{Code: wires.Malformed, Text: "too many prepared statements"}
		}
	}
	session.prepared[statement.Name] = statement.Shape
	return wires.Answer{}
}

// execute runs a read or a write, in the open transaction or by itself.
func (session *Session) execute(call wires.Call, writes bool) wires.Answer {
	if session.tx != nil {
		return session.inTransaction(call, writes)
	}
	route, ok := session.route()
	if !ok {
		return session.refuse(call, wires.UnknownDatabase, "noRoute")
	}
	if writes {
		return session.write(call, route)
	}
	return session.read(call, route)
}

// refuse counts and logs a refusal.
func (session *Session) refuse(call wires.Call, code wires.Code, reason string) wires.Answer {
	return session.refuseAfter(nil, call, code, reason)
}

// refuseAfter does so for a request that may have been tried.
func (session *Session) refuseAfter(attempt *attempt, call wires.Call, code wires.Code, reason string) wires.Answer {
	session.engine.Stats.Refusals.Add(reason, 1)
	fields := event.Fields{"request": call.ID, "database": session.database, "code": code.String(), "reason": reason}
	opening := session.opening()
	if attempt != nil {
		fields["attempt"], fields["afterMs"], opening = attempt.tries, attempt.after(), attempt.opening
	}
	session.engine.Log.Write(event.RequestRefused, withOpening(fields, opening))
	text := reason
	if code == wires.Busy {
		text += " retryAfterMs=" + retryAfterText
	}
	return wires.Answer{Code: code, Text: text}
}

// opening is the request that opened the session's transaction, by which its caller
// may know all of it; empty for none.
func (session *Session) opening() string {
	if session.tx == nil {
		return ""
	}
	return session.tx.id
}

// withOpening adds it to the fields of a line.
func withOpening(fields event.Fields, opening string) event.Fields {
	if opening != "" {
		fields["transaction"] = opening
	}
	return fields
}

// committed notes a commit's position for the session's later reads.
func (session *Session) committed(group string, position posn.Position) {
	if known := session.own[group]; !known.position.AtLeast(position) || known.position.IsZero() {
		session.own[group] = commit{position: position, at: session.engine.now()}
	}
}

func (session *Session) valuesFit(values map[string]string) bool {
	return maps.Equal(session.values, values)
}

// kindOf names a statement's kind for the latency histograms.
func kindOf(statement wires.Statement) string {
	switch statement.(type) {
	case wires.Read:
		return "read"
	case wires.Write:
		return "write"
	case wires.Execute:
		return "execute"
	case wires.Commit:
		return "commit"
	}
	return "other"
}
