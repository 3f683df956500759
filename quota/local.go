package quota

import (
	"math"
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/owner"
)

// localTeam is a team's state at a VM.
type localTeam struct {
	name  string
	limit Limit
	// tokens are those of the last answers; the oldest first.
	tokens  []batch
	waiters []*Waiter
	refused int
	// demand is the moving average of operations per second at demandAt, the time of the last
	// operation; formerAt is that of the one before.
	demand             float64
	demandAt, formerAt time.Time
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
	team.formerAt = team.demandAt
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

// expected returns the number of tokens that the VM should hold.
func (team *localTeam) expected(now time.Time) int {
	expected := int(team.demandNow(now) * expectedFor.Seconds())
	if expected == 0 && now.Sub(team.formerAt) < heldFor {
		return 1
	}
	return expected
}

// demandOf returns the part of a request for a team. The VM gives tokens back that end before
// its next call, and requests them again.
func (team *localTeam) demandOf(now, nextCall time.Time) Demand {
	demand := Demand{Team: team.name, Waiting: len(team.waiters), Refused: team.refused, IsIdle: true}
	team.refused = 0
	for len(team.tokens) > 0 && team.tokens[0].expiresAt.Before(nextCall) {
		if now.Before(team.tokens[0].expiresAt) {
			demand.Returned += team.tokens[0].count
		}
		team.tokens = team.tokens[1:]
	}
	demand.Expected = max(team.expected(now)-team.held(now), 0)
	return demand
}

// needsCall reports whether a call is due for the team: operations wait, or tokens run low. A
// single token is renewed with the next call.
func (agent *Agent) needsCall(team *localTeam, now time.Time) bool {
	if len(team.waiters) > 0 {
		return true
	}
	demand := team.demandNow(now)
	if demand*expectedFor.Seconds() < 2 || now.Before(team.blockedUntil) {
		return false
	}
	return float64(team.held(now)) < demand*refillBelow.Seconds()
}

// takeFloor takes an operation of the floor: whole operations in each window, since a
// process that starts does not know what its predecessor ran in the last window.
func (agent *Agent) takeFloor(team *localTeam, now time.Time) bool {
	if team.floor < 0 {
		team.floor = agent.floorOf(team)
	}
	if now.Sub(agent.startedAt) < agent.Bounds.Window {
		return false
	}
	for len(team.floorUses) > 0 && now.Sub(team.floorUses[0]) > agent.Bounds.Window {
		team.floorUses = team.floorUses[1:]
	}
	if len(team.floorUses) >= team.floor {
		return false
	}
	team.floorUses = append(team.floorUses, now)
	return true
}

// floorOf returns this VM's part of the floors, in whole operations. The rest of the
// division goes to VMs that differ by team: equal parts of a small reserve would allow none.
func (agent *Agent) floorOf(team *localTeam) int {
	rank := slices.Index(owner.Rank(team.name, agent.vms), agent.VM)
	if rank < 0 {
		return 0
	}
	all, count := agent.Bounds.floors(team.limit), len(agent.vms)
	if rank < all%count {
		return all/count + 1
	}
	return all / count
}

// nextRetry returns when a refused operation should be tried again, one after the other.
func (agent *Agent) nextRetry(team *localTeam, now time.Time) time.Duration {
	slot := team.nextSlot
	if slot.Before(now) {
		slot = now
	}
	if latest := now.Add(maxRetryAfter); slot.After(latest) {
		// Beyond the bound the callers are spread over its second half.
		return seconds(maxRetryAfter.Seconds() * (0.5 + agent.Random()/2))
	}
	team.nextSlot = slot.Add(team.slotInterval)
	return max(slot.Sub(now), time.Millisecond) + seconds(team.slotInterval.Seconds()*agent.Random())
}
