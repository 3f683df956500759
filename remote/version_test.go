package remote_test

import (
	"bytes"
	"encoding/gob"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/remote"
)

// A request of a VM of an earlier version, as the build of baa2428 has written it, keeps its
// fields; whether it has arguments shows only by these.
func TestRequestOfEarlierVersion(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("testdata/requests-baa2428.gob")
	c.Assert(err, qt.IsNil)
	decoder := gob.NewDecoder(bytes.NewReader(data))
	for _, arguments := range []string{"", " x\r"} {
		var request remote.Request
		c.Assert(decoder.Decode(&request), qt.IsNil)
		c.Assert(request, qt.DeepEquals, remote.Request{
			Database: "db", Route: config.Route{Name: "db", Upstream: "svc", Timeout: time.Second}, Team: "red",
			Values: map[string]string{"a": "b\n"}, ID: "5c", Text: request.Text, Kind: remote.Prepared,
			Name: "s", Arguments: arguments, Definition: proto.Definition{Writes: true, Text: "q\r"},
			LastCommit: posn.Position{Term: 3, LSN: 12}, LastCommitAge: time.Second, Elapsed: time.Millisecond,
		})
		c.Assert(request.Call().Statement, qt.Equals, proto.Statement(proto.Execute{Name: "s", Arguments: arguments}))
	}
}

// What a VM of an earlier version reads of a request. It takes empty arguments for none.
func TestRequestToEarlierVersion(t *testing.T) {
	c := qt.New(t)
	request := remote.Request{Database: "db", Values: map[string]string{"a": ""}}.WithCall(
		proto.Call{ID: "5c", Text: "EXECUTE s x\r", Statement: proto.Execute{Name: "s", Arguments: "x\r", HasArguments: true}},
		proto.Definition{Writes: true, Text: "q\xff"},
	)
	var data bytes.Buffer
	c.Assert(gob.NewEncoder(&data).Encode(request), qt.IsNil)
	type former struct {
		Database        string
		Values          map[string]string
		ID, Text        string
		Kind            remote.Kind
		Name, Arguments string
		Definition      proto.Definition
	}
	var got former
	c.Assert(gob.NewDecoder(&data).Decode(&got), qt.IsNil)
	c.Assert(got, qt.DeepEquals, former{
		Database: "db", Values: map[string]string{"a": ""}, ID: "5c", Text: "EXECUTE s x\r", Kind: remote.Prepared,
		Name: "s", Arguments: "x\r", Definition: proto.Definition{Writes: true, Text: "q\xff"},
	})
}
