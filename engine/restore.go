package engine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/wires"
)

const (
	// restoreTimeout limits each request that prepares a connection for a session.
	restoreTimeout = 600 * time.Millisecond
	// maxPreparedPerLink is the number of prepared statements above which a
	// connection is reset.
	maxPreparedPerLink = 200
)

// preparedName returns the name under which a shape is prepared on connections. It is
// derived from the shape, since callers' own names collide and sessions with the same
// shape share one prepared statement.
func preparedName(shape wires.Shape) string {
	kind := "r"
	if shape.Writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(xxhash.Sum64String(shape.Text), 36)
}

// request returns the database request for a call.
func (session *Session) request(call wires.Call, minPosition posn.Position) wires.Request {
	if execute, ok := call.Statement.(wires.Execute); ok {
		name := preparedName(session.prepared[execute.Name])
		return wires.ForwardPrepared{ID: call.ID, Name: name, Arguments: execute.Arguments, Floor: minPosition}
	}
	return wires.Forward{ID: call.ID, Text: call.Text, Floor: minPosition}
}

// restoreCost returns a rank of the work needed before the session can use the
// connection: 0 for none, 1 for setting values, 2 for a possible reset.
func (session *Session) restoreCost(link *conset.Link) int {
	if session.valuesMatch(link.Values) {
		return 0
	}
	if len(link.Values) == 0 {
		return 1
	}
	return 2
}

// restore brings the values and the call's prepared statement on a connection in line
// with the session (rule 14). It resets nothing within a transaction.
func (session *Session) restore(link *conset.Link, call wires.Call, inTransaction bool) error {
	if !inTransaction && session.needsReset(link) {
		if err := sendSetup(link, wires.Reset{}); err != nil {
			return err
		}
		clear(link.Values)
		clear(link.Shapes)
	}
	for name, value := range session.values {
		if linkValue, ok := link.Values[name]; ok && linkValue == value {
			continue
		}
		if err := sendSetup(link, wires.SetValue{Name: name, Value: value}); err != nil {
			return err
		}
		link.Values[name] = value
	}
	execute, ok := call.Statement.(wires.Execute)
	if !ok {
		return nil
	}
	shape := session.prepared[execute.Name]
	name := preparedName(shape)
	if _, ok := link.Shapes[name]; ok {
		return nil
	}
	if err := sendSetup(link, wires.Define{Name: name, Shape: shape}); err != nil {
		return err
	}
	link.Shapes[name] = shape
	return nil
}

func (session *Session) needsReset(link *conset.Link) bool {
	if len(link.Shapes) > maxPreparedPerLink {
		return true
	}
	for name := range link.Values {
		if _, ok := session.values[name]; !ok {
			return true
		}
	}
	return false
}

func sendSetup(link *conset.Link, request wires.Request) error {
	answer, err := link.Ask(request, restoreTimeout)
	if err != nil {
		return err
	}
	if answer.Code != wires.OK {
		return wires.ErrLost
	}
	return nil
}
