package promo

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/admit"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/proto"
)

const (
	// controlPriority is ahead of callers' requests, lowPriority behind them.
	controlPriority = -1
	lowPriority     = 1000
	// lowPriorityTimeout bounds how long a request of low priority queues for admission
	// or for a connection.
	lowPriorityTimeout = 50 * time.Millisecond
)

// ErrBusy means that the database answered but did not execute a control request; the
// message has the answer's code.
var ErrBusy = errors.New("database refused the control request")

// SendControl sends one control request ahead of all callers' requests, and applies the
// report in the answer to the group.
func SendControl(group *dbset.Group, pool *dbpool.Pool, clock clock.Clock, request proto.Request, timeout time.Duration) (dbset.Report, error) {
	admission := admit.Request{Priority: controlPriority, MaxWait: timeout, MaxStandingWait: timeout, IsControl: true}
	return sendRequest(group, pool, clock, request, admission, timeout)
}

// RequestReportIfIdle requests a report with a priority below that of callers'
// requests, so that it uses only capacity that they leave free. IsBusy recognizes the
// error if there is none.
func RequestReportIfIdle(group *dbset.Group, pool *dbpool.Pool, clock clock.Clock, timeout time.Duration) (dbset.Report, error) {
	admission := admit.Request{Priority: lowPriority, Due: clock.Now(), MaxWait: lowPriorityTimeout, IsControl: true}
	return sendRequest(group, pool, clock, proto.GetReport{}, admission, timeout)
}

// IsBusy reports whether err means that the database had no free capacity for a control
// request.
func IsBusy(err error) bool { return errors.Is(err, ErrBusy) || errors.Is(err, dbpool.ErrNoConn) }

// sendRequest waits for the answer until timeout ends, but at least half of timeout if
// getting a connection took long. A database that can't be reached or does not answer is
// reported to the group as failed; one without a free connection is not.
func sendRequest(group *dbset.Group, pool *dbpool.Pool, clock clock.Clock, request proto.Request, admission admit.Request, timeout time.Duration) (dbset.Report, error) {
	id := pool.Member.ID
	start := clock.Now()
	conn, err := pool.Get(admission, nil)
	if err != nil {
		switch {
		case errors.Is(err, dbpool.ErrDial):
			group.Failed(id, dbpool.IsRefused(err), clock.Now())
		case errors.Is(err, dbpool.ErrWrongDatabase):
			group.Absent(id, clock.Now())
		}
		return dbset.Report{}, err
	}
	sentAt := clock.Now()
	answer, err := conn.Ask(request, max(timeout-sentAt.Sub(start), timeout/2))
	if err != nil {
		conn.Discard()
		group.Failed(id, false, clock.Now())
		return dbset.Report{}, err
	}
	conn.Put()
	if answer.Code != proto.OK {
		return dbset.Report{}, errors.Wrap(ErrBusy, answer.Code.String())
	}
	group.Report(id, answer.Report, sentAt, clock.Now())
	return answer.Report, nil
}
