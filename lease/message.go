package lease

import (
	"slices"

	"github.com/bramleydoor/bramleydoor/posn"
)

type kind uint8

const (
	// kindRequestAll requests the leases of all groups.
	kindRequestAll kind = iota + 1
	// kindLease answers a request.
	kindLease
	// kindRevoke revokes the lease of one group.
	kindRevoke
	// kindRevokeAck acknowledges kindRevoke.
	kindRevokeAck
	// kindRequestSome requests the leases of the listed groups only.
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
	// AgeMS is in ms: in a lease, the age of Position; in a request, the time since
	// the primary last answered the requesting VM.
	AgeMS int64
	// IsUnreachable says that the requesting VM can't reach the primary, though it reaches
	// another database of the group.
	IsUnreachable bool
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
	// StoreState is the state of the store as the leader knows it.
	StoreState StoreState
	// Groups lists the leased groups, the group whose lease is revoked, or, in a
	// request, the groups as the requesting VM sees them.
	Groups []entry
}

// includes reports whether a request covers a group.
func (request message) includes(group string) bool {
	return request.Kind == kindRequestAll ||
		slices.ContainsFunc(request.Groups, func(entry entry) bool { return entry.Group == group })
}

// StoreState is the state of the store as the leader knows it. Other VMs use it instead of
// polling the store.
type StoreState struct {
	_ struct{} `cbor:",toarray"`
	// Feeds are in an order that is the same on all VMs.
	Feeds []Feed
	// VMs is the number of VMs that request leases.
	VMs int
	// LeaderRevision is the revision of the leader's record, LeaderAgeMS the time in
	// ms since that revision was sent to the store.
	LeaderRevision uint64
	LeaderAgeMS    int64
}

// Feed is how far the leader follows one key prefix of the store.
type Feed struct {
	_ struct{} `cbor:",toarray"`
	// Changed is the revision of the last change.
	Changed uint64
	// AgeMS is the time in ms since Changed was known to be the last change.
	AgeMS int64
}

// Leader identifies the leader.
type Leader struct {
	VM string
	// Token is the VM's fencing token.
	Token uint64
}
