package ticket

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Skip returns the state after a ticket that can't be applied. The ticket uses up its
// number: only the state's number and ID change.
func (state State) Skip(ticket Ticket) State {
	state.Number = ticket.Number
	state.ID = ticket.ID
	return state
}

// changedNames returns the kinds and names of the items that a ticket adds, replaces or
// removes, such as "group ledger.main".
func (ticket Ticket) changedNames() map[string]bool {
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

// Overlap returns the kinds and names of the items that both tickets change, in
// alphabetical order, such as "group ledger.main".
func Overlap(first, second Ticket) []string {
	secondNames := second.changedNames()
	names := first.changedNames()
	maps.DeleteFunc(names, func(name string, _ bool) bool { return !secondNames[name] })
	return slices.Sorted(maps.Keys(names))
}

// Change is one difference between two configurations. Before is nil for an added item,
// After for a removed one.
type Change struct {
	Name   string `json:"name"`
	Before any    `json:"before,omitempty"`
	After  any    `json:"after,omitempty"`
}

// String returns the change as one line.
func (change Change) String() string {
	switch {
	case change.Before == nil:
		return fmt.Sprintf("+ %s %+v", change.Name, change.After)
	case change.After == nil:
		return "- " + change.Name
	}
	return fmt.Sprintf("~ %s %+v -> %+v", change.Name, change.Before, change.After)
}

// Diff returns the differences between two configurations: upstreams, groups and rules,
// each sorted by name.
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
		oldItem, hasOld := before[name]
		newItem, hasNew := after[name]
		change := Change{Name: prefix + name}
		if hasOld {
			change.Before = oldItem
		}
		if hasNew {
			change.After = newItem
		}
		if hasOld != hasNew || !reflect.DeepEqual(oldItem, newItem) {
			changes = append(changes, change)
		}
	}
	return changes
}
