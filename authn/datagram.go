package authn

import (
	"crypto/hmac"
	"encoding/binary"
	"math"
	"sync"
)

const (
	// codeBytes is the length to which the code of a datagram is truncated.
	codeBytes = 16
	// headerBytes is the length of a datagram's header before the sender's ID: the kind,
	// the key's number, the sender's process, the sequence number, the receiver's process
	// and the length of the sender's ID.
	headerBytes = 1 + 4 + 8 + 8 + 8 + 1
	// windowSize is the number of sequence numbers below the highest one within which
	// datagrams may arrive out of order.
	windowSize = 64
	// maxPeers limits the peers that are remembered.
	maxPeers = 8192
)

// Kinds of datagrams.
const (
	kindMessage = 1
	// kindHello answers a datagram for or from an earlier process. It has the sender's
	// process, and as its message the highest process of the receiver that its sender knows.
	kindHello = 2
)

// datagramPurpose keeps the codes of datagrams apart from those of handshakes.
var datagramPurpose = []byte("bramley datagram")

// Authenticator makes and checks the messages of one VM. Set the exported fields before
// use. It is safe for concurrent use.
type Authenticator struct {
	// VM identifies this VM.
	VM   string
	Keys *Ring
	// Process is the number of this process, for instance the time of its start. It must not
	// be that of an earlier process of the VM. If another VM knows a higher one, it is
	// raised.
	Process uint64
	// OnRefused, if set, is called with the remote address of each message that was
	// refused, and the reason.
	OnRefused func(remote string, reason error)

	mu      sync.Mutex
	process uint64
	peers   map[string]*peer
	// uses counts the uses of peers, to find the one that was not used for longest.
	uses uint64
}

// peer is what a VM knows of another one.
type peer struct {
	// process is the highest process of the VM; 0 if unknown. Every accepted datagram names
	// this process, and so is not a recorded one.
	process uint64
	// highest is the highest sequence number received from the process. Bit n of received
	// is set if highest-n was received.
	highest  uint64
	received uint64
	// sent is the sequence number of the last datagram sent.
	sent uint64
	// unbound is the last message sent without knowing the VM's process; it is sent again
	// once a hello names the process.
	unbound []byte
	usedAt  uint64
}

// Opened is the content of a datagram.
type Opened struct {
	Sender string
	// Message is nil if there is none for the caller of Open.
	Message []byte
	// Reply is a datagram that has to be sent to the sender; nil if there is none.
	Reply []byte
}

// Seal returns a datagram with a message for another VM, or ErrNoKey.
func (authenticator *Authenticator) Seal(receiver string, message []byte) ([]byte, error) {
	authenticator.mu.Lock()
	defer authenticator.mu.Unlock()
	to := authenticator.peer(receiver)
	if to.process == 0 {
		to.unbound = append([]byte(nil), message...)
	}
	return authenticator.seal(kindMessage, receiver, to, to.process, message)
}

// seal makes a datagram. authenticator.mu must be held.
func (authenticator *Authenticator) seal(kind byte, receiver string, to *peer, receiverProcess uint64, message []byte) ([]byte, error) {
	key := authenticator.Keys.signing()
	if key == nil {
		return nil, ErrNoKey
	}
	to.sent++
	datagram := make([]byte, 0, headerBytes+len(authenticator.VM)+len(message)+codeBytes)
	datagram = append(datagram, kind)
	datagram = binary.BigEndian.AppendUint32(datagram, key.Number)
	datagram = binary.BigEndian.AppendUint64(datagram, authenticator.process)
	datagram = binary.BigEndian.AppendUint64(datagram, to.sent)
	datagram = binary.BigEndian.AppendUint64(datagram, receiverProcess)
	datagram = append(datagram, byte(min(len(authenticator.VM), math.MaxUint8)))
	datagram = append(datagram, authenticator.VM[:min(len(authenticator.VM), math.MaxUint8)]...)
	datagram = append(datagram, message...)
	code := key.code(datagramPurpose, []byte(receiver), datagram)
	return append(datagram, code[:codeBytes]...), nil
}

// peer returns the peer of an ID. It forgets another one if there are too many.
// authenticator.mu must be held.
func (authenticator *Authenticator) peer(vm string) *peer {
	if authenticator.peers == nil {
		authenticator.process = authenticator.Process
		authenticator.peers = make(map[string]*peer)
	}
	authenticator.uses++
	found, ok := authenticator.peers[vm]
	if !ok {
		if len(authenticator.peers) >= maxPeers {
			authenticator.forgetOne()
		}
		found = &peer{}
		authenticator.peers[vm] = found
	}
	if vm == authenticator.VM {
		found.process = authenticator.process
	}
	found.usedAt = authenticator.uses
	return found
}

// forgetOne forgets the peer that was not used for longest.
func (authenticator *Authenticator) forgetOne() {
	var oldest string
	oldestUse := uint64(math.MaxUint64)
	for vm, peer := range authenticator.peers {
		if peer.usedAt < oldestUse {
			oldest, oldestUse = vm, peer.usedAt
		}
	}
	delete(authenticator.peers, oldest)
}

// header is the header of a datagram.
type header struct {
	kind                               byte
	key                                uint32
	process, sequence, receiverProcess uint64
	sender                             string
}

// split splits a datagram into its parts. covered is what the code covers.
func split(datagram []byte) (header header, message, covered, code []byte, ok bool) {
	if len(datagram) < headerBytes+codeBytes {
		return header, nil, nil, nil, false
	}
	covered, code = datagram[:len(datagram)-codeBytes], datagram[len(datagram)-codeBytes:]
	header.kind = covered[0]
	header.key = binary.BigEndian.Uint32(covered[1:])
	header.process = binary.BigEndian.Uint64(covered[5:])
	header.sequence = binary.BigEndian.Uint64(covered[13:])
	header.receiverProcess = binary.BigEndian.Uint64(covered[21:])
	end := headerBytes + int(covered[headerBytes-1])
	if end > len(covered) {
		return header, nil, nil, nil, false
	}
	header.sender = string(covered[headerBytes:end])
	message = covered[end:]
	isKnown := header.kind == kindMessage || header.kind == kindHello && len(message) == 8
	return header, message, covered, code, isKnown
}

// Open checks a datagram and returns its content, which shares the datagram's memory. With
// an error, Message is nil; Reply may be set with ErrStale. The errors are ErrNoKey,
// ErrMalformed, ErrUnknownKey, ErrForged, ErrReplayed and ErrStale.
func (authenticator *Authenticator) Open(datagram []byte) (Opened, error) {
	header, message, covered, code, ok := split(datagram)
	if !authenticator.Keys.HasKey() {
		return Opened{}, ErrNoKey
	}
	if !ok {
		return Opened{}, ErrMalformed
	}
	key := authenticator.Keys.find(header.key)
	if key == nil {
		return Opened{}, ErrUnknownKey
	}
	if !hmac.Equal(key.code(datagramPurpose, []byte(authenticator.VM), covered)[:codeBytes], code) {
		return Opened{}, ErrForged
	}
	authenticator.mu.Lock()
	defer authenticator.mu.Unlock()
	from := authenticator.peer(header.sender)
	opened := Opened{Sender: header.sender}
	isForThisProcess := header.receiverProcess == authenticator.process
	if !isForThisProcess || header.process < from.process {
		// A hello for another process is not answered, so that hellos don't answer each other.
		if header.kind == kindMessage || isForThisProcess {
			known := binary.BigEndian.AppendUint64(nil, from.process)
			opened.Reply, _ = authenticator.seal(kindHello, header.sender, from, header.process, known)
		}
		return opened, ErrStale
	}
	if !from.receive(header.process, header.sequence) {
		return Opened{}, ErrReplayed
	}
	if header.kind == kindMessage {
		from.unbound = nil
		opened.Message = message
		return opened, nil
	}
	if known := binary.BigEndian.Uint64(message); known > authenticator.process {
		// The clock was set back before this process began.
		authenticator.process = known + 1
	}
	if from.unbound != nil {
		opened.Reply, _ = authenticator.seal(kindMessage, header.sender, from, from.process, from.unbound)
		from.unbound = nil
	}
	return opened, nil
}

// receive records that a datagram with a sequence number was received, and reports whether
// it is the first one.
func (peer *peer) receive(process, sequence uint64) bool {
	if process > peer.process {
		peer.process, peer.highest, peer.received = process, 0, 0
	}
	switch {
	case sequence > peer.highest:
		peer.received = peer.received<<min(sequence-peer.highest, windowSize) | 1
		peer.highest = sequence
	case peer.highest-sequence >= windowSize || peer.received>>(peer.highest-sequence)&1 == 1:
		return false
	default:
		peer.received |= 1 << (peer.highest - sequence)
	}
	return true
}

// Refused reports a message that Open or a handshake refused to OnRefused. It ignores what
// is no sign of a foreign sender: ErrNoKey and ErrStale.
func (authenticator *Authenticator) Refused(remote string, reason error) {
	switch reason {
	case nil, ErrNoKey, ErrStale:
		return
	}
	if authenticator.OnRefused != nil {
		authenticator.OnRefused(remote, reason)
	}
}
