// Package group is the interface to the platform's control of database groups:
// terms, log positions, seals and promotion. Adapters register themselves.
package group

import (
	"context"
	"time"

	"github.com/bramleydoor/bramleydoor/kernel"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
)

// PositionParameter is the ParameterStatus in which a slot reports its log
// position whenever that differs from the last report on the connection:
//
//   - before a statement's rows, a position that the rows include at least;
//   - after them, a position that covers everything the rows came from;
//   - after a commit that wrote, the position of that commit.
const PositionParameter = "log_position"

// Control is what the platform offers for the slots of a group. A slot is
// named by its control address.
type Control interface {
	// Report asks one slot for its term and position.
	Report(ctx context.Context, slot string) (quorum.Report, error)
	// Progress asks the primary for what each slot held under its term. It
	// returns when that differs from after, or when wait has passed.
	Progress(ctx context.Context, slot string, after posn.Position, wait time.Duration) ([]quorum.Report, error)
	// Seal makes the slot refuse everything from terms below term. The report
	// is made after the seal; Granted says that this call raised the term. A slot
	// that sealed the same or a higher term changes nothing and reports that.
	Seal(ctx context.Context, slot string, term uint64) (quorum.Report, error)
	// Promote makes the slot the primary of the term that it sealed. It opens
	// the term with an entry of its own. It fails if the slot sealed another.
	Promote(ctx context.Context, slot string, term uint64) (quorum.Report, error)
}

// Opener makes a Control.
type Opener func() (Control, error)

// Adapters are the known kinds of group control.
var Adapters = kernel.NewRegistry[Opener]("group control")
