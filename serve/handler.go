package serve

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/member"
	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/peer"
	"github.com/bramleydoor/bramleydoor/probe"
	"github.com/bramleydoor/bramleydoor/relay"
	"github.com/bramleydoor/bramleydoor/share"
	"github.com/bramleydoor/bramleydoor/store"
)

// handler answers the calls of other VMs.
type handler VM

func (handler *handler) vm() *VM { return (*VM)(handler) }

// Opinion answers for one group.
func (handler *handler) Opinion(query peer.OpinionQuery) detect.Opinion {
	return handler.opinion(query.Group)
}

func (handler *handler) opinion(name string) detect.Opinion {
	vm := handler.vm()
	vm.mu.Lock()
	found, ok := vm.groups[name]
	vm.mu.Unlock()
	if !ok {
		return detect.Opinion{VM: vm.Settings.ID}
	}
	return found.keeper.Opinion()
}

// Tickets answers with the configuration.
func (handler *handler) Tickets(ctx context.Context, query peer.TicketQuery) peer.TicketReply {
	return handler.relay.Answer(ctx, query)
}

// Shares answers with the view of the connection shares.
func (handler *handler) Shares() share.View { return handler.shares.view() }

// Cancel passes a cancel request to a caller's session here.
func (handler *handler) Cancel(query peer.CancelQuery) {
	handler.entry.CancelLocal(query.PID, query.Secret)
}

// passCancel asks the other VMs: the balancer may have sent the request to any.
func (vm *VM) passCancel(pid uint32, secret []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), peer.DefaultTimeout)
	defer cancel()
	for _, other := range vm.others() {
		_ = vm.peers.Cancel(ctx, other.Address, peer.CancelQuery{PID: pid, Secret: secret})
	}
}

func (vm *VM) others() []member.Member {
	var others []member.Member
	for _, m := range vm.gossip.Live() {
		if m.ID != vm.Settings.ID {
			others = append(others, m)
		}
	}
	return others
}

var errNoPeer = errors.New("no live peer")

// askTickets asks a relay of the own availability zone, or any other VM. While
// one doesn't answer, membership takes it out of the way.
func (vm *VM) askTickets(ctx context.Context, query peer.TicketQuery) (peer.TicketReply, string, error) {
	others := vm.others()
	if len(others) == 0 {
		return peer.TicketReply{}, "", errNoPeer
	}
	var zone, all []string
	addresses := make(map[string]string)
	for _, m := range others {
		addresses[m.ID] = m.Address
		all = append(all, m.ID)
		if m.Zone == vm.Settings.Zone {
			zone = append(zone, m.ID)
		}
	}
	chosen := vm.takeAhead(addresses)
	if chosen == "" && len(zone) > 0 {
		relays := owner.Rank("relay/"+vm.Settings.Zone, zone)
		relays = relays[:min(relay.PerZone, len(relays))]
		// Each VM has its own order of its zone's relays, which spreads the load.
		chosen = owner.Of(vm.Settings.ID, relays)
	}
	if chosen == "" {
		chosen = owner.Of(vm.Settings.ID+vm.Clock.Now().Format(time.TimeOnly), all)
	}
	reply, err := vm.peers.Tickets(ctx, addresses[chosen], query)
	return reply, chosen, err
}

// takeAhead returns the peer that is known to have news, once.
func (vm *VM) takeAhead(addresses map[string]string) string {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	ahead := vm.ahead
	vm.ahead = ""
	if addresses[ahead] == "" {
		return ""
	}
	return ahead
}

// heard takes in what a peer says of itself.
func (vm *VM) heard(message probe.Message, at time.Time) {
	vm.shares.heard(message, at)
	if vm.relay.Hint(message.Number) {
		vm.mu.Lock()
		vm.ahead = message.From
		vm.mu.Unlock()
	}
}

func (vm *VM) fillPing(ping *probe.Message) {
	ping.Epoch, ping.IsClosed = vm.shares.word()
	ping.Number = vm.relay.State().Number
}

func openStore(address string) (store.Store, error) {
	scheme, _, _ := strings.Cut(address, "://")
	opener, err := store.Adapters.Lookup(scheme)
	if err != nil {
		return nil, err
	}
	return opener(address)
}
