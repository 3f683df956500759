//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// position is TERM.NUMBER of a database's log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) atLeast(other position) bool {
	return p.term > other.term || p.term == other.term && p.number >= other.number
}

func parsePosition(text string) position {
	term, number, _ := strings.Cut(text, ".")
	var p position
	p.term, _ = strconv.ParseUint(term, 10, 64)
	p.number, _ = strconv.ParseUint(number, 10, 64)
	return p
}

// entry is one commit in a log. It shows in reads from visibleAt on.
type entry struct {
	at        position
	data      map[string]string
	visibleAt time.Time
}

// run is one statement that a database ran for a consumer.
type run struct {
	At       time.Time
	Ended    time.Time
	Database string
	ID, Text string
	Saw      position
	Commit   position
	Outcome  string
}

// group is the databases of one service.
type group struct {
	world *world
	name  string
	sync  int

	mu        sync.Mutex
	databases []*database
	newest    uint64
	runs      []*run
	proofs    int
	// onLead is called, with mu held, when a promotion takes effect.
	onLead func(db *database)
}

// primary returns the leader of the newest term.
func (group *group) primary() *database {
	group.mu.Lock()
	defer group.mu.Unlock()
	for _, db := range group.databases {
		if db.leads && db.term == group.newest {
			return db
		}
	}
	return nil
}

// has reports whether the log has a write of an item. group.mu must be held.
func (db *database) has(item string) bool {
	for _, entry := range db.log {
		if _, ok := entry.data[item]; ok {
			return true
		}
	}
	return false
}

// database is one database, which speaks the wire protocol.
type database struct {
	group   *group
	id      string
	address string
	zone    string
	slots   chan struct{}
	born    int64

	// The fields below are guarded by group.mu.
	leads    bool
	term     uint64
	seal     uint64
	log      []entry
	isDeaf   bool
	listener net.Listener
	conns    map[net.Conn]bool
	open     int
	busy     int
}

const (
	replicationDelay = time.Millisecond
	applyDelay       = 20 * time.Millisecond
	promoteDelay     = 300 * time.Millisecond
	rejoinDelay      = time.Second
	maxConns         = 60
	slotCount        = 5
	shortWork        = 4 * time.Millisecond
)

// workOf is how long a statement keeps a slot: an item named slow-MS-... takes MS milliseconds.
func workOf(text string) time.Duration {
	for _, field := range strings.Fields(text) {
		if rest, ok := strings.CutPrefix(field, "slow-"); ok {
			ms, _, _ := strings.Cut(rest, "-")
			if number, err := strconv.Atoi(ms); err == nil {
				return time.Duration(number) * time.Millisecond
			}
		}
	}
	return shortWork
}

func newGroup(world *world, name string, syncReplicas int) *group {
	group := &group{world: world, name: name, sync: syncReplicas, newest: 1}
	for i := range 3 {
		host := fmt.Sprintf("127.%d.2.%d", world.net, 10*len(world.groups)+i+1)
		group.databases = append(group.databases, &database{
			group: group, id: fmt.Sprintf("i-%s-%d", name, i), address: host + ":" + databasePort, zone: zones[i%len(zones)],
			slots: make(chan struct{}, slotCount), born: time.Now().UnixMilli(), leads: i == 0, term: 1,
			log: []entry{{at: position{1, 1}, data: map[string]string{}}}, conns: make(map[net.Conn]bool),
		})
	}
	return group
}

func (db *database) end() position { return db.log[len(db.log)-1].at }

// visible returns the position that reads show. group.mu must be held.
func (db *database) visible() position {
	now := time.Now()
	for i := len(db.log) - 1; i > 0; i-- {
		if db.leads || !db.log[i].visibleAt.After(now) {
			return db.log[i].at
		}
	}
	return db.log[0].at
}

func (db *database) value(item string) string {
	seen := db.visible()
	for i := len(db.log) - 1; i >= 0; i-- {
		if value, ok := db.log[i].data[item]; ok && seen.atLeast(db.log[i].at) {
			return value
		}
	}
	return "none"
}

// start makes the database listen.
func (db *database) start() error {
	listener, err := net.Listen("tcp4", db.address)
	if err != nil {
		return err
	}
	db.group.mu.Lock()
	db.listener = listener
	db.group.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go db.serve(conn)
		}
	}()
	return nil
}

// crash ends the database's process: its log stays.
func (db *database) crash() {
	db.group.mu.Lock()
	defer db.group.mu.Unlock()
	if db.listener != nil {
		_ = db.listener.Close()
		db.listener = nil
	}
	for conn := range db.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// replicate lets the replicas receive from the newest leader, until the world ends.
func (group *group) replicate() {
	for {
		select {
		case <-group.world.done:
			return
		case <-time.After(replicationDelay):
		}
		group.mu.Lock()
		var source *database
		for _, db := range group.databases {
			if db.leads && db.listener != nil && (source == nil || db.term > source.term) {
				source = db
			}
		}
		for _, db := range group.databases {
			if source == nil || db == source || db.leads || db.isDeaf || db.listener == nil || db.seal > source.term || db.term > source.term {
				continue
			}
			db.follow(source)
		}
		group.mu.Unlock()
	}
}

// follow copies what the leader has and rolls back what it lacks.
func (db *database) follow(source *database) {
	common := 0
	for common < len(db.log) && common < len(source.log) && db.log[common].at == source.log[common].at {
		common++
	}
	db.log, db.term = db.log[:common:common], source.term
	for _, next := range source.log[common:] {
		next.visibleAt = time.Now().Add(applyDelay)
		db.log = append(db.log, next)
	}
}

// promote is the effect of POST /failover. It returns false if the database is not running.
func (group *group) promote(id string) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	for _, db := range group.databases {
		if db.id != id {
			continue
		}
		if db.listener == nil {
			return false
		}
		if db.leads && db.term == group.newest {
			return true
		}
		go func() {
			time.Sleep(promoteDelay)
			group.lead(db)
		}()
		return true
	}
	return false
}

func (group *group) lead(db *database) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if db.listener == nil {
		return
	}
	group.newest++
	if group.onLead != nil {
		group.onLead(db)
	}
	for _, other := range group.databases {
		if other.leads && other != db {
			go func() {
				time.Sleep(rejoinDelay)
				group.mu.Lock()
				other.leads = other.leads && other.term == group.newest
				group.mu.Unlock()
			}()
		}
	}
	db.leads, db.term, db.seal = true, group.newest, 0
	db.log = append(db.log, entry{at: position{group.newest, db.end().number + 1}, data: map[string]string{}})
	group.world.record("promoted %s term %d with %s", db.id, db.term, db.log[len(db.log)-2].at)
}

// session is what a database knows of one connection.
type session struct {
	db       *database
	values   map[string]string
	prepared map[string]string
	isOpen   bool
	isFailed bool
	readOnly bool
	writes   map[string]string
}

func (db *database) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	line, err := readMessage(reader)
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	if fields[1] != db.group.name || len(fields) > 3 && fields[3] != db.id {
		_, _ = conn.Write([]byte("ERROR WRONGNODE " + db.id + "\r\n"))
		return
	}
	db.group.mu.Lock()
	if db.open >= maxConns {
		db.group.mu.Unlock()
		_, _ = conn.Write([]byte("ERROR MAXCONN " + db.id + "\r\n"))
		return
	}
	db.open++
	db.conns[conn] = true
	hello := "READY I " + db.visible().String() + "\r\n"
	db.group.mu.Unlock()
	defer func() {
		db.group.mu.Lock()
		delete(db.conns, conn)
		db.open--
		db.group.mu.Unlock()
	}()
	if _, err := conn.Write([]byte(hello)); err != nil {
		return
	}
	s := &session{db: db, values: make(map[string]string), prepared: make(map[string]string)}
	for {
		line, err := readMessage(reader)
		if err != nil {
			return
		}
		parts := strings.SplitN(line, " ", 3)
		if len(parts) != 3 || parts[0] != "QUERY" {
			return
		}
		rows, proof, failure := s.run(parts[1], parts[2])
		var answer strings.Builder
		for _, row := range rows {
			answer.WriteString("DATAROW " + row + "\r\n")
		}
		if failure == "" {
			answer.WriteString("COMPLETE " + proof + "\r\n")
		} else {
			answer.WriteString("ERROR " + failure + " " + db.id + "\r\n")
			s.isFailed = s.isOpen
		}
		state := "I"
		if s.isOpen {
			state = "T"
		}
		if s.isFailed {
			state = "E"
		}
		db.group.mu.Lock()
		at := db.visible()
		db.group.mu.Unlock()
		answer.WriteString("READY " + state + " " + at.String() + "\r\n")
		if _, err := conn.Write([]byte(answer.String())); err != nil {
			return
		}
	}
}

// readMessage reads up to CR LF.
func readMessage(reader *bufio.Reader) (string, error) {
	var message []byte
	for {
		part, err := reader.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		message = append(message, part...)
		if len(message) >= 2 && message[len(message)-2] == '\r' {
			return string(message[:len(message)-2]), nil
		}
	}
}

func (s *session) end() { s.isOpen, s.isFailed, s.readOnly, s.writes = false, false, false, nil }

// run runs one statement and returns its rows and proof, or the code of its failure.
func (s *session) run(id, text string) (rows []string, proof, failure string) {
	db := s.db
	var minimum position
	if rest, ok := strings.CutPrefix(text, "WAITFOR "); ok {
		at, statement, _ := strings.Cut(rest, " ")
		minimum, text = parsePosition(at), statement
	}
	keyword, rest, _ := strings.Cut(text, " ")
	switch keyword {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return nil, "-", ""
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		return nil, "-", ""
	case "PREPARE":
		name, definition, _ := strings.Cut(rest, " ")
		s.prepared[name] = definition
		return nil, "-", ""
	case "CLOSE":
		delete(s.prepared, rest)
		return nil, "-", ""
	case "ROLLBACK":
		s.end()
		return nil, "-", ""
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return []string{db.control(keyword, rest)}, "-", ""
	}
	if s.isFailed {
		return nil, "", "MALFORMED"
	}
	if keyword == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		definition, ok := s.prepared[name]
		if !ok {
			return nil, "", "NOSTMT"
		}
		shape, _, _ := strings.Cut(definition, " ")
		keyword, rest = shape, arguments
	}
	if keyword == "BEGIN" {
		return nil, "-", s.begin(rest == "READ", minimum)
	}
	return s.statement(id, text, keyword, rest, minimum)
}

func (s *session) begin(readOnly bool, minimum position) string {
	group := s.db.group
	group.mu.Lock()
	defer group.mu.Unlock()
	switch {
	case s.isOpen:
		return "MALFORMED"
	case !readOnly && !s.db.leads:
		return "READONLY"
	case !s.db.visible().atLeast(minimum):
		return "LAGGING"
	}
	s.isOpen, s.readOnly, s.writes = true, readOnly, make(map[string]string)
	return ""
}

// control runs STATUS, PAUSE, RESUME or STEPDOWN and returns the row.
func (db *database) control(keyword, rest string) string {
	db.group.mu.Lock()
	defer db.group.mu.Unlock()
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch keyword {
	case "PAUSE":
		if !db.leads && term > db.term {
			db.seal = term
		}
	case "RESUME":
		db.seal = 0
	case "STEPDOWN":
		if db.leads && db.term < term {
			db.leads = false
		}
	}
	role := "replica"
	if db.leads {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s %d 0 %d %d", role, db.term, db.end(), db.seal, db.busy, db.open)
}

// statement runs READ, WRITE or COMMIT.
func (s *session) statement(id, text, keyword, rest string, minimum position) (rows []string, proof, failure string) {
	db, group := s.db, s.db.group
	db.slots <- struct{}{}
	defer func() { <-db.slots }()
	group.mu.Lock()
	db.busy++
	isWrite := keyword == "WRITE" || keyword == "COMMIT" && len(s.writes) > 0
	isRefused := isWrite && !db.leads || s.isOpen && !s.readOnly && !db.leads && keyword != "COMMIT"
	isLagging := !db.visible().atLeast(minimum)
	started := &run{At: time.Now(), Database: db.id, ID: id, Text: text, Outcome: "running"}
	if !isRefused && !isLagging {
		group.runs = append(group.runs, started)
	}
	group.mu.Unlock()
	defer func() {
		group.mu.Lock()
		db.busy--
		group.mu.Unlock()
	}()
	if isRefused {
		return nil, "", "READONLY"
	}
	if isLagging {
		return nil, "", "LAGGING"
	}
	time.Sleep(workOf(text))
	group.mu.Lock()
	started.Ended, started.Saw, started.Outcome = time.Now(), db.visible(), "ok"
	group.proofs++
	proof = fmt.Sprintf("p%d.%s", group.proofs, db.id)
	item, data, _ := strings.Cut(rest, " ")
	switch {
	case keyword == "READ":
		value := db.value(item)
		if own, ok := s.writes[item]; ok {
			value = own
		}
		rows = []string{value}
	case keyword == "WRITE" && s.isOpen:
		s.writes[item] = data
	case keyword == "WRITE" || keyword == "COMMIT" && len(s.writes) > 0:
		if !db.leads {
			started.Outcome = "READONLY"
			group.mu.Unlock()
			return nil, "", "READONLY"
		}
		written := s.writes
		if keyword == "WRITE" {
			written = map[string]string{item: data}
		}
		started.Commit = position{db.term, db.end().number + 1}
		db.log = append(db.log, entry{at: started.Commit, data: written})
	}
	commit := started.Commit
	group.mu.Unlock()
	if keyword == "COMMIT" {
		s.end()
	}
	if commit.number > 0 && group.sync > 0 {
		for !group.hasReplica(db, commit) {
			time.Sleep(replicationDelay)
		}
	}
	return rows, proof, ""
}

// hasReplica reports whether a replica has received a commit of a database.
func (group *group) hasReplica(source *database, commit position) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	for _, db := range group.databases {
		if db == source {
			continue
		}
		for _, entry := range db.log {
			if entry.at == commit {
				return true
			}
		}
	}
	return false
}
