package main

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the settings that the cases judge by.
const drainTime = 2 * time.Second // DrainMs

// load sends requests at an even rate until the end, and returns their answers.
func load(i *instance, method, path, prefix string, perSecond int, length, deadline time.Duration, r *record) []answer {
	var mutex sync.Mutex
	var answers []answer
	var running sync.WaitGroup
	began := time.Now()
	for n := 0; ; n++ {
		at := began.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		if at.Sub(began) >= length {
			break
		}
		time.Sleep(time.Until(at))
		running.Go(func() {
			a := ask(i.front, method, path, fmt.Sprintf("%s-%05d", prefix, n), "batch", deadline, r)
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, a)
		})
	}
	running.Wait()
	return answers
}

// machines are the instances of a small deployment, by name and zone.
var machines = []struct{ name, zone string }{
	{"edge-pwani-kurasini-1", "pwani-kurasini"},
	{"edge-pwani-kurasini-2", "pwani-kurasini"},
	{"edge-pwani-mikocheni-1", "pwani-mikocheni"},
}

// caseLeaving: the store is down while three of seven workers are replaced, one after the
// other. They never report draining; each says in all its answers that it leaves.
func caseLeaving(dir string, r *record, trouble bool) bool {
	const (
		workTime    = 120 * time.Millisecond
		workers     = 7
		replaced    = 3 // A share of 0.43: a release of at most 0.45.
		downAfter   = 3 * time.Second
		downFor     = 4500 * time.Millisecond
		firstLeaves = 3300 * time.Millisecond
		gap         = time.Second // As in the site's release.
		servesOn    = drainTime + 700*time.Millisecond
		length      = 11 * time.Second
		perSecond   = 60 // At each machine.
	)
	s := newStore()
	s.put("op/config", configuration("r7", 800, 300))
	join := func(n int) *worker {
		w := startWorker(fmt.Sprintf("i-7f3a91c%x", n), "wuno96b", 6, workTime, 1200, r)
		s.put("servers/"+w.id, w.entry("ready"))
		return w
	}
	var leavers []*worker
	for n := range workers {
		if w := join(n); n < replaced {
			leavers = append(leavers, w)
		}
	}
	var gates []*gate
	var instances []*instance
	for _, m := range machines {
		g := s.newGate()
		gates = append(gates, g)
		instances = append(instances, startInstance(dir, m.name, m.zone, g))
	}
	time.Sleep(time.Second) // The machines find each other.
	for n, w := range leavers {
		leaves := firstLeaves + time.Duration(n)*gap
		time.AfterFunc(leaves-gap/4, func() { join(workers + n) }) // The new one starts first.
		time.AfterFunc(leaves, func() {
			w.leaving.Store(true)
			s.remove("servers/" + w.id)
			r.say("%s leaves: its entry is removed, and its answers say Server-Leaving", w.id)
		})
		time.AfterFunc(leaves+servesOn, func() {
			r.say("%s exits", w.id)
			w.exit()
		})
	}
	if trouble {
		time.AfterFunc(downAfter, func() {
			r.say("the store is down (silent) for %v", downFor)
			for _, g := range gates {
				g.setCut(true)
			}
		})
		time.AfterFunc(downAfter+downFor, func() {
			for _, g := range gates {
				g.setCut(false)
			}
			r.say("the store is back")
		})
	}
	answers := make([][]answer, len(instances))
	var loads sync.WaitGroup
	for n, i := range instances {
		loads.Go(func() {
			answers[n] = load(i, "POST", "/xapu221/ny95/2f", fmt.Sprintf("reserve-%d", n+1), perSecond, length, 1500*time.Millisecond, r)
		})
	}
	loads.Wait()
	all, served, refused, late, lost := 0, 0, 0, 0, 0
	for n, m := range machines {
		for _, w := range leavers {
			moreLate, moreLost := judgeLeaving(answers[n], m.name, w, r)
			late, lost = late+moreLate, lost+moreLost
		}
		for _, a := range answers[n] {
			all++
			switch {
			case a.status == 200 && a.whole:
				served++
			case a.status == 503:
				refused++
			}
		}
	}
	r.say("%d requests, %d served, %d refused with 503", all, served, refused)
	r.say("DRAIN: %d requests reached a worker from a machine though they were sent later than DrainMs (%v) after that machine had passed on an answer with the worker's Server-Leaving; %d of them were lost", late, drainTime, lost)
	return late == 0
}

// judgeLeaving counts the requests that reached the worker from the machine although they were
// sent later than DrainMs after the machine had passed on an answer with the worker's
// Server-Leaving, and those of them that ended without the worker's whole answer.
func judgeLeaving(answers []answer, machine string, leaver *worker, r *record) (late, lost int) {
	runs := leaver.runsByID()
	var passedOn time.Time
	for _, a := range answers {
		_, reached := runs[a.id]
		said := reached && a.header != nil && a.header.Get("Server-Leaving") != ""
		if said && (passedOn.IsZero() || a.endedAt.Before(passedOn)) {
			passedOn = a.endedAt
		}
	}
	if passedOn.IsZero() {
		r.line("%s passed on no answer of %s with Server-Leaving", machine, leaver.id)
		return 0, 0
	}
	r.line("%s passed on the first answer of %s with Server-Leaving at %.3f s", machine, leaver.id, passedOn.Sub(r.began).Seconds())
	for _, a := range answers {
		if _, reached := runs[a.id]; !reached || !a.sentAt.After(passedOn.Add(drainTime)) {
			continue
		}
		late++
		r.line("too late: %s was sent %d ms after that and was run by %s; status %d, whole %t", a.id, a.sentAt.Sub(passedOn).Milliseconds(), leaver.id, a.status, a.whole)
		if a.status != 200 || !a.whole {
			lost++
		}
	}
	return late, lost
}
