package listener

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"burdocklane/dispatcher"
)

// errorBody is the JSON body of an error response that burdocklane generates.
type errorBody struct {
	RequestID string `json:"request-id"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
}

const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

const (
	// minRetryAfter and maxRetryAfter bound the random Retry-After delay, which
	// keeps rejected callers from retrying all at the same time.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 200 * time.Millisecond
)

func randomRetryAfter() time.Duration { return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter) }

// writeError writes an error response for a call without a worker's response to
// forward.
func (h *Handler) writeError(w http.ResponseWriter, id string, status int, outcome, reason string) {
	body, err := json.Marshal(errorBody{RequestID: id, Outcome: outcome, Reason: reason})
	if err != nil {
		body = nil
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderRequestID, id)
	if !h.dialect.omitOwnHeaders {
		header.Set(HeaderOutcome, outcome)
	}
	if status == http.StatusServiceUnavailable && header.Get("Retry-After") == "" {
		h.dialect.setRetryAfter(header, randomRetryAfter())
	}
	w.WriteHeader(status)
	w.Write(body) //nolint:errcheck // The caller has disconnected.
}

// writeResultError writes the error response for any result but [dispatcher.Answered].
func (h *Handler) writeResultError(w http.ResponseWriter, id string, result dispatcher.Result) {
	switch v := result.(type) {
	case dispatcher.Unmatched:
		h.writeError(w, id, http.StatusNotFound, outcomeNotRun, "no-class")
	case dispatcher.NotReady:
		h.writeError(w, id, http.StatusServiceUnavailable, outcomeNotRun, "no-configuration")
	case dispatcher.Unauthorized:
		w.Header().Set("WWW-Authenticate", bearerScheme)
		h.writeError(w, id, http.StatusUnauthorized, outcomeNotRun, "unknown-key")
	case dispatcher.OverLimit:
		h.dialect.setRetryAfter(w.Header(), v.RetryAfter())
		h.writeError(w, id, http.StatusTooManyRequests, outcomeNotRun, "over-limit")
	case dispatcher.NotRun:
		h.dialect.setRetryAfter(w.Header(), v.RetryAfter())
		h.writeError(w, id, http.StatusServiceUnavailable, outcomeNotRun, v.Reason())
	case dispatcher.Unknown:
		h.writeError(w, id, http.StatusBadGateway, outcomeUnknown, v.Reason())
	case dispatcher.Answered:
	}
}
