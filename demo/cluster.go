// Package demo runs a small system in one process: five VMs, and stand-ins for
// the platform's store and database groups.
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
	"github.com/bramleydoor/bramleydoor/gctl"
	"github.com/bramleydoor/bramleydoor/httpkv"
	"github.com/bramleydoor/bramleydoor/links"
	"github.com/bramleydoor/bramleydoor/relay"
	"github.com/bramleydoor/bramleydoor/roster"
	"github.com/bramleydoor/bramleydoor/serve"
	"github.com/bramleydoor/bramleydoor/ticket"
)

// Keys of the demo; a real system has its own.
const (
	demoTokenKey = "demo-token-key-0123456789"
	demoPeerKey  = "demo-peer-key-0123456789"
)

// callerPlace is where callers are.
const callerPlace = "callers"

// Cluster is the running system. Set the exported fields before Start.
type Cluster struct {
	Deployment Deployment
	Seed       uint64
	// Listen is the first VM's address; the others have the ports after it. An
	// empty one takes any ports.
	Listen string
	// Direct leaves out the delays and the means to cut connections.
	Direct bool
	// Lag returns the replication lag; nil is the one of the target.
	Lag    func() time.Duration
	Logger *logrus.Logger
	// Tune, if set, changes the settings of each VM.
	Tune func(settings *serve.Settings)
	// Baseline replaces the product's policy by one that it is measured against.
	Baseline Baseline

	Store  *fakekv.Server
	Net    *links.Net
	Groups map[string]*fakedb.Group
	VMs    []*Node

	submitter *httpkv.Client
	next      uint64
}

// Node is one VM of the cluster.
type Node struct {
	cluster *Cluster
	index   int
	mu      sync.Mutex
	vm      *serve.VM
	cancel  context.CancelFunc
	done    chan struct{}
	address string
	peer    string
}

// Start starts the stand-ins, submits the first ticket and starts the VMs.
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
	return cluster.list(ctx)
}

// StartPlatform starts only the stand-ins: the store at an address, and the
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
	cluster.submitter = &httpkv.Client{Base: cluster.Store.URL(), ReadRate: 1000, WriteRate: 1000}
	cluster.Net = &links.Net{Delay: cluster.delay}
	return cluster.startGroups()
}

func (cluster *Cluster) delay(from, to string) time.Duration {
	switch {
	case from == callerPlace || to == callerPlace:
		return cluster.Deployment.CallerDelay
	case from == to:
		return 0
	}
	return cluster.Deployment.VMDelay
}

func (cluster *Cluster) startGroups() error {
	cluster.Groups = make(map[string]*fakedb.Group)
	for i, name := range cluster.Deployment.GroupNames() {
		lag := cluster.Lag
		if lag == nil {
			lag = fakedb.LogNormalLag(lagMedian, lag99, cluster.Seed+uint64(i))
		}
		group := &fakedb.Group{
			Name:        name,
			Slots:       cluster.Deployment.Slots,
			Limit:       cluster.Deployment.Limit,
			ConnectCost: cluster.Deployment.ConnectCost,
			Lag:         lag,
		}
		if err := group.Start(); err != nil {
			return err
		}
		cluster.Groups[name] = group
	}
	return nil
}

// Replication lag of the target.
const (
	lagMedian = 20 * time.Millisecond
	lag99     = 500 * time.Millisecond
)

// FirstTicket describes the whole system.
func (cluster *Cluster) FirstTicket() ticket.Ticket {
	first := ticket.Ticket{Number: 1, ID: "demo-1", Note: "the whole system"}
	for service := range cluster.Deployment.Services {
		name := cluster.Deployment.Service + strconv.Itoa(service+1)
		first.Upstreams = append(first.Upstreams, ticket.Upstream{Name: name})
	}
	const rule = "usual"
	first.Rules = []ticket.Rule{{Name: rule, WaitMs: int(cluster.Deployment.Wait.Milliseconds())}}
	for i, name := range cluster.Deployment.GroupNames() {
		upstream, _, _ := strings.Cut(name, ".")
		described := ticket.Group{Name: name, Upstream: upstream, Rule: rule, ConnectionLimit: cluster.Deployment.Limit}
		for s := range cluster.Deployment.Slots {
			slot := cluster.Groups[name].Slot(s)
			zone := cluster.Deployment.Zone(i + s)
			cluster.Net.Place(slot.Address(), zone)
			cluster.Net.Place(slot.Control(), zone)
			described.Slots = append(described.Slots, ticket.Slot{
				Name: slot.Name(), Address: slot.Address(), Control: slot.Control(), Zone: zone,
			})
		}
		first.Groups = append(first.Groups, described)
	}
	return first
}

// Submit gives a ticket the next number and has it accepted.
func (cluster *Cluster) Submit(ctx context.Context, next ticket.Ticket) error {
	next.Number = cluster.next + 1
	if err := relay.Submit(ctx, cluster.submitter, next); err != nil {
		return err
	}
	cluster.next = next.Number
	return nil
}

// list writes the platform's list of VMs.
func (cluster *Cluster) list(ctx context.Context) error {
	var vms []roster.VM
	for _, node := range cluster.VMs {
		vms = append(vms, roster.VM{ID: node.VM().Settings.ID, Peer: node.peer, Zone: node.VM().Settings.Zone})
	}
	value, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	known, err := cluster.submitter.Get(ctx, roster.Key)
	if err != nil {
		return err
	}
	_, err = cluster.submitter.Put(ctx, roster.Key, value, known.Version)
	return err
}

func (node *Node) settings() serve.Settings {
	cluster := node.cluster
	settings := serve.Settings{
		ID:             fmt.Sprintf("vm%d", node.index+1),
		Zone:           cluster.Deployment.Zone(node.index),
		Listen:         "127.0.0.1:0",
		Peer:           "127.0.0.1:0",
		Store:          cluster.Store.URL(),
		GroupControl:   "http",
		TokenKeys:      []string{demoTokenKey},
		PeerKey:        demoPeerKey,
		UpstreamUser:   "bramleydoor",
		MaxCallers:     10_000,
		MaxMessage:     16 << 20,
		StartupTimeout: 10 * time.Second,
		PollInterval:   100 * time.Millisecond,
		DrainTimeout:   10 * time.Second,
	}
	if node.address != "" {
		settings.Listen, settings.Peer = node.address, node.peer
	} else if cluster.Listen != "" {
		settings.Listen = addPort(cluster.Listen, node.index)
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

func addPort(address string, offset int) string {
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
		Settings: settings,
		Logger:   cluster.Logger,
		Policy:   cluster.Baseline.Policy,
		Limits:   cluster.Baseline.Limits,
		Dial:     dial,
		Blocked:  func(address string) bool { return cluster.Net.IsCut(settings.ID, address) },
		Control:  gctl.New(dial),
		Store:    &httpkv.Client{Base: settings.Store, Dial: dial},
	}
	if err := vm.Open(); err != nil {
		return err
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	node.vm, node.address, node.peer = vm, vm.Address(), vm.PeerAddress()
	cluster.Net.Place(node.address, callerPlace)
	cluster.Net.Place(node.peer, settings.Zone)
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel, node.done = cancel, make(chan struct{})
	go func() {
		defer close(node.done)
		if err := vm.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			cluster.Logger.WithError(err).Error("VM ended")
		}
	}()
	return nil
}

// Address is where callers reach the VM.
func (node *Node) Address() string {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.address
}

// VM is the running VM, or the last one that ran.
func (node *Node) VM() *serve.VM {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.vm
}

// Kill ends the VM at once.
func (node *Node) Kill() {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.cancel()
	<-node.done
}

// Stop is a planned stop.
func (node *Node) Stop(ctx context.Context) {
	node.VM().Stop(ctx)
	node.Kill()
}

// Isolate takes the VM off from its peers and the store, but not from databases
// and callers, or joins it again.
func (node *Node) Isolate(isolated bool) {
	cluster := node.cluster
	self := node.VM().Settings.ID
	cluster.Net.Cut(self, cluster.Store.Address(), isolated)
	for _, other := range cluster.VMs {
		if other == node {
			continue
		}
		cluster.Net.Cut(self, other.peer, isolated)
		cluster.Net.Cut(other.VM().Settings.ID, node.peer, isolated)
	}
}

// Restart starts a VM that was stopped, at its old addresses.
func (node *Node) Restart() error { return node.start() }

// Stop ends everything.
func (cluster *Cluster) Stop() {
	for _, node := range cluster.VMs {
		node.Kill()
	}
	for _, group := range cluster.Groups {
		group.Stop()
	}
	cluster.Store.Stop()
}

// Ready waits until each VM has a primary and a share for each group.
func (cluster *Cluster) Ready(ctx context.Context) error {
	for !cluster.isReady() {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return errors.New("the system did not become ready")
		}
	}
	return nil
}

const readyPoll = 20 * time.Millisecond

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
