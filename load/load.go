// Package load generates load on a cluster with simulated callers. It records
// latencies, errors, and a history of operations for package check.
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

// Mix is the mix of operations that callers run. Shares and probabilities are
// between 0 and 1.
type Mix struct {
	// RatePerCaller is the mean rate of a caller, in requests per second.
	RatePerCaller float64
	// Reads is the share of reads among all operations; BoundedStaleness is the share of
	// bounded-staleness reads among the reads, and MaxStaleness their bound.
	Reads            float64
	BoundedStaleness float64
	MaxStaleness     time.Duration
	// Pairs and Keyed are shares of the writes: transactions that write two rows,
	// and increments with a request key. The other writes are plain increments.
	Pairs float64
	Keyed float64
	// Roam is the probability that a caller reconnects to a random VM before a
	// request; HandToken is the probability that a new connection passes on the
	// session token of the one before.
	Roam      float64
	HandToken float64
	// Keys is the number of counters in each database.
	Keys int
}

// DefaultMix has the shares of reads of the coop deployment in package demo.
var DefaultMix = Mix{
	RatePerCaller: 5, Reads: 0.9, BoundedStaleness: 0.2, MaxStaleness: time.Minute,
	Pairs: 0.2, Keyed: 0.3, Roam: 0.02, HandToken: 0.5, Keys: 20,
}

// Run is one load run. Set the exported fields before Do.
type Run struct {
	Targets   []string
	Databases []string
	Callers   int
	Mix       Mix
	Seed      uint64
	// Name is the prefix of row keys and request keys, which keeps runs on the same
	// databases apart. If it is empty, Do derives it from the current time.
	Name string
	// Dial replaces the dialer of the PostgreSQL driver; nil keeps it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	start time.Time

	mu        sync.Mutex
	ops       []check.Op
	latencies map[check.Kind]*hdrhistogram.Histogram
	errors    map[string]int
	series    []Second
}

// Second counts the operations that ended in one second of a run. MaxUs and SumUs
// are the maximum and the sum of the latencies of those that succeeded, in
// microseconds.
type Second struct {
	Done   int   `json:"done"`
	Failed int   `json:"failed"`
	MaxUs  int64 `json:"maxUs"`
	SumUs  int64 `json:"sumUs"`
}

// maxLatencyUs is the highest latency that the histograms record. Longer ones
// count as this value.
const maxLatencyUs = 120_000_000

// nameRadix is the radix of the default run name, which is a Unix time in
// nanoseconds.
const nameRadix = 36

// rowKey returns the key of a counter's row in the database.
func (run *Run) rowKey(key string) string { return run.Name + ":" + key }

// elapsed returns the time since the start of the run.
func (run *Run) elapsed() time.Duration { return time.Since(run.start) }

// Do runs the callers until ctx ends, and waits for the operations in progress.
func (run *Run) Do(ctx context.Context) {
	run.start = time.Now()
	if run.Name == "" {
		run.Name = strconv.FormatInt(run.start.UnixNano(), nameRadix)
	}
	run.latencies = make(map[check.Kind]*hdrhistogram.Histogram)
	run.errors = make(map[string]int)
	var callers sync.WaitGroup
	for i := range run.Callers {
		caller := &caller{
			run:      run,
			name:     fmt.Sprintf("caller%d", i),
			random:   rand.New(rand.NewPCG(run.Seed, uint64(i))),
			database: run.Databases[i%len(run.Databases)],
		}
		callers.Go(func() { caller.loop(ctx) })
	}
	callers.Wait()
}

// record adds a finished operation to the history, the time series and, if it
// succeeded, the latency histogram of its kind.
func (run *Run) record(op check.Op, latency time.Duration) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.ops = append(run.ops, op)
	second := int(op.End / time.Second)
	for len(run.series) <= second {
		run.series = append(run.series, Second{})
	}
	current := &run.series[second]
	if !op.OK {
		current.Failed++
		return
	}
	current.Done++
	current.SumUs += latency.Microseconds()
	current.MaxUs = max(current.MaxUs, latency.Microseconds())
	histogram := run.latencies[op.Kind]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatencyUs, 3)
		run.latencies[op.Kind] = histogram
	}
	_ = histogram.RecordValue(min(latency.Microseconds(), maxLatencyUs))
}

// countError counts an error under its SQLSTATE code and message, or under
// "connection" if it is no PostgreSQL error.
func (run *Run) countError(err error) {
	name := "connection"
	var pgError *pgconn.PgError
	if errors.As(err, &pgError) {
		name = pgError.Code + " " + pgError.Message
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.errors[name]++
}

// Latency summarizes the latencies of one kind of operation, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Us"`
	P99   int64 `json:"p99Us"`
	Max   int64 `json:"maxUs"`
}

// Summary is the measured result of a run. Errors counts errors by SQLSTATE code
// and message; Series has one element for each second.
type Summary struct {
	Latencies map[check.Kind]Latency `json:"latencies"`
	Errors    map[string]int         `json:"errors"`
	Series    []Second               `json:"series"`
	Done      int                    `json:"done"`
	Failed    int                    `json:"failed"`
}

// Percentiles of a Latency.
const (
	percentile50 = 50
	percentile99 = 99
)

// Summary returns the measurements so far.
func (run *Run) Summary() Summary {
	run.mu.Lock()
	defer run.mu.Unlock()
	summary := Summary{Latencies: make(map[check.Kind]Latency), Errors: run.errors, Series: run.series}
	for kind, histogram := range run.latencies {
		summary.Latencies[kind] = Latency{
			Count: histogram.TotalCount(),
			P50:   histogram.ValueAtQuantile(percentile50),
			P99:   histogram.ValueAtQuantile(percentile99),
			Max:   histogram.Max(),
		}
	}
	for _, second := range run.series {
		summary.Done += second.Done
		summary.Failed += second.Failed
	}
	return summary
}

// Progress returns how many operations have succeeded and failed so far.
func (run *Run) Progress() (done, failed int) {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, second := range run.series {
		done += second.Done
		failed += second.Failed
	}
	return done, failed
}

// History returns the recorded operations and the current values of all counters
// and pairs. It reads the values in new sessions without a staleness bound, which
// must see every acknowledged write. Its errors are those of the connection and
// the queries, and of values that are no integers.
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

// readFinal adds the current values in one database to a history, read at the
// first target.
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
		key, ok := strings.CutPrefix(name, run.rowKey(""))
		if !ok {
			continue
		}
		count, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return err
		}
		history.Final[database+"/"+key] = count
	}
	marks, err := readTable(ctx, conn, pairTable)
	if err != nil {
		return err
	}
	for key := range run.Mix.Keys {
		name := strconv.Itoa(key)
		history.FinalPairs[database+"/"+name] = [2]string{marks[run.rowKey(name)+"a"], marks[run.rowKey(name)+"b"]}
	}
	return nil
}

// readTable returns the values of all rows by key.
func readTable(ctx context.Context, conn *pgx.Conn, table string) (map[string]string, error) {
	rows, err := conn.Query(ctx, "SELECT key, value FROM "+table)
	if err != nil {
		return nil, err
	}
	values := make(map[string]string)
	var key, value string
	_, err = pgx.ForEachRow(rows, []any{&key, &value}, func() error {
		values[key] = value
		return nil
	})
	return values, err
}

// Ops returns a copy of the operations recorded so far.
func (run *Run) Ops() []check.Op {
	run.mu.Lock()
	defer run.mu.Unlock()
	return append([]check.Op(nil), run.ops...)
}
