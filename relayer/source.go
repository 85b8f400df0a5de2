package relayer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"burdocklane/storer"
	"burdocklane/timekeeper"

	"github.com/go-faster/errors"
)

const (
	// responseTimeout is how long a relay may take to begin its response beyond the time
	// that it holds the request.
	responseTimeout = 500 * time.Millisecond
	// stallTimeout is how long a response may stand still: all instances of a zone may
	// read at once over the relay's link. Other sources are read long before.
	stallTimeout = 2 * time.Second
	// firstReadTimeout is how long a relay may take to begin to deliver all keys to an
	// instance that knows none yet.
	firstReadTimeout = 1200 * time.Millisecond
	// maxResponseBytes bounds a message with all keys.
	maxResponseBytes = 16 << 20
)

// source reads the keys from a relay.
type source struct {
	base          string
	client        *http.Client
	knownRevision func() storer.Revision
	onServed      func() // Called after each read of all keys. May be nil.
	maxBytes      int64  // Bounds a response.
	incarnation   string // Of the relay. Used only by the follower's goroutine, as is the cursor.
	cursor        int64
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}}
}

// sourceName returns the name of the relay at host:port.
func sourceName(address string) string { return "relay " + address }

// newSource returns a store that reads from the relay at host:port. The relay is
// asked for keys at knownRevision or later, and its address is passed to onServed when
// it has delivered them. The source must not be used concurrently.
func newSource(client *http.Client, address string, knownRevision func() storer.Revision, onServed func(address string)) *storer.Remote {
	s := &source{
		base: "http://" + address, client: client, knownRevision: knownRevision,
		onServed: func() { onServed(address) }, maxBytes: maxResponseBytes,
	}
	return storer.NewRemote(storer.WithName(sourceName(address)), storer.WithRange(s.readRange), storer.WithPoll(s.poll, 0))
}

func (s *source) readRange(ctx context.Context, _ string) (storer.RangeResult, error) {
	var m snapshotMessage
	known := s.knownRevision()
	query := url.Values{
		queryMinEra:      {strconv.FormatInt(known.Era(), 10)},
		queryMinRevision: {strconv.FormatInt(known.Number(), 10)},
	}
	serverWait := catchUpTimeout
	if known.IsZero() {
		serverWait = firstReadTimeout - responseTimeout
	}
	if err := s.get(ctx, pathKeys, query, serverWait, &m); err != nil {
		return storer.RangeResult{}, err
	}
	s.incarnation, s.cursor = m.Incarnation, m.Cursor
	if s.onServed != nil {
		s.onServed()
	}
	return m.rangeResult(), nil
}

func (s *source) poll(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
	var m changesMessage
	query := url.Values{queryCursor: {strconv.FormatInt(s.cursor, 10)}, queryIncarnation: {s.incarnation}}
	if err := s.get(ctx, pathChanges, query, longPollTimeout, &m); err != nil {
		return storer.Batch{}, err
	}
	s.cursor = m.Cursor
	return m.batch(), nil
}

func (s *source) get(ctx context.Context, path string, query url.Values, serverWait time.Duration, message any) error {
	exchange := timekeeper.New(ctx, serverWait+responseTimeout, stallTimeout)
	defer exchange.Close()
	request, err := http.NewRequestWithContext(exchange.Context(), http.MethodGet, s.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return errors.Wrap(exchange.Reason(err), "relay")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusGone {
		return storer.NewCompactedError(s.knownRevision())
	}
	if response.StatusCode == statusStoreLost {
		return storer.NewRelayLostStoreError(s.base)
	}
	if response.StatusCode != http.StatusOK {
		return storer.NewStatusError("relay", response.StatusCode, "")
	}
	data, err := exchange.ReadBody(response.Body, s.maxBytes)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	if err := json.Unmarshal(data, message); err != nil {
		return errors.Wrap(err, "relay")
	}
	return nil
}
