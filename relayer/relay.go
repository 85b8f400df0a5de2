// Package relayer propagates the store's keys from one instance to the others of
// its availability zone, so that the load on the store grows with the number of
// zones and not with the number of instances.
package relayer

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/storer"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
)

const (
	// longPollTimeout is how long a relay holds a request while nothing changes. Its
	// empty response shows that the relay is alive.
	longPollTimeout = 700 * time.Millisecond
	// catchUpTimeout is how long a relay waits for a revision that the client knows
	// already.
	catchUpTimeout = 1500 * time.Millisecond
	// takeoverTimeout is how long a request waits at an instance that is about to
	// take over from another relay.
	takeoverTimeout = 300 * time.Millisecond
	// readTimeout limits the time to read a request.
	readTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second

	pathKeys    = "/relay/keys"
	pathChanges = "/relay/changes"

	// statusStoreLost is the status with which an instance that has lost the store refuses
	// a read.
	statusStoreLost = http.StatusBadGateway

	queryMinEra      = "least-era"
	queryMinRevision = "least-revision"
	queryCursor      = "cursor"
	queryIncarnation = "incarnation"
)

var relayedResponses = metrics.NewCounter("burdocklane_relayed_answers_total")

// Relay serves a snapshot of the store's keys while this instance follows the
// store itself.
type Relay struct {
	incarnation  string
	followsStore func() bool // Reports whether this instance follows the store itself and reaches it.
	hasLostStore func() bool // Reports whether the store does not serve this instance.
	serving      atomic.Bool
	keys         atomic.Pointer[snapshot]
	enroll       Enroll                              // Or nil.
	active       atomic.Pointer[activeConfiguration] // Or nil.
	address      string
	server       *http.Server
	ctx          context.Context
	cancel       context.CancelFunc
	running      sync.WaitGroup
}

// Option sets one property of a Relay.
type Option func(*Relay)

// WithStoreLost sets a function that reports whether the store does not serve this
// instance: it refuses reads at once then.
func WithStoreLost(hasLostStore func() bool) Option {
	return func(r *Relay) { r.hasLostStore = hasLostStore }
}

// New returns a Relay that listens on the address. followsStore reports whether
// this instance follows the store itself and reaches it: an instance that does not
// rejects the requests.
func New(address string, followsStore func() bool, log zerolog.Logger, opts ...Option) (*Relay, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for relay requests")
	}
	r := &Relay{incarnation: uuid.NewString(), followsStore: followsStore, hasLostStore: func() bool { return false }, address: socket.Addr().String()}
	for _, opt := range opts {
		opt(r)
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.keys.Store(newSnapshot().withEncodings(r.incarnation))
	router := mux.NewRouter()
	router.HandleFunc(pathKeys, r.serveKeys).Methods(http.MethodGet)
	router.HandleFunc(pathChanges, r.serveChanges).Methods(http.MethodGet)
	router.HandleFunc(pathConfiguration, r.serveConfiguration).Methods(http.MethodGet)
	router.HandleFunc(pathEnrolment, r.serveEnrolment).Methods(http.MethodPost)
	r.server = &http.Server{Handler: router, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	r.running.Go(func() {
		if err := r.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("relay server stopped unexpectedly")
		}
	})
	return r, nil
}

// Address returns host:port.
func (r *Relay) Address() string { return r.address }

// Close ends the requests in flight and waits for the server.
func (r *Relay) Close() {
	r.cancel()
	r.server.Close() //nolint:errcheck // The sockets are closed either way.
	r.running.Wait()
}

// Publish publishes the store's keys to the instances that read from this relay. It
// must not be called concurrently.
func (r *Relay) Publish(result storer.RangeResult) {
	old := r.keys.Load()
	r.keys.Store(old.next(result).withEncodings(r.incarnation))
	r.serving.Store(true)
	close(old.replaced)
}

// Recheck makes the requests that wait check again whether this instance serves. It
// must not be called concurrently with Publish.
func (r *Relay) Recheck() {
	old := r.keys.Load()
	same := *old
	same.replaced = make(chan struct{})
	r.keys.Store(&same)
	close(old.replaced)
}

// Suspend makes the relay reject requests until keys are published again: other
// instances are the relays now.
func (r *Relay) Suspend() { r.serving.Store(false) }

func (r *Relay) serves() bool { return r.serving.Load() && r.followsStore() }

// serveKeys responds with all keys, once their revision is at least the client's.
func (r *Relay) serveKeys(w http.ResponseWriter, request *http.Request) {
	minRevision, err := parseMinRevision(request.URL.Query())
	if err != nil {
		http.Error(w, "no revision", http.StatusBadRequest)
		return
	}
	if r.hasLostStore() {
		w.WriteHeader(statusStoreLost)
		return
	}
	r.waitFor(request.Context(), takeoverTimeout, func(*snapshot) bool { return r.serves() })
	current := r.waitFor(request.Context(), catchUpTimeout, func(s *snapshot) bool { return !s.revision.Before(minRevision) || !r.serves() })
	if !r.serves() || current.revision.Before(minRevision) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	current.encodings.keys().write(w, request)
}

// parseMinRevision returns the revision that the client knows already. Its number is
// of the first era if the query names none.
func parseMinRevision(query url.Values) (storer.Revision, error) {
	era, err := strconv.ParseInt(cmp.Or(query.Get(queryMinEra), "0"), 10, 64)
	if err != nil {
		return storer.Revision{}, err
	}
	number, err := strconv.ParseInt(query.Get(queryMinRevision), 10, 64)
	return storer.NewRevision(era, number), err
}

// serveChanges responds with the changes after a cursor, as soon as there are any.
func (r *Relay) serveChanges(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	cursor, err := strconv.ParseInt(query.Get(queryCursor), 10, 64)
	if err != nil {
		http.Error(w, "no cursor", http.StatusBadRequest)
		return
	}
	if query.Get(queryIncarnation) != r.incarnation {
		w.WriteHeader(http.StatusGone)
		return
	}
	current := r.waitFor(request.Context(), longPollTimeout, func(s *snapshot) bool { return s.cursor > cursor || !r.serves() })
	changes, known := current.encodedChanges(cursor)
	switch {
	case !r.serves():
		w.WriteHeader(http.StatusServiceUnavailable)
	case !known:
		w.WriteHeader(http.StatusGone)
	default:
		changes.write(w, request)
	}
}

// waitFor returns the first snapshot that satisfies the condition, or the latest
// one after the timeout or when the request or the relay ends.
func (r *Relay) waitFor(ctx context.Context, timeout time.Duration, satisfies func(*snapshot) bool) *snapshot {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		current := r.keys.Load()
		if satisfies(current) {
			return current
		}
		select {
		case <-current.replaced:
		case <-timer.C:
			return current
		case <-ctx.Done():
			return current
		case <-r.ctx.Done():
			return current
		}
	}
}
