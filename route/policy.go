package route

import "time"

// Policy selects the routing of reads. ByCost is used in production; the others
// are baselines for measurements.
type Policy interface{ isPolicy() }

// ByCost routes by the rules of this package.
type ByCost struct{}

// PrimaryOnly sends every read to the primary.
type PrimaryOnly struct{}

// FixedDelay sends a session's reads to the primary for the time Stay after a
// write, and otherwise to any replica, regardless of its lag.
type FixedDelay struct{ Stay time.Duration }

func (ByCost) isPolicy()      {}
func (PrimaryOnly) isPolicy() {}
func (FixedDelay) isPolicy()  {}

// Reasons for the routing by a baseline policy.
const (
	PrimaryBaseline Reason = "primaryBaseline"
	ReplicaBaseline Reason = "replicaBaseline"
)

// Apply selects the slot for a read by a policy. sinceWrite is the time since the
// session's last write.
func Apply(policy Policy, query Query, candidates []Candidate, sinceWrite time.Duration) Choice {
	switch policy := policy.(type) {
	case PrimaryOnly:
		return choosePrimary(candidates)
	case FixedDelay:
		if sinceWrite < policy.Stay {
			return choosePrimary(candidates)
		}
		for _, candidate := range candidates {
			if !candidate.Primary && !candidate.Leaving && query.isResponsive(candidate) {
				return Choice{Slot: candidate.Report.Slot, Reason: ReplicaBaseline}
			}
		}
		return choosePrimary(candidates)
	default:
		return Choose(query, candidates)
	}
}

// choosePrimary selects the primary of the highest term, even if a later term has
// been sealed since.
func choosePrimary(candidates []Candidate) Choice {
	var primary Candidate
	for _, candidate := range candidates {
		if candidate.Primary && candidate.Sealed > primary.Sealed {
			primary = candidate
		}
	}
	if primary.Report.Slot == "" {
		return Choice{Reason: Nowhere}
	}
	return Choice{Slot: primary.Report.Slot, Reason: PrimaryBaseline}
}
