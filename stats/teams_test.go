package stats_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/stats"
)

// Load: many teams. The metrics list the 20 with most requests and the others together, and
// no request is lost from the counts. A VM without teams has no such line.
func TestTeamsAreBounded(t *testing.T) {
	c := qt.New(t)
	var metrics stats.Stats
	text := func() string {
		var out strings.Builder
		c.Assert(metrics.WriteText(&out), qt.IsNil)
		return out.String()
	}
	c.Assert(text(), qt.Not(qt.Contains), "teams.")
	const teams = 2000
	for number := range teams {
		metrics.Teams.Record(fmt.Sprintf("t%d", number), stats.RefusedQuota)
	}
	for number := range 21 {
		for range 2 + 2*number {
			metrics.Teams.Record(fmt.Sprintf("t%d", number), stats.Answered)
		}
	}
	metrics.Teams.Record("", stats.RefusedUnauthorized)
	c.Assert(strings.Count(text(), "\nteams."), qt.Equals, 21*4)
	c.Assert(text(), qt.Contains, "teams.t20.answered 42\n")
	c.Assert(text(), qt.Not(qt.Contains), "teams.t0.")
	var total, count int
	for line := range strings.Lines(text()) {
		if name, value, ok := strings.Cut(line, " "); ok && strings.HasPrefix(name, "teams.") {
			_, err := fmt.Sscan(value, &count)
			c.Assert(err, qt.IsNil)
			total += count
		}
	}
	c.Assert(total, qt.Equals, teams+21*2+21*20+1)
}
