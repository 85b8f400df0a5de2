package listener

import (
	"encoding/json"
	"net/http"
	"strconv"

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

// refuse answers a call that no worker's answer stands for.
func refuse(w http.ResponseWriter, id string, status int, outcome, reason string) {
	body, err := json.Marshal(refusal{RequestID: id, Outcome: outcome, Reason: reason})
	if err != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRequestID, id)
	h.Set(HeaderOutcome, outcome)
	w.WriteHeader(status)
	w.Write(body) //nolint:errcheck // The caller has gone; there is no one to tell.
}

// refuseVerdict answers every verdict but Done.
func refuseVerdict(w http.ResponseWriter, id string, verdict dispatcher.Verdict) {
	switch v := verdict.(type) {
	case dispatcher.Unmatched:
		refuse(w, id, http.StatusNotFound, outcomeNotRun, "no-class")
	case dispatcher.Unready:
		refuse(w, id, http.StatusServiceUnavailable, outcomeNotRun, "no-configuration")
	case dispatcher.NotRun:
		refuse(w, id, http.StatusServiceUnavailable, outcomeNotRun, v.Reason())
	case dispatcher.Unknown:
		refuse(w, id, http.StatusBadGateway, outcomeUnknown, v.Reason())
	case dispatcher.Done:
	}
}
