// Package event has the catalogue of numbered log events and the log that
// writes them. docs/EVENTS.md is made from the same table.
package event

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// ID is the number of an event. Numbers are never given anew.
type ID int

// The events.
const (
	Started          ID = 1001
	Stopping         ID = 1002
	Stopped          ID = 1003
	DutyEnded        ID = 1004
	LinesLeftOut     ID = 1005
	SettingsChanged  ID = 1006
	SettingsRefused  ID = 1007
	CallerRefused    ID = 2001
	CallerBroke      ID = 2002
	TokenIgnored     ID = 2003
	UncertainOutcome ID = 2004
	RequestRefused   ID = 2005
	RequestRetried   ID = 2006
	ConfirmedAlone   ID = 2007
	PrimarySuspected ID = 3001
	PromotionBegun   ID = 3002
	PromotionDone    ID = 3003
	PromotionFailed  ID = 3004
	PromotionUseless ID = 3005
	SlotDropped      ID = 3006
	DutyTaken        ID = 3007
	DutyLost         ID = 3008
	ReplicaUnsealed  ID = 3010
	GroupState       ID = 3011
	ConfigApplied    ID = 4001
	ConfigRefused    ID = 4002
	StoreFailing     ID = 4003
	StoreBack        ID = 4004
	ConfigFromPeer   ID = 4005
	EntryIgnored     ID = 4006
	PeerSuspected    ID = 5001
	PeerJoined       ID = 5002
	PeerLeft         ID = 5003
	PeerRefused      ID = 5004
	ShareChanged     ID = 5005
)

// Entry documents one event.
type Entry struct {
	ID    ID
	Level logrus.Level
	Title string
	// Text says what happened and what to do about it.
	Text string
	// Fields are the structured fields besides event and vm.
	Fields []string
	Since  string
}

// Catalogue is the table of all events, by number.
var Catalogue = []Entry{
	{Started, logrus.InfoLevel, "VM started", "The VM takes callers. Nothing to do.", []string{"address", "zone"}, "0.1"},
	{Stopping, logrus.InfoLevel, "VM stopping", "A planned stop: callers are ended at their next request boundary.", []string{"reason"}, "0.1"},
	{Stopped, logrus.InfoLevel, "VM stopped", "All duties have ended.", nil, "0.1"},
	{DutyEnded, logrus.ErrorLevel, "Duty ended", "A duty ended with an error; the VM stops and should be replaced. Report the error.", []string{"error"}, "0.1"},
	{LinesLeftOut, logrus.WarnLevel, "Lines left out", "There were more lines of an event in a second than are written; the counters have all of them.", []string{"of", "count"}, "0.2"},
	{SettingsChanged, logrus.InfoLevel, "Settings read again", "The settings file was read at a signal. What differs from the start takes effect with the next start.", []string{"differs"}, "0.2"},
	{SettingsRefused, logrus.ErrorLevel, "Settings refused", "The settings file has mistakes; the VM keeps those before.", []string{"error"}, "0.2"},
	{CallerRefused, logrus.InfoLevel, "Caller refused", "A connection was refused. The counters tell how often, by reason.", []string{"reason", "remote"}, "0.1"},
	{CallerBroke, logrus.InfoLevel, "Caller broke the protocol", "Malformed, oversized or slow input; only that caller was closed.", []string{"error", "remote"}, "0.1"},
	{TokenIgnored, logrus.WarnLevel, "Session token ignored", "A forged, damaged or foreign token; the caller got a confirmed floor. Many of them after a key change mean that an old key was removed too early.", []string{"error", "database"}, "0.1"},
	{UncertainOutcome, logrus.WarnLevel, "Outcome unknown", "A request failed after dispatch. Its caller was told so and can ask by request key.", []string{"request", "transaction", "database", "group", "slot", "reason", "term", "error"}, "0.1"},
	{RequestRefused, logrus.InfoLevel, "Request refused", "A request was given up; transaction is the request that opened its transaction. Unless the code is unknown or inDoubt, nothing of it is kept; the reason is a counter's name.", []string{"request", "transaction", "database", "code", "reason", "attempt", "afterMs"}, "0.2"},
	{RequestRetried, logrus.InfoLevel, "Request retried", "A request that did not run, or a read, is sent again. Dispatch says whether the attempt was not sent (notDispatched), its fate is known, or unknown.", []string{"request", "transaction", "group", "slot", "reason", "dispatch", "attempt", "afterMs"}, "0.2"},
	{ConfirmedAlone, logrus.WarnLevel, "Confirmed without a receipt", "A write was confirmed though no replica was known to have it: were the primary lost just then, the write would be too. Many of them mean that replicas receive nothing.", []string{"request", "transaction", "group", "position", "afterMs"}, "0.2"},
	{PrimarySuspected, logrus.WarnLevel, "Primary suspected", "The keeper has not heard from the primary for longer than its delays explain.", []string{"group", "slot", "silenceMs"}, "0.1"},
	{PromotionBegun, logrus.WarnLevel, "Promotion begun", "The keeper asks a majority of slots to seal a new term.", []string{"group", "term", "cause"}, "0.1"},
	{PromotionDone, logrus.WarnLevel, "Promotion done", "A new primary leads the group.", []string{"group", "term", "slot", "position", "sealed", "allRevoked", "sealMs", "revokeMs", "tookMs"}, "0.1"},
	{PromotionFailed, logrus.ErrorLevel, "Promotion failed", "The attempt ended without a primary; it is repeated. If it goes on, look for slots that don't answer.", []string{"group", "term", "error"}, "0.1"},
	{PromotionUseless, logrus.ErrorLevel, "Promotion not begun", "No majority of slots answers, so a promotion would not help. Bring slots back.", []string{"group", "answering", "slots"}, "0.1"},
	{SlotDropped, logrus.WarnLevel, "Slot dropped", "Connections to a slot that does not answer were closed.", []string{"group", "slot", "connections"}, "0.1"},
	{DutyTaken, logrus.InfoLevel, "Duty taken", "This VM orders promotions, with a new fencing token.", []string{"token"}, "0.2"},
	{DutyLost, logrus.WarnLevel, "Duty lost", "This VM orders no promotions any more: its record in the store lapsed or was replaced.", []string{"token", "reason"}, "0.2"},
	{ReplicaUnsealed, logrus.InfoLevel, "Replica unsealed", "A seal that no promotion followed was ended.", []string{"group", "slot"}, "0.2"},
	{GroupState, logrus.InfoLevel, "State of a group", "What this VM knows of a group: for each database role, latency in ms, requests under way, failures in a row and lag in ms; connections open, idle and waited for; and where reads went so far.", []string{"group", "term", "slots", "links", "routes"}, "0.2"},
	{ConfigApplied, logrus.InfoLevel, "Configuration in force", "A ticket is in force on this VM.", []string{"number", "ticket"}, "0.1"},
	{ConfigRefused, logrus.ErrorLevel, "Configuration refused", "A ticket in the store can't be applied; the VM keeps the one before. Submit a ticket that mends it.", []string{"number", "error"}, "0.1"},
	{StoreFailing, logrus.WarnLevel, "Store failing", "Calls to the platform's store fail. All goes on but the acceptance of tickets.", []string{"error"}, "0.1"},
	{StoreBack, logrus.InfoLevel, "Store back", "Calls to the platform's store succeed again.", nil, "0.1"},
	{ConfigFromPeer, logrus.InfoLevel, "Configuration from a peer", "Tickets came from a peer and not from the store.", []string{"peer", "number"}, "0.1"},
	{EntryIgnored, logrus.WarnLevel, "Entry ignored", "An entry in the store can't be read; it names no database.", []string{"key", "error"}, "0.2"},
	{PeerSuspected, logrus.WarnLevel, "Peer suspected", "A VM is silent to its peers; its duties move.", []string{"peer"}, "0.1"},
	{PeerJoined, logrus.InfoLevel, "Peer joined", "A VM is heard.", []string{"peer"}, "0.1"},
	{PeerLeft, logrus.InfoLevel, "Peer left", "A VM has left as planned, or the platform says it is gone.", []string{"peer"}, "0.1"},
	{PeerRefused, logrus.WarnLevel, "Peer refused", "A connection to the peer address did not know the key.", []string{"remote"}, "0.1"},
	{ShareChanged, logrus.InfoLevel, "Connection shares changed", "The shares of the connection limits follow the VMs that live.", []string{"view", "vms"}, "0.1"},
}

// Find returns the entry of an event.
func Find(id ID) (Entry, bool) {
	for _, entry := range Catalogue {
		if entry.ID == id {
			return entry, true
		}
	}
	return Entry{}, false
}

// perSecond is how many lines of one event are written in a second; a line then
// says how many were left out.
const perSecond = 40

// Log writes events with the fields of one VM.
type Log struct {
	logger *logrus.Entry
	// Now tells the time by which the rates are kept; nil keeps none.
	Now func() time.Time

	mu    sync.Mutex
	rates map[ID]*rate
}

// rate counts the lines of one event in one second.
type rate struct {
	second  int64
	written int
	leftOut int
}

// NewLog makes a log of the VM that writes to logger.
func NewLog(logger *logrus.Logger, vm string) *Log {
	return &Log{logger: logger.WithField("vm", vm)}
}

// Fields are the structured fields of one event.
type Fields = logrus.Fields

// Write writes an event, unless there were too many of its kind in this second. A
// nil log writes nothing.
func (log *Log) Write(id ID, fields Fields) {
	if log == nil {
		return
	}
	leftOut, ok := log.allow(id)
	if leftOut > 0 {
		log.write(LinesLeftOut, Fields{"of": int(id), "count": leftOut})
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
	log.logger.WithFields(fields).WithField("event", int(id)).Log(entry.Level, entry.Title)
}

// allow reports whether a line may be written, and how many were left out before.
func (log *Log) allow(id ID) (int, bool) {
	if log.Now == nil {
		return 0, true
	}
	second := log.Now().Unix()
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.rates == nil {
		log.rates = make(map[ID]*rate)
	}
	kept, ok := log.rates[id]
	if !ok {
		kept = &rate{}
		log.rates[id] = kept
	}
	var leftOut int
	if kept.second != second {
		leftOut = kept.leftOut
		*kept = rate{second: second}
	}
	if kept.written >= perSecond {
		kept.leftOut++
		return leftOut, false
	}
	kept.written++
	return leftOut, true
}

// Page returns the catalogue as the text of docs/EVENTS.md.
func Page() string {
	var page strings.Builder
	page.WriteString("# Events\n\nEach log line has its number in the field `event` and the VM in `vm`.\nThis page is made by `bramleydoor events --markdown`.\n")
	for _, entry := range Catalogue {
		fmt.Fprintf(&page, "\n## %d: %s\n\nLevel %s, since %s.", entry.ID, entry.Title, entry.Level, entry.Since)
		if len(entry.Fields) > 0 {
			fmt.Fprintf(&page, " Fields: `%s`.", strings.Join(entry.Fields, "`, `"))
		}
		page.WriteString("\n\n" + entry.Text + "\n")
	}
	return page.String()
}
