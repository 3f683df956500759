// Package dbset has what a VM knows of one database group and decides by it
// which database answers a request. It does no I/O; time is passed in. All
// methods may be called from many goroutines.
//
// A database that leads is only used under a grant. A grant is shown by a
// replica that was asked at a time t and has not sealed a higher term: whoever
// promotes seals the replicas first and then waits for Grant, so no promotion
// takes effect before t + Grant.
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
	// Grant is how long a replica's report lets a VM use the primary.
	Grant = 600 * time.Millisecond
	// ageMargin is taken off a stated age for clocks that run at other rates.
	ageMargin = 20 * time.Millisecond
	// maxObservations bounds the memory of a group.
	maxObservations = 64
	// farPenalty is the cost of another availability zone beside its latency:
	// bytes between zones are priced.
	farPenalty = 6 * time.Millisecond
	// primaryPenalty keeps reads away from the database that alone takes writes.
	primaryPenalty = 25 * time.Millisecond
	// avoidFor is how long a database is avoided after a failed request.
	avoidFor = 500 * time.Millisecond
	// unknownLag is assumed for a replica that hasn't reported its lag.
	unknownLag = 100 * time.Millisecond
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
	latency  time.Duration
	inFlight int
	failures int
	// failingSince is the first of the failures in a row, failedAt the last.
	failingSince time.Time
	failedAt     time.Time
	heardAt      time.Time
	leftAt       time.Time
}

type observation struct {
	began    time.Time
	position posn.Position
}

// Group is what a VM knows of one database group.
type Group struct {
	Name string
	// Zone is the VM's own availability zone.
	Zone string

	mu           sync.Mutex
	members      map[string]*member
	order        []string
	term         uint64
	primary      string
	termStart    posn.Position
	grantedUntil time.Time
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
		if next.Leaving && !known.Leaving {
			known.leftAt = now
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
			group.termStart = report.Received
		}
		group.term, group.primary = report.Term, id
		group.wake()
	case report.Term == group.term && group.primary == id:
		group.observe(report.Received, began)
	}
}

func (group *Group) sawReplica(report Report, began time.Time) {
	if report.Term > group.term || report.Held > group.term {
		return
	}
	until := began.Add(Grant)
	if !until.After(group.grantedUntil) {
		return
	}
	wasGranted := group.grantedUntil.After(began)
	group.grantedUntil = until
	if !wasGranted {
		group.wake()
	}
}

func (member *member) heard(now time.Time) {
	member.failures = 0
	member.failingSince = time.Time{}
	member.heardAt = now
}

// Begin notes a request on its way to a database.
func (group *Group) Begin(id string) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if to, ok := group.members[id]; ok {
		to.inFlight++
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
	from.inFlight--
	from.heard(now)
	const weight = 8 // of the past in the moving average of the latency
	from.latency += (now.Sub(began) - from.latency) / weight
	if !position.IsZero() {
		from.position = posn.Max(from.position, position)
		if id == group.primary {
			group.observe(position, began)
		}
	}
}

// Failed notes that a request or a connection got no answer.
func (group *Group) Failed(id string, inFlight bool, now time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	from, ok := group.members[id]
	if !ok {
		return
	}
	if inFlight {
		from.inFlight--
	}
	from.failures++
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

// observe notes a position of the primary, asked for at began (rule 2).
func (group *Group) observe(position posn.Position, began time.Time) {
	if !group.grantedUntil.After(began) {
		return
	}
	last := len(group.observations) - 1
	if last >= 0 && began.Before(group.observations[last].began.Add(20*time.Millisecond)) {
		return
	}
	if last+1 >= maxObservations {
		group.thin()
	}
	group.observations = append(group.observations, observation{began: began, position: position})
}

// thin drops every second of the older half.
func (group *Group) thin() {
	half := len(group.observations) / 2
	kept := group.observations[:0]
	for i, seen := range group.observations {
		if i >= half || i%2 == 0 {
			kept = append(kept, seen)
		}
	}
	group.observations = kept
}

// Primary returns the database that leads, if it holds a grant now.
func (group *Group) Primary(now time.Time) (Member, bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.granted(now)
}

func (group *Group) granted(now time.Time) (Member, bool) {
	leads, ok := group.members[group.primary]
	if !ok || !group.grantedUntil.After(now) {
		return Member{}, false
	}
	return leads.Member, true
}

// Term returns the term of the last primary known.
func (group *Group) Term() uint64 {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.term
}

// Leads reports whether the database leads in the term under a grant (rule 7).
func (group *Group) Leads(id string, term uint64, now time.Time) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	leads, ok := group.granted(now)
	return ok && leads.ID == id && group.term == term
}

// State is what the group's keeper needs to know.
type State struct {
	Term    uint64
	Primary string
	// GrantedUntil is the end of the VM's grant.
	GrantedUntil time.Time
	Members      []MemberState
}

// MemberState is what is known of one database.
type MemberState struct {
	Member
	Report     Report
	ReportedAt time.Time
	// FailingSince is when the database began not to answer; zero if it does.
	FailingSince time.Time
	Failures     int
	HeardAt      time.Time
}

// State returns a copy of what is known.
func (group *Group) State() State {
	group.mu.Lock()
	defer group.mu.Unlock()
	state := State{Term: group.term, Primary: group.primary, GrantedUntil: group.grantedUntil}
	for _, id := range group.order {
		known := group.members[id]
		state.Members = append(state.Members, MemberState{
			Member: known.Member, Report: known.report, ReportedAt: known.reportedAt,
			FailingSince: known.failingSince, Failures: known.failures, HeardAt: known.heardAt,
		})
	}
	return state
}
