//go:build review

package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one commit in a log.
type entry struct {
	term, number uint64
	operation    string // the ID of the statement that committed it
	database     string
	at           time.Time
}

// run is one statement of a consumer that a database ran.
type run struct {
	id, text, database, proof string
	conn                      int
	term                      uint64
	at                        time.Time
	committed                 *entry
	rows                      []string
	who, transaction          string
	values                    map[string]string
	// lacked has acknowledged commits that the log lacked at a read.
	lacked []*entry
}

// database is a stand-in of one database, as PROTOCOL.md describes it.
type database struct {
	group             *group
	id, address, zone string
	slots             chan struct{}
	waiting           int
	listener          net.Listener
	conns             map[net.Conn]bool

	isUp   bool
	isDeaf bool // receives nothing
	// isAlone is set while the database is partitioned from the other databases.
	isAlone  bool
	leads    bool
	term     uint64
	held     uint64 // PAUSE
	log      []*entry
	visible  int // how many entries reads show
	visibles []time.Time
	// supersededAt is when the database could first reach the primary of a newer term.
	supersededAt time.Time
	draining     bool
	// cutFrom has the VMs that are partitioned from the database.
	cutFrom    map[string]bool
	born       int64
	registered string
}

// promotion is one promotion that has taken effect.
type promotion struct {
	term     uint64
	database string
	at       time.Time
	start    uint64 // the last number that the log of the promoted database had
}

// group is the databases of one service.
type group struct {
	world    *world
	service  string
	sync     int
	work     time.Duration
	promote  time.Duration
	lag      time.Duration
	maxConns int

	mu         sync.Mutex
	databases  []*database
	term       uint64
	target     string // the database that the last accepted order named
	promotions []promotion
	runs       []*run
	lostAcked  []string
	source     *database // the last primary that was observed
	connCount  int
	proofCount int
}

// statusIsRefused makes a database refuse STATUS as BUSY while all slots are in use; else STATUS
// queues like other statements.
var statusIsRefused = os.Getenv("STATUS") == "busy"

// waitsWithoutSlot makes a commit that waits for a replica give its slot back; else it occupies it
// until it is answered.
var waitsWithoutSlot = os.Getenv("WAIT") == "free"

const (
	networkDelay  = time.Millisecond
	queueLength   = 24
	stepDownAfter = time.Second // "until a second after it can reach the new primary"
	handshake     = 12 * time.Millisecond
)

func (group *group) find(id string) *database {
	for _, database := range group.databases {
		if database.id == id {
			return database
		}
	}
	return nil
}

// primary returns the leading database of the newest term that is up; nil if there is none.
func (group *group) primary() *database {
	var newest *database
	for _, database := range group.databases {
		if database.isUp && database.leads && (newest == nil || database.term > newest.term) {
			newest = database
		}
	}
	return newest
}

// lead returns the leading database.
func (group *group) lead() *database {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.primary()
}

// replicate runs the replication of the group, one step each millisecond.
func (group *group) replicate(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(networkDelay):
		}
		group.mu.Lock()
		group.step(time.Now())
		group.mu.Unlock()
	}
}

func (group *group) step(now time.Time) {
	primary := group.primary()
	if primary != nil {
		group.source = primary
	} else if group.source != nil && group.source.isUp {
		// A primary that has stepped down still sends what it has committed.
		primary = group.source
	}
	for _, database := range group.databases {
		if !database.isUp {
			continue
		}
		for database.visible < len(database.log) && !database.visibles[database.visible].After(now) {
			database.visible++
		}
		if primary == nil || database == primary || database.isAlone || primary.isAlone {
			continue
		}
		if database.leads {
			// A former primary, which reaches the new one.
			if database.supersededAt.IsZero() {
				database.supersededAt = now
			}
			if now.Sub(database.supersededAt) < stepDownAfter {
				continue
			}
			database.leads = false
		}
		database.supersededAt = time.Time{}
		if database.isDeaf || database.held > primary.term {
			continue
		}
		database.held = 0 // the promote for which it was paused
		group.follow(database, primary, now)
	}
}

// follow copies the primary's log to a replica, and rolls back what the primary lacks.
func (group *group) follow(replica, primary *database, now time.Time) {
	common := 0
	if replica.term == primary.term {
		common = min(len(replica.log), len(primary.log))
	} else {
		for common < min(len(replica.log), len(primary.log)) && replica.log[common] == primary.log[common] {
			common++
		}
	}
	replica.log, replica.visibles = replica.log[:common], replica.visibles[:common]
	replica.visible = min(replica.visible, common)
	replica.term = primary.term
	for _, entry := range primary.log[common:] {
		if now.Sub(entry.at) < networkDelay {
			break
		}
		replica.log = append(replica.log, entry)
		replica.visibles = append(replica.visibles, now.Add(group.lag))
	}
}

// commit appends a commit to the log of a leading database.
func (database *database) commit(operation string) *entry {
	committed := &entry{
		term: database.term, number: uint64(len(database.log) + 1), operation: operation, database: database.id, at: time.Now(),
	}
	database.log = append(database.log, committed)
	database.visibles = append(database.visibles, committed.at)
	database.visible = len(database.log)
	return committed
}

func (database *database) has(wanted *entry, count int) bool {
	return int(wanted.number) <= count && database.log[wanted.number-1] == wanted
}

// isReceived reports whether another database that follows this one has received a commit.
func (database *database) isReceived(wanted *entry) bool {
	for _, other := range database.group.databases {
		if other != database && other.isUp && !other.leads && other.has(wanted, len(other.log)) {
			return true
		}
	}
	return false
}

// order is what POST /failover does: the named database leads the next term after the promotion's
// duration. It returns the status.
func (group *group) order(id string) int {
	group.mu.Lock()
	defer group.mu.Unlock()
	named := group.find(id)
	if named == nil || !named.isUp {
		return 409
	}
	if group.target == id {
		return 200
	}
	group.target = id
	go func() {
		time.Sleep(group.promote)
		group.mu.Lock()
		defer group.mu.Unlock()
		if !named.isUp {
			return
		}
		group.term++
		named.term, named.leads, named.held, named.isDeaf = group.term, true, 0, false
		named.visible, named.supersededAt = len(named.log), time.Time{}
		now := time.Now()
		group.promotions = append(group.promotions, promotion{group.term, id, now, uint64(len(named.log))})
		group.world.note("promote %s leads term %d with %d commits", id, group.term, len(named.log))
		if group.sync > 0 {
			for _, acked := range group.world.ackedCommits() {
				if group.find(acked.database) != nil && !named.has(acked, len(named.log)) && !slices.Contains(group.lostAcked, acked.operation) {
					group.lostAcked = append(group.lostAcked, acked.operation)
				}
			}
		}
	}()
	return 200
}

// position returns the end of what reads show.
func (database *database) position() string {
	return fmt.Sprintf("%d.%d", database.term, database.visible)
}

func (database *database) status() string {
	role := "replica"
	if database.leads {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %d.%d %d %d %d %d", role, database.term, database.term, len(database.log), database.held, 0, len(database.slots), len(database.conns))
}

// lacksPosition reports whether the log lacks a position that a WAITFOR names.
func (database *database) lacksPosition(text string) bool {
	termText, numberText, _ := strings.Cut(text, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	number, _ := strconv.ParseUint(numberText, 10, 64)
	if term < database.term {
		for _, promotion := range database.group.promotions {
			if promotion.term > term && promotion.term <= database.term {
				number = min(number, promotion.start)
			}
		}
	}
	return term > database.term || number > uint64(database.visible)
}

func (database *database) start() error {
	listener, err := net.Listen("tcp4", database.address)
	if err != nil {
		return err
	}
	group := database.group
	group.mu.Lock()
	database.listener, database.isUp, database.conns = listener, true, make(map[net.Conn]bool)
	database.born = time.Now().UnixMilli()
	group.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go database.serve(conn)
		}
	}()
	return nil
}

// restart starts the database's process again after a crash, with its log.
func (database *database) restart() error {
	group := database.group
	group.mu.Lock()
	primary := group.primary()
	if primary != nil && primary.term > database.term {
		database.leads = false
	}
	database.held = 0
	group.mu.Unlock()
	group.world.note("%s starts again", database.id)
	return database.start()
}

// crash ends the database's process: connections are reset, and the listener is closed.
func (database *database) crash() {
	group := database.group
	group.mu.Lock()
	defer group.mu.Unlock()
	database.isUp = false
	_ = database.listener.Close()
	for conn := range database.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	group.world.note("crash %s", database.id)
}

type session struct {
	database      *database
	vm            string
	conn          net.Conn
	number        int
	inTransaction bool
	readOnly      bool
	isFailed      bool
	wrote         bool
	prepared      map[string]string
	values        map[string]string
	transaction   string
	holdsSlot     bool
}

func (database *database) serve(conn net.Conn) {
	group := database.group
	group.mu.Lock()
	if len(database.conns) >= group.maxConns || !database.isUp {
		group.mu.Unlock()
		fmt.Fprintf(conn, "ERROR MAXCONN %s\r\n", database.id)
		_ = conn.Close()
		return
	}
	database.conns[conn] = true
	group.connCount++
	session := &session{database: database, conn: conn, number: group.connCount, prepared: make(map[string]string), values: make(map[string]string)}
	group.mu.Unlock()
	defer func() {
		_ = conn.Close()
		group.mu.Lock()
		delete(database.conns, conn)
		group.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(conn, 4096)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != group.service || len(fields) > 3 && fields[3] != database.id {
		fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", database.id)
		return
	}
	session.vm = fields[2]
	if !session.isConnected() {
		return
	}
	if !database.takeSlot() {
		fmt.Fprintf(conn, "ERROR BUSY %s\r\n", database.id)
		return
	}
	time.Sleep(handshake)
	<-database.slots
	group.mu.Lock()
	position := database.position()
	group.mu.Unlock()
	fmt.Fprintf(conn, "READY I %s\r\n", position)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		keyword, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		id, text, _ := strings.Cut(rest, " ")
		if keyword != "QUERY" || !session.isConnected() {
			return
		}
		answer := session.query(id, text)
		if answer == "" || !session.isConnected() {
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// isConnected returns true if the VM of the session is not partitioned from the database. Otherwise
// it waits until the partition ends, and the connection is closed then.
func (session *session) isConnected() bool {
	database, group := session.database, session.database.group
	wasCut := false
	for {
		group.mu.Lock()
		isCut := database.cutFrom[session.vm]
		group.mu.Unlock()
		if !isCut {
			return !wasCut
		}
		wasCut = true
		time.Sleep(5 * time.Millisecond)
	}
}

// cut partitions VMs from the database; without names it ends the partition.
func (database *database) cut(vms ...string) {
	database.group.mu.Lock()
	defer database.group.mu.Unlock()
	database.cutFrom = make(map[string]bool)
	for _, vm := range vms {
		database.cutFrom[vm] = true
	}
	database.group.world.note("%s is partitioned from %v", database.id, vms)
}

// takeSlot waits for a slot; false if the queue is full.
func (database *database) takeSlot() bool {
	select {
	case database.slots <- struct{}{}:
		return true
	default:
	}
	group := database.group
	group.mu.Lock()
	isFull := database.waiting >= queueLength
	if !isFull {
		database.waiting++
	}
	group.mu.Unlock()
	if isFull {
		return false
	}
	database.slots <- struct{}{}
	group.mu.Lock()
	database.waiting--
	group.mu.Unlock()
	return true
}

func (session *session) ready() string {
	state := "I"
	if session.isFailed {
		state = "E"
	} else if session.inTransaction {
		state = "T"
	}
	return "READY " + state + " " + session.database.position() + "\r\n"
}

func (session *session) fail(code string) string {
	if session.inTransaction && code != "BUSY" && code != "LAGGING" {
		session.isFailed = true
	}
	return "ERROR " + code + " " + session.database.id + "\r\n" + session.ready()
}

func (session *session) ok() string { return "COMPLETE -\r\n" + session.ready() }

// query runs one QUERY and returns the answer; "" if the database has crashed meanwhile.
func (session *session) query(id, text string) string {
	database, group := session.database, session.database.group
	full := text
	wait := ""
	if rest, ok := strings.CutPrefix(text, "WAITFOR "); ok {
		wait, text, _ = strings.Cut(rest, " ")
	}
	word, arguments, _ := strings.Cut(text, " ")
	if word == "EXECUTE" {
		name, values, _ := strings.Cut(arguments, " ")
		group.mu.Lock()
		definition, ok := session.prepared[name]
		group.mu.Unlock()
		if !ok {
			group.mu.Lock()
			defer group.mu.Unlock()
			return session.fail("NOSTMT")
		}
		var shape string
		word, shape, _ = strings.Cut(definition, " ")
		arguments = shape + " " + values
		text = word + " " + arguments
	}
	switch word {
	case "READ", "WRITE", "COMMIT", "STATUS":
		if isFull := len(database.slots) == cap(database.slots); word == "STATUS" && isFull && statusIsRefused || !database.takeSlot() {
			group.mu.Lock()
			defer group.mu.Unlock()
			return session.fail("BUSY")
		}
		if word == "STATUS" {
			time.Sleep(time.Millisecond)
		} else {
			time.Sleep(group.work)
		}
		session.holdsSlot = true
		defer session.releaseSlot()
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	if !database.isUp {
		return ""
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		term, _ := strconv.ParseUint(arguments, 10, 64)
		switch {
		case word == "PAUSE" && !database.leads && term > database.term:
			database.held = term
		case word == "RESUME":
			database.held = 0
		case word == "STEPDOWN" && database.leads && database.term < term:
			database.leads = false
		}
		if word != "STATUS" {
			group.world.note("control %s %s -> %s", database.id, full, database.status())
		}
		return "DATAROW " + database.status() + "\r\n" + session.ok0() + session.ready()
	case "RESET":
		clear(session.prepared)
		clear(session.values)
		return session.ok()
	case "SET":
		name, value, _ := strings.Cut(arguments, " ")
		session.values[name] = value
		return session.ok()
	case "PREPARE":
		name, definition, _ := strings.Cut(arguments, " ")
		session.prepared[name] = definition
		return session.ok()
	case "ROLLBACK":
		session.inTransaction, session.isFailed, session.wrote, session.readOnly = false, false, false, false
		return session.ok()
	}
	if session.isFailed {
		return session.fail("MALFORMED")
	}
	if wait != "" && database.lacksPosition(wait) {
		return session.fail("LAGGING")
	}
	switch word {
	case "BEGIN":
		if arguments == "" && !database.leads {
			return session.fail("READONLY")
		}
		session.inTransaction, session.readOnly, session.wrote = true, arguments != "", false
		session.transaction = id
		return session.ok()
	case "READ":
		if session.inTransaction && !session.readOnly && !database.leads {
			return session.fail("READONLY")
		}
		return session.answer(group.record(session, id, text, nil))
	case "WRITE":
		if !database.leads || session.readOnly {
			return session.fail("READONLY")
		}
		if session.inTransaction {
			session.wrote = true
			return session.answer(group.record(session, id, text, nil))
		}
		return session.commit(id, text)
	case "COMMIT":
		if session.wrote && !database.leads {
			return session.fail("READONLY")
		}
		wrote := session.wrote
		session.inTransaction, session.wrote, session.readOnly = false, false, false
		if !wrote {
			return session.answer(group.record(session, id, text, nil))
		}
		return session.commit(id, text)
	}
	return session.fail("MALFORMED")
}

func (session *session) releaseSlot() {
	if session.holdsSlot {
		session.holdsSlot = false
		<-session.database.slots
	}
}

func (session *session) ok0() string { return "COMPLETE -\r\n" }

// commit commits, and waits for a replica where the service has syncReplicas.
func (session *session) commit(id, text string) string {
	database, group := session.database, session.database.group
	committed := database.commit(id)
	recorded := group.record(session, id, text, committed)
	if waitsWithoutSlot {
		session.releaseSlot()
	}
	for group.sync > 0 && !database.isReceived(committed) {
		if !database.isUp || !database.conns[session.conn] || time.Since(committed.at) > 8*time.Second {
			return ""
		}
		group.mu.Unlock()
		time.Sleep(networkDelay)
		group.mu.Lock()
	}
	if !database.isUp {
		return ""
	}
	return session.answer(recorded)
}

func (session *session) answer(recorded *run) string {
	var text strings.Builder
	for _, row := range recorded.rows {
		text.WriteString("DATAROW " + row + "\r\n")
	}
	return text.String() + "COMPLETE " + recorded.proof + "\r\n" + session.ready()
}

// record records a statement that ran, with the acknowledged commits that a read lacked.
func (group *group) record(session *session, id, text string, committed *entry) *run {
	group.proofCount++
	database := session.database
	recorded := &run{
		id: id, text: text, database: database.id, proof: fmt.Sprintf("p%d.%s", group.proofCount, database.id), conn: session.number,
		term: database.term, at: time.Now(), committed: committed, who: session.vm, values: maps.Clone(session.values),
	}
	if session.inTransaction || strings.HasPrefix(text, "COMMIT") {
		recorded.transaction = session.transaction
	}
	if strings.HasPrefix(text, "READ") || strings.HasPrefix(text, "EXECUTE") {
		recorded.rows = []string{fmt.Sprintf("row%d.%d", database.term, database.visible)}
		recorded.lacked = group.world.lackedBy(database, id)
	}
	group.runs = append(group.runs, recorded)
	return recorded
}
