package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/member"
)

var start = time.Unix(1000, 0)

func vm(id string, incarnation uint64, state member.State) member.Member {
	return member.Member{ID: id, Address: id + ":1", Incarnation: incarnation, State: state}
}

func TestApply(t *testing.T) {
	tests := []struct {
		name    string
		updates []member.Member
		live    bool
	}{
		{"heard", []member.Member{vm("b", 1, member.Alive)}, true},
		{"suspected", []member.Member{vm("b", 1, member.Alive), vm("b", 1, member.Suspect)}, false},
		{"refuted", []member.Member{vm("b", 1, member.Alive), vm("b", 1, member.Suspect), vm("b", 2, member.Alive)}, true},
		{"outdated update", []member.Member{vm("b", 2, member.Alive), vm("b", 1, member.Dead)}, true},
		{"dead stays dead", []member.Member{vm("b", 1, member.Alive), vm("b", 1, member.Dead), vm("b", 1, member.Alive)}, false},
		{"restarted", []member.Member{vm("b", 1, member.Dead), vm("b", 9, member.Alive)}, true},
		{"leaving", []member.Member{vm("b", 1, member.Alive), vm("b", 1, member.Leaving)}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := member.New(vm("a", 1, member.Alive))
			for _, update := range test.updates {
				table.Apply(update, start)
			}
			qt.Assert(t, len(table.Live()) == 2, qt.Equals, test.live)
		})
	}
}

// Rule 20: the platform's list lags. A VM from the list is not live before an update
// reports it as alive, and the list does not revive a dead VM.
func TestAddCandidate(t *testing.T) {
	c := qt.New(t)
	table := member.New(vm("a", 1, member.Alive))
	table.AddCandidate(vm("b", 0, member.Alive), start)
	c.Assert(table.Live(), qt.HasLen, 1)
	table.Apply(vm("b", 1, member.Alive), start)
	c.Assert(table.Live(), qt.HasLen, 2)
	c.Assert(table.Suspect("b", start), qt.IsTrue)
	newlyDead := table.Tick(start.Add(member.SuspectFor))
	c.Assert(newlyDead, qt.HasLen, 1)
	table.AddCandidate(vm("b", 0, member.Alive), start.Add(time.Second))
	c.Assert(table.Live(), qt.HasLen, 1)
}

// A fleet in which messages were lost, and live VMs declared dead, agrees again that all
// are alive. Guards against a fault in which a VM that was wrongly declared dead stayed
// so for a minute, because it never received that update and could not refute it.
func TestConvergence(t *testing.T) {
	c := qt.New(t)
	const size = 30
	random := rand.New(rand.NewPCG(1, 1))
	now := start
	tables := make([]*member.Table, size)
	for i := range tables {
		tables[i] = member.New(vm(fmt.Sprintf("vm%02d", i), 1, member.Alive))
		for j := range size {
			tables[i].AddCandidate(vm(fmt.Sprintf("vm%02d", j), 0, member.Alive), now)
		}
	}
	exchange := func(loss float64) {
		now = now.Add(200 * time.Millisecond)
		for _, from := range tables {
			target, _ := from.Probe()
			var index int
			_, _ = fmt.Sscanf(target.ID, "vm%d", &index)
			if random.Float64() < loss {
				from.Suspect(target.ID, now)
				continue
			}
			to := tables[index]
			for _, update := range from.Updates(target.ID) {
				to.Apply(update, now)
			}
			for _, update := range to.Updates(from.Self.ID) {
				from.Apply(update, now)
			}
		}
		for _, table := range tables {
			table.Tick(now)
		}
	}
	for range 100 {
		exchange(0.3)
	}
	rounds := 0
	for ; rounds < 3*size; rounds++ {
		exchange(0)
	}
	for _, table := range tables {
		c.Assert(table.Live(), qt.HasLen, size)
	}
}

// A VM that is not Alive receives its own state in every message until it refutes it.
func TestDeadVMReceivesOwnState(t *testing.T) {
	c := qt.New(t)
	table, dead := member.New(vm("a", 1, member.Alive)), member.New(vm("b", 1, member.Alive))
	table.Apply(vm("b", 1, member.Dead), start)
	table.Apply(vm("b", 1, member.Alive), start)
	table.Apply(vm("b", 1, member.Suspect), start)
	table.Tick(start.Add(member.SuspectFor))
	for range 100 {
		table.Updates("c")
	}
	for _, update := range table.Updates("b") {
		dead.Apply(update, start)
	}
	for _, update := range dead.Updates("a") {
		table.Apply(update, start)
	}
	c.Assert(table.Live(), qt.HasLen, 2)
}
