package dbset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// IsReceived reports whether a replica is known to have a position of the present
// term.
func (group *Group) IsReceived(position posn.Position) bool {
	received := group.Received()
	return received.Term == position.Term && received.AtLeast(position)
}

// Received is the newest position that a replica is known to have.
func (group *Group) Received() posn.Position {
	group.mu.Lock()
	defer group.mu.Unlock()
	var newest posn.Position
	if group.primary == "" {
		return newest
	}
	for id, member := range group.members {
		if id != group.primary && !member.Leaving {
			newest = posn.Max(newest, member.position)
		}
	}
	return newest
}

// HeardAt is when a database last answered.
func (group *Group) HeardAt(id string) time.Time {
	group.mu.Lock()
	defer group.mu.Unlock()
	if from, ok := group.members[id]; ok {
		return from.heardAt
	}
	return time.Time{}
}

// Receivers returns the replicas that can be asked what they have received, those
// of the VM's zone first.
func (group *Group) Receivers(now time.Time) []Member {
	group.mu.Lock()
	defer group.mu.Unlock()
	var near, far []Member
	for _, id := range group.order {
		switch member := group.members[id]; {
		case !group.isReplica(member, now):
		case member.Zone == group.Zone:
			near = append(near, member.Member)
		default:
			far = append(far, member.Member)
		}
	}
	return append(near, far...)
}
