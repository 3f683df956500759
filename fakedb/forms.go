package fakedb

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// form is one statement form that the stand-in understands.
type form struct {
	id      string
	pattern *regexp.Regexp
	// columns are the columns of the result, if it has one.
	columns         []string
	endsTransaction bool
	run             func(session *session, args, params []string) (result, error)
}

type result struct {
	tag    string
	rows   [][][]byte
	stream func() error
}

// columnsOf returns the columns; a form with RETURNING has some only if that
// clause stands in the statement.
func (form *form) columnsOf(args []string) []string {
	if strings.HasPrefix(form.id, "write") && args[len(args)-1] == "" {
		return nil
	}
	return form.columns
}

const (
	value  = `('(?:[^']|'')*'|\$\d+|-?\d+)`
	ident  = `([a-z_][a-z0-9_.]*)`
	suffix = `(\s+returning\s+value)?`
)

func pattern(text string) *regexp.Regexp {
	text = strings.NewReplacer("VALUE", value, "IDENT", ident, "SUFFIX", suffix, " ", `\s*`, "_", `\s+`).Replace(text)
	return regexp.MustCompile(`(?is)^\s*` + text + `\s*$`)
}

// forms is filled by init because the functions refer to sessions.
var forms []*form

func init() {
	forms = []*form{
		{id: "readKey", pattern: pattern(`select_value_from_IDENT_where_key = VALUE`), columns: []string{"value"}, run: readKey},
		{id: "readAll", pattern: pattern(`select_key , value_from_IDENT`), columns: []string{"key", "value"}, run: readAll},
		{id: "count", pattern: pattern(`select_count \( \* \)_from_IDENT`), columns: []string{"count"}, run: count},
		{id: "one", pattern: pattern(`select_VALUE`), columns: []string{"value"}, run: one},
		{id: "series", pattern: pattern(`select_repeat \( 'x' , VALUE \)_from_generate.series \( 1 , VALUE \)`), columns: []string{"repeat"}, run: series},
		{id: "sleep", pattern: pattern(`select_pg.sleep \( VALUE \)`), columns: []string{"sleep"}, run: sleep},
		{id: "writeInsert", pattern: pattern(`insert_into_IDENT \( key , value \) values \( VALUE , VALUE \)(\s*on conflict[^;]*?)?SUFFIX`), columns: []string{"value"}, run: insert},
		{id: "writeAdd", pattern: pattern(`update_IDENT_set_value = value \+ VALUE_where_key = VALUE SUFFIX`), columns: []string{"value"}, run: add},
		{id: "writeSet", pattern: pattern(`update_IDENT_set_value = VALUE_where_key = VALUE SUFFIX`), columns: []string{"value"}, run: update},
		{id: "writeDelete", pattern: pattern(`delete_from_IDENT_where_key = VALUE SUFFIX`), columns: []string{"value"}, run: remove},
		{id: "copyBinary", pattern: pattern(`copy_IDENT(?:\s*\([^)]*\))?_from_stdin_binary`), run: copyBinary},
		{id: "copyIn", pattern: pattern(`copy_IDENT(?:\s*\([^)]*\))?_from_stdin.*`), run: copyIn},
		{id: "copyOut", pattern: pattern(`copy_IDENT_to_stdout.*`), run: copyOut},
		{id: "begin", pattern: pattern(`(?:begin|start\s+transaction)(.*)`), run: begin},
		{id: "commit", pattern: pattern(`(?:commit|end)(?:\s+transaction|\s+work)?`), endsTransaction: true, run: commit},
		{id: "rollback", pattern: pattern(`(?:rollback|abort)(?:\s+transaction|\s+work)?`), endsTransaction: true, run: rollback},
		{id: "show", pattern: pattern(`show_IDENT`), columns: []string{"setting"}, run: show},
		{id: "other", pattern: pattern(`(set|reset|discard|close|unlisten|create|select pg.advisory.unlock.all)\b.*`), run: other},
	}
}

// known caches the forms of texts, since the same few come again and again.
var known = struct {
	sync.Mutex
	texts map[string]match
}{texts: make(map[string]match)}

type match struct {
	form *form
	args []string
}

const maxKnown = 1000

func findForm(text string) (*form, []string, error) {
	known.Lock()
	defer known.Unlock()
	if found, ok := known.texts[text]; ok {
		return found.form, found.args, nil
	}
	form, args, err := matchForm(text)
	if err == nil && len(known.texts) < maxKnown {
		known.texts[text] = match{form: form, args: args}
	}
	return form, args, err
}

// quotedIdent is an identifier as clients quote it.
var quotedIdent = regexp.MustCompile(`"([a-z_][a-z0-9_]*)"`)

func matchForm(text string) (*form, []string, error) {
	if !strings.Contains(text, "'") {
		text = quotedIdent.ReplaceAllString(text, "$1")
	}
	for _, form := range forms {
		if match := form.pattern.FindStringSubmatch(text); match != nil {
			return form, match[1:], nil
		}
	}
	return nil, nil, pgError{"42601", fmt.Sprintf("stand-in does not know the statement %q", text)}
}

var paramPattern = regexp.MustCompile(`\$(\d+)`)

func countParams(text string) int {
	count := 0
	for _, match := range paramPattern.FindAllStringSubmatch(text, -1) {
		number, _ := strconv.Atoi(match[1])
		count = max(count, number)
	}
	return count
}

// splitStatements cuts at semicolons outside of quotes.
func splitStatements(text string) []string {
	var statements []string
	quoted, start := false, 0
	for i := range len(text) {
		switch {
		case text[i] == '\'':
			quoted = !quoted
		case text[i] == ';' && !quoted:
			statements = appendStatement(statements, text[start:i])
			start = i + 1
		}
	}
	return appendStatement(statements, text[start:])
}

func appendStatement(statements []string, text string) []string {
	if trimmed := strings.TrimSpace(text); trimmed == "" || isComment(trimmed) {
		return statements
	}
	return append(statements, text)
}

// isComment reports whether a text is one comment line, as pgx's Ping sends.
func isComment(text string) bool {
	return strings.HasPrefix(text, "--") && !strings.Contains(text, "\n")
}

// resolve turns a literal or parameter into its text.
func resolve(arg string, params []string) string {
	if number, ok := strings.CutPrefix(arg, "$"); ok {
		index, _ := strconv.Atoi(number)
		if index < 1 || index > len(params) {
			return ""
		}
		return params[index-1]
	}
	if strings.HasPrefix(arg, "'") {
		return strings.ReplaceAll(arg[1:len(arg)-1], "''", "'")
	}
	return arg
}

func row(values ...string) [][]byte {
	out := make([][]byte, len(values))
	for i, v := range values {
		out[i] = []byte(v)
	}
	return out
}

func readKey(session *session, args, params []string) (result, error) {
	found, ok := session.tx.get(args[0], resolve(args[1], params))
	if !ok {
		return result{tag: "SELECT 0"}, nil
	}
	return result{tag: "SELECT 1", rows: [][][]byte{row(found)}}, nil
}

func readAll(session *session, args, _ []string) (result, error) {
	session.slot.mu.Lock()
	rows := make([][][]byte, 0, len(session.slot.tables[args[0]]))
	for key, v := range session.slot.tables[args[0]] {
		rows = append(rows, row(key, v))
	}
	session.slot.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return string(rows[i][0]) < string(rows[j][0]) })
	return result{tag: fmt.Sprintf("SELECT %d", len(rows)), rows: rows}, nil
}

func count(session *session, args, _ []string) (result, error) {
	session.slot.mu.Lock()
	n := len(session.slot.tables[args[0]])
	session.slot.mu.Unlock()
	return result{tag: "SELECT 1", rows: [][][]byte{row(strconv.Itoa(n))}}, nil
}

func one(_ *session, args, params []string) (result, error) {
	return result{tag: "SELECT 1", rows: [][][]byte{row(resolve(args[0], params))}}, nil
}

// flushRows is how many rows of a series are sent at once.
const flushRows = 64

func series(session *session, args, params []string) (result, error) {
	size, _ := strconv.Atoi(resolve(args[0], params))
	rows, _ := strconv.Atoi(resolve(args[1], params))
	data := [][]byte{[]byte(strings.Repeat("x", size))}
	stream := func() error {
		for i := range rows {
			session.backend.Send(&pgproto3.DataRow{Values: data})
			if i%flushRows != 0 {
				continue
			}
			if err := session.backend.Flush(); err != nil {
				return err
			}
		}
		return nil
	}
	return result{tag: fmt.Sprintf("SELECT %d", rows), stream: stream}, nil
}

func sleep(session *session, args, params []string) (result, error) {
	seconds, err := strconv.ParseFloat(resolve(args[0], params), 64)
	if err != nil {
		return result{}, pgError{"22P02", "not a number"}
	}
	select {
	case <-session.slot.group.Clock.After(time.Duration(seconds * float64(time.Second))):
	case <-session.cancelled:
		return result{}, pgError{"57014", "canceling statement due to user request"}
	}
	return result{tag: "SELECT 1", rows: [][][]byte{row("")}}, nil
}

// copyIn takes rows in the text format: key, tab, value.
func copyIn(session *session, args, _ []string) (result, error) {
	text, err := session.receiveCopy(0)
	if err != nil {
		return result{}, err
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	rows := make([][2]string, 0, len(lines))
	for _, line := range lines {
		key, value, _ := strings.Cut(line, "\t")
		rows = append(rows, [2]string{key, value})
	}
	return copyRows(session, args[0], rows)
}

func copyBinary(session *session, args, _ []string) (result, error) {
	data, err := session.receiveCopy(1)
	if err != nil {
		return result{}, err
	}
	rows, err := binaryRows(data)
	if err != nil {
		return result{}, err
	}
	return copyRows(session, args[0], rows)
}

// receiveCopy asks for the rows of a COPY in a format and returns their bytes.
func (session *session) receiveCopy(format uint16) ([]byte, error) {
	session.backend.Send(&pgproto3.CopyInResponse{
		OverallFormat: byte(format), ColumnFormatCodes: []uint16{format, format},
	})
	if err := session.backend.Flush(); err != nil {
		return nil, err
	}
	var data []byte
	for {
		message, err := session.backend.Receive()
		if err != nil {
			return nil, err
		}
		switch message := message.(type) {
		case *pgproto3.CopyData:
			data = append(data, message.Data...)
		case *pgproto3.CopyFail:
			return nil, pgError{"57014", "COPY from stdin failed: " + message.Message}
		case *pgproto3.CopyDone:
			return data, nil
		}
	}
}

// Sizes in the binary format of COPY, in bytes.
const (
	copyHeader = 19 // signature, flags and no extension
	copyCount  = 2
	copyLength = 4
)

// binaryRows reads rows of two text columns in the binary format of COPY.
func binaryRows(data []byte) ([][2]string, error) {
	broken := pgError{"22P04", "COPY data is cut short"}
	if len(data) < copyHeader {
		return nil, broken
	}
	data = data[copyHeader:]
	var rows [][2]string
	for len(data) > 0 {
		if len(data) < copyCount {
			return nil, broken
		}
		count := binary.BigEndian.Uint16(data)
		data = data[copyCount:]
		if count != 2 {
			// The count -1 may end the rows.
			return rows, nil
		}
		var row [2]string
		for i := range row {
			if len(data) < copyLength {
				return nil, broken
			}
			size := int(binary.BigEndian.Uint32(data))
			data = data[copyLength:]
			if size > len(data) {
				return nil, broken
			}
			row[i], data = string(data[:size]), data[size:]
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func copyRows(session *session, table string, rows [][2]string) (result, error) {
	for _, row := range rows {
		if err := session.tx.lock(table, row[0]); err != nil {
			return result{}, err
		}
		session.tx.put(write{table: table, key: row[0], value: row[1]})
	}
	return result{tag: fmt.Sprintf("COPY %d", len(rows))}, nil
}

func copyOut(session *session, args, _ []string) (result, error) {
	found, err := readAll(session, args, nil)
	if err != nil {
		return found, err
	}
	rows := found.rows
	found.rows, found.tag = nil, fmt.Sprintf("COPY %d", len(rows))
	found.stream = func() error {
		session.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
		for _, row := range rows {
			session.backend.Send(&pgproto3.CopyData{Data: []byte(string(row[0]) + "\t" + string(row[1]) + "\n")})
		}
		session.backend.Send(&pgproto3.CopyDone{})
		return nil
	}
	return found, nil
}

func insert(session *session, args, params []string) (result, error) {
	table, key, v := args[0], resolve(args[1], params), resolve(args[2], params)
	if err := session.tx.lock(table, key); err != nil {
		return result{}, err
	}
	conflict := strings.ToLower(args[3])
	old, exists := session.tx.get(table, key)
	switch {
	case exists && strings.Contains(conflict, "nothing"):
		return written("INSERT 0 0", false, args, old), nil
	case exists && conflict == "":
		return result{}, pgError{"23505", "duplicate key value violates unique constraint"}
	case exists && strings.Contains(conflict, "+"):
		v = sum(old, v)
	}
	session.tx.put(write{table: table, key: key, value: v})
	return written("INSERT 0 1", true, args, v), nil
}

func sum(a, b string) string {
	x, _ := strconv.ParseInt(a, 10, 64)
	y, _ := strconv.ParseInt(b, 10, 64)
	return strconv.FormatInt(x+y, 10)
}

func written(tag string, changed bool, args []string, v string) result {
	if !changed || args[len(args)-1] == "" {
		return result{tag: tag}
	}
	return result{tag: tag, rows: [][][]byte{row(v)}}
}

func add(session *session, args, params []string) (result, error) {
	return change(session, args, resolve(args[2], params), func(old string) write {
		return write{value: sum(old, resolve(args[1], params))}
	})
}

func update(session *session, args, params []string) (result, error) {
	return change(session, args, resolve(args[2], params), func(string) write {
		return write{value: resolve(args[1], params)}
	})
}

func remove(session *session, args, params []string) (result, error) {
	out, err := change(session, args, resolve(args[1], params), func(old string) write {
		return write{value: old, deleted: true}
	})
	out.tag = strings.Replace(out.tag, "UPDATE", "DELETE", 1)
	return out, err
}

func change(session *session, args []string, key string, next func(old string) write) (result, error) {
	table := args[0]
	if err := session.tx.lock(table, key); err != nil {
		return result{}, err
	}
	old, exists := session.tx.get(table, key)
	if !exists {
		return result{tag: "UPDATE 0"}, nil
	}
	w := next(old)
	w.table, w.key = table, key
	session.tx.put(w)
	return written("UPDATE 1", true, args, w.value), nil
}

func begin(session *session, args, _ []string) (result, error) {
	readOnly := strings.Contains(strings.ToLower(args[0]), "read only")
	session.tx = &transaction{slot: session.slot, readOnly: readOnly}
	return result{tag: "BEGIN"}, nil
}

func commit(session *session, _, _ []string) (result, error) {
	if session.failed {
		return rollback(session, nil, nil)
	}
	return result{tag: "COMMIT"}, session.commit()
}

func rollback(session *session, _, _ []string) (result, error) {
	session.tx.rollback()
	session.tx, session.failed = nil, false
	return result{tag: "ROLLBACK"}, nil
}

func show(session *session, args, _ []string) (result, error) {
	setting := ""
	if args[0] == "transaction_read_only" {
		session.slot.mu.Lock()
		setting = map[bool]string{true: "off", false: "on"}[session.slot.leading]
		session.slot.mu.Unlock()
	}
	return result{tag: "SHOW", rows: [][][]byte{row(setting)}}, nil
}

func other(_ *session, args, _ []string) (result, error) {
	return result{tag: strings.ToUpper(strings.Fields(args[0])[0])}, nil
}
