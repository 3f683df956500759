// Package fakekv is a small stand-in for the platform's key-value service, for
// tests, demo and load. It speaks the HTTP that package httpkv describes and
// can be told to fail.
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
	maxWatchWait  = 30 * time.Second
)

// Server is the stand-in. Set Clock before Start.
type Server struct {
	Clock clock.Clock

	// Calls counts calls, a waiting watch as one.
	Calls  atomic.Int64
	Writes atomic.Int64

	mu      sync.Mutex
	entries map[string]entry
	leases  map[string]lease
	changed chan struct{}
	faults  Faults

	listener net.Listener
	server   *http.Server
}

type entry struct {
	value   []byte
	version uint64
}

type lease struct {
	holder string
	until  time.Time
}

// Faults says how the server fails; the zero value is a healthy one.
type Faults struct {
	// Down refuses each call, and ends waiting watches.
	Down bool
	// Delay holds back each answer.
	Delay time.Duration
	// LoseWrites is how many of the next writes take effect and then lose
	// their answer.
	LoseWrites int
}

// Start listens on address and serves until Stop.
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
	mux.HandleFunc("GET /kv/{key...}", server.guard(server.get))
	mux.HandleFunc("PUT /kv/{key...}", server.guard(server.put))
	mux.HandleFunc("POST /lease/{name...}", server.guard(server.lease))
	server.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.server.Serve(listener) }()
	return nil
}

// Address is the server's IP address and port.
func (server *Server) Address() string { return server.listener.Addr().String() }

// URL is where clients reach the server.
func (server *Server) URL() string { return "http://" + server.Address() }

// Stop ends the server and its connections.
func (server *Server) Stop() { _ = server.server.Close() }

// SetFaults changes how the server fails from now on.
func (server *Server) SetFaults(faults Faults) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.faults = faults
	server.wake()
}

// ExpireLeases ends every lease, as a store does whose clock jumped.
func (server *Server) ExpireLeases() {
	server.mu.Lock()
	defer server.mu.Unlock()
	clear(server.leases)
}

func (server *Server) wake() {
	close(server.changed)
	server.changed = make(chan struct{})
}

func (server *Server) guard(handler http.HandlerFunc) http.HandlerFunc {
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

func (server *Server) get(w http.ResponseWriter, r *http.Request) {
	wait := preferredWait(r)
	have := r.Header.Get("If-None-Match")
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		server.mu.Lock()
		found, changed, down := server.entries[r.PathValue("key")], server.changed, server.faults.Down
		server.mu.Unlock()
		tag := `"` + strconv.FormatUint(found.version, 10) + `"`
		switch {
		case down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case have != tag:
			writeEntry(w, found, tag)
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

func writeEntry(w http.ResponseWriter, found entry, tag string) {
	if found.version == 0 {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", tag)
	_, _ = w.Write(found.value)
}

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
	version, lost, ok := server.swap(r.PathValue("key"), value, wantedVersion(r))
	if !ok {
		http.Error(w, "other version", http.StatusPreconditionFailed)
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", `"`+strconv.FormatUint(version, 10)+`"`)
}

func wantedVersion(r *http.Request) string {
	if r.Header.Get("If-None-Match") == "*" {
		return `"0"`
	}
	return r.Header.Get("If-Match")
}

func (server *Server) swap(key string, value []byte, want string) (version uint64, lost, ok bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	found := server.entries[key]
	if want != `"`+strconv.FormatUint(found.version, 10)+`"` {
		return 0, false, false
	}
	server.entries[key] = entry{value: value, version: found.version + 1}
	server.wake()
	lost = server.faults.LoseWrites > 0
	if lost {
		server.faults.LoseWrites--
	}
	return found.version + 1, lost, true
}

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
	held, ok := server.leases[r.PathValue("name")]
	if ok && held.holder != request.Holder && now.Before(held.until) {
		http.Error(w, "held", http.StatusConflict)
		return
	}
	until := now.Add(time.Duration(request.TTLMs) * time.Millisecond)
	server.leases[r.PathValue("name")] = lease{holder: request.Holder, until: until}
}
