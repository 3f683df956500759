// Package fakekv implements fakes of the platform's key-value store with fault
// injection, for tests, the demo and load runs: Server has the HTTP interface of
// package httpkv, Tree is an in-process store with revisions.
package fakekv

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/httpkv"
)

const (
	maxValueBytes = 1 << 20
	// maxWatchWait bounds the wait that a watch may request.
	maxWatchWait = 30 * time.Second
)

// Server is a fake key-value service. Set Clock before Start; nil is the system clock.
type Server struct {
	Clock clock.Clock

	// Calls counts all calls, a watch as one; Writes counts writes and lease calls.
	Calls  atomic.Int64
	Writes atomic.Int64

	mu      sync.Mutex
	entries map[string]entry
	leases  map[string]lease
	// changed is closed and replaced by notifyWatches.
	changed chan struct{}
	faults  Faults

	listener net.Listener
	server   *http.Server
}

// entry is the value of a key; version 0 means that the key does not exist.
type entry struct {
	value   []byte
	version uint64
}

type lease struct {
	holder    string
	expiresAt time.Time
}

// Faults selects the injected faults; the zero value is none.
type Faults struct {
	// Down refuses each call with status 503 and ends waiting watches.
	Down bool
	// Delay delays the handling of each call.
	Delay time.Duration
	// LoseWriteAnswers is the number of writes, starting with the next one, that take
	// effect but whose connection is closed without an answer. Lease calls do not count.
	LoseWriteAnswers int
}

// Start listens on address and serves in the background until Stop.
func (server *Server) Start(address string) error {
	if server.Clock == nil {
		server.Clock = clock.System{}
	}
	server.entries = make(map[string]entry)
	server.leases = make(map[string]lease)
	server.changed = make(chan struct{})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server.listener = listener
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", server.withFaults(server.get))
	mux.HandleFunc("PUT /kv/{key...}", server.withFaults(server.put))
	mux.HandleFunc("POST /lease/{name...}", server.withFaults(server.lease))
	server.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.server.Serve(listener) }()
	return nil
}

// Address returns the server's IP address and port.
func (server *Server) Address() string { return server.listener.Addr().String() }

// URL returns the base URL for clients.
func (server *Server) URL() string { return "http://" + server.Address() }

// Stop closes the listener and all connections.
func (server *Server) Stop() { _ = server.server.Close() }

// SetFaults replaces the injected faults.
func (server *Server) SetFaults(faults Faults) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.faults = faults
	server.notifyWatches()
}

// ExpireLeases ends all leases, like a store whose clock jumps forward.
func (server *Server) ExpireLeases() {
	server.mu.Lock()
	defer server.mu.Unlock()
	clear(server.leases)
}

// notifyWatches makes waiting watches check their key and the faults again.
func (server *Server) notifyWatches() {
	close(server.changed)
	server.changed = make(chan struct{})
}

// withFaults counts a call and applies the faults Down and Delay before its handler.
func (server *Server) withFaults(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		server.Calls.Add(1)
		server.mu.Lock()
		faults := server.faults
		server.mu.Unlock()
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if faults.Delay > 0 {
			<-server.Clock.After(faults.Delay)
		}
		handler(w, r)
	}
}

// get reads a key. With If-None-Match it waits until the version differs or the
// preferred wait has passed.
func (server *Server) get(w http.ResponseWriter, r *http.Request) {
	wait := preferredWait(r)
	knownTag := r.Header.Get("If-None-Match")
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		server.mu.Lock()
		entry, changed, isDown := server.entries[r.PathValue("key")], server.changed, server.faults.Down
		server.mu.Unlock()
		tag := `"` + strconv.FormatUint(entry.version, 10) + `"`
		switch {
		case isDown:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case knownTag != tag:
			writeEntry(w, entry, tag)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.Header().Set("ETag", tag)
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func writeEntry(w http.ResponseWriter, entry entry, tag string) {
	if entry.version == 0 {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", tag)
	_, _ = w.Write(entry.value)
}

// preferredWait returns the wait of the header Prefer (RFC 7240), at most
// maxWatchWait; zero is none.
func preferredWait(r *http.Request) time.Duration {
	text, ok := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	seconds, err := strconv.Atoi(text)
	if !ok || err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxWatchWait)
}

func (server *Server) put(w http.ResponseWriter, r *http.Request) {
	server.Writes.Add(1)
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, isAnswerLost, ok := server.compareAndSwap(r.PathValue("key"), value, requestedTag(r))
	if !ok {
		http.Error(w, "other version", http.StatusPreconditionFailed)
		return
	}
	if isAnswerLost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", `"`+strconv.FormatUint(version, 10)+`"`)
}

// requestedTag returns the entity tag that the key must have for a write to succeed;
// version 0 is a key that does not exist.
func requestedTag(r *http.Request) string {
	if r.Header.Get("If-None-Match") == "*" {
		return `"0"`
	}
	return r.Header.Get("If-Match")
}

// compareAndSwap writes a key if its entity tag is the expected one. It returns the new
// version and reports whether the answer is to be lost and whether the tag matched.
func (server *Server) compareAndSwap(key string, value []byte, expectedTag string) (version uint64, isAnswerLost, ok bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	found := server.entries[key]
	if expectedTag != `"`+strconv.FormatUint(found.version, 10)+`"` {
		return 0, false, false
	}
	server.entries[key] = entry{value: value, version: found.version + 1}
	server.notifyWatches()
	isAnswerLost = server.faults.LoseWriteAnswers > 0
	if isAnswerLost {
		server.faults.LoseWriteAnswers--
	}
	return found.version + 1, isAnswerLost, true
}

// lease acquires or renews a lease, unless another holder has it and it has not expired.
func (server *Server) lease(w http.ResponseWriter, r *http.Request) {
	server.Writes.Add(1)
	var request httpkv.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	now := server.Clock.Now()
	current, ok := server.leases[r.PathValue("name")]
	if ok && current.holder != request.Holder && now.Before(current.expiresAt) {
		http.Error(w, "held", http.StatusConflict)
		return
	}
	expiresAt := now.Add(time.Duration(request.TTLMs) * time.Millisecond)
	server.leases[r.PathValue("name")] = lease{holder: request.Holder, expiresAt: expiresAt}
}
