package dbpool_test

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/stats"
)

// script is a connection to a database that gives the answers of a list, one for each request.
type script struct {
	answers   []proto.Answer
	requests  []proto.Request
	err       error
	isClosed  bool
	hasUnread bool
}

// Dial implements proto.Dialer.
func (script *script) Dial(dbset.Member, string, time.Duration) (proto.DatabaseConn, proto.Answer, error) {
	script.isClosed, script.hasUnread = false, false
	return script, proto.Answer{}, nil
}

func (script *script) Ask(request proto.Request, timeout time.Duration) (proto.Answer, error) {
	answers, err := script.AskAll([]proto.Request{request}, timeout)
	if err != nil {
		return proto.Answer{}, err
	}
	return answers[0], nil
}

func (script *script) AskAll(requests []proto.Request, _ time.Duration) ([]proto.Answer, error) {
	script.requests = append(script.requests, requests...)
	if script.err != nil {
		return nil, script.err
	}
	if len(script.answers) < len(requests) {
		return nil, proto.ErrLost
	}
	answers := script.answers[:len(requests)]
	script.answers = script.answers[len(requests):]
	return answers, nil
}

func (script *script) IsAlive() bool   { return !script.isClosed && !script.hasUnread }
func (script *script) HasUnread() bool { return script.hasUnread }
func (script *script) Close()          { script.isClosed = true }

// newScriptPool returns a pool whose connections are the script.
func newScriptPool(script *script, output io.Writer) (*dbpool.Pool, *stats.Stats) {
	counters := &stats.Stats{}
	logger := logrus.New()
	logger.SetOutput(output)
	return &dbpool.Pool{
		Member: dbset.Member{ID: "a", Group: "ledger"}, Dialer: script, Clock: clock.System{}, Share: func() int { return 1 },
		Log: event.NewLog(logger, "vm1"), Stats: counters,
	}, counters
}

func proven(proof string, state proto.State) proto.Answer {
	return proto.Answer{Proof: proof, State: state}
}

// Each answer that does not match its request is counted by reason and logged with the
// request's ID, and so is what was received but is not an answer, or on an idle connection.
func TestMismatchesAreRecorded(t *testing.T) {
	c := qt.New(t)
	script := &script{answers: []proto.Answer{proven("1", proto.Idle), proven("1", proto.Idle)}}
	var output bytes.Buffer
	pool, counters := newScriptPool(script, &output)
	conn := mustGet(c, pool)
	_, err := conn.Ask(proto.Forward{ID: "r1", Text: "READ x"}, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(stats.Counts(&counters.Answers), qt.HasLen, 0)
	_, _ = conn.Ask(proto.Forward{ID: "r2", Text: "READ y"}, time.Second)
	c.Check(output.String(), qt.Matches, `(?s).*event=2011.*group=ledger kind=statement reason=proofRepeated request=r2 slot=a.*`)
	conn.Discard()
	script.err = errors.Mark(errors.New("status is empty"), proto.ErrInvalidAnswer)
	conn = mustGet(c, pool)
	_, err = conn.Ask(proto.GetReport{}, time.Second)
	c.Assert(errors.Is(err, proto.ErrInvalidAnswer), qt.IsTrue)
	conn.Discard()
	mustGet(c, pool).Put()
	script.hasUnread = true
	mustGet(c, pool).Put()
	c.Check(stats.Counts(&counters.Answers), qt.DeepEquals, map[string]int64{"proofRepeated": 1, "invalid": 1, "unread": 1})
}

// MIXED: a connection whose answers were shifted by one was used on, and returned to its pool.
func TestConnWithMismatchIsClosed(t *testing.T) {
	c := qt.New(t)
	script := &script{answers: []proto.Answer{proven("1", proto.Idle), proven("1", proto.Idle), proven("2", proto.Idle)}}
	pool, _ := newScriptPool(script, io.Discard)
	conn := mustGet(c, pool)
	read := proto.Forward{ID: "1", Text: "READ x"}
	_, err := conn.Ask(read, time.Second)
	c.Assert(err, qt.IsNil)
	for range 2 {
		_, err = conn.Ask(read, time.Second)
		c.Check(errors.Is(err, proto.ErrLost), qt.IsTrue)
	}
	_, err = conn.AskAll([]proto.Request{read}, time.Second)
	c.Check(errors.Is(err, proto.ErrLost), qt.IsTrue)
	c.Check(script.requests, qt.HasLen, 2)
	c.Check(conn.IsAlive(), qt.IsFalse)
	conn.Put()
	c.Check(script.isClosed, qt.IsTrue)
}
