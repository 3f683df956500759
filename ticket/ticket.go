// Package ticket has the operators' numbered change tickets and the
// configuration that they add up to. It is pure: no I/O, no clock.
//
// Rules:
//
//  17. Tickets are applied in number order, without gaps. A lower number never
//     replaces a higher one. Each carries the whole new state of what it
//     touches, so applying one is a replacement by name, never a merge.
//  18. A leaving upstream or slot gets no new work.
package ticket

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Ticket is one numbered change.
type Ticket struct {
	// Number is one more than that of the ticket before it.
	Number uint64 `json:"number"`
	// ID is the operator's own identifier. It finds a ticket again whose
	// acceptance was answered by nothing.
	ID        string     `json:"id"`
	Note      string     `json:"note,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`
	Groups    []Group    `json:"groups,omitempty"`
	Rules     []Rule     `json:"rules,omitempty"`
}

// Upstream is a back end: a service that has one or more database groups.
type Upstream struct {
	Name string `json:"name"`
	// Leaving upstreams get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Removed deletes the upstream; no group may refer to it then.
	Removed bool `json:"removed,omitempty"`
}

// Group is a database group: one database on several slots.
type Group struct {
	// Name is service.database, as callers give it.
	Name     string `json:"name"`
	Upstream string `json:"upstream"`
	// ConnectionLimit bounds the connections of all VMs to all slots together.
	ConnectionLimit int    `json:"connectionLimit"`
	Slots           []Slot `json:"slots"`
	// Rule names the rule that applies, if any.
	Rule    string `json:"rule,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// Slot is one place where a copy of the database runs.
type Slot struct {
	Name string `json:"name"`
	// Address is where the slot speaks the PostgreSQL protocol: IP and port.
	Address string `json:"address"`
	// Control is where the platform answers for the slot: IP and port.
	Control string `json:"control"`
	// Zone is the availability zone.
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Rule has limits that groups share by name. Zero means the default.
type Rule struct {
	Name string `json:"name"`
	// QueueLimit bounds the requests that wait for a connection, per VM.
	QueueLimit int `json:"queueLimit,omitempty"`
	// WaitMs bounds how long a request waits before it is refused.
	WaitMs int `json:"waitMs,omitempty"`
	// ReplicaWaitMs bounds the wait for a replica to reach a session's floor.
	ReplicaWaitMs int  `json:"replicaWaitMs,omitempty"`
	Removed       bool `json:"removed,omitempty"`
}

// Defaults of a Rule.
const (
	DefaultQueueLimit  = 1000
	DefaultWait        = 5 * time.Second
	DefaultReplicaWait = 10 * time.Millisecond
)

// WithDefaults returns the rule with its zero fields filled in.
func (rule Rule) WithDefaults() Rule {
	if rule.QueueLimit == 0 {
		rule.QueueLimit = DefaultQueueLimit
	}
	if rule.WaitMs == 0 {
		rule.WaitMs = int(DefaultWait.Milliseconds())
	}
	if rule.ReplicaWaitMs == 0 {
		rule.ReplicaWaitMs = int(DefaultReplicaWait.Milliseconds())
	}
	return rule
}

// Wait is WaitMs as a duration.
func (rule Rule) Wait() time.Duration { return time.Duration(rule.WaitMs) * time.Millisecond }

// ReplicaWait is ReplicaWaitMs as a duration.
func (rule Rule) ReplicaWait() time.Duration {
	return time.Duration(rule.ReplicaWaitMs) * time.Millisecond
}

// State is the configuration after the ticket of its number. It is immutable:
// With returns a new one.
type State struct {
	Number    uint64              `json:"number"`
	ID        string              `json:"id"`
	Upstreams map[string]Upstream `json:"upstreams"`
	Groups    map[string]Group    `json:"groups"`
	Rules     map[string]Rule     `json:"rules"`
}

// ErrOutOfOrder is returned for a ticket that is not the next one.
var ErrOutOfOrder = errors.New("ticket is out of order")

// With returns the state after ticket (rule 17).
func (state State) With(ticket Ticket) (State, error) {
	if ticket.Number != state.Number+1 {
		return state, errors.Wrapf(ErrOutOfOrder,
			"ticket %d can't follow configuration %d", ticket.Number, state.Number)
	}
	next := State{
		Number:    ticket.Number,
		ID:        ticket.ID,
		Upstreams: replace(state.Upstreams, ticket.Upstreams, upstreamKey),
		Groups:    replace(state.Groups, ticket.Groups, groupKey),
		Rules:     replace(state.Rules, ticket.Rules, ruleKey),
	}
	if problems := next.problems(); len(problems) > 0 {
		return state, problems
	}
	return next, nil
}

func upstreamKey(upstream Upstream) (string, bool) { return upstream.Name, upstream.Removed }
func groupKey(group Group) (string, bool)          { return group.Name, group.Removed }
func ruleKey(rule Rule) (string, bool)             { return rule.Name, rule.Removed }

func replace[T any](old map[string]T, items []T, key func(T) (string, bool)) map[string]T {
	next := maps.Clone(old)
	if next == nil {
		next = make(map[string]T, len(items))
	}
	for _, item := range items {
		name, removed := key(item)
		if removed {
			delete(next, name)
			continue
		}
		next[name] = item
	}
	return next
}

// Rule returns the rule that applies to group, with defaults filled in.
func (state State) Rule(group Group) Rule { return state.Rules[group.Rule].WithDefaults() }

// IsLeaving reports whether slot of group may get no new work (rule 18).
func (state State) IsLeaving(group Group, slot Slot) bool {
	return slot.Leaving || state.Upstreams[group.Upstream].Leaving
}

// GroupNames returns the names of all groups in order.
func (state State) GroupNames() []string { return slices.Sorted(maps.Keys(state.Groups)) }
