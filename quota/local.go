package quota

import (
	"math"
	"time"
)

// localTeam is a team's state at a VM.
type localTeam struct {
	name  string
	limit Limit
	// tokens are those of the last answers; the oldest first.
	tokens  []batch
	waiters []*Waiter
	refused int
	// demand is the moving average of operations per second at demandAt.
	demand   float64
	demandAt time.Time
	// fallback is the fallback rate until fallbackUntil. saved are the operations that it
	// allows since savedAt.
	fallback      float64
	depth         float64
	fallbackUntil time.Time
	// sharesFloor is set if what is saved is a part of the floor.
	sharesFloor bool
	saved       float64
	savedAt     time.Time
	// isClaimed is set if the home assumes that the VM has a fallback rate.
	isClaimed bool
	ran       uint64
	// settledRan is the value of ran in the last answered request.
	settledRan uint64
	// floor is the number of operations in a window that the VM may run without a home; -1
	// if it has to be computed. floorUses are those of the last window.
	floor     int
	floorUses []time.Time
	grantedAt time.Time
	// Until blockedUntil operations are refused without a call. The next one should be tried
	// at nextSlot, the ones after it at intervals of slotInterval.
	blockedUntil time.Time
	nextSlot     time.Time
	slotInterval time.Duration
}

func (team *localTeam) demandNow(now time.Time) float64 {
	return team.demand * math.Exp(-now.Sub(team.demandAt).Seconds()/demandWindow.Seconds())
}

func (team *localTeam) addDemand(now time.Time) {
	team.demand, team.demandAt = team.demandNow(now)+1/demandWindow.Seconds(), now
}

// take takes a token that has not expired.
func (team *localTeam) take(now time.Time) bool {
	team.dropExpired(now)
	if len(team.tokens) == 0 {
		return false
	}
	team.tokens[0].count--
	if team.tokens[0].count == 0 {
		team.tokens = team.tokens[1:]
	}
	return true
}

func (team *localTeam) dropExpired(now time.Time) {
	for len(team.tokens) > 0 && !now.Before(team.tokens[0].expiresAt) {
		team.tokens = team.tokens[1:]
	}
}

func (team *localTeam) held(now time.Time) int {
	team.dropExpired(now)
	held := 0
	for _, batch := range team.tokens {
		held += batch.count
	}
	return held
}

// needsCall reports whether a call is due for the team: operations wait, tokens run low, or
// the fallback rate has to be given up or settled.
func (agent *Agent) needsCall(team *localTeam, now time.Time) bool {
	if len(team.waiters) > 0 || agent.isIdle(team, now) {
		return true
	}
	demand := team.demandNow(now)
	// Below two tokens, requesting in advance would waste about as much as is used.
	if demand*expectedFor.Seconds() < 2 || now.Before(team.blockedUntil) {
		return false
	}
	return float64(team.held(now)) < demand*refillBelow.Seconds()
}

// isIdle reports whether the team has no demand but a fallback rate, or operations at such a
// rate that the home does not know.
func (agent *Agent) isIdle(team *localTeam, now time.Time) bool {
	return team.isOwed(now) && now.Sub(agent.quietSince(team)) >= idleAfter
}

// quietSince returns the time of the team's last demand. If its fallback rate is low, that is
// the time of the VM's last request if that one was for other teams.
func (agent *Agent) quietSince(team *localTeam) time.Time {
	if team.fallback < keptFallback && agent.lastSentAt.Sub(team.demandAt) > MaxWait {
		return agent.lastSentAt
	}
	return team.demandAt
}

// isOwed reports whether the home counts, or has to count, operations at a fallback rate.
func (team *localTeam) isOwed(now time.Time) bool {
	return team.isClaimed && now.Before(team.fallbackUntil) || team.ran > team.settledRan
}
