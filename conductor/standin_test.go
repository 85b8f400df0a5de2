package conductor_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// item is a key of the stand-in, as the platform's store shows it.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Removed  bool `json:",omitempty"`
}

type rangeAnswer struct {
	Items         []item `json:"items"`
	MorePages     bool
	StoreRevision int64
}

type watchAnswer struct {
	Events        []item `json:"events"`
	StoreRevision int64
}

type (
	leaseAnswer struct{ Lease int64 }
	txnAnswer   struct{ Revision int64 }
)

// standIn speaks as much of the protocol of the platform's store as an instance
// needs.
type standIn struct {
	server  *httptest.Server
	mutex   sync.Mutex
	items   map[string]item
	history []item
	changed chan struct{}
	down    bool
}

func newStandIn(c *qt.C) *standIn {
	s := &standIn{items: map[string]item{}, changed: make(chan struct{})}
	router := http.NewServeMux()
	router.HandleFunc("GET /burdocklane/kv-range", s.serveRange)
	router.HandleFunc("GET /burdocklane/kv-watch", s.serveWatch)
	router.HandleFunc("POST /burdocklane/kv-lease", func(w http.ResponseWriter, _ *http.Request) { reply(w, leaseAnswer{Lease: 1}) })
	router.HandleFunc("POST /burdocklane/kv-txn", s.serveTxn)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			panic(http.ErrAbortHandler)
		}
		router.ServeHTTP(w, r)
	}))
	c.Cleanup(func() {
		s.server.CloseClientConnections()
		s.server.Close()
	})
	return s
}

func (s *standIn) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

func reply(w http.ResponseWriter, message any) {
	json.NewEncoder(w).Encode(message) //nolint:errcheck // The instance notices.
}

func (s *standIn) isDown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

// setDown cuts the connections and refuses calls, or serves again.
func (s *standIn) setDown(down bool) {
	s.mutex.Lock()
	s.down = down
	s.mutex.Unlock()
	if down {
		s.server.CloseClientConnections()
	}
}

func (s *standIn) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(item{Key: key, Value: []byte(value)})
}

func (s *standIn) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(item{Key: key, Removed: true})
}

// append makes a change; the caller holds the mutex.
func (s *standIn) append(i item) {
	i.Revision = s.revision() + 1
	s.history = append(s.history, i)
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *standIn) revision() int64 { return int64(len(s.history)) }

func (s *standIn) serveRange(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []item{}
	for _, i := range s.items {
		items = append(items, i)
	}
	reply(w, rangeAnswer{Items: items, StoreRevision: s.revision()})
}

func (s *standIn) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	s.mutex.Lock()
	changed := s.changed
	events := s.history[min(after, s.revision()):]
	s.mutex.Unlock()
	if len(events) == 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Second):
		}
		s.mutex.Lock()
		events = s.history[min(after, s.revision()):]
		s.mutex.Unlock()
	}
	reply(w, watchAnswer{Events: events, StoreRevision: after + int64(len(events))})
}

func (s *standIn) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct{ Puts []item }
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, i := range txn.Puts {
		s.append(item{Key: i.Key, Value: i.Value})
	}
	reply(w, txnAnswer{Revision: s.revision()})
}
