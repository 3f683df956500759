package fakedb

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
)

// serveControl serves the HTTP control interface of package grpctl.
func (slot *Slot) serveControl(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", slot.handleReport)
	mux.HandleFunc("GET /progress", slot.handleProgress)
	mux.HandleFunc("POST /seal", slot.handleSeal)
	mux.HandleFunc("POST /promote", slot.handlePromote)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
		ConnState:         slot.trackConn,
	}
	_ = server.Serve(listener)
}

// trackConn keeps slot.conns up to date with the control server's connections.
func (slot *Slot) trackConn(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		slot.track(conn)
	case http.StateClosed, http.StateHijacked:
		slot.untrack(conn)
	}
}

func (slot *Slot) track(conn net.Conn) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.isKilled {
		_ = conn.Close()
		return
	}
	slot.conns[conn] = struct{}{}
}

func (slot *Slot) untrack(conn net.Conn) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	delete(slot.conns, conn)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (slot *Slot) handleReport(w http.ResponseWriter, _ *http.Request) {
	slot.awaitStallEnd()
	slot.mu.Lock()
	report := slot.report()
	slot.mu.Unlock()
	writeJSON(w, report)
}

func (slot *Slot) handleProgress(w http.ResponseWriter, r *http.Request) {
	slot.awaitStallEnd()
	after, err := posn.Parse(r.FormValue("after"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs"))
	deadline := slot.group.Clock.After(time.Duration(waitMs) * time.Millisecond)
	for {
		slot.mu.Lock()
		reports, changed, isPrimary := slot.progress(), slot.progressChanged, slot.isPrimary
		slot.mu.Unlock()
		if !isPrimary {
			http.Error(w, "not the primary", http.StatusConflict)
			return
		}
		if quorum.Acked(slot.group.Slots, reports[0].Sealed, reports) != after {
			writeJSON(w, reports)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, reports)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// progress returns a report for each slot that replicates this primary's log, with
// the primary's own report first.
func (slot *Slot) progress() []quorum.Report {
	reports := []quorum.Report{slot.report()}
	for i, position := range slot.matchPositions {
		if i != slot.index && !position.IsZero() {
			reports = append(reports, quorum.Report{Slot: slotName(i), Sealed: slot.sealedTerm, LastPosition: position})
		}
	}
	return reports
}

func (slot *Slot) handleSeal(w http.ResponseWriter, r *http.Request) {
	slot.awaitStallEnd()
	term, err := strconv.ParseUint(r.FormValue("term"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	slot.mu.Lock()
	granted := term > slot.sealedTerm
	if granted {
		slot.followTerm(term)
	}
	report := slot.report()
	report.Granted = granted
	slot.mu.Unlock()
	writeJSON(w, report)
}

func (slot *Slot) handlePromote(w http.ResponseWriter, r *http.Request) {
	slot.awaitStallEnd()
	term, err := strconv.ParseUint(r.FormValue("term"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.sealedTerm != term {
		http.Error(w, "sealed term is "+strconv.FormatUint(slot.sealedTerm, 10), http.StatusConflict)
		return
	}
	if !slot.isPrimary {
		slot.becomePrimary(term)
	}
	writeJSON(w, slot.report())
}
