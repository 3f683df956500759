package quota

import (
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/owner"
)

// beginFallback brings the fallback rates into use. The home assumes that this is not before
// AnswerTimeout after the last request.
func (agent *Agent) beginFallback(now time.Time) {
	if !agent.downSince.IsZero() {
		return
	}
	agent.downSince = now
	if earliest := agent.lastSentAt.Add(AnswerTimeout); earliest.After(now) {
		agent.downSince = earliest
	}
}

// isAlone reports whether operations are decided without the home: it is unknown, or its
// last call had no answer.
func (agent *Agent) isAlone() bool {
	return !agent.downSince.IsZero() && !agent.isHomeNew && !agent.isFirstCall
}

// takeAlone decides without the home: by the fallback rate, or else the floor.
func (agent *Agent) takeAlone(team *localTeam, now time.Time) Verdict {
	if !agent.downSince.IsZero() && agent.takeFallback(team, now) {
		return agent.verdict(team, true, 0, now)
	}
	return agent.verdict(team, false, agent.jitter(refusedAfter), now)
}

// takeFallback takes an operation of the floor or of the fallback rate. Where what is saved is
// a part of the floor, the floor is used first, and only if no operation ran without the home
// for a window.
func (agent *Agent) takeFallback(team *localTeam, now time.Time) bool {
	if !team.sharesFloor {
		return agent.takeSaved(team, now) || agent.takeFloor(team, now)
	}
	if agent.takeFloor(team, now) {
		team.saved, team.savedAt = 0, now
		if agent.downSince.After(now) {
			team.savedAt = agent.downSince
		}
		return true
	}
	if agent.hasFloor(team, now) && agent.takeSaved(team, now) {
		team.floorUses = append(team.floorUses, now)
		return true
	}
	return false
}

// takeSaved takes an operation of the fallback rate.
func (agent *Agent) takeSaved(team *localTeam, now time.Time) bool {
	if team.fallbackUntil.Before(now) {
		return false
	}
	if team.savedAt.Before(agent.downSince) {
		team.saved, team.savedAt = 0, agent.downSince
	}
	if elapsed := now.Sub(team.savedAt); elapsed > 0 {
		team.saved = min(team.saved+team.fallback*elapsed.Seconds(), team.depth)
		team.savedAt = now
	}
	if team.saved < 1 {
		return false
	}
	team.saved--
	team.ran++
	return true
}

// takeFloor takes an operation of the floor: whole operations in each window, since a
// process that starts does not know what its predecessor ran in the last window.
func (agent *Agent) takeFloor(team *localTeam, now time.Time) bool {
	if !agent.hasFloor(team, now) {
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

func (agent *Agent) hasFloor(team *localTeam, now time.Time) bool {
	if team.floor < 0 {
		team.floor = agent.floorOf(team)
	}
	return team.floor > 0 && now.Sub(agent.startedAt) >= agent.Bounds.Window
}

// floorOf returns this VM's part of the floors, in whole operations. The rest of the
// division goes to VMs that differ by team: equal parts of a small reserve would allow none.
func (agent *Agent) floorOf(team *localTeam) int {
	rank := slices.Index(owner.Rank(team.name, agent.vms), agent.VM)
	if rank < 0 {
		return 0
	}
	all, count := agent.Bounds.floors(team.limit, len(agent.vms)), len(agent.vms)
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
