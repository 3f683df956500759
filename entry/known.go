package entry

import "github.com/cespare/xxhash/v2"

// maxKnownWrites bounds the recorded statement texts of a session. When it is reached,
// all are dropped.
const maxKnownWrites = 256

// recordWriteText records that a replica refused a statement text as a write, so
// that a simple query with the same text is sent directly to the primary next time. A
// hash collision costs only a read on the primary.
func (session *session) recordWriteText(text string) {
	if session.writeTexts == nil || len(session.writeTexts) >= maxKnownWrites {
		session.writeTexts = make(map[uint64]struct{})
	}
	session.writeTexts[xxhash.Sum64String(text)] = struct{}{}
}

// isKnownWrite reports whether a replica has refused this text as a write.
func (session *session) isKnownWrite(text string) bool {
	if len(session.writeTexts) == 0 {
		return false
	}
	_, ok := session.writeTexts[xxhash.Sum64String(text)]
	return ok
}
