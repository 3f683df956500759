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

func open(c *qt.C, key []byte, answer func(probe.Message) probe.Message) (*probe.Endpoint, chan error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	bad := make(chan error, 8)
	endpoint := &probe.Endpoint{Conn: conn, Key: key, Answer: answer, OnBad: func(_ string, err error) { bad <- err }}
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go func() { _ = endpoint.Run(ctx) }()
	return endpoint, bad
}

// Probes are answered to whoever knows the key, and to nobody else.
func TestAsk(t *testing.T) {
	c := qt.New(t)
	updates := probe.FromMembers([]member.Member{{ID: "vm2", Address: "10.0.0.2:1", Zone: "zone1", Incarnation: 7, State: member.Suspect}})
	answering, bad := open(c, key, func(message probe.Message) probe.Message {
		return probe.Message{From: "vm2", Updates: message.Updates, Epoch: 3, IsClosed: true}
	})
	asking, _ := open(c, key, nil)
	got, err := asking.Ask(context.Background(), answering.Conn.LocalAddr().String(), probe.Message{From: "vm1", Updates: updates})
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, probe.Message{From: "vm2", Updates: updates, Epoch: 3, IsClosed: true})

	stranger, _ := open(c, []byte("another key of 16 bytes"), nil)
	_, err = stranger.Ask(context.Background(), answering.Conn.LocalAddr().String(), probe.Message{From: "vm3"})
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(<-bad, qt.ErrorIs, probe.ErrStranger)
}

func FuzzOpen(f *testing.F) {
	good, err := probe.Seal(key, 1, 2, probe.Message{From: "vm1"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		kind, nonce, message, err := probe.Open(key, datagram)
		if err != nil {
			return
		}
		if _, err := probe.Seal(key, kind, nonce, message); err != nil {
			t.Skip("more than fits when written again")
		}
	})
}
