// Package stmt classifies SQL statements by their first words, without parsing them.
// Its functions have no side effects.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  6. A statement counts as a read if it starts with a reading keyword or begins a
//     read-only transaction. A replica that refuses a write (25006) did not run it,
//     so a wrong classification costs one attempt.
//  12. If the connection is lost during a statement that may commit its transaction,
//     the outcome is unknown.
package stmt

import (
	"regexp"
	"strings"
)

// Kind is the class of a statement. It determines where the statement may run
// (rule 6).
type Kind int

// The kinds of statements.
const (
	// Write must run on the primary. It is the zero value, since the primary can run
	// any statement.
	Write Kind = iota
	// Read may run on a replica.
	Read
	Begin
	// BeginReadOnly begins a read-only transaction, which may run on a replica.
	BeginReadOnly
	Commit
	Rollback
	Set
	Reset
	Discard
	// Unsupported is not supported: the statement needs a dedicated connection for longer
	// than a transaction, and the proxy shares its connections.
	Unsupported
)

var kindsByFirstWord = map[string]Kind{
	"SELECT": Read, "WITH": Read, "VALUES": Read, "TABLE": Read, "SHOW": Read,
	"BEGIN": Begin, "START": Begin,
	"COMMIT": Commit, "END": Commit,
	"ROLLBACK": Rollback, "ABORT": Rollback,
	"SET": Set, "RESET": Reset, "DISCARD": Discard,
	"LISTEN": Unsupported, "NOTIFY": Unsupported, "UNLISTEN": Unsupported,
	"PREPARE": Unsupported, "DEALLOCATE": Unsupported, "EXECUTE": Unsupported,
}

// commitPattern matches words that may commit a transaction within a longer text. A
// false match only turns the verdict after a failure into unknown.
var commitPattern = regexp.MustCompile(`(?i)\b(commit|end|prepare)\b`)

// MayCommit reports whether running the text inside a transaction could commit the
// transaction. For a single statement, the first word decides: a procedure can't end
// the transaction in which it is called.
func MayCommit(text string) bool {
	if HasMultiple(text) {
		return commitPattern.MatchString(text)
	}
	return Classify(text) == Commit || FirstWord(text) == "PREPARE"
}

var readOnlyPattern = regexp.MustCompile(`(?i)\bread\s+only\b`)

// Classify returns the kind of a statement, mainly by its first word. A text with
// more than one statement counts as a write.
func Classify(text string) Kind {
	text = SkipBlanks(text)
	end := strings.IndexFunc(text, func(r rune) bool { return !isWordRune(r) })
	if end < 0 {
		end = len(text)
	}
	kind := kindsByFirstWord[strings.ToUpper(text[:end])]
	if HasMultiple(text) {
		return Write
	}
	switch {
	case kind == Begin && readOnlyPattern.MatchString(text):
		return BeginReadOnly
	case kind == Rollback && strings.Contains(strings.ToUpper(text), " TO "):
		// ROLLBACK TO SAVEPOINT does not end the transaction.
		return Write
	}
	return kind
}

// isWordRune reports whether a rune may be part of a keyword.
func isWordRune(r rune) bool { return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '_' }

// HasMultiple reports whether a text has more than one statement: whether anything but
// blanks and comments follows the first semicolon. Semicolons in quoted text count
// too; the only effect is that a read is sent to the primary.
func HasMultiple(text string) bool {
	_, rest, ok := strings.Cut(text, ";")
	return ok && SkipBlanks(rest) != ""
}

// SkipBlanks removes leading white space, comments, semicolons and opening
// parentheses.
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

// FirstWord returns the first word in upper case, or "" if there is none.
func FirstWord(text string) string {
	fields := strings.Fields(SkipBlanks(text))
	if len(fields) == 0 {
		return ""
	}
	return strings.ToUpper(fields[0])
}
