// Package gossip runs the membership protocol of package member on a VM: it probes the
// other VMs in turn and disseminates membership updates with each message.
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
	// smallFleetProbes is how many VMs a VM probes per period in a fleet of up to
	// smallFleet VMs. In a larger fleet it probes one, so that each VM is probed once
	// per period on average.
	smallFleetProbes = 2
	smallFleet       = 8
	// helperCount is how many VMs are asked for an indirect probe of a VM that doesn't
	// answer.
	helperCount = 2
	// listInterval is the time between reads of the platform's list of VMs.
	listInterval = 5 * time.Second
)

// Gossip maintains the membership table of one VM; it is a kernel.Task. Set the exported
// fields before Run.
type Gossip struct {
	Self   member.Member
	Probes *probe.Endpoint
	Lists  []roster.List
	Clock  clock.Clock
	Events *event.Log
	// FillMessage, if set, sets the fields Epoch, IsWithinShare and Number of each
	// message before it is sent.
	FillMessage func(message *probe.Message)
	// OnMessage, if set, is called with each message received from another VM. If the
	// message is an answer, probeSentAt is when the probe that it answers was sent; if it
	// is a probe, probeSentAt is zero.
	OnMessage func(message probe.Message, probeSentAt time.Time)

	mu    sync.Mutex
	table *member.Table
	// live caches the result of table.Live.
	live []member.Member
}

// Init creates the membership table if there is none yet. Run calls it too. It must be
// called first if other methods may be called before Run.
func (gossip *Gossip) Init() {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	if gossip.table == nil {
		gossip.table = member.New(gossip.Self)
		gossip.live = gossip.table.Live()
	}
}

// Live returns the VMs that are alive and not leaving, which may be assigned work.
func (gossip *Gossip) Live() []member.Member {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	return gossip.live
}

// IDs returns the IDs of members.
func IDs(members []member.Member) []string {
	ids := make([]string, len(members))
	for i, member := range members {
		ids[i] = member.ID
	}
	return ids
}

// Run probes other VMs and reads the platform's list until ctx ends.
func (gossip *Gossip) Run(ctx context.Context) error {
	gossip.Init()
	return kernel.Run(ctx, kernel.TaskFunc(gossip.runProbes), kernel.TaskFunc(gossip.runLists))
}

// runProbes probes VMs and expires suspects once per period, until ctx ends.
func (gossip *Gossip) runProbes(ctx context.Context) error {
	for ctx.Err() == nil {
		next := gossip.Clock.After(Period)
		for range gossip.probeCount() {
			if target, ok := gossip.nextTarget(); ok {
				go gossip.probeTarget(ctx, target)
			}
		}
		gossip.expireSuspects()
		select {
		case <-next:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// probeCount returns how many VMs to probe per period.
func (gossip *Gossip) probeCount() int {
	if len(gossip.Live()) > smallFleet {
		return 1
	}
	return smallFleetProbes
}

func (gossip *Gossip) nextTarget() (member.Member, bool) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	return gossip.table.Probe()
}

// probeTarget probes a VM, and asks other VMs for indirect probes if it doesn't answer.
// If those fail too the VM becomes suspect.
func (gossip *Gossip) probeTarget(ctx context.Context, target member.Member) {
	if gossip.exchange(ctx, target, "") {
		return
	}
	for _, helper := range gossip.pickHelpers(target.ID) {
		if gossip.exchange(ctx, helper, target.Address) {
			return
		}
	}
	gossip.mu.Lock()
	isNewSuspect := gossip.table.Suspect(target.ID, gossip.Clock.Now())
	gossip.refreshLive()
	gossip.mu.Unlock()
	if isNewSuspect {
		gossip.Events.Write(event.PeerSuspected, event.Fields{"peer": target.ID})
	}
}

// pickHelpers returns up to helperCount live VMs for indirect probes of a target.
func (gossip *Gossip) pickHelpers(targetID string) []member.Member {
	var picked []member.Member
	for _, candidate := range gossip.Live() {
		if candidate.ID != targetID && candidate.ID != gossip.Self.ID && len(picked) < helperCount {
			picked = append(picked, candidate)
		}
	}
	return picked
}

// exchange sends one message and handles its answer. Without a target address it returns
// whether the VM answered; with one, whether the VM reports that the target answered its
// probe.
func (gossip *Gossip) exchange(ctx context.Context, to member.Member, targetAddress string) bool {
	sentAt := gossip.Clock.Now()
	answer, err := gossip.Probes.Ask(ctx, to.Address, gossip.newMessage(to.ID, targetAddress))
	if err != nil {
		return false
	}
	gossip.receive(answer, sentAt)
	return targetAddress == "" || answer.Target == targetAddress
}

// newMessage returns a message to a VM, with the updates due for it. A target address
// requests an indirect probe.
func (gossip *Gossip) newMessage(to, targetAddress string) probe.Message {
	gossip.mu.Lock()
	message := probe.Message{From: gossip.Self.ID, Updates: probe.FromMembers(gossip.table.Updates(to)), Target: targetAddress}
	gossip.mu.Unlock()
	if gossip.FillMessage != nil {
		gossip.FillMessage(&message)
	}
	return message
}

// receive applies the updates of a received message and calls OnMessage.
func (gossip *Gossip) receive(message probe.Message, probeSentAt time.Time) {
	now := gossip.Clock.Now()
	gossip.mu.Lock()
	liveBefore := len(gossip.live)
	hasChanged := false
	for _, update := range message.Members() {
		hasChanged = gossip.table.Apply(update, now) || hasChanged
	}
	if hasChanged {
		gossip.refreshLive()
	}
	joined := len(gossip.live) > liveBefore
	gossip.mu.Unlock()
	if joined {
		gossip.Events.Write(event.PeerJoined, event.Fields{"peer": message.From})
	}
	if gossip.OnMessage != nil {
		gossip.OnMessage(message, probeSentAt)
	}
}

// refreshLive recomputes live. The cost grows with the size of the fleet, so the result is
// cached. mu must be held.
func (gossip *Gossip) refreshLive() { gossip.live = gossip.table.Live() }

// expireSuspects declares dead the suspects that did not refute the suspicion in time, and
// logs them.
func (gossip *Gossip) expireSuspects() {
	gossip.mu.Lock()
	died := gossip.table.Tick(gossip.Clock.Now())
	if len(died) > 0 {
		gossip.refreshLive()
	}
	gossip.mu.Unlock()
	for _, dead := range died {
		gossip.Events.Write(event.PeerLeft, event.Fields{"peer": dead.ID})
	}
}

// Answer handles a probe of another VM and returns the answer. If the probe names a target
// it probes the target first, for at most probe.Timeout.
func (gossip *Gossip) Answer(message probe.Message) probe.Message {
	gossip.receive(message, time.Time{})
	answer := gossip.newMessage(message.From, "")
	if message.Target == "" {
		return answer
	}
	ctx, cancel := context.WithTimeout(context.Background(), probe.Timeout)
	defer cancel()
	if gossip.exchange(ctx, member.Member{Address: message.Target}, "") {
		answer.Target = message.Target
	}
	return answer
}

// Leave marks this VM as leaving and announces that to a few other VMs.
func (gossip *Gossip) Leave(ctx context.Context) {
	gossip.mu.Lock()
	gossip.table.Leave()
	gossip.refreshLive()
	others := gossip.table.All()
	gossip.mu.Unlock()
	for i, other := range others {
		if i >= member.MaxUpdates {
			// As many VMs as a message has updates at most are enough: they disseminate the
			// update to the rest of the fleet.
			return
		}
		gossip.exchange(ctx, other, "")
	}
}

// runLists reads the platform's lists every listInterval, until ctx ends.
func (gossip *Gossip) runLists(ctx context.Context) error {
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

// readList adds the VMs of a list that are not leaving to the table as candidates to
// probe. A list that can't be read is skipped until the next round.
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
			gossip.table.AddCandidate(member.Member{ID: vm.ID, Address: vm.Peer, Zone: vm.Zone}, gossip.Clock.Now())
		}
	}
	gossip.refreshLive()
}

// ShareReportOf returns the state of the connection shares that a message reports.
// probeSentAt is when the probe that the message answers was sent, or zero if it is not
// an answer.
func ShareReportOf(message probe.Message, probeSentAt time.Time) share.Report {
	return share.Report{Epoch: message.Epoch, IsWithinShare: message.IsWithinShare, At: probeSentAt}
}
