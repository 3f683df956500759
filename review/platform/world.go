//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/platform"
)

// world is the VMs under test and all stand-ins.
type world struct {
	program, dir string
	subnet       int
	store        *platform.FakeStore
	tree         *fakekv.Tree
	groups       map[string]*group
	vms          []*vm
	// fronts are the VMs that consumers are forwarded to; all if it is empty.
	fronts []*vm
	// tenants is the number of tenants, usesState makes consumers set values.
	tenants   int
	usesState bool
	// isOneZone puts all VMs into one zone, where few of them route a group if connections are scarce.
	isOneZone bool
	began     time.Time
	done      chan struct{}
	version   int
	txIdleMs  int
	routes    []map[string]any
	services  []map[string]any
	// orderDelay is how long the platform takes before it acts on a failover call.
	orderDelay atomic.Int64
	// onOrder is called once with the caller of the next failover call.
	onOrder atomic.Pointer[func(vm string)]
	// onArrival is the same, before the platform acts on the call.
	onArrival atomic.Pointer[func(vm string)]

	mu     sync.Mutex
	events []string
	orders []string
	// operations has the consumers' requests by ID, acked the acknowledged commits in the order
	// of their acknowledgement.
	operations map[string]*operation
	all        []*operation
	acked      []*entry
	ackedAt    map[*entry]time.Time
	// serviceOf has the service of each session.
	serviceOf map[int]string
}

// vm is one VM, whose process the world starts and ends.
type vm struct {
	world      *world
	name, ip   string
	settings   string
	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
	expected   bool
	unexpected int
	isReady    bool
	misses     int
	outputPath string
}

const (
	frontPort, readyPort, controlPort, internalPort = 8784, 8785, 8782, 7440
	storePort, cloudPort, databasePort              = 8783, 8793, 9100
)

func newWorld(program, dir string) (*world, error) {
	world := &world{
		program: program, dir: dir, tree: &fakekv.Tree{}, groups: make(map[string]*group), done: make(chan struct{}),
		operations: make(map[string]*operation), ackedAt: make(map[*entry]time.Time), serviceOf: make(map[int]string), began: time.Now(), txIdleMs: 5000,
	}
	world.store = &platform.FakeStore{Tree: world.tree}
	// The first network of loopback addresses whose ports are free.
	for try := range 200 {
		world.subnet = 1 + (os.Getpid()+try)%250
		if world.isFree() {
			return world, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (world *world) ip(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", world.subnet, network, host)
}

func (world *world) isFree() bool {
	for _, address := range []string{
		fmt.Sprintf("%s:%d", world.ip(1, 1), frontPort), fmt.Sprintf("%s:%d", world.ip(1, 1), 7450),
		fmt.Sprintf("%s:%d", world.ip(3, 1), storePort),
	} {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// note records an event for record.txt.
func (world *world) note(format string, arguments ...any) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.events = append(world.events, world.at(time.Now())+" "+fmt.Sprintf(format, arguments...))
}

func (world *world) at(moment time.Time) string {
	return fmt.Sprintf("%9.4f", moment.Sub(world.began).Seconds())
}

var groupHosts int

// addGroup adds a service with databases in the given zones; the first one is the primary.
func (world *world) addGroup(service string, syncReplicas, slots, maxConns int, work, promote time.Duration, zones []string) *group {
	group := &group{
		world: world, service: service, sync: syncReplicas, work: work, promote: promote, lag: 20 * time.Millisecond,
		maxConns: maxConns, term: 1,
	}
	for i, zone := range zones {
		group.addDatabase(fmt.Sprintf("i-%s%d", service, i), zone, slots)
	}
	group.databases[0].leads, group.target = true, group.databases[0].id
	for _, database := range group.databases {
		database.term = 1
	}
	world.groups[service] = group
	world.services = append(world.services, map[string]any{"name": service, "maxConns": maxConns, "syncReplicas": syncReplicas})
	return group
}

func (group *group) addDatabase(id, zone string, slots int) *database {
	groupHosts++
	database := &database{
		group: group, id: id, zone: zone, address: fmt.Sprintf("%s:%d", group.world.ip(2, groupHosts), databasePort),
		slots: make(chan struct{}, slots),
	}
	group.mu.Lock()
	group.databases = append(group.databases, database)
	group.mu.Unlock()
	return database
}

func (world *world) addRoute(host, kind, service string, timeoutMs, targetMs, staleMs, priority int) {
	route := map[string]any{
		"host": host, "type": kind, "service": service, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs, "priority": priority,
	}
	if kind != "primary" {
		route["maxStalenessMs"] = staleMs
	}
	world.routes = append(world.routes, route)
}

// configure writes the next desired state.
func (world *world) configure() {
	world.version += 3
	state := map[string]any{
		"version": world.version, "routes": world.routes, "services": world.services, "limits": map[string]any{"txIdleMs": world.txIdleMs},
	}
	if world.tenants > 0 {
		var tenants []map[string]any
		for i := range world.tenants {
			tenants = append(tenants, map[string]any{
				"name": fmt.Sprintf("team%d", i), "apiKeys": []string{fmt.Sprintf("key%d", i)}, "ratePerS": 10000, "burst": 10000,
			})
		}
		state["tenants"] = tenants
	}
	text, _ := json.Marshal(state)
	world.tree.Set("op/config", text)
	world.note("operator wrote desired state %d", world.version)
}

// register keeps the registrations of all databases up to date.
func (world *world) register() {
	silent := make(map[*database]time.Time)
	for {
		for _, group := range world.groups {
			group.mu.Lock()
			for _, database := range group.databases {
				database.writeRegistration(silent)
			}
			group.mu.Unlock()
		}
		select {
		case <-world.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

const silenceLimit = 3600 * time.Millisecond // three check-in intervals

func (database *database) writeRegistration(silent map[*database]time.Time) {
	world, key := database.group.world, "servers/"+database.id
	if !database.isUp {
		if database.born == 0 {
			return
		}
		if _, ok := silent[database]; !ok {
			silent[database] = time.Now()
		}
		if database.registered != "" && time.Since(silent[database]) > silenceLimit {
			world.tree.Remove(key)
			database.registered = ""
		}
		return
	}
	delete(silent, database)
	role, state := "replica", "ready"
	if database.leads {
		role = "primary"
	}
	if database.draining {
		state = "draining"
	}
	next := fmt.Sprintf("%s/%s/%d", role, state, database.born)
	if next == database.registered {
		return
	}
	text, _ := json.Marshal(map[string]any{
		"service": database.group.service, "address": database.address, "zone": database.zone, "version": "1", "slots": cap(database.slots),
		"state": state, "dbRole": role, "warmupLeftMs": 0, "seq": time.Now().UnixMilli(), "born": database.born,
	})
	world.tree.Set(key, text)
	database.registered = next
	world.note("registered %s %s", database.id, next)
}

// serve starts the store, the platform's failover service and the databases.
func (world *world) serve() error {
	storeListener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", world.ip(3, 1), storePort))
	if err != nil {
		return err
	}
	cloudListener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", world.ip(3, 1), cloudPort))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(storeListener, world.store) }()
	go func() { _ = http.Serve(cloudListener, http.HandlerFunc(world.failover)) }()
	for _, group := range world.groups {
		for _, database := range group.databases {
			if err := database.start(); err != nil {
				return err
			}
		}
		go group.replicate(world.done)
	}
	go world.register()
	return nil
}

// failover serves POST /failover. A slow platform has read the call, and acts on it later.
func (world *world) failover(writer http.ResponseWriter, request *http.Request) {
	var body struct{ Service, ID string }
	if request.Method != http.MethodPost || json.NewDecoder(request.Body).Decode(&body) != nil || world.groups[body.Service] == nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	caller := request.Header.Get("X-Lease-Holder") + " token " + request.Header.Get("X-Fencing-Token")
	world.note("failover call arrives: %s by %s", body.ID, caller)
	if hook := world.onArrival.Swap(nil); hook != nil {
		go (*hook)(request.Header.Get("X-Lease-Holder"))
	}
	if delay := time.Duration(world.orderDelay.Load()); delay > 0 {
		time.Sleep(delay)
	}
	status := world.groups[body.Service].order(body.ID)
	world.note("failover call acted on: %s by %s -> %d", body.ID, caller, status)
	writer.WriteHeader(status)
	if hook := world.onOrder.Swap(nil); hook != nil {
		go (*hook)(request.Header.Get("X-Lease-Holder"))
	}
}

// addVM adds a VM and writes its settings file.
func (world *world) addVM(zone string, zones []string) error {
	number := len(world.vms) + 1
	vm := &vm{world: world, name: fmt.Sprintf("front-%s-%d", zone, number), ip: world.ip(1, number)}
	vm.settings = filepath.Join(world.dir, vm.name+".conf")
	vm.outputPath = filepath.Join(world.dir, vm.name+".log")
	lines := []string{
		"nodeName=" + vm.name, "role=door", "machineClass=front", "serves=front", "ip=" + vm.ip, "zone=" + zone, "region=attica",
	}
	for _, other := range zones {
		lines = append(lines, "zones."+other+"=attica")
	}
	lines = append(lines,
		fmt.Sprintf("listen.front=%s:%d", vm.ip, frontPort), fmt.Sprintf("listen.ready=%s:%d", vm.ip, readyPort),
		fmt.Sprintf("internalPorts=%d,%d", internalPort, internalPort+15), "seeds=", "bootstrap=true", "inTolerance=false",
		"limits.cpuShare=0.8", "limits.cores=1", "limits.memoryMb=414", "limits.maxFds=6300", "limits.linkMbps=1500.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "heartbeatMs=1200", "contracts=base,drain,config,cost,recover,sql,platform",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=4000", "bounds.ackMs=5000", "bounds.catchUpS=4", "bounds.drainMs=7000",
		"bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=3000", "bounds.downgradeSlackMs=250", "bounds.maxSkewMs=12000",
		"bounds.recoveryS=12", "bounds.requireFencing=false", "bounds.thawMs=300",
		fmt.Sprintf("platform.address=%s:%d", world.ip(3, 1), storePort), "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000",
		"platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
		fmt.Sprintf("cloud.address=%s:%d", world.ip(3, 1), cloudPort), "cloud.ratePerS=50.0", "cloud.duties=failover", "cloud.dutyPerS=50.0",
	)
	world.vms = append(world.vms, vm)
	return os.WriteFile(vm.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the VM's process by the run command of the deploy file.
func (vm *vm) start() error {
	output, err := os.OpenFile(vm.outputPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(vm.world.program)
	process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), platform.SettingsVariable + "=" + vm.settings,
	}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	vm.mu.Lock()
	vm.process, vm.exited, vm.expected = process, exited, false
	vm.mu.Unlock()
	vm.world.note("started %s", vm.name)
	go func() {
		_ = process.Wait()
		_ = output.Close()
		vm.mu.Lock()
		if !vm.expected {
			vm.unexpected++
			vm.world.note("%s ended by itself", vm.name)
		}
		vm.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (vm *vm) signal(signal syscall.Signal) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		vm.expected = true
	}
	vm.world.note("%v sent to %s", signal, vm.name)
	_ = vm.process.Process.Signal(signal)
}

func (vm *vm) kill() {
	vm.signal(syscall.SIGKILL)
	<-vm.exited
}

// leader returns the name of the VM that holds the leader's record in the store.
func (world *world) leader() string {
	items, _, err := world.tree.Range(context.Background(), "bramley/duty/promote", false)
	if err != nil || len(items) == 0 {
		return ""
	}
	var record struct{ Holder string }
	_ = json.Unmarshal(items[0].Value, &record)
	name, _, _ := strings.Cut(record.Holder, "@")
	return name
}

func (world *world) vm(name string) *vm {
	for _, vm := range world.vms {
		if vm.name == name {
			return vm
		}
	}
	return nil
}

// probe asks the VMs whether they are ready, once a second, like the platform.
func (world *world) probe() {
	client := http.Client{Timeout: 900 * time.Millisecond}
	for {
		for _, vm := range world.vms {
			go func() {
				response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", vm.ip, readyPort))
				isOK := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				vm.mu.Lock()
				defer vm.mu.Unlock()
				if isOK {
					vm.misses, vm.isReady = 0, true
				} else if vm.misses++; vm.misses >= 2 {
					vm.isReady = false
				}
			}()
		}
		select {
		case <-world.done:
			return
		case <-time.After(time.Second):
		}
	}
}

func (world *world) awaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		count := 0
		for _, vm := range world.vms {
			vm.mu.Lock()
			if vm.isReady {
				count++
			}
			vm.mu.Unlock()
		}
		if count == len(world.vms) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// frontOf returns a ready VM for a consumer, by a number that stands for the hash.
func (world *world) frontOf(number int) *vm {
	for i := range world.vms {
		vm := world.vms[(number+i)%len(world.vms)]
		vm.mu.Lock()
		isReady := vm.isReady
		vm.mu.Unlock()
		if isReady {
			return vm
		}
	}
	return world.vms[number%len(world.vms)]
}

func (world *world) stop() {
	close(world.done)
	for _, vm := range world.vms {
		if vm.process != nil {
			vm.mu.Lock()
			vm.expected = true
			vm.mu.Unlock()
			_ = vm.process.Process.Signal(syscall.SIGCONT)
			_ = vm.process.Process.Kill()
			<-vm.exited
		}
	}
}
