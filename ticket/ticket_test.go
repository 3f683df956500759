package ticket_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/ticket"
)

const validTicket = `{
  "number": 1,
  "id": "open-ledger",
  "upstreams": [{"name": "ledger1"}],
  "groups": [{
    "name": "ledger1.db1", "upstream": "ledger1", "connectionLimit": 25,
    "slots": [{"name": "a", "address": "10.0.0.1:5432", "control": "10.0.0.1:8008", "zone": "zone1"}]
  }]
}`

func decode(c *qt.C, text string) ticket.Ticket {
	found, err := ticket.Decode([]byte(text))
	c.Assert(err, qt.IsNil)
	return found
}

// Decode reports all problems of a ticket at once, each with its field and, if it is known,
// its line.
func TestDecodeProblems(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown field", "{\n \"number\": 1,\n \"label\": 2}", `line 3: label: is an unknown field`},
		{"wrong type", "{\n \"number\": \"one\"}", `line 2: number: is a string, want uint64`},
		{"broken text", "{\n \"number\": 1,,}", `line 2: ticket: invalid character ',' looking for beginning of object key string`},
		{"more text", `{"number":1,"id":"x","rules":[{"name":"r"}]} {}`, `line 1: ticket: is followed by more text`},
		{"touches nothing", `{"number": 1, "id": "x"}`, `ticket: touches nothing: it has no upstreams, groups or rules`},
		{"number and id", "{\"rules\": [{\"name\": \"r\"}]}", "number: is zero; the first ticket has number 1\nid: is empty"},
		{
			"group", "{\"number\": 1, \"id\": \"x\", \"groups\": [\n{\"name\": \"db1\", \"upstream\": \"u\",\n \"connectionLimit\": 0,\n \"slots\": [\n {\"name\": \"a\", \"address\": \"db.example:5432\", \"control\": \"10.0.0.1:80\", \"zone\": \"z\"}]}]}",
			"line 2: groups[0].name: \"db1\" is not of the form service.database\nline 3: groups[0].connectionLimit: is 0, want 1 to 100000\nline 5: groups[0].slots[0].address: \"db.example:5432\" is not an IP address with a port",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ticket.Decode([]byte(test.text))
			qt.Assert(t, err, qt.ErrorMatches, `(?s)\Q`+test.want+`\E.*`)
		})
	}
}

// Design rule 17: tickets apply in number order without gaps and replace items by name. A
// ticket that fails changes nothing.
func TestWith(t *testing.T) {
	c := qt.New(t)
	first, err := ticket.State{}.With(decode(c, validTicket))
	c.Assert(err, qt.IsNil)
	_, err = first.With(decode(c, validTicket))
	c.Assert(err, qt.ErrorIs, ticket.ErrOutOfOrder)

	dangling := ticket.Ticket{Number: 2, ID: "x", Upstreams: []ticket.Upstream{{Name: "ledger1", Removed: true}}}
	after, err := first.With(dangling)
	c.Assert(err, qt.ErrorMatches, `groups.ledger1.db1.upstream: "ledger1" is no upstream of the configuration`)
	c.Assert(after, qt.DeepEquals, first)

	leaving := ticket.Ticket{Number: 2, ID: "y", Upstreams: []ticket.Upstream{{Name: "ledger1", Leaving: true}}}
	after, err = first.With(leaving)
	c.Assert(err, qt.IsNil)
	group := after.Groups["ledger1.db1"]
	c.Assert(after.IsLeaving(group, group.Slots[0]), qt.IsTrue)
	c.Assert(first.IsLeaving(group, group.Slots[0]), qt.IsFalse)
	c.Assert(ticket.Diff(first, after), qt.HasLen, 1)
	c.Assert(ticket.Overlap(leaving, dangling), qt.DeepEquals, []string{"upstream ledger1"})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validTicket))
	f.Add([]byte(`{"groups":[{"slots":[{}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		found, err := ticket.Decode(text)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(found)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ticket.Decode(encoded); err != nil {
			t.Fatalf("ticket was refused after a round trip through JSON: %v", err)
		}
	})
}
