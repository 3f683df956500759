package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is heartbeatMs of the settings, expiry three check-in intervals of silence.
	heartbeat = 1200 * time.Millisecond
	expiry    = 3 * heartbeat
)

// entry is a commit in a log.
type entry struct {
	term, number uint64
	id           string
	at           time.Time
}

// group is a service: a primary and its replicas. It is a sound stand-in by PROTOCOL.md.
type group struct {
	name   string
	record *record
	store  *kvStore
	// links has the link of each VM, by its name; one that it lacks is not limited.
	links map[string]*bucket
	// sync is syncReplicas. work is how long a read, write or commit takes, promoteAfter the time
	// from a failover call until it takes effect.
	sync               int
	work, promoteAfter time.Duration

	mu        sync.Mutex
	changed   *sync.Cond
	term      uint64
	primary   *database
	databases []*database
	proofs    uint64
	// lag is how long after a commit a replica applies it. promoted is called with the database
	// that is promoted, onCommit with a commit, onRead with a read and the part of the log that it runs on; group.mu is
	// held.
	lag      time.Duration
	promoted func(member *database)
	onCommit func(member *database, id string)
	onRead   func(member *database, id string, log []entry)
}

type database struct {
	group   *group
	id      string
	zone    string
	address string
	slots   chan struct{}

	// What follows is guarded by group.mu. log has the commits that the database has received,
	// state is that of its entry.
	// shown is how much of the log reads have shown: that is never taken back, unless it is rolled
	// back.
	state    string
	shown    int
	log      []entry
	term     uint64
	isLeader bool
	sealed   uint64
	isDeaf   bool
	isDown   bool
	// isCut is set while the database is partitioned from the group's other databases, cutVMs has
	// the VMs from which it is partitioned.
	isCut    bool
	cutVMs   map[string]bool
	healedAt time.Time
	lastBeat time.Time
	seq      int
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// newGroup starts a group's databases on free ports of an address.
func newGroup(name, ip string, zones []string, slots int, record *record, store *kvStore, links map[string]*bucket) *group {
	started := &group{name: name, record: record, store: store, links: links, work: 6 * time.Millisecond, promoteAfter: 300 * time.Millisecond, term: 3}
	started.changed = sync.NewCond(&started.mu)
	for index, zone := range zones {
		member := &database{
			group: started, id: fmt.Sprintf("i-%s%d", name, index), zone: zone, address: ip + ":0", term: 3, state: "ready",
			slots: make(chan struct{}, slots), log: []entry{{3, 100, "start", time.Time{}}}, conns: make(map[net.Conn]struct{}),
		}
		started.databases = append(started.databases, member)
		member.listen()
	}
	started.primary, started.databases[0].isLeader = started.databases[0], true
	return started
}

func (member *database) listen() {
	listener, err := net.Listen("tcp4", member.address)
	check(err)
	member.address, member.listener = listener.Addr().String(), listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go member.serve(conn)
		}
	}()
}

// run writes the databases' entries to the store, and removes those of silent ones, until over is
// closed.
func (group *group) run(over chan struct{}) {
	for {
		now := time.Now()
		group.mu.Lock()
		for _, member := range group.databases {
			switch {
			case !member.isDown && now.Sub(member.lastBeat) >= heartbeat:
				member.beat()
			case member.isDown && !member.lastBeat.IsZero() && now.Sub(member.lastBeat) >= expiry:
				member.lastBeat = time.Time{}
				group.record.write("the entry of %s has expired", member.id)
				group.store.remove("servers/" + member.id)
			}
		}
		group.mu.Unlock()
		select {
		case <-over:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// beat writes the database's entry; group.mu must be held.
func (member *database) beat() {
	role := "replica"
	if member.isLeader {
		role = "primary"
	}
	member.seq++
	member.lastBeat = time.Now()
	member.group.store.put("servers/"+member.id, map[string]any{
		"service": member.group.name, "address": member.address, "zone": member.zone, "version": "v1", "slots": cap(member.slots),
		"state": member.state, "warmupLeftMs": 0, "dbRole": role, "seq": member.seq, "born": bornMS,
	})
}

var bornMS = time.Now().UnixMilli()

// crash ends a database's process: its connections are reset and its port is closed.
func (member *database) crash() {
	member.group.mu.Lock()
	defer member.group.mu.Unlock()
	member.group.record.write("%s (leader %t) crashes with its log up to %s", member.id, member.isLeader, member.position())
	member.isDown = true
	_ = member.listener.Close()
	for conn := range member.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	member.group.changed.Broadcast()
}

// restart starts a database again with its log, as a replica if another was promoted.
func (member *database) restart() {
	group := member.group
	group.mu.Lock()
	defer group.mu.Unlock()
	member.isDown, member.sealed = false, 0
	if member.term < group.term {
		member.isLeader = false
		group.follow(member)
	}
	member.listen()
	member.beat()
	group.record.write("%s is back (leader %t) with its log up to %s", member.id, member.isLeader, member.position())
}

// follow rolls a replica back to the primary's log, and gives it what it lacks; group.mu must be
// held.
func (group *group) follow(member *database) {
	if group.primary == nil || group.primary.isDown || group.primary.isCut || member.isCut || member.isDeaf || member.isDown || member.isLeader || member.sealed > group.term {
		return
	}
	member.applied()
	common := 0
	for common < min(member.shown, len(group.primary.log)) && member.log[common] == group.primary.log[common] {
		common++
	}
	member.term, member.shown = group.term, common
	member.log = append([]entry(nil), group.primary.log...)
}

// replicate gives all replicas that receive what the primary has; group.mu must be held. It
// returns how many have it.
func (group *group) replicate() int {
	count := 0
	for _, member := range group.databases {
		group.follow(member)
		if member != group.primary && !member.isDown && member.position() == group.primary.position() {
			count++
		}
	}
	return count
}

// setDeaf makes a replica receive nothing, or receive again.
func (member *database) setDeaf(isDeaf bool) {
	member.group.mu.Lock()
	defer member.group.mu.Unlock()
	member.group.record.write("%s receives nothing: %t; its log is at %s", member.id, isDeaf, member.position())
	member.isDeaf = isDeaf
	member.group.follow(member)
	member.group.changed.Broadcast()
}

// drain makes a database report that it is draining.
func (member *database) drain() {
	member.group.mu.Lock()
	defer member.group.mu.Unlock()
	member.state = "draining"
	member.beat()
	member.group.record.write("%s reports that it is draining", member.id)
}

// position returns the end of the log; group.mu must be held.
func (member *database) position() string {
	last := member.log[len(member.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// lockedPosition returns the end of what reads show.
func (member *database) lockedPosition() string {
	member.group.mu.Lock()
	defer member.group.mu.Unlock()
	applied := member.applied()
	last := applied[len(applied)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// applied returns the part of the log that reads show; group.mu must be held.
func (member *database) applied() []entry {
	end := len(member.log)
	if !member.isLeader {
		for limit := time.Now().Add(-member.group.lag); end > max(member.shown, 1) && member.log[end-1].at.After(limit); {
			end--
		}
	}
	member.shown = end
	return member.log[:end]
}

// has reports whether the log has the commit of a request; group.mu must be held.
func (member *database) has(id string) bool {
	for _, entry := range member.log {
		if entry.id == id {
			return true
		}
	}
	return false
}

// failover answers POST /failover.
func (group *group) failover(writer http.ResponseWriter, request *http.Request) {
	var order struct{ Service, ID string }
	_ = json.NewDecoder(request.Body).Decode(&order)
	group.mu.Lock()
	defer group.mu.Unlock()
	status := http.StatusConflict
	for _, member := range group.databases {
		if member.id == order.ID && !member.isDown {
			status = http.StatusOK
			time.AfterFunc(group.promoteAfter, func() { group.promote(member) })
		}
	}
	group.record.write("failover call: %s %s, holder %s, fence %s: %d", order.Service, order.ID, request.Header.Get("X-Lease-Holder"), request.Header.Get("X-Fencing-Token"), status)
	answer(writer, status, map[string]any{})
}

// promote makes a database lead the next term with what it has received.
func (group *group) promote(member *database) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if member.isDown || group.primary == member && member.isLeader {
		return
	}
	former := group.primary
	group.term++
	group.primary = member
	member.isLeader, member.sealed, member.term = true, 0, group.term
	last := member.log[len(member.log)-1]
	member.log = append(append([]entry(nil), member.log...), entry{group.term, last.number + 1, "term", time.Now()})
	group.record.write("%s is promoted with its log up to %d.%d and leads term %d", member.id, last.term, last.number, group.term)
	if group.promoted != nil {
		group.promoted(member)
	}
	if former != nil && former != member && !former.isDown {
		go group.endFormer(former)
	}
	group.replicate()
	group.changed.Broadcast()
}

// endFormer makes a replica of a former primary, a second after it can reach the new one.
func (group *group) endFormer(former *database) {
	for reachedFor := time.Duration(0); reachedFor < time.Second; {
		time.Sleep(20 * time.Millisecond)
		group.mu.Lock()
		isOver := former.isDown || !former.isLeader || former == group.primary
		canReach := !former.isCut && !group.primary.isDown && !group.primary.isCut
		group.mu.Unlock()
		reachedFor += 20 * time.Millisecond
		if isOver {
			return
		}
		if !canReach {
			reachedFor = 0
		}
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	if former.isLeader && former != group.primary {
		group.record.write("%s follows the new primary", former.id)
		former.shown, former.isLeader = len(former.log), false
		group.follow(former)
	}
}

// cut partitions a database from the others of its group and from VMs, until heal.
func (member *database) cut(vms ...string) {
	member.group.mu.Lock()
	defer member.group.mu.Unlock()
	member.group.record.write("%s is partitioned from the other databases and from %s", member.id, strings.Join(vms, ", "))
	member.isCut, member.cutVMs = true, make(map[string]bool)
	for _, vm := range vms {
		member.cutVMs[vm] = true
	}
}

func (member *database) heal() {
	member.group.mu.Lock()
	defer member.group.mu.Unlock()
	member.group.record.write("the partition of %s has healed; it leads term %d: %t", member.id, member.term, member.isLeader)
	member.isCut, member.cutVMs, member.healedAt = false, nil, time.Now()
	member.group.follow(member)
}

// awaitPath holds up what a VM has sent while the database is partitioned from it. It returns false
// if the VM has reset the connection by then, upon which what was held up is lost.
func (member *database) awaitPath(vm string, conn net.Conn, reader *bufio.Reader) bool {
	wasCut := false
	for {
		member.group.mu.Lock()
		isCut := member.cutVMs[vm] && !member.isDown
		member.group.mu.Unlock()
		if !isCut {
			break
		}
		wasCut = true
		time.Sleep(5 * time.Millisecond)
	}
	if !wasCut {
		return true
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// session is the state of one connection.
type session struct {
	member   *database
	vm       string
	conn     net.Conn
	state    string
	readOnly bool
	writes   []string
	prepared map[string]string
}

func (member *database) serve(conn net.Conn) {
	defer conn.Close()
	member.group.mu.Lock()
	if member.isDown {
		member.group.mu.Unlock()
		return
	}
	member.conns[conn] = struct{}{}
	member.group.mu.Unlock()
	defer func() {
		member.group.mu.Lock()
		defer member.group.mu.Unlock()
		delete(member.conns, conn)
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	first, err := readMessage(reader)
	if err != nil {
		return
	}
	fields := strings.Split(first, " ")
	if fields[0] != "STARTUP" || len(fields) < 3 || fields[1] != member.group.name || len(fields) > 3 && fields[3] != member.id {
		fmt.Fprint(conn, "ERROR WRONGNODE -\r\n")
		return
	}
	if !member.awaitPath(fields[2], conn, reader) || !member.takeSlot(12*time.Millisecond) {
		return
	}
	current := &session{member: member, vm: fields[2], conn: conn, state: "I", prepared: make(map[string]string)}
	fmt.Fprintf(conn, "READY I %s\r\n", member.lockedPosition())
	for {
		line, err := readMessage(reader)
		if err != nil || line == "TERMINATE" {
			return
		}
		if !member.awaitPath(fields[2], conn, reader) || current.handle(line) != nil {
			return
		}
	}
}

// takeSlot holds a slot for a time. It returns false if none is free within a second.
func (member *database) takeSlot(work time.Duration) bool {
	select {
	case member.slots <- struct{}{}:
	case <-time.After(time.Second):
		return false
	}
	time.Sleep(work)
	<-member.slots
	return true
}

// proof returns a proof that no other answer has.
func (group *group) proof() string {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.proofs++
	return fmt.Sprintf("p%x.%x", group.term, group.proofs)
}

func (member *database) leads() bool {
	member.group.mu.Lock()
	defer member.group.mu.Unlock()
	return member.isLeader
}

func (current *session) reply(rows []string, result string) error {
	var text strings.Builder
	for _, row := range rows {
		text.WriteString("DATAROW " + row + "\r\n")
	}
	fmt.Fprintf(&text, "%s\r\nREADY %s %s\r\n", result, current.state, current.member.lockedPosition())
	if link := current.member.group.links[current.vm]; link != nil {
		return link.send(current.conn, text.String())
	}
	_, err := current.conn.Write([]byte(text.String()))
	return err
}

func (current *session) fail(code string) error {
	if current.state == "T" {
		current.state = "E"
	}
	return current.reply(nil, "ERROR "+code+" -")
}

func (current *session) handle(line string) error {
	fields := strings.SplitN(line, " ", 3)
	if fields[0] != "QUERY" || len(fields) < 3 {
		return current.fail("MALFORMED")
	}
	id, text := fields[1], fields[2]
	member := current.member
	if rest, ok := strings.CutPrefix(text, "WAITFOR "); ok {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		if !member.hasReached(position) {
			return current.fail("LAGGING")
		}
	}
	keyword, rest, _ := strings.Cut(text, " ")
	if id != "-" {
		member.group.record.write("run %s at %s: %s", id, member.id, shorten(text))
	}
	if keyword == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := current.prepared[name]
		if !ok {
			return current.fail("NOSTMT")
		}
		keyword, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	switch keyword {
	case "BEGIN":
		current.readOnly, current.writes = rest == "READ", nil
		if !current.readOnly && !member.leads() {
			return current.reply(nil, "ERROR READONLY -")
		}
		current.state = "T"
		return current.reply(nil, "COMPLETE -")
	case "ROLLBACK", "RESET", "SET", "CLOSE":
		if keyword == "ROLLBACK" {
			current.state = "I"
		}
		if keyword == "RESET" {
			clear(current.prepared)
		}
		return current.reply(nil, "COMPLETE -")
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		current.prepared[name] = shape
		return current.reply(nil, "COMPLETE -")
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return current.control(keyword, rest)
	}
	if !member.takeSlot(member.group.work) {
		return current.fail("BUSY")
	}
	switch keyword {
	case "READ":
		member.group.mu.Lock()
		if member.group.onRead != nil {
			member.group.onRead(member, id, member.applied())
		}
		member.group.mu.Unlock()
		return current.reply(rowsOf(rest), "COMPLETE "+member.group.proof())
	case "WRITE":
		if !member.leads() {
			return current.fail("READONLY")
		}
		if current.state == "T" {
			current.writes = append(current.writes, id)
			return current.reply(nil, "COMPLETE "+member.group.proof())
		}
		if !member.commit(id) {
			return net.ErrClosed
		}
		return current.reply(nil, "COMPLETE "+member.group.proof())
	case "COMMIT":
		current.state = "I"
		if len(current.writes) > 0 {
			if !member.leads() {
				return current.reply(nil, "ERROR READONLY -")
			}
			if !member.commit(id) {
				return net.ErrClosed
			}
		}
		return current.reply(nil, "COMPLETE "+member.group.proof())
	}
	return current.fail("MALFORMED")
}

// commit appends a commit to the log, and waits until as many replicas as syncReplicas says have
// received it. It returns false if the database ends before that, or leads no more: then its answer
// is lost.
func (member *database) commit(id string) bool {
	group := member.group
	group.mu.Lock()
	defer group.mu.Unlock()
	last := member.log[len(member.log)-1]
	mine := entry{member.term, last.number + 1, id, time.Now()}
	member.log = append(member.log, mine)
	if group.onCommit != nil {
		group.onCommit(member, id)
	}
	if group.sync == 0 {
		if group.primary == member {
			group.replicate()
		}
		return true
	}
	for member.isLeader && !member.isDown && group.primary == member {
		if group.replicate() >= group.sync {
			return true
		}
		group.changed.Wait()
	}
	return false
}

// hasReached reports whether the log has a position.
func (member *database) hasReached(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	number, _ := strconv.ParseUint(numberText, 10, 64)
	member.group.mu.Lock()
	defer member.group.mu.Unlock()
	applied := member.applied()
	last := applied[len(applied)-1]
	return last.term > term || last.term == term && last.number >= number
}

// control answers with the database's report.
func (current *session) control(keyword, rest string) error {
	member, group := current.member, current.member.group
	term, _ := strconv.ParseUint(rest, 10, 64)
	group.mu.Lock()
	switch {
	case keyword == "PAUSE" && !member.isLeader && term > group.term:
		member.sealed = term
	case keyword == "RESUME":
		member.sealed = 0
		group.follow(member)
		group.changed.Broadcast()
	case keyword == "STEPDOWN" && member.isLeader && member.term < term:
		group.record.write("%s steps down from term %d", member.id, member.term)
		member.shown = len(member.log)
		member.isLeader = false
		group.follow(member)
		group.changed.Broadcast()
	}
	role := "replica"
	if member.isLeader {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d 0 0 1", role, member.term, member.position(), member.sealed)
	group.mu.Unlock()
	return current.reply([]string{row}, "COMPLETE -")
}

// rowsOf returns the rows of an item: "big-N-..." has N rows of almost 1 MiB, any other one
// short row.
func rowsOf(name string) []string {
	parts := strings.Split(name, "-")
	if parts[0] != "big" || len(parts) < 2 {
		return []string{"row-of-" + name}
	}
	count, _ := strconv.Atoi(parts[1])
	rows := make([]string, count)
	for index := range rows {
		rows[index] = bigRow
	}
	return rows
}

// bigRow makes a DATAROW message of less than 1 MiB.
var bigRow = strings.Repeat("x", 1<<20-64)

func shorten(text string) string {
	if len(text) > 60 {
		return text[:60] + "..."
	}
	return text
}

func readMessage(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	for err == nil && !strings.HasSuffix(line, "\r\n") {
		var more string
		more, err = reader.ReadString('\n')
		line += more
	}
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}
