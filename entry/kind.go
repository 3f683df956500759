package entry

import (
	"regexp"
	"strings"
)

// kind is what the start of a statement tells about where it may go (rule 6).
type kind int

const (
	// kindWrite goes to the primary; it is the zero value because that is
	// always right.
	kindWrite kind = iota
	// kindRead may be tried on a replica.
	kindRead
	kindBegin
	kindBeginReadOnly
	kindCommit
	kindRollback
	kindSet
	kindReset
	kindDiscard
	// kindRefused needs a connection of the caller's own for longer than a
	// transaction, which a proxy can't give.
	kindRefused
)

var kindsByWord = map[string]kind{
	"SELECT": kindRead, "WITH": kindRead, "VALUES": kindRead, "TABLE": kindRead, "SHOW": kindRead,
	"BEGIN": kindBegin, "START": kindBegin,
	"COMMIT": kindCommit, "END": kindCommit,
	"ROLLBACK": kindRollback, "ABORT": kindRollback,
	"SET": kindSet, "RESET": kindReset, "DISCARD": kindDiscard,
	"LISTEN": kindRefused, "NOTIFY": kindRefused, "UNLISTEN": kindRefused,
	"PREPARE": kindRefused, "DEALLOCATE": kindRefused, "EXECUTE": kindRefused,
}

// committing matches words that may end a transaction inside a longer text.
// Matching too much only makes a verdict more careful.
var committing = regexp.MustCompile(`(?i)\b(commit|end|prepare)\b`)

// mayCommit reports whether running the text inside a transaction could commit
// it. A single statement does so only by its first word: procedures can't end
// the transaction that they are called in.
func mayCommit(text string) bool {
	if hasMore(text) {
		return committing.MatchString(text)
	}
	return classify(text) == kindCommit || firstWord(text) == "PREPARE"
}

var readOnlyMode = regexp.MustCompile(`(?i)\bread\s+only\b`)

// classify looks at the first word of a statement. A text with more than one
// statement counts as a write.
func classify(text string) kind {
	text = skipBlanks(text)
	end := strings.IndexFunc(text, func(r rune) bool { return !isLetter(r) })
	if end < 0 {
		end = len(text)
	}
	found := kindsByWord[strings.ToUpper(text[:end])]
	if hasMore(text) {
		return kindWrite
	}
	switch {
	case found == kindBegin && readOnlyMode.MatchString(text):
		return kindBeginReadOnly
	case found == kindRollback && strings.Contains(strings.ToUpper(text), " TO "):
		// ROLLBACK TO a savepoint doesn't end the transaction.
		return kindWrite
	}
	return found
}

func isLetter(r rune) bool { return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '_' }

// hasMore reports whether something follows the first semicolon. A semicolon
// in a quoted text counts too; that only sends a read to the primary.
func hasMore(text string) bool {
	_, rest, ok := strings.Cut(text, ";")
	return ok && skipBlanks(rest) != ""
}

// skipBlanks skips white space, comments and opening parentheses.
func skipBlanks(text string) string {
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
