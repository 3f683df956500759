package promo_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/promo"
)

// Rules 10 and 18: the cause that FailoverCause finds in each state of a group.
func TestFailoverCause(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	healthy := dbset.MemberState{Member: dbset.Member{ID: "a"}, LastAnswerAt: ago(10), ReportedAt: ago(10)}
	replica := dbset.MemberState{Member: dbset.Member{ID: "b"}, LastAnswerAt: ago(10), ReportedAt: ago(10)}
	leavingReplica := replica
	leavingReplica.Leaving = true
	with := func(change func(*dbset.MemberState)) dbset.MemberState {
		member := healthy
		change(&member)
		return member
	}
	for name, test := range map[string]struct {
		primary      dbset.MemberState
		replica      dbset.MemberState
		primaryID    string
		observations promo.PeerObservations
		missingSince time.Time
		want         promo.Cause
	}{
		"healthy": {healthy, replica, "a", promo.PeerObservations{}, time.Time{}, promo.NoCause},
		"slow": {with(func(member *dbset.MemberState) {
			member.Failures, member.LastAnswerAt = 3, ago(500)
		}), replica, "a", promo.PeerObservations{}, time.Time{}, promo.NoCause},
		"one failure": {with(func(member *dbset.MemberState) {
			member.Failures, member.LastAnswerAt = 1, ago(5000)
		}), replica, "a", promo.PeerObservations{}, time.Time{}, promo.NoCause},
		"silent": {with(func(member *dbset.MemberState) {
			member.Failures, member.LastAnswerAt = 2, ago(700)
		}), replica, "a", promo.PeerObservations{}, time.Time{}, promo.Unresponsive},
		"silent to the leader only": {with(func(member *dbset.MemberState) {
			member.Failures, member.LastAnswerAt = 2, ago(700)
		}), replica, "a", promo.PeerObservations{LastAnswerAt: ago(100)}, time.Time{}, promo.NoCause},
		"refused": {with(func(member *dbset.MemberState) {
			member.Failures, member.RefusedConnections, member.FailingSince = 2, 2, ago(250)
		}), replica, "a", promo.PeerObservations{}, time.Time{}, promo.Unresponsive},
		"silent without a candidate": {with(func(member *dbset.MemberState) {
			member.Failures, member.LastAnswerAt = 2, ago(700)
		}), dbset.MemberState{Member: dbset.Member{ID: "b"}, Failures: 3}, "a", promo.PeerObservations{}, time.Time{}, promo.NoCause},
		"silent, the replica is leaving": {with(func(member *dbset.MemberState) {
			member.Failures, member.LastAnswerAt = 2, ago(700)
		}), leavingReplica, "a", promo.PeerObservations{}, time.Time{}, promo.Unresponsive},
		"leaving, and so is the replica":       {with(func(member *dbset.MemberState) { member.Leaving = true }), leavingReplica, "a", promo.PeerObservations{}, time.Time{}, promo.NoCause},
		"leaving":                              {with(func(member *dbset.MemberState) { member.Leaving = true }), replica, "a", promo.PeerObservations{}, time.Time{}, promo.Leaving},
		"partitioned from two of five VMs":     {healthy, replica, "a", promo.PeerObservations{PartitionedShare: 0.4}, time.Time{}, promo.Partitioned},
		"partitioned from one of five VMs":     {healthy, replica, "a", promo.PeerObservations{PartitionedShare: 0.2}, time.Time{}, promo.NoCause},
		"no primary, all roles known":          {healthy, replica, "", promo.PeerObservations{}, ago(400), promo.Missing},
		"no primary for less than the timeout": {healthy, replica, "", promo.PeerObservations{}, ago(100), promo.NoCause},
		"no primary, one role unknown":         {with(func(member *dbset.MemberState) { member.ReportedAt = time.Time{} }), replica, "", promo.PeerObservations{}, ago(400), promo.NoCause},
	} {
		t.Run(name, func(t *testing.T) {
			state := dbset.State{Term: 1, Primary: test.primaryID, Members: []dbset.MemberState{test.primary, test.replica}}
			qt.Assert(t, promo.FailoverCause(state, test.observations, test.missingSince, now), qt.Equals, test.want)
		})
	}
}
