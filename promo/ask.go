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

// controlPriority goes before the requests of callers.
const controlPriority = -1

// ErrBusy says that the database had no room for a control request.
var ErrBusy = errors.New("database refused the control request")

// Ask makes one control request and takes the report in the answer.
func Ask(group *dbset.Group, pool *conset.Pool, clock clock.Clock, request wires.Request, timeout time.Duration) (dbset.Report, error) {
	id := pool.Member.ID
	began := clock.Now()
	link, err := pool.Get(admit.Want{Priority: controlPriority, Patience: timeout, ShortPatience: timeout}, nil)
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
