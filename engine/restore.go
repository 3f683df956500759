package engine

import (
	"time"

	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
)

const (
	// restoreTimeout limits the requests that prepare a connection for a session.
	restoreTimeout = 600 * time.Millisecond
	// maxPreparedPerConn is the number of prepared statements above which a
	// connection is reset.
	maxPreparedPerConn = 200
)

// request returns the database request for a call on a connection that restore has prepared
// for it.
func (session *Session) request(conn *dbpool.Conn, call proto.Call, minPosition posn.Position) proto.Request {
	if execute, ok := call.Statement.(proto.Execute); ok {
		return proto.ForwardPrepared{
			ID: call.ID, Name: conn.Prepared[session.prepared[execute.Name]],
			Arguments: execute.Arguments, HasArguments: execute.HasArguments, MinPosition: minPosition,
		}
	}
	return proto.Forward{ID: call.ID, Text: call.Text, MinPosition: minPosition}
}

// restoreCost returns a rank of the work needed before the session can use the
// connection: 0 for none, 1 for setting values, 2 for a possible reset.
func (session *Session) restoreCost(conn *dbpool.Conn) int {
	if session.valuesMatch(conn.Values) {
		return 0
	}
	if len(conn.Values) == 0 {
		return 1
	}
	return 2
}

// restore brings the values and the call's prepared statement on a connection in line
// with the session (rule 14), in one round trip. It resets nothing within a transaction.
func (session *Session) restore(conn *dbpool.Conn, call proto.Call, inTransaction bool) error {
	requests := session.setup(conn, call, inTransaction)
	if len(requests) == 0 {
		return nil
	}
	_, err := askAll(conn, requests)
	return err
}

// restoreAndStart is restore, followed in the same round trip by the start of a transaction,
// whose answer it returns. If a value can't be set, the transaction is rolled back with the
// connection, before a statement has run in it.
func (session *Session) restoreAndStart(conn *dbpool.Conn, call proto.Call, start proto.Start) (proto.Answer, error) {
	answers, err := askAll(conn, append(session.setup(conn, call, false), start))
	if err != nil {
		return proto.Answer{}, err
	}
	return answers[len(answers)-1], nil
}

// askAll sends requests that prepare a connection. All but a proto.Start have to succeed.
func askAll(conn *dbpool.Conn, requests []proto.Request) ([]proto.Answer, error) {
	answers, err := conn.AskAll(requests, restoreTimeout)
	if err != nil {
		return nil, err
	}
	for i, answer := range answers {
		if _, isStart := requests[i].(proto.Start); !isStart && answer.Code != proto.OK {
			return nil, proto.ErrLost
		}
	}
	return answers, nil
}

// setup returns the requests that restore sends, and records what they set.
func (session *Session) setup(conn *dbpool.Conn, call proto.Call, inTransaction bool) []proto.Request {
	var requests []proto.Request
	if !inTransaction && session.needsReset(conn) {
		requests = append(requests, proto.Reset{})
		clear(conn.Values)
		clear(conn.Prepared)
	}
	for name, value := range session.values {
		if connValue, ok := conn.Values[name]; !ok || connValue != value {
			requests = append(requests, proto.SetValue{Name: name, Value: value})
			conn.Values[name] = value
		}
	}
	if execute, ok := call.Statement.(proto.Execute); ok {
		definition := session.prepared[execute.Name]
		if _, ok := conn.Prepared[definition]; !ok {
			name := conn.NewName()
			requests = append(requests, proto.Define{Name: name, Definition: definition})
			conn.Prepared[definition] = name
		}
	}
	return requests
}

func (session *Session) needsReset(conn *dbpool.Conn) bool {
	if len(conn.Prepared) > maxPreparedPerConn {
		return true
	}
	for name := range conn.Values {
		if _, ok := session.values[name]; !ok {
			return true
		}
	}
	return false
}
