package leader

import "slices"

// GroupState is what leaders know of a group that has to outlast all VMs. It is in the leader's
// record, since the databases that know it may be down when the next leader starts.
type GroupState struct {
	// Term is the newest term that a leader has found.
	Term uint64 `json:"term"`
	// Primary is the term's primary, where replication is synchronous.
	Primary Database `json:"primary,omitzero"`
	// Databases has those that may have received a commit which was acknowledged, where a commit
	// is acknowledged once a replica has received it. It has all that were registered, until
	// others are known to have what they received. It is empty where replication is asynchronous.
	Databases []Database `json:"databases,omitempty"`
}

// Database is a database from its start until its process has lost its log.
type Database struct {
	ID string `json:"id"`
	// Born is the database's start time in Unix ms.
	Born int64 `json:"born"`
	// IsLeaving is set if it has announced that it ends.
	IsLeaving bool `json:"isLeaving,omitempty"`
}

// Is reports whether both are the same database.
func (database Database) Is(other Database) bool {
	return database.ID == other.ID && database.Born == other.Born
}

// Has reports whether the database is one of the state's Databases.
func (state GroupState) Has(database Database) bool {
	return slices.ContainsFunc(state.Databases, database.Is)
}

// Equal reports whether two states are the same.
func (state GroupState) Equal(other GroupState) bool {
	return state.Term == other.Term && state.Primary == other.Primary && slices.Equal(state.Databases, other.Databases)
}

// Known returns the state of a group by the records that this VM has read or written as the
// leader, and the changes since. It returns false if no leader has recorded one: which term is
// the newest is unknown then.
func (elector *Elector) Known(group string) (GroupState, bool) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	state, ok := elector.groups[group]
	return state, ok
}

// Covers reports whether leases of a group's term may be issued: the record has the term and
// the given databases, and no newer term is known.
func (elector *Elector) Covers(group string, term uint64, databases []Database) bool {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	known, isKnown := elector.groups[group]
	recorded := elector.confirmed.Groups[group]
	if slices.ContainsFunc(databases, func(database Database) bool { return !recorded.Has(database) }) {
		return false
	}
	// An order is recorded before it can begin its term.
	return isKnown && known.Term <= term && term <= max(recorded.Term, elector.confirmed.Orders[group].Term)
}

// RecordGroup sets the state of a group, and makes Run write it into the record.
func (elector *Elector) RecordGroup(group string, state GroupState) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if known, ok := elector.groups[group]; ok && (known.Equal(state) || known.Term > state.Term) {
		return
	}
	elector.groups[group] = state
	elector.version++
	elector.wakeLocked()
}

// ForgetGroup drops the state of a group that the configuration no longer has.
func (elector *Elector) ForgetGroup(group string) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	delete(elector.groups, group)
}

// adopt adds what the records of other sets state of the groups that belong to this set now, since
// the number of sets may have changed. Records that state nothing of their groups may have
// replaced some that did: then the others may be outdated, and no states are adopted. elector.mu
// must be held.
func (elector *Elector) adopt(others []record) {
	before := elector.version
	hasStates := elector.hasGroups && !slices.ContainsFunc(others, func(other record) bool { return other.Groups == nil })
	for _, other := range others {
		for group, state := range other.Groups {
			known, isKnown := elector.groups[group]
			if hasStates && elector.isOurs(group) && (!isKnown || known.Term < state.Term) {
				elector.groups[group] = state
				elector.version++
			}
		}
	}
	for _, other := range others {
		for group, order := range other.Orders {
			// The leader of the other set may have stopped before it knew the outcome.
			_, hasOwn := elector.unsettled[group]
			if elector.isOurs(group) && !hasOwn && !order.IsRepeated && order.Term > elector.groups[group].Term {
				elector.unsettled[group] = order
				elector.version++
			}
		}
	}
	if elector.version != before {
		elector.wakeLocked()
	}
}

// isOurs reports whether a group belongs to this set by the configuration. elector.mu must be held.
func (elector *Elector) isOurs(group string) bool {
	return SetOf(group, elector.configured()) == elector.Set
}
