package dbset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// observation is a position of the primary from an answer to a request that was
// sent at requestedAt.
type observation struct {
	requestedAt time.Time
	position    posn.Position
}

// addObservation stores a position of the primary that was requested at
// requestedAt under a lease (rule 2). It skips a position less than 20 ms after
// the last one.
func (group *Group) addObservation(position posn.Position, requestedAt time.Time) {
	if !group.leasedUntil.After(requestedAt) {
		return
	}
	last := len(group.observations) - 1
	if last >= 0 && requestedAt.Before(group.observations[last].requestedAt.Add(20*time.Millisecond)) {
		return
	}
	if last+1 >= maxObservations {
		group.thinObservations()
	}
	group.observations = append(group.observations, observation{requestedAt: requestedAt, position: position})
}

// estimateLag sets the replica's lag to the time since the first observation of
// the primary at a position that the replica has not applied; zero without one.
func (member *member) estimateLag(observations []observation, now time.Time) {
	member.lag, member.lagAt = 0, now
	for _, observation := range observations {
		if !member.applied.AtLeast(observation.position) {
			member.lag = now.Sub(observation.requestedAt)
			return
		}
	}
}

// thinObservations drops every second observation of the older half, so that the
// remaining ones still cover the same period.
func (group *Group) thinObservations() {
	half := len(group.observations) / 2
	kept := group.observations[:0]
	for i, observation := range group.observations {
		if i >= half || i%2 == 0 {
			kept = append(kept, observation)
		}
	}
	group.observations = kept
}
