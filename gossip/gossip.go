// Package gossip is the duty that keeps the membership table: it probes other
// VMs in turn and passes on updates.
package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/member"
	"github.com/bramleydoor/bramleydoor/probe"
	"github.com/bramleydoor/bramleydoor/roster"
	"github.com/bramleydoor/bramleydoor/share"
)

// Timing and size of the protocol.
const (
	// Period is the time between probes.
	Period = 200 * time.Millisecond
	// probes is how many VMs are probed in a period in a fleet of up to smallFleet.
	// In a larger one each VM is probed by one other in a period on average.
	probes     = 2
	smallFleet = 8
	// helpers is how many VMs are asked to probe one that doesn't answer.
	helpers = 2
	// listInterval is how often the platform's list is read.
	listInterval = 5 * time.Second
)

// Gossip is a duty. Set the exported fields before Run.
type Gossip struct {
	Self   member.Member
	Probes *probe.Endpoint
	Lists  []roster.List
	Clock  clock.Clock
	Events *event.Log
	// Fill adds what else a VM tells with each message.
	Fill func(ping *probe.Message)
	// Heard is called with each message of another VM, and when it was asked for;
	// the time is zero for one that came unasked.
	Heard func(ping probe.Message, at time.Time)

	mu    sync.Mutex
	table *member.Table
	live  []member.Member
}

// Init prepares the table; Run does it too.
func (gossip *Gossip) Init() {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	if gossip.table == nil {
		gossip.table = member.New(gossip.Self)
		gossip.live = gossip.table.Live()
	}
}

// Live returns the VMs that duties may fall to.
func (gossip *Gossip) Live() []member.Member {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	return gossip.live
}

// IDs returns the IDs of members.
func IDs(members []member.Member) []string {
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	return ids
}

// Run probes until ctx ends.
func (gossip *Gossip) Run(ctx context.Context) error {
	gossip.Init()
	return kernel.Run(ctx, kernel.DutyFunc(gossip.runProbes), kernel.DutyFunc(gossip.runList))
}

func (gossip *Gossip) runProbes(ctx context.Context) error {
	for ctx.Err() == nil {
		next := gossip.Clock.After(Period)
		for range gossip.probes() {
			if target, ok := gossip.nextTarget(); ok {
				go gossip.probe(ctx, target)
			}
		}
		gossip.tick()
		select {
		case <-next:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (gossip *Gossip) probes() int {
	if len(gossip.Live()) > smallFleet {
		return 1
	}
	return probes
}

func (gossip *Gossip) nextTarget() (member.Member, bool) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	return gossip.table.Probe()
}

// probe asks a VM, and two others to ask it if it doesn't answer.
func (gossip *Gossip) probe(ctx context.Context, target member.Member) {
	if gossip.ask(ctx, target, "") {
		return
	}
	for _, helper := range gossip.pickHelpers(target.ID) {
		if gossip.ask(ctx, helper, target.Address) {
			return
		}
	}
	gossip.mu.Lock()
	isNew := gossip.table.Failed(target.ID, gossip.Clock.Now())
	gossip.refresh()
	gossip.mu.Unlock()
	if isNew {
		gossip.Events.Write(event.PeerSuspected, event.Fields{"peer": target.ID})
	}
}

func (gossip *Gossip) pickHelpers(target string) []member.Member {
	var picked []member.Member
	for _, candidate := range gossip.Live() {
		if candidate.ID != target && candidate.ID != gossip.Self.ID && len(picked) < helpers {
			picked = append(picked, candidate)
		}
	}
	return picked
}

// ask sends one message. With a target, it returns whether that one answered.
func (gossip *Gossip) ask(ctx context.Context, to member.Member, target string) bool {
	sentAt := gossip.Clock.Now()
	answer, err := gossip.Probes.Ask(ctx, to.Address, gossip.message(to.ID, target))
	if err != nil {
		return false
	}
	gossip.take(answer, sentAt)
	return target == "" || answer.Target == target
}

// message is what this VM tells another.
func (gossip *Gossip) message(to, target string) probe.Message {
	gossip.mu.Lock()
	ping := probe.Message{From: gossip.Self.ID, Updates: probe.FromMembers(gossip.table.Updates(to)), Target: target}
	gossip.mu.Unlock()
	if gossip.Fill != nil {
		gossip.Fill(&ping)
	}
	return ping
}

func (gossip *Gossip) take(ping probe.Message, at time.Time) {
	now := gossip.Clock.Now()
	gossip.mu.Lock()
	before := len(gossip.live)
	hasChanged := false
	for _, update := range ping.Members() {
		hasChanged = gossip.table.Apply(update, now) || hasChanged
	}
	if hasChanged {
		gossip.refresh()
	}
	joined := len(gossip.live) > before
	gossip.mu.Unlock()
	if joined {
		gossip.Events.Write(event.PeerJoined, event.Fields{"peer": ping.From})
	}
	if gossip.Heard != nil {
		gossip.Heard(ping, at)
	}
}

// refresh renews the list of live VMs, which costs by the size of the fleet. The
// caller holds the lock.
func (gossip *Gossip) refresh() { gossip.live = gossip.table.Live() }

func (gossip *Gossip) tick() {
	gossip.mu.Lock()
	died := gossip.table.Tick(gossip.Clock.Now())
	if len(died) > 0 {
		gossip.refresh()
	}
	gossip.mu.Unlock()
	for _, dead := range died {
		gossip.Events.Write(event.PeerLeft, event.Fields{"peer": dead.ID})
	}
}

// Answer answers another VM's message.
func (gossip *Gossip) Answer(ping probe.Message) probe.Message {
	gossip.take(ping, time.Time{})
	answer := gossip.message(ping.From, "")
	if ping.Target == "" {
		return answer
	}
	ctx, cancel := context.WithTimeout(context.Background(), probe.Timeout)
	defer cancel()
	if gossip.ask(ctx, member.Member{Address: ping.Target}, "") {
		answer.Target = ping.Target
	}
	return answer
}

// Leave tells the others that this VM leaves.
func (gossip *Gossip) Leave(ctx context.Context) {
	gossip.mu.Lock()
	gossip.table.Leave()
	gossip.refresh()
	others := gossip.table.All()
	gossip.mu.Unlock()
	for i, other := range others {
		if i >= member.MaxUpdates {
			// The rest hears of it from these.
			return
		}
		gossip.ask(ctx, other, "")
	}
}

func (gossip *Gossip) runList(ctx context.Context) error {
	for ctx.Err() == nil {
		next := gossip.Clock.After(listInterval)
		for _, list := range gossip.Lists {
			gossip.readList(ctx, list)
		}
		select {
		case <-next:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (gossip *Gossip) readList(ctx context.Context, list roster.List) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	vms, err := list.VMs(ctx)
	if err != nil {
		return
	}
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	for _, vm := range vms {
		if !vm.Leaving {
			gossip.table.Listed(member.Member{ID: vm.ID, Address: vm.Peer, Zone: vm.Zone}, gossip.Clock.Now())
		}
	}
	gossip.refresh()
}

// Shares is the word on shares that a message carries.
func Shares(ping probe.Message, at time.Time) share.Word {
	return share.Word{Epoch: ping.Epoch, IsClosed: ping.IsClosed, At: at}
}
