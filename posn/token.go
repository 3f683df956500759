package posn

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors returned by Verify. Requests with such a token are not refused (rule 1).
var (
	ErrTokenDamaged = errors.New("session token is malformed or too long")
	ErrTokenForged  = errors.New("keyed hash of session token does not match")
)

const (
	tokenVersion = 1
	// tokenHashBytes is the length of the truncated keyed hash: 128 bits.
	tokenHashBytes = 16
	// MaxTokenBytes is the length of the longest token that Verify accepts.
	MaxTokenBytes = 128
)

// Signer signs and verifies session tokens. Keys[0] signs and every key
// verifies, so that the key can be rotated without invalidating sessions. Set
// Keys before use. All methods are safe for concurrent use.
type Signer struct {
	Keys [][]byte

	once      sync.Once
	hashPools []*sync.Pool
}

func (signer *Signer) makeHashPools() {
	for _, key := range signer.Keys {
		signer.hashPools = append(signer.hashPools, &sync.Pool{
			New: func() any { return hmac.New(sha256.New, key) },
		})
	}
}

// Sign returns a signed token for a session with the given position in group.
func (signer *Signer) Sign(group string, position Position) string {
	signer.once.Do(signer.makeHashPools)
	body := make([]byte, 0, MaxTokenBytes)
	body = append(body, tokenVersion)
	body = binary.AppendUvarint(body, position.Term)
	body = binary.AppendUvarint(body, position.LSN)
	body = append(body, signer.keyedHash(0, group, body)...)
	return base64.RawURLEncoding.EncodeToString(body)
}

// Verify verifies a token and returns its position. It returns ErrTokenDamaged
// for a malformed token, and ErrTokenForged for one that was not signed for the
// group with one of the keys.
func (signer *Signer) Verify(group, token string) (Position, error) {
	signer.once.Do(signer.makeHashPools)
	if len(token) > MaxTokenBytes {
		return Position{}, ErrTokenDamaged
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(raw) < 1+tokenHashBytes || raw[0] != tokenVersion {
		return Position{}, ErrTokenDamaged
	}
	body, mac := raw[:len(raw)-tokenHashBytes], raw[len(raw)-tokenHashBytes:]
	if !signer.verify(group, body, mac) {
		return Position{}, ErrTokenForged
	}
	return decodeBody(body[1:])
}

func (signer *Signer) verify(group string, body, mac []byte) bool {
	for i := range signer.hashPools {
		if hmac.Equal(mac, signer.keyedHash(i, group, body)) {
			return true
		}
	}
	return false
}

func (signer *Signer) keyedHash(key int, group string, body []byte) []byte {
	mac := signer.hashPools[key].Get().(hash.Hash)
	defer signer.hashPools[key].Put(mac)
	mac.Reset()
	mac.Write(body)
	mac.Write([]byte(group))
	return mac.Sum(nil)[:tokenHashBytes]
}

func decodeBody(body []byte) (Position, error) {
	term, termBytes := binary.Uvarint(body)
	if termBytes <= 0 {
		return Position{}, ErrTokenDamaged
	}
	lsn, lsnBytes := binary.Uvarint(body[termBytes:])
	if lsnBytes <= 0 || termBytes+lsnBytes != len(body) {
		return Position{}, ErrTokenDamaged
	}
	return Position{Term: term, LSN: lsn}, nil
}
