package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	darkService  = 18 // Workers of the service, as in the site.
	darkWorkers  = 2  // A share of 0.11 of them.
	darkRounds   = 4
	longAnswer   = 200_000
	darkTime     = 3500 * time.Millisecond // The for_s of srv_crash is 4.5 s.
	callInterval = 4 * time.Millisecond
	routeTimeout = 1200 * time.Millisecond // TimeoutMs of the route.
	lateTime     = 500 * time.Millisecond
	patience     = 9 * time.Second
	calmTime     = 2 * time.Second
)

// lookup is a request of a consumer that waits for its whole answer, or for the end of its
// connection.
type lookup struct {
	id    string
	sent  time.Time
	took  time.Duration
	final answer
}

// playDark takes the power from some workers while they send their answers.
func playDark(p *play) {
	p.configure(registry)
	for n := range darkService {
		w := p.addWorker(fmt.Sprintf("i-d%d", n+1), "design-registry")
		w.answerBytes, w.quiet = longAnswer, true
	}
	p.startInstances()
	var calls sync.WaitGroup
	var mutex sync.Mutex // Guards lookups.
	var lookups []lookup
	stop := make(chan struct{})
	calls.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(callInterval):
			}
			i, id := p.instances[n%len(p.instances)], p.nextID()
			calls.Go(func() {
				l := lookup{id: id, sent: time.Now()}
				l.final = exchange(i.front, request{method: "GET", target: "/designs/kanga", host: "registry.example", id: id}, patience)
				l.took = time.Since(l.sent)
				mutex.Lock()
				defer mutex.Unlock()
				lookups = append(lookups, l)
			})
		}
	})
	for round := range darkRounds {
		time.Sleep(calmTime)
		p.loseWorkers(p.workers[round*darkWorkers:][:darkWorkers])
	}
	time.Sleep(calmTime)
	close(stop)
	calls.Wait()
	p.checkTimeouts(lookups)
}

// loseWorkers takes the power from the workers for darkTime.
func (p *play) loseWorkers(workers []*worker) {
	if !p.trouble {
		time.Sleep(darkTime)
		return
	}
	var lost sync.WaitGroup
	for _, w := range workers {
		lost.Go(func() { w.goDark(darkTime) })
	}
	lost.Wait()
}

// checkTimeouts checks when the requests that last longer than the time of their route have
// their final answer.
func (p *play) checkTimeouts(lookups []lookup) {
	ranBy := map[string]string{}
	for _, w := range p.workers {
		for _, r := range w.allRuns() {
			ranBy[r.id] += " " + w.id
		}
	}
	longer, late := 0, 0
	statuses := map[int]int{}
	p.logf("lookups: id, when sent, status (0: cut off, no whole answer), after how long, run by")
	for _, l := range lookups {
		statuses[l.final.status]++
		p.logf("%s %.3f %d %s%s", l.id, l.sent.Sub(p.started).Seconds(), l.final.status, l.took.Round(time.Millisecond), ranBy[l.id])
		if l.took <= routeTimeout {
			continue
		}
		longer++
		if l.took > routeTimeout+lateTime {
			late++
		}
		p.logf("  %s lasts longer than TimeoutMs", l.id)
	}
	p.logf("%d requests, by status (0: no whole answer) %v; %d last longer than TimeoutMs, %d of them have no final answer 0.5 s later", len(lookups), statuses, longer, late)
	if late >= 8 && 4*late > longer {
		p.breaks("CONFIG: %d of %d requests have no final answer 0.5 s after TimeoutMs", late, longer)
	}
}
