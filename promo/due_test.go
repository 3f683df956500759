package promo_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/promo"
)

// Rules 10 and 18, as a table.
func TestDue(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	heard := dbset.MemberState{Member: dbset.Member{ID: "a"}, HeardAt: ago(10), ReportedAt: ago(10)}
	replica := dbset.MemberState{Member: dbset.Member{ID: "b"}, HeardAt: ago(10), ReportedAt: ago(10)}
	with := func(change func(*dbset.MemberState)) dbset.MemberState {
		member := heard
		change(&member)
		return member
	}
	for name, test := range map[string]struct {
		primary   dbset.MemberState
		replica   dbset.MemberState
		known     string
		others    promo.Others
		noneSince time.Time
		want      promo.Cause
	}{
		"healthy": {heard, replica, "a", promo.Others{}, time.Time{}, promo.NotDue},
		"slow": {with(func(m *dbset.MemberState) {
			m.Failures, m.HeardAt = 3, ago(500)
		}), replica, "a", promo.Others{}, time.Time{}, promo.NotDue},
		"one failure": {with(func(m *dbset.MemberState) {
			m.Failures, m.HeardAt = 1, ago(5000)
		}), replica, "a", promo.Others{}, time.Time{}, promo.NotDue},
		"silent": {with(func(m *dbset.MemberState) {
			m.Failures, m.HeardAt = 2, ago(700)
		}), replica, "a", promo.Others{}, time.Time{}, promo.Silent},
		"silent to the keeper alone": {with(func(m *dbset.MemberState) {
			m.Failures, m.HeardAt = 2, ago(700)
		}), replica, "a", promo.Others{HeardAt: ago(100)}, time.Time{}, promo.NotDue},
		"refused": {with(func(m *dbset.MemberState) {
			m.Failures, m.Refusals, m.FailingSince = 2, 2, ago(250)
		}), replica, "a", promo.Others{}, time.Time{}, promo.Silent},
		"silent without a candidate": {with(func(m *dbset.MemberState) {
			m.Failures, m.HeardAt = 2, ago(700)
		}), dbset.MemberState{Member: dbset.Member{ID: "b"}, Failures: 3}, "a", promo.Others{}, time.Time{}, promo.NotDue},
		"leaving":              {with(func(m *dbset.MemberState) { m.Leaving = true }), replica, "a", promo.Others{}, time.Time{}, promo.Leaving},
		"cut from some":        {heard, replica, "a", promo.Others{CutShare: 0.4}, time.Time{}, promo.Cut},
		"cut from one of five": {heard, replica, "a", promo.Others{CutShare: 0.2}, time.Time{}, promo.NotDue},
		"none, all known":      {heard, replica, "", promo.Others{}, ago(400), promo.Missing},
		"none for a moment":    {heard, replica, "", promo.Others{}, ago(100), promo.NotDue},
		"none, one unheard":    {with(func(m *dbset.MemberState) { m.ReportedAt = time.Time{} }), replica, "", promo.Others{}, ago(400), promo.NotDue},
	} {
		t.Run(name, func(t *testing.T) {
			state := dbset.State{Term: 1, Primary: test.known, Members: []dbset.MemberState{test.primary, test.replica}}
			qt.Assert(t, promo.Due(state, test.others, test.noneSince, now), qt.Equals, test.want)
		})
	}
}
