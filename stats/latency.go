package stats

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestMS is the longest latency that a histogram tells apart, in ms.
	longestMS = 60_000
	// digits is the precision of the histograms, in significant decimal digits.
	digits = 1
)

// Latency has histograms of answers by database group, kind of request and outcome,
// of about 2 KB each. The zero value is ready for use.
type Latency struct {
	mu    sync.Mutex
	kinds map[string]*hdrhistogram.Histogram
}

// Record notes an answer.
func (latency *Latency) Record(group, kind, outcome string, took time.Duration) {
	latency.mu.Lock()
	defer latency.mu.Unlock()
	if latency.kinds == nil {
		latency.kinds = make(map[string]*hdrhistogram.Histogram)
	}
	name := group + "." + kind + "." + outcome
	histogram, ok := latency.kinds[name]
	if !ok {
		histogram = hdrhistogram.New(1, longestMS, digits)
		latency.kinds[name] = histogram
	}
	// The value is within the histogram's range, so there is no error.
	_ = histogram.RecordValue(min(max(took.Milliseconds(), 1), longestMS))
}

// Answered counts an answer; group is "none" where no database group was known.
func (stats *Stats) Answered(group, kind, outcome string, took time.Duration) {
	stats.Requests.Add(1)
	stats.Latency.Record(group, kind, outcome, took)
}

// WriteText writes all counters and quantiles as lines "name value"; latencies are
// in ms.
func (stats *Stats) WriteText(writer io.Writer) error {
	for _, counters := range []struct {
		name   string
		values *expvar.Map
	}{{"refusals", &stats.Refusals}, {"retries", &stats.Retries}, {"routes", &stats.Routes}, {"receipts", &stats.Receipts}} {
		counts := Counts(counters.values)
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			if _, err := fmt.Fprintf(writer, "%s.%s %d\n", counters.name, name, counts[name]); err != nil {
				return err
			}
		}
	}
	if _, err := fmt.Fprintf(writer, "requests %d\n", stats.Requests.Value()); err != nil {
		return err
	}
	return stats.Latency.writeText(writer)
}

func (latency *Latency) writeText(writer io.Writer) error {
	latency.mu.Lock()
	defer latency.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(latency.kinds)) {
		histogram := latency.kinds[name]
		_, err := fmt.Fprintf(writer, "latencyMs.%s count %d p50 %d p99 %d max %d\n", name,
			histogram.TotalCount(), histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99), histogram.Max())
		if err != nil {
			return err
		}
	}
	return nil
}
