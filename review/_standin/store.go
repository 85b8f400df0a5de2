package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is a key of the store, as PROTOCOL.md names its fields.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  int64
	CreatedAt int64 `json:",omitempty"`
	Lease     int64 `json:",omitempty"`
	Removed   bool  `json:",omitempty"`
}

// store is a sound stand-in of the platform's store.
type store struct {
	mutex    sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]time.Duration
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[int64]time.Duration{}, changed: make(chan struct{})}
}

// apply makes the changes as one revision. The caller holds the mutex.
func (s *store) apply(changes ...item) {
	s.revision++
	for _, c := range changes {
		old, exists := s.items[c.Key]
		if c.Removed && !exists {
			continue
		}
		c.Revision, c.CreatedAt = s.revision, s.revision
		if exists {
			c.CreatedAt = old.CreatedAt
		}
		s.history = append(s.history, c)
		if c.Removed {
			delete(s.items, c.Key)
			continue
		}
		s.items[c.Key] = c
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a worker does. Its return is the confirmation.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(item{Key: key, Value: data})
}

func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(item{Key: key, Removed: true})
}

// gate is the address at which one machine reaches the store. While it is cut, nothing gets
// through in either direction, and no connection ends.
type gate struct {
	store   *store
	address string
	cut     atomic.Bool
	healed  atomic.Pointer[chan struct{}]
}

func (s *store) newGate() *gate {
	g := &gate{store: s}
	g.setCut(false)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen for the store: %v", err)
	}
	g.address = socket.Addr().String()
	router := http.NewServeMux()
	router.HandleFunc("GET /burdocklane/kv-range", s.serveRange)
	router.HandleFunc("GET /burdocklane/kv-watch", g.serveWatch)
	router.HandleFunc("POST /burdocklane/kv-txn", s.serveTxn)
	router.HandleFunc("POST /burdocklane/kv-lease", s.serveLease)
	router.HandleFunc("POST /burdocklane/kv-keep/{lease}", s.serveKeep)
	router.HandleFunc("DELETE /burdocklane/kv-lease-end/{lease}", s.serveEnd)
	go http.Serve(socket, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:errcheck,gosec // It ends with the process.
		g.awaitHealed(r)
		router.ServeHTTP(&gatedWriter{ResponseWriter: w, gate: g, request: r}, r)
	}))
	return g
}

// setCut cuts the machine off from the store, or heals the cut.
func (g *gate) setCut(cut bool) {
	if cut {
		healed := make(chan struct{})
		g.healed.Store(&healed)
		g.cut.Store(true)
		return
	}
	g.cut.Store(false)
	if healed := g.healed.Load(); healed != nil {
		close(*healed)
	}
}

// awaitHealed waits until the machine is not cut off, or its call has ended.
func (g *gate) awaitHealed(r *http.Request) {
	for g.cut.Load() {
		select {
		case <-*g.healed.Load():
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// gatedWriter holds an answer back while the machine is cut off.
type gatedWriter struct {
	http.ResponseWriter
	gate    *gate
	request *http.Request
}

func (w *gatedWriter) WriteHeader(status int) {
	w.gate.awaitHealed(w.request)
	w.ResponseWriter.WriteHeader(status)
}

func respond(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(message) //nolint:errcheck,errchkjson // The caller has left.
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	items := []item{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, r.URL.Query().Get("Prefix")) {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	respond(w, http.StatusOK, map[string]any{"items": items, "MorePages": false, "StoreRevision": revision})
}

func (g *gate) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s := g.store
		s.mutex.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("Prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key      string
			Revision int64
		}
		Puts   []item
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := []item{}
	failed := false
	for _, c := range t.Precondition {
		i, ok := s.items[c.Key]
		if ok {
			held = append(held, i)
		}
		failed = failed || i.Revision != c.Revision
	}
	if failed {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": held})
		return
	}
	changes := []item{}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			respond(w, http.StatusNotFound, nil)
			return
		}
		changes = append(changes, item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		changes = append(changes, item{Key: key, Removed: true})
	}
	s.apply(changes...)
	respond(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var l struct{ TtlMs int64 } //nolint:revive // The page's name.
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := int64(len(s.leases) + 1)
	s.leases[id] = time.Duration(l.TtlMs) * time.Millisecond // Ten minutes here: none ends by itself within a case.
	respond(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": l.TtlMs})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ttl, ok := s.leases[id]
	if !ok {
		respond(w, http.StatusNotFound, nil)
		return
	}
	respond(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.leases[id]; !ok {
		respond(w, http.StatusNotFound, nil)
		return
	}
	delete(s.leases, id)
	var changes []item
	for _, i := range s.items {
		if i.Lease == id {
			changes = append(changes, item{Key: i.Key, Removed: true})
		}
	}
	if len(changes) > 0 {
		s.apply(changes...)
	}
	respond(w, http.StatusOK, map[string]any{})
}
