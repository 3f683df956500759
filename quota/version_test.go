package quota_test

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/quota"
)

// decodeFile decodes a message that the build of 3cc1173 has written.
func decodeFile(c *qt.C, name string, into any) {
	data, err := os.ReadFile("testdata/" + name + "-3cc1173.gob")
	c.Assert(err, qt.IsNil)
	c.Assert(gob.NewDecoder(bytes.NewReader(data)).Decode(into), qt.IsNil)
}

// A VM of an earlier version gets tokens from the leader's home, and no fallback rate.
func TestRequestOfEarlierVersion(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var request quota.Request
	decodeFile(c, "request", &request)
	c.Assert(request, qt.DeepEquals, quota.Request{
		VM: "vm1@10.0.0.1", Process: 7, Seq: 9, Home: 12, SentAfter: time.Minute, SentBefore: time.Minute + time.Millisecond,
		Teams: []quota.Demand{{Team: "red", Waiting: 3, Expected: 2, Refused: 1}},
	})
	home := quota.NewHome(quota.DefaultBounds, 13, now)
	home.SetVMs(map[string]bool{"vm1@10.0.0.1": false}, now)
	home.SetLeader(true, now)
	home.SetLimits(map[string]quota.Limit{"red": {Rate: 100, Burst: 100}}, now)
	now = now.Add(time.Second)
	answer := home.Handle(request, now)
	c.Assert(answer.Teams, qt.HasLen, 1)
	c.Assert(answer.Teams[0].Tokens, qt.Equals, 5)

	// What the earlier version reads of the answer.
	var data bytes.Buffer
	c.Assert(gob.NewEncoder(&data).Encode(answer), qt.IsNil)
	var former struct {
		Home  uint64
		Time  time.Duration
		Teams []struct {
			Team        string
			Tokens      int
			Fallback    float64
			Depth       float64
			SharesFloor bool
			RetryAfter  time.Duration
		}
	}
	c.Assert(gob.NewDecoder(&data).Decode(&former), qt.IsNil)
	c.Assert(former.Home, qt.Equals, uint64(13))
	c.Assert(former.Teams, qt.HasLen, 1)
	c.Assert(former.Teams[0].Tokens, qt.Equals, 5)
	c.Assert(former.Teams[0].Fallback, qt.Equals, 0.0)
}

// A VM uses the tokens of a leader of an earlier version, but not the fallback rate.
func TestAnswerOfEarlierVersion(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	agent := quota.NewAgent(quota.DefaultBounds, "vm2", 1, rand.Float64, now)
	agent.SetVMs([]string{"leader", "vm2"}, true)
	agent.SetHome("leader", now)
	limit := quota.Limit{Rate: 1, Burst: 1}
	var waiters []*quota.Waiter
	for range 4 {
		_, waiter := agent.Take("red", limit, now)
		waiters = append(waiters, waiter)
	}
	request := agent.Step(now)
	c.Assert(request.Teams[0].IsIdle, qt.IsTrue)
	var answer quota.Answer
	decodeFile(c, "answer", &answer)
	agent.Answered(request, answer, now)
	for _, waiter := range waiters {
		c.Assert((<-waiter.Done).OK, qt.IsTrue)
	}
	agent.SetHome("", now)
	now = now.Add(2 * time.Second)
	verdict, _ := agent.Take("red", limit, now)
	c.Assert(verdict.OK, qt.IsFalse)
}
