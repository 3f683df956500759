// Package lease distributes and revokes primary leases by UDP datagrams. A primary
// lease lets one VM use a group's primary for dbset.LeaseDuration. VMs request leases
// from the leader (package leader). It answers with the primaries it knows, and revokes
// its leases before it promotes another database.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  7. A lease runs from the moment the VM requested it, by the VM's clock. The
//     leader answers later than that, so it never assumes an earlier expiry than
//     the VM does.
//  9. Before a promotion, every VM has confirmed the revocation of its lease, or
//     the latest possible expiry of that lease has passed. A VM that has just
//     become the leader assumes that its predecessor issued leases until that moment.
package lease

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bramleydoor/bramleydoor/authn"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/promo"
)

const (
	// RenewInterval is the time between two requests for all leases. It allows
	// several lost datagrams within dbset.LeaseDuration.
	RenewInterval = 400 * time.Millisecond
	// retryInterval is the pause before the next request while leases are missing;
	// that request names the missing ones only. It is also the initial backoff before
	// an unanswered request for all leases is repeated. The backoff doubles up to
	// RenewInterval, since the leader may be overloaded.
	retryInterval = 60 * time.Millisecond
	// maxDoublings bounds the exponent of the backoff, which reaches RenewInterval
	// with fewer doublings.
	maxDoublings = 4
	// In fleets of more than largeFleet VMs the number of requesters is counted once in
	// recountInterval, rather than for each request.
	largeFleet      = 60
	recountInterval = 100 * time.Millisecond
	// clockMargin allows for clocks that run at different rates.
	clockMargin = 50 * time.Millisecond
	// issueReserve is the remaining validity of the leader lease below which no leases are
	// issued: dbset.IssueWindow after the last renewal.
	issueReserve = leader.Validity - dbset.IssueWindow
	// maxDatagramBytes is the size of the largest message that can be received.
	maxDatagramBytes = 60 << 10
)

// Leadership reports which VMs may order promotions. Each set of groups has a leader; sets
// are numbered from 0.
type Leadership interface {
	// Count returns the number of sets.
	Count() int
	// Holds reports whether this VM leads a set for at least need, and returns its fencing
	// token.
	Holds(set int, need time.Duration) (uint64, bool)
	// HoldsGroup is Holds for the set of a group, and false also while the leader of another
	// set may act on the group.
	HoldsGroup(group string, need time.Duration) (uint64, bool)
	// Leader returns the leader of a set, as far as known; "" if unknown.
	Leader(set int) string
	// PredecessorRenewedAt returns an upper bound for the time of the previous leader's
	// last renewal, or zero if it may have acted until this VM became the leader.
	PredecessorRenewedAt(set int) time.Time
	// GrantedAt returns an upper bound for the time at which the leader of another set may
	// have acted on a group of this one; zero if there were no other sets.
	GrantedAt(set int) time.Time
	// Watch tells which sets' leaders this VM asks.
	Watch(sets []int)
}

// Agent requests leases, and issues them while its VM is the leader. A VM is
// identified as NAME@IP. Set the exported fields before Run.
type Agent struct {
	Conn net.PacketConn
	// VM is this VM, Port the UDP port on which all VMs listen.
	VM   string
	Port uint16
	// Auth makes and checks the datagrams; nil in tests without authentication.
	Auth       *authn.Authenticator
	Leadership Leadership
	Clock      clock.Clock
	Log        *event.Log
	// Group returns the group of a name, or nil if there is none; it is called for each
	// group in a datagram. Needed returns the groups whose leases this VM requests. Peers
	// returns the known VMs.
	Group  func(name string) *dbset.Group
	Needed func() []*dbset.Group
	Peers  func() []string
	// Evidence returns how long any of the peers uses a replica's report in place of a lease;
	// nil stands for dbset.EvidenceDuration.
	Evidence func() time.Duration
	// NeedsFirstSet reports whether this VM has to know the leader of the first set, also
	// without a group of it; nil means that it has not.
	NeedsFirstSet func() bool
	// IdleInterval returns the time between two requests while the VM needs no group and
	// asks for the store state only; with nil it is RenewInterval.
	IdleInterval func() time.Duration
	// StoreState returns the state of the store that the leader of a set sends with its leases.
	// OnStoreState is called with the state that the leader sent, and the time of the
	// request that it answers.
	StoreState   func(set int) StoreState
	OnStoreState func(storeState StoreState, from Leader, requestedAt time.Time)

	mu  sync.Mutex
	seq uint64
	// pending has the unanswered requests.
	pending map[uint64]pendingRequest
	// requesters has, by set, the state of this VM's requests to the set's leader; issuers
	// that of this VM as the set's leader.
	requesters map[int]*requester
	issuers    map[int]*issuer
	// revocations has the groups for which no leases are issued.
	revocations map[string]*revocation
	// wakeUp ends the wait for the next request.
	wakeUp chan struct{}
}

// pendingRequest is an unanswered request.
type pendingRequest struct {
	set    int
	sentAt time.Time
}

// requester is the state of the requests to the leader of one set.
type requester struct {
	// lastFullSeq is the number of the last request for all leases, lastFullAt its
	// time, and unansweredFull how many of these in a row have no answer.
	lastFullSeq    uint64
	lastFullAt     time.Time
	unansweredFull int
	// interval is the time from the last request for all leases to the next.
	interval     time.Duration
	lastAnswerAt time.Time
	// token is the highest fencing token of an answer, tokenSince when it first came.
	token      uint64
	tokenSince time.Time
}

// recordAnswer records an answer under a fencing token.
func (requester *requester) recordAnswer(token uint64, now time.Time) {
	requester.lastAnswerAt = now
	if token > requester.token {
		requester.token, requester.tokenSince = token, now
	}
}

// untilFull returns the time until the next request for all leases is due.
func (requester *requester) untilFull(now time.Time) time.Duration {
	interval := requester.interval
	if requester.unansweredFull > 0 {
		interval = min(retryInterval<<min(requester.unansweredFull-1, maxDoublings), RenewInterval)
	}
	return requester.lastFullAt.Add(interval).Sub(now)
}

// issuer is the state of the leader of one set.
type issuer struct {
	// token is the fencing token under which this VM last acted as leader, tokenSince
	// when it first did so. leasedAt has the time of the last answer to each VM under
	// that token, issuedAt that of the last lease, by group and VM.
	token      uint64
	tokenSince time.Time
	leasedAt   map[string]time.Time
	issuedAt   map[string]map[string]time.Time
	// requesters is the result of countRequesters at countedAt.
	requesters int
	countedAt  time.Time
	// views has the last report of each VM on the primaries. viewers has, by group, the VMs
	// whose last report may name the group.
	views   map[string]peerView
	viewers map[string]map[string]struct{}
}

// issuerOf returns the state of the leader of a set under a fencing token, or a higher one
// if the token has changed since the caller got it. A new token clears what is known of the
// leases issued under the previous one. agent.mu must be held.
func (agent *Agent) issuerOf(set int, token uint64, now time.Time) *issuer {
	found, ok := agent.issuers[set]
	if !ok || found.token < token {
		found = &issuer{
			token: token, tokenSince: now,
			leasedAt: make(map[string]time.Time), issuedAt: make(map[string]map[string]time.Time),
			views: make(map[string]peerView), viewers: make(map[string]map[string]struct{}),
		}
		agent.issuers[set] = found
	}
	return found
}

// requester returns the state of the requests to a set's leader. agent.mu must be held.
func (agent *Agent) requester(set int) *requester {
	found, ok := agent.requesters[set]
	if !ok {
		found = &requester{interval: RenewInterval}
		agent.requesters[set] = found
	}
	return found
}

// peerView is another VM's last report on the primaries, by group.
type peerView struct {
	at     time.Time
	groups map[string]dbset.View
}

// Run requests leases and answers requests until ctx ends.
func (agent *Agent) Run(ctx context.Context) error {
	agent.mu.Lock()
	agent.init()
	agent.revocations = make(map[string]*revocation)
	agent.pending = make(map[uint64]pendingRequest)
	wakeUp := agent.wakeUpLocked()
	agent.mu.Unlock()
	go agent.receive()
	for {
		wait := agent.requestDue()
		select {
		case <-ctx.Done():
			return agent.Conn.Close()
		case <-agent.Clock.After(wait):
		case <-wakeUp:
		}
	}
}

// init creates the maps that methods use before Run. agent.mu must be held.
func (agent *Agent) init() {
	if agent.requesters == nil {
		agent.requesters, agent.issuers = make(map[int]*requester), make(map[int]*issuer)
	}
}

// requestDue sends the requests that are due and returns the time until the next one. The
// leaders of the sets with needed groups are asked, or else one leader for the state of the
// store, which by rendezvous hashing is another one for other VMs.
func (agent *Agent) requestDue() time.Duration {
	count := agent.Leadership.Count()
	bySet := make(map[int][]*dbset.Group)
	for _, group := range agent.Needed() {
		set := leader.SetOf(group.Name, count)
		bySet[set] = append(bySet[set], group)
	}
	if _, ok := bySet[0]; !ok && agent.NeedsFirstSet != nil && agent.NeedsFirstSet() {
		bySet[0] = nil
	}
	interval := RenewInterval
	if len(bySet) == 0 {
		bySet[leader.SetOf(agent.VM, count)] = nil
		if agent.IdleInterval != nil {
			interval = agent.IdleInterval()
		}
	}
	agent.Leadership.Watch(slices.Collect(maps.Keys(bySet)))
	wait := interval
	for set, groups := range bySet {
		wait = min(wait, agent.requestSet(set, groups, interval))
	}
	return wait
}

// requestSet sends the request to a set's leader that is due, and returns the time until the
// next one.
func (agent *Agent) requestSet(set int, groups []*dbset.Group, interval time.Duration) time.Duration {
	missing := agent.missingLeases(set, groups)
	wait := agent.untilFullRequest(set)
	switch {
	case wait <= 0:
		agent.requestAll(set, groups, interval)
		wait = agent.untilFullRequest(set)
	case len(missing) > 0:
		agent.requestSome(set, missing)
	}
	if len(missing) > 0 {
		agent.sendProofs(set, missing)
		wait = min(wait, retryInterval)
	}
	return wait
}

// Wake makes the agent request missing leases now, since a group has become needed.
func (agent *Agent) Wake() {
	agent.mu.Lock()
	wakeUp := agent.wakeUpLocked()
	agent.mu.Unlock()
	select {
	case wakeUp <- struct{}{}:
	default:
	}
}

// wakeUpLocked returns the channel of Wake. agent.mu must be held.
func (agent *Agent) wakeUpLocked() chan struct{} {
	if agent.wakeUp == nil {
		agent.wakeUp = make(chan struct{}, 1)
	}
	return agent.wakeUp
}

// untilFullRequest returns the time until the next request for all leases of a set is due.
func (agent *Agent) untilFullRequest(set int) time.Duration {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.requester(set).untilFull(agent.Clock.Now())
}

// missingLeases returns the needed groups of a set that have databases but no valid lease.
// It tells each needed group without a lease when the leader last answered.
func (agent *Agent) missingLeases(set int, groups []*dbset.Group) []*dbset.Group {
	now, answeredAt := agent.Clock.Now(), agent.LastAnswerAt(set)
	var missing []*dbset.Group
	for _, group := range groups {
		if group.HasLease(now) {
			continue
		}
		group.LeaseMissing(answeredAt, now)
		if len(group.Members()) > 0 {
			missing = append(missing, group)
		}
	}
	return missing
}

// requestAll requests all needed leases of a set from its leader, and reports to it how
// this VM sees their primaries. interval is the time to the next such request.
func (agent *Agent) requestAll(set int, groups []*dbset.Group, interval time.Duration) {
	now := agent.Clock.Now()
	views := make([]groupState, 0, len(groups))
	for _, group := range groups {
		state := groupState{Group: group.Name}
		if view := group.View(now); view.HasContact {
			state.Primary, state.AgeMS, state.IsUnreachable = view.Primary, ceilMS(now.Sub(view.LastAnswerAt)), view.IsUnreachable
		}
		views = append(views, state)
	}
	agent.mu.Lock()
	agent.requester(set).interval = interval
	agent.mu.Unlock()
	agent.request(kindRequestAll, set, views)
}

// Interval returns the time from the last request for all leases of a set to the next one if
// the leader answers.
func (agent *Agent) Interval(set int) time.Duration {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.init()
	return agent.requester(set).interval
}

// requestSome requests the leases of the given groups only. Often few groups lack
// a lease, while a request for all groups is large.
func (agent *Agent) requestSome(set int, groups []*dbset.Group) {
	names := make([]groupState, 0, len(groups))
	for _, group := range groups {
		names = append(names, groupState{Group: group.Name})
	}
	agent.request(kindRequestSome, set, names)
}

func (agent *Agent) request(kind kind, set int, groups []groupState) {
	now := agent.Clock.Now()
	agent.mu.Lock()
	agent.seq++
	if kind == kindRequestAll {
		requester := agent.requester(set)
		requester.lastFullSeq, requester.lastFullAt = agent.seq, now
		requester.unansweredFull++
	}
	request := message{Kind: kind, From: agent.VM, Seq: agent.seq, Groups: groups, Set: set}
	agent.pending[agent.seq] = pendingRequest{set: set, sentAt: now}
	for seq, pending := range agent.pending {
		if now.Sub(pending.sentAt) > dbset.LeaseDuration {
			delete(agent.pending, seq)
		}
	}
	agent.mu.Unlock()
	if leader := agent.Leadership.Leader(set); leader != "" {
		agent.send(leader, request)
	}
}

func (agent *Agent) send(vm string, message message) {
	packet, err := cbor.Marshal(message)
	if err != nil {
		agent.Log.Write(event.TaskEnded, event.Fields{"error": err.Error()})
		return
	}
	if agent.Auth != nil {
		if packet, err = agent.Auth.Seal(vm, packet); err != nil {
			return
		}
	}
	agent.write(vm, packet)
}

// write sends a datagram to a VM. An error is ignored like a lost datagram: messages are
// repeated anyway.
func (agent *Agent) write(vm string, packet []byte) {
	_, ip, _ := strings.Cut(vm, "@")
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return
	}
	_, _ = agent.Conn.WriteTo(packet, net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, agent.Port)))
}

func (agent *Agent) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := agent.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if received, ok := agent.open(buffer[:size], from); ok {
			agent.handle(received)
		}
	}
}

// open returns the message of a datagram, if there is one that its sender has made for this
// process and that was not received before.
func (agent *Agent) open(packet []byte, from net.Addr) (message, bool) {
	var received message
	if agent.Auth == nil {
		return received, cbor.Unmarshal(packet, &received) == nil
	}
	opened, err := agent.Auth.Open(packet)
	if opened.Reply != nil {
		agent.write(opened.Sender, opened.Reply)
	}
	if err != nil {
		agent.Auth.Refused(from.String(), err)
		return received, false
	}
	if opened.Message == nil || cbor.Unmarshal(opened.Message, &received) != nil {
		return received, false
	}
	return received, received.From == opened.Sender
}

func (agent *Agent) handle(received message) {
	switch received.Kind {
	case kindRequestAll, kindRequestSome:
		agent.handleRequest(received)
	case kindLease:
		agent.handleLeases(received)
	case kindRevoke:
		agent.handleRevoke(received)
	case kindRevokeAck:
		agent.handleRevokeAck(received)
	case kindProof:
		agent.handleProof(received)
	}
}

// handleRequest answers with leases for the primaries that this VM knows, if it leads the
// set. Without a recent renewal it answers without leases.
func (agent *Agent) handleRequest(request message) {
	token, ok := agent.Leadership.Holds(request.Set, 0)
	if !ok {
		return
	}
	_, mayIssue := agent.Leadership.Holds(request.Set, issueReserve)
	now := agent.Clock.Now()
	agent.mu.Lock()
	issuer := agent.issuerOf(request.Set, token, now)
	reply := message{Kind: kindLease, From: agent.VM, Seq: request.Seq, Token: issuer.token, Set: request.Set}
	if request.Kind == kindRequestAll {
		issuer.recordView(request.From, viewOf(request, now))
	}
	if mayIssue {
		reply.Groups = agent.issue(issuer, request, now)
		issuer.leasedAt[request.From] = now
	}
	reply.StoreState = agent.StoreState(request.Set)
	if agent.Leadership.Count() == 1 {
		reply.StoreState.VMs = issuer.countRequesters(now)
	}
	agent.mu.Unlock()
	agent.send(request.From, reply)
}

// issue returns leases for the groups that a request names, except those that are revoked
// and those on which this VM may not act under the issuer's token. agent.mu must be held.
func (agent *Agent) issue(issuer *issuer, request message, now time.Time) []groupState {
	leases := make([]groupState, 0, len(request.Groups))
	for _, requested := range request.Groups {
		group := agent.Group(requested.Group)
		if _, isRevoked := agent.revocations[requested.Group]; isRevoked || group == nil {
			continue
		}
		if leader.SetOf(group.Name, agent.Leadership.Count()) != request.Set {
			continue
		}
		if token, ok := agent.Leadership.HoldsGroup(group.Name, issueReserve); !ok || token != issuer.token {
			continue
		}
		lease, ok := group.CurrentLease(now)
		if !ok {
			continue
		}
		if issuer.issuedAt[group.Name] == nil {
			issuer.issuedAt[group.Name] = make(map[string]time.Time)
		}
		issuer.issuedAt[group.Name][request.From] = now
		leases = append(leases, groupState{
			Group: group.Name, Term: lease.Term, Primary: lease.Primary,
			Start: lease.Start, Position: lease.Position, AgeMS: ceilMS(lease.Age),
		})
	}
	return leases
}

// recordView stores a VM's report on the primaries.
func (issuer *issuer) recordView(vm string, view peerView) {
	issuer.views[vm] = view
	for group := range view.groups {
		if issuer.viewers[group] == nil {
			issuer.viewers[group] = make(map[string]struct{})
		}
		issuer.viewers[group][vm] = struct{}{}
	}
}

func viewOf(request message, now time.Time) peerView {
	peerView := peerView{at: now, groups: make(map[string]dbset.View, len(request.Groups))}
	for _, groupState := range request.Groups {
		if groupState.Primary == "" {
			continue
		}
		peerView.groups[groupState.Group] = dbset.View{
			Primary: groupState.Primary, IsUnreachable: groupState.IsUnreachable,
			LastAnswerAt: now.Add(-time.Duration(groupState.AgeMS) * time.Millisecond),
		}
	}
	return peerView
}

// countRequesters returns the number of VMs that requested leases within
// dbset.LeaseDuration.
func (issuer *issuer) countRequesters(now time.Time) int {
	if len(issuer.leasedAt) > largeFleet && now.Sub(issuer.countedAt) < recountInterval {
		return issuer.requesters
	}
	issuer.requesters, issuer.countedAt = 0, now
	for _, at := range issuer.leasedAt {
		if now.Sub(at) < dbset.LeaseDuration {
			issuer.requesters++
		}
	}
	return issuer.requesters
}

// LastAnswerAt returns when this VM last received an answer of a set's leader.
func (agent *Agent) LastAnswerAt(set int) time.Time {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.init()
	return agent.requester(set).lastAnswerAt
}

// ceilMS converts an age to ms. It rounds up, so that the age is never understated.
func ceilMS(age time.Duration) int64 { return age.Milliseconds() + 1 }

// handleLeases accepts the answer to a pending request. The leases run from the
// time of the request, however late the answer is.
func (agent *Agent) handleLeases(reply message) {
	agent.mu.Lock()
	pending, isPending := agent.pending[reply.Seq]
	if isPending {
		delete(agent.pending, reply.Seq)
		requester := agent.requester(pending.set)
		requester.recordAnswer(reply.Token, agent.Clock.Now())
		if reply.Seq <= requester.lastFullSeq {
			requester.unansweredFull = 0
		}
	}
	agent.mu.Unlock()
	if !isPending {
		return
	}
	requestedAt := pending.sentAt
	agent.OnStoreState(reply.StoreState, Leader{VM: reply.From, Token: reply.Token, Set: pending.set}, requestedAt)
	for _, groupState := range reply.Groups {
		group := agent.Group(groupState.Group)
		if group == nil {
			continue
		}
		group.AcceptLease(dbset.Lease{
			Token: reply.Token, Term: groupState.Term, Primary: groupState.Primary, Start: groupState.Start,
			Position: groupState.Position, Age: time.Duration(groupState.AgeMS) * time.Millisecond,
			LeaderAge: time.Duration(reply.StoreState.LeaderAgeMS+1) * time.Millisecond, // it is rounded down
		}, requestedAt)
	}
}

// PeerObservations summarizes how the VMs see a group's primary that requested leases within
// dbset.LeaseDuration and had contact with it.
func (agent *Agent) PeerObservations(group, primary string) promo.PeerObservations {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	now := agent.Clock.Now()
	var observations promo.PeerObservations
	issuer, ok := agent.issuers[leader.SetOf(group, agent.Leadership.Count())]
	if !ok {
		return observations
	}
	var reporting, partitioned int
	for vm := range issuer.viewers[group] {
		view, hasContact := issuer.views[vm].groups[group]
		if !hasContact || now.Sub(issuer.views[vm].at) > dbset.LeaseDuration {
			delete(issuer.viewers[group], vm)
			continue
		}
		reporting++
		if view.Primary != primary {
			continue
		}
		if view.IsUnreachable {
			partitioned++
		}
		if view.LastAnswerAt.After(observations.LastAnswerAt) {
			observations.LastAnswerAt = view.LastAnswerAt
		}
	}
	if reporting > 0 {
		observations.PartitionedShare = float64(partitioned) / float64(reporting)
	}
	return observations
}
