package main

import (
	"net/http"
	"strings"
)

const requestsEach = 5 // To each instance, of each kind.

// Services and routes are like those of pedalia-andes-grown: parcels are looked up with a
// key, and their public status without one.
const parcels = `{"Version":"r7","Routes":{` +
	`"parcels":{"Host":"pedalia.example","Prefix":"/parcels/","Kind":"safe","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"MaxAttempts":2,"Service":"entregas"},` +
	`"open":{"Host":"pedalia.example","Prefix":"/parcels/open/","Kind":"safe","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"MaxAttempts":2,"Service":"rastreo","Public":true}},` +
	`"Services":{"entregas":{"HealthPath":"/health"},"rastreo":{"HealthPath":"/health"}},` +
	`"Tenants":{"shop":{"ApiKeys":["key-of-shop"]}},` + limitsOfSite + `}`

const limitsOfSite = `"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}`

// playPathRoute sends requests whose path begins with the prefix of one route, and would
// begin with that of a longer one if %2F were a slash.
func playPathRoute(p *play) {
	p.configure(parcels)
	p.addWorker("i-e1", "entregas")
	p.addWorker("i-e2", "entregas")
	p.addWorker("i-r1", "rastreo")
	p.addWorker("i-r2", "rastreo")
	p.startInstances()
	target := "/parcels/open%2F4711"
	if !p.trouble {
		target = "/parcels/open-4711"
	}
	for _, i := range p.instances {
		for range requestsEach {
			r := request{method: "GET", target: target, host: "pedalia.example", id: p.nextID(), header: "Authorization: Bearer key-of-shop\r\n"}
			p.send(i, r)
			p.checkRoute(r, true)
			r.id, r.header = p.nextID(), ""
			if a := p.send(i, r); a.status != http.StatusUnauthorized {
				p.logf("  a request without a key got %d, not 401", a.status)
			}
			p.checkRoute(r, false)
		}
	}
}

// checkRoute checks who ran a request to the route "parcels": its path begins with no other
// prefix.
func (p *play) checkRoute(r request, hasKey bool) {
	if strings.HasPrefix(r.target, "/parcels/open/") {
		panic(unable("the path begins with the longer prefix"))
	}
	for _, run := range p.runsOf(r.id) {
		switch {
		case run.service != "entregas":
			p.breaks("ROUTE: %s %s was run by %s; the longest prefix that begins the path is that of entregas", r.method, r.target, run.service)
		case !hasKey:
			p.breaks("ROUTE: %s %s was run without a key", r.method, r.target)
		}
	}
}

const registry = `{"Version":"r7","Routes":{` +
	`"lookup":{"Host":"registry.example","Prefix":"/designs/","Kind":"safe","TimeoutMs":1200,"TargetLatencyMs":250,"Priority":2,"MaxAttempts":2,"Service":"design-registry"},` +
	`"reserve":{"Host":"registry.example","Prefix":"/batches/","Kind":"unsafe","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":1,"MaxAttempts":2,"Service":"batch-ledger"}},` +
	`"Services":{"design-registry":{"HealthPath":"/health"},"batch-ledger":{"HealthPath":"/health"}},` + limitsOfSite + `}`

func (p *play) startRegistry() {
	p.configure(registry)
	p.addWorker("i-d1", "design-registry")
	p.addWorker("i-d2", "design-registry")
	p.addWorker("i-b1", "batch-ledger")
	p.addWorker("i-b2", "batch-ledger")
	p.startInstances()
}

// playPathText sends paths with bytes that consumers send as they are.
func playPathText(p *play) {
	p.startRegistry()
	names := []string{"kanga|kitenge", "kanga^2", "{kanga}", "kanga-\xc3\xa9toile"}
	if !p.trouble {
		names = []string{"kanga-kitenge", "kanga(2)", "[kanga]", "kanga-%C3%A9toile"}
	}
	for _, i := range p.instances {
		for _, name := range names {
			for _, r := range []request{{method: "GET", target: "/designs/" + name}, {method: "POST", target: "/batches/" + name, body: "{}"}} {
				r.host, r.id = "registry.example", p.nextID()
				p.send(i, r)
				for _, run := range p.runsOf(r.id) {
					if run.target() != r.target {
						p.breaks("UNASKED: %s %s was sent, and %s was run", r.method, r.target, run.target())
					}
				}
			}
		}
	}
}

// playLongID sends requests whose IDs have more than 128 bytes.
func playLongID(p *play) {
	p.startRegistry()
	sent := map[string]bool{}
	prefix := "kariakoo-counter-7."
	if p.trouble {
		prefix = strings.Repeat(prefix, 8)
	}
	for _, i := range p.instances {
		for range requestsEach {
			for _, r := range []request{{method: "GET", target: "/designs/kanga"}, {method: "POST", target: "/batches/7", body: "{}"}} {
				r.host, r.id = "registry.example", prefix+p.nextID()
				sent[r.id] = true
				p.send(i, r)
			}
		}
	}
	for _, w := range p.workers {
		for _, run := range w.allRuns() {
			if !sent[run.id] {
				p.breaks("UNASKED: %s ran %q with the id %q, which no consumer has sent", w.id, run.line, run.id)
			}
		}
	}
}
