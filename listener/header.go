// Package listener is the HTTP front end for callers: it turns requests into
// calls and verdicts into answers.
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
	// HeaderRequestID carries the ID of a call; it is made if it is missing.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout carries the time left, as gRPC's "Grpc-Timeout" does.
	HeaderTimeout = "Grpc-Timeout"
	// HeaderIdempotencyKey is the field of the IETF's Idempotency-Key draft.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome says "not-run" or "unknown" on answers that no worker gave.
	HeaderOutcome = "Burdocklane-Outcome"
	// HeaderDrain on a worker's answer says that the worker is leaving.
	HeaderDrain = "Burdocklane-Drain"
	// HeaderForwardedFor carries the caller's address through proxies.
	HeaderForwardedFor = "X-Forwarded-For"
)

const longestRequestID = 128

// hopByHop are the fields of one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes the hop-by-hop fields, and those that Connection names.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

func readHead(r *http.Request, d Dialect) classifier.Head {
	return classifier.NewHead(requestID(r), r.Method, r.URL.Path,
		classifier.WithCaller(callerOf(r)),
		classifier.WithIdempotencyKey(r.Header.Get(HeaderIdempotencyKey)),
		classifier.WithHost(r.Host),
		classifier.WithTimeout(d.timeLeft(r.Header)))
}

// requestID takes the caller's ID if it is short and printable, or makes one.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > longestRequestID {
		return uuid.NewString()
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return uuid.NewString()
		}
	}
	return id
}

// callerOf is the address that the platform's balancer names, or the peer's.
func callerOf(r *http.Request) string {
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

// timeoutUnits are the units of the gRPC over HTTP/2 specification.
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

const longestTimeoutDigits = 8

// parseTimeout reads up to eight digits and a unit. Anything else is 0: the
// caller has not said.
func parseTimeout(text string) time.Duration {
	digits := len(text) - 1
	if digits < 1 || digits > longestTimeoutDigits {
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

// formatTimeout writes a timeout in microseconds, or the next larger unit that
// keeps it to eight digits.
func formatTimeout(d time.Duration) string {
	d = max(d, time.Microsecond)
	const most = 99_999_999
	if us := d.Microseconds(); us <= most {
		return strconv.FormatInt(us, 10) + "u"
	}
	return strconv.FormatInt(min(d.Milliseconds(), most), 10) + "m"
}
