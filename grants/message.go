package grants

import (
	"slices"

	"github.com/bramleydoor/bramleydoor/posn"
)

type kind uint8

const (
	// kindRequestAll requests the grants of all groups.
	kindRequestAll kind = iota + 1
	// kindGrant answers a request.
	kindGrant
	// kindRevoke revokes the grant of one group.
	kindRevoke
	// kindRevokeAck acknowledges kindRevoke.
	kindRevokeAck
	// kindRequestSome requests the grants of the listed groups only.
	kindRequestSome
)

// entry is the part of a message that is about one group.
type entry struct {
	_        struct{} `cbor:",toarray"`
	Group    string
	Term     uint64
	Primary  string
	Start    posn.Position
	Position posn.Position
	// AgeMS is in ms: in a grant, the age of Position; in a request, the time since
	// the primary last answered the requesting VM.
	AgeMS int64
	// IsCut says that the requesting VM can't reach the primary, though it reaches
	// another database of the group.
	IsCut bool
}

// message is the content of a datagram.
type message struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	// From is the sender, as NAME@IP.
	From string
	// Seq is the number of a request or a revocation; the answer repeats it.
	Seq uint64
	// Token is the leader's fencing token.
	Token uint64
	// News is the state of the store as the leader knows it.
	News News
	// Notes lists the granted groups, the group whose grant is revoked, or, in a
	// request, the groups as the requesting VM sees them.
	Notes []entry
}

// includes reports whether a request covers a group.
func (request message) includes(group string) bool {
	return request.Kind == kindRequestAll ||
		slices.ContainsFunc(request.Notes, func(entry entry) bool { return entry.Group == group })
}

// News is the state of the store as a leader knows it. Other VMs use it instead of
// polling the store.
type News struct {
	_ struct{} `cbor:",toarray"`
	// Feeds are in an order that is the same on all VMs.
	Feeds []Feed
	// VMs is the number of VMs that request grants.
	VMs int
	// DutyRevision is the revision of the leader's record, DutyAgeMS the time in
	// ms since that revision was sent to the store.
	DutyRevision uint64
	DutyAgeMS    int64
}

// Feed is how far a leader follows one key prefix of the store.
type Feed struct {
	_ struct{} `cbor:",toarray"`
	// Changed is the revision of the last change.
	Changed uint64
	// AgeMS is the time in ms since Changed was known to be the last change.
	AgeMS int64
}

// Leader identifies the leader.
type Keeper struct {
	VM string
	// Token is the VM's fencing token.
	Token uint64
}
