// Package owner assigns duties to VMs by rendezvous hashing (Thaler and
// Ravishankar, 1998): each key ranks the VMs by a hash of both, so that the loss
// of a VM moves only what it had.
package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the VMs in the order in which they own key.
func Rank(key string, vms []string) []string {
	type scored struct {
		vm    string
		score uint64
	}
	all := make([]scored, len(vms))
	for i, vm := range vms {
		all[i] = scored{vm: vm, score: xxhash.Sum64String(vm + "\x00" + key)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	ranked := make([]string, len(all))
	for i, entry := range all {
		ranked[i] = entry.vm
	}
	return ranked
}

// Of returns the VM that owns key, or "" without VMs.
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
