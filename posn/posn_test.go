package posn_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/posn"
)

func newSigner(keys ...string) *posn.Signer {
	signer := &posn.Signer{}
	for _, key := range keys {
		signer.Keys = append(signer.Keys, []byte(key))
	}
	return signer
}

func ExampleSigner() {
	signer := &posn.Signer{Keys: [][]byte{[]byte("a key of at least 16 bytes")}}
	token := signer.Sign("ledger1.db1", posn.Position{Term: 3, LSN: 120})
	minPosition, err := signer.Verify("ledger1.db1", token)
	fmt.Println(minPosition, err)
	// Output: 3/120 <nil>
}

// Rule 1: only a genuine token of the same group is accepted.
func TestVerify(t *testing.T) {
	oldSigner, rotatedSigner := newSigner("old-key-0123456789"), newSigner("new-key-0123456789", "old-key-0123456789")
	token := oldSigner.Sign("ledger1.db1", posn.Position{Term: 2, LSN: 9})
	tests := []struct {
		name   string
		signer *posn.Signer
		group  string
		token  string
		want   error
	}{
		{"genuine", oldSigner, "ledger1.db1", token, nil},
		{"signed with the previous key", rotatedSigner, "ledger1.db1", token, nil},
		{"key removed", newSigner("new-key-0123456789"), "ledger1.db1", token, posn.ErrTokenForged},
		{"signed for another group", oldSigner, "ledger1.db2", token, posn.ErrTokenForged},
		{"version changed", oldSigner, "ledger1.db1", "B" + token[1:], posn.ErrTokenDamaged},
		{"position changed", oldSigner, "ledger1.db1", token[:3] + "Z" + token[4:], posn.ErrTokenForged},
		{"cut short", oldSigner, "ledger1.db1", token[:8], posn.ErrTokenDamaged},
		{"too long", oldSigner, "ledger1.db1", strings.Repeat("A", 4096), posn.ErrTokenDamaged},
		{"empty", oldSigner, "ledger1.db1", "", posn.ErrTokenDamaged},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			position, err := test.signer.Verify(test.group, test.token)
			qt.Assert(t, err, qt.Equals, test.want)
			qt.Assert(t, position.IsZero(), qt.Equals, test.want != nil)
		})
	}
}

func FuzzVerify(f *testing.F) {
	signer := newSigner("a key of at least 16 bytes")
	f.Add("ledger1.db1", signer.Sign("ledger1.db1", posn.Position{Term: 1, LSN: 2}))
	f.Add("", "AQ")
	f.Fuzz(func(t *testing.T, group, token string) {
		position, err := signer.Verify(group, token)
		if err == nil && signer.Sign(group, position) != token {
			t.Fatalf("forged token %q was verified as %s", token, position)
		}
	})
}
