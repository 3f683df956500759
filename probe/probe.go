// Package probe exchanges the short messages of the membership protocol between VMs: one
// UDP datagram each way, encoded as CBOR and authenticated by an HMAC. Larger calls go
// through package peer. Probes do not, since a connection to each VM of a large fleet
// would cost more memory and bytes than the probes themselves.
package probe

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bramleydoor/bramleydoor/member"
)

// Sizes of a datagram in bytes, and the timeout of a probe.
const (
	// MaxBytes bounds a datagram, so that the usual networks carry it in one packet.
	MaxBytes   = 1400
	macBytes   = 16
	nonceBytes = 8
	// Timeout bounds the wait for an answer to a probe.
	Timeout = 300 * time.Millisecond
)

// Errors for which a received datagram is rejected; see Endpoint.OnRejected.
var (
	// ErrInvalidMAC means that the HMAC does not match: the sender has another key,
	// or the datagram was damaged or truncated.
	ErrInvalidMAC = errors.New("datagram has an invalid HMAC")
	// ErrMalformed means that the datagram is too short or its CBOR is malformed.
	ErrMalformed = errors.New("malformed datagram")
)

// Message is a probe or its answer.
type Message struct {
	// From is the sender's VM ID.
	From    string   `cbor:"1,keyasint"`
	Updates []Update `cbor:"2,keyasint,omitempty"`
	// Target, if set, requests an indirect probe: the receiver probes that address, and
	// repeats it in its answer if the target answered.
	Target string `cbor:"3,keyasint,omitempty"`
	// Epoch is the epoch of the sender's view of the connection shares. IsWithinShare
	// reports that the sender's connections are within its share of that epoch.
	Epoch         uint64 `cbor:"4,keyasint,omitempty"`
	IsWithinShare bool   `cbor:"5,keyasint,omitempty"`
	// Number is the number of the last ticket in the sender's configuration.
	Number uint64 `cbor:"6,keyasint,omitempty"`
}

// Update is the compact wire form of a member.Member: a CBOR array without field names.
type Update struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Address     string
	Zone        string
	Incarnation uint64
	State       member.State
}

// FromMembers converts members to updates.
func FromMembers(members []member.Member) []Update {
	updates := make([]Update, len(members))
	for i, member := range members {
		updates[i] = Update{ID: member.ID, Address: member.Address, Zone: member.Zone, Incarnation: member.Incarnation, State: member.State}
	}
	return updates
}

// Members converts the message's updates to members.
func (message Message) Members() []member.Member {
	members := make([]member.Member, len(message.Updates))
	for i, update := range message.Updates {
		members[i] = member.Member{ID: update.ID, Address: update.Address, Zone: update.Zone, Incarnation: update.Incarnation, State: update.State}
	}
	return members
}

// Endpoint sends and answers probes on one socket. Set the exported fields before Run.
type Endpoint struct {
	Conn net.PacketConn
	Key  []byte
	// Answer returns the answer to a probe. It is called in a goroutine of its own, and
	// may make a probe itself.
	Answer func(message Message) Message
	// OnRejected, if set, is called for each rejected datagram with ErrInvalidMAC or
	// ErrMalformed.
	OnRejected func(remote string, err error)
	// IsBlocked, if set, reports the addresses to and from which datagrams are dropped; it
	// is for tests.
	IsBlocked func(address string) bool

	mu sync.Mutex
	// pending has, by nonce, the channel of each probe without an answer yet.
	pending map[uint64]chan Message
}

// The kinds of datagrams on the wire.
const (
	kindProbe  = 1
	kindAnswer = 2
)

// Run receives datagrams until ctx ends; then it closes the socket.
func (endpoint *Endpoint) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = endpoint.Conn.Close() })
	defer stop()
	buffer := make([]byte, MaxBytes)
	for {
		count, remote, err := endpoint.Conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			continue
		}
		if endpoint.isBlocked(remote.String()) {
			continue
		}
		kind, nonce, message, err := Decode(endpoint.Key, buffer[:count])
		if err != nil {
			if endpoint.OnRejected != nil {
				endpoint.OnRejected(remote.String(), err)
			}
			continue
		}
		if kind == kindAnswer {
			endpoint.deliver(nonce, message)
			continue
		}
		// The answer to an indirect probe is delayed by the probe of its target.
		go endpoint.sendAnswer(remote, nonce, message)
	}
}

func (endpoint *Endpoint) isBlocked(address string) bool {
	return endpoint.IsBlocked != nil && endpoint.IsBlocked(address)
}

func (endpoint *Endpoint) sendAnswer(remote net.Addr, nonce uint64, message Message) {
	datagram, err := Encode(endpoint.Key, kindAnswer, nonce, endpoint.Answer(message))
	if err == nil {
		_, _ = endpoint.Conn.WriteTo(datagram, remote)
	}
}

// deliver passes an answer to the Ask that waits for it, and ignores late ones.
func (endpoint *Endpoint) deliver(nonce uint64, message Message) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if answer, ok := endpoint.pending[nonce]; ok {
		delete(endpoint.pending, nonce)
		answer <- message
	}
}

// Ask sends a probe to an address and returns its answer. It fails after Timeout.
func (endpoint *Endpoint) Ask(ctx context.Context, address string, message Message) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return Message{}, err
	}
	nonce, answer := endpoint.register()
	defer endpoint.unregister(nonce)
	datagram, err := Encode(endpoint.Key, kindProbe, nonce, message)
	if err != nil {
		return Message{}, err
	}
	if !endpoint.isBlocked(address) {
		if _, err := endpoint.Conn.WriteTo(datagram, net.UDPAddrFromAddrPort(addrPort)); err != nil {
			return Message{}, err
		}
	}
	select {
	case received := <-answer:
		return received, nil
	case <-ctx.Done():
		return Message{}, errors.Wrapf(ctx.Err(), "no answer to the probe of %s", address)
	}
}

// register returns a random nonce and the channel for the answer that repeats it.
func (endpoint *Endpoint) register() (uint64, chan Message) {
	var random [nonceBytes]byte
	_, _ = rand.Read(random[:])
	nonce := binary.BigEndian.Uint64(random[:])
	answer := make(chan Message, 1)
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if endpoint.pending == nil {
		endpoint.pending = make(map[uint64]chan Message)
	}
	endpoint.pending[nonce] = answer
	return nonce, answer
}

func (endpoint *Endpoint) unregister(nonce uint64) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	delete(endpoint.pending, nonce)
}

// Encode encodes a datagram: the truncated HMAC-SHA256 of all that follows, the kind, the
// nonce that an answer repeats, and the message. It fails if the datagram would exceed
// MaxBytes.
func Encode(key []byte, kind byte, nonce uint64, message Message) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, err
	}
	datagram := make([]byte, macBytes, macBytes+1+nonceBytes+len(body))
	datagram = append(datagram, kind)
	datagram = binary.BigEndian.AppendUint64(datagram, nonce)
	datagram = append(datagram, body...)
	if len(datagram) > MaxBytes {
		return nil, errors.Newf("datagram has %d bytes, more than the limit of %d", len(datagram), MaxBytes)
	}
	copy(datagram, computeMAC(key, datagram[macBytes:]))
	return datagram, nil
}

// Decode authenticates and decodes a datagram. It returns ErrInvalidMAC or ErrMalformed
// if the datagram is invalid.
func Decode(key, datagram []byte) (kind byte, nonce uint64, message Message, err error) {
	if len(datagram) < macBytes+1+nonceBytes {
		return 0, 0, message, ErrMalformed
	}
	signed := datagram[macBytes:]
	if !hmac.Equal(datagram[:macBytes], computeMAC(key, signed)) {
		return 0, 0, message, ErrInvalidMAC
	}
	kind, nonce = signed[0], binary.BigEndian.Uint64(signed[1:])
	if err := cbor.Unmarshal(signed[1+nonceBytes:], &message); err != nil {
		return 0, 0, message, ErrMalformed
	}
	return kind, nonce, message, nil
}

// computeMAC returns the HMAC-SHA256 of bytes, truncated to macBytes.
func computeMAC(key, bytes []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(bytes)
	return mac.Sum(nil)[:macBytes]
}
