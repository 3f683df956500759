package dbset

import (
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// IsReceived reports whether the latest position that a replica is known to have
// received has the same term as position and is not before it.
func (group *Group) IsReceived(position posn.Position) bool {
	received := group.Received()
	return received.Term == position.Term && received.AtLeast(position)
}

// Received returns the latest position that a replica is known to have received;
// zero while no primary is known. Leaving replicas don't count.
func (group *Group) Received() posn.Position {
	group.mu.Lock()
	defer group.mu.Unlock()
	var newest posn.Position
	if group.primary == "" {
		return newest
	}
	for id, member := range group.members {
		if id != group.primary && !member.Leaving {
			newest = posn.Max(newest, member.received)
		}
	}
	return newest
}

// recordPrimaryPosition records a position of the primary that was requested at a time.
func (group *Group) recordPrimaryPosition(position posn.Position, requestedAt time.Time) {
	if requestedAt.After(group.primaryPositionAt) && position.AtLeast(group.primaryPosition) {
		group.primaryPosition, group.primaryPositionAt = position, requestedAt
	}
}

// SynchronousMembers returns the registered databases if the group acknowledges a commit only once
// a replica has received it; nil otherwise.
func (group *Group) SynchronousMembers() []Member {
	group.mu.Lock()
	isSynchronous := group.isSynchronous
	group.mu.Unlock()
	if !isSynchronous {
		return nil
	}
	return group.Members()
}

// LastAnswerAt returns when a database last answered, or when it became a member if it has
// not answered since; zero if it is not a member.
func (group *Group) LastAnswerAt(id string) time.Time {
	group.mu.Lock()
	defer group.mu.Unlock()
	if member, ok := group.members[id]; ok {
		return member.lastAnswerAt
	}
	return time.Time{}
}

// ReplicasToAsk returns the replicas to ask for their received position: those that are
// not leaving and not avoided, the ones in the VM's availability zone first.
func (group *Group) ReplicasToAsk(now time.Time) []Member {
	group.mu.Lock()
	defer group.mu.Unlock()
	var sameZone, otherZones []Member
	for _, id := range group.order {
		switch member := group.members[id]; {
		case !group.isAvailableReplica(member, now):
		case member.Zone == group.Zone:
			sameZone = append(sameZone, member.Member)
		default:
			otherZones = append(otherZones, member.Member)
		}
	}
	return append(sameZone, otherZones...)
}
