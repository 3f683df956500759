// Package owner assigns keys to VMs by rendezvous hashing (Thaler and Ravishankar,
// 1998): for each key, the VMs are ranked by a hash of the key and the VM's name, so
// that the loss of a VM reassigns only the keys that it owned.
package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the VMs in the order in which they become owner of key: the first one
// owns it, the next one does if the first fails.
func Rank(key string, vms []string) []string {
	type scored struct {
		vm    string
		score uint64
	}
	scoredVMs := make([]scored, len(vms))
	for i, vm := range vms {
		scoredVMs[i] = scored{vm: vm, score: xxhash.Sum64String(vm + "\x00" + key)}
	}
	slices.SortFunc(scoredVMs, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	ranked := make([]string, len(scoredVMs))
	for i, scored := range scoredVMs {
		ranked[i] = scored.vm
	}
	return ranked
}

// RankBalanced returns the ranks of all keys, as Rank does, except that a VM is first for at
// most 1.25 times its equal part of the keys, rounded up (consistent hashing with bounded
// loads; Mirrokni, Thorup and Zadimoghaddam, 2018). A key beyond that goes to the next VM of its
// rank that has fewer keys. Keys must be unique; they choose in alphabetical order.
func RankBalanced(keys, vms []string) map[string][]string {
	const loadNumerator, loadDenominator = 5, 4
	ranks := make(map[string][]string, len(keys))
	if len(vms) == 0 {
		return ranks
	}
	divisor := loadDenominator * len(vms)
	limit := (loadNumerator*len(keys) + divisor - 1) / divisor
	counts := make(map[string]int, len(vms))
	for _, key := range slices.Sorted(slices.Values(keys)) {
		ranked := Rank(key, vms)
		index := slices.IndexFunc(ranked, func(vm string) bool { return counts[vm] < limit })
		first := ranked[index]
		counts[first]++
		ranks[key] = slices.Insert(slices.Delete(ranked, index, index+1), 0, first)
	}
	return ranks
}

// Of returns the VM that owns key, or "" if vms is empty. It is the first VM of Rank.
func Of(key string, vms []string) string {
	var best string
	var bestScore uint64
	for _, vm := range vms {
		score := xxhash.Sum64String(vm + "\x00" + key)
		if best == "" || score > bestScore || score == bestScore && vm < best {
			best, bestScore = vm, score
		}
	}
	return best
}
