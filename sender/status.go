package sender

import (
	"fmt"
	"net/http"
)

const (
	// firstFinalStatus and lastStatus bound the statuses of final responses.
	firstFinalStatus = 200
	lastStatus       = 599
	statusDigits     = 3
)

// StatusError reports a response whose status line no worker may send. The request may
// have run.
type StatusError struct{ status string }

// Status returns the status line without the version.
func (e *StatusError) Status() string { return e.status }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("response has the invalid status %q", e.status)
}

// statusKind is what follows from a status line: [interimStatus], [finalStatus] or
// [invalidStatus].
type statusKind interface{ statusKind() }

// interimStatus means that the response to the request is still to come.
type interimStatus struct{}

// finalStatus means that this is the response to the request.
type finalStatus struct {
	// mayHaveExtraBody reports that the response has no body by its status, while its
	// header states one: what comes next on the connection can't be trusted.
	mayHaveExtraBody bool
}

// invalidStatus means that the worker has not given a response. What comes next on the
// connection can't be trusted.
type invalidStatus struct{}

func (interimStatus) statusKind() {}
func (finalStatus) statusKind()   {}
func (invalidStatus) statusKind() {}

// kindOfStatus returns what follows from the status line and the framing of a response.
// RFC 9110, section 15, allows 100 to 599. An interim response has no body; 101 has to be
// asked for by an upgrade, which is not passed on to workers. The header of 304 may state
// the body that 200 would have (RFC 9110, section 15.4.5), and none follows; 204 must not.
func kindOfStatus(r *http.Response) statusKind {
	code := r.StatusCode
	switch {
	case r.ProtoMajor != 1 || !hasPlainDigits(r.Status) || code < http.StatusContinue || code > lastStatus:
		return invalidStatus{}
	case code == http.StatusSwitchingProtocols:
		return invalidStatus{}
	case code < firstFinalStatus && hasFraming(r):
		return invalidStatus{}
	case code < firstFinalStatus:
		return interimStatus{}
	case code == http.StatusNoContent:
		return finalStatus{mayHaveExtraBody: hasFraming(r)}
	}
	return finalStatus{}
}

// hasPlainDigits reports whether a status begins with three digits: net/http also takes
// signs.
func hasPlainDigits(status string) bool {
	if len(status) < statusDigits {
		return false
	}
	for _, digit := range []byte(status[:statusDigits]) {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return true
}

// hasFraming reports whether the header says that a body follows.
func hasFraming(r *http.Response) bool {
	length := r.Header.Get("Content-Length")
	return len(r.TransferEncoding) > 0 || r.Header.Get("Transfer-Encoding") != "" || (length != "" && length != "0")
}
