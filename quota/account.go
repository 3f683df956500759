package quota

import (
	"time"
)

// account is a team's bucket.
type account struct {
	limit Limit
	// lower is the limit that applies from lowerAt on; lowerAt is zero if none is pending.
	lower    Limit
	lowerAt  time.Time
	level    float64
	filledAt time.Time
	// returned is the sum of the fallback rates of predecessors that VMs have reported.
	returned float64
	// nextSlot is when the bucket will have a token for the next operation that is refused.
	nextSlot time.Time
	// recent has the grants to all processes.
	recent recent
	claims map[processID]*claim
	// active has the claims with a fallback rate.
	active []*claim
	// sweptAt is when claims without use were last removed.
	sweptAt time.Time
}

// claim is what one process may use of a team's limit without asking.
type claim struct {
	process *process
	recent  recent
	// fallback is the greatest rate that the process may use from since until until.
	fallback     float64
	since, until time.Time
	// excess is the part of Home.excessBudget that the fallback rate takes.
	excess float64
	// ran is the last reported number of operations at fallback rates, of which charged
	// were charged before they were reported.
	ran, charged float64
	isActive     bool
}

// setFallback sets the rate that a process may use until until.
func (account *account) setFallback(claim *claim, fallback float64, until time.Time) {
	claim.fallback, claim.until = fallback, until
	if fallback == 0 {
		claim.excess = 0
	}
	if fallback > 0 && !claim.isActive {
		claim.isActive = true
		account.active = append(account.active, claim)
	}
}

// reserved returns the number of operations that the process may have run at its fallback
// rate since its last report.
func (claim *claim) reserved(now time.Time) float64 {
	if claim.fallback == 0 {
		return 0
	}
	if now.After(claim.until) {
		now = claim.until
	}
	return claim.fallback * max(now.Sub(claim.startOf(claim.since)), 0).Seconds()
}

// startOf returns the earliest time from which on the process may have used its fallback
// rate without a report; it is not before since.
func (claim *claim) startOf(since time.Time) time.Time {
	start := claim.process.reportedAt
	if claim.process.isFallingBack && claim.fallback > 0 {
		start = start.Add(-seconds(max(maxDepth/claim.fallback, TokenTTL.Seconds())))
	}
	if start.Before(since) {
		return since
	}
	return start
}

// available returns the tokens that no VM may have used.
func (account *account) available(now time.Time) float64 {
	available := account.level
	for _, claim := range account.active {
		available -= claim.reserved(now)
	}
	return available
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// recent counts the grants of the last window in recentSlots parts of it.
type recent struct {
	counts [recentSlots]uint32
	last   int64
}

const recentSlots = 10

// add counts grants in a slot.
func (recent *recent) add(count int, slot int64) {
	recent.advance(slot)
	recent.counts[recent.last%recentSlots] += uint32(count)
}

func (recent *recent) advance(slot int64) {
	for range min(slot-recent.last, recentSlots) {
		recent.last++
		recent.counts[recent.last%recentSlots] = 0
	}
	recent.last = max(slot, recent.last)
}

// sum returns the grants of the last window.
func (recent *recent) sum(slot int64) float64 {
	recent.advance(slot)
	var sum uint32
	for _, count := range recent.counts {
		sum += count
	}
	return float64(sum)
}
