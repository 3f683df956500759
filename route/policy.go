package route

import "time"

// Policy is how reads are routed. ByCost is the product's; the others are the
// baselines that it is measured against.
type Policy interface{ isPolicy() }

// ByCost follows the rules of this package.
type ByCost struct{}

// PrimaryOnly sends every read to the primary.
type PrimaryOnly struct{}

// FixedDelay keeps a session's reads on the primary for Stay after a write, and
// sends them to any replica otherwise, however far behind that is.
type FixedDelay struct{ Stay time.Duration }

func (ByCost) isPolicy()      {}
func (PrimaryOnly) isPolicy() {}
func (FixedDelay) isPolicy()  {}

// Reasons of the baselines.
const (
	PrimaryBaseline Reason = "primaryBaseline"
	ReplicaBaseline Reason = "replicaBaseline"
)

// Apply chooses by a policy. sinceWrite is how long ago the session last wrote.
func Apply(policy Policy, query Query, candidates []Candidate, sinceWrite time.Duration) Choice {
	switch policy := policy.(type) {
	case PrimaryOnly:
		return onPrimary(candidates)
	case FixedDelay:
		if sinceWrite < policy.Stay {
			return onPrimary(candidates)
		}
		for _, candidate := range candidates {
			if !candidate.Primary && !candidate.Leaving && query.isAlive(candidate) {
				return Choice{Slot: candidate.Report.Slot, Reason: ReplicaBaseline}
			}
		}
		return onPrimary(candidates)
	default:
		return Choose(query, candidates)
	}
}

// onPrimary chooses the primary of the latest term, whether it still leads or
// not.
func onPrimary(candidates []Candidate) Choice {
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
