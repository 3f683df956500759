package engine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
)

const (
	// restoreTimeout limits each request that prepares a connection for a session.
	restoreTimeout = 600 * time.Millisecond
	// maxPreparedPerConn is the number of prepared statements above which a
	// connection is reset.
	maxPreparedPerConn = 200
)

// preparedName returns the name under which a definition is prepared on connections. It
// is derived from the definition, since callers' own names collide and sessions with the
// same definition share one prepared statement.
func preparedName(definition proto.Definition) string {
	kind := "r"
	if definition.Writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(xxhash.Sum64String(definition.Text), 36)
}

// request returns the database request for a call.
func (session *Session) request(call proto.Call, minPosition posn.Position) proto.Request {
	if execute, ok := call.Statement.(proto.Execute); ok {
		name := preparedName(session.prepared[execute.Name])
		return proto.ForwardPrepared{ID: call.ID, Name: name, Arguments: execute.Arguments, MinPosition: minPosition}
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
// with the session (rule 14). It resets nothing within a transaction.
func (session *Session) restore(conn *dbpool.Conn, call proto.Call, inTransaction bool) error {
	if !inTransaction && session.needsReset(conn) {
		if err := sendSetup(conn, proto.Reset{}); err != nil {
			return err
		}
		clear(conn.Values)
		clear(conn.Prepared)
	}
	for name, value := range session.values {
		if connValue, ok := conn.Values[name]; ok && connValue == value {
			continue
		}
		if err := sendSetup(conn, proto.SetValue{Name: name, Value: value}); err != nil {
			return err
		}
		conn.Values[name] = value
	}
	execute, ok := call.Statement.(proto.Execute)
	if !ok {
		return nil
	}
	definition := session.prepared[execute.Name]
	name := preparedName(definition)
	if _, ok := conn.Prepared[name]; ok {
		return nil
	}
	if err := sendSetup(conn, proto.Define{Name: name, Definition: definition}); err != nil {
		return err
	}
	conn.Prepared[name] = definition
	return nil
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

func sendSetup(conn *dbpool.Conn, request proto.Request) error {
	answer, err := conn.Ask(request, restoreTimeout)
	if err != nil {
		return err
	}
	if answer.Code != proto.OK {
		return proto.ErrLost
	}
	return nil
}
