package lease

import (
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/leader"
)

// sendProofs tells the leader of a set the primaries of groups without a lease, as far as
// their databases have reported since the leader first answered under its token.
func (agent *Agent) sendProofs(set int, groups []*dbset.Group) {
	agent.mu.Lock()
	requester := agent.requester(set)
	token, since := requester.token, requester.tokenSince
	agent.mu.Unlock()
	to := agent.Leadership.Leader(set)
	if token == 0 || to == "" || to == agent.VM {
		return
	}
	var proofs []groupState
	for _, group := range groups {
		if proof, ok := group.Proof(since); ok {
			proofs = append(proofs, groupState{Group: group.Name, Term: proof.Term, Primary: proof.Primary, Start: proof.Start})
		}
	}
	if len(proofs) > 0 {
		agent.send(to, message{Kind: kindProof, From: agent.VM, Token: token, Groups: proofs, Set: set})
	}
}

// handleProof accepts proofs that were made under this VM's present token, by which it was
// already the leader, except for groups with a promotion in progress.
func (agent *Agent) handleProof(received message) {
	for _, proven := range received.Groups {
		group := agent.Group(proven.Group)
		if group == nil || leader.SetOf(group.Name, agent.Leadership.Count()) != received.Set {
			continue
		}
		if token, ok := agent.Leadership.HoldsGroup(group.Name, 0); !ok || token != received.Token || agent.isRevoked(group.Name) {
			continue
		}
		if known, ok := agent.Leadership.Known(group.Name); ok && proven.Term < known.Term {
			continue
		}
		group.AcceptProof(dbset.Proof{Term: proven.Term, Primary: proven.Primary, Start: proven.Start})
	}
}

// isRevoked reports whether no leases are issued for a group.
func (agent *Agent) isRevoked(group string) bool {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	_, ok := agent.revocations[group]
	return ok
}
