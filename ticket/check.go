package ticket

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
)

// Limits of a ticket.
const (
	// MaxBytes bounds the JSON text of a ticket: a value of the platform's store has
	// at most a megabyte.
	MaxBytes = 1 << 20
	// MaxNameBytes bounds the length of each name.
	MaxNameBytes = 128
	// MaxConnectionLimit bounds Group.ConnectionLimit, to catch typing mistakes.
	MaxConnectionLimit = 100_000
	// MaxSlots bounds the number of slots of a group.
	MaxSlots = 15
)

// Problem is one error in a ticket or a configuration.
type Problem struct {
	// Field is the path of the field, such as groups[0].slots[1].address.
	Field string `json:"field"`
	// Line is the line in the ticket's JSON text, or 0 if it isn't known.
	Line int    `json:"line,omitempty"`
	Text string `json:"text"`
}

// Problems has all problems found. It is returned as an error only if it is not empty.
type Problems []Problem

// Error returns the problems, one per line.
func (problems Problems) Error() string {
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		location := problem.Field
		if problem.Line > 0 {
			location = fmt.Sprintf("line %d: %s", problem.Line, problem.Field)
		}
		lines = append(lines, location+": "+problem.Text)
	}
	return strings.Join(lines, "\n")
}

// Decode decodes a ticket from JSON and makes all checks that don't need the current
// configuration. The error is of type Problems.
func Decode(text []byte) (Ticket, error) {
	if len(text) > MaxBytes {
		return Ticket{}, Problems{{Field: "ticket", Text: fmt.Sprintf("has %d bytes, limit %d", len(text), MaxBytes)}}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var ticket Ticket
	if err := decoder.Decode(&ticket); err != nil {
		return Ticket{}, Problems{decodeProblem(text, decoder.InputOffset(), err)}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		line := lineAt(text, decoder.InputOffset())
		return Ticket{}, Problems{{Field: "ticket", Line: line, Text: "is followed by more text"}}
	}
	if problems := ticket.problems(); len(problems) > 0 {
		return Ticket{}, problems.withLines(text)
	}
	return ticket, nil
}

// decodeProblem converts an error of encoding/json, with the field and line if known.
func decodeProblem(text []byte, offset int64, err error) Problem {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return Problem{
			Field: typeError.Field,
			Line:  lineAt(text, typeError.Offset),
			Text:  fmt.Sprintf("is a %s, want %s", typeError.Value, typeError.Type),
		}
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		offset = syntaxError.Offset
	}
	message := strings.TrimPrefix(err.Error(), "json: ")
	field := "ticket"
	if name, ok := strings.CutPrefix(message, "unknown field "); ok {
		field, message = strings.Trim(name, `"`), "is an unknown field"
	}
	return Problem{Field: field, Line: lineAt(text, offset), Text: message}
}

// lineAt returns the number of the line at an offset, which may be out of range.
func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// withLines sets the lines of problems from the ticket's text. A field that is missing
// from the text gets the line of its nearest parent.
func (problems Problems) withLines(text []byte) Problems {
	lines := fieldLines(text)
	for i, problem := range problems {
		for field := problem.Field; field != ""; field = parentField(field) {
			if line, ok := lines[field]; ok {
				problems[i].Line = line
				break
			}
		}
	}
	return problems
}

func parentField(field string) string {
	end := strings.LastIndexAny(field, ".[")
	if end < 0 {
		return ""
	}
	return field[:end]
}

// fieldLines returns the line of each field and array element, by its path.
func fieldLines(text []byte) map[string]int {
	lines := make(map[string]int)
	collectLines(json.NewDecoder(bytes.NewReader(text)), text, "", lines)
	return lines
}

// collectLines adds the lines of the next value, at path, and of all values in it.
func collectLines(decoder *json.Decoder, text []byte, path string, lines map[string]int) {
	token, err := decoder.Token()
	if err != nil {
		return
	}
	lines[path] = lineAt(text, decoder.InputOffset())
	switch token {
	case json.Delim('{'):
		for decoder.More() {
			name, err := decoder.Token()
			if err != nil {
				return
			}
			collectLines(decoder, text, strings.TrimPrefix(fmt.Sprintf("%s.%v", path, name), "."), lines)
		}
		_, _ = decoder.Token()
	case json.Delim('['):
		for i := 0; decoder.More(); i++ {
			collectLines(decoder, text, fmt.Sprintf("%s[%d]", path, i), lines)
		}
		_, _ = decoder.Token()
	}
}

func (problems *Problems) add(field, format string, args ...any) {
	*problems = append(*problems, Problem{Field: field, Text: fmt.Sprintf(format, args...)})
}

func (problems *Problems) checkName(field, name string) {
	if name == "" {
		problems.add(field, "is empty")
		return
	}
	if len(name) > MaxNameBytes {
		problems.add(field, "is longer than %d bytes", MaxNameBytes)
	}
	if strings.ContainsFunc(name, isInvalidRune) {
		problems.add(field, "%q has characters other than letters, digits, '.', '-' and '_'", name)
	}
}

func isInvalidRune(char rune) bool {
	isLetter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
	isDigit := char >= '0' && char <= '9'
	return !isLetter && !isDigit && char != '.' && char != '-' && char != '_'
}

func (problems *Problems) checkAddress(field, address string) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil || addrPort.Port() == 0 {
		problems.add(field, "%q is not an IP address with a port", address)
	}
}

func (problems *Problems) checkUnique(seen map[string]bool, field, name string) {
	if seen[name] {
		problems.add(field, "%q is listed twice", name)
	}
	seen[name] = true
}

// problems checks the ticket without the current configuration.
func (ticket Ticket) problems() Problems {
	var problems Problems
	if ticket.Number == 0 {
		problems.add("number", "is zero; the first ticket has number 1")
	}
	problems.checkName("id", ticket.ID)
	if len(ticket.Upstreams)+len(ticket.Groups)+len(ticket.Rules) == 0 {
		problems.add("ticket", "touches nothing: it has no upstreams, groups or rules")
	}
	seen := make(map[string]bool)
	for i, upstream := range ticket.Upstreams {
		field := fmt.Sprintf("upstreams[%d].name", i)
		problems.checkName(field, upstream.Name)
		problems.checkUnique(seen, field, upstream.Name)
	}
	clear(seen)
	for i, rule := range ticket.Rules {
		rule.check(&problems, fmt.Sprintf("rules[%d]", i))
		problems.checkUnique(seen, fmt.Sprintf("rules[%d].name", i), rule.Name)
	}
	clear(seen)
	for i, group := range ticket.Groups {
		group.check(&problems, fmt.Sprintf("groups[%d]", i))
		problems.checkUnique(seen, fmt.Sprintf("groups[%d].name", i), group.Name)
	}
	return problems
}

func (rule Rule) check(problems *Problems, field string) {
	problems.checkName(field+".name", rule.Name)
	if rule.QueueLimit < 0 {
		problems.add(field+".queueLimit", "is negative")
	}
	if rule.WaitMs < 0 {
		problems.add(field+".waitMs", "is negative")
	}
	if rule.ReplicaWaitMs < 0 {
		problems.add(field+".replicaWaitMs", "is negative")
	}
}

func (group Group) check(problems *Problems, field string) {
	problems.checkName(field+".name", group.Name)
	if group.Removed {
		return
	}
	if service, database, ok := strings.Cut(group.Name, "."); !ok || service == "" || database == "" {
		problems.add(field+".name", "%q is not of the form service.database", group.Name)
	}
	if group.ConnectionLimit < 1 || group.ConnectionLimit > MaxConnectionLimit {
		problems.add(field+".connectionLimit", "is %d, want 1 to %d", group.ConnectionLimit, MaxConnectionLimit)
	}
	if len(group.Slots) < 1 || len(group.Slots) > MaxSlots {
		problems.add(field+".slots", "has %d slots, want 1 to %d", len(group.Slots), MaxSlots)
	}
	seen := make(map[string]bool)
	for i, slot := range group.Slots {
		slotField := fmt.Sprintf("%s.slots[%d]", field, i)
		problems.checkName(slotField+".name", slot.Name)
		problems.checkAddress(slotField+".address", slot.Address)
		problems.checkAddress(slotField+".control", slot.Control)
		problems.checkName(slotField+".zone", slot.Zone)
		problems.checkUnique(seen, slotField+".name", slot.Name)
	}
}

// problems checks that each group refers to an upstream and a rule that exist.
func (state State) problems() Problems {
	var problems Problems
	for _, name := range state.GroupNames() {
		group := state.Groups[name]
		if _, ok := state.Upstreams[group.Upstream]; !ok {
			problems.add("groups."+name+".upstream", "%q is no upstream of the configuration", group.Upstream)
		}
		if _, ok := state.Rules[group.Rule]; !ok && group.Rule != "" {
			problems.add("groups."+name+".rule", "%q is no rule of the configuration", group.Rule)
		}
	}
	return problems
}
