package vmrun_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/authn"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/proto"
)

// Rule 6 of the design page: a rotation of the key, and VMs that start during it, disturb no
// request and refuse no message.
func TestKeyRotation(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		for _, step := range []authn.Step{authn.AddKey, authn.UseKey, authn.RemoveKeys} {
			_, _, err := authn.Rotate(context.Background(), fleet.tree, step)
			c.Assert(err, qt.IsNil)
			started := fleet.start()
			for range 100 {
				c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
				time.Sleep(100 * time.Millisecond)
			}
			c.Assert(started.tryWrite(), qt.Equals, proto.OK)
		}
		for _, testVM := range fleet.vms {
			c.Check(testVM.vm.Stats.PeerRefused.Value(), qt.Equals, int64(0), qt.Commentf(testVM.name))
		}
		// The leases are still revoked at all VMs: a failover does not wait for their expiry.
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		gap := fleet.nonLeader().writeGap()
		c.Assert(gap < 3*time.Second, qt.IsTrue, qt.Commentf("gap %s", gap))
	})
}

// VMs that start together while the store loses the answers of writes agree on one key.
func TestKeyWithLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(0)
		defer fleet.close()
		fleet.tree.LoseSwapAnswers(6, 300*time.Millisecond)
		for range 3 {
			fleet.start()
		}
		time.Sleep(8 * time.Second)
		for _, testVM := range fleet.vms {
			c.Assert(testVM.tryWrite(), qt.Equals, proto.OK)
			c.Check(testVM.vm.Stats.PeerRefused.Value(), qt.Equals, int64(0), qt.Commentf(testVM.name))
		}
	})
}

// Foreign datagrams and connections are dropped and counted, and the VM serves on.
func TestForeignMessages(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		target := fleet.nonLeader()
		stranger := fleet.network.open("10.9.9.9", &atomic.Bool{})
		conn, err := fleet.network.dialFrom("10.9.9.9")(context.Background(), target.name+"@"+target.vm.Address)
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: front.example\r\nAccept: */*\r\n\r\n"))
		c.Assert(err, qt.IsNil)
		foreign := &authn.Authenticator{VM: "vm1@10.0.0.1", Keys: &authn.Ring{}, Process: 1 << 62}
		c.Assert(foreign.Keys.Install(authn.NewRecord(time.Now()), 1), qt.IsNil)
		forged, err := foreign.Seal(target.name+"@"+target.vm.Address, []byte("order"))
		c.Assert(err, qt.IsNil)
		for _, datagram := range [][]byte{forged, {}, []byte("\x9f\xff"), make([]byte, 300)} {
			_, err := stranger.WriteTo(datagram, &net.UDPAddr{IP: net.ParseIP(target.vm.Address)})
			c.Assert(err, qt.IsNil)
		}
		time.Sleep(time.Second)
		c.Assert(target.vm.Stats.PeerRefused.Value(), qt.Equals, int64(5))
		c.Assert(target.tryWrite(), qt.Equals, proto.OK)
	})
}
