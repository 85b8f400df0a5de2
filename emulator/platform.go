// Package emulator emulates the platform and its workers, for tests, the demo
// and benchmarks.
package emulator

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"burdocklane/lister"
	"burdocklane/registrar"
	"burdocklane/storer"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// Rate limits that the platform specifies for its key-value service, in calls
// per second.
const (
	defaultReadRate  = 2000
	defaultWriteRate = 400
	maxLongPoll      = time.Minute
)

// Platform emulates the platform's key-value service and its list of workers and
// instances.
type Platform struct {
	memory *storer.Memory
	store  http.Handler
	reads  *rate.Limiter
	writes *rate.Limiter

	mutex        sync.Mutex
	faults       Faults
	version      int64
	workers      map[registrar.WorkerID]registrar.Worker
	instances    map[registrar.InstanceID]registrar.Instance
	published    registrar.List
	changed      chan struct{}
	abortWatches chan struct{}
}

// NewPlatform returns a platform with an empty store and an empty list.
func NewPlatform() *Platform {
	memory := storer.NewMemory()
	return &Platform{
		memory:       memory,
		store:        storer.NewHandler(memory),
		reads:        rate.NewLimiter(defaultReadRate, defaultReadRate),
		writes:       rate.NewLimiter(defaultWriteRate, defaultWriteRate),
		workers:      map[registrar.WorkerID]registrar.Worker{},
		instances:    map[registrar.InstanceID]registrar.Instance{},
		changed:      make(chan struct{}),
		abortWatches: make(chan struct{}),
	}
}

// Store returns the in-memory store behind the gateway. Calls of it bypass the
// rate limits and the injected faults.
func (p *Platform) Store() *storer.Memory { return p.memory }

// Handler serves the store at /v3 and the list at /list. The emulator is
// controlled by PUT of /list, DELETE of /list/workers/ID and
// /list/instances/ID, and PUT of /faults.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	router.PathPrefix("/v3/").HandlerFunc(p.serveStore)
	router.HandleFunc("/list", p.serveList).Methods(http.MethodGet)
	router.HandleFunc("/list", p.serveRegister).Methods(http.MethodPut)
	router.HandleFunc("/list/workers/{id}", p.serveRemoveWorker).Methods(http.MethodDelete)
	router.HandleFunc("/list/instances/{id}", p.serveRemoveInstance).Methods(http.MethodDelete)
	router.HandleFunc("/faults", p.serveFaults).Methods(http.MethodPut)
	return router
}

// SetFaults replaces the injected faults. Faults that reject watches also abort
// the open ones.
func (p *Platform) SetFaults(f Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
	if f.storeDown || f.rejectWatch {
		close(p.abortWatches)
		p.abortWatches = make(chan struct{})
	}
}

func (p *Platform) currentFaults() (Faults, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults, p.abortWatches
}

// serveStore applies the rate limits and the injected faults, and forwards the
// call to the store.
func (p *Platform) serveStore(w http.ResponseWriter, r *http.Request) {
	faults, abort := p.currentFaults()
	watch := r.URL.Path == "/v3/watch"
	limiter := p.writes
	if watch || r.URL.Path == "/v3/kv/range" {
		limiter = p.reads
	}
	switch {
	case faults.storeDown, watch && faults.rejectWatch:
		panic(http.ErrAbortHandler)
	case !limiter.Allow():
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return
	}
	time.Sleep(faults.delay)
	if watch {
		p.serveWatch(w, r, abort)
		return
	}
	if (faults.dropResponses || faults.outageAfterWrite) && limiter == p.writes {
		p.store.ServeHTTP(discardWriter{header: http.Header{}}, r)
		if faults.outageAfterWrite {
			p.SetFaults(Faults{storeDown: true})
		}
		panic(http.ErrAbortHandler)
	}
	p.store.ServeHTTP(w, r)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, abort <-chan struct{}) {
	ctx, cancel := contextUntil(r.Context(), abort)
	defer cancel()
	p.store.ServeHTTP(w, r.WithContext(ctx))
	if r.Context().Err() == nil {
		panic(http.ErrAbortHandler)
	}
}

// discardWriter is an http.ResponseWriter that drops the response.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardWriter) WriteHeader(int) {}

// SetWorker adds a worker to the list or replaces its entry.
func (p *Platform) SetWorker(worker registrar.Worker) {
	p.change(func() { p.workers[worker.ID()] = worker })
}

// RemoveWorker removes a worker from the list.
func (p *Platform) RemoveWorker(id registrar.WorkerID) {
	p.change(func() { delete(p.workers, id) })
}

// SetInstance adds an instance to the list or replaces its entry.
func (p *Platform) SetInstance(instance registrar.Instance) {
	p.change(func() { p.instances[instance.ID()] = instance })
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(id registrar.InstanceID) {
	p.change(func() { delete(p.instances, id) })
}

// change applies edit to the list and publishes the new version, after the
// list lag if one is injected.
func (p *Platform) change(edit func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	edit()
	p.version++
	list := p.list()
	if p.faults.listLag > 0 {
		time.AfterFunc(p.faults.listLag, func() { p.publish(list) })
		return
	}
	p.publishLocked(list)
}

func (p *Platform) list() registrar.List {
	workers := make([]registrar.Worker, 0, len(p.workers))
	for _, w := range p.workers {
		workers = append(workers, w)
	}
	slices.SortFunc(workers, func(a, b registrar.Worker) int { return cmp.Compare(a.ID(), b.ID()) })
	instances := make([]registrar.Instance, 0, len(p.instances))
	for _, i := range p.instances {
		instances = append(instances, i)
	}
	slices.SortFunc(instances, func(a, b registrar.Instance) int { return cmp.Compare(a.ID(), b.ID()) })
	return registrar.NewList(p.version, workers, instances)
}

func (p *Platform) publish(list registrar.List) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.publishLocked(list)
}

func (p *Platform) publishLocked(list registrar.List) {
	if list.Version() < p.published.Version() {
		return
	}
	p.published = list
	close(p.changed)
	p.changed = make(chan struct{})
}

// serveList implements a long poll: it responds with the list as soon as its
// version is above the query's "after", or with 304 when "wait" has passed.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	if faults, _ := p.currentFaults(); faults.listDown {
		panic(http.ErrAbortHandler)
	}
	after, err := strconv.ParseInt(cmp.Or(r.URL.Query().Get("after"), "-1"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(cmp.Or(r.URL.Query().Get("wait"), "0s"))
	timer := time.NewTimer(min(wait, maxLongPoll))
	defer timer.Stop()
	for {
		list, changed := p.publishedList()
		if list.Version() > after {
			writeList(w, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) publishedList() (registrar.List, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.published, p.changed
}

func writeList(w http.ResponseWriter, list registrar.List) {
	data, err := lister.Encode(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data) //nolint:errcheck // The client has disconnected.
}
