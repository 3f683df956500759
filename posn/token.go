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

// Errors that Open returns. Neither is worth refusing a caller for: see rule 1.
var (
	ErrTokenDamaged = errors.New("session token is damaged")
	ErrTokenForged  = errors.New("session token has a wrong keyed hash")
)

const (
	tokenVersion = 1
	// tokenHashBytes is the length that the keyed hash is cut to: 128 bits.
	tokenHashBytes = 16
	// MaxTokenBytes bounds what Open decodes.
	MaxTokenBytes = 128
)

// Sealer makes and opens session tokens. Keys[0] signs; all keys verify, so
// that a key can be replaced without breaking sessions. Set Keys before use.
type Sealer struct {
	Keys [][]byte

	once  sync.Once
	pools []*sync.Pool
}

func (sealer *Sealer) init() {
	for _, key := range sealer.Keys {
		sealer.pools = append(sealer.pools, &sync.Pool{
			New: func() any { return hmac.New(sha256.New, key) },
		})
	}
}

// Seal returns the token that says: this session has seen position in group.
func (sealer *Sealer) Seal(group string, position Position) string {
	sealer.once.Do(sealer.init)
	body := make([]byte, 0, MaxTokenBytes)
	body = append(body, tokenVersion)
	body = binary.AppendUvarint(body, position.Term)
	body = binary.AppendUvarint(body, position.LSN)
	body = append(body, sealer.sum(0, group, body)...)
	return base64.RawURLEncoding.EncodeToString(body)
}

// Open returns the position in a token that was sealed for the same group.
func (sealer *Sealer) Open(group, token string) (Position, error) {
	sealer.once.Do(sealer.init)
	if len(token) > MaxTokenBytes {
		return Position{}, ErrTokenDamaged
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(raw) < 1+tokenHashBytes || raw[0] != tokenVersion {
		return Position{}, ErrTokenDamaged
	}
	body, mac := raw[:len(raw)-tokenHashBytes], raw[len(raw)-tokenHashBytes:]
	if !sealer.verify(group, body, mac) {
		return Position{}, ErrTokenForged
	}
	return decodeBody(body[1:])
}

func (sealer *Sealer) verify(group string, body, mac []byte) bool {
	for i := range sealer.pools {
		if hmac.Equal(mac, sealer.sum(i, group, body)) {
			return true
		}
	}
	return false
}

func (sealer *Sealer) sum(key int, group string, body []byte) []byte {
	mac := sealer.pools[key].Get().(hash.Hash)
	defer sealer.pools[key].Put(mac)
	mac.Reset()
	mac.Write(body)
	mac.Write([]byte(group))
	return mac.Sum(nil)[:tokenHashBytes]
}

func decodeBody(body []byte) (Position, error) {
	term, n := binary.Uvarint(body)
	if n <= 0 {
		return Position{}, ErrTokenDamaged
	}
	lsn, m := binary.Uvarint(body[n:])
	if m <= 0 || n+m != len(body) {
		return Position{}, ErrTokenDamaged
	}
	return Position{Term: term, LSN: lsn}, nil
}
