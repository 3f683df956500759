// Package event defines the catalogue of numbered log events and the log that writes
// them. docs/EVENTS.md is generated from the same catalogue.
package event

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// ID is the number of an event. Numbers are never reused.
type ID int

// The events. Titles don't change, so some keep older words: TaskEnded, LeadershipTaken
// and LeadershipLost call a task and the leader lease a duty, ConfirmedWithoutAck calls a
// replica acknowledgement a receipt.
const (
	Started             ID = 1001
	Stopping            ID = 1002
	Stopped             ID = 1003
	TaskEnded           ID = 1004
	LinesLeftOut        ID = 1005
	SettingsReread      ID = 1006
	SettingsRefused     ID = 1007
	CallerRefused       ID = 2001
	CallerBroke         ID = 2002
	TokenIgnored        ID = 2003
	UncertainOutcome    ID = 2004
	RequestRefused      ID = 2005
	RequestRetried      ID = 2006
	ConfirmedWithoutAck ID = 2007
	PanicContained      ID = 2008
	AcceptFailed        ID = 2009
	SessionsRevoked     ID = 2010
	AnswerMismatched    ID = 2011
	PrimarySuspected    ID = 3001
	PromotionBegun      ID = 3002
	PromotionDone       ID = 3003
	PromotionFailed     ID = 3004
	PromotionUseless    ID = 3005
	SlotDropped         ID = 3006
	LeadershipTaken     ID = 3007
	LeadershipLost      ID = 3008
	ReplicaUnsealed     ID = 3010
	GroupState          ID = 3011
	OrderUnsettled      ID = 3012
	OrderSettled        ID = 3013
	PromotionWaits      ID = 3014
	DatabaseGivenUp     ID = 3015
	ConfigApplied       ID = 4001
	ConfigRefused       ID = 4002
	StoreFailing        ID = 4003
	StoreRecovered      ID = 4004
	ConfigFromPeer      ID = 4005
	EntryIgnored        ID = 4006
	KeysChanged         ID = 4007
	PeerSuspected       ID = 5001
	PeerJoined          ID = 5002
	PeerLeft            ID = 5003
	PeerRefused         ID = 5004
	ShareChanged        ID = 5005
	RouterSilent        ID = 5006
	RouterBack          ID = 5007
	PeerKeysRefused     ID = 5008
)

// Entry is the documentation of one event.
type Entry struct {
	ID    ID
	Level logrus.Level
	// Title is the message of the log line.
	Title string
	// Text describes the event and the operator's response.
	Text string
	// Fields are the structured fields besides event and vm.
	Fields []string
	// Since is the first version of bramleydoor that has the event.
	Since string
}

// Catalogue lists all events in the order of their numbers.
var Catalogue = []Entry{
	{Started, logrus.InfoLevel, "VM started", "The VM accepts callers. No action is needed.", []string{"address", "zone"}, "0.1"},
	{Stopping, logrus.InfoLevel, "VM stopping", "A planned stop has begun: each session is closed between two of its requests.", []string{"reason"}, "0.1"},
	{Stopped, logrus.InfoLevel, "VM stopped", "All of the VM's tasks have ended.", nil, "0.1"},
	{TaskEnded, logrus.ErrorLevel, "Duty ended", "One of the VM's tasks ended with an error; the VM stops and should be replaced. Report the error.", []string{"error"}, "0.1"},
	{LinesLeftOut, logrus.WarnLevel, "Lines left out", "An event (of) exceeded the limit of lines per second, so some of its lines (count) were not written. The counters include them.", []string{"of", "count"}, "0.2"},
	{SettingsReread, logrus.InfoLevel, "Settings read again", "The settings file was read again upon a signal. Settings that differ from those at the start take effect at the next start.", []string{"differs"}, "0.2"},
	{SettingsRefused, logrus.ErrorLevel, "Settings refused", "The settings file has errors; the VM keeps its previous settings.", []string{"error"}, "0.2"},
	{CallerRefused, logrus.InfoLevel, "Caller refused", "A connection was refused. The counters give the number of refusals by reason.", []string{"reason", "remote"}, "0.1"},
	{CallerBroke, logrus.InfoLevel, "Caller broke the protocol", "The input was malformed, oversized or too slow; only the connection of this caller was closed.", []string{"error", "remote"}, "0.1"},
	{TokenIgnored, logrus.WarnLevel, "Session token ignored", "The token was forged, damaged or issued elsewhere; the caller's minimum position was read from a majority instead. Many of these events after a key change mean that an old key was removed too early.", []string{"error", "database"}, "0.1"},
	{UncertainOutcome, logrus.WarnLevel, "Outcome unknown", "A request failed after dispatch, so it may have run. The caller received this verdict and can query the outcome by request key.", []string{"request", "transaction", "database", "group", "slot", "reason", "term", "error"}, "0.1"},
	{RequestRefused, logrus.InfoLevel, "Request refused", "A request was refused; transaction is the ID of the request that opened its transaction. Unless the code is unknown or inDoubt, the request had no lasting effect. The reason is also the name of a counter. For the reason quota, home is the VM that grants the tokens of the team's quota, grantAgeMs the time since this VM last got one (-1 if never), and demand the team's operations per second at this VM.", []string{"request", "transaction", "database", "team", "code", "reason", "attempt", "afterMs", "home", "grantAgeMs", "demand"}, "0.2"},
	{RequestRetried, logrus.InfoLevel, "Request retried", "A request that did not run, or a read, is retried. Dispatch is notDispatched if the previous attempt was not sent, known if its outcome is known, and otherwise unknown.", []string{"request", "transaction", "group", "slot", "reason", "dispatch", "attempt", "afterMs"}, "0.2"},
	{ConfirmedWithoutAck, logrus.WarnLevel, "Confirmed without a receipt", "A write was confirmed although no replica was known to have received it: if the primary is lost before replication, so is the write. Many of these events mean that replicas receive nothing.", []string{"request", "transaction", "group", "position", "afterMs"}, "0.2"},
	{PanicContained, logrus.ErrorLevel, "Panic contained", "An unexpected error ended one request and, for a caller of this VM, its session; the VM serves on. The request may have run. Report the error with its stack.", []string{"request", "error", "stack"}, "0.3"},
	{AcceptFailed, logrus.ErrorLevel, "Accept failed", "A connection could not be accepted; the VM tries again after a short pause. Many of these events mean that the VM has used up its file descriptors.", []string{"error"}, "0.3"},
	{SessionsRevoked, logrus.InfoLevel, "Sessions revoked", "A new configuration lacks the key of a team's sessions (count), or gives it to another team; team is empty for callers without one. Idle sessions are closed; an open transaction may go on for 2 s and is then rolled back. No action is needed unless the key was removed by mistake.", []string{"team", "count"}, "0.4"},
	{AnswerMismatched, logrus.WarnLevel, "Answer does not match", "What was received from a database (slot) can't be the answer to the request; kind is the request's kind. The reason is proofRepeated, noProof, unexpectedProof, rows or state if the answer lacks what this kind has, or has what it can't have; position if the end of the log is before that in an earlier answer; barrier if an answer was not followed by that to a barrier (see PLATFORM.md); errorRepeated if the connection has given an error before; errorAfterEarlier if an error followed a skipped answer; invalid if it is not an answer at all; unread if data was found between two requests, upon which the next one was not sent. It is also the name of a counter. Such an answer may be a second one to an earlier request. For a statement, proofRepeated and noProof are skipped until its own answer comes. Otherwise the answer counts as lost, and the connection is closed: a read is retried, a transaction is rolled back, and a write or commit is in doubt. Report the database if this recurs.", []string{"request", "kind", "group", "slot", "reason", "error"}, "0.5"},
	{PrimarySuspected, logrus.WarnLevel, "Primary suspected", "The failover controller has received no answer from the primary for longer than the usual delays explain.", []string{"group", "slot", "silenceMs"}, "0.1"},
	{PromotionBegun, logrus.WarnLevel, "Promotion begun", "The failover controller starts to seal a new term on a majority of slots.", []string{"group", "term", "cause"}, "0.1"},
	{PromotionDone, logrus.WarnLevel, "Promotion done", "The group has a new primary.", []string{"group", "term", "slot", "position", "sealed", "allRevoked", "sealMs", "revokeMs", "tookMs"}, "0.1"},
	{PromotionFailed, logrus.ErrorLevel, "Promotion failed", "The attempt ended without a new primary and is retried. If this event recurs, check for slots that don't answer.", []string{"group", "term", "error"}, "0.1"},
	{PromotionUseless, logrus.ErrorLevel, "Promotion not begun", "No majority of slots answers, so a promotion would not succeed. Restore slots.", []string{"group", "answering", "slots"}, "0.1"},
	{SlotDropped, logrus.WarnLevel, "Slot dropped", "Connections to a slot that does not answer were closed.", []string{"group", "slot", "connections"}, "0.1"},
	{LeadershipTaken, logrus.InfoLevel, "Duty taken", "This VM was elected to order promotions and has a new fencing token. The set is given for the second set of groups and further ones.", []string{"token", "set"}, "0.2"},
	{LeadershipLost, logrus.WarnLevel, "Duty lost", "This VM no longer orders promotions. The reason is lapsed if its record in the store was not renewed in time, unreadable if the record can't be decoded, released after a planned stop, or else the VM that replaced it.", []string{"token", "reason", "set"}, "0.2"},
	{ReplicaUnsealed, logrus.InfoLevel, "Replica unsealed", "The seal of a replica was removed, since no promotion followed it.", []string{"group", "slot"}, "0.2"},
	{GroupState, logrus.InfoLevel, "State of a group", "This VM's view of a group. Slots gives role/latency/under way/failures/lag of each database: latency and lag in ms, requests in progress, and consecutive failures. Links gives open/idle/limit/waiting of each database: open and idle connections, the limit of concurrent requests, and queued requests. Routes counts the reads so far by routing reason.", []string{"group", "term", "slots", "links", "routes"}, "0.2"},
	{OrderUnsettled, logrus.WarnLevel, "Order unsettled", "The outcome of an order to promote a database (slot) is unknown, so it may still take effect, and the group has no leases until it has. The leader sends it again; reason is noAnswer, noReport if the platform accepted the order but the database has not answered since, or predecessor if a former leader sent it. Check the platform's failover service if this lasts.", []string{"group", "term", "slot", "reason", "error"}, "0.2"},
	{OrderSettled, logrus.InfoLevel, "Order settled", "An unsettled order has taken effect: a database leads the term that it begins, or a later one.", []string{"group", "term", "slot", "primary"}, "0.2"},
	{PromotionWaits, logrus.WarnLevel, "Promotion waits", "The leader of a group waits before it promotes a database, or issues the first leases of a term; slots are the databases that it waits for. The reason is also the name of a counter (promotionWaits): reports if no record says which term is the newest, so that every registered database has to answer; seals if replication is synchronous and these databases may have acknowledged commits that no sealed one has; holders if the leader is new and VMs that it doesn't know may have leases of its predecessor, for up to 2.05 s; order if the outcome of an order is unknown and its database is no longer registered, so that another one has to be promoted. OPERATIONS.md says what to do if this lasts.", []string{"group", "term", "reason", "slots"}, "0.6"},
	{DatabaseGivenUp, logrus.ErrorLevel, "Database given up", "A promotion goes without a database (slot) that operators have declared lost. Acknowledged commits that only it and the former primary had are gone.", []string{"group", "slot"}, "0.6"},
	{ConfigApplied, logrus.InfoLevel, "Configuration in force", "A ticket was applied on this VM.", []string{"number", "ticket"}, "0.1"},
	{ConfigRefused, logrus.ErrorLevel, "Configuration refused", "A ticket in the store can't be applied; the VM keeps the previous configuration. Submit a ticket that corrects it.", []string{"number", "error"}, "0.1"},
	{StoreFailing, logrus.WarnLevel, "Store failing", "Calls to the platform's store fail. Everything but the acceptance of tickets continues to work.", []string{"error"}, "0.1"},
	{StoreRecovered, logrus.InfoLevel, "Store back", "Calls to the platform's store succeed again.", nil, "0.1"},
	{ConfigFromPeer, logrus.InfoLevel, "Configuration from a peer", "Tickets were received from a peer instead of the store.", []string{"peer", "number"}, "0.1"},
	{EntryIgnored, logrus.WarnLevel, "Entry ignored", "An entry in the store can't be decoded; it is not used as a database. For the key of the configuration, the error names a team, or a key's teams, without which the configuration was applied: correct it.", []string{"key", "error"}, "0.2"},
	{KeysChanged, logrus.InfoLevel, "Keys changed", "A configuration (number) has added and removed callers' keys; teams is the number of teams affected. A key that another team gets counts as added and as removed. No action is needed.", []string{"number", "added", "removed", "teams"}, "0.4"},
	{PeerSuspected, logrus.WarnLevel, "Peer suspected", "A VM does not answer its peers; other VMs take over its tasks.", []string{"peer"}, "0.1"},
	{PeerJoined, logrus.InfoLevel, "Peer joined", "A VM was added to the live VMs. Peer is the sender of the message that reported it, which may be another VM.", []string{"peer"}, "0.1"},
	{PeerLeft, logrus.InfoLevel, "Peer left", "A VM has left, or did not answer in time and is regarded as stopped.", []string{"peer"}, "0.1"},
	{PeerRefused, logrus.WarnLevel, "Peer refused", "A connection or datagram to the peer address did not prove that it comes from a VM that has the key, or repeats an earlier one. The counter peerRefused includes the lines left out.", []string{"remote", "error"}, "0.1"},
	{ShareChanged, logrus.InfoLevel, "Connection shares changed", "The VM's shares of the connection limits were recomputed, since the set of live VMs has changed.", []string{"view", "vms"}, "0.1"},
	{RouterSilent, logrus.WarnLevel, "Routing VM silent", "A VM to which requests are forwarded does not answer, or its connection failed. Requests go to the next routing VM, or directly to the databases.", []string{"peer", "error"}, "0.3"},
	{RouterBack, logrus.InfoLevel, "Routing VM connected", "Requests may be forwarded to a VM.", []string{"peer"}, "0.3"},
	{PeerKeysRefused, logrus.ErrorLevel, "Peer keys refused", "The record of the keys for messages between VMs can't be used; the VM keeps the keys that it has. Correct the record.", []string{"revision", "error"}, "0.4"},
}

// Find returns the catalogue entry of an event.
func Find(id ID) (Entry, bool) {
	for _, entry := range Catalogue {
		if entry.ID == id {
			return entry, true
		}
	}
	return Entry{}, false
}

// maxLinesPerSecond limits the lines of one event in a second. Further ones are
// suppressed, and a LinesLeftOut event reports their number.
const maxLinesPerSecond = 40

// maxFieldBytes limits the texts in a line. A request ID of a caller may have nearly 1 MiB.
const maxFieldBytes = 4096

// Log writes events with the fields of one VM.
type Log struct {
	logger *logrus.Entry
	// Now returns the time for the rate limit; nil disables the limit.
	Now func() time.Time

	mu          sync.Mutex
	rateWindows map[ID]*rateWindow
}

// rateWindow counts the lines of one event in one second.
type rateWindow struct {
	second          int64
	writtenLines    int
	suppressedLines int
}

// NewLog returns a log that writes the events of a VM to logger, without a rate limit.
func NewLog(logger *logrus.Logger, vm string) *Log {
	return &Log{logger: logger.WithField("vm", vm)}
}

// Fields are the structured fields of one event.
type Fields = logrus.Fields

// Write writes an event, unless the rate limit of the event is reached. A nil log
// writes nothing.
func (log *Log) Write(id ID, fields Fields) {
	if log == nil {
		return
	}
	suppressedLines, ok := log.allow(id)
	if suppressedLines > 0 {
		log.write(LinesLeftOut, Fields{"of": int(id), "count": suppressedLines})
	}
	if ok {
		log.write(id, fields)
	}
}

func (log *Log) write(id ID, fields Fields) {
	entry, ok := Find(id)
	if !ok {
		entry = Entry{ID: id, Level: logrus.ErrorLevel, Title: "unknown event"}
	}
	log.logger.WithFields(shorten(fields)).WithField("event", int(id)).Log(entry.Level, entry.Title)
}

// shorten returns the fields with long texts cut.
func shorten(fields Fields) Fields {
	var shortened Fields
	for name, value := range fields {
		text, ok := value.(string)
		if !ok || len(text) <= maxFieldBytes {
			continue
		}
		if shortened == nil {
			// maps.Clone would make the fields of every call escape to the heap.
			shortened = make(Fields, len(fields))
			maps.Copy(shortened, fields)
		}
		shortened[name] = fmt.Sprintf("%s... (%d bytes)", text[:maxFieldBytes], len(text))
	}
	if shortened == nil {
		return fields
	}
	return shortened
}

// allow returns the number of lines that were suppressed in the event's previous second,
// and whether the rate limit allows another line.
func (log *Log) allow(id ID) (int, bool) {
	if log.Now == nil {
		return 0, true
	}
	second := log.Now().Unix()
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.rateWindows == nil {
		log.rateWindows = make(map[ID]*rateWindow)
	}
	window, ok := log.rateWindows[id]
	if !ok {
		window = &rateWindow{}
		log.rateWindows[id] = window
	}
	var suppressedLines int
	if window.second != second {
		suppressedLines = window.suppressedLines
		*window = rateWindow{second: second}
	}
	if window.writtenLines >= maxLinesPerSecond {
		window.suppressedLines++
		return suppressedLines, false
	}
	window.writtenLines++
	return suppressedLines, true
}

// Page returns the text of docs/EVENTS.md, in Markdown.
func Page() string {
	var page strings.Builder
	page.WriteString("# Events\n\nEach log line has its number in the field `event` and the VM in `vm`.\nThis page is generated by `bramleydoor events --markdown`.\n")
	for _, entry := range Catalogue {
		fmt.Fprintf(&page, "\n## %d: %s\n\nLevel %s, since %s.", entry.ID, entry.Title, entry.Level, entry.Since)
		if len(entry.Fields) > 0 {
			fmt.Fprintf(&page, " Fields: `%s`.", strings.Join(entry.Fields, "`, `"))
		}
		page.WriteString("\n\n" + entry.Text + "\n")
	}
	return page.String()
}
