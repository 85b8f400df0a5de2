package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"burdocklane/holder"
	"burdocklane/registrar"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

const (
	pathEnrolment = "/relay/enrolment"
	// maxEnrolmentBytes bounds the request of an instance to be registered.
	maxEnrolmentBytes = 4 << 10
	// maxEnrolmentTries is how many relays an instance asks to register it.
	maxEnrolmentTries = 4
	// enrolmentTimeout is how long one of them may take.
	enrolmentTimeout = 500 * time.Millisecond
)

// Enroll registers an instance by its entry in the store, and returns the store's
// revision of the entry. After an error it is unknown whether the entry was written.
type Enroll func(ctx context.Context, key string, value []byte) (storer.Revision, error)

// enrolmentMessage is the entry of an instance that asks a relay to register it.
type enrolmentMessage struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// revisionMessage is the store's revision of an entry that was written.
type revisionMessage struct {
	Era      int64 `json:"era"`
	Revision int64 `json:"revision"`
}

// WithEnrolment lets the relay register other instances, many of them by one write.
func WithEnrolment(enroll Enroll) Option { return func(r *Relay) { r.enroll = enroll } }

// serveEnrolment registers the instance that asks for it.
func (r *Relay) serveEnrolment(w http.ResponseWriter, request *http.Request) {
	if r.enroll == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var m enrolmentMessage
	data, err := holder.ReadLimited(request.Body, maxEnrolmentBytes)
	if err == nil {
		err = json.Unmarshal(data, &m)
	}
	if err != nil {
		http.Error(w, "enrolment is not readable", http.StatusBadRequest)
		return
	}
	revision, err := r.enroll(request.Context(), m.Key, m.Value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	newEncoding(revisionMessage{Era: revision.Era(), Revision: revision.Number()}).write(w, request)
}

// NoRelayError reports that no relay is live.
type NoRelayError struct{}

// Error implements error.
func (*NoRelayError) Error() string { return "no relay is live" }

// Enroll asks the relay that this instance has read from to register it, or else the
// other relays of its zone.
func (s *Selector) Enroll(ctx context.Context, key string, value []byte) (revision storer.Revision, err error) {
	body, err := json.Marshal(enrolmentMessage{Key: key, Value: value})
	if err != nil {
		return storer.Revision{}, errors.Wrap(err, "enrolment")
	}
	err = &NoRelayError{}
	for _, relay := range s.enrolmentRelays() {
		if revision, err = s.enrollAt(ctx, relay, body); err == nil {
			return revision, nil
		}
	}
	return storer.Revision{}, err
}

func (s *Selector) enrollAt(ctx context.Context, relay string, body []byte) (storer.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, enrolmentTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+relay+pathEnrolment, bytes.NewReader(body))
	if err != nil {
		return storer.Revision{}, errors.Wrap(err, "enrolment")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return storer.Revision{}, errors.Wrap(err, "enrolment")
	}
	defer response.Body.Close()
	return decodeRevision(response)
}

func decodeRevision(response *http.Response) (storer.Revision, error) {
	data, err := holder.ReadLimited(response.Body, maxEnrolmentBytes)
	if err != nil {
		return storer.Revision{}, errors.Wrap(err, "enrolment")
	}
	if response.StatusCode != http.StatusOK {
		return storer.Revision{}, storer.NewStatusError("enrolment", response.StatusCode, fmt.Sprintf("%.200s", data))
	}
	var m revisionMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return storer.Revision{}, errors.Wrap(err, "enrolment")
	}
	return storer.NewRevision(m.Era, m.Revision), nil
}

// enrolmentRelays returns host:port of the relay that has served this instance last, of
// those of its zone, and of the first coordinators of other zones: the store may refuse a
// whole zone.
func (s *Selector) enrolmentRelays() []string {
	var addresses []string
	if served := s.served.Load(); served != nil {
		addresses = append(addresses, *served)
	}
	for _, relay := range slices.Concat(*s.relays.Load(), registrar.CoordinatorsByRank(*s.instances.Load(), s.self)) {
		if len(addresses) == maxEnrolmentTries {
			break
		}
		if !s.isCoolingDown(relay) && !slices.Contains(addresses, relay.PeerAddress()) {
			addresses = append(addresses, relay.PeerAddress())
		}
	}
	return addresses
}
