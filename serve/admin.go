package serve

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/bramleydoor/bramleydoor/gossip"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/router"
	"github.com/bramleydoor/bramleydoor/stats"
)

// Status is a VM's state as the admin address reports it.
type Status struct {
	VM    string `json:"vm"`
	Zone  string `json:"zone"`
	Ready bool   `json:"ready"`
	// Number is that of the last applied ticket.
	Number uint64                 `json:"number"`
	Live   []string               `json:"live"`
	Epoch  uint64                 `json:"shareEpoch"`
	Groups map[string]GroupStatus `json:"groups"`

	Sessions   int64            `json:"sessions"`
	Requests   int64            `json:"requests"`
	Commits    int64            `json:"commits"`
	Promotions int64            `json:"promotions"`
	Refusals   map[string]int64 `json:"refusals"`
	Retries    map[string]int64 `json:"retries"`
	Routes     map[string]int64 `json:"routes"`
}

// GroupStatus is a VM's view of a database group.
type GroupStatus struct {
	Term    uint64       `json:"term"`
	Primary string       `json:"primary"`
	Acked   string       `json:"acked"`
	Slots   []SlotStatus `json:"slots"`
	Pool    pool.Usage   `json:"pool"`
}

// SlotStatus is a VM's view of a slot.
type SlotStatus struct {
	Name         string `json:"name"`
	LastPosition string `json:"held"`
	// LagMs is the proven bound on the staleness of the slot's data in ms, or -1 if none
	// is proven.
	LagMs int64 `json:"lagMs"`
	// SinceAnswerMs is the time since the slot last answered in ms, or -1 if it never did.
	SinceAnswerMs int64 `json:"silentMs"`
}

// Status returns a snapshot of the VM's state.
func (vm *VM) Status() Status {
	status := Status{
		VM:         vm.Settings.ID,
		Zone:       vm.Settings.Zone,
		Ready:      vm.isReady(),
		Number:     vm.relay.State().Number,
		Live:       gossip.IDs(vm.gossip.Live()),
		Epoch:      vm.shares.view().Epoch,
		Groups:     make(map[string]GroupStatus),
		Sessions:   vm.Stats.Sessions.Value(),
		Requests:   vm.Stats.Requests.Value(),
		Commits:    vm.Stats.Commits.Value(),
		Promotions: vm.Stats.Promotions.Value(),
		Refusals:   stats.Counts(&vm.Stats.Refusals),
		Retries:    stats.Counts(&vm.Stats.Retries),
		Routes:     stats.Counts(&vm.Stats.Routes),
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	for name, group := range vm.groups {
		status.Groups[name] = groupStatus(group.router, vm.Clock.Now())
	}
	return status
}

func groupStatus(groupRouter *router.Router, now time.Time) GroupStatus {
	view := groupRouter.Watch.View()
	status := GroupStatus{Term: view.Term(), Acked: view.Acked.String(), Pool: groupRouter.Pool.Usage()}
	if primary, ok := view.Ready(); ok {
		status.Primary = primary.Report.Slot
	}
	for _, slot := range view.Slots {
		status.Slots = append(status.Slots, SlotStatus{
			Name:          slot.Report.Slot,
			LastPosition:  slot.LastPosition.String(),
			LagMs:         millisecondsSince(slot.ProvenAt, now),
			SinceAnswerMs: millisecondsSince(slot.LastAnswerAt, now),
		})
	}
	return status
}

// millisecondsSince returns the time from at to now in ms, or -1 if at is zero.
func millisecondsSince(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// adminTimeout bounds a request to the admin address.
const adminTimeout = 10 * time.Second

// runAdmin serves status, health and counters on the admin address, which must not be
// reachable by callers. Without an admin address it only waits until ctx ends.
func (vm *VM) runAdmin(ctx context.Context) error {
	if vm.Settings.Admin == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	listener, err := net.Listen("tcp", vm.Settings.Admin)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", vm.serveStatus)
	mux.HandleFunc("GET /health", vm.serveHealth)
	mux.HandleFunc("GET /debug/vars", vm.serveVars)
	server := &http.Server{Handler: mux, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(listener)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (vm *VM) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(vm.Status())
}

// serveHealth answers 200 once the VM can serve, and 503 before that and while it stops, so
// that the load balancer sends new connections to other VMs.
func (vm *VM) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !vm.isReady() || vm.entry.IsStopping() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (vm *VM) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(vm.Stats.Map().String()))
}
