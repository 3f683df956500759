// Package grants carries keepers' grants to VMs, in datagrams: VMs ask the holder
// of the duty, which answers with the primaries it knows, and revokes its grants
// before it promotes.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  7. A grant runs from the moment it was asked for, by the VM's clock, so its
//     keeper, which answered later, never counts on less.
//  9. Before a promotion every VM has confirmed the end of its grant, or the
//     longest time that it can have one has passed. A keeper that has just taken
//     the duty assumes that its predecessor had granted until then.
package grants

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/promo"
)

const (
	// askEvery leaves room for several lost datagrams within a grant.
	askEvery = 400 * time.Millisecond
	// askAgain is the pause before the next question while a grant is missing, which
	// then asks for the missing ones only, or before an unanswered one is repeated;
	// that pause doubles up to askEvery, since its keeper may be busy.
	askAgain = 60 * time.Millisecond
	// revokeEvery is the pause between two revocations to a VM.
	revokeEvery = 25 * time.Millisecond
	// maxDoublings bounds the pause of an unanswered question before askEvery does.
	maxDoublings = 4
	// margin covers clocks that run at other rates.
	margin = 50 * time.Millisecond
	// maxDatagram is the largest message, in bytes.
	maxDatagram = 60 << 10
)

// Duty tells who orders promotions.
type Duty interface {
	Holds(need time.Duration) (uint64, bool)
	// Holder is the VM that holds the duty as far as known.
	Holder() string
}

// Agent asks for grants, and gives them while its VM holds the duty. A VM is
// named NAME@IP. Set the exported fields before Run.
type Agent struct {
	Conn net.PacketConn
	// VM is this VM, Port the one on which all VMs listen.
	VM    string
	Port  uint16
	Duty  Duty
	Clock clock.Clock
	Log   *event.Log
	// Groups returns all groups; Peers the VMs known.
	Groups func() []*dbset.Group
	Peers  func() []string
	// Tell is what a keeper knows of the store; Hear takes that of a keeper, with
	// the time of the question.
	Tell func() News
	Hear func(news News, from Keeper, asked time.Time)

	mu  sync.Mutex
	seq uint64
	// questions are those under way, with the time that each was asked; lastAll is
	// the last for all groups, askedAllAt its time, unanswered how many of these in a
	// row have no answer.
	questions  map[uint64]time.Time
	lastAll    uint64
	askedAllAt time.Time
	unanswered int
	heardAt    time.Time
	token      uint64
	tokenAt    time.Time
	granted    map[string]time.Time
	frozen     map[string]*revocation
	views      map[string]view
}

// view is what another VM last said.
type view struct {
	at     time.Time
	groups map[string]dbset.View
}

// Run answers and asks until ctx ends.
func (agent *Agent) Run(ctx context.Context) error {
	agent.mu.Lock()
	agent.granted = make(map[string]time.Time)
	agent.frozen = make(map[string]*revocation)
	agent.views = make(map[string]view)
	agent.questions = make(map[uint64]time.Time)
	agent.mu.Unlock()
	go agent.receive()
	for {
		missing := agent.missingGrants()
		wait := agent.untilAll()
		switch {
		case wait <= 0:
			agent.askAll()
			wait = agent.untilAll()
		case len(missing) > 0:
			agent.askFor(missing)
		}
		if len(missing) > 0 {
			wait = min(wait, askAgain)
		}
		select {
		case <-ctx.Done():
			return agent.Conn.Close()
		case <-agent.Clock.After(wait):
		}
	}
}

// untilAll is how long it is until all grants are to be asked for.
func (agent *Agent) untilAll() time.Duration {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	every := askEvery
	if agent.unanswered > 0 {
		every = min(askAgain<<min(agent.unanswered-1, maxDoublings), askEvery)
	}
	return agent.askedAllAt.Add(every).Sub(agent.Clock.Now())
}

// missingGrants returns the groups that have databases and no grant.
func (agent *Agent) missingGrants() []*dbset.Group {
	now := agent.Clock.Now()
	var missing []*dbset.Group
	for _, group := range agent.Groups() {
		if !group.HasGrant(now) && len(group.Members()) > 0 {
			missing = append(missing, group)
		}
	}
	return missing
}

// askAll asks the duty's holder for all grants, and tells how the primaries look.
func (agent *Agent) askAll() {
	var views []note
	now := agent.Clock.Now()
	for _, group := range agent.Groups() {
		if view := group.View(now); view.Primary != "" {
			views = append(views, note{
				Group: group.Name, Primary: view.Primary,
				AgeMS: ceilMS(now.Sub(view.HeardAt)), IsCut: view.IsCut,
			})
		}
	}
	agent.ask(kindAsk, views)
}

// askFor asks for the grants of some groups only: their number may be small, and
// that of all groups large.
func (agent *Agent) askFor(groups []*dbset.Group) {
	names := make([]note, 0, len(groups))
	for _, group := range groups {
		names = append(names, note{Group: group.Name})
	}
	agent.ask(kindAskSome, names)
}

func (agent *Agent) ask(kind kind, notes []note) {
	now := agent.Clock.Now()
	agent.mu.Lock()
	agent.seq++
	if kind == kindAsk {
		agent.lastAll, agent.askedAllAt = agent.seq, now
		agent.unanswered++
	}
	question := message{Kind: kind, From: agent.VM, Seq: agent.seq, Notes: notes}
	agent.questions[agent.seq] = now
	for seq, at := range agent.questions {
		if now.Sub(at) > dbset.GrantFor {
			delete(agent.questions, seq)
		}
	}
	agent.mu.Unlock()
	if holder := agent.Duty.Holder(); holder != "" {
		agent.send(holder, question)
	}
}

func (agent *Agent) send(vm string, message message) {
	_, ip, _ := strings.Cut(vm, "@")
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return
	}
	packet, err := cbor.Marshal(message)
	if err != nil {
		agent.Log.Write(event.DutyEnded, event.Fields{"error": err.Error()})
		return
	}
	// A datagram that can't be sent is one that was lost: it is sent again.
	_, _ = agent.Conn.WriteTo(packet, net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, agent.Port)))
}

func (agent *Agent) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := agent.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var received message
		if cbor.Unmarshal(buffer[:size], &received) == nil {
			agent.handle(received)
		}
	}
}

func (agent *Agent) handle(received message) {
	switch received.Kind {
	case kindAsk, kindAskSome:
		agent.answer(received)
	case kindGrant:
		agent.accept(received)
	case kindRevoke:
		agent.revoked(received)
	case kindRevoked:
		agent.confirmed(received)
	}
}

// answer grants what this VM knows, if it holds the duty.
func (agent *Agent) answer(question message) {
	token, ok := agent.Duty.Holds(0)
	if !ok {
		return
	}
	now := agent.Clock.Now()
	reply := message{Kind: kindGrant, From: agent.VM, Seq: question.Seq, Token: token}
	agent.mu.Lock()
	agent.takeToken(token, now)
	if question.Kind == kindAsk {
		agent.views[question.From] = viewOf(question, now)
	}
	for _, group := range agent.Groups() {
		if _, ok := agent.frozen[group.Name]; ok || !question.asksFor(group.Name) {
			continue
		}
		grant, ok := group.Offer(now)
		if !ok {
			continue
		}
		reply.Notes = append(reply.Notes, note{
			Group: group.Name, Term: grant.Term, Primary: grant.Primary,
			Start: grant.Start, Position: grant.Position, AgeMS: ceilMS(grant.Age),
		})
	}
	agent.granted[question.From] = now
	reply.News = agent.Tell()
	reply.News.VMs = agent.heard(now)
	agent.mu.Unlock()
	agent.send(question.From, reply)
}

func viewOf(question message, now time.Time) view {
	seen := view{at: now, groups: make(map[string]dbset.View, len(question.Notes))}
	for _, note := range question.Notes {
		seen.groups[note.Group] = dbset.View{
			Primary: note.Primary, IsCut: note.IsCut,
			HeardAt: now.Add(-time.Duration(note.AgeMS) * time.Millisecond),
		}
	}
	return seen
}

// heard counts the VMs that asked lately.
func (agent *Agent) heard(now time.Time) int {
	var count int
	for _, at := range agent.granted {
		if now.Sub(at) < dbset.GrantFor {
			count++
		}
	}
	return count
}

// HeardAt returns when a keeper last answered a question of this VM.
func (agent *Agent) HeardAt() time.Time {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.heardAt
}

func ceilMS(age time.Duration) int64 { return age.Milliseconds() + 1 }

// takeToken forgets what was granted under another token.
func (agent *Agent) takeToken(token uint64, now time.Time) {
	if token == agent.token {
		return
	}
	agent.token, agent.tokenAt = token, now
	clear(agent.granted)
	clear(agent.views)
}

// accept takes the answer to a question that is under way; a late one counts from
// when it was asked, like any other.
func (agent *Agent) accept(reply message) {
	agent.mu.Lock()
	askedAt, isAsked := agent.questions[reply.Seq]
	if isAsked {
		delete(agent.questions, reply.Seq)
		agent.heardAt = agent.Clock.Now()
		if reply.Seq <= agent.lastAll {
			agent.unanswered = 0
		}
	}
	agent.mu.Unlock()
	if !isAsked {
		return
	}
	agent.Hear(reply.News, Keeper{VM: reply.From, Token: reply.Token}, askedAt)
	byName := make(map[string]note, len(reply.Notes))
	for _, note := range reply.Notes {
		byName[note.Group] = note
	}
	for _, group := range agent.Groups() {
		note, ok := byName[group.Name]
		if !ok {
			continue
		}
		group.Accept(dbset.Grant{
			Token: reply.Token, Term: note.Term, Primary: note.Primary, Start: note.Start,
			Position: note.Position, Age: time.Duration(note.AgeMS) * time.Millisecond,
		}, askedAt)
	}
}

// Others returns how the VMs that ask see a group's primary.
func (agent *Agent) Others(group, primary string) promo.Others {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	now := agent.Clock.Now()
	var others promo.Others
	var heard, cut int
	for _, seen := range agent.views {
		if now.Sub(seen.at) > dbset.GrantFor {
			continue
		}
		heard++
		view := seen.groups[group]
		if view.Primary != primary {
			continue
		}
		if view.IsCut {
			cut++
		}
		if view.HeardAt.After(others.HeardAt) {
			others.HeardAt = view.HeardAt
		}
	}
	if heard > 0 {
		others.CutShare = float64(cut) / float64(heard)
	}
	return others
}
