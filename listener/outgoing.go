package listener

import (
	"net/http"
	"time"

	"burdocklane/classifier"
	"burdocklane/registrar"
)

// outgoing is the request to the worker. It has no GetBody, on purpose.
func (x *exchange) outgoing(call *classifier.Call, worker registrar.Worker) *http.Request {
	in := x.request
	target := *in.URL
	target.Scheme, target.Host = "http", worker.Address()
	header := in.Header.Clone()
	removeHopByHop(header)
	header.Del("Expect")
	header.Set(HeaderRequestID, x.id)
	x.handler.dialect.setTimeLeft(header, time.Until(call.Deadline()))
	x.handler.dialect.address(header, worker)
	if !x.handler.dialect.withoutOwn {
		addForwardedFor(header, in)
	}
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "") // Keeps net/http from adding its own.
	}
	return &http.Request{
		Method:        in.Method,
		URL:           &target,
		Host:          in.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          x.body.open(),
		ContentLength: x.body.length,
		Trailer:       x.body.trailer,
	}
}

func addForwardedFor(h http.Header, in *http.Request) {
	peer := callerOf(&http.Request{RemoteAddr: in.RemoteAddr, Header: http.Header{}})
	if earlier := h.Get(HeaderForwardedFor); earlier != "" {
		peer = earlier + ", " + peer
	}
	h.Set(HeaderForwardedFor, peer)
}
