package listener

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"burdocklane/dispatcher"
)

// refusal is the JSON body of an answer that no worker gave.
type refusal struct {
	RequestID string `json:"request-id"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
}

const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

const (
	// returnLeast and returnMost bound the time after which a caller is told to
	// come back, drawn at random so that refused callers do not return at once.
	returnLeast = 50 * time.Millisecond
	returnMost  = 200 * time.Millisecond
)

func returnAfter() time.Duration { return returnLeast + rand.N(returnMost-returnLeast) }

// refuse answers a call that no worker's answer stands for.
func (h *Handler) refuse(w http.ResponseWriter, id string, status int, outcome, reason string) {
	body, err := json.Marshal(refusal{RequestID: id, Outcome: outcome, Reason: reason})
	if err != nil {
		body = nil
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderRequestID, id)
	if !h.dialect.withoutOwn {
		header.Set(HeaderOutcome, outcome)
	}
	if status == http.StatusServiceUnavailable {
		h.dialect.setRetryAfter(header, returnAfter())
	}
	w.WriteHeader(status)
	w.Write(body) //nolint:errcheck // The caller has gone; there is no one to tell.
}

// refuseVerdict answers every verdict but Done.
func (h *Handler) refuseVerdict(w http.ResponseWriter, id string, verdict dispatcher.Verdict) {
	switch v := verdict.(type) {
	case dispatcher.Unmatched:
		h.refuse(w, id, http.StatusNotFound, outcomeNotRun, "no-class")
	case dispatcher.Unready:
		h.refuse(w, id, http.StatusServiceUnavailable, outcomeNotRun, "no-configuration")
	case dispatcher.NotRun:
		h.refuse(w, id, http.StatusServiceUnavailable, outcomeNotRun, v.Reason())
	case dispatcher.Unknown:
		h.refuse(w, id, http.StatusBadGateway, outcomeUnknown, v.Reason())
	case dispatcher.Done:
	}
}
