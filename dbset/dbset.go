// Package dbset tracks the state of one database group, as known to one VM, and
// selects the database for each request. It does no I/O; the time is an argument.
// All methods are safe for concurrent use.
//
// A VM uses the primary only under a primary lease, which lasts for LeaseDuration from
// the moment the VM requested it from the leader. The leader promotes
// another database only after it has revoked all its leases or waited until they
// have expired. If no leader answers, the reports of all replicas, none of which is sealed for
// a higher term, stand in for the lease until EvidenceDuration after the first of them was
// requested. This is safe because the leader seals at least the replica that it promotes,
// and then waits that long, or until all VMs have acknowledged the revocation of their leases:
// a VM uses no reports from then on until it gets another lease.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  2. A minimum position comes from a primary that was under a lease when the
//     position was requested.
//  4. A replica answers only from the minimum position on. The cheapest one is
//     chosen.
//  5. A read with bounded staleness may use any observation of the primary that
//     was requested within the bound. Unknown staleness counts as exceeding it.
//  7. A former primary confirms no commit: the lease is checked after the commit.
//  18. A leaving database receives no new requests, unless it is the primary and
//     has not been replaced yet.
package dbset

import (
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

const (
	// LeaseDuration is the length of a primary lease, counted from the VM's request.
	LeaseDuration = 2 * time.Second
	// IssueWindow is how long after its last renewal a leader issues leases. A leader that
	// is partitioned from the store soon stops to, so its successor needs not wait long.
	IssueWindow = 1500 * time.Millisecond
	// EvidenceDuration is how long the replicas' reports stand in for a lease,
	// counted from the request for the oldest report.
	EvidenceDuration = 350 * time.Millisecond
	// FormerEvidenceDuration is the EvidenceDuration of VMs that don't state theirs in their
	// record in the store.
	FormerEvidenceDuration = 600 * time.Millisecond
	// lagMargin is added to a replica's lag where its position is estimated.
	lagMargin = 30 * time.Millisecond
	// stalenessMargin is subtracted from the accepted staleness, since clocks run at
	// different rates.
	stalenessMargin = 20 * time.Millisecond
	// maxObservations limits the stored observations, and so a group's memory.
	maxObservations = 64
	// crossZonePenalty is added to the cost of a database in another availability zone,
	// beyond its latency: traffic between zones is charged for.
	crossZonePenalty = 6 * time.Millisecond
	// primaryPenalty keeps reads away from the only database that serves writes.
	primaryPenalty = 25 * time.Millisecond
	// connectPenalty is added for the time to open a connection.
	connectPenalty = 15 * time.Millisecond
	// avoidancePeriod is how long a database is avoided after a failed request,
	// per consecutive failure.
	avoidancePeriod = 500 * time.Millisecond
	// absencePeriod is how long a member is not used after another database has answered at its
	// address.
	absencePeriod = 5 * time.Second
	// lagProbeInterval is how often one read probes a replica that was too far
	// behind.
	lagProbeInterval = 400 * time.Millisecond
	// busyReportLifetime is how long the load in a report is used: most requests
	// finish within some tens of ms.
	busyReportLifetime = 50 * time.Millisecond
	// assumedLag is the lag of a replica whose lag is unknown. Known lags count
	// for at least half of it.
	assumedLag = 60 * time.Millisecond
)

// Member is a database as registered on the platform.
type Member struct {
	ID      string
	Group   string
	Address string
	Zone    string
	// Slots is the parallelism: how many requests the database runs at a time, as its
	// registration states it.
	Slots   int
	Leaving bool
	// HasEnded is set if the registration has ended. The database may still run.
	HasEnded bool
	// SaysPrimary is set if the database registered itself as the primary.
	SaysPrimary bool
	// Born is the database's start time in Unix ms.
	Born int64
}

// Report is a database's answer to a request for its state.
type Report struct {
	Primary bool
	Term    uint64
	// Received is the end of the log that the database has received.
	Received posn.Position
	// SealedTerm is the term for which the database is sealed; 0 if it is not sealed.
	SealedTerm  uint64
	Lag         time.Duration
	Busy        int
	Connections int
}

type member struct {
	Member
	report     Report
	reportedAt time.Time
	// requestedAt is when the report was requested.
	requestedAt time.Time
	// received is the end of the log that the database is known to have received, applied the
	// position that its reads are known to show. A replica may apply what it has received
	// seconds later.
	received posn.Position
	applied  posn.Position
	// lag is the time that the replica's applied position is behind the primary, as last
	// estimated from an answer; lagAt is the time of that estimate or of the last read that
	// was sent to probe the lag, whichever is later.
	lag      time.Duration
	lagAt    time.Time
	latency  time.Duration
	inFlight int
	// failures counts the consecutive failed requests.
	failures int
	// refusedConnections counts the failures in which the connection was refused.
	refusedConnections int
	// failingSince is the time of the first consecutive failure, failedAt that of
	// the last.
	failingSince time.Time
	failedAt     time.Time
	lastAnswerAt time.Time
	// absentUntil is set if another database has answered at the member's address.
	absentUntil time.Time
}

// Group is the state of one database group, as known to one VM.
type Group struct {
	Name string
	// Zone is the VM's own availability zone.
	Zone string
	// HasIdleConn reports whether the VM has an idle connection of a team to a database.
	// If it is nil, one is assumed for every database.
	HasIdleConn func(id, team string) bool

	mu      sync.Mutex
	members map[string]*member
	order   []string
	term    uint64
	primary string
	// lastPrimary is State.LastPrimary.
	lastPrimary string
	// isSynchronous is State.IsSynchronous.
	isSynchronous bool
	// termStart is a position of the term that covers every entry retained from
	// earlier terms.
	termStart   posn.Position
	leasedUntil time.Time
	// leasedTerm is the term of the last lease from a leader.
	leasedTerm uint64
	// acknowledged is the result of Acknowledged.
	acknowledged posn.Position
	// primaryPosition is State.PrimaryPosition, primaryPositionAt when it was requested.
	primaryPosition   posn.Position
	primaryPositionAt time.Time
	// primaryApplied is the latest position that the primary's reads are known to show.
	primaryApplied posn.Position
	// gap is the last period without a lease.
	gap gap
	// leaderObservedAt is the result of LeaderObservedAt.
	leaderObservedAt time.Time
	// token is the fencing token of the last lease or revocation.
	token     uint64
	revokedAt time.Time
	// confirmedTerm is the last term that a replica's report or a promotion has
	// confirmed to be the newest.
	confirmedTerm uint64
	// mayUseEvidence is set if replicas' reports may stand in for a lease.
	mayUseEvidence bool
	observations   []observation
	changed        chan struct{}
}

// New returns a group without members for a VM in zone.
func New(name, zone string) *Group {
	return &Group{Name: name, Zone: zone, members: make(map[string]*member), changed: make(chan struct{})}
}

// Changed returns a channel that is closed when the members or the primary change
// or a new lease begins, so that pending requests can try again.
func (group *Group) Changed() <-chan struct{} {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.changed
}

func (group *Group) notifyChange() {
	close(group.changed)
	group.changed = make(chan struct{})
}

// SetMembers replaces the members by the registered databases. The state recorded
// for a database is dropped if it has restarted or moved to another address. A primary that
// has restarted is none until it reports to be.
func (group *Group) SetMembers(registrations []Member, now time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	members := make(map[string]*member, len(registrations))
	group.order = group.order[:0]
	for _, registered := range registrations {
		current, ok := group.members[registered.ID]
		if ok && registered.ID == group.primary && current.Born != registered.Born {
			// It has started again without its log, unless it reports that it leads.
			group.primary = ""
		}
		if !ok || current.Born != registered.Born || current.Address != registered.Address {
			current = &member{lastAnswerAt: now}
			if registered.ID == group.lastPrimary {
				group.lastPrimary = ""
			}
		}
		current.Member = registered
		members[registered.ID] = current
		group.order = append(group.order, registered.ID)
	}
	group.members = members
	if _, ok := members[group.primary]; !ok {
		group.primary = ""
	}
	group.notifyChange()
}

// SetSynchronous sets whether the group acknowledges a commit only once a replica has
// received it.
func (group *Group) SetSynchronous(isSynchronous bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.isSynchronous = isSynchronous
}

// Members returns the registered databases.
func (group *Group) Members() []Member {
	group.mu.Lock()
	defer group.mu.Unlock()
	members := make([]Member, 0, len(group.order))
	for _, id := range group.order {
		members = append(members, group.members[id].Member)
	}
	return members
}

// Report records a database's report that was requested at requestedAt.
func (group *Group) Report(id string, report Report, requestedAt, now time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	member, ok := group.members[id]
	if !ok {
		return
	}
	member.report, member.reportedAt, member.requestedAt = report, now, requestedAt
	member.recordAnswer(now)
	if report.Received.AtLeast(member.received) || report.Term > member.received.Term {
		member.received = report.Received
	}
	if report.Primary {
		group.recordPrimaryReport(id, report, requestedAt)
		return
	}
	if group.primary == id {
		group.primary = ""
		group.notifyChange()
	}
	group.recordReplicaReport(report, requestedAt)
}

func (group *Group) recordPrimaryReport(id string, report Report, requestedAt time.Time) {
	switch {
	case report.Term > group.term || report.Term == group.term && group.primary == "":
		if report.Term > group.term {
			group.leasedUntil = time.Time{}
		}
		if report.Term > group.term || group.termStart.IsZero() {
			group.termStart = report.Received
		}
		group.setPrimary(report.Term, id)
	case report.Term == group.term && group.primary == id:
		group.recordPrimaryPosition(report.Received, requestedAt)
		group.addObservation(report.Received, requestedAt)
	}
}

// setPrimary sets the term and its primary.
func (group *Group) setPrimary(term uint64, id string) {
	group.primaryPosition, group.primaryPositionAt, group.primaryApplied = posn.Position{}, time.Time{}, posn.Position{}
	group.term, group.primary, group.lastPrimary = term, id, id
	group.notifyChange()
}

// recordReplicaReport uses a replica's report: it adopts a newer term, or extends
// the lease if the report may stand in for one.
func (group *Group) recordReplicaReport(report Report, requestedAt time.Time) {
	if report.Term == group.term && report.SealedTerm <= group.term {
		// A replica that is sealed for a higher term may be about to become its primary.
		group.confirmedTerm = group.term
	}
	if report.Term > group.term && report.SealedTerm == 0 {
		group.adoptTerm(report.Term)
		return
	}
	// After a revocation, and in a term that began without one, only a leader can tell when the
	// leases of other VMs have ended.
	if !group.mayUseEvidence || !group.revokedAt.IsZero() || group.leasedTerm != group.term {
		return
	}
	if evidenceAt, ok := group.evidenceAt(); ok {
		group.extendLease(evidenceAt.Add(EvidenceDuration), requestedAt)
	}
}

// evidenceAt returns the time of the oldest of the last reports of all replicas; false unless
// each has reported and none is sealed for a higher term. A promotion may have sealed one
// replica only.
func (group *Group) evidenceAt() (time.Time, bool) {
	var oldest time.Time
	for id, replica := range group.members {
		switch {
		case id == group.primary:
		case replica.reportedAt.IsZero(), replica.report.Primary, replica.report.SealedTerm > group.term:
			return time.Time{}, false
		case oldest.IsZero() || replica.requestedAt.Before(oldest):
			oldest = replica.requestedAt
		}
	}
	return oldest, !oldest.IsZero()
}

func (member *member) recordAnswer(now time.Time) {
	member.failures, member.refusedConnections = 0, 0
	member.failingSince, member.absentUntil = time.Time{}, time.Time{}
	member.lastAnswerAt = now
}

// Begin counts a request to a database as in flight.
func (group *Group) Begin(id string) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if member, ok := group.members[id]; ok {
		member.inFlight++
	}
}

// End counts a request that Begin counted as finished.
func (group *Group) End(id string) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if member, ok := group.members[id]; ok {
		member.inFlight--
	}
}

// Done records the answer to a request that was sent at requestedAt. The position
// is zero if the answer has none.
func (group *Group) Done(id string, position posn.Position, requestedAt, now time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if member, ok := group.members[id]; ok {
		const smoothingDivisor = 8 // a new latency counts 1/8 in the moving average
		member.latency += (now.Sub(requestedAt) - member.latency) / smoothingDivisor
		group.recordAnswer(member, position, requestedAt, now)
	}
}

// Answered records an answer to a request that the database did not run, or that takes no
// slot. That is faster than a run, so it does not count for the latency.
func (group *Group) Answered(id string, position posn.Position, requestedAt, now time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if member, ok := group.members[id]; ok {
		group.recordAnswer(member, position, requestedAt, now)
	}
}

func (group *Group) recordAnswer(member *member, position posn.Position, requestedAt, now time.Time) {
	member.recordAnswer(now)
	if !position.IsZero() {
		member.received, member.applied = posn.Max(member.received, position), posn.Max(member.applied, position)
		if member.ID == group.primary {
			group.recordPrimaryPosition(position, requestedAt)
			group.primaryApplied = posn.Max(group.primaryApplied, position)
			group.addObservation(position, requestedAt)
		} else {
			member.estimateLag(group.observations, now)
		}
	}
}

// Failed records a request without an answer. A refused connection shows at once
// that the database process is not running.
func (group *Group) Failed(id string, isRefused bool, now time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	member, ok := group.members[id]
	if !ok {
		return
	}
	member.failures++
	if isRefused {
		member.refusedConnections++
	}
	member.failedAt = now
	if member.failingSince.IsZero() {
		member.failingSince = now
	}
}

// Absent records that another database answered at the member's address: the registration is
// odd, or the database has gone and its address is in use again. The member is not used for a
// while.
func (group *Group) Absent(id string, now time.Time) {
	group.Failed(id, false, now)
	group.mu.Lock()
	defer group.mu.Unlock()
	if member, ok := group.members[id]; ok {
		member.absentUntil = now.Add(absencePeriod)
	}
}

// Demoted records that a database refused a write because it is not the primary.
func (group *Group) Demoted(id string) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if group.primary == id {
		group.primary = ""
		group.notifyChange()
	}
}
