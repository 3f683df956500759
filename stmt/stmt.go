// Package stmt says what the start of a statement tells. It is pure, and it is no
// parser.
//
// Rules:
//
//  6. What is a read: a statement that starts like one, or a read-only
//     transaction. A replica that refuses a write (25006) did not run it, so a
//     wrong guess costs one attempt.
//  12. A statement that may have ended its transaction leaves an unknown outcome
//     when its connection is lost.
package stmt

import (
	"regexp"
	"strings"
)

// Kind is what the start of a statement tells about where it may go (rule 6).
type Kind int

// The kinds.
const (
	// Write goes to the primary; it is the zero value because that is
	// always right.
	Write Kind = iota
	// Read may be tried on a replica.
	Read
	Begin
	BeginReadOnly
	Commit
	Rollback
	Set
	Reset
	Discard
	// Refused needs a connection of the caller's own for longer than a
	// transaction, which a proxy can't give.
	Refused
)

var kindsByWord = map[string]Kind{
	"SELECT": Read, "WITH": Read, "VALUES": Read, "TABLE": Read, "SHOW": Read,
	"BEGIN": Begin, "START": Begin,
	"COMMIT": Commit, "END": Commit,
	"ROLLBACK": Rollback, "ABORT": Rollback,
	"SET": Set, "RESET": Reset, "DISCARD": Discard,
	"LISTEN": Refused, "NOTIFY": Refused, "UNLISTEN": Refused,
	"PREPARE": Refused, "DEALLOCATE": Refused, "EXECUTE": Refused,
}

// committing matches words that may end a transaction inside a longer text.
// Matching too much only makes a verdict more careful.
var committing = regexp.MustCompile(`(?i)\b(commit|end|prepare)\b`)

// MayCommit reports whether running the text inside a transaction could commit
// it. A single statement does so only by its first word: procedures can't end
// the transaction that they are called in.
func MayCommit(text string) bool {
	if HasMore(text) {
		return committing.MatchString(text)
	}
	return Classify(text) == Commit || FirstWord(text) == "PREPARE"
}

var readOnlyMode = regexp.MustCompile(`(?i)\bread\s+only\b`)

// Classify looks at the first word of a statement. A text with more than one
// statement counts as a write.
func Classify(text string) Kind {
	text = SkipBlanks(text)
	end := strings.IndexFunc(text, func(r rune) bool { return !isLetter(r) })
	if end < 0 {
		end = len(text)
	}
	found := kindsByWord[strings.ToUpper(text[:end])]
	if HasMore(text) {
		return Write
	}
	switch {
	case found == Begin && readOnlyMode.MatchString(text):
		return BeginReadOnly
	case found == Rollback && strings.Contains(strings.ToUpper(text), " TO "):
		// ROLLBACK TO a savepoint doesn't end the transaction.
		return Write
	}
	return found
}

func isLetter(r rune) bool { return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '_' }

// HasMore reports whether something follows the first semicolon. A semicolon
// in a quoted text counts too; that only sends a read to the primary.
func HasMore(text string) bool {
	_, rest, ok := strings.Cut(text, ";")
	return ok && SkipBlanks(rest) != ""
}

// SkipBlanks skips white space, comments and opening parentheses.
func SkipBlanks(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n(;")
		switch {
		case strings.HasPrefix(text, "--"):
			_, text, _ = strings.Cut(text, "\n")
		case strings.HasPrefix(text, "/*"):
			_, text, _ = strings.Cut(text, "*/")
		default:
			return text
		}
	}
}

// FirstWord returns the first word in upper case.
func FirstWord(text string) string {
	fields := strings.Fields(SkipBlanks(text))
	if len(fields) == 0 {
		return ""
	}
	return strings.ToUpper(fields[0])
}
