package lister

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/registrar"
	"burdocklane/sleeper"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	pollWait      = 20 * time.Second
	pollTimeout   = pollWait + 5*time.Second
	retryPause    = 500 * time.Millisecond
	mostListBytes = 8 << 20
)

// StatusError reports an answer of the list's endpoint that is not a success.
type StatusError struct{ status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("platform's list: status %d", e.status) }

// Lister follows the list by long polling: the platform answers when the list
// has changed, or after a while.
type Lister struct {
	endpoint string
	client   *http.Client
	receive  func(registrar.List)
	log      zerolog.Logger
	version  int64
	contact  atomic.Int64
	calls    atomic.Int64
	bytes    atomic.Int64
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// New starts a Lister that calls receive with each list that is new.
func New(endpoint string, receive func(registrar.List), log zerolog.Logger) *Lister {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Lister{
		endpoint: endpoint,
		client:   &http.Client{Timeout: pollTimeout, Transport: &http.Transport{}},
		receive:  receive,
		log:      log,
		version:  -1,
		cancel:   cancel,
	}
	l.done.Go(func() { l.run(ctx) })
	return l
}

// Close ends the polling and waits for it.
func (l *Lister) Close() {
	l.cancel()
	l.done.Wait()
	l.client.CloseIdleConnections()
}

// Contact returns when the platform last answered, or the zero time.
func (l *Lister) Contact() time.Time {
	at := l.contact.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Calls returns the number of polls made.
func (l *Lister) Calls() int64 { return l.calls.Load() }

// Bytes returns the bytes of lists received.
func (l *Lister) Bytes() int64 { return l.bytes.Load() }

func (l *Lister) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.poll(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		l.log.Warn().Err(err).Msg("platform's list is not reachable; the last one stays in force")
		sleeper.Sleep(ctx, retryPause+rand.N(retryPause))
	}
}

// poll asks for a list that is newer than the one at hand.
func (l *Lister) poll(ctx context.Context) error {
	l.calls.Add(1)
	query := url.Values{"after": {strconv.FormatInt(l.version, 10)}, "wait": {pollWait.String()}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.endpoint+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "platform's list")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "platform's list")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		l.contact.Store(time.Now().UnixNano())
		return nil
	default:
		return &StatusError{status: response.StatusCode}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, mostListBytes))
	if err != nil {
		return errors.Wrap(err, "platform's list")
	}
	l.bytes.Add(int64(len(data)))
	list, err := Decode(data)
	if err != nil {
		return err
	}
	l.contact.Store(time.Now().UnixNano())
	l.version = list.Version()
	l.receive(list)
	return nil
}

// Fetch reads the list once.
func Fetch(ctx context.Context, endpoint string) (registrar.List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint, http.NoBody)
	if err != nil {
		return registrar.List{}, errors.Wrap(err, "platform's list")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return registrar.List{}, errors.Wrap(err, "platform's list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return registrar.List{}, &StatusError{status: response.StatusCode}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, mostListBytes))
	if err != nil {
		return registrar.List{}, errors.Wrap(err, "platform's list")
	}
	return Decode(data)
}
