package listener

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"burdocklane/parser"
	"burdocklane/registrar"
)

// Dialect describes the headers that the callers and workers of a deployment
// use. The zero value stands for burdocklane's own headers.
type Dialect struct {
	timeoutFormat   TimeoutFormat
	targetHeader    string
	signatureHeader string
	loadHeader      string
	notRunHeader    string
	leavingHeader   string
	tenantHeader    string
	omitOwnHeaders  bool
	bufferChunks    bool
}

// TimeoutFormat is the header format of a request's timeout: GRPCTimeout or
// Milliseconds.
type TimeoutFormat interface{ timeoutFormat() }

// GRPCTimeout is the format of the "Grpc-Timeout" header in gRPC over HTTP/2.
type GRPCTimeout struct{}

// Milliseconds is a whole number of milliseconds in the named header.
type Milliseconds struct{ header string }

// NewMilliseconds returns the format for the named header.
func NewMilliseconds(header string) Milliseconds { return Milliseconds{header: header} }

func (GRPCTimeout) timeoutFormat()  {}
func (Milliseconds) timeoutFormat() {}

// DialectOption sets one property of a Dialect.
type DialectOption func(*Dialect)

// WithTimeoutFormat sets the header format of timeouts.
func WithTimeoutFormat(f TimeoutFormat) DialectOption {
	return func(d *Dialect) { d.timeoutFormat = f }
}

// WithTargetHeader names the header that carries the ID of the worker a request
// is meant for. A different worker at that address responds with 421
// (Misdirected Request) and does not run the request.
func WithTargetHeader(name string) DialectOption { return func(d *Dialect) { d.targetHeader = name } }

// WithSignatureHeader names the header that every successful worker response
// must have. A response without it is discarded and the attempt counts as lost.
func WithSignatureHeader(name string) DialectOption {
	return func(d *Dialect) { d.signatureHeader = name }
}

// WithLoadHeader names the response header in which workers report their load.
func WithLoadHeader(name string) DialectOption { return func(d *Dialect) { d.loadHeader = name } }

// WithNotRunHeader names the response header by which a worker guarantees that
// it has not run the request.
func WithNotRunHeader(name string) DialectOption { return func(d *Dialect) { d.notRunHeader = name } }

// WithLeavingHeader names the response header by which a worker announces that it is
// about to stop. It is passed on to the caller; the default one is not.
func WithLeavingHeader(name string) DialectOption { return func(d *Dialect) { d.leavingHeader = name } }

// WithTenantHeader names the request header in which workers get the name of the tenant.
func WithTenantHeader(name string) DialectOption {
	return func(d *Dialect) { d.tenantHeader = http.CanonicalHeaderKey(name) }
}

// WithBufferedChunks buffers short chunked request bodies, so that they can be
// sent again.
func WithBufferedChunks() DialectOption { return func(d *Dialect) { d.bufferChunks = true } }

// WithoutBurdocklaneHeaders omits the Burdocklane-Outcome and X-Forwarded-For headers,
// and writes Retry-After with fractions of a second.
func WithoutBurdocklaneHeaders() DialectOption { return func(d *Dialect) { d.omitOwnHeaders = true } }

// NewDialect returns a Dialect that uses GRPCTimeout unless an option sets
// another format.
func NewDialect(opts ...DialectOption) Dialect {
	d := Dialect{timeoutFormat: GRPCTimeout{}, leavingHeader: HeaderDrain, tenantHeader: HeaderTenant}
	for _, opt := range opts {
		opt(&d)
	}
	return d
}

// callerTimeout returns the timeout that the caller set, or 0 if there is none.
func (d Dialect) callerTimeout(h http.Header) time.Duration {
	switch f := d.timeoutFormat.(type) {
	case Milliseconds:
		ms, err := strconv.ParseInt(strings.TrimSpace(h.Get(f.header)), 10, 32)
		if err != nil || ms < 0 {
			return 0
		}
		return max(time.Duration(ms)*time.Millisecond, time.Nanosecond)
	default:
		return parseTimeout(h.Get(HeaderTimeout))
	}
}

// setTimeout sets the timeout of a request to a worker.
func (d Dialect) setTimeout(h http.Header, remaining time.Duration) {
	switch f := d.timeoutFormat.(type) {
	case Milliseconds:
		h.Set(f.header, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	default:
		h.Set(HeaderTimeout, formatTimeout(remaining))
	}
}

// setTarget names the worker that the request is meant for.
func (d Dialect) setTarget(h http.Header, worker registrar.Worker) {
	if d.targetHeader != "" {
		h.Set(d.targetHeader, string(worker.ID()))
	}
}

// isDeclined reports whether the response guarantees that the request was not
// run.
func (d Dialect) isDeclined(response *http.Response) bool {
	if d.isMisdirected(response) {
		return true
	}
	return d.notRunHeader != "" && response.Header.Get(d.notRunHeader) != ""
}

// isAmbiguous reports whether the status would tell the caller that the request
// was not run, although the worker has not set the not-run header.
func (d Dialect) isAmbiguous(response *http.Response) bool {
	if d.notRunHeader == "" || d.isDeclined(response) {
		return false
	}
	switch response.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isMisdirected reports whether a different worker now uses the address.
func (d Dialect) isMisdirected(response *http.Response) bool {
	return d.targetHeader != "" && response.StatusCode == http.StatusMisdirectedRequest
}

// announcesLeaving reports whether the response says that its worker is about to stop. One
// from another worker at the address says nothing about the worker that was meant.
func (d Dialect) announcesLeaving(response *http.Response) bool {
	return !d.isMisdirected(response) && parser.ParseLeaving(response.Header.Get(d.leavingHeader))
}

// isUnsigned reports whether a successful response lacks the signature header.
func (d Dialect) isUnsigned(response *http.Response) bool {
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	return d.signatureHeader != "" && success && response.Header.Get(d.signatureHeader) == ""
}

// setRetryAfter sets Retry-After. The standard form (RFC 9110, section 10.2.3)
// is whole seconds, which are rounded up; fractions are written only if
// burdocklane's own headers are omitted.
func (d Dialect) setRetryAfter(h http.Header, delay time.Duration) {
	if delay <= 0 {
		return
	}
	if d.omitOwnHeaders {
		h.Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
		return
	}
	h.Set("Retry-After", strconv.FormatInt(int64((delay+time.Second-1)/time.Second), 10))
}
