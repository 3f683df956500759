package entry

import "github.com/cespare/xxhash/v2"

// maxKnownWrites bounds what a session remembers of refused texts.
const maxKnownWrites = 256

// learnWrite remembers that a replica refused a text, so that the next one goes
// to the primary at once. A wrong match costs only a read on the primary.
func (session *session) learnWrite(text string) {
	if session.writes == nil || len(session.writes) >= maxKnownWrites {
		session.writes = make(map[uint64]struct{})
	}
	session.writes[xxhash.Sum64String(text)] = struct{}{}
}

func (session *session) isKnownWrite(text string) bool {
	if len(session.writes) == 0 {
		return false
	}
	_, ok := session.writes[xxhash.Sum64String(text)]
	return ok
}
