// Package group is the interface to the platform's control of database groups: terms,
// log positions, sealing of terms, and promotion. Adapters register themselves in
// Adapters.
package group

import (
	"context"
	"time"

	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
)

// PositionParameter is the name of the ParameterStatus message in which a slot reports
// a log position, if it differs from the last one reported on the connection:
//
//   - before a statement's rows, a lower bound of the position that the rows include;
//   - after the rows, an upper bound of the position that they include;
//   - after a commit with writes, the position of the commit.
const PositionParameter = "log_position"

// Control is the platform's control interface to the slots of a group. The argument
// address is the control address of a slot.
type Control interface {
	// Report returns the term and position of the slot.
	Report(ctx context.Context, address string) (quorum.Report, error)
	// Progress asks the primary for the positions that each slot has reached in the
	// primary's term. It returns when the acknowledged position differs from after, or
	// when wait has passed.
	Progress(ctx context.Context, address string, after posn.Position, wait time.Duration) ([]quorum.Report, error)
	// Seal makes the slot refuse log entries of terms below term. The report is made
	// after the seal; its field Granted is set if this call raised the sealed term, which
	// counts as a vote for the term. A slot that has already sealed this or a higher term
	// does not change and reports the sealed term; this is no error.
	Seal(ctx context.Context, address string, term uint64) (quorum.Report, error)
	// Promote makes the slot the primary of term, which the slot must have sealed; it
	// fails if the sealed term is another one. The slot starts the term with its
	// opening entry.
	Promote(ctx context.Context, address string, term uint64) (quorum.Report, error)
}

// Opener creates a Control.
type Opener func() (Control, error)

// Adapters are the registered group control adapters by name.
var Adapters = kernel.NewRegistry[Opener]("group control")
