// Package ticket defines the operators' numbered change tickets and the configuration
// that results from applying them. It does no I/O and reads no clock.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  17. Tickets are applied in number order, without gaps. A lower number never
//     replaces a higher one. A ticket has the complete new state of each item
//     that it changes: applying it replaces items by name and never merges them.
//  18. A leaving upstream or slot gets no new requests.
package ticket

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Ticket is one numbered change of the configuration.
type Ticket struct {
	// Number is one more than that of the previous ticket; the first is 1.
	Number uint64 `json:"number"`
	// ID is chosen by the operator. A ticket that is submitted again, because the answer
	// to the first submission was lost, is recognized by its ID.
	ID        string     `json:"id"`
	Note      string     `json:"note,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`
	Groups    []Group    `json:"groups,omitempty"`
	Rules     []Rule     `json:"rules,omitempty"`
}

// Upstream is a service that has one or more database groups.
type Upstream struct {
	Name string `json:"name"`
	// Leaving upstreams get no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Removed deletes the upstream; no group may refer to it any more.
	Removed bool `json:"removed,omitempty"`
}

// Group is a database group: one database with a copy on each slot.
type Group struct {
	// Name has the form service.database. Callers connect to the database of this name;
	// the part after the last dot is the database's name on the slots. The service need
	// not be the name of the upstream.
	Name     string `json:"name"`
	Upstream string `json:"upstream"`
	// ConnectionLimit bounds the total connections of all VMs to all slots.
	ConnectionLimit int    `json:"connectionLimit"`
	Slots           []Slot `json:"slots"`
	// Rule names the rule that applies, if any.
	Rule    string `json:"rule,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// Slot is the place of one copy of the database, the primary or a replica, in a group.
type Slot struct {
	Name string `json:"name"`
	// Address is the IP address and port of the slot's PostgreSQL protocol.
	Address string `json:"address"`
	// Control is the IP address and port of the platform's control endpoint for the
	// slot.
	Control string `json:"control"`
	// Zone is the availability zone.
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Rule is a named set of limits that several groups can refer to. A zero field means
// the default.
type Rule struct {
	Name string `json:"name"`
	// QueueLimit bounds the number of requests per VM that wait for a connection.
	QueueLimit int `json:"queueLimit,omitempty"`
	// WaitMs is how long, in ms, a request may wait for a connection before it is
	// refused. It also bounds the wait for the acknowledgement of the answer's position.
	WaitMs int `json:"waitMs,omitempty"`
	// ReplicaWaitMs is how long, in ms, a read may wait for a replica to reach the
	// session's minimum position. It also bounds the wait for the acknowledgement of a
	// read that a replica answered within the staleness bound.
	ReplicaWaitMs int  `json:"replicaWaitMs,omitempty"`
	Removed       bool `json:"removed,omitempty"`
}

// Defaults for the zero fields of a Rule.
const (
	DefaultQueueLimit  = 1000
	DefaultWait        = 5 * time.Second
	DefaultReplicaWait = 10 * time.Millisecond
)

// WithDefaults returns the rule with its zero fields set to the defaults.
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

// Wait returns WaitMs as a duration.
func (rule Rule) Wait() time.Duration { return time.Duration(rule.WaitMs) * time.Millisecond }

// ReplicaWait returns ReplicaWaitMs as a duration.
func (rule Rule) ReplicaWait() time.Duration {
	return time.Duration(rule.ReplicaWaitMs) * time.Millisecond
}

// State is a configuration: the result of all tickets up to that with the same number. It
// is immutable: With returns a new State.
type State struct {
	Number    uint64              `json:"number"`
	ID        string              `json:"id"`
	Upstreams map[string]Upstream `json:"upstreams"`
	Groups    map[string]Group    `json:"groups"`
	Rules     map[string]Rule     `json:"rules"`
}

// ErrOutOfOrder is returned for a ticket whose number doesn't follow that of the
// configuration.
var ErrOutOfOrder = errors.New("ticket is out of order")

// With returns the state after ticket (design rule 17). The error is ErrOutOfOrder or of
// type Problems; with an error, With returns state itself.
func (state State) With(ticket Ticket) (State, error) {
	if ticket.Number != state.Number+1 {
		return state, errors.Wrapf(ErrOutOfOrder,
			"ticket %d does not follow configuration %d", ticket.Number, state.Number)
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

// replace returns a copy of old in which items are replaced by name, or removed. The
// key function returns an item's name and whether it is removed.
func replace[T any](old map[string]T, items []T, key func(T) (string, bool)) map[string]T {
	next := maps.Clone(old)
	if next == nil {
		next = make(map[string]T, len(items))
	}
	for _, item := range items {
		name, isRemoved := key(item)
		if isRemoved {
			delete(next, name)
			continue
		}
		next[name] = item
	}
	return next
}

// Rule returns the rule of group with its defaults set. Without a rule all limits are
// the defaults.
func (state State) Rule(group Group) Rule { return state.Rules[group.Rule].WithDefaults() }

// IsLeaving reports whether slot of group gets no new requests (design rule 18), because the
// slot or its upstream is leaving.
func (state State) IsLeaving(group Group, slot Slot) bool {
	return slot.Leaving || state.Upstreams[group.Upstream].Leaving
}

// GroupNames returns the names of all groups in alphabetical order.
func (state State) GroupNames() []string { return slices.Sorted(maps.Keys(state.Groups)) }
