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
	// HeaderSum carries the checksum of the request body that a worker read.
	HeaderSum = "Emulate-Body-Sum"
	// HeaderWorker names the worker that answered.
	HeaderWorker = "Emulate-Worker"

	headerDrain     = "Burdocklane-Drain"
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	mostAnswer      = 256 << 20
)

// Worker stands in for a user's worker.
type Worker struct {
	member    registrar.Worker
	server    *http.Server
	socket    net.Listener
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
	behaviour Behaviour
	journal   string
	delays    Delays
}

// WithBehaviour sets how the worker serves.
func WithBehaviour(b Behaviour) WorkerOption { return func(o *workerOptions) { o.behaviour = b } }

// WithJournal keeps the journal in a file.
func WithJournal(path string) WorkerOption { return func(o *workerOptions) { o.journal = path } }

// WithDelays delays calls by the distance of their source address.
func WithDelays(d Delays) WorkerOption { return func(o *workerOptions) { o.delays = d } }

// NewWorker starts a worker on its address, with the slots that it reports or,
// if slots is not zero, with another number.
func NewWorker(member registrar.Worker, slots int, opts ...WorkerOption) (*Worker, error) {
	options := workerOptions{behaviour: NewBehaviour()}
	for _, opt := range opts {
		opt(&options)
	}
	j, err := newJournal(options.journal)
	if err != nil {
		return nil, err
	}
	socket, err := net.Listen("tcp", member.Address())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if slots == 0 {
		slots = member.Slots()
	}
	w := &Worker{
		member:  registrar.NewWorker(member.ID(), member.Service(), socket.Addr().String(), member.Place(), member.Slots(), false),
		socket:  socket,
		journal: j,
		slots:   make(chan struct{}, slots),
		started: time.Now(),
		delays:  options.delays,
		noise:   newNoise(options.behaviour),
	}
	w.behaviour.Store(&options.behaviour)
	w.server = &http.Server{Handler: w.handler(), ReadHeaderTimeout: time.Minute}
	w.done.Go(func() { w.server.Serve(socket) }) //nolint:errcheck // Always ErrServerClosed.
	return w, nil
}

// Member returns the worker as it is to be listed, with its real address.
func (w *Worker) Member() registrar.Worker { return w.member }

// Journal returns the calls that the worker began to run.
func (w *Worker) Journal() []Entry { return w.journal.all() }

// SetBehaviour changes how the worker serves from now on.
func (w *Worker) SetBehaviour(b Behaviour) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.noise.close()
	w.noise = newNoise(b)
	w.behaviour.Store(&b)
}

// Close stops the worker gracefully, for at most the time, and then at once.
func (w *Worker) Close(drain time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
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

// serveLoad is the load report, with a latency that is only a guess.
func (w *Worker) serveLoad(rw http.ResponseWriter, r *http.Request) {
	w.delays.wait(r)
	w.delays.wait(r)
	json.NewEncoder(rw).Encode(loadMessage{ //nolint:errcheck // The client has gone.
		InFlight: w.running.Load() + w.waiting.Load(), Slots: w.member.Slots(),
	})
}

func (w *Worker) serveJournal(rw http.ResponseWriter, _ *http.Request) {
	encoder := json.NewEncoder(rw)
	for _, e := range w.Journal() {
		encoder.Encode(e.message()) //nolint:errcheck // The client has gone.
	}
}

// serveCall takes a slot, runs the call and answers with as many bytes as the
// query's "bytes" asks for.
func (w *Worker) serveCall(rw http.ResponseWriter, r *http.Request) {
	w.delays.wait(r)
	b := *w.behaviour.Load()
	if b.draining {
		rw.Header().Set(headerDrain, "1")
	}
	if rand.Float64() < b.failShare {
		http.Error(rw, "failing fast", http.StatusInternalServerError)
		return
	}
	if !w.enter(r.Context(), b) {
		http.Error(rw, "shed: not run", http.StatusServiceUnavailable)
		return
	}
	sum := w.run(r, b)
	w.delays.wait(r) // The way back takes time, but no slot.
	w.answer(rw, r, sum)
}

// enter waits for a slot. It returns false if the call is shed or cancelled.
func (w *Worker) enter(ctx context.Context, b Behaviour) bool {
	if waiting := w.waiting.Add(1); b.shed && waiting > int64(b.queue) && len(w.slots) == cap(w.slots) {
		w.waiting.Add(-1)
		return false
	}
	defer w.waiting.Add(-1)
	select {
	case w.slots <- struct{}{}:
		return ctx.Err() == nil || !w.leave()
	case <-ctx.Done():
		return false
	}
}

func (w *Worker) leave() bool {
	<-w.slots
	return true
}

// run does the call's work in the slot that it holds, gives the slot back, and
// returns the checksum of the request's body.
func (w *Worker) run(r *http.Request, b Behaviour) uint32 {
	w.running.Add(1)
	defer func() {
		w.running.Add(-1)
		<-w.slots
	}()
	w.journal.add(Entry{
		id: r.Header.Get(headerRequestID), method: r.Method, path: r.URL.Path,
		key: r.Header.Get(headerKey), worker: string(w.member.ID()), at: time.Now(),
	})
	sum := crc32.NewIEEE()
	if _, err := io.Copy(sum, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.mutex.Lock()
	slow := w.noise.slow.Load()
	w.mutex.Unlock()
	if !sleeper.Sleep(r.Context(), b.serviceTime(slow, time.Since(w.started))) {
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < b.cutShare {
		panic(http.ErrAbortHandler)
	}
	return sum.Sum32()
}

func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, sum uint32) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 || size > mostAnswer {
		size = 0
	}
	id := r.Header.Get(headerRequestID)
	h := rw.Header()
	h.Set(HeaderSum, fmt.Sprintf("%08x", sum))
	h.Set(HeaderWorker, string(w.member.ID()))
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(size))
	io.Copy(rw, AnswerBody(id, size)) //nolint:errcheck // The client has gone.
}
