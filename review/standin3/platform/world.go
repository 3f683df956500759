//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/platform"
)

const (
	frontPort, readyPort, databasePort = "7400", "7401", "7500"
	storePort, cloudPort               = "7600", "7601"
	graceS, drainMs                    = 6, 7000
	memoryMb                           = 414
	nodeCount                          = 5
	heartbeat                          = 1200 * time.Millisecond
)

var zones = []string{"attica-a", "attica-b", "attica-c", "attica-d"}

// world is a small deployment: five machines, the platform and the databases.
type world struct {
	dir, program string
	net          int
	store        *platform.FakeStore
	groups       []*group
	nodes        []*node
	done         chan struct{}
	servers      []*http.Server
	began        time.Time
	// slowCalls is how long the platform takes before it acts on a failover call. onCall is called
	// with the database that a call names.
	slowCalls atomic.Int64
	onCall    func(id string)
	// onStoreCall is called before the store handles a machine's call; it returns false if it has
	// answered the call. onFailover is called with each failover call.
	onStoreCall func(node int, writer http.ResponseWriter, request *http.Request) bool
	onFailover  func(service, holder string, token uint64)
	// breaks is guarded by the mutex of the group that it concerns.
	breaks []string

	mu     sync.Mutex
	lines  []string
	states map[string]string
}

// node is one machine with its process.
type node struct {
	world    *world
	number   int
	name, ip string
	zone     string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// record adds a line to record.txt.
func (world *world) record(format string, args ...any) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.lines = append(world.lines, fmt.Sprintf("%8.3f  ", time.Since(world.began).Seconds())+fmt.Sprintf(format, args...))
}

// newWorld chooses loopback addresses that are free.
func newWorld(program, dir string) (*world, error) {
	for offset := range 200 {
		number := 1 + (os.Getpid()+offset)%250
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.3.1:%s", number, storePort))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return &world{
			dir: dir, program: program, net: number, done: make(chan struct{}), began: time.Now(),
			store: &platform.FakeStore{Tree: &fakekv.Tree{}}, states: make(map[string]string),
		}, nil
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (world *world) platformIP() string { return fmt.Sprintf("127.%d.3.1", world.net) }

// storeIP is the address at which a machine finds the store. Each machine has its own, so that the
// store can tell whose call it is.
func (world *world) storeIP(node int) string { return fmt.Sprintf("127.%d.3.%d", world.net, 11+node) }

// serveStore returns the store's handler for a machine.
func (world *world) serveStore(node int) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if world.onStoreCall == nil || world.onStoreCall(node, writer, request) {
			world.store.ServeHTTP(writer, request)
		}
	})
}

// route is a route of the desired state.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Type      string `json:"type"`
	Service   string `json:"service"`
	TimeoutMs int    `json:"timeoutMs"`
	TargetMs  int    `json:"targetLatencyMs"`
	Priority  int    `json:"priority"`
	Staleness int    `json:"maxStalenessMs,omitempty"`
}

// configure writes a desired state, with the services that a route names.
func (world *world) configure(version int, routes []route) error {
	isNamed := make(map[string]bool, len(routes))
	for _, route := range routes {
		isNamed[route.Service] = true
	}
	services := make([]map[string]any, 0, len(world.groups))
	for _, group := range world.groups {
		if isNamed[group.name] {
			services = append(services, map[string]any{"name": group.name, "maxConns": maxConns, "syncReplicas": group.sync})
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services, "limits": map[string]any{"txIdleMs": 3000},
	})
	if err != nil {
		return err
	}
	world.store.Tree.Set("op/config", value)
	return nil
}

// register keeps the registrations of a database as its check-ins do.
func (world *world) register(db *database) {
	var last string
	var silent time.Time
	for seq := 1; ; seq++ {
		db.group.mu.Lock()
		role, isUp := "replica", db.listener != nil
		if db.leads {
			role = "primary"
		}
		db.group.mu.Unlock()
		world.mu.Lock()
		state := world.states[db.id]
		world.mu.Unlock()
		if state == "" {
			state = "ready"
		}
		switch {
		case isUp && last != role+state:
			value, err := json.Marshal(map[string]any{
				"service": db.group.name, "address": db.address, "zone": db.zone, "version": "v1", "slots": slotCount,
				"state": state, "warmupLeftMs": 0, "dbRole": role, "seq": seq, "born": db.born,
			})
			if err == nil {
				world.store.Tree.Set("servers/"+db.id, value)
			}
			last, silent = role+state, time.Time{}
		case !isUp && silent.IsZero():
			silent = time.Now()
		case !isUp && last != "" && time.Since(silent) > 3*heartbeat:
			world.store.Tree.Remove("servers/" + db.id)
			last = ""
		}
		select {
		case <-world.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// start starts the platform, the databases and the machines.
func (world *world) start(routes []route) error {
	if err := world.configure(7, routes); err != nil {
		return err
	}
	handlers := map[string]http.Handler{world.platformIP() + ":" + cloudPort: http.HandlerFunc(world.failover)}
	for i := range nodeCount {
		handlers[world.storeIP(i)+":"+storePort] = world.serveStore(i)
	}
	for address, handler := range handlers {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
		world.servers = append(world.servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	for _, group := range world.groups {
		go group.replicate()
		for _, db := range group.databases {
			if err := db.start(); err != nil {
				return err
			}
			go world.register(db)
		}
	}
	for i := range nodeCount {
		node := &node{world: world, number: i, name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), ip: fmt.Sprintf("127.%d.1.%d", world.net, i+1), zone: zones[i%len(zones)]}
		world.nodes = append(world.nodes, node)
		if err := node.start(); err != nil {
			return err
		}
	}
	return nil
}

// failover answers POST /failover.
func (world *world) failover(writer http.ResponseWriter, request *http.Request) {
	var order struct{ Service, ID string }
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	world.record("failover %s %s holder %s token %s", order.Service, order.ID, request.Header.Get("X-Lease-Holder"), request.Header.Get("X-Fencing-Token"))
	if world.onCall != nil {
		world.onCall(order.ID)
	}
	if token, err := strconv.ParseUint(request.Header.Get("X-Fencing-Token"), 10, 64); err == nil && world.onFailover != nil {
		world.onFailover(order.Service, request.Header.Get("X-Lease-Holder"), token)
	}
	time.Sleep(time.Duration(world.slowCalls.Load()))
	for _, group := range world.groups {
		if group.name == order.Service && group.promote(order.ID) {
			return
		}
	}
	writer.WriteHeader(http.StatusConflict)
}

// start starts the machine's process by the command of the deploy file.
func (node *node) start() error {
	world, zone := node.world, node.zone
	settings := []string{
		"nodeName=" + node.name, "role=door", "machineClass=front", "serves=front", "ip=" + node.ip, "zone=" + zone, "region=attica",
		"listen.front=" + node.ip + ":" + frontPort, "listen.ready=" + node.ip + ":" + readyPort, "internalPorts=7440,7455",
		"bootstrap=true", "limits.cpuShare=0.608", "limits.cores=1", fmt.Sprintf("limits.memoryMb=%d", memoryMb), "limits.maxFds=6300",
		"limits.linkMbps=1500.0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,recover,sql,platform", "bounds.contactMs=4000",
		fmt.Sprintf("bounds.drainMs=%d", drainMs), fmt.Sprintf("bounds.graceS=%d", graceS), "bounds.lossSlackMs=200",
		"bounds.configApplyMs=3000", "bounds.requireFencing=false", "platform.address=" + world.storeIP(node.number) + ":" + storePort,
		"platform.form=kv", "cloud.address=" + world.platformIP() + ":" + cloudPort, "cloud.duties=failover",
	}
	path := filepath.Join(world.dir, node.name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(world.dir, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command, exited := exec.Command(world.program), make(chan struct{})
	command.Env = []string{"BRAMLEYDOOR_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + world.dir}
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return err
	}
	node.mu.Lock()
	node.command, node.exited = command, exited
	node.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = logFile.Close()
		close(exited)
	}()
	return nil
}

func (node *node) front() string { return node.ip + ":" + frontPort }

// stop ends all processes and servers, and writes record.txt.
func (world *world) stop(path string) error {
	close(world.done)
	for _, node := range world.nodes {
		node.mu.Lock()
		if node.command != nil {
			_ = node.command.Process.Kill()
			<-node.exited
		}
		node.mu.Unlock()
	}
	for _, server := range world.servers {
		_ = server.Close()
	}
	for _, group := range world.groups {
		for _, db := range group.databases {
			db.crash()
		}
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(world.lines, "\n")+"\n"), 0o600)
}
