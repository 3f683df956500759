package lease

import (
	"github.com/bramleydoor/bramleydoor/posn"
)

type kind uint8

const (
	// kindRequestAll requests the leases of all groups that the VM needs.
	kindRequestAll kind = iota + 1
	// kindLease answers a request.
	kindLease
	// kindRevoke revokes the lease of one group.
	kindRevoke
	// kindRevokeAck acknowledges kindRevoke.
	kindRevokeAck
	// kindRequestSome requests the leases of the listed groups only.
	kindRequestSome
	// kindProof tells the leader the primaries of groups whose leases it withholds.
	kindProof
)

// groupState is the part of a message that is about one group. A request for some groups
// and a revocation have only the name.
type groupState struct {
	_     struct{} `cbor:",toarray"`
	Group string
	// Term is the term of the lease or the proof; zero in a request.
	Term    uint64
	Primary string
	// Start is a position of the term that covers every entry retained from earlier
	// terms; zero in a request.
	Start posn.Position
	// Position is the primary's position as last observed by the leader; zero in a
	// request.
	Position posn.Position
	// In the acknowledgement of a revocation, Position covers all commits that the VM has
	// acknowledged to callers.
	//
	// AgeMS is in ms: in a lease, the age of Position; in a request, the time since
	// the primary last answered the requesting VM. In the acknowledgement of a revocation it is
	// at least 1; VMs of earlier versions, which don't set Position, leave it 0.
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
	// Token is the leader's fencing token, in a proof that of the leader to whom it is sent;
	// zero in a request.
	Token uint64
	// StoreState is set in the answer to a request only.
	StoreState StoreState
	// Groups lists the leased groups, the group whose lease is revoked, in a request for
	// all leases the needed groups as the requesting VM sees them, or in a request for
	// some the names of the groups.
	Groups []groupState
	// Set is the set whose leader is asked, or sends the message.
	Set int
}

// StoreState is the state of the store as the leader knows it. Other VMs use it instead of
// polling the store.
type StoreState struct {
	_ struct{} `cbor:",toarray"`
	// Feeds has the feed of the configuration, then that of the databases' registrations.
	Feeds []Feed
	// VMs is the number of VMs to which the leader issued leases within
	// dbset.LeaseDuration.
	VMs int
	// LeaderRevision is the revision of the leader's last confirmed renewal of its record,
	// LeaderAgeMS the time in ms since that renewal was sent to the store.
	LeaderRevision uint64
	LeaderAgeMS    int64
}

// Feed is how far the leader follows one key prefix of the store.
type Feed struct {
	_ struct{} `cbor:",toarray"`
	// Changed is the revision of the last change that the leader has read.
	Changed uint64
	// AgeMS is the time in ms, rounded up, since the leader last knew its copy of the
	// prefix to be complete; limited if it was never read.
	AgeMS int64
}

// Leader identifies the leader.
type Leader struct {
	VM string
	// Token is the VM's fencing token.
	Token uint64
	// Set is the set of groups that the VM leads.
	Set int
}
