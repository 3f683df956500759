package ticket

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Skip returns the state after a ticket that could not be applied: the number
// is used up, and nothing else changes.
func (state State) Skip(ticket Ticket) State {
	state.Number = ticket.Number
	state.ID = ticket.ID
	return state
}

// names lists what a ticket touches.
func (ticket Ticket) names() map[string]bool {
	names := make(map[string]bool)
	for _, upstream := range ticket.Upstreams {
		names["upstream "+upstream.Name] = true
	}
	for _, group := range ticket.Groups {
		names["group "+group.Name] = true
	}
	for _, rule := range ticket.Rules {
		names["rule "+rule.Name] = true
	}
	return names
}

// Overlap returns the things that both tickets touch, in order.
func Overlap(a, b Ticket) []string {
	others := b.names()
	names := a.names()
	maps.DeleteFunc(names, func(name string, _ bool) bool { return !others[name] })
	return slices.Sorted(maps.Keys(names))
}

// Change is one difference between two configurations.
type Change struct {
	Name   string `json:"name"`
	Before any    `json:"before,omitempty"`
	After  any    `json:"after,omitempty"`
}

// String says what changed in one line.
func (change Change) String() string {
	switch {
	case change.Before == nil:
		return fmt.Sprintf("+ %s %+v", change.Name, change.After)
	case change.After == nil:
		return "- " + change.Name
	}
	return fmt.Sprintf("~ %s %+v -> %+v", change.Name, change.Before, change.After)
}

// Diff returns what differs between two configurations, in order of names.
func Diff(before, after State) []Change {
	var changes []Change
	changes = append(changes, diffMaps("upstream ", before.Upstreams, after.Upstreams)...)
	changes = append(changes, diffMaps("group ", before.Groups, after.Groups)...)
	return append(changes, diffMaps("rule ", before.Rules, after.Rules)...)
}

func diffMaps[T any](prefix string, before, after map[string]T) []Change {
	names := make(map[string]bool)
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, hadOld := before[name]
		now, hasNow := after[name]
		change := Change{Name: prefix + name}
		if hadOld {
			change.Before = old
		}
		if hasNow {
			change.After = now
		}
		if hadOld != hasNow || !reflect.DeepEqual(old, now) {
			changes = append(changes, change)
		}
	}
	return changes
}
