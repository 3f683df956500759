package grants

import (
	"context"
	"time"

	"github.com/bramleydoor/bramleydoor/dbset"
)

type revocation struct {
	seq   uint64
	acked map[string]bool
}

// revoked ends a grant and confirms that.
func (agent *Agent) revoked(order message) {
	for _, group := range agent.Groups() {
		if len(order.Notes) != 1 || group.Name != order.Notes[0].Group {
			continue
		}
		if !group.Revoke(order.Token, agent.Clock.Now()) {
			return
		}
	}
	order.Kind = kindRevoked
	keeper := order.From
	order.From = agent.VM
	agent.send(keeper, order)
}

func (agent *Agent) confirmed(reply message) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if len(reply.Notes) != 1 {
		return
	}
	if revoking, ok := agent.frozen[reply.Notes[0].Group]; ok && revoking.seq == reply.Seq {
		revoking.acked[reply.From] = true
	}
}

// Freeze stops granting a group and returns when no VM has a grant any more;
// false says that some VMs have not confirmed it.
func (agent *Agent) Freeze(ctx context.Context, group string) bool {
	token, ok := agent.Duty.Holds(0)
	if !ok {
		return false
	}
	now := agent.Clock.Now()
	agent.mu.Lock()
	agent.takeToken(token, now)
	agent.seq++
	revoking := &revocation{seq: agent.seq, acked: make(map[string]bool)}
	agent.frozen[group] = revoking
	agent.mu.Unlock()
	order := message{
		Kind: kindRevoke, From: agent.VM, Seq: revoking.seq, Token: token,
		Notes: []note{{Group: group}},
	}
	for {
		missing, until := agent.missing(revoking)
		if len(missing) == 0 {
			return true
		}
		if !agent.Clock.Now().Before(until) {
			return false
		}
		for _, vm := range missing {
			agent.send(vm, order)
		}
		select {
		case <-ctx.Done():
			return false
		case <-agent.Clock.After(revokeEvery):
		}
	}
}

// missing returns the VMs that have not confirmed, and when the last of their
// grants has run out.
func (agent *Agent) missing(revoking *revocation) ([]string, time.Time) {
	peers := agent.Peers()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	all := make(map[string]bool, len(peers)+len(agent.granted))
	for _, vm := range peers {
		all[vm] = true
	}
	for vm := range agent.granted {
		all[vm] = true
	}
	var missing []string
	var until time.Time
	for vm := range all {
		if revoking.acked[vm] {
			continue
		}
		missing = append(missing, vm)
		last := agent.tokenAt
		if at, ok := agent.granted[vm]; ok {
			last = at
		}
		if ends := last.Add(dbset.GrantFor + margin); ends.After(until) {
			until = ends
		}
	}
	return missing, until
}

// Thaw grants a group again.
func (agent *Agent) Thaw(group string) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	delete(agent.frozen, group)
}
