package relay_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/httpkv"
	"github.com/bramleydoor/bramleydoor/peer"
	"github.com/bramleydoor/bramleydoor/relay"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/store"
	"github.com/bramleydoor/bramleydoor/ticket"
)

func startStore(c *qt.C) (context.Context, *fakekv.Server, store.Store) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	c.Cleanup(cancel)
	server := &fakekv.Server{}
	c.Assert(server.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(server.Stop)
	return ctx, server, &httpkv.Client{Base: server.URL(), ReadRate: 1000, WriteRate: 1000}
}

func rule(number uint64, id, name string) ticket.Ticket {
	return ticket.Ticket{Number: number, ID: id, Rules: []ticket.Rule{{Name: name}}}
}

// Rule 17: of two tickets with the same number the first is accepted, and the error for the
// second lists what both change. Submitting again after a lost answer succeeds.
func TestSubmit(t *testing.T) {
	c := qt.New(t)
	ctx, server, kv := startStore(c)
	server.SetFaults(fakekv.Faults{LoseWriteAnswers: 1})
	c.Assert(relay.Submit(ctx, kv, rule(1, "first", "slow")), qt.IsNil)
	c.Assert(relay.Submit(ctx, kv, rule(1, "first", "slow")), qt.IsNil)

	err := relay.Submit(ctx, kv, rule(1, "second", "slow"))
	c.Assert(err, qt.ErrorMatches, `number 1 is already used by ticket "first", which also changes rule slow.*`)
	err = relay.Submit(ctx, kv, rule(1, "second", "fast"))
	c.Assert(err, qt.ErrorMatches, `.*changes nothing that this ticket changes.*`)
	c.Assert(relay.Submit(ctx, kv, rule(3, "third", "fast")), qt.ErrorIs, ticket.ErrOutOfOrder)

	server.SetFaults(fakekv.Faults{Down: true})
	c.Assert(relay.Submit(ctx, kv, rule(2, "second", "fast")), qt.ErrorMatches, `nothing was submitted: cannot read the configuration.*`)
	server.SetFaults(fakekv.Faults{})
	state, tickets, err := relay.Load(ctx, kv)
	c.Assert(err, qt.IsNil)
	c.Assert(tickets, qt.HasLen, 1)
	c.Assert(state.Number, qt.Equals, uint64(1))
}

// Of concurrent submissions with the same number exactly one succeeds, also when the store's
// answers are lost.
func TestSubmitRace(t *testing.T) {
	c := qt.New(t)
	ctx, server, kv := startStore(c)
	server.SetFaults(fakekv.Faults{LoseWriteAnswers: 3})
	results := make(chan error, 5)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		go func() { results <- relay.Submit(ctx, kv, rule(1, id, "slow")) }()
	}
	accepted := 0
	for range 5 {
		if <-results == nil {
			accepted++
		}
	}
	c.Assert(accepted, qt.Equals, 1)
}

// newRelay returns a relay that queries peers with queryPeer, or one that watches the store
// if queryPeer is nil.
func newRelay(kv store.Store, queryPeer func(peer.TicketQuery) peer.TicketReply) *relay.Relay {
	return &relay.Relay{
		Store:        kv,
		Clock:        clock.System{},
		Stats:        &stats.Stats{},
		WatchesStore: func() bool { return queryPeer == nil },
		QueryPeer: func(_ context.Context, query peer.TicketQuery) (peer.TicketReply, string, error) {
			return queryPeer(query), "vm2", nil
		},
		OnChange: func(ticket.State) {},
	}
}

// A peer's reply with an older configuration or with tickets already applied is ignored. A
// ticket that can't be applied uses up its number and changes nothing else.
func TestRepliesThatChangeNothing(t *testing.T) {
	c := qt.New(t)
	ctx, _, kv := startStore(c)
	dangling := ticket.Ticket{Number: 2, ID: "dangling", Groups: []ticket.Group{{
		Name: "ledger1.db1", Upstream: "nobody", ConnectionLimit: 1,
		Slots: []ticket.Slot{{Name: "a", Address: "10.0.0.1:1", Control: "10.0.0.1:2", Zone: "z"}},
	}}}
	replies := make(chan peer.TicketReply, 8)
	replies <- peer.TicketReply{Tickets: []ticket.Ticket{rule(1, "one", "a"), dangling, rule(3, "three", "b")}}
	old := ticket.State{Number: 1, ID: "old"}
	replies <- peer.TicketReply{State: &old}
	replies <- peer.TicketReply{Tickets: []ticket.Ticket{rule(2, "other", "c")}}
	replies <- peer.TicketReply{Tickets: []ticket.Ticket{rule(4, "four", "d")}}
	done := make(chan struct{})
	follower := newRelay(kv, func(peer.TicketQuery) peer.TicketReply {
		select {
		case reply := <-replies:
			return reply
		default:
			close(done)
			<-ctx.Done()
			return peer.TicketReply{}
		}
	})
	runCtx, stop := context.WithCancel(ctx)
	go func() { _ = follower.Run(runCtx) }()
	<-done
	state := follower.State()
	stop()
	c.Assert(state.Number, qt.Equals, uint64(4))
	c.Assert(state.Groups, qt.HasLen, 0)
	c.Assert(state.Rules, qt.HasLen, 3)
}

// The configuration is loaded from the snapshot and the tickets after it, not from all
// tickets: with 203 of them it takes fewer than 10 calls.
func TestSnapshot(t *testing.T) {
	c := qt.New(t)
	ctx, server, kv := startStore(c)
	newRelayWithoutPeers := func(isWriter bool) *relay.Relay {
		created := newRelay(kv, nil)
		created.QueryPeer = func(context.Context, peer.TicketQuery) (peer.TicketReply, string, error) {
			return peer.TicketReply{}, "", errors.New("no peer")
		}
		created.WritesSnapshots = func() bool { return isWriter }
		return created
	}
	for number := range uint64(203) {
		text, err := json.Marshal(rule(number+1, "t", fmt.Sprint("rule", number%7)))
		c.Assert(err, qt.IsNil)
		_, err = kv.Put(ctx, relay.TicketKey(number+1), text, 0)
		c.Assert(err, qt.IsNil)
	}
	runCtx, stop := context.WithCancel(ctx)
	writer := newRelayWithoutPeers(true)
	go func() { _ = writer.Run(runCtx) }()
	for found, err := kv.Get(ctx, "snapshot"); found.Version == 0; found, err = kv.Get(ctx, "snapshot") {
		c.Assert(err, qt.IsNil)
	}
	stop()
	before := server.Calls.Load()
	state, tickets, err := relay.Load(ctx, kv)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Number, qt.Equals, uint64(203))
	c.Assert(state.Rules, qt.HasLen, 7)
	c.Assert(tickets, qt.HasLen, 3)
	c.Assert(server.Calls.Load()-before < 10, qt.IsTrue)
}

// A peer that is behind gets the tickets that it lacks, or the whole state if the VM that it
// asks no longer keeps all of these tickets.
func TestServeQuery(t *testing.T) {
	c := qt.New(t)
	ctx, _, kv := startStore(c)
	var queries uint64
	done := make(chan struct{})
	responder := newRelay(kv, func(query peer.TicketQuery) peer.TicketReply {
		if queries++; queries > 1100 {
			close(done)
			<-ctx.Done()
			return peer.TicketReply{}
		}
		return peer.TicketReply{Tickets: []ticket.Ticket{rule(query.After+1, "x", "a")}}
	})
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() { _ = responder.Run(runCtx) }()
	<-done
	c.Assert(responder.ServeQuery(ctx, peer.TicketQuery{After: 1098}).Tickets, qt.HasLen, 2)
	whole := responder.ServeQuery(ctx, peer.TicketQuery{After: 3})
	c.Assert(whole.Tickets, qt.HasLen, 0)
	c.Assert(whole.State.Number, qt.Equals, uint64(1100))
	c.Assert(responder.ServeQuery(ctx, peer.TicketQuery{After: 1100}).State, qt.IsNil)
}
