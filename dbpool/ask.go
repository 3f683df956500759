package dbpool

import (
	"slices"
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
	// reasonErrorAfterEarlier means that an error followed an earlier answer.
	reasonErrorAfterEarlier match.Reason = "errorAfterEarlier"
	// reasonUnread means that a connection has received data between two requests.
	reasonUnread match.Reason = "unread"
)

// ErrNotSent marks errors of requests that were not sent. They are marked as proto.ErrLost too.
var ErrNotSent = errors.New("request was not sent")

var (
	errUnusable = errors.Mark(errors.Mark(errors.New("connection has lost an answer before"), proto.ErrLost), ErrNotSent)
	errUnread   = errors.Mark(errors.Mark(errors.New("connection has received data ahead of the request"), proto.ErrLost), ErrNotSent)
)

// Ask sends a request and returns its answer; see proto.DatabaseConn. An answer that can't
// belong to the request is an error too. An error marked as ErrNotSent means that the request
// did not run. After an error the connection is not used any more.
func (conn *Conn) Ask(request proto.Request, timeout time.Duration) (proto.Answer, error) {
	if err := conn.checkUnread(request); err != nil {
		return proto.Answer{}, err
	}
	if conn.stream.NeedsBarrier(request) {
		answers, err := conn.askAll([]proto.Request{request}, timeout)
		if err != nil {
			return proto.Answer{}, err
		}
		return answers[0], nil
	}
	answer, err := conn.DatabaseConn.Ask(request, timeout)
	if err != nil {
		return proto.Answer{}, conn.lose(request, err)
	}
	if reason, ok := conn.stream.IsEarlier(request, answer); ok {
		if answer, err = conn.skipEarlier(request, answer, reason); err != nil {
			return proto.Answer{}, err
		}
	}
	if err := conn.check(request, answer); err != nil {
		return proto.Answer{}, err
	}
	return answer, nil
}

// skipEarlier reads on after an earlier answer until a statement's success has a new proof, and
// returns that. An error may be an earlier answer too, and nothing would show it.
func (conn *Conn) skipEarlier(request proto.Request, answer proto.Answer, reason match.Reason) (proto.Answer, error) {
	for isEarlier := true; isEarlier; {
		conn.recordMismatch(request, reason, nil)
		var err error
		if answer, err = conn.DatabaseConn.Receive(); err != nil {
			return proto.Answer{}, conn.lose(request, err)
		}
		if answer.Code != proto.OK {
			return proto.Answer{}, conn.refuse(request, reasonErrorAfterEarlier)
		}
		reason, isEarlier = conn.stream.IsEarlier(request, answer)
	}
	return answer, nil
}

// AskAll sends requests together and returns their answers; see Ask.
func (conn *Conn) AskAll(requests []proto.Request, timeout time.Duration) ([]proto.Answer, error) {
	if err := conn.checkUnread(requests[0]); err != nil {
		return nil, err
	}
	return conn.askAll(requests, timeout)
}

// askAll is AskAll without the check of unread data.
func (conn *Conn) askAll(requests []proto.Request, timeout time.Duration) ([]proto.Answer, error) {
	last := len(requests) - 1
	sent := requests
	if conn.stream.NeedsBarrier(requests[last]) {
		sent = append(slices.Clip(requests), conn.barrier())
	}
	answers, err := conn.DatabaseConn.AskAll(sent, timeout)
	if err != nil {
		return nil, conn.lose(requests[last], err)
	}
	for i, request := range requests {
		if err := conn.check(request, answers[i]); err != nil {
			return nil, err
		}
	}
	for i, answer := range answers[len(requests):] {
		if answer.Code != proto.OK || conn.stream.Check(sent[len(requests)+i], answer) != "" {
			return nil, conn.refuse(requests[last], match.NoBarrier)
		}
	}
	return answers[:len(requests)], nil
}

// barrier returns a request that changes nothing: it sets a value to what it is, or prepares a
// statement again under its name. On a connection without either it is a reset.
func (conn *Conn) barrier() proto.Request {
	for name, value := range conn.Values {
		return proto.SetValue{Name: name, Value: value}
	}
	for definition, name := range conn.Prepared {
		return proto.Define{Name: name, Definition: definition}
	}
	return proto.Reset{}
}

// IsAlive reports whether the idle connection appears to be open and may be used.
func (conn *Conn) IsAlive() bool { return !conn.isLost && conn.DatabaseConn.IsAlive() }

// checkUnread returns an error if the request must not be sent, since the connection has lost an
// answer or has received data after the last one. Pool.Get has checked that for the first
// request.
func (conn *Conn) checkUnread(request proto.Request) error {
	isChecked := conn.isChecked
	conn.isChecked = false
	switch {
	case conn.isLost:
		return errUnusable
	case !isChecked && conn.HasUnread():
		conn.isLost = true
		conn.recordMismatch(request, reasonUnread, nil)
		return errUnread
	}
	return nil
}

// check returns an error if an answer can't belong to its request.
func (conn *Conn) check(request proto.Request, answer proto.Answer) error {
	if reason := conn.stream.Check(request, answer); reason != "" {
		return conn.refuse(request, reason)
	}
	return nil
}

// refuse records that an answer is not that of its request and returns the error.
func (conn *Conn) refuse(request proto.Request, reason match.Reason) error {
	conn.isLost = true
	conn.recordMismatch(request, reason, nil)
	_, kind := describe(request)
	return errors.Mark(errors.Newf("answer on the connection does not match its request (%s): %s", kind, reason), proto.ErrLost)
}

// lose records that an answer was lost and returns its error.
func (conn *Conn) lose(request proto.Request, err error) error {
	conn.isLost = true
	if errors.Is(err, proto.ErrInvalidAnswer) {
		conn.recordMismatch(request, reasonInvalid, err)
	}
	return err
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
