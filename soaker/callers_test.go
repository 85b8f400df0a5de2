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
	callerCount   = 12
	meanThinkTime = 20 * time.Millisecond
	callTimeout   = 2500 * time.Millisecond
	// callsPerConnection is how many calls a caller makes on one connection.
	callsPerConnection = 25
)

// outcome is the result of one call as its caller observed it.
type outcome struct {
	id          string
	atMostOnce  bool // The call is not idempotent and must run at most once.
	route       int
	incarnation *incarnation
	start       time.Time
	end         time.Time
	status      int
	intact      bool
	connected   bool   // The connection was established.
	leaver      string // The worker that announced in its answer that it is about to stop.
	err         error
}

// isNotRun reports whether the status guarantees to the caller that the call has
// not run.
func (o outcome) isNotRun() bool {
	switch o.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// callers is a group of clients that send calls until their context ends.
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
		cs.running.Go(func() { cs.sendCalls(ctx, fmt.Sprintf("caller-%d", n), rng) })
	}
	return cs
}

// sendCalls sends calls until the context ends. It makes several calls on each
// connection, even while the instance prepares to stop. A later connection may reach
// the next process of the same instance.
func (cs *callers) sendCalls(ctx context.Context, name string, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; {
		target := cs.fleet.instances[rng.IntN(len(cs.fleet.instances))]
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
		for range callsPerConnection {
			n++
			o := cs.sendCall(client, target, fmt.Sprintf("%s-%d", name, n), rng)
			cs.mutex.Lock()
			cs.outcomes = append(cs.outcomes, o)
			cs.mutex.Unlock()
			time.Sleep(time.Duration(rng.Int64N(int64(2 * meanThinkTime))))
			if o.err != nil || ctx.Err() != nil {
				break
			}
		}
		client.CloseIdleConnections()
	}
}

func (cs *callers) sendCall(client *http.Client, target *instance, id string, rng *rand.Rand) outcome {
	o := outcome{id: id, atMostOnce: rng.IntN(2) == 0, incarnation: cs.fleet.currentIncarnation(target), start: time.Now(), route: 1 + rng.IntN(max(cs.fleet.latestVersion()-1, 1))}
	method, path := http.MethodGet, fmt.Sprintf("/safe/%d/%s", o.route, id)
	var body io.Reader = http.NoBody
	if o.atMostOnce {
		method, path = http.MethodPost, fmt.Sprintf("/once/%d/%s", o.route, id)
		body = strings.NewReader(strings.Repeat("x", rng.IntN(4000)))
	}
	// NopCloser hides the body's type, so that net/http cannot replay it.
	request, err := http.NewRequest(method, "http://"+target.callers+path, io.NopCloser(body))
	if err != nil {
		o.err = err
		return o
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Tenant", "another") // Workers must not get what callers claim.
	setKey(request, lastingKey)
	request.Header.Set("X-Request-Deadline-Ms", "2000")
	o.record(client.Do(request))
	return o
}

func (o *outcome) record(response *http.Response, err error) {
	defer func() { o.end = time.Now() }()
	var op *net.OpError
	o.connected = !errors.As(err, &op) || op.Op != "dial"
	if err != nil {
		o.err = err
		return
	}
	defer response.Body.Close()
	if response.Header.Get("Server-Leaving") != "" {
		o.leaver = response.Header.Get("X-Instance-Id")
	}
	data, err := io.ReadAll(response.Body)
	o.status, o.err = response.StatusCode, err
	o.intact = err == nil && string(data) == imitator.Body(o.id) &&
		response.Header.Get("X-Response-Signature") == "signed-"+o.id && response.Header.Get("X-Request-Id") == o.id
}
