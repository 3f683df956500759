// Package load makes callers that work on a system and records what they saw:
// latencies, errors, and a history for package check.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/bramleydoor/bramleydoor/check"
)

// Mix is what callers do. Shares are between 0 and 1.
type Mix struct {
	// RatePerCaller is in requests per second.
	RatePerCaller float64
	// Reads is the share of reads; Aged the share of those with a stated age.
	Reads     float64
	Aged      float64
	Staleness time.Duration
	// Pairs and Keyed are shares of the writes: transactions of two rows, and
	// increments with a request key.
	Pairs float64
	Keyed float64
	// Roam is the chance to change the VM before a request, and HandToken the
	// chance to hand the session token over then.
	Roam      float64
	HandToken float64
	// Keys is the number of counters per database.
	Keys int
}

// DefaultMix is that of the co-op's kiosks.
var DefaultMix = Mix{
	RatePerCaller: 5, Reads: 0.9, Aged: 0.2, Staleness: time.Minute,
	Pairs: 0.2, Keyed: 0.3, Roam: 0.02, HandToken: 0.5, Keys: 20,
}

// Run is one run. Set the exported fields before Do.
type Run struct {
	Targets   []string
	Databases []string
	Callers   int
	Mix       Mix
	Seed      uint64
	// Name begins the names of rows and request keys, so that runs on the same
	// databases don't meet; empty is one of the time.
	Name string
	// Dial replaces the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	start time.Time

	mu        sync.Mutex
	ops       []check.Op
	latencies map[check.Kind]*hdrhistogram.Histogram
	errors    map[string]int
	series    []Second
}

// Second is what happened in one second of a run.
type Second struct {
	Done   int   `json:"done"`
	Failed int   `json:"failed"`
	MaxUs  int64 `json:"maxUs"`
	SumUs  int64 `json:"sumUs"`
}

// maxLatencyUs is the highest latency that is told apart.
const maxLatencyUs = 120_000_000

// nameBase is the number base of a name made from the time.
const nameBase = 36

// row is the name of a counter's row.
func (run *Run) row(key string) string { return run.Name + ":" + key }

func (run *Run) now() time.Duration { return time.Since(run.start) }

// Do runs the callers until ctx ends and waits for their last operations.
func (run *Run) Do(ctx context.Context) {
	run.start = time.Now()
	if run.Name == "" {
		run.Name = strconv.FormatInt(run.start.UnixNano(), nameBase)
	}
	run.latencies = make(map[check.Kind]*hdrhistogram.Histogram)
	run.errors = make(map[string]int)
	var callers sync.WaitGroup
	for i := range run.Callers {
		worker := &caller{
			run:      run,
			name:     fmt.Sprintf("caller%d", i),
			random:   rand.New(rand.NewPCG(run.Seed, uint64(i))),
			database: run.Databases[i%len(run.Databases)],
		}
		callers.Go(func() { worker.loop(ctx) })
	}
	callers.Wait()
}

func (run *Run) record(op check.Op, latency time.Duration) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.ops = append(run.ops, op)
	second := int(op.End / time.Second)
	for len(run.series) <= second {
		run.series = append(run.series, Second{})
	}
	at := &run.series[second]
	if !op.OK {
		at.Failed++
		return
	}
	at.Done++
	at.SumUs += latency.Microseconds()
	at.MaxUs = max(at.MaxUs, latency.Microseconds())
	histogram := run.latencies[op.Kind]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatencyUs, 3)
		run.latencies[op.Kind] = histogram
	}
	_ = histogram.RecordValue(min(latency.Microseconds(), maxLatencyUs))
}

func (run *Run) countError(err error) {
	name := "connection"
	var upstream *pgconn.PgError
	if errors.As(err, &upstream) {
		name = upstream.Code + " " + upstream.Message
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.errors[name]++
}

// Latency is a summary in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Us"`
	P99   int64 `json:"p99Us"`
	Max   int64 `json:"maxUs"`
}

// Summary is what a run measured.
type Summary struct {
	Latencies map[check.Kind]Latency `json:"latencies"`
	Errors    map[string]int         `json:"errors"`
	Series    []Second               `json:"series"`
	Done      int                    `json:"done"`
	Failed    int                    `json:"failed"`
}

// Percentiles of a Summary.
const (
	median   = 50
	quantile = 99
)

// Summary returns what was measured.
func (run *Run) Summary() Summary {
	run.mu.Lock()
	defer run.mu.Unlock()
	summary := Summary{Latencies: make(map[check.Kind]Latency), Errors: run.errors, Series: run.series}
	for kind, histogram := range run.latencies {
		summary.Latencies[kind] = Latency{
			Count: histogram.TotalCount(),
			P50:   histogram.ValueAtQuantile(median),
			P99:   histogram.ValueAtQuantile(quantile),
			Max:   histogram.Max(),
		}
	}
	for _, second := range run.series {
		summary.Done += second.Done
		summary.Failed += second.Failed
	}
	return summary
}

// Progress returns how many operations were done and failed so far.
func (run *Run) Progress() (done, failed int) {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, second := range run.series {
		done += second.Done
		failed += second.Failed
	}
	return done, failed
}

// History returns the operations with the values that are there now, read by
// callers who must see everything acknowledged.
func (run *Run) History(ctx context.Context) (check.History, error) {
	history := check.History{Final: make(map[string]int64), FinalPairs: make(map[string][2]string)}
	run.mu.Lock()
	history.Ops = append(history.Ops, run.ops...)
	run.mu.Unlock()
	for _, database := range run.Databases {
		if err := run.readFinal(ctx, database, &history); err != nil {
			return history, err
		}
	}
	return history, nil
}

func (run *Run) readFinal(ctx context.Context, database string, history *check.History) error {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://auditor@%s/%s?sslmode=disable", run.Targets[0], database))
	if err != nil {
		return err
	}
	if run.Dial != nil {
		config.DialFunc = run.Dial
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	counters, err := readTable(ctx, conn, counterTable)
	if err != nil {
		return err
	}
	for name, value := range counters {
		key, ok := strings.CutPrefix(name, run.row(""))
		if !ok {
			continue
		}
		number, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return err
		}
		history.Final[database+"/"+key] = number
	}
	marks, err := readTable(ctx, conn, pairTable)
	if err != nil {
		return err
	}
	for key := range run.Mix.Keys {
		name := strconv.Itoa(key)
		history.FinalPairs[database+"/"+name] = [2]string{marks[run.row(name)+"a"], marks[run.row(name)+"b"]}
	}
	return nil
}

func readTable(ctx context.Context, conn *pgx.Conn, table string) (map[string]string, error) {
	rows, err := conn.Query(ctx, "SELECT key, value FROM "+table)
	if err != nil {
		return nil, err
	}
	found := make(map[string]string)
	var key, value string
	_, err = pgx.ForEachRow(rows, []any{&key, &value}, func() error {
		found[key] = value
		return nil
	})
	return found, err
}

// Ops returns the operations so far.
func (run *Run) Ops() []check.Op {
	run.mu.Lock()
	defer run.mu.Unlock()
	return append([]check.Op(nil), run.ops...)
}
