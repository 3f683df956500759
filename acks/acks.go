// Package acks waits until a replica has received a commit. Where databases
// acknowledge commits that only the primary has, the loss of the primary may lose
// them. A write is therefore confirmed to its caller only after a replica has reported
// that it received the commit; that report is the replica acknowledgement.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  7. When replicas stop receiving, their primary may be partitioned from the leader too
//     and about to be replaced. A write without a replica acknowledgement is in doubt
//     unless the leader has observed the primary after the write. This applies until
//     degradedAfter has passed since the first wait timed out, which is longer than it
//     takes to detect an unresponsive primary and to end the last lease for it.
//  15. A replica is asked only if it has capacity beyond what callers need, and where
//     connections are scarce, only on an idle one. While the leader observes the
//     primary, writes don't wait for a replica acknowledgement that is missing for one
//     of these reasons.
//  20. If replicas stop receiving but the primary is not replaced, writes continue:
//     each waits briefly for a replica acknowledgement. If the primary still answers then,
//     the write is confirmed without one, and counted.
package acks

import (
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/proto"
)

const (
	// fullWait is the usual maximum wait for a replica acknowledgement. Replicas that
	// receive at all do so within milliseconds, but an overloaded one answers late.
	fullWait = 800 * time.Millisecond
	// If the leader has observed the primary within leaderFreshness, writes skip the wait
	// for replicas that are too busy to be asked.
	leaderFreshness = 1500 * time.Millisecond
	// degradedWait is the maximum wait once replica acknowledgements have been missing for
	// degradedAfter since the first wait timed out. By then the last lease has ended that
	// a leader may have issued which is partitioned together with the primary.
	degradedWait  = 30 * time.Millisecond
	degradedAfter = dbset.IssueWindow + dbset.LeaseDuration
	// inquiryTimeout bounds one inquiry to a database.
	inquiryTimeout = 150 * time.Millisecond
	// initialBackoff is the pause after the first inquiry without a replica
	// acknowledgement; it doubles up to maxBackoff.
	initialBackoff = 8 * time.Millisecond
	maxBackoff     = 80 * time.Millisecond
	// A primary that has answered within primaryFreshness is taken to be still the primary;
	// another one is sent an inquiry first.
	primaryFreshness = 100 * time.Millisecond
)

// Outcome is what is known about the durability of a commit.
type Outcome int

// The outcomes.
const (
	// ReplicaReceived means that a replica has received the commit.
	ReplicaReceived Outcome = iota
	// PrimaryOnly means that no replica is known to have received the commit, but that the
	// group's primary still answers as the primary.
	PrimaryOnly
	// InDoubt means that the primary may be lost or replaced, and the commit with it.
	InDoubt
)

// Waiter waits for replica acknowledgements. Set the exported fields before use. Its
// methods may be called from many goroutines.
type Waiter struct {
	Pools *dbpool.Set
	Clock clock.Clock

	mu       sync.Mutex
	trackers map[*dbset.Group]*tracker
}

// tracker is the state of the inquiries of one group.
type tracker struct {
	mu sync.Mutex
	// inFlight is closed when the inquiry in flight ends; nil if there is none.
	inFlight chan struct{}
	// last is the result of the last inquiry.
	last result
	// rotation counts inquiries that did not advance the known position. The next
	// inquiry goes to another replica.
	rotation int
	// missingSince is when the first wait timed out without a replica acknowledgement;
	// zero if one has arrived since.
	missingSince time.Time
}

// Wait waits until a replica is known to have received a position, but no longer than
// timeout and than the tracker's maximum wait. It returns InDoubt at once when the
// position's term is not the group's term. It ends early by checkPrimary if the replicas
// are too busy to be asked and the leader has observed the primary within
// leaderFreshness. At the end of the wait it returns InDoubt if the full wait applies and
// the leader has not observed the primary since the wait began, and else the result of
// checkPrimary.
func (waiter *Waiter) Wait(group *dbset.Group, position posn.Position, timeout time.Duration) Outcome {
	tracker := waiter.tracker(group)
	start := waiter.Clock.Now()
	deadline := start.Add(min(timeout, tracker.maxWait(start)))
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if group.IsReceived(position) {
			tracker.record(true, waiter.Clock.Now())
			return ReplicaReceived
		}
		now := waiter.Clock.Now()
		if group.Term() != position.Term {
			return InDoubt
		}
		if !now.Before(deadline) {
			tracker.record(false, now)
			if tracker.maxWait(now) == fullWait && !group.LeaderObservedAt().After(start) {
				return InDoubt
			}
			return waiter.checkPrimary(group)
		}
		result := waiter.inquire(tracker, group, deadline.Sub(now))
		if result == busy && now.Sub(group.LeaderObservedAt()) <= leaderFreshness {
			return waiter.checkPrimary(group)
		}
		if !group.IsReceived(position) {
			<-waiter.Clock.After(min(backoff, max(deadline.Sub(waiter.Clock.Now()), 0)))
		}
	}
}

// Forget drops the state of a group that was removed.
func (waiter *Waiter) Forget(group *dbset.Group) {
	waiter.mu.Lock()
	defer waiter.mu.Unlock()
	delete(waiter.trackers, group)
}

// checkPrimary returns PrimaryOnly if the VM has a lease for the primary and the primary
// has answered within primaryFreshness or answers an inquiry as the primary; InDoubt
// otherwise.
func (waiter *Waiter) checkPrimary(group *dbset.Group) Outcome {
	now := waiter.Clock.Now()
	primary, ok := group.Primary(now)
	if !ok {
		return InDoubt
	}
	if now.Sub(group.LastAnswerAt(primary.ID)) <= primaryFreshness {
		return PrimaryOnly
	}
	pool := waiter.Pools.Pool(primary.ID)
	if pool == nil {
		return InDoubt
	}
	if report, err := promo.SendControl(group, pool, waiter.Clock, proto.GetReport{}, inquiryTimeout); err != nil || !report.Primary {
		return InDoubt
	}
	return PrimaryOnly
}

func (waiter *Waiter) tracker(group *dbset.Group) *tracker {
	waiter.mu.Lock()
	defer waiter.mu.Unlock()
	if waiter.trackers == nil {
		waiter.trackers = make(map[*dbset.Group]*tracker)
	}
	found, ok := waiter.trackers[group]
	if !ok {
		found = &tracker{}
		waiter.trackers[group] = found
	}
	return found
}

// maxWait returns how long a write that starts now waits at most for its replica
// acknowledgement.
func (tracker *tracker) maxWait(now time.Time) time.Duration {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !tracker.missingSince.IsZero() && now.Sub(tracker.missingSince) >= degradedAfter {
		return degradedWait
	}
	return fullWait
}

// record updates missingSince after a wait.
func (tracker *tracker) record(isAcknowledged bool, now time.Time) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	switch {
	case isAcknowledged:
		tracker.missingSince = time.Time{}
	case tracker.missingSince.IsZero():
		tracker.missingSince = now
	}
}

// inquire asks one replica for its position. If an inquiry is in flight, it waits for
// that one instead, so that concurrent writes share inquiries.
func (waiter *Waiter) inquire(tracker *tracker, group *dbset.Group, timeout time.Duration) result {
	tracker.mu.Lock()
	if inFlight := tracker.inFlight; inFlight != nil {
		tracker.mu.Unlock()
		select {
		case <-inFlight:
			return tracker.lastResult()
		case <-waiter.Clock.After(timeout):
			return notAdvanced
		}
	}
	done := make(chan struct{})
	tracker.inFlight = done
	rotation := tracker.rotation
	tracker.mu.Unlock()
	result := waiter.inquireAny(group, rotation, min(timeout, inquiryTimeout))
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if result != advanced {
		tracker.rotation++
	}
	tracker.last, tracker.inFlight = result, nil
	close(done)
	return result
}

func (tracker *tracker) lastResult() result {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.last
}

// result is the result of an inquiry.
type result int

const (
	// advanced means that the replica had received more than was known.
	advanced result = iota
	// notAdvanced means that the replica had received no more, that the inquiry failed or
	// timed out, or that there was no replica to ask.
	notAdvanced
	// busy means that no replica had capacity for the inquiry.
	busy
)

// inquireAny asks the first replica that has capacity. It starts with a replica that
// rotation selects.
func (waiter *Waiter) inquireAny(group *dbset.Group, rotation int, timeout time.Duration) result {
	replicas := group.ReplicasToAsk(waiter.Clock.Now())
	for i := range replicas {
		if result := waiter.inquireOne(group, replicas[(rotation+i)%len(replicas)].ID, timeout); result != busy {
			return result
		}
	}
	if len(replicas) == 0 {
		return notAdvanced
	}
	return busy
}

func (waiter *Waiter) inquireOne(group *dbset.Group, id string, timeout time.Duration) result {
	if waiter.Pools.HasScarceConns(id) && !waiter.Pools.HasIdle(id) {
		return busy
	}
	pool := waiter.Pools.Pool(id)
	if pool == nil {
		return notAdvanced
	}
	before := group.Received()
	// RequestReportIfIdle records the report, or a failure, in the group.
	report, err := promo.RequestReportIfIdle(group, pool, waiter.Clock, timeout)
	switch {
	case promo.IsBusy(err):
		return busy
	case err == nil && report.Received != before && report.Received.AtLeast(before):
		return advanced
	}
	return notAdvanced
}
