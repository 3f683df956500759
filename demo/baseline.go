package demo

import (
	"time"

	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/route"
)

// Baseline is a policy to measure against; the zero value is the product.
type Baseline struct {
	Policy route.Policy
	Limits detect.Limits
}

// fixedTimeout is the baselines' patience with a primary.
const fixedTimeout = 3 * time.Second

// fixedStay is how long a session's reads stay on the primary after a write.
const fixedStay = time.Second

var fixedLimits = detect.Limits{
	MinSilence: fixedTimeout,
	MaxSilence: fixedTimeout,
	RefusedFor: fixedTimeout,
	MaxUnacked: fixedTimeout,
}

// Baselines are the policies by name.
var Baselines = map[string]Baseline{
	"byCost":      {},
	"primaryOnly": {Policy: route.PrimaryOnly{}, Limits: fixedLimits},
	"fixedDelay":  {Policy: route.FixedDelay{Stay: fixedStay}, Limits: fixedLimits},
}
