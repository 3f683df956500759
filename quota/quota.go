// Package quota limits the operations of each team over all VMs. Each VM has a share of every
// limit, 1/N for a fleet of N VMs, and delegates it to a VM that it follows, its home. A home has
// a token bucket per team and grants tokens; each VM has an Agent that requests them and takes
// one for each operation. The package does no I/O; the time is passed in.
//
// There may be several homes, for instance one on each side of a partition, since shares are
// conserved:
//
//   - A VM delegates to one home at a time. It may delegate to another once the former home has
//     given the share back, or Request.DelegatedFor after it sent the last request that delegated.
//     A home counts that time from a lower bound by its own clock (Request.SentAfter).
//   - VMs that follow different homes have the same list of VMs, by which shares are counted: a
//     VM that may have been removed from the lists of others has no share, and a home doesn't
//     count a VM that it doesn't know. The share of a VM that is lost is lost until the others
//     remove it.
//
// A home with the shares s fills its buckets at rate x s up to depth x s. With a rate r, a burst
// b, a window w and the reserve R = (rw + b) x overage + slack, a window has at most
//
//	(rw + b) + r x TokenTTL + G + F <= rw + b + R
//
// operations:
//
//   - rw + b: what buckets have when the window begins, and what is added to them.
//   - r x TokenTTL: tokens that were granted before the window and are used in it.
//   - G: the grants with which VMs come to a new home, so that its buckets don't begin empty: at
//     most newcomersPerWindow of each VM, and in sum Bounds.start each time.
//   - F = R/2: the floors, which VMs have while no home with more than half of the shares answers
//     (Bounds.floors).
package quota

import "time"

const (
	// TokenTTL is the validity of a token, from the time at which the request for it was sent.
	TokenTTL = 250 * time.Millisecond
	// minDepthFor is the time for whose rate a bucket has room at least: VMs request tokens
	// for the operations of some ten milliseconds. Where that exceeds the burst, tokens are
	// valid for the difference less, so that the limit holds.
	minDepthFor = 100 * time.Millisecond
	// AnswerTimeout is how long an operation waits for the answer of the home. Then the VM
	// uses its floor.
	AnswerTimeout = 100 * time.Millisecond
	// minDelegation is how long a VM delegates its share with a request; it grows with the fleet
	// by delegationPerVM, so that a home of many VMs is not kept busy by renewals. It is longer
	// than a VM pauses that has used up its processor quota of a 100 ms period.
	minDelegation   = 300 * time.Millisecond
	delegationPerVM = 8 * time.Millisecond
	// newcomersPerWindow is how often in a window a VM may bring a new home a grant. A VM does
	// so once in a window, and a process that starts may do so once more.
	newcomersPerWindow = 3
	// maxRetryAfter bounds the delay after which a refused caller should retry.
	maxRetryAfter = 2 * time.Second
)

// Limit is a team's limit: a rate in operations per second and a burst in operations.
type Limit struct{ Rate, Burst float64 }

// depth returns the depth of the bucket of a home that has all shares.
func (limit Limit) depth() float64 {
	if limit.Rate <= 0 && limit.Burst < 1 {
		return 0
	}
	// Less than one token would never be granted.
	return max(limit.Burst, limit.Rate*minDepthFor.Seconds(), 1)
}

// tokenTTL returns the validity of the team's tokens.
func (limit Limit) tokenTTL() time.Duration {
	if limit.Burst < limit.Rate*minDepthFor.Seconds() {
		return TokenTTL - minDepthFor
	}
	return TokenTTL
}

// Bounds are the bounds of a deployment within which limits hold.
type Bounds struct {
	Window time.Duration
	// Overage is a part of a limit, Slack a number of operations.
	Overage, Slack float64
	// LowerDelay is how long after a home has learned of a lower limit the previous one
	// still applies. Callers are entitled to it until the new one is in force everywhere.
	LowerDelay time.Duration
}

// DefaultBounds are the bounds of a deployment that sets none. A configuration is in force
// everywhere 5 s after its acceptance, and reaches a home within 2 s.
var DefaultBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20, LowerDelay: 3 * time.Second}

// Limit returns the largest number of operations of a team in any window.
func (bounds Bounds) Limit(limit Limit) float64 {
	return limit.Rate*bounds.Window.Seconds() + limit.Burst + bounds.reserve(limit)
}

func (bounds Bounds) reserve(limit Limit) float64 {
	return (limit.Rate*bounds.Window.Seconds()+limit.Burst)*bounds.Overage + bounds.Slack
}

// floors returns the sum of the floors of all VMs.
func (bounds Bounds) floors(limit Limit) int { return int(bounds.reserve(limit) / 2) }

// start returns the sum of the grants with which all VMs come to a new home: what the reserve
// leaves, less one operation by which a bucket may be deeper than the burst.
func (bounds Bounds) start(limit Limit) float64 {
	rest := bounds.reserve(limit) - float64(bounds.floors(limit)) - limit.Rate*TokenTTL.Seconds() - 1
	return max(rest, 0) / newcomersPerWindow
}

// Request is a VM's request to its home. Requests of a process have increasing numbers.
type Request struct {
	VM      string
	Process uint64
	Seq     uint64
	// Home is the number of the home whose last answer the VM has; SentAfter and SentBefore
	// bound the time at which the request was sent, by the clock of that home.
	Home                  uint64
	SentAfter, SentBefore time.Duration
	// HasShares is set by VMs that have shares. Those of earlier versions have fallback rates
	// instead, which this version doesn't grant.
	HasShares bool
	// Delegates is set if the VM delegates its share, 1/VMs, IsNewcomer if it brings a grant.
	Delegates, IsNewcomer bool
	VMs                   int
	// DelegatedFor is for how long the VM delegates, from the time of the request.
	DelegatedFor time.Duration
	// Leaves is set if the VM takes its share back.
	Leaves bool
	Teams  []Demand
}

// Demand is the part of a request for one team.
type Demand struct {
	Team string
	// Waiting is the number of operations that wait for tokens, Expected that of further ones
	// within the validity of the tokens. Refused is the number that the VM has refused
	// itself since its last request, Returned that of tokens that it gives back.
	Waiting, Expected, Refused, Returned int
	// IsIdle makes a home of an earlier version grant no fallback rate.
	IsIdle bool
}

// Answer is the home's answer to a request.
type Answer struct {
	// Home is the number of the home, Time the time by its clock.
	Home uint64
	Time time.Duration
	// HasMajority is set if VMs with more than half of the shares follow the home. IsStopping
	// is set if it has given all shares back.
	HasMajority, IsStopping bool
	Teams                   []Grant
}

// Grant is the part of an answer for one team.
type Grant struct {
	Team   string
	Tokens int
	// RetryAfter is when the bucket will have a token for the first operation that got
	// none, and Interval the time between that one and the next.
	RetryAfter, Interval time.Duration
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
