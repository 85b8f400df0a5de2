package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The figures are those of batch-reserve in the small deployment twla-gateway, with long
// answers.
const (
	stallHost     = "hulo84.example"
	stallPrefix   = "/xapu221/ny95/"
	stallService  = "wuno96b"
	stallTimeout  = 800 * time.Millisecond
	stallDeadline = 1500 * time.Millisecond
	stallSlack    = 500 * time.Millisecond
	stallWork     = 120 * time.Millisecond
	stallParts    = 24
	stallPart     = 16 << 10
	stallWorkers  = 12
	stallPerS     = 71.4
	// stallBurst is the factor of a burst, which lasts from burstLead before a crash until
	// burstTail after it.
	stallBurst = 1.7
	burstLead  = 3 * time.Second
	burstTail  = 2 * time.Second
	// crashes is how often two of the workers crash.
	stallCrashes  = 9
	crashInterval = 9 * time.Second
	firstCrash    = 6 * time.Second
)

// sendLongAnswer sends a long answer as the work goes on.
func sendLongAnswer(w *worker, out http.ResponseWriter, _ *http.Request) {
	w.sign(out)
	out.Header().Set("Content-Length", strconv.Itoa(stallParts*stallPart))
	part := make([]byte, stallPart)
	for range stallParts {
		time.Sleep(stallWork / stallParts)
		if _, err := out.Write(part); err != nil {
			return
		}
	}
}

// playStall lets workers crash without a word, also amid the answers that they are sending,
// and counts the requests that have no final answer half a second after their route's
// TimeoutMs.
func playStall(p *play) (bool, error) {
	for range stallWorkers {
		if err := p.startWorker(stallService, sendLongAnswer); err != nil {
			return false, err
		}
	}
	err := p.configure(7, map[string]route{
		"r-exd9dnn": {Host: stallHost, Prefix: stallPrefix, Kind: "unsafe", TimeoutMs: int(stallTimeout.Milliseconds()), TargetLatencyMs: 300, Priority: 1, Service: stallService, MaxAttempts: 2},
	})
	if err != nil {
		return false, err
	}
	if err := p.startInstances(3); err != nil {
		return false, err
	}
	var served, long, open atomic.Int64
	var group sync.WaitGroup
	started := time.Now()
	crashed := 0
	for n := 0; time.Since(started) < firstCrash+(stallCrashes-1)*crashInterval+burstTail; n++ {
		if due := firstCrash + time.Duration(crashed)*crashInterval; p.trouble && time.Since(started) >= due && crashed < stallCrashes {
			if err := p.crashTwo(crashed); err != nil {
				return false, err
			}
			crashed++
		}
		a := attempt{method: http.MethodPost, target: fmt.Sprintf("%s%x", stallPrefix, n), host: stallHost, id: newID(), deadline: stallDeadline, body: make([]byte, 1200)}
		group.Go(func() {
			got := p.send(p.instances[n%len(p.instances)].front, a)
			if got.complete && got.status == http.StatusOK {
				served.Add(1)
			}
			if got.took > stallTimeout {
				long.Add(1)
			}
			if got.took > stallTimeout+stallSlack {
				open.Add(1)
			}
		})
		time.Sleep(pauseAt(time.Since(started)))
	}
	group.Wait()
	p.record.line("served %d; unanswered at the route's TimeoutMs: %d, of these without a final answer half a second later: %d", served.Load(), long.Load(), open.Load())
	if served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return open.Load() >= 8 && open.Load()*4 > long.Load(), nil
}

// crashTwo makes two of the twelve workers fall silent for good, and starts two others.
func (p *play) crashTwo(before int) error {
	for n := range 2 {
		p.workers[2*before+n].crash()
	}
	for range 2 {
		if err := p.startWorker(stallService, sendLongAnswer); err != nil {
			return err
		}
	}
	return nil
}

// pauseAt returns the time between two requests at a time since the start.
func pauseAt(at time.Duration) time.Duration {
	rate := stallPerS
	sinceCrash := (at - firstCrash + burstLead) % crashInterval
	if at >= firstCrash-burstLead && sinceCrash < burstLead+burstTail {
		rate *= stallBurst
	}
	return time.Duration(float64(time.Second) / rate)
}
