package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"github.com/bramleydoor/bramleydoor/check"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/load"
	"github.com/bramleydoor/bramleydoor/plot"
	"github.com/bramleydoor/bramleydoor/route"
)

// Faults are the kinds of faults that a demo puts in.
var Faults = []string{"none", "primary", "partition", "vm", "store", "stall", "all"}

// Demo is one run. Set the exported fields before Run.
type Demo struct {
	Cluster  *Cluster
	Duration time.Duration
	Faults   string
	Callers  int
	Rate     float64
	// Progress, if set, gets a line a second.
	Progress io.Writer

	load   *load.Run
	random *rand.Rand
	mu     sync.Mutex
	began  time.Time
	gaps   []plot.Failover
	faults map[string]int
}

// Gap is a summary of failover gaps in milliseconds.
type Gap struct {
	Count int   `json:"count"`
	P50   int64 `json:"p50"`
	Max   int64 `json:"max"`
}

// Result is what a demo measured.
type Result struct {
	Deployment       string           `json:"deployment"`
	Seed             uint64           `json:"seed"`
	Faults           string           `json:"faults"`
	FaultCounts      map[string]int   `json:"faultCounts"`
	ReplicaReadShare float64          `json:"replicaReadShare"`
	AgedReplicaShare float64          `json:"agedReplicaReadShare"`
	FailoverGapMs    Gap              `json:"failoverGapMs"`
	Promotions       int64            `json:"promotions"`
	Breaches         int64            `json:"connectionLimitBreaches"`
	Routes           map[string]int64 `json:"routes"`
	Refusals         map[string]int64 `json:"refusals"`
	Retries          map[string]int64 `json:"retries"`
	Load             load.Summary     `json:"load"`
	check.Report
}

// IsClean reports whether every invariant held.
func (result Result) IsClean() bool { return result.Report.IsClean() && result.Breaches == 0 }

// auditTimeout bounds the reading of the final values.
const auditTimeout = 30 * time.Second

// Run puts load and faults on a cluster that is ready, and judges the history.
func (demo *Demo) Run(ctx context.Context) (Result, error) {
	demo.prepare()
	demo.began = time.Now()
	loadCtx, stop := context.WithTimeout(ctx, demo.Duration)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { demo.injectAll(loadCtx) })
	background.Go(func() { demo.report(loadCtx) })
	demo.load.Do(loadCtx)
	background.Wait()
	if ctx.Err() != nil {
		return Result{}, ctx.Err()
	}
	auditCtx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	if err := demo.Cluster.Ready(auditCtx); err != nil {
		return Result{}, err
	}
	history, err := demo.load.History(auditCtx)
	if err != nil {
		return Result{}, errors.Wrap(err, "reading the final values")
	}
	return demo.result(history), nil
}

func (demo *Demo) prepare() {
	deployment := demo.Cluster.Deployment
	mix := load.DefaultMix
	mix.Reads, mix.Aged, mix.Staleness = deployment.ReadShare, deployment.AgedShare, deployment.Staleness
	mix.RatePerCaller = demo.Rate
	demo.load = &load.Run{
		Databases: deployment.GroupNames(),
		Callers:   demo.Callers,
		Mix:       mix,
		Seed:      demo.Cluster.Seed,
		Dial:      demo.Cluster.Net.Dialer(callerPlace, callerPlace),
	}
	for _, node := range demo.Cluster.VMs {
		demo.load.Targets = append(demo.load.Targets, node.Address())
	}
	demo.random = rand.New(rand.NewPCG(demo.Cluster.Seed, 1))
	demo.faults = make(map[string]int)
}

func (demo *Demo) report(ctx context.Context) {
	if demo.Progress == nil {
		return
	}
	for second := 1; ctx.Err() == nil; second++ {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return
		}
		done, failed := demo.load.Progress()
		fmt.Fprintf(demo.Progress, "%3d s: %d answered, %d failed, %d failovers\n", second, done, failed, len(demo.Failovers()))
	}
}

// Timing of the faults.
const (
	// calmBefore is the time before the first fault, calmBetween between two.
	calmBefore  = time.Second
	calmBetween = 500 * time.Millisecond
	// vmDownFor is how long a killed VM is gone, storeDownFor the store.
	vmDownFor    = 2 * time.Second
	storeDownFor = 3 * time.Second
	// recoverTimeout is the longest wait for a failover.
	recoverTimeout = 20 * time.Second
)

// injectAll puts in one fault after the other, each healed before the next.
func (demo *Demo) injectAll(ctx context.Context) {
	injectors := map[string]func(context.Context){
		"primary":   demo.killPrimary,
		"partition": demo.cutPrimary,
		"vm":        demo.killVM,
		"store":     demo.failStore,
		"stall":     demo.stallPrimary,
	}
	kinds := []string{demo.Faults}
	switch demo.Faults {
	case "none":
		return
	case "all":
		// Stalls are no failures, and would hide how few promotions there are.
		delete(injectors, "stall")
		kinds = slices.Sorted(maps.Keys(injectors))
	}
	wait(ctx, calmBefore)
	for i := 0; ctx.Err() == nil; i++ {
		kind := kinds[i%len(kinds)]
		demo.mu.Lock()
		demo.faults[kind]++
		demo.mu.Unlock()
		injectors[kind](ctx)
		wait(ctx, calmBetween)
	}
}

func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func (demo *Demo) pickGroup() string {
	names := demo.Cluster.Deployment.GroupNames()
	return names[demo.random.IntN(len(names))]
}

func (demo *Demo) killPrimary(ctx context.Context) {
	name := demo.pickGroup()
	primary := demo.Cluster.Groups[name].Primary()
	if primary == nil {
		return
	}
	primary.Kill()
	demo.measureGap(ctx, name, time.Now())
	if err := primary.Restart(); err != nil {
		demo.Cluster.Logger.WithError(err).Error("slot did not restart")
	}
}

// cutPrimary takes the primary off from its group and from every VM but one,
// which goes on sending it writes.
func (demo *Demo) cutPrimary(ctx context.Context) {
	name := demo.pickGroup()
	primary := demo.Cluster.Groups[name].Primary()
	if primary == nil {
		return
	}
	spared := demo.random.IntN(len(demo.Cluster.VMs))
	cut := func(isCut bool) {
		primary.Cut(isCut)
		for i, node := range demo.Cluster.VMs {
			if i != spared {
				demo.Cluster.Net.Cut(node.VM().Settings.ID, primary.Address(), isCut)
				demo.Cluster.Net.Cut(node.VM().Settings.ID, primary.Control(), isCut)
			}
		}
	}
	cut(true)
	demo.measureGap(ctx, name, time.Now())
	cut(false)
}

// stallFor is how long a slow primary answers nothing.
const stallFor = 300 * time.Millisecond

// stallPrimary freezes a primary for a moment, which must not cost it its place.
func (demo *Demo) stallPrimary(ctx context.Context) {
	primary := demo.Cluster.Groups[demo.pickGroup()].Primary()
	if primary == nil {
		return
	}
	resume := primary.Stall()
	wait(ctx, stallFor)
	resume()
}

func (demo *Demo) killVM(ctx context.Context) {
	node := demo.Cluster.VMs[demo.random.IntN(len(demo.Cluster.VMs))]
	node.Kill()
	wait(ctx, vmDownFor)
	if err := node.Restart(); err != nil {
		demo.Cluster.Logger.WithError(err).Error("VM did not restart")
	}
}

// failStore takes the store down, and a primary while it is down.
func (demo *Demo) failStore(ctx context.Context) {
	demo.Cluster.Store.SetFaults(fakekv.Faults{Down: true})
	wait(ctx, storeDownFor/2)
	if ctx.Err() == nil {
		demo.killPrimary(ctx)
	}
	demo.Cluster.Store.SetFaults(fakekv.Faults{})
}

// measureGap waits for the first acknowledged write of callers that wait at
// each VM.
func (demo *Demo) measureGap(ctx context.Context, name string, since time.Time) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recoverTimeout)
	defer cancel()
	acked := make(chan struct{}, len(demo.load.Targets))
	var probes sync.WaitGroup
	for _, target := range demo.load.Targets {
		probes.Go(func() {
			if demo.probe(ctx, target, name) {
				acked <- struct{}{}
			}
		})
	}
	select {
	case <-acked:
		demo.mu.Lock()
		demo.gaps = append(demo.gaps, plot.Failover{At: since.Sub(demo.began), Gap: time.Since(since)})
		demo.mu.Unlock()
	case <-ctx.Done():
	}
	cancel()
	probes.Wait()
}

const probePause = 5 * time.Millisecond

// probe writes until a write is acknowledged.
func (demo *Demo) probe(ctx context.Context, target, name string) bool {
	for ctx.Err() == nil {
		if demo.probeOnce(ctx, target, name) == nil {
			return true
		}
		wait(ctx, probePause)
	}
	return false
}

func (demo *Demo) probeOnce(ctx context.Context, target, name string) error {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://probe@%s/%s?sslmode=disable", target, name))
	if err != nil {
		return err
	}
	config.DialFunc = demo.load.Dial
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	defer conn.Close(context.WithoutCancel(ctx))
	_, err = conn.Exec(ctx, "INSERT INTO probe (key, value) VALUES ('p', $1) ON CONFLICT (key) DO UPDATE SET value = excluded.value", target)
	return err
}

func (demo *Demo) result(history check.History) Result {
	result := Result{
		Deployment:  demo.Cluster.Deployment.Name,
		Seed:        demo.Cluster.Seed,
		Faults:      demo.Faults,
		FaultCounts: demo.faults,
		Routes:      make(map[string]int64),
		Refusals:    make(map[string]int64),
		Retries:     make(map[string]int64),
		Load:        demo.load.Summary(),
		Report:      check.Check(history),
	}
	for _, node := range demo.Cluster.VMs {
		status := node.VM().Status()
		result.Promotions += status.Promotions
		addCounts(result.Routes, status.Routes)
		addCounts(result.Refusals, status.Refusals)
		addCounts(result.Retries, status.Retries)
	}
	for _, group := range demo.Cluster.Groups {
		result.Breaches += group.Breaches.Load()
	}
	result.ReplicaReadShare, result.AgedReplicaShare = shares(result.Routes)
	result.FailoverGapMs = summarize(demo.gaps)
	return result
}

func addCounts(total, part map[string]int64) {
	for name, count := range part {
		total[name] += count
	}
}

// shares returns the share of all reads that replicas served, and that of the
// reads with a stated age. Reads that a replica refused as writes are no reads.
func shares(routes map[string]int64) (all, aged float64) {
	byReplica := routes[string(route.Replica)] + routes[string(route.ReplicaAged)] + routes[string(route.ReplicaBaseline)]
	var total int64
	for reason, count := range routes {
		if reason != string(route.PrimaryRefused) {
			total += count
		}
	}
	byReplica -= routes[string(route.PrimaryRefused)]
	total -= routes[string(route.PrimaryRefused)]
	if total == 0 {
		return 0, 0
	}
	agedTotal := routes[string(route.ReplicaAged)] + routes[string(route.PrimaryAged)]
	if agedTotal > 0 {
		aged = float64(routes[string(route.ReplicaAged)]) / float64(agedTotal)
	}
	return float64(byReplica) / float64(total), aged
}

// maxGapMs is the longest gap that is told apart.
const maxGapMs = 120_000

func summarize(gaps []plot.Failover) Gap {
	histogram := hdrhistogram.New(1, maxGapMs, 3)
	for _, gap := range gaps {
		_ = histogram.RecordValue(gap.Gap.Milliseconds())
	}
	return Gap{Count: len(gaps), P50: histogram.ValueAtQuantile(50), Max: histogram.Max()}
}

// Ops returns the history's operations so far.
func (demo *Demo) Ops() []check.Op { return demo.load.Ops() }

// Failovers returns the failovers of the run, for a plot.
func (demo *Demo) Failovers() []plot.Failover {
	demo.mu.Lock()
	defer demo.mu.Unlock()
	return append([]plot.Failover(nil), demo.gaps...)
}
