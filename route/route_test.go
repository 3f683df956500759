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

func newCandidate(name string, lsn uint64, modify func(*route.Candidate)) route.Candidate {
	position := posn.Position{Term: 2, LSN: lsn}
	candidate := route.Candidate{Slot: view.Slot{
		Report:           quorum.Report{Slot: name, Sealed: 2, LastPosition: position},
		ObservedPosition: position,
		LastAnswerAt:     now,
	}}
	if modify != nil {
		modify(&candidate)
	}
	return candidate
}

func primary(candidate *route.Candidate)        { candidate.Primary = true }
func leaving(candidate *route.Candidate)        { candidate.Leaving = true }
func failing(candidate *route.Candidate)        { candidate.FailingSince = now.Add(-time.Second) }
func expensive(candidate *route.Candidate)      { candidate.Cost = time.Second }
func sealedForTerm1(candidate *route.Candidate) { candidate.Sealed = 1 }

func provenStaleness(staleness time.Duration) func(*route.Candidate) {
	return func(candidate *route.Candidate) { candidate.ProvenAt = now.Add(-staleness) }
}

func TestChoose(t *testing.T) {
	minPosition := posn.Position{Term: 2, LSN: 10}
	tests := []struct {
		name       string
		query      route.Query
		candidates []route.Candidate
		slot       string
		want       route.Reason
	}{
		{"replica at the minimum position", route.Query{MinPosition: minPosition}, []route.Candidate{newCandidate("a", 12, primary), newCandidate("b", 10, nil)}, "b", route.Replica},
		{"cheaper replica", route.Query{MinPosition: minPosition}, []route.Candidate{newCandidate("b", 10, expensive), newCandidate("c", 11, nil)}, "c", route.Replica},
		{"replicas behind the minimum position", route.Query{MinPosition: minPosition}, []route.Candidate{newCandidate("a", 12, primary), newCandidate("b", 9, nil)}, "a", route.ToPrimaryReplicasBehind},
		{"replica behind with a wait allowed", route.Query{MinPosition: minPosition, ReplicaWait: time.Millisecond}, []route.Candidate{newCandidate("a", 12, primary), newCandidate("b", 9, nil)}, "", route.WaitReplica},
		{"replica failing", route.Query{MinPosition: minPosition, ReplicaWait: time.Millisecond}, []route.Candidate{newCandidate("a", 12, primary), newCandidate("b", 10, failing)}, "a", route.ToPrimaryNoReplica},
		{"replica leaving", route.Query{MinPosition: minPosition}, []route.Candidate{newCandidate("a", 12, primary), newCandidate("b", 10, leaving)}, "a", route.ToPrimaryNoReplica},
		{"replicas busy", route.Query{MinPosition: minPosition}, []route.Candidate{newCandidate("a", 12, primary), newCandidate("b", 10, expensive)}, "a", route.ToPrimaryReplicasBusy},
		{"replica of an earlier term", route.Query{MinPosition: minPosition}, []route.Candidate{newCandidate("a", 12, primary), newCandidate("b", 10, sealedForTerm1)}, "a", route.ToPrimaryReplicasBehind},
		{"replica excluded after a failure", route.Query{MinPosition: minPosition, Exclude: map[string]bool{"b": true}}, []route.Candidate{newCandidate("a", 12, primary), newCandidate("b", 10, nil)}, "a", route.ToPrimaryNoReplica},
		{"proven staleness", route.Query{MaxStaleness: time.Minute}, []route.Candidate{newCandidate("b", 3, provenStaleness(50*time.Second))}, "b", route.ReplicaWithinStaleness},
		{"proven staleness of a replica of an earlier term, no primary", route.Query{MaxStaleness: time.Minute}, []route.Candidate{newCandidate("c", 4, failing), newCandidate("b", 3, func(candidate *route.Candidate) { sealedForTerm1(candidate); provenStaleness(time.Second)(candidate) })}, "b", route.ReplicaWithinStaleness},
		{"proven staleness beyond the bound", route.Query{MaxStaleness: time.Minute}, []route.Candidate{newCandidate("a", 12, primary), newCandidate("b", 3, provenStaleness(61*time.Second))}, "a", route.ToPrimaryNoneWithinStaleness},
		{"unknown staleness", route.Query{MaxStaleness: time.Minute}, []route.Candidate{newCandidate("a", 12, primary), newCandidate("b", 12, nil)}, "a", route.ToPrimaryNoneWithinStaleness},
		{"replica within the bound but behind the session's own write", route.Query{MinPosition: minPosition, MaxStaleness: time.Minute}, []route.Candidate{newCandidate("a", 12, primary), newCandidate("b", 9, provenStaleness(time.Second))}, "a", route.ToPrimaryNoneWithinStaleness},
		{"nothing", route.Query{}, nil, "", route.Nowhere},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.query.Now, test.query.MaxSilence = now, time.Second
			choice := route.Choose(test.query, test.candidates)
			qt.Assert(t, choice.Slot, qt.Equals, test.slot)
			qt.Assert(t, choice.Reason, qt.Equals, test.want)
		})
	}
}
