// Package demo runs a cluster in one process: the VMs of a deployment, and fakes of
// the platform's store and of the database groups.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/fakedb"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/grpctl"
	"github.com/bramleydoor/bramleydoor/httpkv"
	"github.com/bramleydoor/bramleydoor/netsim"
	"github.com/bramleydoor/bramleydoor/relay"
	"github.com/bramleydoor/bramleydoor/roster"
	"github.com/bramleydoor/bramleydoor/serve"
	"github.com/bramleydoor/bramleydoor/ticket"
)

// Secret keys of the demo. A production system must use its own.
const (
	demoTokenKey = "demo-token-key-0123456789"
	demoPeerKey  = "demo-peer-key-0123456789"
)

// callerLocation is the location of callers in the simulated network.
const callerLocation = "callers"

// Cluster is the VMs of a deployment and the fakes that they use. Set the exported
// fields down to Baseline before Start; Start sets the others.
type Cluster struct {
	Deployment Deployment
	Seed       uint64
	// Listen is the address of the first VM; the other VMs use the ports that
	// follow. If it is empty, the operating system chooses all ports.
	Listen string
	// Direct connects the VMs to the store, the databases and each other without
	// simulated delays. Node.Isolate then has no effect on these connections.
	Direct bool
	// Lag returns the replication lag of a replica for its next period (see
	// fakedb.Group); nil selects a log-normal distribution with the median and 99th
	// percentile of the target deployments.
	Lag    func() time.Duration
	Logger *logrus.Logger
	// Tune, if set, may modify the settings of each VM before it starts.
	Tune func(settings *serve.Settings)
	// Baseline replaces the routing policy and the detection limits, for comparing
	// measurements.
	Baseline Baseline

	Store  *fakekv.Server
	Net    *netsim.Net
	Groups map[string]*fakedb.Group
	VMs    []*Node

	// storeClient has no delays and can't be partitioned from the store.
	storeClient *httpkv.Client
	// lastNumber is the number of the last ticket accepted.
	lastNumber uint64
}

// Node is one VM of the cluster, which can be stopped and restarted.
type Node struct {
	cluster *Cluster
	index   int
	mu      sync.Mutex
	vm      *serve.VM
	cancel  context.CancelFunc
	done    chan struct{}
	// address and peer are the listen addresses for callers and for other VMs.
	address string
	peer    string
}

// Start starts the store and the database groups, submits the first ticket, starts
// the VMs and writes their list to the store.
func (cluster *Cluster) Start(ctx context.Context) error {
	if err := cluster.StartPlatform("127.0.0.1:0"); err != nil {
		return err
	}
	if err := cluster.Submit(ctx, cluster.FirstTicket()); err != nil {
		return err
	}
	for index := range cluster.Deployment.VMs {
		node := &Node{cluster: cluster, index: index}
		cluster.VMs = append(cluster.VMs, node)
		if err := node.start(); err != nil {
			return err
		}
	}
	return cluster.publishVMs(ctx)
}

// StartPlatform starts only the fakes: the store, at the given address, and the
// database groups.
func (cluster *Cluster) StartPlatform(storeAddress string) error {
	if cluster.Logger == nil {
		cluster.Logger = logrus.New()
		cluster.Logger.SetOutput(io.Discard)
	}
	cluster.Store = &fakekv.Server{}
	if err := cluster.Store.Start(storeAddress); err != nil {
		return err
	}
	cluster.storeClient = &httpkv.Client{Base: cluster.Store.URL(), ReadRate: 1000, WriteRate: 1000}
	cluster.Net = &netsim.Net{Delay: cluster.delay}
	return cluster.startGroups()
}

// delay returns the one-way delay between two locations.
func (cluster *Cluster) delay(from, to string) time.Duration {
	switch {
	case from == callerLocation || to == callerLocation:
		return cluster.Deployment.CallerDelay
	case from == to:
		return 0
	}
	return cluster.Deployment.ZoneDelay
}

func (cluster *Cluster) startGroups() error {
	cluster.Groups = make(map[string]*fakedb.Group)
	for i, name := range cluster.Deployment.GroupNames() {
		lag := cluster.Lag
		if lag == nil {
			lag = fakedb.LogNormalLag(lagMedian, lagP99, cluster.Seed+uint64(i))
		}
		group := &fakedb.Group{
			Name:         name,
			Slots:        cluster.Deployment.Slots,
			Limit:        cluster.Deployment.ConnectionLimit,
			ConnectDelay: cluster.Deployment.ConnectDelay,
			Lag:          lag,
		}
		if err := group.Start(); err != nil {
			return err
		}
		cluster.Groups[name] = group
	}
	return nil
}

// Default replication lag, as in the target deployments.
const (
	lagMedian = 20 * time.Millisecond
	lagP99    = 500 * time.Millisecond
)

// FirstTicket returns a ticket that configures all upstreams, groups and rules of
// the deployment. It also sets the locations of the slots in the simulated network, so
// it must be called after StartPlatform.
func (cluster *Cluster) FirstTicket() ticket.Ticket {
	first := ticket.Ticket{Number: 1, ID: "demo-1", Note: "the whole system"}
	for index := range cluster.Deployment.UpstreamCount {
		name := cluster.Deployment.UpstreamPrefix + strconv.Itoa(index+1)
		first.Upstreams = append(first.Upstreams, ticket.Upstream{Name: name})
	}
	const rule = "usual"
	first.Rules = []ticket.Rule{{Name: rule, WaitMs: int(cluster.Deployment.Wait.Milliseconds())}}
	for i, name := range cluster.Deployment.GroupNames() {
		upstream, _, _ := strings.Cut(name, ".")
		group := ticket.Group{Name: name, Upstream: upstream, Rule: rule, ConnectionLimit: cluster.Deployment.ConnectionLimit}
		for slotIndex := range cluster.Deployment.Slots {
			slot := cluster.Groups[name].Slot(slotIndex)
			zone := cluster.Deployment.Zone(i + slotIndex)
			cluster.Net.Place(slot.Address(), zone)
			cluster.Net.Place(slot.Control(), zone)
			group.Slots = append(group.Slots, ticket.Slot{
				Name: slot.Name(), Address: slot.Address(), Control: slot.Control(), Zone: zone,
			})
		}
		first.Groups = append(first.Groups, group)
	}
	return first
}

// Submit assigns the next number to a ticket and submits it to the store. Its
// errors are those of relay.Submit.
func (cluster *Cluster) Submit(ctx context.Context, next ticket.Ticket) error {
	next.Number = cluster.lastNumber + 1
	if err := relay.Submit(ctx, cluster.storeClient, next); err != nil {
		return err
	}
	cluster.lastNumber = next.Number
	return nil
}

// publishVMs writes the list of VMs to the store, as the platform does.
func (cluster *Cluster) publishVMs(ctx context.Context) error {
	var vms []roster.VM
	for _, node := range cluster.VMs {
		vms = append(vms, roster.VM{ID: node.VM().Settings.ID, Peer: node.peer, Zone: node.VM().Settings.Zone})
	}
	value, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	current, err := cluster.storeClient.Get(ctx, roster.ListKey)
	if err != nil {
		return err
	}
	_, err = cluster.storeClient.Put(ctx, roster.ListKey, value, current.Version)
	return err
}

// settings returns the settings of the VM. A restarted VM keeps its addresses.
func (node *Node) settings() serve.Settings {
	cluster := node.cluster
	settings := serve.Settings{
		ID:              fmt.Sprintf("vm%d", node.index+1),
		Zone:            cluster.Deployment.Zone(node.index),
		Listen:          "127.0.0.1:0",
		Peer:            "127.0.0.1:0",
		Store:           cluster.Store.URL(),
		GroupControl:    "http",
		TokenKeys:       []string{demoTokenKey},
		PeerKey:         demoPeerKey,
		UpstreamUser:    "bramleydoor",
		MaxCallers:      10_000,
		MaxMessageBytes: 16 << 20,
		StartupTimeout:  10 * time.Second,
		PollInterval:    100 * time.Millisecond,
		DrainTimeout:    10 * time.Second,
	}
	if node.address != "" {
		settings.Listen, settings.Peer = node.address, node.peer
	} else if cluster.Listen != "" {
		settings.Listen = offsetPort(cluster.Listen, node.index)
	}
	for _, other := range cluster.VMs {
		if other != node {
			settings.Seeds = append(settings.Seeds, roster.VM{
				ID: other.VM().Settings.ID, Peer: other.peer, Zone: other.VM().Settings.Zone,
			})
		}
	}
	return settings
}

// offsetPort adds an offset to the port of an address. It returns the address
// unchanged if the port is 0 or can't be parsed.
func offsetPort(address string, offset int) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "0" {
		return address
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(number+offset))
}

func (node *Node) start() error {
	cluster := node.cluster
	settings := node.settings()
	if cluster.Tune != nil {
		cluster.Tune(&settings)
	}
	dial := cluster.Net.Dialer(settings.ID, settings.Zone)
	if cluster.Direct {
		dial = (&net.Dialer{}).DialContext
	}
	vm := &serve.VM{
		Settings:  settings,
		Logger:    cluster.Logger,
		Policy:    cluster.Baseline.Policy,
		Limits:    cluster.Baseline.Limits,
		Dial:      dial,
		IsBlocked: func(address string) bool { return cluster.Net.IsBlocked(settings.ID, address) },
		Control:   grpctl.New(dial),
		Store:     &httpkv.Client{Base: settings.Store, Dial: dial},
	}
	if err := vm.Open(); err != nil {
		return err
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	node.vm, node.address, node.peer = vm, vm.Address(), vm.PeerAddress()
	cluster.Net.Place(node.address, callerLocation)
	cluster.Net.Place(node.peer, settings.Zone)
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel, node.done = cancel, make(chan struct{})
	go func() {
		defer close(node.done)
		if err := vm.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			cluster.Logger.WithError(err).Error("VM stopped with an error")
		}
	}()
	return nil
}

// Address returns the address at which callers connect to the VM.
func (node *Node) Address() string {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.address
}

// VM returns the running VM, or after Kill or Stop the one that ran last.
func (node *Node) VM() *serve.VM {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.vm
}

// Kill stops the VM without draining it, and returns when it has stopped. Its connections
// are closed at once, as when a process dies: a request that is waiting for a database
// must not keep them open.
func (node *Node) Kill() {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.cancel()
	node.cluster.Net.Disconnect(node.vm.Settings.ID)
	<-node.done
}

// Stop drains the VM, at most until ctx ends, and then kills it, as in a planned stop.
func (node *Node) Stop(ctx context.Context) {
	node.VM().Stop(ctx)
	node.Kill()
}

// Isolate partitions the VM from the other VMs and the store, but not from databases
// and callers, or ends the partition. Connections stay open.
func (node *Node) Isolate(isIsolated bool) {
	cluster := node.cluster
	id := node.VM().Settings.ID
	cluster.Net.SetBlocked(id, cluster.Store.Address(), isIsolated)
	for _, other := range cluster.VMs {
		if other == node {
			continue
		}
		cluster.Net.SetBlocked(id, other.peer, isIsolated)
		cluster.Net.SetBlocked(other.VM().Settings.ID, node.peer, isIsolated)
	}
}

// Restart starts a stopped VM again, at the same addresses.
func (node *Node) Restart() error { return node.start() }

// Kill kills all VMs without draining them, and stops the database groups and the
// store.
func (cluster *Cluster) Kill() {
	for _, node := range cluster.VMs {
		node.Kill()
	}
	for _, group := range cluster.Groups {
		group.Stop()
	}
	cluster.Store.Stop()
}

// AwaitReady waits until each VM is ready, lists all VMs as live, and has a primary and
// a connection share for each group. It returns an error if ctx ends first.
func (cluster *Cluster) AwaitReady(ctx context.Context) error {
	for !cluster.isReady() {
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errors.New("cluster not ready before the context ended: not every VM is ready, lists all VMs as live, and has a primary and a connection share for each group")
		}
	}
	return nil
}

// readyPollInterval is how often AwaitReady checks the VMs.
const readyPollInterval = 20 * time.Millisecond

func (cluster *Cluster) isReady() bool {
	for _, node := range cluster.VMs {
		status := node.VM().Status()
		if len(status.Groups) != len(cluster.Groups) || len(status.Live) != len(cluster.VMs) {
			return false
		}
		if !status.Ready {
			return false
		}
		for _, group := range status.Groups {
			if group.Primary == "" || group.Pool.Share == 0 {
				return false
			}
		}
	}
	return true
}
