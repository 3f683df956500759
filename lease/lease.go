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
//     become the leader assumes that its predecessor issued leases until that moment, also to
//     VMs that no list names.
//     Leases are issued for no term but the newest, as the leader's record has it. While an
//     order may still take effect, no leases of an earlier term are issued, and those of a new
//     term only once those of earlier terms have ended.
package lease

import (
	"context"
	"net"
	"net/netip"
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
	// A VM sends a request for all leases every requestPause on average if it asks the leaders
	// of more than RenewInterval/requestPause sets, but to each leader at least every
	// maxRenewInterval. An unanswered request is repeated earlier.
	requestPause     = 100 * time.Millisecond
	maxRenewInterval = 2 * RenewInterval
	// maxRequestAhead is how much too early a request for all leases may be sent, together with
	// one that is due.
	maxRequestAhead = RenewInterval / 4
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
	// Order returns the order for a group that may still take effect, if this VM is the leader.
	Order(group string) (leader.Order, bool)
	// Covers reports whether the leader's record has a group's term as the newest, and the given
	// databases, so that every later leader knows them.
	Covers(group string, term uint64, databases []leader.Database) bool
	// Known returns the recorded state of a group; false if there is none.
	Known(group string) (leader.GroupState, bool)
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
	// HasAllPeers reports whether Peers has all VMs that may use evidence in place of a lease,
	// RefreshPeers reads them from the store if it has not. With nil it has.
	HasAllPeers  func() bool
	RefreshPeers func(ctx context.Context)
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

// Run requests leases and answers requests until ctx ends.
func (agent *Agent) Run(ctx context.Context) error {
	agent.mu.Lock()
	agent.init()
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
		agent.revocations, agent.pending = make(map[string]*revocation), make(map[uint64]pendingRequest)
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

// ceilMS converts an age to ms. It rounds up, so that the age is never understated.
func ceilMS(age time.Duration) int64 { return age.Milliseconds() + 1 }
