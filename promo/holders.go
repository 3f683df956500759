package promo

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/posn"
)

// leftDelay is how long the registration of a leaving database must have ended before it counts as
// stopped. It may serve, and receive commits, for many seconds after it has announced its end.
const leftDelay = 30 * time.Second

// holders tracks the databases that may be the only one besides the primary to have a commit which
// was acknowledged, where replication is synchronous. One that is no longer registered stays among
// them until others are known to have what it received: it may only be silent.
type holders struct {
	// gone has the databases that are not registered.
	gone map[leader.Database]departure
}

// departure is what is known of a database that is not registered.
type departure struct {
	// since is when it was first known not to be.
	since time.Time
	// bound is a position of the primary's log that covers all that the database has received if it
	// had stopped by since; zero while none is known.
	bound posn.Position
}

// next returns the databases to record, given those that are recorded.
func (holders *holders) next(known []leader.Database, state dbset.State, now time.Time) []leader.Database {
	next := make([]leader.Database, 0, len(known))
	for _, member := range state.Members {
		database := databaseOf(member.Member)
		if member.HasEnded {
			at := slices.IndexFunc(known, database.Is)
			database.IsLeaving = at >= 0 && known[at].IsLeaving
		}
		next = append(next, database)
	}
	gone := make(map[leader.Database]departure)
	for _, database := range known {
		if slices.ContainsFunc(next, database.Is) {
			continue
		}
		departure, ok := holders.gone[database]
		if !ok {
			departure.since = now
		}
		if departure.bound.IsZero() && state.PrimaryPositionAt.After(departure.since) {
			departure.bound = state.PrimaryPosition
		}
		if hasStopped(database, state, departure.since, now) && departure.isCovered(state) {
			continue
		}
		gone[database] = departure
		next = append(next, database)
	}
	holders.gone = gone
	slices.SortFunc(next, func(a, b leader.Database) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
	})
	return next
}

// databaseOf returns the database of a registration.
func databaseOf(member dbset.Member) leader.Database {
	return leader.Database{ID: member.ID, Born: member.Born, IsLeaving: member.Leaving}
}

// hasStopped reports whether a database that is not registered receives no more commits: it has
// been started again under its ID, or it was leaving and its registration ended long ago. The end
// of a registration alone shows nothing, since a database that can't reach the store loses it.
func hasStopped(database leader.Database, state dbset.State, since, now time.Time) bool {
	if present, ok := findMember(state, database.ID); ok {
		return present.Born > database.Born
	}
	return database.IsLeaving && now.Sub(since) >= leftDelay
}

// isCovered reports whether a registered replica has received all that the database may have
// received.
func (departure departure) isCovered(state dbset.State) bool {
	return !departure.bound.IsZero() && slices.ContainsFunc(state.Members, func(member dbset.MemberState) bool {
		return member.ID != state.Primary && !member.HasEnded && member.Report.Term == state.Term &&
			member.Received.AtLeast(departure.bound)
	})
}

// unmet returns the databases, of those that may have received an acknowledged commit, without which
// the sealed replicas may lack one; nil if they have all. That is so if the primary that acknowledged
// them is among the sealed, or all others are.
func unmet(known leader.GroupState, primary leader.Database, term uint64, registered []dbset.MemberState, seals []sealedReplica) []leader.Database {
	sealed := func(database leader.Database) (sealedReplica, bool) {
		for _, seal := range seals {
			present, _ := findDatabase(registered, database)
			// One that has less than before has been started again without its log.
			if databaseOf(seal.member).Is(database) && seal.report.Received.AtLeast(present.Received) {
				return seal, true
			}
		}
		return sealedReplica{}, false
	}
	if seal, ok := sealed(primary); ok && seal.report.Term >= term {
		return nil
	}
	holders := slices.Clone(known.Databases)
	for _, member := range registered {
		if database := databaseOf(member.Member); !slices.ContainsFunc(holders, database.Is) {
			holders = append(holders, database)
		}
	}
	var unmet []leader.Database
	for _, database := range holders {
		if _, ok := sealed(database); !ok && !database.Is(primary) {
			unmet = append(unmet, database)
		}
	}
	return unmet
}

// findDatabase returns the member that is a database.
func findDatabase(members []dbset.MemberState, database leader.Database) (dbset.MemberState, bool) {
	for _, member := range members {
		if databaseOf(member.Member).Is(database) {
			return member, true
		}
	}
	return dbset.MemberState{}, false
}
