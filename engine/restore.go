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
	// restoreTimeout bounds one request that sets a connection up.
	restoreTimeout = 600 * time.Millisecond
	// maxShapes bounds the prepared statements of one connection.
	maxShapes = 200
)

// shapeName is the name under which a shape is prepared on connections. Names of
// callers collide, and the same shape serves all of them.
func shapeName(shape wires.Shape) string {
	kind := "r"
	if shape.Writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(xxhash.Sum64String(shape.Text), 36)
}

// request builds what a database is asked for a call.
func (session *Session) request(call wires.Call, floor posn.Position) wires.Request {
	if execute, ok := call.Statement.(wires.Execute); ok {
		name := shapeName(session.prepared[execute.Name])
		return wires.ForwardPrepared{ID: call.ID, Name: name, Arguments: execute.Arguments, Floor: floor}
	}
	return wires.Forward{ID: call.ID, Text: call.Text, Floor: floor}
}

// misfit counts what has to be set on a connection before the session uses it.
func (session *Session) misfit(link *conset.Link) int {
	if session.valuesFit(link.Values) {
		return 0
	}
	if len(link.Values) == 0 {
		return 1
	}
	return 2
}

// restore sets what differs between the session and a connection (rule 14).
// Within a transaction nothing is reset.
func (session *Session) restore(link *conset.Link, call wires.Call, inTransaction bool) error {
	if !inTransaction && session.needsReset(link) {
		if err := setUp(link, wires.Reset{}); err != nil {
			return err
		}
		clear(link.Values)
		clear(link.Shapes)
	}
	for name, value := range session.values {
		if known, ok := link.Values[name]; ok && known == value {
			continue
		}
		if err := setUp(link, wires.SetValue{Name: name, Value: value}); err != nil {
			return err
		}
		link.Values[name] = value
	}
	execute, ok := call.Statement.(wires.Execute)
	if !ok {
		return nil
	}
	shape := session.prepared[execute.Name]
	name := shapeName(shape)
	if _, ok := link.Shapes[name]; ok {
		return nil
	}
	if err := setUp(link, wires.Define{Name: name, Shape: shape}); err != nil {
		return err
	}
	link.Shapes[name] = shape
	return nil
}

func (session *Session) needsReset(link *conset.Link) bool {
	if len(link.Shapes) > maxShapes {
		return true
	}
	for name := range link.Values {
		if _, ok := session.values[name]; !ok {
			return true
		}
	}
	return false
}

func setUp(link *conset.Link, request wires.Request) error {
	answer, err := link.Ask(request, restoreTimeout)
	if err != nil {
		return err
	}
	if answer.Code != wires.OK {
		return wires.ErrLost
	}
	return nil
}
