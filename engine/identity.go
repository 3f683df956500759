package engine

import (
	"time"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/stats"
)

// revocationGrace is how long an open transaction may go on after the VM has applied a
// configuration without its caller's key. Together with the time until a configuration is in
// force it stays below the users' limit for a revocation.
const revocationGrace = 2 * time.Second

// revocation is the end of a session's right to its identity.
type revocation struct {
	at time.Time
	// isTeamChange is set if the caller is still admitted, but as one of another team or of
	// none: a new session has the right team.
	isTeamChange bool
}

// refusal returns the code and the reason with which requests of the session are refused.
func (revocation *revocation) refusal() (proto.Code, string) {
	if revocation.isTeamChange {
		return proto.Busy, "teamChanged"
	}
	return proto.Unauthorized, "keyRevoked"
}

// admit decides by the current configuration whether the session may begin, and sets its team.
// A code other than proto.OK is the refusal.
func (engine *Engine) admit(session *Session) proto.Code {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	current := engine.Config.Load()
	route, ok := current.Routes[session.database]
	if !ok {
		if _, isKey := current.TeamOf(config.HashKey(session.database)); isKey {
			// A caller that left out the database's name: its key must not be logged as one.
			session.database = ""
		}
		return proto.UnknownDatabase
	}
	team, ok := current.Admit(route, session.keyHash)
	if !ok {
		return proto.Unauthorized
	}
	session.team, session.isAdmitted, session.checkedConfig = team, true, current
	return proto.OK
}

// revokeIfChanged revokes the session if a configuration no longer admits its caller as one of
// its team. A session is revoked once and for good. engine.mu must be held.
func (session *Session) revokeIfChanged(current *config.Config, now time.Time) {
	if !session.isAdmitted || session.revoked.Load() != nil {
		return
	}
	route, isKnown := current.Routes[session.database]
	team, isAdmitted := current.Admit(route, session.keyHash)
	// Requests for a database without a route are refused as such.
	if isAdmitted && team == session.team || !isKnown && session.team == "" {
		return
	}
	session.revoked.Store(&revocation{at: now, isTeamChange: isAdmitted})
}

// checkKey revokes the session if the configuration was replaced by one without its key. It
// doesn't rely on ApplyKeys, which may be about to revoke the session.
func (session *Session) checkKey() {
	current := session.engine.Config.Load()
	if session.isForwarded || current == session.checkedConfig {
		return
	}
	session.checkedConfig = current
	session.engine.mu.Lock()
	defer session.engine.mu.Unlock()
	session.revokeIfChanged(current, session.engine.now())
}

// isPastGrace reports whether the session was revoked so long ago that its open transaction
// has to end.
func (session *Session) isPastGrace() bool {
	revoked := session.revoked.Load()
	return revoked != nil && !session.engine.now().Before(revoked.at.Add(revocationGrace))
}

// isOver reports whether a revoked session ends now: it has no transaction, and no request
// has followed its last answer at once.
func (session *Session) isOver() bool {
	if session.revoked.Load() == nil || session.transaction != nil {
		return false
	}
	now := session.engine.now()
	if session.endsAt.IsZero() {
		session.endsAt = now.Add(followUpTimeout)
	}
	return !now.Before(session.endsAt)
}

// refuseRevoked answers a call of a revoked session, with which the session ends. It returns
// false if the call is served as usual, in a transaction within the grace period.
func (session *Session) refuseRevoked(call proto.Call) (proto.Answer, bool) {
	revoked := session.revoked.Load()
	if revoked == nil || session.transaction != nil && !session.isPastGrace() {
		return proto.Answer{}, false
	}
	session.isLastAnswer = true
	code, reason := revoked.refusal()
	if session.transaction == nil {
		return session.refuse(call, code, reason), true
	}
	if !session.transaction.isFailed {
		session.transaction.abort()
	}
	defer func() { session.transaction = nil }()
	_, isRollback := call.Statement.(proto.Rollback)
	if isRollback || session.transaction.isFailureReported {
		return session.handleFailed(call), true
	}
	return session.refuse(call, proto.Aborted, reason), true
}

// QuotaReason is the reason of refusals beyond the team's quota.
const QuotaReason = "quota"

// countForTeam counts an answer in the metrics of the session's team, if the configuration has
// teams.
func (session *Session) countForTeam(answer proto.Answer) {
	current := session.engine.Config.Load()
	if current == nil || len(current.Teams) == 0 {
		return
	}
	outcome := stats.Answered
	switch {
	case answer.Code == proto.Unauthorized:
		outcome = stats.RefusedUnauthorized
	case answer.Code == proto.Busy && session.refusalReason == QuotaReason:
		outcome = stats.RefusedQuota
	case answer.Code == proto.Busy:
		outcome = stats.RefusedOverload
	}
	session.engine.Stats.Teams.Record(session.team, outcome)
}

// ApplyKeys revokes the sessions whose key the current configuration lacks, or has for another
// team, and interrupts them so that idle ones end. It is called after each new configuration.
func (engine *Engine) ApplyKeys() {
	engine.mu.Lock()
	current, previous := engine.Config.Load(), engine.appliedConfig
	engine.appliedConfig = current
	now := engine.now()
	// Sessions that have revoked themselves by checkKey are counted here as well.
	revoked := make(map[string]int)
	for session := range engine.sessions {
		session.revokeIfChanged(current, now)
		if session.revoked.Load() != nil && !session.isInterrupted {
			session.isInterrupted = true
			revoked[session.team]++
			session.caller.Interrupt()
		}
	}
	engine.mu.Unlock()
	if added, removed, teams := countKeyChanges(previous, current); added+removed > 0 {
		engine.Log.Write(event.KeysChanged, event.Fields{"number": current.Version, "added": added, "removed": removed, "teams": teams})
	}
	for team, count := range revoked {
		engine.Log.Write(event.SessionsRevoked, event.Fields{"team": team, "count": count})
	}
}

// countKeyChanges returns the numbers of keys that a configuration adds and removes, and of the
// teams that this affects. A key that another team gets counts as both. previous may be nil.
func countKeyChanges(previous, current *config.Config) (added, removed, teams int) {
	affected := make(map[string]bool)
	var previousTeams map[config.KeyHash]string
	if previous != nil {
		previousTeams = previous.TeamsByKey
	}
	for hash, team := range previousTeams {
		if current.TeamsByKey[hash] != team {
			affected[team] = true
			removed++
		}
	}
	for hash, team := range current.TeamsByKey {
		if previousTeams[hash] != team {
			affected[team] = true
			added++
		}
	}
	return added, removed, len(affected)
}
