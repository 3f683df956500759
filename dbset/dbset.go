// Package dbset has what a VM knows of one database group and decides by it
// which database answers a request. It does no I/O; time is passed in. All
// methods may be called from many goroutines.
//
// A database that leads is only used under a grant. The group's keeper grants
// for GrantFor from the moment it was asked, and promotes no other database
// before it has revoked its grants or waited them out. Where no keeper answers, a
// replica that was asked at a time t and has not sealed a higher term stands for
// EvidenceFor: a keeper seals the replicas first, and waits that long.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  2. A floor comes from a primary that held a grant when it was asked.
//  4. A replica answers only from the floor on. Choose the cheapest.
//  5. An aged read may use any observation of the primary that began within its
//     age. An unknown age is not a small one.
//  7. No former primary confirms a commit: the grant is checked after it.
//  18. A leaving database gets no new work, unless it leads and has not been
//     replaced yet.
package dbset

import (
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

const (
	// GrantFor is how long a keeper's word lets a VM use the primary.
	GrantFor = 2 * time.Second
	// EvidenceFor is how long a replica's report does.
	EvidenceFor = 600 * time.Millisecond
	// holdFor is how long a revoked grant keeps a VM from going by replicas: an
	// order to promote is over by then.
	holdFor = 4 * time.Second
	// lagMargin is added to a replica's lag where its position is a guess.
	lagMargin = 30 * time.Millisecond
	// ageMargin is taken off a stated age for clocks that run at other rates.
	ageMargin = 20 * time.Millisecond
	// maxObservations bounds the memory of a group.
	maxObservations = 64
	// farPenalty is the cost of another availability zone beside its latency:
	// bytes between zones are priced.
	farPenalty = 6 * time.Millisecond
	// primaryPenalty keeps reads away from the database that alone takes writes.
	primaryPenalty = 25 * time.Millisecond
	// openCost is the time that it takes to open a connection.
	openCost = 15 * time.Millisecond
	// avoidFor is how long a database is avoided after a failed request.
	avoidFor = 500 * time.Millisecond
	// relearnLag is how often one read tries a replica that was far behind.
	relearnLag = 400 * time.Millisecond
	// busyFor is how long a report tells how busy a database is: the work of a
	// moment is done in some tens of ms.
	busyFor = 50 * time.Millisecond
	// unknownLag is assumed for a replica of which no lag is known.
	unknownLag = 60 * time.Millisecond
)

// Member is a database as the platform's registrations describe it.
type Member struct {
	ID      string
	Group   string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// SaysPrimary is how the database sees itself.
	SaysPrimary bool
	// Born is the Unix millisecond of its start.
	Born int64
}

// Report is a database's answer about its state.
type Report struct {
	Primary bool
	Term    uint64
	// Received is the end of the log that the database has received.
	Received posn.Position
	// Held is the term that the database is sealed for; 0 is none.
	Held        uint64
	Lag         time.Duration
	Busy        int
	Connections int
}

type member struct {
	Member
	report     Report
	reportedAt time.Time
	// position is the newest seen in answers and reports.
	position posn.Position
	// lag is how far behind the primary the last answer was, learned at lagAt.
	lag      time.Duration
	lagAt    time.Time
	latency  time.Duration
	inFlight int
	failures int
	// refusals are the failures that were refused connections.
	refusals int
	// failingSince is the first of the failures in a row, failedAt the last.
	failingSince time.Time
	failedAt     time.Time
	heardAt      time.Time
}

// Group is what a VM knows of one database group.
type Group struct {
	Name string
	// Zone is the VM's own availability zone.
	Zone string
	// IsWarm reports whether the VM has an idle connection to a database; nil
	// stands for always.
	IsWarm func(id string) bool

	mu           sync.Mutex
	members      map[string]*member
	order        []string
	term         uint64
	primary      string
	termStart    posn.Position
	grantedUntil time.Time
	// keeperSaw is when the keeper last saw the primary.
	keeperSaw time.Time
	// token is the fence of the last keeper that granted or revoked.
	token     uint64
	revokedAt time.Time
	// shownTerm is the last term that a replica, or a promotion, has shown to be
	// the newest.
	shownTerm    uint64
	mayUseProof  bool
	observations []observation
	changed      chan struct{}
}

// New makes a group without members.
func New(name, zone string) *Group {
	return &Group{Name: name, Zone: zone, members: make(map[string]*member), changed: make(chan struct{})}
}

// Changed returns a channel that is closed when the primary or its grant
// changes, for requests that wait.
func (group *Group) Changed() <-chan struct{} {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.changed
}

func (group *Group) wake() {
	close(group.changed)
	group.changed = make(chan struct{})
}

// SetMembers installs the registrations. A database that started anew is a new
// one, even under the same ID.
func (group *Group) SetMembers(members []Member, now time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	found := make(map[string]*member, len(members))
	group.order = group.order[:0]
	for _, next := range members {
		known, ok := group.members[next.ID]
		if !ok || known.Born != next.Born || known.Address != next.Address {
			known = &member{heardAt: now}
		}
		known.Member = next
		found[next.ID] = known
		group.order = append(group.order, next.ID)
	}
	group.members = found
	if _, ok := found[group.primary]; !ok {
		group.primary = ""
	}
	group.wake()
}

// Members returns the registrations.
func (group *Group) Members() []Member {
	group.mu.Lock()
	defer group.mu.Unlock()
	members := make([]Member, 0, len(group.order))
	for _, id := range group.order {
		members = append(members, group.members[id].Member)
	}
	return members
}

// Report takes a database's report, asked for at began.
func (group *Group) Report(id string, report Report, began, now time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	from, ok := group.members[id]
	if !ok {
		return
	}
	from.report, from.reportedAt = report, now
	from.heard(now)
	if posn.Max(from.position, report.Received) == report.Received || report.Term > from.position.Term {
		from.position = report.Received
	}
	if report.Primary {
		group.sawPrimary(id, report, began)
		return
	}
	if group.primary == id {
		group.primary = ""
		group.wake()
	}
	group.sawReplica(report, began)
}

func (group *Group) sawPrimary(id string, report Report, began time.Time) {
	switch {
	case report.Term > group.term || report.Term == group.term && group.primary == "":
		if report.Term > group.term {
			group.grantedUntil = time.Time{}
		}
		if report.Term > group.term || group.termStart.IsZero() {
			group.termStart = report.Received
		}
		group.term, group.primary = report.Term, id
		group.wake()
	case report.Term == group.term && group.primary == id:
		group.observe(report.Received, began)
	}
}

// sawReplica takes a replica's report for a grant, where that is allowed.
func (group *Group) sawReplica(report Report, began time.Time) {
	if report.Term == group.term {
		group.shownTerm = group.term
	}
	if report.Term > group.term && report.Held == 0 {
		group.supersede(report.Term)
		return
	}
	if report.Held > group.term || !group.mayUseProof {
		return
	}
	if !group.revokedAt.IsZero() && began.Sub(group.revokedAt) < holdFor {
		return
	}
	group.extend(began.Add(EvidenceFor), began)
}

func (member *member) heard(now time.Time) {
	member.failures, member.refusals = 0, 0
	member.failingSince = time.Time{}
	member.heardAt = now
}

// Begin notes a request that is meant for a database.
func (group *Group) Begin(id string) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if to, ok := group.members[id]; ok {
		to.inFlight++
	}
}

// End notes the end of a request.
func (group *Group) End(id string) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if to, ok := group.members[id]; ok {
		to.inFlight--
	}
}

// Done notes the answer to a request that was sent at began.
func (group *Group) Done(id string, position posn.Position, began, now time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	from, ok := group.members[id]
	if !ok {
		return
	}
	from.heard(now)
	const weight = 8 // of the past in the moving average of the latency
	from.latency += (now.Sub(began) - from.latency) / weight
	if !position.IsZero() {
		from.position = posn.Max(from.position, position)
		if id == group.primary {
			group.observe(position, began)
		} else {
			from.learnLag(group.observations, now)
		}
	}
}

// Failed notes that a request got no answer. A refused connection shows at once
// that the database doesn't run.
func (group *Group) Failed(id string, isRefused bool, now time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	from, ok := group.members[id]
	if !ok {
		return
	}
	from.failures++
	if isRefused {
		from.refusals++
	}
	from.failedAt = now
	if from.failingSince.IsZero() {
		from.failingSince = now
	}
}

// Demoted notes that a database refused a write because it doesn't lead.
func (group *Group) Demoted(id string) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if group.primary == id {
		group.primary = ""
		group.wake()
	}
}
