// Package probe carries the membership's short messages between VMs: one
// datagram each way, in CBOR, with a keyed hash. Calls that carry more go
// through package peer; a connection to each VM of a large fleet would cost more
// memory and bytes than the probes themselves.
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

// Limits of a message.
const (
	// MaxBytes keeps a message within one packet on usual networks.
	MaxBytes  = 1400
	hashBytes = 16
	nonceSize = 8
	// Timeout bounds the wait for an answer.
	Timeout = 300 * time.Millisecond
)

// Errors of a datagram; they are counted by who receives it.
var (
	ErrStranger = errors.New("datagram without the right key")
	ErrDamaged  = errors.New("damaged datagram")
)

// Message is a probe or its answer.
type Message struct {
	From    string   `cbor:"1,keyasint"`
	Updates []Update `cbor:"2,keyasint,omitempty"`
	// Target, if set, asks for a probe of that address on the sender's behalf;
	// in the answer it says that the target answered.
	Target string `cbor:"3,keyasint,omitempty"`
	// Epoch is that of the sender's view of the connection shares; IsClosed says
	// that its connections fit its share in it.
	Epoch    uint64 `cbor:"4,keyasint,omitempty"`
	IsClosed bool   `cbor:"5,keyasint,omitempty"`
	// Number is the sender's configuration number.
	Number uint64 `cbor:"6,keyasint,omitempty"`
}

// Update is a member.Member in its short form.
type Update struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Address     string
	Zone        string
	Incarnation uint64
	State       member.State
}

// FromMembers returns members in their short form.
func FromMembers(members []member.Member) []Update {
	updates := make([]Update, len(members))
	for i, m := range members {
		updates[i] = Update{ID: m.ID, Address: m.Address, Zone: m.Zone, Incarnation: m.Incarnation, State: m.State}
	}
	return updates
}

// Members returns the updates as members.
func (message Message) Members() []member.Member {
	members := make([]member.Member, len(message.Updates))
	for i, u := range message.Updates {
		members[i] = member.Member{ID: u.ID, Address: u.Address, Zone: u.Zone, Incarnation: u.Incarnation, State: u.State}
	}
	return members
}

// Endpoint sends and answers probes. Set the exported fields before Run.
type Endpoint struct {
	Conn net.PacketConn
	Key  []byte
	// Answer answers a probe. It may take as long as a probe of its own.
	Answer func(message Message) Message
	// OnBad is called for a datagram that can't be taken.
	OnBad func(remote string, err error)
	// Blocked, if set, drops datagrams to and from an address, for tests.
	Blocked func(address string) bool

	mu      sync.Mutex
	waiting map[uint64]chan Message
}

// The kinds of datagrams.
const (
	kindAsk    = 1
	kindAnswer = 2
)

// Run receives until ctx ends.
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
		kind, nonce, message, err := Open(endpoint.Key, buffer[:count])
		if err != nil {
			if endpoint.OnBad != nil {
				endpoint.OnBad(remote.String(), err)
			}
			continue
		}
		if kind == kindAnswer {
			endpoint.deliver(nonce, message)
			continue
		}
		// An answer may wait for a probe on the sender's behalf.
		go endpoint.answer(remote, nonce, message)
	}
}

func (endpoint *Endpoint) isBlocked(address string) bool {
	return endpoint.Blocked != nil && endpoint.Blocked(address)
}

func (endpoint *Endpoint) answer(remote net.Addr, nonce uint64, message Message) {
	datagram, err := Seal(endpoint.Key, kindAnswer, nonce, endpoint.Answer(message))
	if err == nil {
		_, _ = endpoint.Conn.WriteTo(datagram, remote)
	}
}

func (endpoint *Endpoint) deliver(nonce uint64, message Message) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if answer, ok := endpoint.waiting[nonce]; ok {
		delete(endpoint.waiting, nonce)
		answer <- message
	}
}

// Ask sends a probe and waits for its answer.
func (endpoint *Endpoint) Ask(ctx context.Context, address string, message Message) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return Message{}, err
	}
	nonce, answer := endpoint.register()
	defer endpoint.unregister(nonce)
	datagram, err := Seal(endpoint.Key, kindAsk, nonce, message)
	if err != nil {
		return Message{}, err
	}
	if !endpoint.isBlocked(address) {
		if _, err := endpoint.Conn.WriteTo(datagram, net.UDPAddrFromAddrPort(addrPort)); err != nil {
			return Message{}, err
		}
	}
	select {
	case found := <-answer:
		return found, nil
	case <-ctx.Done():
		return Message{}, errors.Wrapf(ctx.Err(), "probe of %s", address)
	}
}

func (endpoint *Endpoint) register() (uint64, chan Message) {
	var random [nonceSize]byte
	_, _ = rand.Read(random[:])
	nonce := binary.BigEndian.Uint64(random[:])
	answer := make(chan Message, 1)
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if endpoint.waiting == nil {
		endpoint.waiting = make(map[uint64]chan Message)
	}
	endpoint.waiting[nonce] = answer
	return nonce, answer
}

func (endpoint *Endpoint) unregister(nonce uint64) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	delete(endpoint.waiting, nonce)
}

// Seal makes a datagram: the hash, the kind, the nonce that an answer repeats,
// and the message.
func Seal(key []byte, kind byte, nonce uint64, message Message) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, err
	}
	datagram := make([]byte, hashBytes, hashBytes+1+nonceSize+len(body))
	datagram = append(datagram, kind)
	datagram = binary.BigEndian.AppendUint64(datagram, nonce)
	datagram = append(datagram, body...)
	if len(datagram) > MaxBytes {
		return nil, errors.Newf("message has %d bytes, more than %d", len(datagram), MaxBytes)
	}
	copy(datagram, sum(key, datagram[hashBytes:]))
	return datagram, nil
}

// Open checks and reads a datagram.
func Open(key, datagram []byte) (kind byte, nonce uint64, message Message, err error) {
	if len(datagram) < hashBytes+1+nonceSize {
		return 0, 0, message, ErrDamaged
	}
	rest := datagram[hashBytes:]
	if !hmac.Equal(datagram[:hashBytes], sum(key, rest)) {
		return 0, 0, message, ErrStranger
	}
	kind, nonce = rest[0], binary.BigEndian.Uint64(rest[1:])
	if err := cbor.Unmarshal(rest[1+nonceSize:], &message); err != nil {
		return 0, 0, message, ErrDamaged
	}
	return kind, nonce, message, nil
}

func sum(key, bytes []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(bytes)
	return mac.Sum(nil)[:hashBytes]
}
