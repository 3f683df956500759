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
	// maxLatencyMS is the longest latency that a histogram records, in ms; longer
	// ones are recorded as this value.
	maxLatencyMS = 60_000
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 1
)

// Latency holds latency histograms of answers by database group, kind of statement
// (read, write, execute, commit or other) and outcome (the name of the answer's
// proto.Code). Each needs about 2 KB. The zero value is ready for use.
type Latency struct {
	mu sync.Mutex
	// histograms are keyed by GROUP.KIND.OUTCOME.
	histograms map[string]*hdrhistogram.Histogram
}

// Record records the latency of an answer in whole ms, from 1 to maxLatencyMS; values
// outside of this range are recorded as its ends.
func (latency *Latency) Record(group, kind, outcome string, took time.Duration) {
	latency.mu.Lock()
	defer latency.mu.Unlock()
	if latency.histograms == nil {
		latency.histograms = make(map[string]*hdrhistogram.Histogram)
	}
	name := group + "." + kind + "." + outcome
	histogram, ok := latency.histograms[name]
	if !ok {
		histogram = hdrhistogram.New(1, maxLatencyMS, significantDigits)
		latency.histograms[name] = histogram
	}
	// The value is limited to the histogram's range, so RecordValue can't fail.
	_ = histogram.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMS))
}

// Answered counts an answer and records its latency. The group is "none" where the
// database group is unknown.
func (stats *Stats) Answered(group, kind, outcome string, took time.Duration) {
	stats.Requests.Add(1)
	stats.Latency.Record(group, kind, outcome, took)
}

// WriteText writes metrics as text, one per line: the counters of refusals, retries,
// routes, replica acknowledgements, store calls, odd messages and waits of promotions by name, the numbers of requests and of
// refused messages of other VMs, the counters of the largest teams, and the count, p50, p99 and
// maximum of each latency histogram in ms.
func (stats *Stats) WriteText(writer io.Writer) error {
	for _, counters := range []struct {
		name   string
		values *expvar.Map
	}{{"refusals", &stats.Refusals}, {"retries", &stats.Retries}, {"routes", &stats.Routes}, {"receipts", &stats.ReplicaAcks}, {"storeCalls", &stats.StoreCalls}, {"oddMessages", &stats.OddMessages}, {"promotionWaits", &stats.PromotionWaits}} {
		counts := Counts(counters.values)
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			if _, err := fmt.Fprintf(writer, "%s.%s %d\n", counters.name, name, counts[name]); err != nil {
				return err
			}
		}
	}
	if _, err := fmt.Fprintf(writer, "requests %d\npeerRefused %d\n", stats.Requests.Value(), stats.PeerRefused.Value()); err != nil {
		return err
	}
	if err := stats.Teams.writeText(writer); err != nil {
		return err
	}
	return stats.Latency.writeText(writer)
}

func (latency *Latency) writeText(writer io.Writer) error {
	latency.mu.Lock()
	defer latency.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(latency.histograms)) {
		histogram := latency.histograms[name]
		_, err := fmt.Fprintf(writer, "latencyMs.%s count %d p50 %d p99 %d max %d\n", name,
			histogram.TotalCount(), histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99), histogram.Max())
		if err != nil {
			return err
		}
	}
	return nil
}
