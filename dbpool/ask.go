package dbpool

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/match"
	"github.com/bramleydoor/bramleydoor/proto"
)

// Reasons besides those of package match why what was received is not a request's answer.
const (
	// reasonInvalid means that it is not an answer.
	reasonInvalid match.Reason = "invalid"
	// reasonUnread means that an idle connection has received data.
	reasonUnread match.Reason = "unread"
)

// Ask sends a request and returns its answer; see proto.DatabaseConn.
func (conn *Conn) Ask(request proto.Request, timeout time.Duration) (proto.Answer, error) {
	answer, err := conn.DatabaseConn.Ask(request, timeout)
	if err != nil {
		conn.recordInvalid(request, err)
		return answer, err
	}
	conn.check(request, answer)
	return answer, nil
}

// AskAll sends requests together and returns their answers; see proto.DatabaseConn.
func (conn *Conn) AskAll(requests []proto.Request, timeout time.Duration) ([]proto.Answer, error) {
	answers, err := conn.DatabaseConn.AskAll(requests, timeout)
	if err != nil {
		conn.recordInvalid(requests[len(requests)-1], err)
		return answers, err
	}
	for i, answer := range answers {
		conn.check(requests[i], answer)
	}
	return answers, nil
}

// check records an answer that does not match its request.
func (conn *Conn) check(request proto.Request, answer proto.Answer) {
	if reason := conn.stream.Check(request, answer); reason != "" {
		conn.recordMismatch(request, reason, nil)
	}
}

// recordInvalid records an error that means that no answer was received, but something else.
func (conn *Conn) recordInvalid(request proto.Request, err error) {
	if errors.Is(err, proto.ErrInvalidAnswer) {
		conn.recordMismatch(request, reasonInvalid, err)
	}
}

// recordMismatch counts and logs that what was received is not the answer to a request; nil is
// none.
func (conn *Conn) recordMismatch(request proto.Request, reason match.Reason, err error) {
	if stats := conn.pool.Stats; stats != nil {
		stats.Answers.Add(string(reason), 1)
	}
	fields := event.Fields{"group": conn.Member.Group, "slot": conn.Member.ID, "reason": string(reason)}
	if request != nil {
		fields["request"], fields["kind"] = describe(request)
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	conn.pool.Log.Write(event.AnswerMismatched, fields)
}

// describe returns the ID and kind of a request for log lines.
func describe(request proto.Request) (id, kind string) {
	switch request := request.(type) {
	case proto.Forward:
		if request.IsCommit {
			return request.ID, "commit"
		}
		return request.ID, "statement"
	case proto.ForwardPrepared:
		return request.ID, "prepared"
	case proto.Start:
		return request.ID, "begin"
	case proto.AbortTransaction:
		return "", "rollback"
	case proto.GetReport, proto.Seal, proto.Unseal, proto.Demote:
		return "", "control"
	}
	return "", "setup"
}
