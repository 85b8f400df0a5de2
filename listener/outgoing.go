package listener

import (
	"net/http"
	"time"

	"burdocklane/classifier"
	"burdocklane/registrar"
)

// workerRequest returns the request to send to the worker. It has no GetBody on
// purpose, so that no HTTP client can replay the request by itself.
func (x *exchange) workerRequest(call *classifier.Call, worker registrar.Worker) *http.Request {
	inbound := x.request
	target := *inbound.URL
	target.Scheme, target.Host = "http", worker.Address()
	header := inbound.Header.Clone()
	removeHopByHop(header)
	header.Del("Expect")
	header.Set(HeaderRequestID, x.id)
	x.handler.dialect.setTimeout(header, time.Until(call.Deadline()))
	x.handler.dialect.setTarget(header, worker)
	body := x.body.open()
	if call.HidesCredential() {
		x.handler.dialect.setTenant(header, call.Tenant())
		body = x.handler.dialect.hideTrailers(body, x.body.trailer)
	}
	if !x.handler.dialect.omitOwnHeaders {
		addForwardedFor(header, inbound)
	}
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "") // Keeps net/http from adding its default.
	}
	return &http.Request{
		Method:        inbound.Method,
		URL:           &target,
		Host:          inbound.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          body,
		ContentLength: x.body.length,
		Trailer:       x.body.trailer,
	}
}

func addForwardedFor(h http.Header, inbound *http.Request) {
	peer := callerAddress(&http.Request{RemoteAddr: inbound.RemoteAddr, Header: http.Header{}})
	if existing := h.Get(HeaderForwardedFor); existing != "" {
		peer = existing + ", " + peer
	}
	h.Set(HeaderForwardedFor, peer)
}
