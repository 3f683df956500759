package vmrun_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/proto"
)

// takeover is how the leader changed before a primary is lost or replaced.
type takeover string

const (
	noTakeover takeover = "calm"
	// released: the leader has stopped as planned. restarted: it was killed, and its new process has
	// taken over its record. expired: it was killed, and another VM has taken over the record.
	released  takeover = "leaderReleased"
	restarted takeover = "leaderRestarted"
	expired   takeover = "leaderExpired"
)

// writeGapOf returns the longest time between two acknowledged writes at a VM around a change of the
// primary, which comes some time after a new leader has been found.
func writeGapOf(isPlanned bool, takeover takeover, after time.Duration) time.Duration {
	fleet := startFleetOf(3, 0)
	fleet.upstream.PromotionDuration = 600 * time.Millisecond
	former := fleet.leader()
	writing := fleet.nonLeader()
	time.Sleep(5 * time.Second)
	switch takeover {
	case released:
		former.stop()
	case restarted:
		former.kill()
		time.Sleep(300 * time.Millisecond)
		fleet.restart(former)
	case expired:
		former.kill()
	}
	for takeover != noTakeover && (fleet.leader() == nil || fleet.leader() == former) {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(after)
	done := make(chan struct{})
	var longest time.Duration
	var writer sync.WaitGroup
	writer.Go(func() {
		last := time.Now()
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if writing.tryWrite() == proto.OK {
				longest = max(longest, time.Since(last))
				last = time.Now()
			}
		}
	})
	time.Sleep(100 * time.Millisecond)
	if isPlanned {
		leaving := fleet.upstream.Members()[0]
		leaving.Leaving = true
		fleet.register(leaving)
	} else {
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
	}
	time.Sleep(12 * time.Second)
	close(done)
	writer.Wait()
	fleet.close()
	return longest
}

// BenchmarkPromotion reports how long writes wait for a new primary, in virtual time: after the loss
// of the primary and in its planned replacement, in a calm fleet and up to 2 s after a takeover. A new
// leader that does not know all holders of leases waits until these have ended.
func BenchmarkPromotion(b *testing.B) {
	const samples = 20
	for _, isPlanned := range []bool{false, true} {
		for _, takeover := range []takeover{noTakeover, released, restarted, expired} {
			name := fmt.Sprintf("killed/%s", takeover)
			if isPlanned {
				name = fmt.Sprintf("planned/%s", takeover)
			}
			b.Run(name, func(b *testing.B) {
				var gaps []time.Duration
				for b.Loop() {
					for i := range samples {
						inBubble(func() {
							gaps = append(gaps, writeGapOf(isPlanned, takeover, 2*time.Second*time.Duration(i)/samples))
						})
					}
				}
				slices.Sort(gaps)
				b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "medianGapMs")
				b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "longestGapMs")
			})
		}
	}
}

// inBubble runs f in virtual time.
func inBubble(f func()) {
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.RunTests(matchAll, []testing.InternalTest{{Name: "bubble", F: func(t *testing.T) {
		synctest.Test(t, func(*testing.T) { f() })
	}}})
}
