package grants

import (
	"slices"

	"github.com/bramleydoor/bramleydoor/posn"
)

type kind uint8

const (
	kindAsk kind = iota + 1
	kindGrant
	kindRevoke
	kindRevoked
	// kindAskSome asks for the groups of its notes only.
	kindAskSome
)

// note is one group in a message.
type note struct {
	_        struct{} `cbor:",toarray"`
	Group    string
	Term     uint64
	Primary  string
	Start    posn.Position
	Position posn.Position
	AgeMS    int64
	// IsCut says that the asking VM can't reach the primary.
	IsCut bool
}

// message is a datagram.
type message struct {
	_     struct{} `cbor:",toarray"`
	Kind  kind
	From  string
	Seq   uint64
	Token uint64
	// News is what a keeper has heard from the store.
	News News
	// Notes has the granted groups, the group to revoke, or how the asking VM sees
	// the primaries: AgeMS is then how long ago each answered.
	Notes []note
}

// asksFor reports whether a question is for a group.
func (question message) asksFor(group string) bool {
	return question.Kind == kindAsk ||
		slices.ContainsFunc(question.Notes, func(note note) bool { return note.Group == group })
}

// News is how far a keeper follows the store, so that other VMs need not.
type News struct {
	_ struct{} `cbor:",toarray"`
	// Feeds are in the order that all VMs agree on.
	Feeds []Feed
	// VMs is how many VMs ask for grants.
	VMs int
	// DutyRevision is that of the keeper's record, DutyAgeMS how long ago, in ms,
	// it was sent.
	DutyRevision uint64
	DutyAgeMS    int64
}

// Feed is how far a keeper follows one prefix of the store.
type Feed struct {
	_ struct{} `cbor:",toarray"`
	// Changed is the revision of the last change.
	Changed uint64
	// AgeMS is how long ago, in ms, that was known to be the last.
	AgeMS int64
}

// Keeper is a VM that holds the duty.
type Keeper struct {
	VM    string
	Token uint64
}
