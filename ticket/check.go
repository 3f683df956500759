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
	// MaxBytes keeps a ticket under the megabyte that a value of the
	// platform's store may have.
	MaxBytes = 1 << 20
	// MaxNameBytes bounds each name.
	MaxNameBytes = 128
	// MaxConnectionLimit catches a slip of the operator's hand.
	MaxConnectionLimit = 100_000
	// MaxSlots bounds the slots of one group.
	MaxSlots = 15
)

// Problem is one mistake in a ticket.
type Problem struct {
	// Field is the path of the field, such as groups[0].slots[1].address.
	Field string `json:"field"`
	// Line is the line of the ticket's text, or 0 if it isn't known.
	Line int    `json:"line,omitempty"`
	Text string `json:"text"`
}

// Problems are all the mistakes in a ticket; it is an error if not empty.
type Problems []Problem

// Error lists one problem a line.
func (problems Problems) Error() string {
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		where := problem.Field
		if problem.Line > 0 {
			where = fmt.Sprintf("line %d: %s", problem.Line, problem.Field)
		}
		lines = append(lines, where+": "+problem.Text)
	}
	return strings.Join(lines, "\n")
}

// Decode reads a ticket and checks all that can be checked without the
// configuration that it will follow. The error is Problems for a mistake.
func Decode(text []byte) (Ticket, error) {
	if len(text) > MaxBytes {
		return Ticket{}, Problems{{Field: "ticket", Text: fmt.Sprintf("has %d bytes, more than %d", len(text), MaxBytes)}}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var ticket Ticket
	if err := decoder.Decode(&ticket); err != nil {
		return Ticket{}, Problems{decodeProblem(text, decoder.InputOffset(), err)}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		line := lineAt(text, decoder.InputOffset())
		return Ticket{}, Problems{{Field: "ticket", Line: line, Text: "has more text after its end"}}
	}
	if problems := ticket.problems(); len(problems) > 0 {
		return Ticket{}, problems.withLines(text)
	}
	return ticket, nil
}

func decodeProblem(text []byte, offset int64, err error) Problem {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return Problem{
			Field: kind.Field,
			Line:  lineAt(text, kind.Offset),
			Text:  fmt.Sprintf("is a %s, want %s", kind.Value, kind.Type),
		}
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	message := strings.TrimPrefix(err.Error(), "json: ")
	field := "ticket"
	if name, ok := strings.CutPrefix(message, "unknown field "); ok {
		field, message = strings.Trim(name, `"`), "is an unknown field"
	}
	return Problem{Field: field, Line: lineAt(text, offset), Text: message}
}

func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// withLines fills in the lines of problems from the ticket's text.
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

// fieldLines maps the path of each field and element to its line.
func fieldLines(text []byte) map[string]int {
	lines := make(map[string]int)
	walkFields(json.NewDecoder(bytes.NewReader(text)), text, "", lines)
	return lines
}

func walkFields(decoder *json.Decoder, text []byte, path string, lines map[string]int) {
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
			walkFields(decoder, text, strings.TrimPrefix(fmt.Sprintf("%s.%v", path, name), "."), lines)
		}
		_, _ = decoder.Token()
	case json.Delim('['):
		for i := 0; decoder.More(); i++ {
			walkFields(decoder, text, fmt.Sprintf("%s[%d]", path, i), lines)
		}
		_, _ = decoder.Token()
	}
}

func (problems *Problems) add(field, format string, args ...any) {
	*problems = append(*problems, Problem{Field: field, Text: fmt.Sprintf(format, args...)})
}

func (problems *Problems) name(field, name string) {
	if name == "" {
		problems.add(field, "is empty")
		return
	}
	if len(name) > MaxNameBytes {
		problems.add(field, "has more than %d bytes", MaxNameBytes)
	}
	if strings.ContainsFunc(name, isBadRune) {
		problems.add(field, "%q may have only letters, digits, '.', '-' and '_'", name)
	}
}

func isBadRune(r rune) bool {
	isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	isDigit := r >= '0' && r <= '9'
	return !isLetter && !isDigit && r != '.' && r != '-' && r != '_'
}

func (problems *Problems) address(field, address string) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil || addrPort.Port() == 0 {
		problems.add(field, "%q is not an IP address with a port", address)
	}
}

func (problems *Problems) unique(seen map[string]bool, field, name string) {
	if seen[name] {
		problems.add(field, "%q stands twice", name)
	}
	seen[name] = true
}

// problems checks the ticket alone.
func (ticket Ticket) problems() Problems {
	var problems Problems
	if ticket.Number == 0 {
		problems.add("number", "is zero; the first ticket has number 1")
	}
	problems.name("id", ticket.ID)
	if len(ticket.Upstreams)+len(ticket.Groups)+len(ticket.Rules) == 0 {
		problems.add("ticket", "touches nothing")
	}
	seen := make(map[string]bool)
	for i, upstream := range ticket.Upstreams {
		field := fmt.Sprintf("upstreams[%d].name", i)
		problems.name(field, upstream.Name)
		problems.unique(seen, field, upstream.Name)
	}
	clear(seen)
	for i, rule := range ticket.Rules {
		rule.check(&problems, fmt.Sprintf("rules[%d]", i))
		problems.unique(seen, fmt.Sprintf("rules[%d].name", i), rule.Name)
	}
	clear(seen)
	for i, group := range ticket.Groups {
		group.check(&problems, fmt.Sprintf("groups[%d]", i))
		problems.unique(seen, fmt.Sprintf("groups[%d].name", i), group.Name)
	}
	return problems
}

func (rule Rule) check(problems *Problems, field string) {
	problems.name(field+".name", rule.Name)
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
	problems.name(field+".name", group.Name)
	if group.Removed {
		return
	}
	if service, database, ok := strings.Cut(group.Name, "."); !ok || service == "" || database == "" {
		problems.add(field+".name", "%q is not service.database", group.Name)
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
		problems.name(slotField+".name", slot.Name)
		problems.address(slotField+".address", slot.Address)
		problems.address(slotField+".control", slot.Control)
		problems.name(slotField+".zone", slot.Zone)
		problems.unique(seen, slotField+".name", slot.Name)
	}
}

// problems checks that every reference in the state leads to something.
func (state State) problems() Problems {
	var problems Problems
	for _, name := range state.GroupNames() {
		group := state.Groups[name]
		if _, ok := state.Upstreams[group.Upstream]; !ok {
			problems.add("groups."+name+".upstream", "%q is no upstream", group.Upstream)
		}
		if _, ok := state.Rules[group.Rule]; !ok && group.Rule != "" {
			problems.add("groups."+name+".rule", "%q is no rule", group.Rule)
		}
	}
	return problems
}
