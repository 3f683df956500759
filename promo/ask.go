package promo

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/admit"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/wires"
)

const (
	// controlPriority goes before the requests of callers, sparePriority after them.
	controlPriority = -1
	sparePriority   = 1000
	// spareWait is how long a spare request waits for room, or for a connection.
	spareWait = 50 * time.Millisecond
)

// ErrBusy says that the database had no room for a control request.
var ErrBusy = errors.New("database refused the control request")

// Ask makes one control request and takes the report in the answer.
func Ask(group *dbset.Group, pool *conset.Pool, clock clock.Clock, request wires.Request, timeout time.Duration) (dbset.Report, error) {
	want := admit.Want{Priority: controlPriority, Patience: timeout, ShortPatience: timeout}
	return ask(group, pool, clock, request, want, timeout)
}

// AskIfFree asks for a report if the database has room beyond what callers want of
// it; IsBusy tells that it has none.
func AskIfFree(group *dbset.Group, pool *conset.Pool, clock clock.Clock, timeout time.Duration) (dbset.Report, error) {
	want := admit.Want{Priority: sparePriority, Due: clock.Now(), Patience: spareWait}
	return ask(group, pool, clock, wires.Inquire{}, want, timeout)
}

// IsBusy reports whether a database had no room for a control request.
func IsBusy(err error) bool { return errors.Is(err, ErrBusy) || errors.Is(err, conset.ErrNoRoom) }

func ask(group *dbset.Group, pool *conset.Pool, clock clock.Clock, request wires.Request, want admit.Want, timeout time.Duration) (dbset.Report, error) {
	id := pool.Member.ID
	began := clock.Now()
	link, err := pool.Get(want, nil)
	if err != nil {
		if errors.Is(err, conset.ErrDial) || errors.Is(err, conset.ErrOther) {
			group.Failed(id, conset.IsRefused(err), clock.Now())
		}
		return dbset.Report{}, err
	}
	asked := clock.Now()
	answer, err := link.Ask(request, max(timeout-asked.Sub(began), timeout/2))
	if err != nil {
		link.Discard()
		group.Failed(id, false, clock.Now())
		return dbset.Report{}, err
	}
	link.Put()
	if answer.Code != wires.OK {
		return dbset.Report{}, errors.Wrap(ErrBusy, answer.Code.String())
	}
	group.Report(id, answer.Report, asked, clock.Now())
	return answer.Report, nil
}
