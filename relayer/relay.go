// Package relayer hands the store's keys on from one instance to others of its
// availability zone, so that what the fleet asks of the store grows with its
// zones and not with its instances.
package relayer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
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
	// holdTime is how long a relay holds a question while nothing changes. Its
	// empty answer tells that it is alive.
	holdTime = 700 * time.Millisecond
	// catchUpTime is how long a relay waits for a revision that the asker knows
	// already.
	catchUpTime = 1500 * time.Millisecond
	// takeOverTime is how long a question waits for an instance that is about to
	// take over from another relay.
	takeOverTime = 300 * time.Millisecond
	// readTimeout bounds the reading of a question.
	readTimeout = 2 * time.Second
	// idleTimeout is how long a connection may be unused.
	idleTimeout = 30 * time.Second

	pathKeys    = "/relay/keys"
	pathChanges = "/relay/changes"

	queryLeast       = "least-revision"
	queryCursor      = "cursor"
	queryIncarnation = "incarnation"
)

var relayedTotal = metrics.NewCounter("burdocklane_relayed_answers_total")

// Relay serves a copy of the store's keys while this instance follows the store
// itself.
type Relay struct {
	incarnation string
	follows     func() bool // Whether this instance follows the store itself.
	serving     atomic.Bool
	keys        atomic.Pointer[keysCopy]
	address     string
	server      *http.Server
	ctx         context.Context
	cancel      context.CancelFunc
	running     sync.WaitGroup
}

// New serves on the address. The function follows tells whether this instance
// follows the store itself and reaches it: one that does not is no relay.
func New(address string, follows func() bool, log zerolog.Logger) (*Relay, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen as a relay")
	}
	r := &Relay{incarnation: uuid.NewString(), follows: follows, address: socket.Addr().String()}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.keys.Store(newKeysCopy())
	router := mux.NewRouter()
	router.HandleFunc(pathKeys, r.answerKeys).Methods(http.MethodGet)
	router.HandleFunc(pathChanges, r.answerChanges).Methods(http.MethodGet)
	r.server = &http.Server{Handler: router, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	r.running.Go(func() {
		if err := r.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("relay does not serve any more")
		}
	})
	return r, nil
}

// Address returns host:port.
func (r *Relay) Address() string { return r.address }

// Close ends the answers under way and waits for the server.
func (r *Relay) Close() {
	r.cancel()
	r.server.Close() //nolint:errcheck // The sockets are closed either way.
	r.running.Wait()
}

// Show takes over the store's keys. It must not be called from two goroutines
// at once.
func (r *Relay) Show(page storer.Page) {
	old := r.keys.Load()
	r.keys.Store(old.next(page))
	r.serving.Store(true)
	close(old.replaced)
}

// Hide ends the service until keys are shown again: other instances are the
// relays now.
func (r *Relay) Hide() { r.serving.Store(false) }

func (r *Relay) serves() bool { return r.serving.Load() && r.follows() }

// answerKeys answers with all keys, once they are not older than the asker's.
func (r *Relay) answerKeys(w http.ResponseWriter, q *http.Request) {
	least, err := strconv.ParseInt(q.URL.Query().Get(queryLeast), 10, 64)
	if err != nil {
		http.Error(w, "no revision", http.StatusBadRequest)
		return
	}
	r.await(q.Context(), takeOverTime, func(*keysCopy) bool { return r.serves() })
	current := r.await(q.Context(), catchUpTime, func(k *keysCopy) bool { return k.revision >= least || !r.serves() })
	if !r.serves() || current.revision < least {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer(w, current.all(r.incarnation))
}

// answerChanges answers with what changed after a cursor, once something has.
func (r *Relay) answerChanges(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	cursor, err := strconv.ParseInt(query.Get(queryCursor), 10, 64)
	if err != nil {
		http.Error(w, "no cursor", http.StatusBadRequest)
		return
	}
	if query.Get(queryIncarnation) != r.incarnation {
		w.WriteHeader(http.StatusGone)
		return
	}
	current := r.await(q.Context(), holdTime, func(k *keysCopy) bool { return k.cursor > cursor || !r.serves() })
	changes, known := current.since(cursor)
	switch {
	case !r.serves():
		w.WriteHeader(http.StatusServiceUnavailable)
	case !known:
		w.WriteHeader(http.StatusGone)
	default:
		answer(w, changes)
	}
}

// await returns the first copy that is enough, or the latest one when the time
// is up or the relay cannot serve.
func (r *Relay) await(ctx context.Context, most time.Duration, enough func(*keysCopy) bool) *keysCopy {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		current := r.keys.Load()
		if enough(current) {
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

func answer(w http.ResponseWriter, message any) {
	relayedTotal.Inc()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(message) //nolint:errcheck // The asker sees a broken answer.
}
