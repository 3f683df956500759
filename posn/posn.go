// Package posn has the log position of a database group and the session token
// that carries it.
//
// Rules (numbers as in docs/DESIGN.md):
//
//  1. A session's position is (term, LSN) per database group. The token is
//     authenticated with a keyed hash, so no VM has to remember a session. A
//     forged, damaged or foreign token is never believed; the caller then gets a
//     confirmed floor, which is at least as high as any genuine token.
package posn

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Position is a place in a database group's log. Positions are ordered by term
// first: everything acknowledged in an earlier term is part of the log of each
// later term (rule 8), so a higher term's position covers it.
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

// AtLeast reports whether position covers floor.
func (position Position) AtLeast(floor Position) bool { return position.Compare(floor) >= 0 }

// IsZero reports whether the position is before every log entry.
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

// Parse reads the form that String writes.
func Parse(text string) (Position, error) {
	term, lsn, ok := strings.Cut(text, "/")
	if !ok {
		return Position{}, errors.Newf("position %q has no '/'", text)
	}
	var position Position
	var err error
	if position.Term, err = strconv.ParseUint(term, 10, 64); err != nil {
		return Position{}, fmt.Errorf("term of position %q: %w", text, err)
	}
	if position.LSN, err = strconv.ParseUint(lsn, 10, 64); err != nil {
		return Position{}, fmt.Errorf("LSN of position %q: %w", text, err)
	}
	return position, nil
}
