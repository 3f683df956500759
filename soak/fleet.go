package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
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
	callerPort, readyPort, peerPort     = 7400, 7401, 7402
	databasePort, storePort, ordersPort = 7500, 7600, 7601
	// stopGrace is how long a VM may take for a planned stop. The value is the
	// platform's.
	stopGrace = 6 * time.Second
	// memoryMB is the memory of a VM in MB, the smallest size on the platform's sites.
	memoryMB = 160
	// maxStaleness is the staleness bound, and routeTimeout the request timeout, of every
	// route.
	maxStaleness = 1500 * time.Millisecond
	routeTimeout = 2 * time.Second
	// maxConnections is the connection limit of a database.
	maxConnections = 60
	groupCount     = 2
	// joiningVMs is how many VMs may join during a run.
	joiningVMs = 2
)

// fleet is the VMs under test and the fakes of the platform and the databases.
type fleet struct {
	soak *Soak
	// subnet is the second byte of all addresses. It differs between runs in
	// parallel, as long as their process IDs differ modulo 250.
	subnet int
	store  *platform.FakeStore
	// groups and databases are fakes.
	groups    map[string]*fakeup.Upstream
	databases []*platform.FakeDatabase
	// vms has the VMs that were started, joining those that may join them; live returns a copy.
	vms, joining []*vm
	servers      []*http.Server
	done         chan struct{}
	tasks        sync.WaitGroup

	mu sync.Mutex
	// configVersion is the newest version in the store, and configSetAt the time at
	// which each version was stored.
	configVersion uint64
	configSetAt   map[uint64]time.Time
	// taskErr combines the errors of the background tasks.
	taskErr error
}

// runTask runs a background task of the fakes. Method stop returns its error.
func (fleet *fleet) runTask(run func() error) {
	fleet.tasks.Go(func() {
		if err := run(); err != nil {
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			fleet.taskErr = errors.CombineErrors(fleet.taskErr, err)
		}
	})
}

// vm is one VM. It runs a sequence of processes, at most one at a time.
type vm struct {
	name, ip, settingsFile, logFile string
	program                         []string

	mu sync.Mutex
	// starts is the number of processes started so far.
	starts  int
	process *exec.Cmd
	exited  chan struct{}
	// stopStartedAt is when the present process received SIGTERM; zero if it did not.
	stopStartedAt time.Time
	// isExitExpected says that the present process was sent a signal that ends it.
	isExitExpected  bool
	unexpectedExits int
}

// newFleet returns the VMs and fakes, which are not started, and writes the VMs'
// settings files.
func (soak *Soak) newFleet() (*fleet, error) {
	fleet := &fleet{
		soak: soak, subnet: 1 + os.Getpid()%250, store: &platform.FakeStore{Tree: &fakekv.Tree{}},
		groups: make(map[string]*fakeup.Upstream), done: make(chan struct{}), configSetAt: make(map[uint64]time.Time),
	}
	for i := range groupCount {
		name := fmt.Sprintf("group%d", i)
		fleet.groups[name] = fakeup.New(name)
		fleet.groups[name].SyncReplicas = i % 2 // every second group replicates synchronously
		fleet.groups[name].OnRun = func(run *fakeup.Run) {
			first, last := oddEnds[len(run.Text)%len(oddEnds)], oddEnds[len(run.ID)%len(oddEnds)]
			// CR LF would end the row.
			row := strings.ReplaceAll(first+run.Text+last, "\r\n", "\n")
			run.Rows, run.Proof = []string{row, last}, first+run.Proof+last
		}
		for j, id := range []string{"a", "b", "c"} {
			fleet.databases = append(fleet.databases, &platform.FakeDatabase{
				Upstream: fleet.groups[name], ID: id, Slots: 8, Store: fleet.store.Tree,
				Address:   fmt.Sprintf("%s:%d", fleet.ip(2, 3*i+j+1), databasePort),
				IsStoreUp: func() bool { return fleet.store.Mode() == platform.StoreNormal },
			})
		}
	}
	for i := range soak.VMs + joiningVMs {
		vm, err := fleet.newVM(i + 1)
		if err != nil {
			return nil, err
		}
		if i < soak.VMs {
			fleet.vms = append(fleet.vms, vm)
		} else {
			fleet.joining = append(fleet.joining, vm)
		}
	}
	return fleet, nil
}

// live returns the VMs that were started.
func (fleet *fleet) live() []*vm {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return slices.Clone(fleet.vms)
}

// ip returns a loopback address of the run. Network 1 is for VMs, 2 for databases and 3
// for the platform.
func (fleet *fleet) ip(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", fleet.subnet, network, host)
}

// newVM returns a VM that is not started, and writes its settings file.
func (fleet *fleet) newVM(number int) (*vm, error) {
	vm := &vm{
		name: fmt.Sprintf("vm%d", number), ip: fleet.ip(1, number), program: fleet.soak.Program,
	}
	vm.settingsFile = filepath.Join(fleet.soak.Dir, vm.name+".settings")
	vm.logFile = filepath.Join(fleet.soak.Dir, vm.name+".log")
	text := platform.Settings{
		Name: vm.name, IP: vm.ip, Zone: "zone-" + string(rune('a'+number%3)),
		CallerAddress:    fmt.Sprintf("%s:%d", vm.ip, callerPort),
		ReadinessAddress: fmt.Sprintf("%s:%d", vm.ip, readyPort),
		StoreAddress:     fmt.Sprintf("%s:%d", fleet.ip(3, 1), storePort),
		FailoverAddress:  fmt.Sprintf("%s:%d", fleet.ip(3, 1), ordersPort),
		PeerPort:         peerPort, MemoryMB: memoryMB, ShutdownTimeout: stopGrace,
	}.Encode()
	return vm, os.WriteFile(vm.settingsFile, []byte(text), 0o600)
}

// start starts the fakes, and then the VMs.
func (fleet *fleet) start() error {
	for _, database := range fleet.databases {
		database.Upstream.Do(database.ID, func(fake *fakeup.Database) {
			fake.MaxConnections = maxConnections
			if hasFaults(fleet.soak.Seed) {
				fake.Stutter = normalStutter
			}
		})
		if err := database.Start(); err != nil {
			return err
		}
		fleet.runTask(func() error { return database.Register(fleet.done) })
	}
	for port, handler := range map[int]http.Handler{
		storePort: fleet.store, ordersPort: platform.FakeFailoverHandler(fleet.groups),
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

// serve starts an HTTP server that stop closes.
func (fleet *fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: discardLog}
	fleet.servers = append(fleet.servers, server)
	fleet.runTask(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// configure stores the next version of the configuration. Each version adds one
// database name.
func (fleet *fleet) configure() error {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.configVersion++
	next := &config.Config{
		Version: fleet.configVersion, Routes: make(map[string]config.Route), Upstreams: make(map[string]config.Upstream),
		Limits: config.Limits{TransactionIdle: 3 * time.Second},
	}
	route := func(name, group string, access config.Access) {
		next.Routes[name] = config.Route{
			Name: name, Upstream: group, Access: access, MaxStaleness: maxStaleness, Timeout: routeTimeout, Target: routeTimeout / 4,
		}
	}
	for name := range fleet.groups {
		next.Upstreams[name] = config.Upstream{Name: name, MaxConnections: maxConnections, SyncReplicas: fleet.groups[name].SyncReplicas}
		for _, access := range accesses {
			route(name+"-"+access.String(), name, access)
		}
	}
	for version := uint64(1); version <= fleet.configVersion; version++ {
		route(versionName(version), "group0", config.Current)
	}
	if err := fleet.store.SetConfig(next); err != nil {
		return err
	}
	fleet.configSetAt[fleet.configVersion] = time.Now()
	return nil
}

// versionName returns the database name that a version of the configuration adds.
func versionName(version uint64) string { return fmt.Sprintf("v%d", version) }

var accesses = []config.Access{config.Current, config.BoundedStaleness, config.ReadYourWrites}

// stop kills the VMs, stops the fakes and returns the errors of both.
func (fleet *fleet) stop() error {
	var err error
	for _, vm := range fleet.live() {
		err = errors.CombineErrors(err, vm.kill())
	}
	close(fleet.done)
	for _, server := range fleet.servers {
		err = errors.CombineErrors(err, server.Close())
	}
	for _, database := range fleet.databases {
		err = errors.CombineErrors(err, database.Stop())
	}
	fleet.tasks.Wait()
	return errors.CombineErrors(err, fleet.taskErr)
}

// start starts the VM's process, unless one is running.
func (vm *vm) start() error {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.process != nil {
		return nil
	}
	log, err := os.OpenFile(vm.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	vm.starts++
	process := exec.Command(vm.program[0], vm.program[1:]...) //nolint:gosec // The user names the program under test.
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+vm.settingsFile)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return errors.CombineErrors(err, log.Close())
	}
	exited := make(chan struct{})
	vm.process, vm.exited, vm.stopStartedAt, vm.isExitExpected = process, exited, time.Time{}, false
	go func() {
		defer close(exited)
		// The exit status is ignored: report counts an exit as a finding only if it was
		// not expected.
		_ = process.Wait()
		_ = log.Close()
		vm.mu.Lock()
		defer vm.mu.Unlock()
		if !vm.isExitExpected {
			vm.unexpectedExits++
		}
		vm.process = nil
	}()
	return nil
}

// signal sends the process a signal and returns a channel that is closed when the
// process exits; nil if no process is running. endsProcess says that the signal leads
// to an exit.
func (vm *vm) signal(signal syscall.Signal, endsProcess bool) (<-chan struct{}, error) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.process == nil {
		return nil, nil
	}
	if endsProcess {
		vm.isExitExpected = true
	}
	if signal == syscall.SIGTERM {
		vm.stopStartedAt = time.Now()
	}
	return vm.exited, vm.process.Process.Signal(signal)
}

// kill kills the process and waits until it has exited.
func (vm *vm) kill() error {
	exited, err := vm.signal(syscall.SIGKILL, true)
	if exited != nil {
		<-exited
	}
	return err
}

// stopPlanned stops the process with SIGTERM. It kills the process after stopGrace or
// when ctx ends.
func (vm *vm) stopPlanned(ctx context.Context) error {
	exited, err := vm.signal(syscall.SIGTERM, true)
	if exited == nil || err != nil {
		return err
	}
	select {
	case <-exited:
		return nil
	case <-time.After(stopGrace):
	case <-ctx.Done():
	}
	return vm.kill()
}

// processName returns a name of the VM's present process that no other process has.
func (vm *vm) processName() string {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return fmt.Sprintf("%s/%d", vm.name, vm.starts)
}

// stopTime returns when the present process received SIGTERM; zero if it did not.
func (vm *vm) stopTime() time.Time {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.stopStartedAt
}

// address returns the VM's address for callers.
func (vm *vm) address() string { return fmt.Sprintf("%s:%d", vm.ip, callerPort) }
