package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      uint64 `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// kvStore is a sound stand-in of the platform's metadata store, as PROTOCOL.md describes it.
// It has no leases, since the system under test makes none.
type kvStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// listReadAt is when each VM last read what the VMs themselves have written, by its index.
	listReadAt map[int]time.Time
}

func newStore() *kvStore {
	return &kvStore{revision: 1, items: make(map[string]item), listReadAt: make(map[int]time.Time), changed: make(chan struct{})}
}

// put writes a key without a condition, as the operator and the databases do.
func (store *kvStore) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.write(key, text)
}

// remove removes a key.
func (store *kvStore) remove(key string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if _, ok := store.items[key]; !ok {
		return
	}
	store.revision++
	delete(store.items, key)
	store.history = append(store.history, item{Key: key, Revision: store.revision, Deleted: true})
	close(store.changed)
	store.changed = make(chan struct{})
}

// write writes a key; store.mu must be held.
func (store *kvStore) write(key string, value []byte) {
	store.revision++
	created := store.revision
	if old, ok := store.items[key]; ok {
		created = old.CreatedRev
	}
	written := item{Key: key, Value: value, Revision: store.revision, CreatedRev: created}
	store.items[key] = written
	store.history = append(store.history, written)
	close(store.changed)
	store.changed = make(chan struct{})
}

// handlerFor returns the handler for one VM.
func (store *kvStore) handlerFor(index int) http.Handler {
	inner := store.handler()
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/kv-range" && request.URL.Query().Get("prefix") == "bramley/" {
			store.mu.Lock()
			store.listReadAt[index] = time.Now()
			store.mu.Unlock()
		}
		inner.ServeHTTP(writer, request)
	})
}

func (store *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", store.serveKey)
	mux.HandleFunc("GET /kv-range", store.serveRange)
	mux.HandleFunc("GET /kv-watch", store.serveWatch)
	mux.HandleFunc("POST /kv-txn", store.serveTxn)
	return mux
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *kvStore) serveKey(writer http.ResponseWriter, request *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	found, ok := store.items[request.URL.Query().Get("key")]
	if !ok {
		answer(writer, http.StatusNotFound, map[string]any{"asOf": store.revision})
		return
	}
	answer(writer, http.StatusOK, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{found, store.revision})
}

func (store *kvStore) serveRange(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	store.mu.Lock()
	defer store.mu.Unlock()
	items := []item{}
	for key, found := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, found)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	answer(writer, http.StatusOK, map[string]any{"items": items, "hasMore": false, "asOf": store.revision})
}

func (store *kvStore) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		store.mu.Lock()
		events := []item{}
		for _, event := range store.history {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
				events = append(events, event)
			}
		}
		revision, changed := store.revision, store.changed
		store.mu.Unlock()
		isOver := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-request.Context().Done():
				return
			case <-deadline:
				isOver = true
			}
		}
		if len(events) > 0 || isOver {
			answer(writer, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
	}
}

func (store *kvStore) serveTxn(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	var txn struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.Unmarshal(body, &txn); err != nil {
		answer(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	holds := true
	current := []item{}
	for _, row := range txn.Precondition {
		found := store.items[row.Key]
		holds = holds && found.Revision == row.Revision
		if found.Revision > 0 {
			current = append(current, found)
		}
	}
	if !holds {
		answer(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range txn.Writes {
		store.write(write.Key, write.Value)
	}
	answer(writer, http.StatusOK, map[string]any{"revision": store.revision})
}

// serveHTTP serves HTTP on a free port of an address, and returns the address with the port.
func serveHTTP(ip string, handler http.Handler) string {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}
