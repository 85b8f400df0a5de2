package loader

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"burdocklane/emulator"

	"github.com/go-faster/errors"
)

const (
	idlePerTarget = 256
	callTimeout   = 30 * time.Second
)

// NewClient returns a client for load.
func NewClient() *http.Client {
	return &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: idlePerTarget,
			DisableCompression:  true,
		},
	}
}

// Run sends the load of the plan and waits for all answers.
func Run(ctx context.Context, client *http.Client, plan Plan) *Summary {
	rng := rand.New(rand.NewPCG(plan.seed, plan.seed))
	summary := NewSummary()
	outcomes := make(chan Outcome, idlePerTarget)
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
		at += plan.gap(rng, at)
		if at >= plan.duration || !sleepUntil(ctx, started.Add(at)) {
			break
		}
		shot, target := plan.draw(rng)
		id := fmt.Sprintf("%s-%d-%d", plan.prefix, plan.seed, n)
		intended := at
		calls.Go(func() { outcomes <- fire(ctx, client, target, shot, id, started, intended) })
	}
	calls.Wait()
	close(outcomes)
	collected.Wait()
	summary.elapsed = max(time.Since(started), plan.duration)
	return summary
}

// gap draws the time to the next call of a Poisson process.
func (p Plan) gap(rng *rand.Rand, at time.Duration) time.Duration {
	rate := p.rate
	if p.burst.factor > 0 && at >= p.burst.at && at < p.burst.at+p.burst.length {
		rate *= p.burst.factor
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func (p Plan) draw(rng *rand.Rand) (Shot, string) {
	total := 0
	for _, s := range p.shots {
		total += s.weight
	}
	at := rng.IntN(total)
	targets := p.targets()
	target := targets[rng.IntN(len(targets))]
	for _, s := range p.shots {
		if at -= s.weight; at < 0 {
			return s, target
		}
	}
	return p.shots[0], target
}

// coarse is the precision of the runtime's timers; what is shorter is slept by
// the system, which is precise to some 50 microseconds.
const coarse = 2 * time.Millisecond

func sleepUntil(ctx context.Context, at time.Time) bool {
	for wait := time.Until(at); wait > 0; wait = time.Until(at) {
		if wait > coarse {
			timer := time.NewTimer(wait - coarse)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return false
			}
			continue
		}
		nap := syscall.NsecToTimespec(int64(wait))
		syscall.Nanosleep(&nap, nil) //nolint:errcheck // A signal only ends the nap early.
	}
	return ctx.Err() == nil
}

func fire(ctx context.Context, client *http.Client, target string, shot Shot, id string, started time.Time, intended time.Duration) Outcome {
	o := Outcome{id: id, shot: shot, start: intended, entry: target}
	o.kind, o.err = send(ctx, client, target, shot, id, &o)
	o.latency = time.Since(started) - intended
	return o
}

func send(ctx context.Context, client *http.Client, target string, shot Shot, id string, o *Outcome) (Kind, error) {
	body := bytes.Repeat([]byte{'x'}, shot.body)
	url := "http://" + target + shot.path + "?bytes=" + strconv.Itoa(shot.answer)
	request, err := http.NewRequestWithContext(ctx, shot.method, url, bytes.NewReader(body))
	if err != nil {
		return Failed, errors.Wrap(err, "load")
	}
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return Failed, errors.Wrap(err, "load")
	}
	defer response.Body.Close()
	o.worker, o.status = response.Header.Get(emulator.HeaderWorker), response.StatusCode
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return Broken, errors.Wrap(err, "load")
	}
	return judge(response, shot, id, body, got), nil
}

// judge compares an answer with what the stand-in worker gives to the ID.
func judge(response *http.Response, shot Shot, id string, body, got []byte) Kind {
	switch outcome := response.Header.Get("Burdocklane-Outcome"); {
	case outcome != "":
		return Kind(outcome)
	case response.StatusCode == http.StatusServiceUnavailable:
		return NotRun
	case response.StatusCode != http.StatusOK:
		return Failed
	}
	want, err := io.ReadAll(emulator.AnswerBody(id, shot.answer))
	sum := fmt.Sprintf("%08x", crc32.ChecksumIEEE(body))
	if err != nil || !bytes.Equal(got, want) || response.Header.Get(emulator.HeaderSum) != sum {
		return Wrong
	}
	return Good
}
