package main

// playOptions sends a request for the options of the server as a whole (RFC 9110, section
// 9.3.7), whose path no prefix begins.
func playOptions(p *play) {
	p.startRegistry()
	target := "*"
	if !p.trouble {
		target = "/designs/kanga"
	}
	for _, i := range p.instances {
		for range requestsEach {
			r := request{method: "OPTIONS", target: target, host: "registry.example", id: p.nextID()}
			if a := p.send(i, r); a.status/100 == 2 && a.signature == "" {
				p.breaks("MIXED: status %d without X-Response-Signature; %d workers ran the request", a.status, len(p.runsOf(r.id)))
			}
		}
	}
}
