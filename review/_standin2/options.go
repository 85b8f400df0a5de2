package main

import (
	"fmt"
	"net/http"
	"time"
)

// playOptions sends requests that no route matches, and counts the successes that they get
// without the signature of a worker.
func playOptions(p *play) (bool, error) {
	if err := p.startUnasked(); err != nil {
		return false, err
	}
	served, unsigned, unmatched := 0, 0, 0
	for n := range unaskedRequests {
		a := attempt{method: http.MethodGet, target: fmt.Sprintf("%s%x", unaskedPrefix, n), host: unaskedHost, id: newID(), deadline: 1200 * time.Millisecond}
		switch {
		case n%4 == 3 && p.trouble:
			a.method, a.target = http.MethodOptions, "*"
		case n%4 == 3:
			a.target = fmt.Sprintf("/none%x/", n)
		}
		got := p.send(p.instances[n%len(p.instances)].front, a)
		switch success := got.status >= http.StatusOK && got.status < http.StatusMultipleChoices; {
		case success && got.signature != "":
			served++
		case success:
			unsigned++
		case got.status == http.StatusNotFound:
			unmatched++
		}
	}
	p.record.line("served %d, 404 %d, successes without a signature %d; workers ran %d requests", served, unmatched, unsigned, len(p.allRuns()))
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return unsigned > 0, nil
}
