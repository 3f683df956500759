// Package grants distributes and revokes grants by UDP datagrams. A grant is a
// lease that lets a VM use a group's primary for dbset.LeaseDuration. VMs request grants
// from the leader, the VM that holds the leader lease. The leader answers with the
// primaries it knows, and revokes its grants before it promotes another database.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  7. A grant runs from the moment the VM requested it, by the VM's clock. The
//     leader answers later than that, so it never assumes an earlier expiry than
//     the VM does.
//  9. Before a promotion, every VM has confirmed the revocation of its grant, or
//     the latest possible expiry of that grant has passed. A leader that has just
//     acquired the duty assumes that its predecessor issued grants until that moment.
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
	// renewInterval is the time between two requests for all grants. It allows
	// several lost datagrams within dbset.LeaseDuration.
	renewInterval = 400 * time.Millisecond
	// retryInterval is the pause before the next request while grants are missing;
	// that request names the missing ones only. It is also the initial backoff before
	// an unanswered request for all grants is repeated. The backoff doubles up to
	// renewInterval, since the leader may be overloaded.
	retryInterval = 60 * time.Millisecond
	// revokeInterval is the pause between two revocations sent to a VM.
	revokeInterval = 25 * time.Millisecond
	// maxDoublings bounds the exponent of the backoff, which reaches renewInterval
	// with fewer doublings.
	maxDoublings = 4
	// clockMargin allows for clocks that run at different rates.
	clockMargin = 50 * time.Millisecond
	// maxDatagramBytes is the size of the largest message that can be received.
	maxDatagramBytes = 60 << 10
)

// Leadership reports which VM may order promotions.
type Leadership interface {
	// Holds reports whether this VM is the leader for at least need, and returns
	// its fencing token.
	Holds(need time.Duration) (uint64, bool)
	// Leader returns the leader, as far as known; "" if unknown.
	Leader() string
}

// Agent requests grants, and issues them while its VM is the leader. A VM is
// identified as NAME@IP. Set the exported fields before Run.
type Agent struct {
	Conn net.PacketConn
	// VM is this VM, Port the UDP port on which all VMs listen.
	VM         string
	Port       uint16
	Leadership Leadership
	Clock      clock.Clock
	Log        *event.Log
	// Groups returns all groups; Peers returns the known VMs.
	Groups func() []*dbset.Group
	Peers  func() []string
	// Tell returns the state of the store that a leader sends with its grants. Hear
	// is called with the state that a leader sent, and the time of the request that
	// it answers.
	Tell func() News
	Hear func(news News, from Keeper, asked time.Time)

	mu  sync.Mutex
	seq uint64
	// pending maps unanswered requests to the time each was sent.
	pending map[uint64]time.Time
	// lastFullSeq is the number of the last request for all grants, lastFullAt its
	// time, and unansweredFull how many of these in a row have no answer.
	lastFullSeq    uint64
	lastFullAt     time.Time
	unansweredFull int
	lastAnswerAt   time.Time
	// token is the fencing token under which this VM last acted as leader, tokenSince
	// when it first did so. grantedAt has the time of the last answer to each VM under
	// that token.
	token      uint64
	tokenSince time.Time
	grantedAt  map[string]time.Time
	// revocations has the groups for which no grants are issued.
	revocations map[string]*revocation
	views       map[string]peerView
}

// peerView is how another VM last reported the primaries, by group.
type peerView struct {
	at     time.Time
	groups map[string]dbset.View
}

// Run requests grants and answers requests until ctx ends.
func (agent *Agent) Run(ctx context.Context) error {
	agent.mu.Lock()
	agent.grantedAt = make(map[string]time.Time)
	agent.revocations = make(map[string]*revocation)
	agent.views = make(map[string]peerView)
	agent.pending = make(map[uint64]time.Time)
	agent.mu.Unlock()
	go agent.receive()
	for {
		missing := agent.missingGrants()
		wait := agent.untilFullRequest()
		switch {
		case wait <= 0:
			agent.requestAll()
			wait = agent.untilFullRequest()
		case len(missing) > 0:
			agent.requestSome(missing)
		}
		if len(missing) > 0 {
			wait = min(wait, retryInterval)
		}
		select {
		case <-ctx.Done():
			return agent.Conn.Close()
		case <-agent.Clock.After(wait):
		}
	}
}

// untilFullRequest returns the time until the next request for all grants is due.
func (agent *Agent) untilFullRequest() time.Duration {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	interval := renewInterval
	if agent.unansweredFull > 0 {
		interval = min(retryInterval<<min(agent.unansweredFull-1, maxDoublings), renewInterval)
	}
	return agent.lastFullAt.Add(interval).Sub(agent.Clock.Now())
}

// missingGrants returns the groups that have databases but no valid grant.
func (agent *Agent) missingGrants() []*dbset.Group {
	now := agent.Clock.Now()
	var missing []*dbset.Group
	for _, group := range agent.Groups() {
		if !group.HasLease(now) && len(group.Members()) > 0 {
			missing = append(missing, group)
		}
	}
	return missing
}

// requestAll requests all grants from the leader, and reports to it how this VM
// sees the primaries.
func (agent *Agent) requestAll() {
	var views []entry
	now := agent.Clock.Now()
	for _, group := range agent.Groups() {
		if view := group.View(now); view.Primary != "" {
			views = append(views, entry{
				Group: group.Name, Primary: view.Primary,
				AgeMS: ceilMS(now.Sub(view.LastAnswerAt)), IsCut: view.IsUnreachable,
			})
		}
	}
	agent.request(kindRequestAll, views)
}

// requestSome requests the grants of the given groups only. Often few groups lack
// a grant, while a request for all groups is large.
func (agent *Agent) requestSome(groups []*dbset.Group) {
	names := make([]entry, 0, len(groups))
	for _, group := range groups {
		names = append(names, entry{Group: group.Name})
	}
	agent.request(kindRequestSome, names)
}

func (agent *Agent) request(kind kind, entries []entry) {
	now := agent.Clock.Now()
	agent.mu.Lock()
	agent.seq++
	if kind == kindRequestAll {
		agent.lastFullSeq, agent.lastFullAt = agent.seq, now
		agent.unansweredFull++
	}
	request := message{Kind: kind, From: agent.VM, Seq: agent.seq, Notes: entries}
	agent.pending[agent.seq] = now
	for seq, at := range agent.pending {
		if now.Sub(at) > dbset.LeaseDuration {
			delete(agent.pending, seq)
		}
	}
	agent.mu.Unlock()
	if leader := agent.Leadership.Leader(); leader != "" {
		agent.send(leader, request)
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
	// A send error is ignored like a lost datagram: messages are repeated anyway.
	_, _ = agent.Conn.WriteTo(packet, net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, agent.Port)))
}

func (agent *Agent) receive() {
	buffer := make([]byte, maxDatagramBytes)
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
	case kindRequestAll, kindRequestSome:
		agent.handleRequest(received)
	case kindGrant:
		agent.handleGrants(received)
	case kindRevoke:
		agent.handleRevoke(received)
	case kindRevokeAck:
		agent.handleRevokeAck(received)
	}
}

// handleRequest answers with grants for the primaries that this VM knows, if it
// is the leader.
func (agent *Agent) handleRequest(request message) {
	token, ok := agent.Leadership.Holds(0)
	if !ok {
		return
	}
	now := agent.Clock.Now()
	reply := message{Kind: kindGrant, From: agent.VM, Seq: request.Seq, Token: token}
	agent.mu.Lock()
	agent.setToken(token, now)
	if request.Kind == kindRequestAll {
		agent.views[request.From] = viewOf(request, now)
	}
	for _, group := range agent.Groups() {
		if _, ok := agent.revocations[group.Name]; ok || !request.includes(group.Name) {
			continue
		}
		lease, ok := group.CurrentLease(now)
		if !ok {
			continue
		}
		reply.Notes = append(reply.Notes, entry{
			Group: group.Name, Term: lease.Term, Primary: lease.Primary,
			Start: lease.Start, Position: lease.Position, AgeMS: ceilMS(lease.Age),
		})
	}
	agent.grantedAt[request.From] = now
	reply.News = agent.Tell()
	reply.News.VMs = agent.countRequesters(now)
	agent.mu.Unlock()
	agent.send(request.From, reply)
}

func viewOf(request message, now time.Time) peerView {
	peerView := peerView{at: now, groups: make(map[string]dbset.View, len(request.Notes))}
	for _, entry := range request.Notes {
		peerView.groups[entry.Group] = dbset.View{
			Primary: entry.Primary, IsUnreachable: entry.IsCut,
			LastAnswerAt: now.Add(-time.Duration(entry.AgeMS) * time.Millisecond),
		}
	}
	return peerView
}

// countRequesters returns the number of VMs that requested grants within
// dbset.LeaseDuration.
func (agent *Agent) countRequesters(now time.Time) int {
	var count int
	for _, at := range agent.grantedAt {
		if now.Sub(at) < dbset.LeaseDuration {
			count++
		}
	}
	return count
}

// HeardAt returns when this VM last received a leader's answer to a request.
func (agent *Agent) HeardAt() time.Time {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.lastAnswerAt
}

// ceilMS converts an age to ms. It rounds up, so that the age is never understated.
func ceilMS(age time.Duration) int64 { return age.Milliseconds() + 1 }

// setToken sets the fencing token. A new one clears what is known of the grants
// issued under the previous one.
func (agent *Agent) setToken(token uint64, now time.Time) {
	if token == agent.token {
		return
	}
	agent.token, agent.tokenSince = token, now
	clear(agent.grantedAt)
	clear(agent.views)
}

// handleGrants accepts the answer to a pending request. The grants run from the
// time of the request, however late the answer is.
func (agent *Agent) handleGrants(reply message) {
	agent.mu.Lock()
	askedAt, isPending := agent.pending[reply.Seq]
	if isPending {
		delete(agent.pending, reply.Seq)
		agent.lastAnswerAt = agent.Clock.Now()
		if reply.Seq <= agent.lastFullSeq {
			agent.unansweredFull = 0
		}
	}
	agent.mu.Unlock()
	if !isPending {
		return
	}
	agent.Hear(reply.News, Keeper{VM: reply.From, Token: reply.Token}, askedAt)
	byGroup := make(map[string]entry, len(reply.Notes))
	for _, entry := range reply.Notes {
		byGroup[entry.Group] = entry
	}
	for _, group := range agent.Groups() {
		entry, ok := byGroup[group.Name]
		if !ok {
			continue
		}
		group.AcceptLease(dbset.Lease{
			Token: reply.Token, Term: entry.Term, Primary: entry.Primary, Start: entry.Start,
			Position: entry.Position, Age: time.Duration(entry.AgeMS) * time.Millisecond,
		}, askedAt)
	}
}

// Others summarizes how the VMs that requested grants within dbset.LeaseDuration see a
// group's primary.
func (agent *Agent) Others(group, primary string) promo.Others {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	now := agent.Clock.Now()
	var others promo.Others
	var reporting, cut int
	for _, peerView := range agent.views {
		if now.Sub(peerView.at) > dbset.LeaseDuration {
			continue
		}
		reporting++
		view := peerView.groups[group]
		if view.Primary != primary {
			continue
		}
		if view.IsUnreachable {
			cut++
		}
		if view.LastAnswerAt.After(others.HeardAt) {
			others.HeardAt = view.LastAnswerAt
		}
	}
	if reporting > 0 {
		others.CutShare = float64(cut) / float64(reporting)
	}
	return others
}
