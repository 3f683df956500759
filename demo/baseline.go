package demo

import (
	"time"

	"github.com/bramleydoor/bramleydoor/detect"
	"github.com/bramleydoor/bramleydoor/route"
)

// Baseline is a routing policy with detection limits to compare measurements with.
// The zero value selects the policy and limits of the proxy.
type Baseline struct {
	Policy route.Policy
	Limits detect.Limits
}

// fixedTimeout is how long the baselines tolerate an unresponsive primary before
// they suspect it.
const fixedTimeout = 3 * time.Second

// fixedStay is how long after a write a session's reads are routed to the primary.
const fixedStay = time.Second

// fixedLimits replace the adaptive detection limits by one constant timeout.
var fixedLimits = detect.Limits{
	MinSilence: fixedTimeout,
	MaxSilence: fixedTimeout,
	RefusedFor: fixedTimeout,
	MaxUnacked: fixedTimeout,
}

// Baselines maps the names of policies to baselines. The policy byCost is the
// proxy's own.
var Baselines = map[string]Baseline{
	"byCost":      {},
	"primaryOnly": {Policy: route.PrimaryOnly{}, Limits: fixedLimits},
	"fixedDelay":  {Policy: route.FixedDelay{Stay: fixedStay}, Limits: fixedLimits},
}
