package probe_test

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/member"
	"github.com/bramleydoor/bramleydoor/probe"
)

var key = []byte("a key of at least 16 bytes")

// newEndpoint starts an endpoint on a free port. The channel receives the errors of
// rejected datagrams.
func newEndpoint(c *qt.C, key []byte, answer func(probe.Message) probe.Message) (*probe.Endpoint, chan error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	rejected := make(chan error, 8)
	endpoint := &probe.Endpoint{Conn: conn, Key: key, Answer: answer, OnRejected: func(_ string, err error) { rejected <- err }}
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go func() { _ = endpoint.Run(ctx) }()
	return endpoint, rejected
}

// A probe is answered if its sender has the key. A probe with another key is rejected
// without an answer.
func TestAskRequiresKey(t *testing.T) {
	c := qt.New(t)
	updates := probe.FromMembers([]member.Member{{ID: "vm2", Address: "10.0.0.2:1", Zone: "zone1", Incarnation: 7, State: member.Suspect}})
	server, rejected := newEndpoint(c, key, func(message probe.Message) probe.Message {
		return probe.Message{From: "vm2", Updates: message.Updates, Epoch: 3, IsWithinShare: true}
	})
	client, _ := newEndpoint(c, key, nil)
	got, err := client.Ask(context.Background(), server.Conn.LocalAddr().String(), probe.Message{From: "vm1", Updates: updates})
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, probe.Message{From: "vm2", Updates: updates, Epoch: 3, IsWithinShare: true})

	otherKey, _ := newEndpoint(c, []byte("another key of 16 bytes"), nil)
	_, err = otherKey.Ask(context.Background(), server.Conn.LocalAddr().String(), probe.Message{From: "vm3"})
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(<-rejected, qt.ErrorIs, probe.ErrInvalidMAC)
}

// Decode must not panic on any datagram, nor Encode on a message that Decode accepted.
func FuzzDecode(f *testing.F) {
	valid, err := probe.Encode(key, 1, 2, probe.Message{From: "vm1"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		kind, nonce, message, err := probe.Decode(key, datagram)
		if err != nil {
			return
		}
		if _, err := probe.Encode(key, kind, nonce, message); err != nil {
			t.Skip("encoded again, the message exceeds the limit of a datagram")
		}
	})
}
