// Package stats defines the metrics of one VM, as expvar variables. They are not
// published globally, since a demo runs several VMs in one process.
package stats

import (
	"expvar"

	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/route"
)

// Stats holds the metrics of one VM. The zero value is ready for use.
type Stats struct {
	// Refusals counts refused requests by reason.
	Refusals expvar.Map
	// Retries counts retried requests by reason.
	Retries expvar.Map
	// Routes counts reads by the reason for the choice of their database.
	Routes expvar.Map
	// ReplicaAcks counts confirmed writes, by whether a replica was known to have
	// received them ("received") or not ("alone"). The metric is named "receipts".
	ReplicaAcks expvar.Map
	// Answers counts answers of databases that were not accepted, by reason.
	Answers expvar.Map
	// StoreCalls counts calls of the platform's store by kind, whether they succeed or not.
	StoreCalls expvar.Map
	// OddMessages counts messages that have a CR or LF within a field, or a blank or tab at
	// their end, by the side that sent them ("caller" or "database").
	OddMessages expvar.Map
	// Teams counts requests by team, where the configuration has teams.
	Teams Teams
	// Latency holds the latency histograms of answers.
	Latency Latency
	// Sessions is the number of callers connected now.
	Sessions expvar.Int
	// Requests counts answered requests.
	Requests expvar.Int
	// Commits counts acknowledged transactions with writes.
	Commits expvar.Int
	// PromotionWaits counts the waits of promotions, and of the first leases of a term, by reason.
	PromotionWaits expvar.Map
	// Promotions counts promotions that were started by this VM.
	Promotions expvar.Int
	// TokensIgnored counts session tokens that failed verification.
	TokensIgnored expvar.Int
	// Confirmations counts minimum positions that were read from a majority.
	Confirmations expvar.Int
	// StoreFailures counts failed calls to the platform's store.
	StoreFailures expvar.Int
	// PeerRefused counts the connections and datagrams of other VMs that were refused.
	PeerRefused expvar.Int
}

// RecordRefusal counts a refusal.
func (stats *Stats) RecordRefusal(reason fault.Reason) { stats.Refusals.Add(string(reason), 1) }

// RecordRetry counts a retry.
func (stats *Stats) RecordRetry(reason fault.Reason) { stats.Retries.Add(string(reason), 1) }

// RecordRoute counts a read by the reason for the choice of its database.
func (stats *Stats) RecordRoute(reason route.Reason) { stats.Routes.Add(string(reason), 1) }

// Map returns the metrics by name, without the latency histograms, for expvar and status
// pages.
func (stats *Stats) Map() *expvar.Map {
	all := new(expvar.Map)
	all.Set("refusals", &stats.Refusals)
	all.Set("retries", &stats.Retries)
	all.Set("routes", &stats.Routes)
	all.Set("receipts", &stats.ReplicaAcks)
	all.Set("answers", &stats.Answers)
	all.Set("storeCalls", &stats.StoreCalls)
	all.Set("oddMessages", &stats.OddMessages)
	all.Set("promotionWaits", &stats.PromotionWaits)
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
