package quota

import "time"

// Shares returns the sum of the shares that count at a home.
func (home *Home) Shares(now time.Time) float64 {
	home.advance(now)
	return home.shares
}
