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
	// contextWindow is how long before the first and after the last attempt of a
	// request the events of its group are shown.
	contextWindow = 3 * time.Second
	// maxLogLineBytes is the size limit of a log line.
	maxLogLineBytes = 1 << 20
)

// ErrNotLogged means that no log line names the request: it completed normally, or no
// VM received it.
var ErrNotLogged = errors.New("no log line names the request; a request that completed normally is not logged")

// LogLine is one line of a VM's log.
type LogLine struct {
	Time  time.Time
	VM    string
	Event event.ID
	// Fields has all fields of the line by name, including those above.
	Fields map[string]any
}

// fieldText returns a field as text; empty if the line does not have it.
func (line LogLine) fieldText(name string) string {
	if value, ok := line.Fields[name]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// ReadLog reads the events of a JSON log. It ignores text before the first brace of a
// line, and lines that are not events. It returns the lines read so far with the
// error of the reader, or with bufio.ErrTooLong for a line of 1 MiB or more.
func ReadLog(reader io.Reader) ([]LogLine, error) {
	var lines []LogLine
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 {
			continue
		}
		if line, ok := parseLogLine(scanner.Text()[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// parseLogLine returns false if the text is not an event with a number and a time.
func parseLogLine(text string) (LogLine, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return LogLine{}, false
	}
	line := LogLine{Fields: fields}
	number, isNumber := fields["event"].(float64)
	at, err := time.Parse(time.RFC3339Nano, line.fieldText("time"))
	if !isNumber || err != nil {
		return LogLine{}, false
	}
	line.Time, line.VM, line.Event = at, line.fieldText("vm"), event.ID(number)
	return line, true
}

// SentTo is the VM that an unlogged request was sent to, and the time of sending.
type SentTo struct {
	VM string
	At time.Time
}

// ExplainUnlogged writes the last log line of a VM up to a time and the first one after
// it, and the events around that time that may concern more than one request. The gap
// between the two lines shows whether the VM was running: a request that no VM answered
// was lost by a failure of its VM or of the network path to it. ExplainUnlogged sorts
// lines by time.
func ExplainUnlogged(writer io.Writer, sentTo SentTo, lines []LogLine) error {
	slices.SortStableFunc(lines, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	var before, after LogLine
	for _, line := range lines {
		switch {
		case line.VM != sentTo.VM:
		case !line.Time.After(sentTo.At):
			before = line
		case after.Event == 0:
			after = line
		}
	}
	if before.Event == 0 && after.Event == 0 {
		return errors.Newf("the logs contain no line of VM %q", sentTo.VM)
	}
	if _, err := fmt.Fprintf(writer, "no log line names this request; the log lines of %s before and after it was sent:\n", sentTo.VM); err != nil {
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
	sent := LogLine{Time: sentTo.At, VM: sentTo.VM}
	return writeContext(writer, []LogLine{sent}, nil, lines)
}

// Explain writes what the logs contain about one request, given by its ID or by that
// of its transaction: its attempts in order with their dispatch state, the group state
// that the VM knew before each, and the group's events of that time on all VMs. It
// sorts lines by time. The error is ErrNotLogged if no line names the request.
func Explain(writer io.Writer, request string, lines []LogLine) error {
	slices.SortStableFunc(lines, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	var attempts []LogLine
	groups := make(map[string]bool)
	for _, line := range lines {
		if line.fieldText("request") != request && line.fieldText("transaction") != request {
			continue
		}
		attempts = append(attempts, line)
		if group := line.fieldText("group"); group != "" {
			groups[group] = true
		}
	}
	if len(attempts) == 0 {
		return errors.Wrapf(ErrNotLogged, "request %q", request)
	}
	for _, line := range attempts {
		if err := writeLine(writer, "", line); err != nil {
			return err
		}
		if err := writeKnownState(writer, line, lines); err != nil {
			return err
		}
	}
	return writeContext(writer, attempts, groups, lines)
}

// writeLine writes a log line with the fields that the event catalogue lists, except
// the request's ID.
func writeLine(writer io.Writer, indent string, line LogLine) error {
	entry, _ := event.Find(line.Event)
	var fields []string
	for _, name := range entry.Fields {
		if value := line.fieldText(name); value != "" && name != "request" {
			fields = append(fields, name+"="+value)
		}
	}
	_, err := fmt.Fprintf(writer, "%s%s %s %d %s: %s\n", indent,
		line.Time.Format("15:04:05.000"), line.VM, line.Event, entry.Title, strings.Join(fields, " "))
	return err
}

// writeKnownState writes the last group state that the VM logged before the attempt.
func writeKnownState(writer io.Writer, attempt LogLine, lines []LogLine) error {
	var last LogLine
	for _, line := range lines {
		if line.Time.After(attempt.Time) {
			break
		}
		if line.Event == event.GroupState && line.VM == attempt.VM && line.fieldText("group") == attempt.fieldText("group") {
			last = line
		}
	}
	if last.Event == 0 {
		return nil
	}
	_, err := fmt.Fprintf(writer, "    known %s before: term=%s slots=%s links=%s\n",
		attempt.Time.Sub(last.Time).Round(time.Millisecond), last.fieldText("term"), last.fieldText("slots"), last.fieldText("links"))
	return err
}

// writeContext writes the events within contextWindow of the attempts that belong to
// one of the groups or to no group. If groups is nil, it writes those of all groups.
func writeContext(writer io.Writer, attempts []LogLine, groups map[string]bool, lines []LogLine) error {
	from, to := attempts[0].Time.Add(-contextWindow), attempts[len(attempts)-1].Time.Add(contextWindow)
	if _, err := fmt.Fprintf(writer, "around that time:\n"); err != nil {
		return err
	}
	for _, line := range lines {
		if line.Time.Before(from) || line.Time.After(to) || !isContextEvent(line.Event) {
			continue
		}
		if group := line.fieldText("group"); groups != nil && group != "" && !groups[group] {
			continue
		}
		if err := writeLine(writer, "    ", line); err != nil {
			return err
		}
	}
	return nil
}

// isContextEvent reports whether an event may concern more than one request. Group
// states and counts of omitted log lines are excluded too, since they describe no
// change.
func isContextEvent(id event.ID) bool {
	switch id {
	case event.GroupState, event.LinesLeftOut, event.RequestRefused, event.RequestRetried, event.UncertainOutcome,
		event.ConfirmedWithoutAck:
		return false
	}
	return true
}
