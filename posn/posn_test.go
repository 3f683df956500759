package posn_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/posn"
)

func sealer(keys ...string) *posn.Sealer {
	made := &posn.Sealer{}
	for _, key := range keys {
		made.Keys = append(made.Keys, []byte(key))
	}
	return made
}

func ExampleSealer() {
	vm := &posn.Sealer{Keys: [][]byte{[]byte("a key of at least 16 bytes")}}
	token := vm.Seal("ledger1.db1", posn.Position{Term: 3, LSN: 120})
	seen, err := vm.Open("ledger1.db1", token)
	fmt.Println(seen, err)
	// Output: 3/120 <nil>
}

// Rule 1: only a genuine token of the same group is believed.
func TestOpen(t *testing.T) {
	old, now := sealer("old-key-0123456789"), sealer("new-key-0123456789", "old-key-0123456789")
	token := old.Seal("ledger1.db1", posn.Position{Term: 2, LSN: 9})
	tests := []struct {
		name   string
		sealer *posn.Sealer
		group  string
		token  string
		want   error
	}{
		{"genuine", old, "ledger1.db1", token, nil},
		{"signed with the key before", now, "ledger1.db1", token, nil},
		{"key removed", sealer("new-key-0123456789"), "ledger1.db1", token, posn.ErrTokenForged},
		{"of another group", old, "ledger1.db2", token, posn.ErrTokenForged},
		{"one character changed", old, "ledger1.db1", "B" + token[1:], posn.ErrTokenDamaged},
		{"position changed", old, "ledger1.db1", token[:3] + "Z" + token[4:], posn.ErrTokenForged},
		{"cut short", old, "ledger1.db1", token[:8], posn.ErrTokenDamaged},
		{"too long", old, "ledger1.db1", strings.Repeat("A", 4096), posn.ErrTokenDamaged},
		{"empty", old, "ledger1.db1", "", posn.ErrTokenDamaged},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			position, err := test.sealer.Open(test.group, test.token)
			qt.Assert(t, err, qt.Equals, test.want)
			qt.Assert(t, position.IsZero(), qt.Equals, test.want != nil)
		})
	}
}

func FuzzOpen(f *testing.F) {
	vm := sealer("a key of at least 16 bytes")
	f.Add("ledger1.db1", vm.Seal("ledger1.db1", posn.Position{Term: 1, LSN: 2}))
	f.Add("", "AQ")
	f.Fuzz(func(t *testing.T, group, token string) {
		position, err := vm.Open(group, token)
		if err == nil && vm.Seal(group, position) != token {
			t.Fatalf("%q was taken for %s", token, position)
		}
	})
}
