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

// Faults are the kinds of faults that a demo can inject. With "all" it injects each
// kind but "stall" in turn.
var Faults = []string{"none", "primary", "partition", "vm", "store", "stall", "all"}

// Demo is one run of load and faults on a cluster. Set the exported fields before
// Run.
type Demo struct {
	Cluster  *Cluster
	Duration time.Duration
	// Faults is the kind of faults to inject, one of the package's Faults.
	Faults  string
	Callers int
	// Rate is the mean request rate of each caller, per second.
	Rate float64
	// Progress, if set, receives one line of text per second.
	Progress io.Writer

	load      *load.Run
	random    *rand.Rand
	mu        sync.Mutex
	startTime time.Time
	gaps      []plot.Failover
	// faults counts the injected faults by kind.
	faults map[string]int
}

// Gap summarizes the failover gaps of a run, in milliseconds. A gap is the time from
// a fault to the first write acknowledged after it.
type Gap struct {
	Count int   `json:"count"`
	P50   int64 `json:"p50"`
	Max   int64 `json:"max"`
}

// Result is the measured result of a demo.
type Result struct {
	Deployment                   string           `json:"deployment"`
	Seed                         uint64           `json:"seed"`
	Faults                       string           `json:"faults"`
	FaultCounts                  map[string]int   `json:"faultCounts"`
	ReplicaReadShare             float64          `json:"replicaReadShare"`
	BoundedStalenessReplicaShare float64          `json:"agedReplicaReadShare"`
	FailoverGapMs                Gap              `json:"failoverGapMs"`
	Promotions                   int64            `json:"promotions"`
	ConnectionLimitViolations    int64            `json:"connectionLimitBreaches"`
	Routes                       map[string]int64 `json:"routes"`
	Refusals                     map[string]int64 `json:"refusals"`
	Retries                      map[string]int64 `json:"retries"`
	Load                         load.Summary     `json:"load"`
	check.Report
}

// IsClean reports whether no guarantee was violated, including the connection limits.
func (result Result) IsClean() bool {
	return result.Report.IsClean() && result.ConnectionLimitViolations == 0
}

// finalReadTimeout limits the time for the cluster to become ready again and for
// the final values to be read.
const finalReadTimeout = 30 * time.Second

// Run runs load on a cluster that is ready, injects faults, and checks the history.
// It returns an error if ctx ends, or if after the load the cluster does not become
// ready or the final values can't be read.
func (demo *Demo) Run(ctx context.Context) (Result, error) {
	demo.prepare()
	demo.startTime = time.Now()
	loadCtx, stop := context.WithTimeout(ctx, demo.Duration)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { demo.injectFaults(loadCtx) })
	background.Go(func() { demo.reportProgress(loadCtx) })
	demo.load.Do(loadCtx)
	background.Wait()
	if ctx.Err() != nil {
		return Result{}, ctx.Err()
	}
	finalReadCtx, cancel := context.WithTimeout(ctx, finalReadTimeout)
	defer cancel()
	if err := demo.Cluster.AwaitReady(finalReadCtx); err != nil {
		return Result{}, err
	}
	history, err := demo.load.History(finalReadCtx)
	if err != nil {
		return Result{}, errors.Wrap(err, "reading the final values")
	}
	return demo.result(history), nil
}

// prepare sets up the load for the deployment and the cluster's addresses.
func (demo *Demo) prepare() {
	deployment := demo.Cluster.Deployment
	mix := load.DefaultMix
	mix.Reads, mix.BoundedStaleness, mix.MaxStaleness = deployment.ReadShare, deployment.BoundedStalenessShare, deployment.MaxStaleness
	mix.RatePerCaller = demo.Rate
	demo.load = &load.Run{
		Databases: deployment.GroupNames(),
		Callers:   demo.Callers,
		Mix:       mix,
		Seed:      demo.Cluster.Seed,
		Dial:      demo.Cluster.Net.Dialer(callerLocation, callerLocation),
	}
	for _, node := range demo.Cluster.VMs {
		demo.load.Targets = append(demo.load.Targets, node.Address())
	}
	demo.random = rand.New(rand.NewPCG(demo.Cluster.Seed, 1))
	demo.faults = make(map[string]int)
}

// reportProgress writes a line with the progress every second until ctx ends.
func (demo *Demo) reportProgress(ctx context.Context) {
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
		fmt.Fprintf(demo.Progress, "%3d s: %d succeeded, %d failed, %d failovers\n", second, done, failed, len(demo.Failovers()))
	}
}

// Timing of the faults.
const (
	// firstFaultDelay is the time before the first fault, faultInterval the time
	// between the end of a fault and the next one.
	firstFaultDelay = time.Second
	faultInterval   = 500 * time.Millisecond
	// vmDowntime is how long a killed VM stays down. A store stays down for half of
	// storeDowntime, and then until the failover of a killed primary has ended.
	vmDowntime    = 2 * time.Second
	storeDowntime = 3 * time.Second
	// failoverTimeout is the longest failover that is measured.
	failoverTimeout = 20 * time.Second
)

// injectFaults injects one fault after the other until ctx ends. Each is repaired
// before the next.
func (demo *Demo) injectFaults(ctx context.Context) {
	injectors := map[string]func(context.Context){
		"primary":   demo.killPrimary,
		"partition": demo.partitionPrimary,
		"vm":        demo.killVM,
		"store":     demo.failStore,
		"stall":     demo.stallPrimary,
	}
	kinds := []string{demo.Faults}
	switch demo.Faults {
	case "none":
		return
	case "all":
		// A stall is not a failure and must not cause a promotion. Stalls among the
		// faults would obscure how few promotions there are.
		delete(injectors, "stall")
		kinds = slices.Sorted(maps.Keys(injectors))
	}
	sleep(ctx, firstFaultDelay)
	for i := 0; ctx.Err() == nil; i++ {
		kind := kinds[i%len(kinds)]
		demo.mu.Lock()
		demo.faults[kind]++
		demo.mu.Unlock()
		injectors[kind](ctx)
		sleep(ctx, faultInterval)
	}
}

// sleep returns after the duration, or when ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func (demo *Demo) randomGroup() string {
	names := demo.Cluster.Deployment.GroupNames()
	return names[demo.random.IntN(len(names))]
}

// killPrimary kills the primary of a random group, measures the failover gap and
// restarts the slot.
func (demo *Demo) killPrimary(ctx context.Context) {
	name := demo.randomGroup()
	primary := demo.Cluster.Groups[name].Primary()
	if primary == nil {
		return
	}
	primary.Kill()
	demo.measureGap(ctx, name, time.Now())
	if err := primary.Restart(); err != nil {
		demo.Cluster.Logger.WithError(err).Error("failed to restart a killed slot")
	}
}

// partitionPrimary partitions a primary from the other slots of its group and from all
// VMs but one, which keeps sending it writes.
func (demo *Demo) partitionPrimary(ctx context.Context) {
	name := demo.randomGroup()
	primary := demo.Cluster.Groups[name].Primary()
	if primary == nil {
		return
	}
	connectedIndex := demo.random.IntN(len(demo.Cluster.VMs))
	setPartitioned := func(isPartitioned bool) {
		primary.SetPartitioned(isPartitioned)
		for i, node := range demo.Cluster.VMs {
			if i != connectedIndex {
				demo.Cluster.Net.SetBlocked(node.VM().Settings.ID, primary.Address(), isPartitioned)
				demo.Cluster.Net.SetBlocked(node.VM().Settings.ID, primary.Control(), isPartitioned)
			}
		}
	}
	setPartitioned(true)
	demo.measureGap(ctx, name, time.Now())
	setPartitioned(false)
}

// stallDuration is how long a stalled primary does not respond.
const stallDuration = 300 * time.Millisecond

// stallPrimary stalls a primary for so short a time that it must not be replaced.
func (demo *Demo) stallPrimary(ctx context.Context) {
	primary := demo.Cluster.Groups[demo.randomGroup()].Primary()
	if primary == nil {
		return
	}
	resume := primary.Stall()
	sleep(ctx, stallDuration)
	resume()
}

// killVM kills a random VM and restarts it after vmDowntime.
func (demo *Demo) killVM(ctx context.Context) {
	node := demo.Cluster.VMs[demo.random.IntN(len(demo.Cluster.VMs))]
	node.Kill()
	sleep(ctx, vmDowntime)
	if err := node.Restart(); err != nil {
		demo.Cluster.Logger.WithError(err).Error("failed to restart a killed VM")
	}
}

// failStore makes the store unavailable and, unless ctx ends first, kills a primary
// meanwhile.
func (demo *Demo) failStore(ctx context.Context) {
	demo.Cluster.Store.SetFaults(fakekv.Faults{Down: true})
	sleep(ctx, storeDowntime/2)
	if ctx.Err() == nil {
		demo.killPrimary(ctx)
	}
	demo.Cluster.Store.SetFaults(fakekv.Faults{})
}

// measureGap sends writes to a group through every VM until the first of them is
// acknowledged, and records the time since the fault. It records nothing if that
// takes longer than failoverTimeout.
func (demo *Demo) measureGap(ctx context.Context, name string, since time.Time) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), failoverTimeout)
	defer cancel()
	acknowledged := make(chan struct{}, len(demo.load.Targets))
	var writers sync.WaitGroup
	for _, target := range demo.load.Targets {
		writers.Go(func() {
			if demo.writeUntilAcknowledged(ctx, target, name) {
				acknowledged <- struct{}{}
			}
		})
	}
	select {
	case <-acknowledged:
		demo.mu.Lock()
		demo.gaps = append(demo.gaps, plot.Failover{At: since.Sub(demo.startTime), Gap: time.Since(since)})
		demo.mu.Unlock()
	case <-ctx.Done():
	}
	cancel()
	writers.Wait()
}

// writePause is the pause after a write that failed.
const writePause = 5 * time.Millisecond

// writeUntilAcknowledged retries a write until it is acknowledged. It reports false
// if ctx ends first.
func (demo *Demo) writeUntilAcknowledged(ctx context.Context, target, name string) bool {
	for ctx.Err() == nil {
		if demo.writeOnce(ctx, target, name) == nil {
			return true
		}
		sleep(ctx, writePause)
	}
	return false
}

// writeOnce sends one idempotent write on a new connection.
func (demo *Demo) writeOnce(ctx context.Context, target, name string) error {
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

// result checks the history and sums the counters of all VMs and groups. The
// counters of a VM that was killed are those since its restart.
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
		result.ConnectionLimitViolations += group.LimitRefusals.Load()
	}
	result.ReplicaReadShare, result.BoundedStalenessReplicaShare = replicaReadShares(result.Routes)
	result.FailoverGapMs = summarizeGaps(demo.gaps)
	return result
}

// addCounts adds the counts in part to total.
func addCounts(total, part map[string]int64) {
	for name, count := range part {
		total[name] += count
	}
}

// replicaReadShares returns the share of all reads that replicas served, and
// that of the bounded-staleness reads. A statement that a replica refused as a write
// is not a read, so it is subtracted.
func replicaReadShares(routes map[string]int64) (all, boundedStaleness float64) {
	byReplica := routes[string(route.Replica)] + routes[string(route.ReplicaWithinStaleness)] + routes[string(route.ReplicaBaseline)]
	var total int64
	for reason, count := range routes {
		if reason != string(route.ToPrimaryReplicaRefusedWrite) {
			total += count
		}
	}
	byReplica -= routes[string(route.ToPrimaryReplicaRefusedWrite)]
	total -= routes[string(route.ToPrimaryReplicaRefusedWrite)]
	if total == 0 {
		return 0, 0
	}
	boundedStalenessTotal := routes[string(route.ReplicaWithinStaleness)] + routes[string(route.ToPrimaryNoneWithinStaleness)]
	if boundedStalenessTotal > 0 {
		boundedStaleness = float64(routes[string(route.ReplicaWithinStaleness)]) / float64(boundedStalenessTotal)
	}
	return float64(byReplica) / float64(total), boundedStaleness
}

// maxGapMs is the longest gap that the histogram records.
const maxGapMs = 120_000

func summarizeGaps(gaps []plot.Failover) Gap {
	histogram := hdrhistogram.New(1, maxGapMs, 3)
	for _, gap := range gaps {
		_ = histogram.RecordValue(gap.Gap.Milliseconds())
	}
	return Gap{Count: len(gaps), P50: histogram.ValueAtQuantile(50), Max: histogram.Max()}
}

// Ops returns the operations recorded so far.
func (demo *Demo) Ops() []check.Op { return demo.load.Ops() }

// Failovers returns the failovers measured so far, for a plot.
func (demo *Demo) Failovers() []plot.Failover {
	demo.mu.Lock()
	defer demo.mu.Unlock()
	return append([]plot.Failover(nil), demo.gaps...)
}
