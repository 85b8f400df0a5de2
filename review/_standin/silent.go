package main

import (
	"fmt"
	"time"
)

// caseSilent: four of twenty-nine workers crash and fall silent while they write their answers,
// which are long and are written as the work goes on.
func caseSilent(dir string, r *record, trouble bool) bool {
	const (
		workers   = 29
		crashing  = 4 // A share of 0.138; the largest dose is 0.14.
		workTime  = 300 * time.Millisecond
		body      = 100_000
		perSecond = 450
		timeout   = 800 * time.Millisecond  // TimeoutMs
		deadline  = 4000 * time.Millisecond // Of the consumers.
		slack     = 500 * time.Millisecond  // Of the rule.
		length    = 5 * time.Second
		crash     = 2500 * time.Millisecond
	)
	s := newStore()
	s.put("op/config", configuration("r7", int(timeout.Milliseconds()), 600))
	var all []*worker
	for n := range workers {
		w := startWorker(fmt.Sprintf("i-7f3a91%02x", n), "wuno96b", 6, workTime, body, r)
		s.put("servers/"+w.id, w.entry("ready"))
		all = append(all, w)
	}
	i := startInstance(dir, "edge-pwani-kurasini-1", "pwani-kurasini", s.newGate())
	if trouble {
		time.AfterFunc(crash, func() {
			for _, w := range all[:crashing] {
				r.say("%s crashes and is silent, with %d requests at work", w.id, w.running.Load())
				w.goDark()
			}
		})
	}
	answers := load(i, "POST", "/xapu221/ny95/2f", "reserve", perSecond, length, deadline, r)
	longer, unanswered, whole, ended := 0, 0, 0, 0
	for _, a := range answers {
		took := a.endedAt.Sub(a.sentAt)
		if a.status == 200 && a.whole && a.body == bodyOf(a.id, body) {
			whole++
		}
		if took > timeout {
			longer++
		}
		if took > timeout+slack {
			unanswered++
			r.line("no final answer %v after TimeoutMs: %s, status %d, %d of %d bytes after %v", slack, a.id, a.status, len(a.body), body, took.Round(time.Millisecond))
		}
		if took <= timeout+slack && a.status != 200 {
			ended++
		}
	}
	r.say("%d requests, %d served whole, %d ended otherwise in time", len(answers), whole, ended)
	r.say("CONFIG: %d lasted longer than TimeoutMs (%v), of which %d had no final answer %v after it", longer, timeout, unanswered, slack)
	return unanswered < 8 || 4*unanswered <= longer
}
