package fakeup

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/proto"
)

// CallerConn is a caller's connection whose calls come from a test. It implements
// proto.CallerConn.
type CallerConn struct {
	calls      chan proto.Call
	answers    chan proto.Answer
	interrupts chan struct{}
	// ended is closed once the process that serves the connection has ended; nil if it doesn't.
	ended     <-chan struct{}
	callCount int
}

// ErrClosed is returned by CallerConn.Next after CallerConn.Leave.
var ErrClosed = errors.New("caller closed the connection")

// NewCallerConn returns an open connection.
func NewCallerConn() *CallerConn {
	return &CallerConn{calls: make(chan proto.Call), answers: make(chan proto.Answer, 1), interrupts: make(chan struct{}, 1)}
}

// EndWith makes calls without an answer return proto.InDoubt once ended is closed.
func (callerConn *CallerConn) EndWith(ended <-chan struct{}) { callerConn.ended = ended }

// answer waits for an answer.
func (callerConn *CallerConn) answer() proto.Answer {
	select {
	case answer := <-callerConn.answers:
		return answer
	case <-callerConn.ended:
		return proto.Answer{Code: proto.InDoubt}
	}
}

// Next returns the next call of Ask. It returns proto.ErrIdle after wait, if that is not
// zero, or after Interrupt.
func (callerConn *CallerConn) Next(wait time.Duration) (proto.Call, error) {
	var timeout <-chan time.Time
	if wait > 0 {
		timeout = time.After(wait)
	}
	select {
	case call, ok := <-callerConn.calls:
		if !ok {
			return proto.Call{}, ErrClosed
		}
		return call, nil
	case <-timeout:
		return proto.Call{}, proto.ErrIdle
	case <-callerConn.interrupts:
		return proto.Call{}, proto.ErrIdle
	}
}

// Reply passes an answer to Start or Ask.
func (callerConn *CallerConn) Reply(answer proto.Answer) error {
	callerConn.answers <- answer
	return nil
}

// Interrupt makes the current or next Next return proto.ErrIdle.
func (callerConn *CallerConn) Interrupt() {
	select {
	case callerConn.interrupts <- struct{}{}:
	default:
	}
}

// Start returns the answer to the start of the session.
func (callerConn *CallerConn) Start() proto.Answer { return callerConn.answer() }

// Ask makes a call and returns its answer.
func (callerConn *CallerConn) Ask(statement proto.Statement, text string) proto.Answer {
	callerConn.callCount++
	return callerConn.Call(proto.Call{ID: fmt.Sprintf("call-%d", callerConn.callCount), Text: text, Statement: statement})
}

// Call makes a call with an ID of the test's and returns its answer.
func (callerConn *CallerConn) Call(call proto.Call) proto.Answer {
	select {
	case callerConn.calls <- call:
	case <-callerConn.ended:
	}
	return callerConn.answer()
}

// Send makes a call without waiting for its answer.
func (callerConn *CallerConn) Send(call proto.Call) { callerConn.calls <- call }

// Leave closes the connection; Next then returns ErrClosed.
func (callerConn *CallerConn) Leave() { close(callerConn.calls) }
