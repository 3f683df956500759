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
// slot is the control address of a slot.
type Control interface {
	// Report returns the term and position of one slot.
	Report(ctx context.Context, slot string) (quorum.Report, error)
	// Progress returns the positions of the slots in the term of the primary at slot.
	// It returns when the acknowledged position differs from after, or when wait has
	// passed.
	Progress(ctx context.Context, slot string, after posn.Position, wait time.Duration) ([]quorum.Report, error)
	// Seal makes the slot refuse everything from terms below term. The report is made
	// after the seal; its field Granted is set if this call raised the sealed term, which
	// counts as a vote for the term. A slot that has already sealed this or a higher term
	// does not change and reports the sealed term.
	Seal(ctx context.Context, slot string, term uint64) (quorum.Report, error)
	// Promote makes the slot the primary of term, which the slot must have sealed; it
	// fails if the sealed term is another one. The slot starts the term with a log
	// entry.
	Promote(ctx context.Context, slot string, term uint64) (quorum.Report, error)
}

// Opener creates a Control.
type Opener func() (Control, error)

// Adapters are the registered group control adapters by name.
var Adapters = kernel.NewRegistry[Opener]("group control")
