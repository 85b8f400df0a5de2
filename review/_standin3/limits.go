package main

import (
	"net/http"
	"strings"
	"time"
)

// limitsOfSite are the Limits of a configuration.
const limitsOfSite = `"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}`

// registry is a configuration like that of twla-gateway.
const registry = `{"Version":"r7","Routes":{` +
	`"lookup":{"Host":"registry.example","Prefix":"/designs/","Kind":"safe","TimeoutMs":1200,"TargetLatencyMs":250,"Priority":2,"MaxAttempts":2,"Service":"design-registry"},` +
	`"reserve":{"Host":"registry.example","Prefix":"/batches/","Kind":"unsafe","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":1,"MaxAttempts":2,"Service":"batch-ledger"}},` +
	`"Services":{"design-registry":{"HealthPath":"/health"},"batch-ledger":{"HealthPath":"/health"}},` + limitsOfSite + `}`

const (
	requestsEach = 5 // To each instance.
	shortBody    = 30_000
	longBody     = 100_000
)

// playLimits raises the largest body that a consumer may send, and sends bodies between the
// former limit and the new one.
func playLimits(p *play) {
	old := strings.Replace(registry, `"MaxBodyBytes":67108864`, `"MaxBodyBytes":65536`, 1)
	next := strings.Replace(registry, `"Version":"r7"`, `"Version":"r9"`, 1)
	first := old
	if !p.trouble { // The processes start with the limit that the consumers use.
		first = registry
	}
	p.configure(first)
	p.addWorker("i-d1", "design-registry")
	p.addWorker("i-b1", "batch-ledger")
	p.addWorker("i-b2", "batch-ledger")
	p.startInstances(instanceCount)
	for _, i := range p.instances {
		i.stop()
		p.run(i)
		if !i.awaitReady() {
			panic(unable(i.name + " does not get ready again"))
		}
		time.Sleep(settleTime)
		p.logf("%s has been restarted", i.name)
		p.post(i, shortBody)
	}
	time.Sleep(contactTime)
	p.configure(next)
	time.Sleep(configApply + time.Second)
	sent, refused := 0, 0
	for _, i := range p.instances {
		for range requestsEach {
			sent++
			if p.post(i, longBody) == http.StatusRequestEntityTooLarge {
				refused++
			}
		}
	}
	if allowed := 5 + sent/500; refused > allowed {
		p.breaks("CONFIG, DENIED: %d of %d requests got 413, %s after the limit was raised", refused, sent, configApply+time.Second)
	}
}

func (p *play) post(i *instance, bytes int) int {
	r := request{method: "POST", target: "/batches/7", host: "registry.example", id: p.nextID(), body: strings.Repeat("b", bytes)}
	return p.send(i, r).status
}
