package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/quota"
)

// A VM takes its share back from a home, delegates it there again, and leaves once more. The
// answer to the first request, which comes late, doesn't free the share.
func TestLateAnswerToLeaving(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	agent := quota.NewAgent(quota.DefaultBounds, "vm", 1, rand.Float64, now)
	agent.SetVMs([]string{"former", "next", "vm"}, true)
	now = now.Add(time.Second)
	follow := func(home string) *quota.Request {
		agent.SetHome(home, now)
		agent.Answered(agent.Step(now), quota.Answer{Home: 1}, now)
		now = now.Add(110 * time.Millisecond)
		request := agent.Step(now)
		agent.Answered(request, quota.Answer{Home: 1}, now)
		return request
	}
	c.Assert(follow("former").Delegates, qt.IsTrue)
	c.Assert(follow("next").Delegates, qt.IsFalse)
	home, first := agent.Leaving(now)
	c.Assert(home, qt.Equals, "former")
	c.Assert(follow("former").Delegates, qt.IsTrue)
	c.Assert(follow("next").Delegates, qt.IsFalse)
	_, second := agent.Leaving(now)
	agent.Left("former", first)
	home, _ = agent.Leaving(now)
	c.Assert(home, qt.Equals, "former")
	agent.Left("former", second)
	home, _ = agent.Leaving(now)
	c.Assert(home, qt.Equals, "")
}

// Only few VMs are connected to at the same time, so that those of a large fleet that starts
// don't all connect to each other.
func TestChooseConnectsToFew(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	agent := quota.NewAgent(quota.DefaultBounds, "vm", 1, rand.Float64, now)
	reach := map[string]quota.Reach{"a": quota.Connecting, "b": quota.Connecting, "c": quota.Connected}
	var asked []string
	choose := func() string {
		asked = nil
		agent.Choose([]string{"a", "b", "c"}, func(vm string) quota.Reach {
			asked = append(asked, vm)
			return reach[vm]
		}, now)
		return agent.Home()
	}
	c.Assert(choose(), qt.Equals, "")
	c.Assert(asked, qt.DeepEquals, []string{"a", "b"})
	reach["a"] = quota.Unreachable
	c.Assert(choose(), qt.Equals, "c")
	reach["b"] = quota.Connected
	c.Assert(choose(), qt.Equals, "b")
	// It has no configuration yet, or stops: the next one serves for some time.
	agent.Answered(agent.Step(now), quota.Answer{}, now)
	c.Assert(choose(), qt.Equals, "c")
	now = now.Add(2 * time.Second)
	c.Assert(choose(), qt.Equals, "b")
}

// A VM that moves from home to home brings a grant once in a window: what the buckets of all homes
// begin with is a part of the reserve.
func TestNewcomerOnceInWindow(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	agent := quota.NewAgent(quota.DefaultBounds, "vm", 1, rand.Float64, now)
	agent.SetVMs([]string{"former", "next", "vm"}, true)
	var newcomers int
	for range 12 {
		for _, home := range []string{"former", "next"} {
			now = now.Add(400 * time.Millisecond)
			agent.SetHome(home, now)
			agent.Answered(agent.Step(now), quota.Answer{Home: 1}, now)
			now = now.Add(100 * time.Millisecond)
			request := agent.Step(now)
			c.Assert(request.Delegates, qt.IsTrue)
			if request.IsNewcomer {
				newcomers++
			}
			agent.Answered(request, quota.Answer{Home: 1}, now)
		}
	}
	// 12 s with moves each half a second.
	c.Assert(newcomers, qt.Equals, 3)
}

// A home that stops gives the share back with its answer, so that the VM delegates it to the next
// home at once.
func TestStoppingHomeGivesShareBack(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	agent := quota.NewAgent(quota.DefaultBounds, "vm", 1, rand.Float64, now)
	agent.SetVMs([]string{"former", "next", "vm"}, true)
	now = now.Add(time.Second)
	agent.SetHome("former", now)
	agent.Answered(agent.Step(now), quota.Answer{Home: 1}, now)
	now = now.Add(20 * time.Millisecond)
	request := agent.Step(now)
	c.Assert(request.Delegates, qt.IsTrue)
	agent.Answered(request, quota.Answer{Home: 1, IsStopping: true}, now)
	agent.SetHome("next", now)
	agent.Answered(agent.Step(now), quota.Answer{Home: 2}, now)
	now = now.Add(20 * time.Millisecond)
	c.Assert(agent.Step(now).Delegates, qt.IsTrue)
}
