package stats

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
)

const (
	// maxTeamsShown is the number of teams that WriteText lists, the largest by requests; the
	// others are listed together.
	maxTeamsShown = 20
	// maxTeams is the number of teams that are counted apart. Configurations have fewer at a
	// time; the limit bounds the memory where teams come and go.
	maxTeams = 512
)

// Outcome is what became of a team's request.
type Outcome int

// The outcomes. The request ran, or failed for another reason, if it is Answered.
const (
	Answered Outcome = iota
	// RefusedQuota means that the team was beyond its quota.
	RefusedQuota
	// RefusedOverload means that the VM or the databases had no capacity or no primary.
	RefusedOverload
	// RefusedUnauthorized means that the caller's key was unknown or revoked.
	RefusedUnauthorized
)

var outcomeNames = [...]string{
	Answered: "answered", RefusedQuota: "refusedQuota", RefusedOverload: "refusedOverload", RefusedUnauthorized: "refusedUnauthorized",
}

// teamCounts are the numbers of a team's requests by outcome.
type teamCounts [len(outcomeNames)]int64

func (counts *teamCounts) total() int64 {
	var total int64
	for _, count := range counts {
		total += count
	}
	return total
}

func (counts *teamCounts) add(other *teamCounts) {
	for outcome, count := range other {
		counts[outcome] += count
	}
}

// Teams counts the requests of each team by their outcome. The zero value is ready for use.
type Teams struct {
	mu     sync.Mutex
	byName map[string]*teamCounts
	// others are the counts of teams that are not in byName any more.
	others teamCounts
}

// Record counts a request of a team. An empty team, that of callers without one, is named
// none.
func (teams *Teams) Record(team string, outcome Outcome) {
	if team == "" {
		team = "none"
	}
	teams.mu.Lock()
	defer teams.mu.Unlock()
	counts, ok := teams.byName[team]
	if !ok {
		counts = teams.insert(team)
	}
	counts[outcome]++
}

// insert adds a team, in place of the smallest if there are maxTeams. mu must be held.
func (teams *Teams) insert(team string) *teamCounts {
	if teams.byName == nil {
		teams.byName = make(map[string]*teamCounts)
	}
	if len(teams.byName) >= maxTeams {
		var smallest string
		for name, counts := range teams.byName {
			if smallest == "" || counts.total() < teams.byName[smallest].total() {
				smallest = name
			}
		}
		teams.others.add(teams.byName[smallest])
		delete(teams.byName, smallest)
	}
	counts := &teamCounts{}
	teams.byName[team] = counts
	return counts
}

// namesBySize returns the teams' names, those with most requests first. mu must be held.
func (teams *Teams) namesBySize() []string {
	names := make([]string, 0, len(teams.byName))
	for name := range teams.byName {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(teams.byName[b].total(), teams.byName[a].total()), cmp.Compare(a, b))
	})
	return names
}

// writeText writes the counts of the maxTeamsShown largest teams, and of all others together.
func (teams *Teams) writeText(writer io.Writer) error {
	teams.mu.Lock()
	defer teams.mu.Unlock()
	others := teams.others
	for i, name := range teams.namesBySize() {
		counts := teams.byName[name]
		if i >= maxTeamsShown {
			others.add(counts)
		} else if err := writeTeam(writer, name, counts); err != nil {
			return err
		}
	}
	if others.total() == 0 {
		return nil
	}
	return writeTeam(writer, "others", &others)
}

func writeTeam(writer io.Writer, name string, counts *teamCounts) error {
	for outcome, count := range counts {
		if _, err := fmt.Fprintf(writer, "teams.%s.%s %d\n", name, outcomeNames[outcome], count); err != nil {
			return err
		}
	}
	return nil
}
