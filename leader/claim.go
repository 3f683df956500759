package leader

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleydoor/bramleydoor/store"
)

// Groups are partitioned into sets, and each set has a lease, a record and a leader of its
// own. The number of sets follows from the configuration, which VMs apply at different
// times. So a record states by which number of sets its leader assigns groups to sets; by
// that, the leader claims some of the groups. A leader acts on a group only under these
// conditions:
//
//   - It claims the group both by its record and by its configuration.
//   - After the record was written, it read the records of all other sets from the store,
//     not from a stale copy, and no live one claimed the group. Of two leaders that claim a
//     group, the one whose record was written later sees the other's claim.
//   - Its fencing token is higher than those with which leaders of other sets may have acted on
//     the group, which is when their records had another number of sets (record.Before). The
//     present tokens of the other records need not be exceeded: the leaders of a fleet that
//     starts would raise their tokens above each other's again and again.
//
// A leader gives a group up by renewing its record by another number of sets, once no order
// for the group is in flight. A record that was released, or that is unchanged for longer than TTL, claims
// nothing.

const (
	// GroupsPerSet is the number of groups up to which they are one set; there is another
	// set for each further GroupsPerSet.
	GroupsPerSet = 24
	// claimReadTimeout bounds the read of the other sets' records.
	claimReadTimeout = 400 * time.Millisecond
	// blockedDelay is the delay before the next read while another leader claims groups.
	blockedDelay = 150 * time.Millisecond
)

// SetCount returns the number of sets for a number of groups.
func SetCount(groups int) int { return max(1, (groups+GroupsPerSet-1)/GroupsPerSet) }

// SetOf returns the set of a group, from 0, by rendezvous hashing over a number of sets: one
// set more takes groups over from the others, and moves none between these.
func SetOf(group string, sets int) int {
	var best int
	var bestScore uint64
	for set := range sets {
		if sets == 1 {
			break
		}
		if score := xxhash.Sum64String(strconv.Itoa(set) + "\x00" + group); score > bestScore {
			best, bestScore = set, score
		}
	}
	return best
}

// keyOf returns the key of a set's record.
func keyOf(set int) string {
	if set == 0 {
		return Key
	}
	return Key + "-" + strconv.Itoa(set+1)
}

// setOfKey returns the set whose record has a key; false if it is not a record's.
func setOfKey(key string) (int, bool) {
	if key == Key {
		return 0, true
	}
	number, err := strconv.Atoi(strings.TrimPrefix(key, Key+"-"))
	return number - 1, err == nil && number > 1
}

// grant is what a leader knows from its last read of the other sets' records.
type grant struct {
	// sets are the numbers of sets by which the leader's record may have claimed groups since,
	// the one at the time of the read first.
	sets []int
	// blockers has, by set, the number of sets by which another leader claims groups.
	blockers map[int]int
	// at is when the records were read; zero if there were none.
	at time.Time
}

// allows reports whether the leader of a set has claimed a group since the read, and no
// other leader did then.
func (grant *grant) allows(set int, group string) bool {
	for _, sets := range grant.sets {
		if SetOf(group, sets) != set {
			return false
		}
	}
	for other, sets := range grant.blockers {
		if sets == claimsAll || SetOf(group, sets) == other {
			return false
		}
	}
	return true
}

// claimsAll is the number of sets of a record that can't be decoded.
const claimsAll = 0

// actsOn reports whether the VM, as the leader, may act on a group. elector.mu must be held.
func (elector *Elector) actsOn(group string) bool {
	return elector.isOurs(group) && elector.grant != nil && elector.grant.allows(elector.Set, group)
}

// configured returns the number of sets by the configuration. elector.mu must be held.
func (elector *Elector) configured() int { return max(elector.sets, 1) }

// SetSets sets the number of sets by the configuration.
func (elector *Elector) SetSets(sets int) {
	elector.init()
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if sets == elector.sets {
		return
	}
	elector.sets = sets
	elector.changed.notify()
	elector.wakeLocked()
}

// HoldsGroup is Holds for an action on a group: false also if the group may belong to the
// leader of another set.
func (elector *Elector) HoldsGroup(group string, need time.Duration) (uint64, bool) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if !elector.Clock.Now().Add(need).Before(elector.validUntil) || !elector.actsOn(group) {
		return 0, false
	}
	return elector.token, true
}

// GrantedAt returns an upper bound for the time at which the leader of another set may last
// have acted on a group of this one; zero if there were no other sets.
func (elector *Elector) GrantedAt() time.Time {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if elector.grant == nil {
		return time.Time{}
	}
	return elector.grant.at
}

// claimed returns the number of sets in the last confirmed record. elector.mu must be held, but
// not by Run, which alone changes the record.
func (elector *Elector) claimed() int { return max(elector.confirmed.Sets, 1) }

// beginClaim returns the number of sets by which the next renewal claims groups, its record
// without the claim, and the record that it follows. While an order is in flight or unsettled for
// a group that the leader gives up, the record goes on claiming it.
func (elector *Elector) beginClaim() (sets int, next, former record) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	sets = elector.configured()
	if elector.hasOrderBeyond(sets) {
		sets = elector.claimed()
	}
	if elector.grant != nil && sets != elector.claimed() {
		// The write may be made even if its answer is lost.
		elector.grant.sets = append(slices.Clone(elector.grant.sets), sets)
	}
	return sets, elector.nextRecord(max(elector.token, elector.minToken)), elector.confirmed
}

// isSettled reports whether nothing is left to be read of the other sets' records.
func (elector *Elector) isSettled() bool {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	return elector.grant != nil && elector.claimed() == elector.configured() &&
		len(elector.grant.sets) == 1 && len(elector.grant.blockers) == 0
}

// confirmClaims reads the other sets' records unless that is settled, and returns the delay
// until the next step.
func (elector *Elector) confirmClaims(ctx context.Context) time.Duration {
	if elector.isSettled() {
		return renewInterval
	}
	ctx, cancel := context.WithTimeout(ctx, claimReadTimeout)
	defer cancel()
	items, _, err := elector.Store.Range(ctx, Key, false)
	if err != nil {
		return renewRetryDelay
	}
	now := elector.Clock.Now()
	next := &grant{sets: []int{elector.claimed()}, blockers: make(map[int]int)}
	var highest uint64
	var others []record
	for _, item := range items {
		set, ok := setOfKey(item.Key)
		if !ok || set == elector.Set {
			continue
		}
		next.at = now
		other, isLive := elector.observeOther(set, item, now)
		others = append(others, other)
		highest = max(highest, other.formerToken(elector.claimed()))
		if isLive && other.Sets != elector.claimed() {
			next.blockers[set] = other.Sets
		}
	}
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if elector.token <= highest {
		elector.minToken = highest + 1
		return conflictDelay
	}
	if !next.at.IsZero() {
		// Another set's leader may have issued leases for the groups until now.
		elector.predecessorRenewedAt = time.Time{}
	}
	elector.adopt(others)
	elector.grant = next
	elector.changed.notify()
	if len(next.blockers) > 0 {
		return blockedDelay
	}
	return renewInterval
}

// observedRecord is a record of another set, unchanged since at.
type observedRecord struct {
	revision uint64
	at       time.Time
}

// observeOther decodes another set's record, and reports whether its leader may still act.
func (elector *Elector) observeOther(set int, item store.Item, now time.Time) (record, bool) {
	observed, ok := elector.others[set]
	if !ok || observed.revision != item.Revision {
		observed = observedRecord{revision: item.Revision, at: now}
		elector.others[set] = observed
	}
	var other record
	if json.Unmarshal(item.Value, &other) != nil {
		other = record{Leader: "unreadable", Sets: claimsAll}
	} else {
		other.Sets = max(other.Sets, 1)
	}
	return other, other.Leader != "" && now.Sub(observed.at) <= TTL+clockMargin
}
