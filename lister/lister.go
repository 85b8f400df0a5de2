package lister

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/holder"
	"burdocklane/registrar"
	"burdocklane/sleeper"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	longPollWait  = 20 * time.Second
	pollTimeout   = longPollWait + 5*time.Second
	retryInterval = 500 * time.Millisecond
	maxListBytes  = 8 << 20
)

// StatusError reports an unsuccessful HTTP status from the list's endpoint.
type StatusError struct{ status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("platform's list: status %d", e.status) }

// Lister receives the list by long polling: the platform responds when the list
// has changed, or when the wait that the request asks for is over.
type Lister struct {
	endpoint      string
	client        *http.Client
	onList        func(registrar.List)
	log           zerolog.Logger
	version       int64
	ignored       int // The number of odd entries in the last list.
	lastContact   atomic.Int64
	polls         atomic.Int64
	bytesReceived atomic.Int64
	cancel        context.CancelFunc
	done          sync.WaitGroup
}

// New returns a Lister and starts it. It calls onList with each new list.
func New(endpoint string, onList func(registrar.List), log zerolog.Logger) *Lister {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Lister{
		endpoint: endpoint,
		client:   &http.Client{Timeout: pollTimeout, Transport: &http.Transport{}},
		onList:   onList,
		log:      log,
		version:  -1,
		cancel:   cancel,
	}
	l.done.Go(func() { l.run(ctx) })
	return l
}

// Close stops polling and waits for it to end.
func (l *Lister) Close() {
	l.cancel()
	l.done.Wait()
	l.client.CloseIdleConnections()
}

// LastContact returns the time of the last successful response from the platform, or
// the zero time.
func (l *Lister) LastContact() time.Time {
	at := l.lastContact.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Polls returns the number of polls sent.
func (l *Lister) Polls() int64 { return l.polls.Load() }

// BytesReceived returns the number of bytes of lists received.
func (l *Lister) BytesReceived() int64 { return l.bytesReceived.Load() }

func (l *Lister) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.poll(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		l.log.Warn().Err(err).Msg("platform's list is unreachable; keeping the last one")
		sleeper.Sleep(ctx, retryInterval+rand.N(retryInterval))
	}
}

// poll requests a list that is newer than the last one received.
func (l *Lister) poll(ctx context.Context) error {
	l.polls.Add(1)
	query := url.Values{"after": {strconv.FormatInt(l.version, 10)}, "wait": {longPollWait.String()}}
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
		l.lastContact.Store(time.Now().UnixNano())
		return nil
	default:
		return &StatusError{status: response.StatusCode}
	}
	data, err := holder.ReadLimited(response.Body, maxListBytes)
	if err != nil {
		return errors.Wrap(err, "platform's list")
	}
	l.bytesReceived.Add(int64(len(data)))
	list, ignored, err := Decode(data)
	if err != nil {
		return err
	}
	l.logIgnored(ignored)
	l.lastContact.Store(time.Now().UnixNano())
	l.version = list.Version()
	l.onList(list)
	return nil
}

// logIgnored logs the number of odd entries of a list if it has changed.
func (l *Lister) logIgnored(entries int) {
	if entries > l.ignored {
		l.log.Warn().Int("entries", entries).Msg("entries of the platform's list are invalid; ignoring them")
	}
	l.ignored = entries
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
	data, err := holder.ReadLimited(response.Body, maxListBytes)
	if err != nil {
		return registrar.List{}, errors.Wrap(err, "platform's list")
	}
	list, _, err := Decode(data)
	return list, err
}
