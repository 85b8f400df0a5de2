// Package listener is the HTTP front end for callers: it decodes requests into
// calls and encodes results as responses.
package listener

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"burdocklane/classifier"

	"github.com/google/uuid"
)

// Header fields that burdocklane reads or writes.
const (
	// HeaderRequestID carries the ID of a call; it is generated if missing.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout carries the remaining time, in the format of gRPC over HTTP/2.
	HeaderTimeout = "Grpc-Timeout"
	// HeaderIdempotencyKey is the field of the IETF draft "The Idempotency-Key
	// HTTP Header Field".
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome is "not-run" or "unknown" on error responses that burdocklane
	// generates, and "not-run" on a worker's response that declines the request.
	HeaderOutcome = "Burdocklane-Outcome"
	// HeaderDrain is set by a worker that is draining.
	HeaderDrain = "Burdocklane-Drain"
	// HeaderTenant carries the name of the tenant whose API key the caller has sent.
	HeaderTenant = "Burdocklane-Tenant"
	// HeaderForwardedFor lists the addresses of the caller and of the proxies.
	HeaderForwardedFor = "X-Forwarded-For"
)

const maxRequestIDBytes = 128

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes the hop-by-hop headers, and those that the Connection
// header lists.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

func newHead(r *http.Request, d Dialect) classifier.Request {
	return classifier.NewRequest(requestID(r), r.Method, r.URL.Path,
		classifier.WithCaller(callerAddress(r)),
		classifier.WithIdempotencyKey(r.Header.Get(HeaderIdempotencyKey)),
		classifier.WithHost(r.Host),
		classifier.WithTimeout(d.callerTimeout(r.Header))).
		WithCredential(readCredential(r.Header))
}

// requestID returns the caller's request ID if it is short and printable ASCII
// without spaces, or else a new UUID.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		return uuid.NewString()
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return uuid.NewString()
		}
	}
	return id
}

// callerAddress returns the first address of X-Forwarded-For, which the platform's
// load balancer sets, or else the IP address of the connection's peer.
func callerAddress(r *http.Request) string {
	if forwarded := r.Header.Get(HeaderForwardedFor); forwarded != "" {
		first, _, _ := strings.Cut(forwarded, ",")
		return textproto.TrimString(first)
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// timeoutUnits are the TimeoutUnit letters of the gRPC over HTTP/2
// specification.
var timeoutUnits = []struct {
	letter byte
	unit   time.Duration
}{
	{'H', time.Hour},
	{'M', time.Minute},
	{'S', time.Second},
	{'m', time.Millisecond},
	{'u', time.Microsecond},
	{'n', time.Nanosecond},
}

const maxTimeoutDigits = 8

// parseTimeout parses up to eight digits and a unit. It returns 0, which stands
// for no timeout, for anything else.
func parseTimeout(text string) time.Duration {
	digits := len(text) - 1
	if digits < 1 || digits > maxTimeoutDigits {
		return 0
	}
	value, err := strconv.ParseUint(text[:digits], 10, 32)
	if err != nil {
		return 0
	}
	for _, u := range timeoutUnits {
		if u.letter == text[digits] {
			return time.Duration(value) * u.unit
		}
	}
	return 0
}

// formatTimeout formats a timeout in microseconds, or in milliseconds if that
// takes more than eight digits.
func formatTimeout(d time.Duration) string {
	d = max(d, time.Microsecond)
	const maxValue = 99_999_999
	if us := d.Microseconds(); us <= maxValue {
		return strconv.FormatInt(us, 10) + "u"
	}
	return strconv.FormatInt(min(d.Milliseconds(), maxValue), 10) + "m"
}
