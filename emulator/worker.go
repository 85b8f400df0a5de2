package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/registrar"
	"burdocklane/sleeper"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
)

const (
	// HeaderBodyChecksum carries the CRC-32 checksum of the request body as the worker
	// received it.
	HeaderBodyChecksum = "Emulate-Body-Sum"
	// HeaderWorkerID carries the ID of the worker that responded.
	HeaderWorkerID = "Emulate-Worker"

	headerDrain          = "Burdocklane-Drain"
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	maxResponseBytes     = 256 << 20
)

// Worker emulates a user's worker.
type Worker struct {
	member    registrar.Worker
	server    *http.Server
	listener  net.Listener
	journal   *journal
	slots     chan struct{}
	waiting   atomic.Int64
	running   atomic.Int64
	started   time.Time
	delays    Delays
	done      sync.WaitGroup
	behaviour atomic.Pointer[Behaviour]

	mutex sync.Mutex // Guards noise.
	noise *noise
}

// WorkerOption sets one property of a Worker.
type WorkerOption func(*workerOptions)

type workerOptions struct {
	behaviour   Behaviour
	journalPath string
	delays      Delays
}

// WithBehaviour sets the initial behaviour.
func WithBehaviour(b Behaviour) WorkerOption { return func(o *workerOptions) { o.behaviour = b } }

// WithJournal appends the journal to a file instead of keeping it in memory.
func WithJournal(path string) WorkerOption { return func(o *workerOptions) { o.journalPath = path } }

// WithDelays adds network delays that depend on the source address of the call.
func WithDelays(d Delays) WorkerOption { return func(o *workerOptions) { o.delays = d } }

// NewWorker starts a worker that listens on the address of member. It runs as
// many calls at once as slots says, or as member reports if slots is 0.
func NewWorker(member registrar.Worker, slots int, opts ...WorkerOption) (*Worker, error) {
	options := workerOptions{behaviour: NewBehaviour()}
	for _, opt := range opts {
		opt(&options)
	}
	j, err := newJournal(options.journalPath)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", member.Address())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if slots == 0 {
		slots = member.Slots()
	}
	w := &Worker{
		member:   registrar.NewWorker(member.ID(), member.Service(), listener.Addr().String(), member.Locality(), member.Slots(), false),
		listener: listener,
		journal:  j,
		slots:    make(chan struct{}, slots),
		started:  time.Now(),
		delays:   options.delays,
		noise:    newNoise(options.behaviour),
	}
	w.behaviour.Store(&options.behaviour)
	w.server = &http.Server{Handler: w.handler(), ReadHeaderTimeout: time.Minute}
	w.done.Go(func() { w.server.Serve(listener) }) //nolint:errcheck // Always ErrServerClosed.
	return w, nil
}

// Member returns the worker's entry for the list, with the address that it is
// bound to.
func (w *Worker) Member() registrar.Worker { return w.member }

// Journal returns the calls that the worker started to run. It is empty if the
// journal is kept in a file.
func (w *Worker) Journal() []JournalEntry { return w.journal.all() }

// SetBehaviour replaces the behaviour for all further calls.
func (w *Worker) SetBehaviour(b Behaviour) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.noise.close()
	w.noise = newNoise(b)
	w.behaviour.Store(&b)
}

// Close drains the worker and then stops it. Calls that are still running when
// the drain timeout expires are aborted.
func (w *Worker) Close(drainTimeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := w.server.Shutdown(ctx)
	if err != nil {
		w.server.Close()
	}
	w.done.Wait()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.noise.close()
	w.journal.close()
	if err != nil {
		return errors.Wrap(err, "drain worker")
	}
	return nil
}

func (w *Worker) handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/emulate/journal", w.serveJournal).Methods(http.MethodGet)
	router.HandleFunc("/emulate/behaviour", w.serveBehaviour).Methods(http.MethodPut)
	router.HandleFunc("/load", w.serveLoad).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(w.serveCall)
	return router
}

type loadMessage struct {
	InFlight int64 `json:"in-flight"`
	Slots    int   `json:"slots"`
}

// serveLoad returns the worker's load report. The network delay applies twice,
// once for each way.
func (w *Worker) serveLoad(rw http.ResponseWriter, r *http.Request) {
	w.delays.wait(r)
	w.delays.wait(r)
	json.NewEncoder(rw).Encode(loadMessage{ //nolint:errcheck // The client has disconnected.
		InFlight: w.running.Load() + w.waiting.Load(), Slots: w.member.Slots(),
	})
}

func (w *Worker) serveJournal(rw http.ResponseWriter, _ *http.Request) {
	encoder := json.NewEncoder(rw)
	for _, e := range w.Journal() {
		encoder.Encode(e.message()) //nolint:errcheck // The client has disconnected.
	}
}

// serveCall acquires a slot, runs the call and responds with a body of as many
// bytes as the "bytes" parameter of the query says.
func (w *Worker) serveCall(rw http.ResponseWriter, r *http.Request) {
	w.delays.wait(r)
	b := *w.behaviour.Load()
	if b.draining {
		rw.Header().Set(headerDrain, "1")
	}
	if rand.Float64() < b.failureRate {
		http.Error(rw, "failing fast", http.StatusInternalServerError)
		return
	}
	if !w.acquireSlot(r.Context(), b) {
		http.Error(rw, "shed: not run", http.StatusServiceUnavailable)
		return
	}
	checksum := w.run(r, b)
	w.delays.wait(r) // The delay of the response does not occupy the slot.
	w.writeResponse(rw, r, checksum)
}

// acquireSlot waits for a free slot and takes it. It returns false if the call is
// shed or cancelled.
func (w *Worker) acquireSlot(ctx context.Context, b Behaviour) bool {
	if waiting := w.waiting.Add(1); b.shed && waiting > int64(b.queue) && len(w.slots) == cap(w.slots) {
		w.waiting.Add(-1)
		return false
	}
	defer w.waiting.Add(-1)
	select {
	case w.slots <- struct{}{}:
		return ctx.Err() == nil || !w.releaseSlot()
	case <-ctx.Done():
		return false
	}
}

func (w *Worker) releaseSlot() bool {
	<-w.slots
	return true
}

// run executes the call in the slot that it holds, releases the slot, and
// returns the checksum of the request body.
func (w *Worker) run(r *http.Request, b Behaviour) uint32 {
	w.running.Add(1)
	defer func() {
		w.running.Add(-1)
		<-w.slots
	}()
	w.journal.add(JournalEntry{
		id: r.Header.Get(headerRequestID), method: r.Method, path: r.URL.Path,
		idempotencyKey: r.Header.Get(headerIdempotencyKey), worker: string(w.member.ID()), startedAt: time.Now(),
	})
	checksum := crc32.NewIEEE()
	if _, err := io.Copy(checksum, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.mutex.Lock()
	slow := w.noise.slow.Load()
	w.mutex.Unlock()
	if !sleeper.Sleep(r.Context(), b.serviceTime(slow, time.Since(w.started))) {
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < b.abortRate {
		panic(http.ErrAbortHandler)
	}
	return checksum.Sum32()
}

func (w *Worker) writeResponse(rw http.ResponseWriter, r *http.Request, checksum uint32) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 || size > maxResponseBytes {
		size = 0
	}
	id := r.Header.Get(headerRequestID)
	h := rw.Header()
	h.Set(HeaderBodyChecksum, fmt.Sprintf("%08x", checksum))
	h.Set(HeaderWorkerID, string(w.member.ID()))
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(size))
	io.Copy(rw, ResponseBody(id, size)) //nolint:errcheck // The client has disconnected.
}
