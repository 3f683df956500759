package engine

import (
	"math"
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/quota"
)

// Quota limits the operations of teams.
type Quota interface {
	// Take takes a token for one operation of a team. It waits for at most maxWait.
	Take(team config.Team, maxWait time.Duration) quota.Verdict
}

// takeToken takes a token for a single statement, or for a transaction before its first
// statement that goes to a database. Without a token it returns the refusal and false.
func (session *Session) takeToken(call proto.Call, route config.Route) (proto.Answer, bool) {
	if session.engine.Quota == nil || session.team == "" || session.isForwarded {
		return proto.Answer{}, true
	}
	team, ok := session.engine.Config.Load().Teams[session.team]
	if !ok || !team.HasQuota() {
		return proto.Answer{}, true
	}
	maxWait := route.Timeout*dispatchShare/dispatchShareOf - session.engine.now().Sub(session.arrived)
	verdict := session.engine.Quota.Take(team, max(maxWait, 0))
	if verdict.OK {
		return proto.Answer{}, true
	}
	fields := event.Fields{
		"team": team.Name, "home": verdict.Home, "grantAgeMs": verdict.GrantAge.Milliseconds(), "demand": math.Round(verdict.Demand*10) / 10,
	}
	return session.answerRefusal(call, proto.Busy, QuotaReason, verdict.RetryAfter, withTransactionID(fields, session.transactionID())), false
}

// takeTransactionToken is takeToken for the open transaction. It takes one for the whole
// transaction. Without a token the transaction is marked as failed.
func (session *Session) takeTransactionToken(call proto.Call) (proto.Answer, bool) {
	transaction := session.transaction
	if transaction.hasToken {
		return proto.Answer{}, true
	}
	answer, ok := session.takeToken(call, transaction.route)
	if !ok {
		transaction.isFailed, transaction.isFailureReported = true, true
		return answer, false
	}
	transaction.hasToken = true
	return proto.Answer{}, true
}
