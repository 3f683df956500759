package route_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/route"
	"github.com/bramleydoor/bramleydoor/view"
)

var now = time.Unix(1000, 0)

func slot(name string, lsn uint64, change func(*route.Candidate)) route.Candidate {
	position := posn.Position{Term: 2, LSN: lsn}
	candidate := route.Candidate{Slot: view.Slot{
		Report:  quorum.Report{Slot: name, Sealed: 2, Held: position},
		Seen:    position,
		HeardAt: now,
	}}
	if change != nil {
		change(&candidate)
	}
	return candidate
}

func primary(candidate *route.Candidate) { candidate.Primary = true }
func leaving(candidate *route.Candidate) { candidate.Leaving = true }
func failing(candidate *route.Candidate) { candidate.FailingSince = now.Add(-time.Second) }
func costly(candidate *route.Candidate)  { candidate.Cost = time.Second }
func sealed1(candidate *route.Candidate) { candidate.Sealed = 1 }

func proven(age time.Duration) func(*route.Candidate) {
	return func(candidate *route.Candidate) { candidate.ProvenAt = now.Add(-age) }
}

func TestChoose(t *testing.T) {
	floor := posn.Position{Term: 2, LSN: 10}
	tests := []struct {
		name  string
		query route.Query
		slots []route.Candidate
		slot  string
		want  route.Reason
	}{
		{"replica at the floor", route.Query{Floor: floor}, []route.Candidate{slot("a", 12, primary), slot("b", 10, nil)}, "b", route.Replica},
		{"cheaper replica", route.Query{Floor: floor}, []route.Candidate{slot("b", 10, costly), slot("c", 11, nil)}, "c", route.Replica},
		{"replicas behind", route.Query{Floor: floor}, []route.Candidate{slot("a", 12, primary), slot("b", 9, nil)}, "a", route.PrimaryBehind},
		{"worth a wait", route.Query{Floor: floor, ReplicaWait: time.Millisecond}, []route.Candidate{slot("a", 12, primary), slot("b", 9, nil)}, "", route.WaitReplica},
		{"replica failing", route.Query{Floor: floor, ReplicaWait: time.Millisecond}, []route.Candidate{slot("a", 12, primary), slot("b", 10, failing)}, "a", route.PrimaryNone},
		{"replica leaving", route.Query{Floor: floor}, []route.Candidate{slot("a", 12, primary), slot("b", 10, leaving)}, "a", route.PrimaryNone},
		{"replicas busy", route.Query{Floor: floor}, []route.Candidate{slot("a", 12, primary), slot("b", 10, costly)}, "a", route.PrimaryBusy},
		{"sealed off by a later term", route.Query{Floor: floor}, []route.Candidate{slot("a", 12, primary), slot("b", 10, sealed1)}, "a", route.PrimaryBehind},
		{"failed before", route.Query{Floor: floor, Exclude: map[string]bool{"b": true}}, []route.Candidate{slot("a", 12, primary), slot("b", 10, nil)}, "a", route.PrimaryNone},
		{"age proven", route.Query{Staleness: time.Minute}, []route.Candidate{slot("b", 3, proven(50*time.Second))}, "b", route.ReplicaAged},
		{"age proven without a primary, of an earlier term", route.Query{Staleness: time.Minute}, []route.Candidate{slot("c", 4, failing), slot("b", 3, func(c *route.Candidate) { sealed1(c); proven(time.Second)(c) })}, "b", route.ReplicaAged},
		{"too old", route.Query{Staleness: time.Minute}, []route.Candidate{slot("a", 12, primary), slot("b", 3, proven(61*time.Second))}, "a", route.PrimaryAged},
		{"unknown age is not a small one", route.Query{Staleness: time.Minute}, []route.Candidate{slot("a", 12, primary), slot("b", 12, nil)}, "a", route.PrimaryAged},
		{"own write before the stated age", route.Query{Floor: floor, Staleness: time.Minute}, []route.Candidate{slot("a", 12, primary), slot("b", 9, proven(time.Second))}, "a", route.PrimaryAged},
		{"nothing", route.Query{}, nil, "", route.Nowhere},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.query.Now, test.query.MaxSilence = now, time.Second
			choice := route.Choose(test.query, test.slots)
			qt.Assert(t, choice.Slot, qt.Equals, test.slot)
			qt.Assert(t, choice.Reason, qt.Equals, test.want)
		})
	}
}
