package emulator

import (
	"cmp"
	"encoding/json"
	"net/http"
	"time"
)

// Faults holds the faults that are injected into the emulated platform.
type Faults struct {
	storeDown     bool
	delay         time.Duration
	dropResponses bool
	listLag       time.Duration
	rejectWatch   bool
	listDown      bool

	outageAfterWrite bool
}

// FaultOption enables one fault.
type FaultOption func(*Faults)

// WithOutage aborts every connection to the store. The list is still served.
func WithOutage() FaultOption { return func(f *Faults) { f.storeDown = true } }

// WithDroppedResponses applies each write but aborts the connection before the
// response.
func WithDroppedResponses() FaultOption { return func(f *Faults) { f.dropResponses = true } }

// WithOutageAfterWrite applies the next write, drops its response and starts an
// outage.
func WithOutageAfterWrite() FaultOption { return func(f *Faults) { f.outageAfterWrite = true } }

// WithDelay delays each call of the store.
func WithDelay(d time.Duration) FaultOption { return func(f *Faults) { f.delay = d } }

// WithListLag publishes changes of the list after a delay.
func WithListLag(d time.Duration) FaultOption { return func(f *Faults) { f.listLag = d } }

// NewFaults returns the faults that opts enable, by default none.
func NewFaults(opts ...FaultOption) Faults {
	var f Faults
	for _, opt := range opts {
		opt(&f)
	}
	return f
}

type faultsMessage struct {
	Down        bool   `json:"down"`
	Delay       string `json:"delay"`
	LoseAnswers bool   `json:"lose-answers"`
	ListLag     string `json:"list-lag"`
	RejectWatch bool   `json:"reject-watch"`
	ListDown    bool   `json:"list-down"`

	OutageAfterWrite bool `json:"outage-after-write"`
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var m faultsMessage
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	delay, _ := time.ParseDuration(cmp.Or(m.Delay, "0s"))
	lag, _ := time.ParseDuration(cmp.Or(m.ListLag, "0s"))
	p.SetFaults(Faults{storeDown: m.Down, delay: delay, dropResponses: m.LoseAnswers, listLag: lag, rejectWatch: m.RejectWatch, listDown: m.ListDown, outageAfterWrite: m.OutageAfterWrite})
	w.WriteHeader(http.StatusNoContent)
}
