package dbset

import (
	"fmt"
	"strings"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// State is a snapshot of a group for the leader.
type State struct {
	Term    uint64
	Primary string
	// LastPrimary is the last known primary of the term, also after it was demoted.
	LastPrimary string
	// PrimaryPosition is the last known end of the primary's log, requested at
	// PrimaryPositionAt; zero if none is known.
	PrimaryPosition   posn.Position
	PrimaryPositionAt time.Time
	// IsSynchronous is set if a commit is acknowledged only once a replica has received it.
	IsSynchronous bool
	Members       []MemberState
}

// MemberState is the state recorded for one database.
type MemberState struct {
	Member
	Report     Report
	ReportedAt time.Time
	// RequestedAt is when the report was requested.
	RequestedAt time.Time
	// Received is the latest position that the database is known to have received.
	Received posn.Position
	// FailingSince is the time of the first consecutive failure; zero if the last
	// request was answered.
	FailingSince time.Time
	// Failures counts the consecutive failed requests, RefusedConnections those of
	// them in which the connection was refused.
	Failures           int
	RefusedConnections int
	LastAnswerAt       time.Time
	// IsAbsent is set if another database last answered at the member's address.
	IsAbsent bool
}

// State returns a snapshot of the group.
func (group *Group) State() State {
	group.mu.Lock()
	defer group.mu.Unlock()
	state := State{
		Term: group.term, Primary: group.primary, LastPrimary: group.lastPrimary, IsSynchronous: group.isSynchronous,
		PrimaryPosition: group.primaryPosition, PrimaryPositionAt: group.primaryPositionAt,
	}
	for _, id := range group.order {
		member := group.members[id]
		state.Members = append(state.Members, MemberState{
			Member: member.Member, Report: member.report, ReportedAt: member.reportedAt, RequestedAt: member.requestedAt, Received: member.received,
			FailingSince: member.failingSince, Failures: member.failures, RefusedConnections: member.refusedConnections, LastAnswerAt: member.lastAnswerAt,
			IsAbsent: !member.absentUntil.IsZero(),
		})
	}
	return state
}

// unreachableAfter is how long at least two consecutive requests to the primary must
// have failed before the VM counts it as unreachable. It also bounds the age of the
// answer by which another database of the group counts as reachable.
const unreachableAfter = 600 * time.Millisecond

// View is the state of a group's primary, as known to one VM.
type View struct {
	Primary string
	// LastAnswerAt is when the primary last answered.
	LastAnswerAt time.Time
	// IsUnreachable is set if the VM can't reach the primary but reaches another database
	// of the group.
	IsUnreachable bool
	// HasContact is set if the primary has recently answered the VM, or failed to. Without
	// it the VM can't tell whether it reaches the primary.
	HasContact bool
}

// contactPeriod is how long an answer of the primary counts as recent contact.
const contactPeriod = 10 * time.Second

// View returns the state of the primary; zero if no primary is known.
func (group *Group) View(now time.Time) View {
	group.mu.Lock()
	defer group.mu.Unlock()
	primary, ok := group.members[group.primary]
	if !ok {
		return View{}
	}
	return View{
		Primary: primary.ID, LastAnswerAt: primary.lastAnswerAt, IsUnreachable: group.isUnreachable(primary, now),
		HasContact: primary.failures > 0 || now.Sub(primary.lastAnswerAt) < contactPeriod,
	}
}

func (group *Group) isUnreachable(primary *member, now time.Time) bool {
	if primary.failures < 2 || now.Sub(primary.failingSince) < unreachableAfter {
		return false
	}
	for _, other := range group.members {
		if other != primary && other.failures == 0 && now.Sub(other.lastAnswerAt) < unreachableAfter {
			return true
		}
	}
	return false
}

// PollRate is how often a database should be polled for its report.
type PollRate int

// Polling frequencies; the code that polls chooses their intervals.
const (
	NoPoll PollRate = iota
	SlowPoll
	FastPoll
)

// PollRates returns the members that should be polled for their reports. The
// leader polls the primary if it has not answered for maxPrimarySilence, the
// replicas at the slow rate, and all databases while no primary is known or the primary fails:
// it can't tell a partition from the primary unless replicas answer. It does so too while a
// leaving primary waits for a replica of its term, where replication is synchronous. Any VM polls a
// failing primary, and the replicas for evidence, if evidence is allowed, while the VM's own
// lease has expired or ends within EvidenceDuration/2. Other VMs than the leader poll all
// databases while no primary is known if they may use evidence, or else if hasConns: then the
// polls open connections before the lease arrives. Where connections are scarce, the polls of
// all VMs of a fleet that starts would use them up. A VM whose lease the leader withholds polls
// the databases to which it has a connection, for a proof.
func (group *Group) PollRates(isLeader, hasConns bool, now time.Time) map[string]PollRate {
	group.mu.Lock()
	defer group.mu.Unlock()
	isWithheld := !isLeader && hasConns && group.isLeaseWithheld(now)
	isLeaseFresh := group.leasedUntil.After(now.Add(EvidenceDuration / 2))
	primary, isKnown := group.members[group.primary]
	isFailing := isKnown && primary.failures > 0
	isAwaitingCandidate := isKnown && primary.Leaving && group.isSynchronous
	rates := make(map[string]PollRate)
	needsEvidence := !isLeaseFresh && group.mayUseEvidence
	for id, member := range group.members {
		isPrimary := id == group.primary
		switch {
		case member.absentUntil.After(now):
		case group.primary == "" && (isLeader || hasConns || group.mayUseEvidence):
			rates[id] = FastPoll
		case isPrimary && (isLeader && now.Sub(member.lastAnswerAt) > maxPrimarySilence || isFailing):
			rates[id] = FastPoll
		case isLeader && (isFailing || isAwaitingCandidate):
			rates[id] = FastPoll
		case isLeader && !isPrimary:
			rates[id] = SlowPoll
		case isWithheld && (group.HasIdleConn == nil || group.HasIdleConn(id, "")):
			rates[id] = FastPoll
		}
		if needsEvidence && !isPrimary && !member.isAvoided(now) {
			rates[id] = FastPoll
		}
	}
	return rates
}

// maxPrimarySilence is how long a primary may send no answer before the leader
// polls it.
const maxPrimarySilence = 150 * time.Millisecond

// Summary formats the members for a log line: role, latency in ms, requests in
// flight, consecutive failures, and lag in ms.
func (group *Group) Summary(now time.Time) string {
	group.mu.Lock()
	defer group.mu.Unlock()
	var text strings.Builder
	for _, id := range group.order {
		member := group.members[id]
		role := "replica"
		if id == group.primary {
			role = "primary"
		}
		if member.Leaving {
			role += "Leaving"
		}
		fmt.Fprintf(&text, "%s=%s/%d/%d/%d/%d ", id, role,
			member.latency.Milliseconds(), member.inFlight, member.failures, member.lag.Milliseconds())
	}
	// The log calls a lease a grant.
	if !group.leasedUntil.After(now) {
		text.WriteString("noGrant")
	}
	return strings.TrimSpace(text.String())
}
