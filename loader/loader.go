package loader

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"syscall"
	"time"

	"burdocklane/emulator"

	"github.com/go-faster/errors"
)

const (
	maxIdleConnsPerTarget = 256
	callTimeout           = 30 * time.Second
)

// NewClient returns an HTTP client for sending load.
func NewClient() *http.Client {
	return &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnsPerTarget,
			DisableCompression:  true,
		},
	}
}

// Run sends the load of the plan and waits for all responses.
func Run(ctx context.Context, client *http.Client, plan Plan) *Summary {
	rng := rand.New(rand.NewPCG(plan.seed, plan.seed))
	summary := NewSummary()
	outcomes := make(chan Outcome, maxIdleConnsPerTarget)
	var collected, calls sync.WaitGroup
	collected.Go(func() {
		for o := range outcomes {
			summary.Add(o)
			plan.observe(o)
		}
	})
	started := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += plan.interarrival(rng, at)
		if at >= plan.duration || !sleepUntil(ctx, started.Add(at)) {
			break
		}
		callType, target := plan.pick(rng)
		id := fmt.Sprintf("%s-%d-%d", plan.prefix, plan.seed, n)
		intendedStart := at
		calls.Go(func() { outcomes <- runCall(ctx, client, target, callType, id, started, intendedStart) })
	}
	calls.Wait()
	close(outcomes)
	collected.Wait()
	summary.elapsed = max(time.Since(started), plan.duration)
	return summary
}

// interarrival draws the time until the next call, as in a Poisson process.
func (p Plan) interarrival(rng *rand.Rand, at time.Duration) time.Duration {
	rate := p.rate
	if p.burst.factor > 0 && at >= p.burst.at && at < p.burst.at+p.burst.length {
		rate *= p.burst.factor
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// pick draws the type of the next call by weight, and its target.
func (p Plan) pick(rng *rand.Rand) (CallType, string) {
	total := 0
	for _, c := range p.callTypes {
		total += c.weight
	}
	at := rng.IntN(total)
	targets := p.targets()
	target := targets[rng.IntN(len(targets))]
	for _, c := range p.callTypes {
		if at -= c.weight; at < 0 {
			return c, target
		}
	}
	return p.callTypes[0], target
}

// timerPrecision is the precision of the runtime's timers. Shorter
// waits use nanosleep, which is precise to about 50 microseconds.
const timerPrecision = 2 * time.Millisecond

func sleepUntil(ctx context.Context, at time.Time) bool {
	for wait := time.Until(at); wait > 0; wait = time.Until(at) {
		if wait > timerPrecision {
			timer := time.NewTimer(wait - timerPrecision)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return false
			}
			continue
		}
		remaining := syscall.NsecToTimespec(int64(wait))
		syscall.Nanosleep(&remaining, nil) //nolint:errcheck // A signal only ends the sleep early.
	}
	return ctx.Err() == nil
}

func runCall(ctx context.Context, client *http.Client, target string, callType CallType, id string, started time.Time, intendedStart time.Duration) Outcome {
	o := Outcome{id: id, callType: callType, intendedStart: intendedStart, address: target}
	o.kind, o.err = send(ctx, client, target, callType, id, &o)
	o.latency = time.Since(started) - intendedStart
	return o
}

func send(ctx context.Context, client *http.Client, target string, callType CallType, id string, o *Outcome) (Kind, error) {
	body := bytes.Repeat([]byte{'x'}, callType.requestBytes)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { o.reused = info.Reused }})
	url := "http://" + target + callType.path + "?bytes=" + strconv.Itoa(callType.responseBytes)
	request, err := http.NewRequestWithContext(ctx, callType.method, url, http.NoBody)
	if err != nil {
		return Failed, errors.Wrap(err, "load")
	}
	setBody(request, body)
	request.Header.Set("X-Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return Failed, errors.Wrap(err, "load")
	}
	defer response.Body.Close()
	o.worker, o.status = response.Header.Get(emulator.HeaderWorkerID), response.StatusCode
	received, err := io.ReadAll(response.Body)
	if err != nil {
		return Broken, errors.Wrap(err, "load")
	}
	return classify(response, callType, id, body, received), nil
}

// setBody sets a body such that net/http does not send the request again by itself
// when its connection ends without a response. It does so with an idempotent request
// whose body is http.NoBody or can be read again. An empty body of any other type is
// not sent for these methods; for the others it would be sent in chunks.
func setBody(request *http.Request, body []byte) {
	idempotent := request.Method == http.MethodGet || request.Method == http.MethodHead
	if len(body) == 0 && !idempotent {
		return
	}
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
}

// classify compares a response with the one that the worker emulator sends for
// the request ID and body.
func classify(response *http.Response, callType CallType, id string, body, received []byte) Kind {
	switch outcome := response.Header.Get("Burdocklane-Outcome"); {
	case outcome != "":
		return Kind(outcome)
	case response.StatusCode == http.StatusServiceUnavailable:
		return NotRun
	case response.StatusCode != http.StatusOK:
		return Failed
	}
	want, err := io.ReadAll(emulator.ResponseBody(id, callType.responseBytes))
	sum := fmt.Sprintf("%08x", crc32.ChecksumIEEE(body))
	if err != nil || !bytes.Equal(received, want) || response.Header.Get(emulator.HeaderBodyChecksum) != sum {
		return Wrong
	}
	return Good
}
