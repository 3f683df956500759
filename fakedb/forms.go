package fakedb

import (
	"encoding/binary"
	"fmt"
	"maps"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// form is one form of statements that the fake supports.
type form struct {
	id      string
	pattern *regexp.Regexp
	// columns are the names of the result's columns; nil if there is no result.
	columns         []string
	endsTransaction bool
	// run executes the statement. args are the submatches of pattern, params the
	// values of the statement's parameters.
	run func(session *session, args, params []string) (result, error)
}

// result is the result of one statement: the rows, then those that stream sends.
type result struct {
	// tag is the command tag of CommandComplete.
	tag    string
	rows   [][][]byte
	stream func() error
}

// columnsOf returns the columns of a statement's result. A write has a result only if
// the statement has a RETURNING clause.
func (form *form) columnsOf(args []string) []string {
	if strings.HasPrefix(form.id, "write") && args[len(args)-1] == "" {
		return nil
	}
	return form.columns
}

const (
	valuePattern     = `('(?:[^']|'')*'|\$\d+|-?\d+)`
	identPattern     = `([a-z_][a-z0-9_.]*)`
	returningPattern = `(\s+returning\s+value)?`
)

// compilePattern compiles a pattern in which a space is optional white space, "_" is
// required white space, and VALUE, IDENT and SUFFIX are the patterns above.
func compilePattern(text string) *regexp.Regexp {
	text = strings.NewReplacer("VALUE", valuePattern, "IDENT", identPattern, "SUFFIX", returningPattern, " ", `\s*`, "_", `\s+`).Replace(text)
	return regexp.MustCompile(`(?is)^\s*` + text + `\s*$`)
}

// forms is set by init because a literal here would be an initialization cycle: the
// functions refer to session, whose methods use forms.
var forms []*form

func init() {
	forms = []*form{
		{id: "readKey", pattern: compilePattern(`select_value_from_IDENT_where_key = VALUE`), columns: []string{"value"}, run: readKey},
		{id: "readAll", pattern: compilePattern(`select_key , value_from_IDENT`), columns: []string{"key", "value"}, run: readAll},
		{id: "count", pattern: compilePattern(`select_count \( \* \)_from_IDENT`), columns: []string{"count"}, run: countRows},
		{id: "one", pattern: compilePattern(`select_VALUE`), columns: []string{"value"}, run: selectLiteral},
		{id: "series", pattern: compilePattern(`select_repeat \( 'x' , VALUE \)_from_generate.series \( 1 , VALUE \)`), columns: []string{"repeat"}, run: generateSeries},
		{id: "sleep", pattern: compilePattern(`select_pg.sleep \( VALUE \)`), columns: []string{"sleep"}, run: sleep},
		{id: "writeInsert", pattern: compilePattern(`insert_into_IDENT \( key , value \) values \( VALUE , VALUE \)(\s*on conflict[^;]*?)?SUFFIX`), columns: []string{"value"}, run: insertRow},
		{id: "writeAdd", pattern: compilePattern(`update_IDENT_set_value = value \+ VALUE_where_key = VALUE SUFFIX`), columns: []string{"value"}, run: addToRow},
		{id: "writeSet", pattern: compilePattern(`update_IDENT_set_value = VALUE_where_key = VALUE SUFFIX`), columns: []string{"value"}, run: setRow},
		{id: "writeDelete", pattern: compilePattern(`delete_from_IDENT_where_key = VALUE SUFFIX`), columns: []string{"value"}, run: deleteRow},
		{id: "copyBinary", pattern: compilePattern(`copy_IDENT(?:\s*\([^)]*\))?_from_stdin_binary`), run: copyBinary},
		{id: "copyIn", pattern: compilePattern(`copy_IDENT(?:\s*\([^)]*\))?_from_stdin.*`), run: copyText},
		{id: "copyOut", pattern: compilePattern(`copy_IDENT_to_stdout.*`), run: copyOut},
		{id: "begin", pattern: compilePattern(`(?:begin|start\s+transaction)(.*)`), run: begin},
		{id: "commit", pattern: compilePattern(`(?:commit|end)(?:\s+transaction|\s+work)?`), endsTransaction: true, run: commit},
		{id: "rollback", pattern: compilePattern(`(?:rollback|abort)(?:\s+transaction|\s+work)?`), endsTransaction: true, run: rollback},
		{id: "show", pattern: compilePattern(`show_IDENT`), columns: []string{"setting"}, run: show},
		{id: "set", pattern: compilePattern(`set_IDENT(?: = |_to_)VALUE`), run: setSetting},
		{id: "reset", pattern: compilePattern(`reset_IDENT`), run: resetSetting},
		{id: "other", pattern: compilePattern(`(set|reset|discard|close|unlisten|create|select pg.advisory.unlock.all)\b.*`), run: acknowledge},
	}
}

// formCache caches the form of each statement text: callers repeat a few texts.
var formCache = struct {
	sync.Mutex
	byText map[string]formMatch
}{byText: make(map[string]formMatch)}

// formMatch is a form and the submatches of its pattern in a statement.
type formMatch struct {
	form *form
	args []string
}

// maxCachedForms bounds the number of texts in formCache.
const maxCachedForms = 1000

// findForm returns the form and the arguments of a statement.
func findForm(text string) (*form, []string, error) {
	formCache.Lock()
	defer formCache.Unlock()
	if found, ok := formCache.byText[text]; ok {
		return found.form, found.args, nil
	}
	form, args, err := matchForm(text)
	if err == nil && len(formCache.byText) < maxCachedForms {
		formCache.byText[text] = formMatch{form: form, args: args}
	}
	return form, args, err
}

// quotedIdent matches an identifier in double quotes, as some clients send it.
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

// countParams returns the highest parameter number in a statement.
func countParams(text string) int {
	count := 0
	for _, match := range paramPattern.FindAllStringSubmatch(text, -1) {
		number, _ := strconv.Atoi(match[1])
		count = max(count, number)
	}
	return count
}

// splitStatements splits text at semicolons outside of quotes.
func splitStatements(text string) []string {
	var statements []string
	isQuoted, start := false, 0
	for i := range len(text) {
		switch {
		case text[i] == '\'':
			isQuoted = !isQuoted
		case text[i] == ';' && !isQuoted:
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

// isComment reports whether a text is a single comment line, which pgx sends as a
// ping.
func isComment(text string) bool {
	return strings.HasPrefix(text, "--") && !strings.Contains(text, "\n")
}

// resolve returns the text of a literal or the value of a parameter. A parameter that
// is not set is empty.
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
	columns := make([][]byte, len(values))
	for i, value := range values {
		columns[i] = []byte(value)
	}
	return columns
}

func readKey(session *session, args, params []string) (result, error) {
	value, ok := session.tx.get(args[0], resolve(args[1], params))
	if !ok {
		return result{tag: "SELECT 0"}, nil
	}
	return result{tag: "SELECT 1", rows: [][][]byte{row(value)}}, nil
}

func readAll(session *session, args, _ []string) (result, error) {
	session.slot.mu.Lock()
	rows := make([][][]byte, 0, len(session.slot.tables[args[0]]))
	for key, value := range session.slot.tables[args[0]] {
		rows = append(rows, row(key, value))
	}
	session.slot.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return string(rows[i][0]) < string(rows[j][0]) })
	return result{tag: fmt.Sprintf("SELECT %d", len(rows)), rows: rows}, nil
}

func countRows(session *session, args, _ []string) (result, error) {
	session.slot.mu.Lock()
	count := len(session.slot.tables[args[0]])
	session.slot.mu.Unlock()
	return result{tag: "SELECT 1", rows: [][][]byte{row(strconv.Itoa(count))}}, nil
}

func selectLiteral(_ *session, args, params []string) (result, error) {
	return result{tag: "SELECT 1", rows: [][][]byte{row(resolve(args[0], params))}}, nil
}

// rowsPerFlush is the number of rows of a series that are sent at a time.
const rowsPerFlush = 64

func generateSeries(session *session, args, params []string) (result, error) {
	size, _ := strconv.Atoi(resolve(args[0], params))
	rows, _ := strconv.Atoi(resolve(args[1], params))
	data := [][]byte{[]byte(strings.Repeat("x", size))}
	stream := func() error {
		for i := range rows {
			session.backend.Send(&pgproto3.DataRow{Values: data})
			if i%rowsPerFlush != 0 {
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

// copyText reads rows in the text format of COPY: key, tab, value.
func copyText(session *session, args, _ []string) (result, error) {
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

// copyBinary reads rows in the binary format of COPY.
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

// receiveCopy requests the rows of a COPY in a format (0 is text, 1 binary) and
// returns the data.
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

// Sizes in bytes in the binary format of COPY.
const (
	copyHeaderSize = 19 // signature, flags and the length of an empty extension
	copyCountSize  = 2
	copyLengthSize = 4
)

// binaryRows reads rows of two text columns in the binary format of COPY.
func binaryRows(data []byte) ([][2]string, error) {
	errTruncated := pgError{"22P04", "COPY data is truncated"}
	if len(data) < copyHeaderSize {
		return nil, errTruncated
	}
	data = data[copyHeaderSize:]
	var rows [][2]string
	for len(data) > 0 {
		if len(data) < copyCountSize {
			return nil, errTruncated
		}
		count := binary.BigEndian.Uint16(data)
		data = data[copyCountSize:]
		if count != 2 {
			// The count -1 marks the end of the rows; other counts end them too.
			return rows, nil
		}
		var row [2]string
		for i := range row {
			if len(data) < copyLengthSize {
				return nil, errTruncated
			}
			size := int(binary.BigEndian.Uint32(data))
			data = data[copyLengthSize:]
			if size > len(data) {
				return nil, errTruncated
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

// copyOut sends all rows of a table in the text format of COPY.
func copyOut(session *session, args, _ []string) (result, error) {
	result, err := readAll(session, args, nil)
	if err != nil {
		return result, err
	}
	rows := result.rows
	result.rows, result.tag = nil, fmt.Sprintf("COPY %d", len(rows))
	result.stream = func() error {
		session.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
		for _, row := range rows {
			session.backend.Send(&pgproto3.CopyData{Data: []byte(string(row[0]) + "\t" + string(row[1]) + "\n")})
		}
		session.backend.Send(&pgproto3.CopyDone{})
		return nil
	}
	return result, nil
}

func insertRow(session *session, args, params []string) (result, error) {
	table, key, value := args[0], resolve(args[1], params), resolve(args[2], params)
	if err := session.tx.lock(table, key); err != nil {
		return result{}, err
	}
	conflict := strings.ToLower(args[3])
	old, exists := session.tx.get(table, key)
	switch {
	case exists && strings.Contains(conflict, "nothing"):
		return writeResult("INSERT 0 0", false, args, old), nil
	case exists && conflict == "":
		return result{}, pgError{"23505", "duplicate key value violates unique constraint"}
	case exists && strings.Contains(conflict, "+"):
		value = sum(old, value)
	}
	session.tx.put(write{table: table, key: key, value: value})
	return writeResult("INSERT 0 1", true, args, value), nil
}

func sum(a, b string) string {
	x, _ := strconv.ParseInt(a, 10, 64)
	y, _ := strconv.ParseInt(b, 10, 64)
	return strconv.FormatInt(x+y, 10)
}

// writeResult returns the result of a write, with the value if the row was changed and
// the statement has a RETURNING clause.
func writeResult(tag string, isChanged bool, args []string, value string) result {
	if !isChanged || args[len(args)-1] == "" {
		return result{tag: tag}
	}
	return result{tag: tag, rows: [][][]byte{row(value)}}
}

func addToRow(session *session, args, params []string) (result, error) {
	return changeRow(session, args, resolve(args[2], params), func(old string) write {
		return write{value: sum(old, resolve(args[1], params))}
	})
}

func setRow(session *session, args, params []string) (result, error) {
	return changeRow(session, args, resolve(args[2], params), func(string) write {
		return write{value: resolve(args[1], params)}
	})
}

func deleteRow(session *session, args, params []string) (result, error) {
	result, err := changeRow(session, args, resolve(args[1], params), func(old string) write {
		return write{value: old, isDeleted: true}
	})
	result.tag = strings.Replace(result.tag, "UPDATE", "DELETE", 1)
	return result, err
}

// changeRow replaces an existing row by the write that newWrite returns for the row's
// old value.
func changeRow(session *session, args []string, key string, newWrite func(old string) write) (result, error) {
	table := args[0]
	if err := session.tx.lock(table, key); err != nil {
		return result{}, err
	}
	old, exists := session.tx.get(table, key)
	if !exists {
		return result{tag: "UPDATE 0"}, nil
	}
	write := newWrite(old)
	write.table, write.key = table, key
	session.tx.put(write)
	return writeResult("UPDATE 1", true, args, write.value), nil
}

func begin(session *session, args, _ []string) (result, error) {
	isReadOnly := strings.Contains(strings.ToLower(args[0]), "read only")
	session.tx = &transaction{slot: session.slot, isReadOnly: isReadOnly}
	session.settingsAtBegin = session.settings
	return result{tag: "BEGIN"}, nil
}

func commit(session *session, _, _ []string) (result, error) {
	if session.isAborted {
		return rollback(session, nil, nil)
	}
	return result{tag: "COMMIT"}, session.commit()
}

func rollback(session *session, _, _ []string) (result, error) {
	session.tx.rollback()
	session.tx, session.isAborted = nil, false
	session.settings = session.settingsAtBegin
	return result{tag: "ROLLBACK"}, nil
}

func show(session *session, args, _ []string) (result, error) {
	setting := session.settings[args[0]]
	if args[0] == "transaction_read_only" {
		session.slot.mu.Lock()
		setting = map[bool]string{true: "off", false: "on"}[session.slot.isPrimary]
		session.slot.mu.Unlock()
	}
	return result{tag: "SHOW", rows: [][][]byte{row(setting)}}, nil
}

func setSetting(session *session, args, params []string) (result, error) {
	session.settings = maps.Clone(session.settings)
	session.settings[args[0]] = resolve(args[1], params)
	return result{tag: "SET"}, nil
}

func resetSetting(session *session, args, _ []string) (result, error) {
	session.settings = maps.Clone(session.settings)
	if strings.EqualFold(args[0], "all") {
		clear(session.settings)
	}
	delete(session.settings, args[0])
	return result{tag: "RESET"}, nil
}

// acknowledge answers a statement that has no effect in the fake.
func acknowledge(_ *session, args, _ []string) (result, error) {
	return result{tag: strings.ToUpper(strings.Fields(args[0])[0])}, nil
}
