package authn

import (
	"crypto/hmac"
	"crypto/rand"
	"encoding/binary"
	"io"
	"math"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	challengeBytes = 32
	// helloBytes is the length of the client's first message before its ID: the version,
	// the key's number, the challenge and the length of the ID.
	helloBytes = 1 + 4 + challengeBytes + 1
	// streamVersion is the first byte of a handshake.
	streamVersion = 1
	// HandshakeTimeout bounds a handshake.
	HandshakeTimeout = 500 * time.Millisecond
)

// The purposes of the codes. They differ, so that neither side's code can be reflected.
var (
	serverPurpose = []byte("bramley stream server")
	clientPurpose = []byte("bramley stream client")
)

// Connect proves to the VM at the other end of a new connection that this VM has a key, and
// checks that the other one has it and is the VM named. It returns the key's number. The
// errors are ErrNoKey, ErrForged and those of the connection, which has to be closed then.
func (authenticator *Authenticator) Connect(conn net.Conn, server string) (uint32, error) {
	key := authenticator.Keys.signing()
	if key == nil {
		return 0, ErrNoKey
	}
	defer limitTime(conn)()
	hello := make([]byte, 0, helloBytes+len(authenticator.VM))
	hello = append(hello, streamVersion)
	hello = binary.BigEndian.AppendUint32(hello, key.Number)
	hello = append(hello, newChallenge()...)
	hello = append(hello, byte(min(len(authenticator.VM), math.MaxUint8)))
	hello = append(hello, authenticator.VM[:min(len(authenticator.VM), math.MaxUint8)]...)
	if _, err := conn.Write(hello); err != nil {
		return 0, err
	}
	var answer [2 * challengeBytes]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return 0, errors.Wrapf(err, "reading the answer of VM %s to the handshake", server)
	}
	challenge, code := answer[:challengeBytes], answer[challengeBytes:]
	if !hmac.Equal(key.code(serverPurpose, []byte(server), hello, challenge), code) {
		return 0, ErrForged
	}
	_, err := conn.Write(key.code(clientPurpose, []byte(server), hello, challenge))
	return key.Number, err
}

// Accept is the counterpart of Connect. It returns the ID of the other VM and the number of
// the key. The errors are ErrNoKey, ErrMalformed, ErrUnknownKey, ErrForged and those of the
// connection, which has to be closed then.
func (authenticator *Authenticator) Accept(conn net.Conn) (string, uint32, error) {
	if !authenticator.Keys.HasKey() {
		return "", 0, ErrNoKey
	}
	defer limitTime(conn)()
	hello := make([]byte, helloBytes, helloBytes+math.MaxUint8)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return "", 0, err
	}
	if hello[0] != streamVersion {
		return "", 0, ErrMalformed
	}
	hello = hello[:helloBytes+int(hello[helloBytes-1])]
	if _, err := io.ReadFull(conn, hello[helloBytes:]); err != nil {
		return "", 0, err
	}
	number := binary.BigEndian.Uint32(hello[1:])
	key := authenticator.Keys.find(number)
	if key == nil {
		return "", 0, ErrUnknownKey
	}
	challenge := newChallenge()
	answer := append(challenge, key.code(serverPurpose, []byte(authenticator.VM), hello, challenge)...)
	if _, err := conn.Write(answer); err != nil {
		return "", 0, err
	}
	var code [challengeBytes]byte
	if _, err := io.ReadFull(conn, code[:]); err != nil {
		return "", 0, err
	}
	if !hmac.Equal(key.code(clientPurpose, []byte(authenticator.VM), hello, answer[:challengeBytes]), code[:]) {
		return "", 0, ErrForged
	}
	return string(hello[helloBytes:]), number, nil
}

func newChallenge() []byte {
	challenge := make([]byte, challengeBytes)
	// It never returns an error.
	_, _ = rand.Read(challenge)
	return challenge
}

// limitTime sets the deadline of a handshake and returns the function that clears it. An
// error of either shows in the calls of the connection that follow.
func limitTime(conn net.Conn) func() {
	_ = conn.SetDeadline(time.Now().Add(HandshakeTimeout))
	return func() { _ = conn.SetDeadline(time.Time{}) }
}
