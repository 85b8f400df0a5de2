// Package inspector implements the read-only admin port, which serves health,
// readiness, metrics, status and the decisions for a call, and its client.
package inspector

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/acceptor"
	"burdocklane/asserter"
	"burdocklane/budgeter"
	"burdocklane/dispatcher"
	"burdocklane/previewer"
	"burdocklane/publisher"
	"burdocklane/recorder"
	"burdocklane/registrar"
	"burdocklane/shedder"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
)

const closeTimeout = time.Second

// Sources holds the components whose state the admin port shows.
type Sources struct {
	instance         registrar.Instance
	publisher        *publisher.Publisher
	recorder         *recorder.Recorder
	dispatcher       *dispatcher.Dispatcher
	asserter         *asserter.Asserter
	storeContact     func() time.Time
	listContact      func() time.Time
	fleet            Fleet
	byteBudget       *budgeter.ByteBudget
	measurementBytes func() int64
	control          func() ControlTraffic
}

// WithInstance sets the instance that the admin port belongs to.
func (s Sources) WithInstance(i registrar.Instance) Sources { s.instance = i; return s }

// WithPublisher sets the publisher of the active configuration snapshot.
func (s Sources) WithPublisher(p *publisher.Publisher) Sources { s.publisher = p; return s }

// WithRecorder sets the recorder in which decisions are looked up.
func (s Sources) WithRecorder(r *recorder.Recorder) Sources { s.recorder = r; return s }

// WithDispatcher sets the dispatcher that counts the calls in flight.
func (s Sources) WithDispatcher(d *dispatcher.Dispatcher) Sources { s.dispatcher = d; return s }

// WithAsserter sets the asserter that counts invariant violations.
func (s Sources) WithAsserter(a *asserter.Asserter) Sources { s.asserter = a; return s }

// WithLastContacts sets the functions that return when the store and the platform's
// list last responded.
func (s Sources) WithLastContacts(store, list func() time.Time) Sources {
	s.storeContact, s.listContact = store, list
	return s
}

// Server is the HTTP server of the admin port.
type Server struct {
	sources  Sources
	server   *acceptor.CheckServer
	listener net.Listener
	leaving  atomic.Bool
	done     sync.WaitGroup
}

// New starts the admin port on the address. The shedder bounds what its callers hold.
func New(address string, sources Sources, callers *shedder.Shedder) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the admin port")
	}
	i := &Server{sources: sources, listener: listener}
	i.server = acceptor.NewCheckServer(i.routes(), callers)
	i.done.Go(func() { i.server.Serve(listener) }) //nolint:errcheck // Always ErrServerClosed.
	return i, nil
}

// Address returns the address that the port is bound to.
func (i *Server) Address() string { return i.listener.Addr().String() }

// MarkLeaving makes /readyz report the instance as not ready from now on.
func (i *Server) MarkLeaving() { i.leaving.Store(true) }

// Close shuts down the server and waits until it has stopped.
func (i *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if i.server.Shutdown(ctx) != nil {
		i.server.Close()
	}
	i.done.Wait()
}

func (i *Server) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", i.serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", i.serveReady).Methods(http.MethodGet)
	router.HandleFunc("/metrics", i.serveMetrics).Methods(http.MethodGet)
	router.HandleFunc("/status", i.serveStatus).Methods(http.MethodGet)
	router.HandleFunc("/explain/{id}", i.serveExplain).Methods(http.MethodGet)
	router.HandleFunc(WherePath, WhereHandler(previewer.New(i.sources.instance, i.sources.publisher))).Methods(http.MethodGet)
	return router
}

func (i *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Write([]byte("ok\n")) //nolint:errcheck // The client has disconnected.
}

func (i *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case i.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !i.sources.publisher.Current().Ready():
		http.Error(w, "no configuration is in force yet", http.StatusServiceUnavailable)
	default:
		w.Write([]byte("ready\n")) //nolint:errcheck // The client has disconnected.
	}
}

func (i *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
}

func (i *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	status := newStatusMessage(i.sources, i.leaving.Load(), time.Now())
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.Encode(status) //nolint:errcheck // The client has disconnected.
}

// serveExplain writes the decisions for a request ID as JSON lines.
func (i *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	decisions := i.sources.recorder.DecisionsFor(mux.Vars(r)["id"])
	if len(decisions) == 0 {
		http.Error(w, "no decision for this request ID is kept here", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	log := zerolog.New(w)
	for _, d := range decisions {
		log.Log().EmbedObject(d).Send()
	}
}
