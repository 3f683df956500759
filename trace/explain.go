package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/event"
)

const (
	// around is how far from a request the events of its group are shown.
	around = 3 * time.Second
	// maxLogLine is the longest log line, in bytes.
	maxLogLine = 1 << 20
)

// ErrNoLine says that a request has no line: it went as usual, or no VM had it.
var ErrNoLine = errors.New("no line of these logs has it; a request that went as usual leaves none")

// LogLine is one line of a VM's log.
type LogLine struct {
	Time  time.Time
	VM    string
	Event event.ID
	// Fields are all fields, by name.
	Fields map[string]any
}

func (line LogLine) text(name string) string {
	if value, ok := line.Fields[name]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// ReadLog reads the lines of a log in JSON; text before the first brace of a line,
// and lines of another form, are passed over.
func ReadLog(reader io.Reader) ([]LogLine, error) {
	var lines []LogLine
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		at := strings.IndexByte(scanner.Text(), '{')
		if at < 0 {
			continue
		}
		if line, ok := parseLogLine(scanner.Text()[at:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parseLogLine(text string) (LogLine, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return LogLine{}, false
	}
	line := LogLine{Fields: fields}
	number, isNumber := fields["event"].(float64)
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if !isNumber || err != nil {
		return LogLine{}, false
	}
	line.Time, line.VM, line.Event = at, line.text("vm"), event.ID(number)
	return line, true
}

// Place is where and when a request was sent that left no line of its own.
type Place struct {
	VM string
	At time.Time
}

// ExplainPlace writes what a VM wrote around a time, and how long it wrote nothing: a
// request that no VM answered was lost with its VM or with the way there.
func ExplainPlace(writer io.Writer, place Place, lines []LogLine) error {
	slices.SortStableFunc(lines, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	var before, after LogLine
	for _, line := range lines {
		switch {
		case line.VM != place.VM:
		case !line.Time.After(place.At):
			before = line
		case after.Event == 0:
			after = line
		}
	}
	if before.Event == 0 && after.Event == 0 {
		return errors.Newf("these logs have no line of VM %q", place.VM)
	}
	if _, err := fmt.Fprintf(writer, "no line has this request; the lines of %s before and after:\n", place.VM); err != nil {
		return err
	}
	for _, line := range []LogLine{before, after} {
		if line.Event == 0 {
			continue
		}
		if err := writeLine(writer, "    ", line); err != nil {
			return err
		}
	}
	at := LogLine{Time: place.At, VM: place.VM}
	return writeAround(writer, []LogLine{at}, nil, lines)
}

// Explain writes what the logs say of one request: its attempts in order, the
// dispatch state of each, what its VM last knew of the group, and the group's
// events of that time on all VMs.
func Explain(writer io.Writer, request string, lines []LogLine) error {
	slices.SortStableFunc(lines, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	var attempts []LogLine
	groups := make(map[string]bool)
	for _, line := range lines {
		if line.text("request") != request && line.text("transaction") != request {
			continue
		}
		attempts = append(attempts, line)
		if group := line.text("group"); group != "" {
			groups[group] = true
		}
	}
	if len(attempts) == 0 {
		return errors.Wrapf(ErrNoLine, "request %q", request)
	}
	for _, line := range attempts {
		if err := writeLine(writer, "", line); err != nil {
			return err
		}
		if err := writeBelief(writer, line, lines); err != nil {
			return err
		}
	}
	return writeAround(writer, attempts, groups, lines)
}

func writeLine(writer io.Writer, indent string, line LogLine) error {
	entry, _ := event.Find(line.Event)
	var fields []string
	for _, name := range entry.Fields {
		if value := line.text(name); value != "" && name != "request" {
			fields = append(fields, name+"="+value)
		}
	}
	_, err := fmt.Fprintf(writer, "%s%s %s %d %s: %s\n", indent,
		line.Time.Format("15:04:05.000"), line.VM, line.Event, entry.Title, strings.Join(fields, " "))
	return err
}

// writeBelief writes the VM's last known state of the attempt's group.
func writeBelief(writer io.Writer, attempt LogLine, lines []LogLine) error {
	var last LogLine
	for _, line := range lines {
		if line.Time.After(attempt.Time) {
			break
		}
		if line.Event == event.GroupState && line.VM == attempt.VM && line.text("group") == attempt.text("group") {
			last = line
		}
	}
	if last.Event == 0 {
		return nil
	}
	_, err := fmt.Fprintf(writer, "    known %s before: term=%s slots=%s links=%s\n",
		attempt.Time.Sub(last.Time).Round(time.Millisecond), last.text("term"), last.text("slots"), last.text("links"))
	return err
}

// writeAround writes events of the groups, nil for all, and of dependencies, near the
// attempts.
func writeAround(writer io.Writer, attempts []LogLine, groups map[string]bool, lines []LogLine) error {
	from, to := attempts[0].Time.Add(-around), attempts[len(attempts)-1].Time.Add(around)
	if _, err := fmt.Fprintf(writer, "around that time:\n"); err != nil {
		return err
	}
	for _, line := range lines {
		if line.Time.Before(from) || line.Time.After(to) || !isBackground(line.Event) {
			continue
		}
		if group := line.text("group"); groups != nil && group != "" && !groups[group] {
			continue
		}
		if err := writeLine(writer, "    ", line); err != nil {
			return err
		}
	}
	return nil
}

// isBackground reports whether an event tells of more than one request.
func isBackground(id event.ID) bool {
	switch id {
	case event.GroupState, event.LinesLeftOut, event.RequestRefused, event.RequestRetried, event.UncertainOutcome,
		event.ConfirmedAlone:
		return false
	}
	return true
}
