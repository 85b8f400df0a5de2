package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slashHost     = "hulo84.example"
	slashUnsafe   = "/certs/"
	slashSafe     = "/certs/lookup/"
	slashService  = "tidi97c"
	slashRequests = 240
	// lostShare and lostRuns are the share of the workers that lose answers, and of their
	// runs: answer_lost of the small deployments.
	lostShare = 0.6
	lostRuns  = 0.3
)

// playSlash sends unsafe requests whose last part holds an encoded slash, while workers lose
// answers of requests that they have run.
func playSlash(p *play) (bool, error) {
	const workers = 12
	var losing atomic.Bool
	for n := range workers {
		loses := float64(n) < lostShare*workers
		err := p.startWorker(slashService, func(w *worker, out http.ResponseWriter, r *http.Request) {
			time.Sleep(64 * time.Millisecond)
			if losing.Load() && loses && rand.Float64() < lostRuns {
				p.record.detail("worker %s loses the answer to %s", w.id, r.Header.Get("X-Request-Id"))
				panic(http.ErrAbortHandler)
			}
			w.sign(out)
			io.WriteString(out, w.id) //nolint:errcheck // The caller may have left.
		})
		if err != nil {
			return false, err
		}
	}
	err := p.configure(7, map[string]route{
		"r-certify": {Host: slashHost, Prefix: slashUnsafe, Kind: "unsafe", TimeoutMs: 1000, TargetLatencyMs: 200, Priority: 0, Service: slashService, MaxAttempts: 2},
		"r-lookup":  {Host: slashHost, Prefix: slashSafe, Kind: "safe", TimeoutMs: 1200, TargetLatencyMs: 250, Priority: 2, Service: slashService, MaxAttempts: 2},
	})
	if err != nil {
		return false, err
	}
	if err := p.startInstances(3); err != nil {
		return false, err
	}
	sent := map[string]string{}
	var group sync.WaitGroup
	served := atomic.Int64{}
	for n := range slashRequests {
		losing.Store(p.trouble && n >= 40 && n < 200)
		a := attempt{method: http.MethodPut, target: fmt.Sprintf("%slookup%%2F%d", slashUnsafe, n), host: slashHost, id: newID(), deadline: time.Second, body: []byte("certificate")}
		sent[a.id] = a.target
		group.Go(func() {
			if got := p.send(p.instances[n%len(p.instances)].front, a); got.status == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(35 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	runs := map[string]int{}
	for _, r := range p.allRuns() {
		runs[r.id]++
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			p.record.detail("%s (%s) ran %d times", id, sent[id], n)
		}
	}
	p.record.line("sent %d unsafe requests, served %d, ran more than once: %d", len(sent), served.Load(), twice)
	if served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return twice > 0, nil
}
