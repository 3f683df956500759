package posn_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/posn"
)

func newSealer(keys ...string) *posn.Sealer {
	sealer := &posn.Sealer{}
	for _, key := range keys {
		sealer.Keys = append(sealer.Keys, []byte(key))
	}
	return sealer
}

func ExampleSealer() {
	sealer := &posn.Sealer{Keys: [][]byte{[]byte("a key of at least 16 bytes")}}
	token := sealer.Seal("ledger1.db1", posn.Position{Term: 3, LSN: 120})
	minPosition, err := sealer.Open("ledger1.db1", token)
	fmt.Println(minPosition, err)
	// Output: 3/120 <nil>
}

// Rule 1: only a genuine token of the same group is accepted.
func TestOpen(t *testing.T) {
	oldSealer, rotatedSealer := newSealer("old-key-0123456789"), newSealer("new-key-0123456789", "old-key-0123456789")
	token := oldSealer.Seal("ledger1.db1", posn.Position{Term: 2, LSN: 9})
	tests := []struct {
		name   string
		sealer *posn.Sealer
		group  string
		token  string
		want   error
	}{
		{"genuine", oldSealer, "ledger1.db1", token, nil},
		{"signed with the previous key", rotatedSealer, "ledger1.db1", token, nil},
		{"key removed", newSealer("new-key-0123456789"), "ledger1.db1", token, posn.ErrTokenForged},
		{"sealed for another group", oldSealer, "ledger1.db2", token, posn.ErrTokenForged},
		{"version changed", oldSealer, "ledger1.db1", "B" + token[1:], posn.ErrTokenDamaged},
		{"position changed", oldSealer, "ledger1.db1", token[:3] + "Z" + token[4:], posn.ErrTokenForged},
		{"cut short", oldSealer, "ledger1.db1", token[:8], posn.ErrTokenDamaged},
		{"too long", oldSealer, "ledger1.db1", strings.Repeat("A", 4096), posn.ErrTokenDamaged},
		{"empty", oldSealer, "ledger1.db1", "", posn.ErrTokenDamaged},
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
	sealer := newSealer("a key of at least 16 bytes")
	f.Add("ledger1.db1", sealer.Seal("ledger1.db1", posn.Position{Term: 1, LSN: 2}))
	f.Add("", "AQ")
	f.Fuzz(func(t *testing.T, group, token string) {
		position, err := sealer.Open(group, token)
		if err == nil && sealer.Seal(group, position) != token {
			t.Fatalf("forged token %q was opened as %s", token, position)
		}
	})
}
