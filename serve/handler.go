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

// Opinion returns whether this VM suspects a group's primary.
func (handler *handler) Opinion(query peer.OpinionQuery) detect.Opinion {
	return handler.opinion(query.Group)
}

func (handler *handler) opinion(groupName string) detect.Opinion {
	vm := handler.vm()
	vm.mu.Lock()
	group, ok := vm.groups[groupName]
	vm.mu.Unlock()
	if !ok {
		return detect.Opinion{VM: vm.Settings.ID}
	}
	return group.controller.Opinion()
}

// Tickets returns the tickets after a configuration number. It waits for them as long as the
// query permits.
func (handler *handler) Tickets(ctx context.Context, query peer.TicketQuery) peer.TicketReply {
	return handler.relay.ServeQuery(ctx, query)
}

// Shares returns this VM's view of the connection shares.
func (handler *handler) Shares() share.View { return handler.shares.view() }

// Cancel cancels the request of a session of this VM. The key may belong to another VM's
// session.
func (handler *handler) Cancel(query peer.CancelQuery) {
	handler.entry.CancelLocal(query.PID, query.Secret)
}

// forwardCancel sends a cancel request to all other VMs, because the load balancer may route
// it to a VM other than the one that has the session.
func (vm *VM) forwardCancel(pid uint32, secret []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), peer.DefaultTimeout)
	defer cancel()
	for _, member := range vm.livePeers() {
		_ = vm.peers.Cancel(ctx, member.Address, peer.CancelQuery{PID: pid, Secret: secret})
	}
}

// livePeers returns the live VMs except this one.
func (vm *VM) livePeers() []member.Member {
	var peers []member.Member
	for _, member := range vm.gossip.Live() {
		if member.ID != vm.Settings.ID {
			peers = append(peers, member)
		}
	}
	return peers
}

var errNoPeer = errors.New("no live peer")

// queryTickets sends a query to another VM and returns the reply and that VM's ID. It prefers
// a peer that reported a later configuration, then a relay of this VM's availability zone,
// then any VM. A VM that has failed is avoided once the membership no longer lists it as live.
func (vm *VM) queryTickets(ctx context.Context, query peer.TicketQuery) (peer.TicketReply, string, error) {
	peers := vm.livePeers()
	if len(peers) == 0 {
		return peer.TicketReply{}, "", errNoPeer
	}
	var sameZone, all []string
	addresses := make(map[string]string)
	for _, member := range peers {
		addresses[member.ID] = member.Address
		all = append(all, member.ID)
		if member.Zone == vm.Settings.Zone {
			sameZone = append(sameZone, member.ID)
		}
	}
	chosen := vm.takeNewerPeer(addresses)
	if chosen == "" && len(sameZone) > 0 {
		relays := owner.Rank("relay/"+vm.Settings.Zone, sameZone)
		relays = relays[:min(relay.RelaysPerZone, len(relays))]
		// Each VM ranks the relays of its zone differently, which distributes the load.
		chosen = owner.Of(vm.Settings.ID, relays)
	}
	if chosen == "" {
		chosen = owner.Of(vm.Settings.ID+vm.Clock.Now().Format(time.TimeOnly), all)
	}
	reply, err := vm.peers.Tickets(ctx, addresses[chosen], query)
	return reply, chosen, err
}

// takeNewerPeer returns the peer that reported a later configuration, or an empty string. It
// returns each peer once.
func (vm *VM) takeNewerPeer(addresses map[string]string) string {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	newerPeer := vm.newerPeer
	vm.newerPeer = ""
	if addresses[newerPeer] == "" {
		return ""
	}
	return newerPeer
}

// onMessage processes a peer's report about itself. at is when the probe that the message
// answers was sent, or zero if the message is not an answer.
func (vm *VM) onMessage(message probe.Message, at time.Time) {
	vm.shares.onMessage(message, at)
	if vm.relay.ObserveNumber(message.Number) {
		vm.mu.Lock()
		vm.newerPeer = message.From
		vm.mu.Unlock()
	}
}

// fillMessage adds this VM's report about itself to a message.
func (vm *VM) fillMessage(message *probe.Message) {
	message.Epoch, message.IsWithinShare = vm.shares.report()
	message.Number = vm.relay.State().Number
}

// openStore opens the store with the adapter for the address's scheme.
func openStore(address string) (store.Store, error) {
	scheme, _, _ := strings.Cut(address, "://")
	opener, err := store.Adapters.Lookup(scheme)
	if err != nil {
		return nil, err
	}
	return opener(address)
}
