package match_test

import (
	"flag"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleydoor/bramleydoor/match"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
}

var (
	read   = proto.Forward{ID: "1", Text: "READ x"}
	commit = proto.Forward{ID: "2", Text: "COMMIT", IsCommit: true}
	begin  = proto.Start{ID: "3"}
	plain  = proto.Answer{}
	opened = proto.Answer{State: proto.Open}
	failed = proto.Answer{Code: proto.Busy}
)

func proven(proof string, state proto.State) proto.Answer {
	return proto.Answer{Rows: []string{"x"}, Proof: proof, State: state}
}

// at returns an answer at a position.
func at(lsn uint64, answer proto.Answer) proto.Answer {
	answer.Position = posn.Position{Term: 1, LSN: lsn}
	return answer
}

// The last answer's mismatch, after answers that match.
func TestCheck(t *testing.T) {
	type exchange struct {
		request proto.Request
		answer  proto.Answer
	}
	open := exchange{begin, opened}
	for name, test := range map[string]struct {
		exchanges []exchange
		want      match.Reason
	}{
		"statement":                       {[]exchange{{read, proven("a", proto.Idle)}, {read, proven("b", proto.Idle)}}, ""},
		"repeated proof":                  {[]exchange{{read, proven("a", proto.Idle)}, {read, proven("a", proto.Idle)}}, match.ProofRepeated},
		"repeated proof of a write":       {[]exchange{open, {read, proven("a", proto.Open)}, {commit, proven("a", proto.Open)}}, match.ProofRepeated},
		"proof of a statement for commit": {[]exchange{open, {commit, proven("a", proto.Open)}}, match.WrongState},
		"commit by the answer to begin":   {[]exchange{open, {commit, opened}}, match.NoProof},
		"statement without a proof":       {[]exchange{{proto.ForwardPrepared{}, plain}}, match.NoProof},
		"statement that opens":            {[]exchange{{read, proven("a", proto.Open)}}, match.WrongState},
		"begin by the answer to reset":    {[]exchange{{proto.Reset{}, plain}, {begin, plain}}, match.WrongState},
		"setting by a statement's answer": {[]exchange{{proto.SetValue{}, proven("a", proto.Idle)}}, match.UnexpectedProof},
		"definition by a report":          {[]exchange{{proto.Define{}, proto.Answer{Rows: []string{"replica"}}}}, match.UnexpectedRows},
		"report with a proof":             {[]exchange{{proto.GetReport{}, proven("a", proto.Idle)}}, match.UnexpectedProof},
		"report with two rows":            {[]exchange{{proto.Seal{}, proto.Answer{Rows: []string{"a", "b"}}}}, match.UnexpectedRows},
		"report without a row":            {[]exchange{{proto.GetReport{}, plain}}, match.UnexpectedRows},
		"rollback that leaves it open":    {[]exchange{open, {proto.AbortTransaction{}, opened}}, match.WrongState},
		"error that opens":                {[]exchange{{begin, proto.Answer{Code: proto.Busy, State: proto.Open}}}, match.WrongState},
		"error that ends a transaction":   {[]exchange{open, {read, failed}}, match.WrongState},
		"error that fails a transaction":  {[]exchange{open, {read, proto.Answer{Code: proto.ReadOnly, State: proto.Broken}}}, ""},
		"second error":                    {[]exchange{{read, failed}, {read, proven("a", proto.Idle)}, {read, failed}}, match.ErrorRepeated},
		"earlier position":                {[]exchange{{begin, at(2, opened)}, {proto.SetValue{}, at(1, opened)}}, match.EarlierPosition},
		"no position":                     {[]exchange{{begin, at(2, opened)}, {proto.SetValue{}, opened}}, ""},
		"refused commit":                  {[]exchange{open, {commit, failed}}, ""},
		"success in a failed transaction": {
			[]exchange{open, {read, proto.Answer{Code: proto.ReadOnly, State: proto.Broken}}, {read, proven("a", proto.Broken)}},
			match.WrongState,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var stream match.Stream
			last := len(test.exchanges) - 1
			for _, exchange := range test.exchanges[:last] {
				c.Assert(stream.Check(exchange.request, exchange.answer), qt.Equals, match.Reason(""))
			}
			c.Assert(stream.Check(test.exchanges[last].request, test.exchanges[last].answer), qt.Equals, test.want)
		})
	}
}

// The proofs of the last 128 statements are remembered.
func TestProofsAreRemembered(t *testing.T) {
	c := qt.New(t)
	var stream match.Stream
	for i := range 200 {
		c.Assert(stream.Check(read, proven(strconv.Itoa(i), proto.Idle)), qt.Equals, match.Reason(""))
	}
	for i := 72; i < 200; i++ {
		c.Assert(stream.Check(read, proven(strconv.Itoa(i), proto.Idle)), qt.Equals, match.ProofRepeated)
	}
}

// database answers requests on one connection as the databases' protocol says.
type database struct {
	hasErrors bool
	state     proto.State
	proofs    int
}

// answer draws the answer to a request.
func (database *database) answer(t *rapid.T, request proto.Request) proto.Answer {
	forward, isForward := request.(proto.Forward)
	_, isPrepared := request.(proto.ForwardPrepared)
	_, isStart := request.(proto.Start)
	_, isRollback := request.(proto.AbortTransaction)
	_, isReport := request.(proto.GetReport)
	isCommit := isForward && forward.IsCommit
	var answer proto.Answer
	switch {
	case isRollback:
		database.state = proto.Idle
	case database.state == proto.Broken && isCommit:
		answer.Code, database.state = proto.Aborted, proto.Idle
	case database.state == proto.Broken, isStart && database.state == proto.Open, isCommit && database.state == proto.Idle:
		answer.Code = proto.Malformed
	case database.hasErrors && rapid.IntRange(0, 3).Draw(t, "error") == 0:
		answer.Code = rapid.SampledFrom([]proto.Code{proto.Busy, proto.ReadOnly, proto.Lagging}).Draw(t, "code")
		if database.state == proto.Open && rapid.Bool().Draw(t, "fails") {
			database.state = proto.Broken
		}
	case isStart:
		database.state = proto.Open
	case isForward || isPrepared:
		database.proofs++
		answer.Proof = strconv.Itoa(database.proofs)
		if isCommit {
			database.state = proto.Idle
		}
	case isReport:
		answer.Rows = []string{"replica"}
	}
	answer.State = database.state
	return answer
}

// requests are those that may succeed in a state.
var requests = map[proto.State]*rapid.Generator[proto.Request]{
	proto.Idle:   rapid.SampledFrom([]proto.Request{read, begin, proto.ForwardPrepared{}, proto.SetValue{}, proto.Reset{}, proto.GetReport{}}),
	proto.Open:   rapid.SampledFrom([]proto.Request{read, commit, proto.ForwardPrepared{}, proto.SetValue{}, proto.AbortTransaction{}}),
	proto.Broken: rapid.SampledFrom([]proto.Request{read, commit, proto.AbortTransaction{}}),
}

// received is an answer as it arrives: the answer to the request of the given index.
type received struct {
	request int
	answer  proto.Answer
}

// isProven reports whether an answer is the success of a statement.
func isProven(answer proto.Answer) bool { return answer.Code == proto.OK && answer.Proof != "" }

// Answers in order match their requests, errors among them up to the first on the connection.
func TestOwnAnswersMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		database := database{hasErrors: true}
		var stream match.Stream
		for range rapid.IntRange(1, 40).Draw(t, "length") {
			request := requests[database.state].Draw(t, "request")
			answer := database.answer(t, request)
			want := match.Reason("")
			if answer.Code != proto.OK && stream.HasErred() {
				want = match.ErrorRepeated
			}
			if reason := stream.Check(request, answer); reason != want {
				t.Fatalf("answer %+v to %T: %q, want %q", answer, request, reason, want)
			}
			if want != "" {
				return
			}
		}
	})
}

// A database that answers twice, the second time late: no statement succeeds by an answer that
// is not its own, and nothing else by a statement's.
func TestLateSecondAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var database database
		var stream match.Stream
		// late has the second answers by the index of the request before whose answer they arrive.
		late := make(map[int][]received)
		var queue []received
		for i := range rapid.IntRange(1, 40).Draw(t, "length") {
			request := requests[database.state].Draw(t, "request")
			own := received{i, database.answer(t, request)}
			queue = append(append(queue, late[i]...), own)
			if rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
				before := i + rapid.IntRange(1, 3).Draw(t, "delay")
				late[before] = append(late[before], own)
			}
			got := queue[0]
			queue = queue[1:]
			if stream.Check(request, got.answer) != "" {
				return
			}
			if got.request != i && (isProven(got.answer) || isProven(own.answer)) {
				t.Fatalf("request %d (%T) got the answer of %d: %+v, not %+v", i, request, got.request, got.answer, own.answer)
			}
		}
	})
}

// BenchmarkCheck measures a statement's answer on a connection with a full ring of proofs.
func BenchmarkCheck(b *testing.B) {
	proofs := make([]string, 1024)
	for i := range proofs {
		proofs[i] = "7.1f3.c.2b.90e1c4d2a7b3f655" + strconv.Itoa(i)
	}
	var stream match.Stream
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		stream.Check(read, proto.Answer{Proof: proofs[i%len(proofs)]})
	}
}
