package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/bramleydoor/bramleydoor/check"
	"github.com/bramleydoor/bramleydoor/fault"
)

// Tables that the callers read and write.
const (
	counterTable = "arrangement"
	pairTable    = "delivery"
)

// caller simulates one client of the database. It has one connection and runs one
// operation at a time.
type caller struct {
	run    *Run
	name   string
	random *rand.Rand

	conn *pgx.Conn
	// targetIndex is the index in run.Targets of the last target dialed.
	targetIndex int
	database    string
	// token is the latest session token; a connection reports it as a parameter.
	token string
	// sequence makes request keys and marks unique to the caller.
	sequence int
}

// operationTimeout limits one operation. The verdict of an operation that times
// out is unknown.
const operationTimeout = 30 * time.Second

// reconnectPause is the pause after a failed connection attempt.
const reconnectPause = 20 * time.Millisecond

// loop issues operations at random intervals until ctx ends. The arrivals are
// open-loop: the latency counts from the scheduled time, so that a stall shows in
// the latency of every operation that it delays.
func (caller *caller) loop(ctx context.Context) {
	defer caller.close()
	scheduled := time.Now()
	for ctx.Err() == nil {
		interval := caller.random.ExpFloat64() / caller.run.Mix.RatePerCaller
		scheduled = scheduled.Add(time.Duration(interval * float64(time.Second)))
		select {
		case <-time.After(time.Until(scheduled)):
		case <-ctx.Done():
			return
		}
		caller.runOperation(scheduled)
	}
}

// runOperation connects if necessary and runs one randomly chosen operation. It runs
// none if no connection succeeds within operationTimeout.
func (caller *caller) runOperation(scheduled time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	mix := caller.run.Mix
	if caller.conn != nil && caller.random.Float64() < mix.Roam {
		caller.close()
	}
	for caller.conn == nil {
		if err := caller.connect(ctx); err != nil {
			// The next attempt picks a VM at random, as a load balancer may.
			caller.run.countError(err)
			time.Sleep(reconnectPause)
			if ctx.Err() != nil {
				return
			}
		}
	}
	key := strconv.Itoa(caller.random.IntN(mix.Keys))
	draw := caller.random.Float64()
	switch {
	case draw < mix.Reads*mix.BoundedStaleness:
		caller.read(ctx, key, mix.MaxStaleness, scheduled)
	case draw < mix.Reads:
		caller.read(ctx, key, 0, scheduled)
	case draw < mix.Reads+(1-mix.Reads)*mix.Pairs:
		caller.pair(ctx, key, scheduled)
	case draw < mix.Reads+(1-mix.Reads)*(mix.Pairs+mix.Keyed):
		caller.addKeyed(ctx, key, scheduled)
	default:
		caller.add(ctx, key, scheduled)
	}
}

// connect opens a connection to a random VM. With the probability Mix.HandToken
// it passes the session token.
func (caller *caller) connect(ctx context.Context) error {
	targets := caller.run.Targets
	caller.targetIndex = caller.random.IntN(len(targets))
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", caller.name, targets[caller.targetIndex], caller.database))
	if err != nil {
		return err
	}
	if caller.run.Dial != nil {
		config.DialFunc = caller.run.Dial
	}
	if caller.token != "" && caller.random.Float64() < caller.run.Mix.HandToken {
		config.RuntimeParams["options"] = "-c bramley.session=" + caller.token
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	caller.conn = conn
	return nil
}

// closeTimeout limits how long closing a connection may take.
const closeTimeout = time.Second

func (caller *caller) close() {
	if caller.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = caller.conn.Close(ctx)
	caller.conn = nil
}

// op returns an operation that starts now.
func (caller *caller) op(kind check.Kind, key string) check.Op {
	return check.Op{
		Kind:   kind,
		Caller: caller.name,
		VM:     caller.run.Targets[caller.targetIndex],
		Key:    caller.database + "/" + key,
		Start:  caller.run.elapsed(),
	}
}

// finish records an operation, and then either discards a broken connection or
// keeps the session token that it reports.
func (caller *caller) finish(op check.Op, err error, scheduled time.Time) {
	op.End = caller.run.elapsed()
	op.OK = err == nil
	if err != nil {
		op.Verdict = VerdictOf(err)
		caller.run.countError(err)
	}
	caller.run.record(op, time.Since(scheduled))
	if caller.conn != nil && caller.conn.IsClosed() {
		caller.conn = nil
		return
	}
	if caller.conn != nil {
		caller.token = caller.conn.PgConn().ParameterStatus("bramley.session")
	}
}

// VerdictOf returns the verdict in the DETAIL field of a PostgreSQL error, or
// Unknown if there is none. For any other error it returns NotRun if the driver
// reports that it had sent nothing, and Unknown otherwise.
func VerdictOf(err error) fault.Verdict {
	var pgError *pgconn.PgError
	if !errors.As(err, &pgError) {
		if pgconn.SafeToRetry(err) {
			return fault.NotRun
		}
		return fault.Unknown
	}
	switch {
	case strings.Contains(pgError.Detail, "verdict="+fault.NotRun.String()):
		return fault.NotRun
	case strings.Contains(pgError.Detail, "verdict="+fault.Ran.String()):
		return fault.Ran
	}
	return fault.Unknown
}

// read reads a counter. A positive staleness is the staleness bound of the read, which is set
// as a session parameter and reset afterwards.
func (caller *caller) read(ctx context.Context, key string, staleness time.Duration, scheduled time.Time) {
	if staleness > 0 {
		if err := caller.setParameter(ctx, "bramley.staleness", staleness.String()); err != nil {
			caller.finish(check.Op{Kind: check.Read, Caller: caller.name, Key: caller.database + "/" + key}, err, scheduled)
			return
		}
	}
	op := caller.op(check.Read, key)
	op.MaxStaleness = staleness
	var valueText string
	err := caller.conn.QueryRow(ctx, "SELECT value FROM "+counterTable+" WHERE key = $1", caller.run.rowKey(key)).Scan(&valueText)
	if errors.Is(err, pgx.ErrNoRows) {
		valueText, err = "0", nil
	}
	if err == nil {
		op.Value, err = strconv.ParseInt(valueText, 10, 64)
	}
	caller.finish(op, err, scheduled)
	if staleness > 0 && caller.conn != nil {
		if caller.setParameter(ctx, "bramley.staleness", "") != nil {
			caller.close()
		}
	}
}

// setParameter sets a session parameter.
func (caller *caller) setParameter(ctx context.Context, name, value string) error {
	_, err := caller.conn.Exec(ctx, "SET "+name+" = '"+value+"'")
	return err
}

// incrementQuery increments a counter, and returns its new value.
const incrementQuery = "INSERT INTO " + counterTable + " (key, value) VALUES ($1, '1') ON CONFLICT (key) DO UPDATE SET value = " + counterTable + ".value + 1 RETURNING value"

func (caller *caller) add(ctx context.Context, key string, scheduled time.Time) {
	op := caller.op(check.Add, key)
	var valueText string
	err := caller.conn.QueryRow(ctx, incrementQuery, caller.run.rowKey(key)).Scan(&valueText)
	if err == nil {
		op.Value, err = strconv.ParseInt(valueText, 10, 64)
	}
	caller.finish(op, err, scheduled)
}

// addKeyed increments a counter with a request key. If the outcome is unknown it
// queries the outcome of that key on a random VM.
func (caller *caller) addKeyed(ctx context.Context, key string, scheduled time.Time) {
	caller.sequence++
	requestKey := fmt.Sprintf("%s-%s-%d", caller.run.Name, caller.name, caller.sequence)
	op := caller.op(check.Add, key)
	err := caller.setParameter(ctx, "bramley.requestKey", requestKey)
	if err == nil {
		var valueText string
		if err = caller.conn.QueryRow(ctx, incrementQuery, caller.run.rowKey(key)).Scan(&valueText); err == nil {
			op.Value, err = strconv.ParseInt(valueText, 10, 64)
		}
	}
	for err != nil && VerdictOf(err) == fault.Unknown && ctx.Err() == nil {
		outcome := caller.queryOutcome(ctx, requestKey)
		if outcome == "committed" {
			// The increment ran once, but the value that it returned is unknown.
			// It stays an operation of unknown outcome in the history and must not
			// be retried.
			break
		}
		if outcome == "aborted" {
			op.Verdict = fault.NotRun
			caller.finishAborted(op, scheduled)
			return
		}
	}
	caller.finish(op, err, scheduled)
}

// finishAborted records an operation that is known to have been aborted. It keeps
// the connection that reported this.
func (caller *caller) finishAborted(op check.Op, scheduled time.Time) {
	op.End = caller.run.elapsed()
	caller.run.record(op, time.Since(scheduled))
}

// queryOutcome reconnects and returns the outcome of a request key, or "" if the
// query failed.
func (caller *caller) queryOutcome(ctx context.Context, requestKey string) string {
	caller.close()
	if err := caller.connect(ctx); err != nil {
		time.Sleep(reconnectPause)
		return ""
	}
	if err := caller.setParameter(ctx, "bramley.requestKey", requestKey); err != nil {
		return ""
	}
	var outcome string
	if err := caller.conn.QueryRow(ctx, "SHOW bramley.outcome").Scan(&outcome); err != nil {
		return ""
	}
	return outcome
}

// pair writes the same unique mark to two rows in one transaction and reads one
// of them back. Another mark there means that transactions were mixed.
func (caller *caller) pair(ctx context.Context, key string, scheduled time.Time) {
	op := caller.op(check.Pair, key)
	caller.sequence++
	mark := fmt.Sprintf("%s-%d", caller.name, caller.sequence)
	err := pgx.BeginFunc(ctx, caller.conn, func(tx pgx.Tx) error {
		for _, suffix := range []string{"a", "b"} {
			if _, err := tx.Exec(ctx, "INSERT INTO "+pairTable+" (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value", caller.run.rowKey(key)+suffix, mark); err != nil {
				return err
			}
		}
		var readBack string
		if err := tx.QueryRow(ctx, "SELECT value FROM "+pairTable+" WHERE key = $1", caller.run.rowKey(key)+"a").Scan(&readBack); err != nil {
			return err
		}
		op.IsMixed = readBack != mark
		return nil
	})
	caller.finish(op, err, scheduled)
}
