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

// The tables that callers use.
const (
	counterTable = "arrangement"
	pairTable    = "delivery"
)

// caller is one clerk, driver or kiosk. It does one thing after the other.
type caller struct {
	run    *Run
	name   string
	random *rand.Rand

	conn     *pgx.Conn
	target   int
	database string
	token    string
	sequence int
}

// opTimeout ends an operation that hangs; its verdict is unknown.
const opTimeout = 30 * time.Second

// reconnectPause is the pause after a failed connection.
const reconnectPause = 20 * time.Millisecond

// loop serves the caller's own schedule of arrivals until ctx ends. Arrivals
// are open-loop: the latency counts from the scheduled time, so that a stall
// shows in all that had to wait for it.
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
		caller.step(scheduled)
	}
}

func (caller *caller) step(scheduled time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), opTimeout)
	defer cancel()
	mix := caller.run.Mix
	if caller.conn != nil && caller.random.Float64() < mix.Roam {
		caller.close()
	}
	for caller.conn == nil {
		if err := caller.connect(ctx); err != nil {
			// Like a balancer, the next attempt goes to any VM.
			caller.run.countError(err)
			time.Sleep(reconnectPause)
			if ctx.Err() != nil {
				return
			}
		}
	}
	key := strconv.Itoa(caller.random.IntN(mix.Keys))
	dice := caller.random.Float64()
	switch {
	case dice < mix.Reads*mix.Aged:
		caller.read(ctx, key, mix.Staleness, scheduled)
	case dice < mix.Reads:
		caller.read(ctx, key, 0, scheduled)
	case dice < mix.Reads+(1-mix.Reads)*mix.Pairs:
		caller.pair(ctx, key, scheduled)
	case dice < mix.Reads+(1-mix.Reads)*(mix.Pairs+mix.Keyed):
		caller.addKeyed(ctx, key, scheduled)
	default:
		caller.add(ctx, key, scheduled)
	}
}

// connect goes to another VM, with or without the session token.
func (caller *caller) connect(ctx context.Context) error {
	targets := caller.run.Targets
	caller.target = caller.random.IntN(len(targets))
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", caller.name, targets[caller.target], caller.database))
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

// closeTimeout bounds the goodbye.
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

func (caller *caller) op(kind check.Kind, key string) check.Op {
	return check.Op{
		Kind:   kind,
		Caller: caller.name,
		VM:     caller.run.Targets[caller.target],
		Key:    caller.database + "/" + key,
		Start:  caller.run.now(),
	}
}

// finish records an operation and gives up a connection that broke.
func (caller *caller) finish(op check.Op, err error, scheduled time.Time) {
	op.End = caller.run.now()
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

// VerdictOf reads the verdict out of an error's DETAIL. An error without one
// says nothing about what ran.
func VerdictOf(err error) fault.Verdict {
	var upstream *pgconn.PgError
	if !errors.As(err, &upstream) {
		if pgconn.SafeToRetry(err) {
			return fault.NotRun
		}
		return fault.Unknown
	}
	switch {
	case strings.Contains(upstream.Detail, "verdict="+fault.NotRun.String()):
		return fault.NotRun
	case strings.Contains(upstream.Detail, "verdict="+fault.Ran.String()):
		return fault.Ran
	}
	return fault.Unknown
}

func (caller *caller) read(ctx context.Context, key string, staleness time.Duration, scheduled time.Time) {
	if staleness > 0 {
		if err := caller.set(ctx, "bramley.staleness", staleness.String()); err != nil {
			caller.finish(check.Op{Kind: check.Read, Caller: caller.name, Key: caller.database + "/" + key}, err, scheduled)
			return
		}
	}
	op := caller.op(check.Read, key)
	op.Staleness = staleness
	var text string
	err := caller.conn.QueryRow(ctx, "SELECT value FROM "+counterTable+" WHERE key = $1", caller.run.row(key)).Scan(&text)
	if errors.Is(err, pgx.ErrNoRows) {
		text, err = "0", nil
	}
	if err == nil {
		op.Value, err = strconv.ParseInt(text, 10, 64)
	}
	caller.finish(op, err, scheduled)
	if staleness > 0 && caller.conn != nil {
		if caller.set(ctx, "bramley.staleness", "") != nil {
			caller.close()
		}
	}
}

func (caller *caller) set(ctx context.Context, name, value string) error {
	_, err := caller.conn.Exec(ctx, "SET "+name+" = '"+value+"'")
	return err
}

const addQuery = "INSERT INTO " + counterTable + " (key, value) VALUES ($1, '1') ON CONFLICT (key) DO UPDATE SET value = " + counterTable + ".value + 1 RETURNING value"

func (caller *caller) add(ctx context.Context, key string, scheduled time.Time) {
	op := caller.op(check.Add, key)
	var text string
	err := caller.conn.QueryRow(ctx, addQuery, caller.run.row(key)).Scan(&text)
	if err == nil {
		op.Value, err = strconv.ParseInt(text, 10, 64)
	}
	caller.finish(op, err, scheduled)
}

// addKeyed increments with a request key, and asks for the outcome on another
// VM when that is unknown.
func (caller *caller) addKeyed(ctx context.Context, key string, scheduled time.Time) {
	caller.sequence++
	requestKey := fmt.Sprintf("%s-%s-%d", caller.run.Name, caller.name, caller.sequence)
	op := caller.op(check.Add, key)
	err := caller.set(ctx, "bramley.requestKey", requestKey)
	if err == nil {
		var text string
		if err = caller.conn.QueryRow(ctx, addQuery, caller.run.row(key)).Scan(&text); err == nil {
			op.Value, err = strconv.ParseInt(text, 10, 64)
		}
	}
	for err != nil && VerdictOf(err) == fault.Unknown && ctx.Err() == nil {
		outcome := caller.askOutcome(ctx, requestKey)
		if outcome == "committed" {
			// It ran once; which value it got isn't known, so it stays an
			// unknown increment in the history, and must not run again.
			break
		}
		if outcome == "aborted" {
			op.Verdict = fault.NotRun
			caller.finishSettled(op, scheduled)
			return
		}
	}
	caller.finish(op, err, scheduled)
}

func (caller *caller) finishSettled(op check.Op, scheduled time.Time) {
	op.End = caller.run.now()
	caller.run.record(op, time.Since(scheduled))
}

func (caller *caller) askOutcome(ctx context.Context, requestKey string) string {
	caller.close()
	if err := caller.connect(ctx); err != nil {
		time.Sleep(reconnectPause)
		return ""
	}
	if err := caller.set(ctx, "bramley.requestKey", requestKey); err != nil {
		return ""
	}
	var outcome string
	if err := caller.conn.QueryRow(ctx, "SHOW bramley.outcome").Scan(&outcome); err != nil {
		return ""
	}
	return outcome
}

// pair writes one mark to two rows in a transaction, and reads it back.
func (caller *caller) pair(ctx context.Context, key string, scheduled time.Time) {
	op := caller.op(check.Pair, key)
	caller.sequence++
	mark := fmt.Sprintf("%s-%d", caller.name, caller.sequence)
	err := pgx.BeginFunc(ctx, caller.conn, func(tx pgx.Tx) error {
		for _, half := range []string{"a", "b"} {
			if _, err := tx.Exec(ctx, "INSERT INTO "+pairTable+" (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value", caller.run.row(key)+half, mark); err != nil {
				return err
			}
		}
		var found string
		if err := tx.QueryRow(ctx, "SELECT value FROM "+pairTable+" WHERE key = $1", caller.run.row(key)+"a").Scan(&found); err != nil {
			return err
		}
		op.IsMixed = found != mark
		return nil
	})
	caller.finish(op, err, scheduled)
}
