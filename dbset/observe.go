package dbset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

type observation struct {
	began    time.Time
	position posn.Position
}

// observe notes a position of the primary, asked for at began (rule 2).
func (group *Group) observe(position posn.Position, began time.Time) {
	if !group.grantedUntil.After(began) {
		return
	}
	last := len(group.observations) - 1
	if last >= 0 && began.Before(group.observations[last].began.Add(20*time.Millisecond)) {
		return
	}
	if last+1 >= maxObservations {
		group.thin()
	}
	group.observations = append(group.observations, observation{began: began, position: position})
}

// learnLag judges how far behind a replica is by when the primary had passed its
// position.
func (member *member) learnLag(observations []observation, now time.Time) {
	member.lag, member.lagAt = 0, now
	for _, seen := range observations {
		if !member.position.AtLeast(seen.position) {
			member.lag = now.Sub(seen.began)
			return
		}
	}
}

// thin drops every second of the older half.
func (group *Group) thin() {
	half := len(group.observations) / 2
	kept := group.observations[:0]
	for i, seen := range group.observations {
		if i >= half || i%2 == 0 {
			kept = append(kept, seen)
		}
	}
	group.observations = kept
}
