package dbset

import (
	"fmt"
	"strings"
	"time"
)

// State is what the group's keeper needs to know.
type State struct {
	Term    uint64
	Primary string
	Members []MemberState
}

// MemberState is what is known of one database.
type MemberState struct {
	Member
	Report     Report
	ReportedAt time.Time
	// FailingSince is when the database began not to answer; zero if it does.
	FailingSince time.Time
	Failures     int
	Refusals     int
	HeardAt      time.Time
}

// State returns a copy of what is known.
func (group *Group) State() State {
	group.mu.Lock()
	defer group.mu.Unlock()
	state := State{Term: group.term, Primary: group.primary}
	for _, id := range group.order {
		known := group.members[id]
		state.Members = append(state.Members, MemberState{
			Member: known.Member, Report: known.report, ReportedAt: known.reportedAt,
			FailingSince: known.failingSince, Failures: known.failures, Refusals: known.refusals, HeardAt: known.heardAt,
		})
	}
	return state
}

// cutAfter is how long the primary must have left requests unanswered for the
// VM to be cut off from it.
const cutAfter = 600 * time.Millisecond

// View is how a VM sees a group's primary.
type View struct {
	Primary string
	// HeardAt is when the primary last answered.
	HeardAt time.Time
	// IsCut says that the VM can't reach it, though it reaches another database
	// of the group.
	IsCut bool
}

// View returns how this VM sees the primary.
func (group *Group) View(now time.Time) View {
	group.mu.Lock()
	defer group.mu.Unlock()
	leads, ok := group.members[group.primary]
	if !ok {
		return View{}
	}
	return View{Primary: leads.ID, HeardAt: leads.heardAt, IsCut: group.isCut(leads, now)}
}

func (group *Group) isCut(leads *member, now time.Time) bool {
	if leads.failures < 2 || now.Sub(leads.failingSince) < cutAfter {
		return false
	}
	for _, other := range group.members {
		if other != leads && other.failures == 0 && now.Sub(other.heardAt) < cutAfter {
			return true
		}
	}
	return false
}

// Need says how urgently a database should be asked for its report.
type Need int

// The needs.
const (
	NoNeed Need = iota
	Seldom
	Often
)

// Needs returns the members that should be asked now. A keeper follows the
// primary. Other VMs ask only while they have no grant: one replica for its
// evidence, or all databases while no primary is known.
func (group *Group) Needs(isKeeper bool, now time.Time) map[string]Need {
	group.mu.Lock()
	defer group.mu.Unlock()
	hasGrant := group.grantedUntil.After(now.Add(EvidenceFor / 2))
	needs := make(map[string]Need)
	var witness string
	for id, member := range group.members {
		isPrimary := id == group.primary
		switch {
		case group.primary == "":
			needs[id] = Often
		case isPrimary && (isKeeper && now.Sub(member.heardAt) > quietPrimary || member.failures > 0):
			needs[id] = Often
		case isKeeper && !isPrimary:
			needs[id] = Seldom
		}
		if !isPrimary && !member.isAvoided(now) && (witness == "" || id < witness) {
			witness = id
		}
	}
	if !hasGrant && group.mayUseProof && witness != "" {
		needs[witness] = Often
	}
	return needs
}

// quietPrimary is how long a primary may be unheard before its keeper asks it.
const quietPrimary = 150 * time.Millisecond

// Summary describes the members for a log line: role, latency in ms, requests
// under way, failures in a row and lag in ms.
func (group *Group) Summary(now time.Time) string {
	group.mu.Lock()
	defer group.mu.Unlock()
	var text strings.Builder
	for _, id := range group.order {
		known := group.members[id]
		role := "replica"
		if id == group.primary {
			role = "primary"
		}
		if known.Leaving {
			role += "Leaving"
		}
		fmt.Fprintf(&text, "%s=%s/%d/%d/%d/%d ", id, role,
			known.latency.Milliseconds(), known.inFlight, known.failures, known.lag.Milliseconds())
	}
	if !group.grantedUntil.After(now) {
		text.WriteString("noGrant")
	}
	return strings.TrimSpace(text.String())
}
