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
	if slot.killed {
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
	slot.waitStall()
	slot.mu.Lock()
	report := slot.report()
	slot.mu.Unlock()
	writeJSON(w, report)
}

func (slot *Slot) handleProgress(w http.ResponseWriter, r *http.Request) {
	slot.waitStall()
	after, err := posn.Parse(r.FormValue("after"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs"))
	deadline := slot.group.Clock.After(time.Duration(waitMs) * time.Millisecond)
	for {
		slot.mu.Lock()
		reports, changed, leading := slot.progress(), slot.changed, slot.leading
		slot.mu.Unlock()
		if !leading {
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

// progress has the primary's own report first.
func (slot *Slot) progress() []quorum.Report {
	reports := []quorum.Report{slot.report()}
	for i, held := range slot.match {
		if i != slot.index && !held.IsZero() {
			reports = append(reports, quorum.Report{Slot: slotName(i), Sealed: slot.sealed, Held: held})
		}
	}
	return reports
}

func (slot *Slot) handleSeal(w http.ResponseWriter, r *http.Request) {
	slot.waitStall()
	term, err := strconv.ParseUint(r.FormValue("term"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	slot.mu.Lock()
	granted := term > slot.sealed
	if granted {
		slot.demote(term)
	}
	report := slot.report()
	report.Granted = granted
	slot.mu.Unlock()
	writeJSON(w, report)
}

func (slot *Slot) handlePromote(w http.ResponseWriter, r *http.Request) {
	slot.waitStall()
	term, err := strconv.ParseUint(r.FormValue("term"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.sealed != term {
		http.Error(w, "sealed term is "+strconv.FormatUint(slot.sealed, 10), http.StatusConflict)
		return
	}
	if !slot.leading {
		slot.lead(term)
	}
	writeJSON(w, slot.report())
}
