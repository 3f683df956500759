package trace_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/trace"
)

const mixedLogs = `
 13.1 vm2 {"event":3002,"group":"ledger","cause":"primarySilent","term":2,"time":"2026-04-20T12:00:02.5Z","vm":"vm2"}
{"event":2006,"request":"5c","group":"ledger","slot":"a","reason":"connectFailed","dispatch":"notDispatched","attempt":0,"afterMs":12,"time":"2026-04-20T12:00:02Z","vm":"vm1"}
{"event":3011,"group":"ledger","term":1,"slots":"a=primary/9/1/2/0","links":"a=1/0/4.0/0","time":"2026-04-20T12:00:01Z","vm":"vm1"}
{"event":3011,"group":"other","term":1,"slots":"x=primary","time":"2026-04-20T12:00:01.5Z","vm":"vm1"}
{"event":2005,"request":"5c","database":"lepu","code":"busy","reason":"noPrimary","attempt":1,"afterMs":400,"time":"2026-04-20T12:00:02.4Z","vm":"vm1"}
{"event":3002,"group":"other","term":9,"time":"2026-04-20T12:00:02.6Z","vm":"vm2"}
{"event":3002,"group":"ledger","term":3,"time":"2026-04-20T12:00:22.6Z","vm":"vm2"}
not a line
{"event":"what"}
`

// Explain prints the attempts of a request, the group state that the VM knew before
// them, and the group's events of that time. Other groups, later events and lines that
// are not events are left out.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	lines, err := trace.ReadLog(strings.NewReader(mixedLogs))
	c.Assert(err, qt.IsNil)
	var out strings.Builder
	c.Assert(trace.Explain(&out, "5c", lines), qt.IsNil)
	c.Assert(out.String(), qt.Equals, `12:00:02.000 vm1 2006 Request retried: group=ledger slot=a reason=connectFailed dispatch=notDispatched attempt=0 afterMs=12
    known 1s before: term=1 slots=a=primary/9/1/2/0 links=a=1/0/4.0/0
12:00:02.400 vm1 2005 Request refused: database=lepu code=busy reason=noPrimary attempt=1 afterMs=400
around that time:
    12:00:02.500 vm2 3002 Promotion begun: group=ledger term=2 cause=primarySilent
`)
	c.Assert(trace.Explain(&out, "5d", lines), qt.ErrorIs, trace.ErrNotLogged)
}

// Explain also finds a statement by the ID of the request that opened its transaction.
func TestExplainTransaction(t *testing.T) {
	c := qt.New(t)
	lines, err := trace.ReadLog(strings.NewReader(
		`{"event":2005,"request":"5f","transaction":"5e","database":"lepu","code":"aborted","reason":"answerLost","time":"2026-04-20T12:00:02.4Z","vm":"vm1"}`))
	c.Assert(err, qt.IsNil)
	var out strings.Builder
	c.Assert(trace.Explain(&out, "5e", lines), qt.IsNil)
	c.Assert(out.String(), qt.Equals, `12:00:02.400 vm1 2005 Request refused: transaction=5e database=lepu code=aborted reason=answerLost
around that time:
`)
}

// ExplainUnlogged prints the lines of the request's VM before and after the given time.
func TestExplainUnlogged(t *testing.T) {
	c := qt.New(t)
	lines, err := trace.ReadLog(strings.NewReader(`
{"event":4002,"error":"x","time":"2026-04-20T12:00:01Z","vm":"vm1"}
{"event":3002,"group":"ledger","cause":"primarySilent","term":2,"time":"2026-04-20T12:00:02Z","vm":"vm2"}
{"event":1001,"address":"10.0.0.1","zone":"a","time":"2026-04-20T12:00:04Z","vm":"vm1"}
`))
	c.Assert(err, qt.IsNil)
	var out strings.Builder
	at := time.Date(2026, 4, 20, 12, 0, 2, 0, time.UTC)
	c.Assert(trace.ExplainUnlogged(&out, trace.SentTo{VM: "vm1", At: at}, lines), qt.IsNil)
	c.Assert(out.String(), qt.Equals, `no log line names this request; the log lines of vm1 before and after it was sent:
    12:00:01.000 vm1 4002 Configuration refused: error=x
    12:00:04.000 vm1 1001 VM started: address=10.0.0.1 zone=a
around that time:
    12:00:01.000 vm1 4002 Configuration refused: error=x
    12:00:02.000 vm2 3002 Promotion begun: group=ledger term=2 cause=primarySilent
    12:00:04.000 vm1 1001 VM started: address=10.0.0.1 zone=a
`)
	c.Assert(trace.ExplainUnlogged(&out, trace.SentTo{VM: "vm9", At: at}, lines), qt.ErrorMatches, `the logs contain no line of VM "vm9"`)
}
