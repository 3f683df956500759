package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/proto"
)

// outcome is what a database does with a request.
type outcome struct {
	// refusal is the error with which the request is refused; proto.OK runs it.
	refusal proto.Code
	// repeatBefore is the number of the request before whose answer this one's second answer
	// arrives; 0 is none.
	repeatBefore int
	// isRepeatedAtOnce is set if the second answer arrives before the next request is sent.
	isRepeatedAtOnce bool
}

// stutter opens connections to databases that answer requests twice, the second time late.
type stutter struct {
	proto.Dialer
	// outcomes are those of the requests on the first connection, by their number from 1.
	outcomes map[int]outcome
	dials    int
}

// stutterConn answers in order; second answers come in between.
type stutterConn struct {
	proto.DatabaseConn
	outcomes map[int]outcome
	count    int
	state    proto.State
	isUnread bool
	late     map[int][]proto.Answer
	queue    []proto.Answer
}

func (stutter *stutter) Dial(member dbset.Member, team string, timeout time.Duration) (proto.DatabaseConn, proto.Answer, error) {
	conn, answer, err := stutter.Dialer.Dial(member, team, timeout)
	stutter.dials++
	if err != nil || stutter.dials > 1 {
		return conn, answer, err
	}
	return &stutterConn{DatabaseConn: conn, outcomes: stutter.outcomes, late: make(map[int][]proto.Answer)}, answer, nil
}

func (conn *stutterConn) Ask(request proto.Request, timeout time.Duration) (proto.Answer, error) {
	conn.count++
	outcome := conn.outcomes[conn.count]
	answer := proto.Answer{Code: outcome.refusal, State: conn.state}
	if outcome.refusal == proto.OK {
		var err error
		if answer, err = conn.DatabaseConn.Ask(request, timeout); err != nil {
			return answer, err
		}
	}
	conn.state = answer.State
	conn.queue = append(append(conn.queue, conn.late[conn.count]...), answer)
	if outcome.repeatBefore > 0 {
		conn.late[outcome.repeatBefore] = append(conn.late[outcome.repeatBefore], answer)
	}
	if outcome.isRepeatedAtOnce {
		conn.queue, conn.isUnread = append(conn.queue, answer), true
	}
	answer, conn.queue = conn.queue[0], conn.queue[1:]
	return answer, nil
}

func (conn *stutterConn) HasUnread() bool { return conn.isUnread || len(conn.queue) > 0 }

func (conn *stutterConn) IsAlive() bool { return !conn.HasUnread() && conn.DatabaseConn.IsAlive() }

func (conn *stutterConn) AskAll(requests []proto.Request, timeout time.Duration) ([]proto.Answer, error) {
	var answers []proto.Answer
	for _, request := range requests {
		answer, err := conn.Ask(request, timeout)
		if err != nil {
			return nil, err
		}
		answers = append(answers, answer)
	}
	return answers, nil
}

// stutterPools returns pools of one connection to each database; the first one that is opened
// stutters.
func (fixture *fixture) stutterPools(outcomes map[int]outcome) *dbpool.Set {
	pools := &dbpool.Set{
		Dialer: &stutter{Dialer: fixture.upstream, outcomes: outcomes}, Clock: clock.System{},
		Share: func(string) int { return 1 }, Log: fixture.engine.Log, Stats: fixture.engine.Stats,
	}
	pools.SetMembers(fixture.upstream.Members())
	return pools
}

// withStutter runs test with a session whose first connection to a database stutters.
func withStutter(t *testing.T, outcomes map[int]outcome, test func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn)) {
	t.Helper()
	withSessionOf(t, newFixture, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		fixture.engine.Pools = fixture.stutterPools(outcomes)
		test(c, fixture, caller)
	})
}

// check fails if a statement's success is not that of its own last run, or if a request that
// was answered as not run is committed. Texts of statements are unique.
func (fixture *fixture) check(c *qt.C, text string, answer proto.Answer) {
	c.Helper()
	var last fakeup.Run
	commits := 0
	for _, run := range fixture.upstream.Runs() {
		if run.Text != text {
			continue
		}
		last = run
		if !run.Committed.IsZero() {
			commits++
		}
	}
	c.Check(commits <= 1, qt.IsTrue, qt.Commentf("%s was committed %d times", text, commits))
	switch {
	case answer.Code == proto.OK:
		c.Check(answer.Proof, qt.Equals, last.Proof, qt.Commentf("proof of %s", text))
		c.Check(answer.Rows, qt.DeepEquals, []string{text})
	case answer.Code.DidNotRun():
		c.Check(commits, qt.Equals, 0, qt.Commentf("%s was answered as %v", text, answer.Code))
	}
}

// MIXED: a single read or write got the late second answer to the statement before it on the
// connection, and so did each later one.
func TestSingleStatementGetsNoEarlierAnswer(t *testing.T) {
	for _, first := range []proto.Statement{read, write} {
		for _, second := range []proto.Statement{read, write} {
			for _, before := range []int{2, 3} {
				withStutter(t, map[int]outcome{1: {repeatBefore: before}}, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
					for i, statement := range []proto.Statement{first, second, second, read} {
						text := "READ " + string(rune('a'+i))
						if statement == write {
							text = "WRITE " + string(rune('a'+i))
						}
						fixture.check(c, text, caller.Ask(statement, text))
					}
				})
			}
		}
	}
}

// MIXED: a transaction's statement got the late second answer to BEGIN, or to a statement before
// it.
func TestStatementInTransactionGetsNoEarlierAnswer(t *testing.T) {
	for _, outcomes := range []map[int]outcome{{1: {repeatBefore: 2}}, {1: {repeatBefore: 3}}, {2: {repeatBefore: 3}}, {2: {repeatBefore: 4}}} {
		withStutter(t, outcomes, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
			caller.Ask(begin, "BEGIN")
			for _, text := range []string{"READ a", "READ b", "READ c"} {
				fixture.check(c, text, caller.Ask(read, text))
			}
		})
	}
}

// MIXED, LOST: a COMMIT was acknowledged by the late second answer to a WRITE or to BEGIN.
func TestCommitIsNotAcknowledgedByEarlierAnswer(t *testing.T) {
	for _, outcomes := range []map[int]outcome{{2: {repeatBefore: 3}}, {1: {repeatBefore: 3}}} {
		withStutter(t, outcomes, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
			caller.Ask(begin, "BEGIN")
			fixture.check(c, "WRITE a 1", caller.Ask(write, "WRITE a 1"))
			answer := caller.Ask(commit, "COMMIT")
			c.Check(answer.Code, qt.Equals, proto.InDoubt)
		})
	}
}

// A COMMIT of a transaction that only reads and got the answer to another request: the outcome
// is of no consequence to the caller, so it is told to retry.
func TestReadOnlyCommitWithEarlierAnswerIsAborted(t *testing.T) {
	withStutter(t, map[int]outcome{2: {repeatBefore: 3}}, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		caller.Ask(proto.Begin{ReadOnly: true}, "BEGIN READ")
		fixture.check(c, "READ a", caller.Ask(read, "READ a"))
		c.Check(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.Aborted)
	})
}

// PINNED, MIXED: answers to SET, PREPARE and RESET in one write were shifted by a late second
// answer, so that a statement got that to SET or PREPARE, or a value that was refused counted
// as set.
func TestSetupGetsNoEarlierAnswer(t *testing.T) {
	execute := proto.Execute{Name: "s1", Arguments: "x"}
	for number := 1; number <= 8; number++ {
		for late := 1; late <= 3; late++ {
			withStutter(t, map[int]outcome{number: {repeatBefore: number + late}}, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
				other := fixture.open("current")
				c.Assert(other.Start().Code, qt.Equals, proto.OK)
				defer other.Leave()
				sessions := []*fakeup.CallerConn{caller, other}
				for i, session := range sessions {
					name := string(rune('a' + i))
					session.Ask(proto.Assign{Name: name, Value: "1"}, "")
					session.Ask(proto.Prepare{Name: "s1", Definition: proto.Definition{Text: name}}, "")
				}
				for range 3 {
					for i, session := range sessions {
						answer := session.Ask(execute, "EXECUTE s1 x")
						if answer.Code == proto.OK {
							c.Check(answer.Rows, qt.DeepEquals, []string{"READ " + string(rune('a'+i)) + " x"})
						}
					}
				}
				for _, run := range fixture.upstream.Runs() {
					c.Check(run.Values, qt.DeepEquals, map[string]string{string(run.Text[5]): "1"})
				}
			})
		}
	}
}

// MIXED: the late second answer to the ROLLBACK of one session, on a connection that was
// returned to its pool, was taken for the answer to another session's statement.
func TestRollbackIsNotTheNextSessionsAnswer(t *testing.T) {
	for _, before := range []int{4, 5} {
		withStutter(t, map[int]outcome{3: {repeatBefore: before}}, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
			caller.Ask(begin, "BEGIN")
			caller.Ask(read, "READ a")
			caller.Ask(rollback, "ROLLBACK")
			other := fixture.open("current")
			c.Assert(other.Start().Code, qt.Equals, proto.OK)
			defer other.Leave()
			for _, text := range []string{"READ b", "READ c"} {
				fixture.check(c, text, other.Ask(read, text))
			}
		})
	}
}

// TWICE, REFUSED, MIXED: the late second answer of a refused request was taken for the answer to
// the next statement, which counted as not run, and was run again or reported as refused.
func TestRepeatedErrorIsNotTheNextStatementsAnswer(t *testing.T) {
	for _, code := range []proto.Code{proto.Busy, proto.ReadOnly, proto.Lagging, proto.Failed} {
		for _, before := range []int{2, 3} {
			withStutter(t, map[int]outcome{1: {refusal: code, repeatBefore: before}}, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
				for _, text := range []string{"WRITE a 1", "WRITE b 1"} {
					fixture.check(c, text, caller.Ask(write, text))
					fixture.renewLease()
				}
				fixture.check(c, "READ c", caller.Ask(read, "READ c"))
			})
		}
	}
}

// TWICE: a statement of a transaction was run again, since the late second answer of its refusal
// was taken for that to its retry.
func TestStatementIsNotRunTwiceInTransaction(t *testing.T) {
	withStutter(t, map[int]outcome{2: {refusal: proto.Busy, repeatBefore: 3}}, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		caller.Ask(begin, "BEGIN")
		answer := caller.Ask(write, "WRITE a 1")
		fixture.check(c, "WRITE a 1", answer)
		if caller.Ask(commit, "COMMIT").Code == proto.OK {
			c.Check(runTexts(fixture.upstream.Runs()), qt.DeepEquals, []string{"a WRITE a 1", "a COMMIT"})
		}
	})
}

// REFUSED: a COMMIT was reported as not run, since the late second answer of an earlier refusal
// was taken for its own; it had run.
func TestCommitIsNotRefusedByEarlierAnswer(t *testing.T) {
	for _, code := range []proto.Code{proto.Busy, proto.Lagging} {
		// The first write is refused and retried, then come BEGIN, the write and COMMIT.
		for _, before := range []int{5, 6, 7} {
			withStutter(t, map[int]outcome{1: {refusal: code, repeatBefore: before}}, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
				fixture.check(c, "WRITE a 1", caller.Ask(write, "WRITE a 1"))
				caller.Ask(begin, "BEGIN")
				caller.Ask(write, "WRITE b 1")
				answer := caller.Ask(commit, "COMMIT")
				for _, run := range fixture.upstream.Runs() {
					isCommitted := run.Text == "COMMIT" && !run.Committed.IsZero()
					c.Check(isCommitted && answer.Code.DidNotRun(), qt.IsFalse, qt.Commentf("answered as %v", answer.Code))
				}
			})
		}
	}
}

// ONE, STALE: the late second report of a database was taken for its present one.
func TestEarlierReportIsNotBelieved(t *testing.T) {
	for _, outcomes := range []map[int]outcome{{1: {repeatBefore: 2}}, {1: {refusal: proto.Busy, repeatBefore: 2}}} {
		withSessionOf(t, newFixture, "current", func(c *qt.C, fixture *fixture, _ *fakeup.CallerConn) {
			pool := fixture.stutterPools(outcomes).Pool("a")
			ask := func(request proto.Request) (dbset.Report, error) {
				return promo.SendControl(fixture.group, pool, clock.System{}, request, time.Second)
			}
			_, _ = ask(proto.GetReport{})
			report, err := ask(proto.Demote{Term: 99})
			c.Check(err != nil || !report.Primary, qt.IsTrue, qt.Commentf("%+v, %v", report, err))
			c.Check(fixture.upstream.Primary(), qt.Equals, "")
			c.Check(promo.IsBusy(err), qt.IsFalse, qt.Commentf("a demotion that took effect counts as refused"))
		})
	}
}

// A COMMIT was sent after a second answer had arrived on its connection, and was in doubt; now it
// is not sent, so that its caller is told to retry.
func TestCommitIsNotSentAfterSecondAnswer(t *testing.T) {
	withStutter(t, map[int]outcome{2: {isRepeatedAtOnce: true}}, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		caller.Ask(begin, "BEGIN")
		caller.Ask(write, "WRITE a 1")
		c.Check(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.Aborted)
		c.Check(runTexts(fixture.upstream.Runs()), qt.DeepEquals, []string{"a WRITE a 1"})
		caller.Ask(begin, "BEGIN")
		caller.Ask(write, "WRITE a 1")
		c.Check(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.OK)
	})
}

// A write was in doubt since the setting before it on its connection had been answered twice; now
// it is sent on another connection.
func TestWriteIsSentElsewhereAfterSecondAnswer(t *testing.T) {
	withStutter(t, map[int]outcome{1: {isRepeatedAtOnce: true}}, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		caller.Ask(proto.Assign{Name: "a", Value: "1"}, "")
		answer := caller.Ask(write, "WRITE a 1")
		c.Check(answer.Code, qt.Equals, proto.OK)
		fixture.check(c, "WRITE a 1", answer)
		c.Check(runTexts(fixture.upstream.Runs()), qt.DeepEquals, []string{"a WRITE a 1"})
	})
}

// TWICE: the second answers to an earlier error and to a SET were taken for those to a write and to
// its barrier.
func TestWriteWithTwoEarlierAnswers(t *testing.T) {
	outcomes := map[int]outcome{1: {refusal: proto.Busy, repeatBefore: 5}, 3: {repeatBefore: 5}}
	withStutter(t, outcomes, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		fixture.check(c, "WRITE a", caller.Ask(write, "WRITE a"))
		caller.Ask(proto.Assign{Name: "zone", Value: "1"}, "SET zone 1")
		for _, text := range []string{"WRITE b", "WRITE c"} {
			fixture.check(c, text, caller.Ask(write, text))
		}
	})
}

// REFUSED: the second answers to an earlier error and to a SET were taken for those to a COMMIT and
// to its barrier, and a COMMIT that had run was answered as aborted.
func TestCommitWithTwoEarlierAnswers(t *testing.T) {
	// 1 BEGIN, 2 and 3 WRITE a, 4 SET, 5 WRITE b, 6 COMMIT
	outcomes := map[int]outcome{2: {refusal: proto.Busy, repeatBefore: 6}, 4: {repeatBefore: 6}}
	withStutter(t, outcomes, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		caller.Ask(begin, "BEGIN")
		fixture.check(c, "WRITE a", caller.Ask(write, "WRITE a"))
		caller.Ask(proto.Assign{Name: "zone", Value: "1"}, "SET zone 1")
		c.Assert(caller.Ask(write, "WRITE b").Code, qt.Equals, proto.OK)
		answer := caller.Ask(commit, "COMMIT")
		for _, run := range fixture.upstream.Runs() {
			isCommitted := run.Text == "COMMIT" && !run.Committed.IsZero()
			c.Check(isCommitted && answer.Code.DidNotRun(), qt.IsFalse, qt.Commentf("answered as %v", answer.Code))
		}
	})
}
