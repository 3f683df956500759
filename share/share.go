// Package share divides the connection limits of database groups among VMs. It does
// no I/O: views, peers' reports and the time are arguments.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  16. The limit of a group is never exceeded, not even while shares change. A view
//     lists the VMs that share the limits. Views are numbered by epoch and each
//     replaces its predecessor by compare-and-swap in the store. A VM whose share
//     shrinks closes its excess connections first. A VM whose share grows waits
//     until each VM of the previous view has closed its excess or can't have a valid
//     view any more.
//
// A VM uses its share only while its view is confirmed: within ConfirmationTTL, the
// store or a majority of the view's VMs reported it as the latest view they know. After
// a majority has adopted the next view, a VM that has not received it loses its
// confirmation within ConfirmationTTL, and has closed its connections after another
// CloseTimeout.
package share

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/owner"
	"github.com/bramleydoor/bramleydoor/quorum"
)

// Timing of shares.
const (
	// ConfirmationTTL is how long a confirmation of the view is valid.
	ConfirmationTTL = 1500 * time.Millisecond
	// CloseTimeout is how long a VM may take to close its connections after the
	// confirmation of its view has expired. It also covers the bounded drift between
	// clocks over ConfirmationTTL.
	CloseTimeout = 500 * time.Millisecond
)

// View is the set of VMs that share the limits in one epoch.
type View struct {
	Epoch uint64   `json:"epoch"`
	VMs   []string `json:"vms"`
	// Prior has the VMs of the previous epoch.
	Prior []string `json:"prior,omitempty"`
}

// Split returns the share of vm in a group's limit, in connections. The remainder of
// the division goes to the VMs that rank first for the group, so that over all
// groups it is spread evenly.
func Split(vms []string, vm, group string, limit int) int {
	if !slices.Contains(vms, vm) {
		return 0
	}
	share, remainder := limit/len(vms), limit%len(vms)
	if remainder > 0 && slices.Index(owner.Rank(group, vms), vm) < remainder {
		share++
	}
	return share
}

// Report is a VM's last report about itself.
type Report struct {
	// Epoch is the epoch of the VM's view.
	Epoch uint64
	// IsWithinShare says that the VM's connections do not exceed its share in Epoch.
	IsWithinShare bool
	// At is when the request that the report answers was sent. It is zero for an
	// unsolicited report, which confirms no view because its age is unknown.
	At time.Time
}

// State is one VM's knowledge of the view and of the other VMs. It is immutable.
type State struct {
	// Self is the VM itself.
	Self string
	// View is the latest view that the VM knows.
	View View

	// reports has the last report of each VM.
	reports map[string]Report
	// storeConfirmedAt is when the VM sent the last request that the store answered
	// with the view's epoch.
	storeConfirmedAt time.Time
	// majorityAdoptedAt is when it became known that a majority of the previous view's
	// VMs have adopted this view.
	majorityAdoptedAt time.Time
	// isSettled says that no VM uses its share of the previous view any more.
	isSettled bool
}

// New returns the state of a VM without a view.
func New(self string) State { return State{Self: self} }

// WithView returns the state after the VM received a view. A view that is not newer
// than the present one is ignored.
func (state State) WithView(view View, now time.Time) State {
	if view.Epoch <= state.View.Epoch {
		return state
	}
	state.View = view
	state.storeConfirmedAt, state.majorityAdoptedAt, state.isSettled = time.Time{}, time.Time{}, false
	return state.updateSettled(now)
}

// WithReport returns the state after a report from a VM was received. A report that is
// older than the known one is ignored.
func (state State) WithReport(vm string, report Report, now time.Time) State {
	reports := maps.Clone(state.reports)
	if reports == nil {
		reports = make(map[string]Report)
	}
	known := reports[vm]
	if report.Epoch < known.Epoch || report.At.Before(known.At) && !report.At.IsZero() {
		return state
	}
	if report.At.IsZero() && report.Epoch == known.Epoch {
		report.At = known.At
	}
	reports[vm] = report
	state.reports = reports
	return state.updateSettled(now)
}

// WithStore returns the state after the store reported its epoch in the answer to a
// request that was sent at requestedAt.
func (state State) WithStore(epoch uint64, requestedAt time.Time) State {
	if epoch == state.View.Epoch && requestedAt.After(state.storeConfirmedAt) {
		state.storeConfirmedAt = requestedAt
	}
	return state
}

// Tick returns the state at a later time.
func (state State) Tick(now time.Time) State { return state.updateSettled(now) }

// updateSettled returns the state with isSettled set if no VM uses its share of the
// previous view any more.
func (state State) updateSettled(now time.Time) State {
	if state.isSettled || state.View.Epoch == 0 {
		return state
	}
	adopted, closed := state.countPrior()
	if state.majorityAdoptedAt.IsZero() && adopted >= quorum.Majority(len(state.View.Prior)) {
		state.majorityAdoptedAt = now
	}
	hasExpired := !state.majorityAdoptedAt.IsZero() && now.Sub(state.majorityAdoptedAt) >= ConfirmationTTL+CloseTimeout
	switch {
	case len(state.View.Prior) == 0:
		state.isSettled = true
	case closed == len(state.View.Prior):
		state.isSettled = true
	case hasExpired && closed == adopted:
		// The VMs that have not adopted the view lost their confirmation and closed
		// their connections; those that have adopted it have closed their excess.
		state.isSettled = true
	}
	return state
}

// countPrior returns how many VMs of the previous view are known to have adopted this
// view or a later one, and how many of those have closed their excess connections.
func (state State) countPrior() (adopted, closed int) {
	for _, vm := range state.View.Prior {
		report := state.reports[vm]
		if report.Epoch < state.View.Epoch {
			continue
		}
		adopted++
		if report.IsWithinShare {
			closed++
		}
	}
	return adopted, closed
}

// IsSettled reports whether no VM uses its share of the previous view any more. Only
// then may VMs use larger shares and the next view be proposed.
func (state State) IsSettled() bool { return state.isSettled }

// IsConfirmed reports whether the view is confirmed, so that the VM may use its share.
func (state State) IsConfirmed(now time.Time) bool {
	if state.View.Epoch == 0 {
		return false
	}
	if !state.storeConfirmedAt.IsZero() && now.Sub(state.storeConfirmedAt) < ConfirmationTTL {
		return true
	}
	agreeing := 0
	for _, vm := range state.View.VMs {
		report := state.reports[vm]
		isRecent := report.Epoch == state.View.Epoch && now.Sub(report.At) < ConfirmationTTL
		if isRecent || vm == state.Self {
			agreeing++
		}
	}
	return agreeing >= quorum.Majority(len(state.View.VMs))
}

// Of returns how many connections to a group the VM may have now. It is zero unless the
// view is confirmed.
func (state State) Of(group string, limit int, now time.Time) int {
	if !state.IsConfirmed(now) {
		return 0
	}
	share := Split(state.View.VMs, state.Self, group, limit)
	if state.isSettled {
		return share
	}
	return min(share, Split(state.View.Prior, state.Self, group, limit))
}
