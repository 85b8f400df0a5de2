package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	unaskedHost     = "jepu9.example"
	unaskedPrefix   = "/lepu270/"
	unaskedService  = "huvo11a"
	unaskedRequests = 40
)

// startUnasked starts three instances, the workers of one service and a route to it.
func (p *play) startUnasked() error {
	for range 6 {
		if err := p.startWorker(unaskedService, answerAfter(20*time.Millisecond)); err != nil {
			return err
		}
	}
	routes := map[string]route{"r-2b9wu3f": {Host: unaskedHost, Prefix: unaskedPrefix, Kind: "safe", TimeoutMs: 1200, TargetLatencyMs: 250, Priority: 2, Service: unaskedService, MaxAttempts: 2}}
	if err := p.configure(7, routes); err != nil {
		return err
	}
	return p.startInstances(3)
}

// playUnasked sends the requests, and compares what the workers ran with what was sent. It
// reports whether a worker ran an id that no consumer sent, or another target.
func (p *play) playUnasked(next func(n int) attempt) (bool, error) {
	if err := p.startUnasked(); err != nil {
		return false, err
	}
	sent := map[string]attempt{}
	served := 0
	for n := range unaskedRequests {
		a := next(n)
		sent[a.id] = a
		if got := p.send(p.instances[n%len(p.instances)].front, a); got.status == http.StatusOK {
			served++
		}
	}
	unknown, changed := 0, 0
	for _, run := range p.allRuns() {
		a, ok := sent[run.id]
		switch {
		case !ok:
			unknown++
		case run.target != a.target || run.method != a.method:
			changed++
			p.record.detail("sent %q, and %s ran %q", a.target, run.worker, run.target)
		}
	}
	p.record.line("sent %d, served %d; workers ran %d requests: %d with an id that no consumer sent, %d with another path",
		len(sent), served, len(p.allRuns()), unknown, changed)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return unknown+changed > 0, nil
}

// playID sends requests whose ids are longer than usual: ids of traces that name each step.
func playID(p *play) (bool, error) {
	return p.playUnasked(func(n int) attempt {
		id := newID()
		if p.trouble && n%4 == 3 {
			id += strings.Repeat("."+newID(), 8)
		}
		return attempt{method: http.MethodGet, target: fmt.Sprintf("%s%x", unaskedPrefix, n), host: unaskedHost, id: id, deadline: 1200 * time.Millisecond}
	})
}

// playPath sends requests whose paths hold a character that browsers send as it is.
func playPath(p *play) (bool, error) {
	return p.playUnasked(func(n int) attempt {
		name := fmt.Sprintf("loom%d", n)
		if p.trouble && n%4 == 3 {
			name = fmt.Sprintf("loom|%d", n)
		}
		return attempt{method: http.MethodGet, target: unaskedPrefix + name, host: unaskedHost, id: newID(), deadline: 1200 * time.Millisecond}
	})
}
