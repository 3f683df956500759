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
	"fmt"
	"strings"
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

// supersede takes note of a term whose primary is not known yet.
func (group *Group) supersede(term uint64) {
	group.term, group.primary = term, ""
	group.grantedUntil, group.termStart = time.Time{}, posn.Position{}
	group.wake()
}

// Show notes that a promotion began a term.
func (group *Group) Show(term uint64) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.shownTerm = max(group.shownTerm, term)
}

func (group *Group) extend(until, now time.Time) {
	if !until.After(group.grantedUntil) {
		return
	}
	wasGranted := group.grantedUntil.After(now)
	group.grantedUntil = until
	if !wasGranted {
		group.wake()
	}
}

// AllowProof says whether replicas' reports may stand for a grant: only if
// keepers know of this VM.
func (group *Group) AllowProof(isAllowed bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.mayUseProof = isAllowed
}

// Grant is a keeper's word that a database leads.
type Grant struct {
	// Token is the fence of the keeper's duty.
	Token   uint64
	Term    uint64
	Primary string
	// Start covers all that was kept of earlier terms.
	Start posn.Position
	// Position is an observation of the primary, Age before the keeper's answer.
	Position posn.Position
	Age      time.Duration
}

// Accept takes a grant that was asked for at a time.
func (group *Group) Accept(grant Grant, asked time.Time) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if grant.Token < group.token || grant.Term < group.term || !asked.After(group.revokedAt) {
		return
	}
	group.token, group.revokedAt = grant.Token, time.Time{}
	if grant.Term > group.term || group.primary != grant.Primary {
		if grant.Term > group.term {
			group.termStart = grant.Start
		}
		group.term, group.primary = grant.Term, grant.Primary
		group.wake()
	}
	group.extend(asked.Add(GrantFor), asked)
	if !grant.Position.IsZero() {
		group.observe(grant.Position, asked.Add(-grant.Age))
	}
}

// Offer returns the grant that the group's keeper gives, if it knows a primary.
func (group *Group) Offer(now time.Time) (Grant, bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if _, ok := group.members[group.primary]; !ok || !group.isNewest() {
		return Grant{}, false
	}
	grant := Grant{Term: group.term, Primary: group.primary, Start: group.termStart}
	if last := len(group.observations) - 1; last >= 0 {
		grant.Position = group.observations[last].position
		grant.Age = now.Sub(group.observations[last].began)
	}
	return grant, true
}

// isNewest reports whether the primary's term is known to be the newest. A
// keeper that has just started might see only a former primary.
func (group *Group) isNewest() bool {
	return group.shownTerm == group.term || len(group.members) == 1
}

// Revoke ends the VM's grant; false if a later keeper has granted since.
func (group *Group) Revoke(token uint64, now time.Time) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	if token < group.token {
		return false
	}
	group.token, group.revokedAt, group.grantedUntil = token, now, time.Time{}
	return true
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

// learnLag judges how far behind a replica is by when the primary had passed its
// position.
func (member *member) learnLag(observations []observation, now time.Time) {
	member.lag, member.lagAt = 0, now
	for _, seen := range observations {
		if !member.position.AtLeast(seen.position) {
			member.lag = now.Sub(seen.began)
			return
		}
	}
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
	Refusals     int
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
			FailingSince: known.failingSince, Failures: known.failures, Refusals: known.refusals, HeardAt: known.heardAt,
		})
	}
	return state
}

// cutAfter is how long the primary must have left requests unanswered for the
// VM to be cut off from it.
const cutAfter = 600 * time.Millisecond

// HasGrant reports whether the VM may use the group's primary.
func (group *Group) HasGrant(now time.Time) bool {
	_, ok := group.Primary(now)
	return ok
}

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
