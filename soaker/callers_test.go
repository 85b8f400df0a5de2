package soaker_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"burdocklane/platform/imitator"

	"github.com/go-faster/errors"
)

const (
	callerCount = 12
	thinkTime   = 20 * time.Millisecond
	callTime    = 2500 * time.Millisecond
	// callsKept is how many calls a caller makes on one connection.
	callsKept = 25
)

// outcome is what a caller saw of one call.
type outcome struct {
	id     string
	once   bool // The call must run at most once.
	route  int
	life   *life
	start  time.Time
	end    time.Time
	status int
	whole  bool
	dialed bool // A connection was there.
	err    error
}

// notRun tells whether the caller was promised that the call has not run.
func (o outcome) notRun() bool {
	switch o.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// callers send calls until their context ends.
type callers struct {
	fleet    *fleet
	mutex    sync.Mutex // Guards outcomes.
	outcomes []outcome
	running  sync.WaitGroup
}

func startCallers(ctx context.Context, f *fleet, seed uint64) *callers {
	cs := &callers{fleet: f}
	for n := range callerCount {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		cs.running.Go(func() { cs.call(ctx, fmt.Sprintf("caller-%d", n), rng) })
	}
	return cs
}

// call keeps a connection for some calls, also while its instance is about to
// stop.
func (cs *callers) call(ctx context.Context, name string, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; {
		lives := cs.fleet.living()
		l := lives[rng.IntN(len(lives))]
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTime}
		for range callsKept {
			n++
			o := cs.one(client, l, fmt.Sprintf("%s-%d", name, n), rng)
			cs.mutex.Lock()
			cs.outcomes = append(cs.outcomes, o)
			cs.mutex.Unlock()
			time.Sleep(time.Duration(rng.Int64N(int64(2 * thinkTime))))
			if o.err != nil || ctx.Err() != nil {
				break
			}
		}
		client.CloseIdleConnections()
	}
}

func (cs *callers) one(client *http.Client, l *life, id string, rng *rand.Rand) outcome {
	o := outcome{id: id, once: rng.IntN(2) == 0, life: l, start: time.Now(), route: 1 + rng.IntN(max(cs.fleet.latest()-1, 1))}
	method, path := http.MethodGet, fmt.Sprintf("/safe/%d/%s", o.route, id)
	var body io.Reader = http.NoBody
	if o.once {
		method, path = http.MethodPost, fmt.Sprintf("/once/%d/%s", o.route, id)
		body = strings.NewReader(strings.Repeat("x", rng.IntN(4000)))
	}
	request, err := http.NewRequest(method, "http://"+l.callers+path, io.NopCloser(body)) // It cannot be replayed.
	if err != nil {
		o.err = err
		return o
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Request-Deadline-Ms", "2000")
	o.finish(client.Do(request))
	return o
}

func (o *outcome) finish(response *http.Response, err error) {
	defer func() { o.end = time.Now() }()
	var op *net.OpError
	o.dialed = !errors.As(err, &op) || op.Op != "dial"
	if err != nil {
		o.err = err
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	o.status, o.err = response.StatusCode, err
	o.whole = err == nil && string(data) == imitator.Body(o.id) &&
		response.Header.Get("X-Response-Signature") == "signed-"+o.id && response.Header.Get("X-Request-Id") == o.id
}
