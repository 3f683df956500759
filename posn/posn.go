// Package posn defines positions in a database group's log and the session tokens
// that carry them.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  1. A session's position is (term, LSN) per database group. The token is
//     authenticated with a keyed hash, so VMs need no session state. A token that
//     is forged, malformed or of another group is ignored. The session then gets
//     a confirmed minimum position, which is at least as high as that of any
//     genuine token.
package posn

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Position identifies an entry in a database group's log. Positions are ordered
// by term first: every entry acknowledged in an earlier term is in the log of
// each later term (rule 8), so a position of a higher term covers it.
type Position struct {
	Term uint64 `json:"term"`
	LSN  uint64 `json:"lsn"`
}

// Compare returns -1, 0 or 1 as position is before, equal to or after other.
func (position Position) Compare(other Position) int {
	return cmp.Or(
		cmp.Compare(position.Term, other.Term),
		cmp.Compare(position.LSN, other.LSN),
	)
}

// AtLeast reports whether position covers minPosition.
func (position Position) AtLeast(minPosition Position) bool {
	return position.Compare(minPosition) >= 0
}

// IsZero reports whether the position is zero, which is before every log entry.
func (position Position) IsZero() bool { return position == Position{} }

// String formats the position as term/LSN.
func (position Position) String() string {
	return strconv.FormatUint(position.Term, 10) + "/" + strconv.FormatUint(position.LSN, 10)
}

// Max returns the later of two positions.
func Max(a, b Position) Position {
	if a.AtLeast(b) {
		return a
	}
	return b
}

// Parse parses the format of String, term/LSN.
func Parse(text string) (Position, error) {
	term, lsn, ok := strings.Cut(text, "/")
	if !ok {
		return Position{}, errors.Newf("position %q has no '/' between term and LSN", text)
	}
	var position Position
	var err error
	if position.Term, err = strconv.ParseUint(term, 10, 64); err != nil {
		return Position{}, fmt.Errorf("parse the term of position %q: %w", text, err)
	}
	if position.LSN, err = strconv.ParseUint(lsn, 10, 64); err != nil {
		return Position{}, fmt.Errorf("parse the LSN of position %q: %w", text, err)
	}
	return position, nil
}
