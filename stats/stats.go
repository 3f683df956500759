// Package stats has the counters of one VM, as expvar variables. They are not
// published by themselves, since a demo runs several VMs in one process.
package stats

import (
	"expvar"

	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/route"
)

// Stats are the counters. The zero value is ready for use.
type Stats struct {
	// Refusals counts refused requests, Retries repeated ones, by reason.
	Refusals expvar.Map
	Retries  expvar.Map
	// Routes counts reads by the reason they went where they went.
	Routes expvar.Map
	// Receipts counts writes that were confirmed, by whether a replica was known to
	// have them.
	Receipts expvar.Map
	// Latency has the times of answers.
	Latency Latency
	// Sessions counts callers that are connected now.
	Sessions expvar.Int
	// Requests counts requests that were answered.
	Requests expvar.Int
	// Commits counts acknowledged transactions that wrote.
	Commits expvar.Int
	// Promotions counts promotions that this VM ordered.
	Promotions expvar.Int
	// TokensIgnored counts session tokens that were not believed.
	TokensIgnored expvar.Int
	// Confirmations counts floors that were read from a majority.
	Confirmations expvar.Int
	// StoreFailures counts calls of the platform's store that failed.
	StoreFailures expvar.Int
	// PeerRefused counts peer connections without the right key.
	PeerRefused expvar.Int
}

// Refuse counts a refusal.
func (stats *Stats) Refuse(reason fault.Reason) { stats.Refusals.Add(string(reason), 1) }

// Retry counts a retry.
func (stats *Stats) Retry(reason fault.Reason) { stats.Retries.Add(string(reason), 1) }

// Route counts a routed read.
func (stats *Stats) Route(reason route.Reason) { stats.Routes.Add(string(reason), 1) }

// Map returns the counters by name, for expvar and status pages.
func (stats *Stats) Map() *expvar.Map {
	all := new(expvar.Map)
	all.Set("refusals", &stats.Refusals)
	all.Set("retries", &stats.Retries)
	all.Set("routes", &stats.Routes)
	all.Set("receipts", &stats.Receipts)
	all.Set("sessions", &stats.Sessions)
	all.Set("requests", &stats.Requests)
	all.Set("commits", &stats.Commits)
	all.Set("promotions", &stats.Promotions)
	all.Set("tokensIgnored", &stats.TokensIgnored)
	all.Set("confirmations", &stats.Confirmations)
	all.Set("storeFailures", &stats.StoreFailures)
	all.Set("peerRefused", &stats.PeerRefused)
	return all
}

// Counts returns the values of a map of counters.
func Counts(counters *expvar.Map) map[string]int64 {
	counts := make(map[string]int64)
	counters.Do(func(pair expvar.KeyValue) {
		if value, ok := pair.Value.(*expvar.Int); ok {
			counts[pair.Key] = value.Value()
		}
	})
	return counts
}
