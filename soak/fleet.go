package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/platform"
)

const (
	frontPort, readyPort, peerPort  = 7400, 7401, 7402
	databasePort, storePort, orders = 7500, 7600, 7601
	// grace is how long a VM has for a planned stop; the platform's value.
	grace = 6 * time.Second
	// memoryMB is a VM's memory; the least that the platform's sites give.
	memoryMB = 160
	// maxAge and routeTimeout are those of the routes.
	maxAge       = 1500 * time.Millisecond
	routeTimeout = 2 * time.Second
	// maxConnections is a database's limit.
	maxConnections = 60
	groupCount     = 2
)

// fleet is the system under test with the stand-ins around it.
type fleet struct {
	soak  *Soak
	net   int
	store *platform.StandStore
	// groups and databases are the stand-ins.
	groups    map[string]*fakeup.Upstream
	databases []*platform.StandDatabase
	vms       []*vm
	servers   []*http.Server
	done      chan struct{}
	duties    sync.WaitGroup

	mu      sync.Mutex
	version uint64
	setAt   map[uint64]time.Time
	// failed is what went wrong in the stand-ins' duties.
	failed error
}

// duty runs one of the stand-ins' duties; stop returns its error.
func (fleet *fleet) duty(run func() error) {
	fleet.duties.Go(func() {
		if err := run(); err != nil {
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			fleet.failed = errors.CombineErrors(fleet.failed, err)
		}
	})
}

// vm is one machine, with the processes that ran there one after the other.
type vm struct {
	name, ip, settings, log string
	program                 []string

	mu      sync.Mutex
	boot    int
	process *exec.Cmd
	exited  chan struct{}
	// stopsAt is when the process was told to stop as planned, expected whether
	// its end is.
	stopsAt  time.Time
	expected bool
	exits    int
}

func (soak *Soak) build() (*fleet, error) {
	fleet := &fleet{
		soak: soak, net: 1 + os.Getpid()%250, store: &platform.StandStore{Tree: &fakekv.Tree{}},
		groups: make(map[string]*fakeup.Upstream), done: make(chan struct{}), setAt: make(map[uint64]time.Time),
	}
	for i := range groupCount {
		name := fmt.Sprintf("group%d", i)
		fleet.groups[name] = fakeup.New(name)
		for j, id := range []string{"a", "b", "c"} {
			fleet.databases = append(fleet.databases, &platform.StandDatabase{
				Upstream: fleet.groups[name], ID: id, Slots: 8, Store: fleet.store.Tree,
				Address:   fmt.Sprintf("%s:%d", fleet.ip(2, 3*i+j+1), databasePort),
				IsStoreUp: func() bool { return fleet.store.Mode() == platform.StoreServes },
			})
		}
	}
	for i := range soak.VMs {
		machine, err := fleet.machine(i + 1)
		if err != nil {
			return nil, err
		}
		fleet.vms = append(fleet.vms, machine)
	}
	return fleet, nil
}

func (fleet *fleet) ip(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", fleet.net, network, host)
}

func (fleet *fleet) machine(number int) (*vm, error) {
	made := &vm{
		name: fmt.Sprintf("vm%d", number), ip: fleet.ip(1, number), program: fleet.soak.Program,
	}
	made.settings = filepath.Join(fleet.soak.Dir, made.name+".settings")
	made.log = filepath.Join(fleet.soak.Dir, made.name+".log")
	text := platform.Settings{
		Name: made.name, IP: made.ip, Zone: "zone-" + string(rune('a'+number%3)),
		Front:    fmt.Sprintf("%s:%d", made.ip, frontPort),
		Ready:    fmt.Sprintf("%s:%d", made.ip, readyPort),
		Store:    fmt.Sprintf("%s:%d", fleet.ip(3, 1), storePort),
		Orders:   fmt.Sprintf("%s:%d", fleet.ip(3, 1), orders),
		PeerPort: peerPort, MemoryMB: memoryMB, Grace: grace,
	}.Text()
	return made, os.WriteFile(made.settings, []byte(text), 0o600)
}

// start starts the stand-ins, and then the VMs.
func (fleet *fleet) start() error {
	for _, database := range fleet.databases {
		database.Upstream.Do(database.ID, func(stand *fakeup.Database) { stand.MaxConnections = maxConnections })
		if err := database.Start(); err != nil {
			return err
		}
		fleet.duty(func() error { return database.Register(fleet.done) })
	}
	for port, handler := range map[int]http.Handler{
		storePort: fleet.store, orders: platform.StandOrders(fleet.groups),
	} {
		if err := fleet.serve(fmt.Sprintf("%s:%d", fleet.ip(3, 1), port), handler); err != nil {
			return err
		}
	}
	if err := fleet.configure(); err != nil {
		return err
	}
	for _, vm := range fleet.vms {
		if err := vm.start(); err != nil {
			return err
		}
	}
	return nil
}

func (fleet *fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: quietLog}
	fleet.servers = append(fleet.servers, server)
	fleet.duty(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// configure puts the next version of the configuration into the store. Each
// brings one more database name.
func (fleet *fleet) configure() error {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.version++
	wanted := &config.Config{
		Version: fleet.version, Routes: make(map[string]config.Route), Upstreams: make(map[string]config.Upstream),
		Limits: config.Limits{TransactionIdle: 3 * time.Second},
	}
	route := func(name, group string, access config.Access) {
		wanted.Routes[name] = config.Route{
			Name: name, Upstream: group, Access: access, MaxAge: maxAge, Timeout: routeTimeout, Target: routeTimeout / 4,
		}
	}
	for name := range fleet.groups {
		wanted.Upstreams[name] = config.Upstream{Name: name, MaxConnections: maxConnections}
		for _, access := range accesses {
			route(name+"-"+access.String(), name, access)
		}
	}
	for version := uint64(1); version <= fleet.version; version++ {
		route(versionName(version), "group0", config.Current)
	}
	if err := fleet.store.SetConfig(wanted); err != nil {
		return err
	}
	fleet.setAt[fleet.version] = time.Now()
	return nil
}

func versionName(version uint64) string { return fmt.Sprintf("v%d", version) }

var accesses = []config.Access{config.Current, config.Aged, config.OwnWrites}

// stop ends everything that the soak started.
func (fleet *fleet) stop() error {
	var err error
	for _, vm := range fleet.vms {
		err = errors.CombineErrors(err, vm.kill())
	}
	close(fleet.done)
	for _, server := range fleet.servers {
		err = errors.CombineErrors(err, server.Close())
	}
	for _, database := range fleet.databases {
		err = errors.CombineErrors(err, database.Stop())
	}
	fleet.duties.Wait()
	return errors.CombineErrors(err, fleet.failed)
}

// start starts the VM's process.
func (vm *vm) start() error {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.process != nil {
		return nil
	}
	log, err := os.OpenFile(vm.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	vm.boot++
	process := exec.Command(vm.program[0], vm.program[1:]...) //nolint:gosec // The program to test is what the user names.
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+vm.settings)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return errors.CombineErrors(err, log.Close())
	}
	exited := make(chan struct{})
	vm.process, vm.exited, vm.stopsAt, vm.expected = process, exited, time.Time{}, false
	go func() {
		defer close(exited)
		// How it ended is judged by whether an end was expected.
		_ = process.Wait()
		_ = log.Close()
		vm.mu.Lock()
		defer vm.mu.Unlock()
		if !vm.expected {
			vm.exits++
		}
		vm.process = nil
	}()
	return nil
}

// signal sends the process a signal; false if there is none.
func (vm *vm) signal(signal syscall.Signal, ends bool) (<-chan struct{}, error) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.process == nil {
		return nil, nil
	}
	if ends {
		vm.expected = true
	}
	if signal == syscall.SIGTERM {
		vm.stopsAt = time.Now()
	}
	return vm.exited, vm.process.Process.Signal(signal)
}

func (vm *vm) kill() error {
	exited, err := vm.signal(syscall.SIGKILL, true)
	if exited != nil {
		<-exited
	}
	return err
}

// stopPlanned ends the process as planned, by force once its grace is over.
func (vm *vm) stopPlanned(ctx context.Context) error {
	exited, err := vm.signal(syscall.SIGTERM, true)
	if exited == nil || err != nil {
		return err
	}
	select {
	case <-exited:
		return nil
	case <-time.After(grace):
	case <-ctx.Done():
	}
	return vm.kill()
}

// label names the VM's present process.
func (vm *vm) label() string {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return fmt.Sprintf("%s/%d", vm.name, vm.boot)
}

// stopping is when the present process was told to stop; zero if not.
func (vm *vm) stopping() time.Time {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.stopsAt
}

func (vm *vm) front() string { return fmt.Sprintf("%s:%d", vm.ip, frontPort) }
