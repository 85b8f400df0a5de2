package verifier_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"burdocklane/healthchecker"
	"burdocklane/limiter"
	"burdocklane/registrar"
	"burdocklane/sender"
	"burdocklane/verifier"

	qt "github.com/frankban/quicktest"
)

// Guards against calls that pay a round trip for what is known already, or that are
// passed from worker to worker until it is too late.
func TestVerificationIsDue(t *testing.T) {
	const fresh, old = 2 * time.Millisecond, 50 * time.Millisecond
	tests := []struct {
		name    string
		choice  verifier.Choice
		timeout time.Duration
		due     bool
	}{
		{"a fresh report", verifier.NewChoice(fresh, 0, 0, time.Second), 0, false},
		{"an old report", verifier.NewChoice(old, 0, 0, 500*time.Millisecond), 50 * time.Millisecond, true},
		{"of another zone", verifier.NewChoice(old, 1, 0, 500*time.Millisecond), 50 * time.Millisecond, true},
		{"of another region", verifier.NewChoice(old, 2, 0, 500*time.Millisecond), 0, false},
		{"of another region, for a confined call", verifier.NewChoice(old, 2, 0, 500*time.Millisecond).Confined(), 50 * time.Millisecond, true},
		{"of another region, without time for it", verifier.NewChoice(old, 2, 0, 399*time.Millisecond).Confined(), 0, false},
		{"of the region, for a confined call", verifier.NewChoice(old, 1, 0, 300*time.Millisecond).Confined(), 30 * time.Millisecond, true},
		{"a short target", verifier.NewChoice(old, 0, 0, 100*time.Millisecond), 20 * time.Millisecond, true},
		{"a long target", verifier.NewChoice(old, 0, 0, time.Minute), 100 * time.Millisecond, true},
		{"no time left", verifier.NewChoice(old, 0, 0, 10*time.Millisecond), 0, false},
		{"past the target", verifier.NewChoice(old, 0, 0, -time.Second), 0, false},
		{"one worker was rejected", verifier.NewChoice(old, 0, 1, time.Second), 100 * time.Millisecond, true},
		{"as many as allowed were rejected", verifier.NewChoice(old, 0, verifier.MaxRejections, time.Second), 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			timeout, due := test.choice.Timeout()
			c.Assert(due, qt.Equals, test.due)
			c.Assert(timeout, qt.Equals, test.timeout)
		})
	}
}

// Pattern: a worker has become slow since its last report. Guards against a call that may
// run only once and is sent there, and against a worker that is left out for a check
// that says nothing of its load.
func TestVerdicts(t *testing.T) {
	tests := []struct {
		name     string
		status   int
		id       string
		load     string
		hangs    bool
		known    bool   // The worker is known to be unhealthy.
		rejected string // The reason, or "".
		leaving  bool
	}{
		{"calm", 200, "w", "1,0,6,100", false, false, "", false},
		{"busy and calm", 200, "w", "6,2,6,120", false, false, "", false},
		{"slow", 200, "w", "0,0,6,700", false, false, "slow", false},
		{"no load report", 200, "w", "", false, false, "", false},
		{"odd load report", 200, "w", "x,,,", false, false, "", false},
		{"ill", 503, "w", "0,0,6,100", false, false, "unhealthy", false},
		{"known to be ill", 503, "w", "0,0,6,100", false, true, "", false},
		{"known to be ill, and slow", 200, "w", "0,0,6,700", false, true, "slow", false},
		{"another worker", 200, "v", "0,0,6,100", false, false, "other-worker", true},
		{"silent", 200, "w", "", true, false, "unreachable", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if test.hangs {
					<-r.Context().Done()
					return
				}
				w.Header().Set("ID", test.id)
				w.Header().Set("Load", test.load)
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			s := sender.New()
			defer s.Close()
			locality := registrar.NewLocality("r", "z")
			pool := limiter.New("s", registrar.NewInstance("i", "", "", locality, false))
			pool.Update([]registrar.Worker{registrar.NewWorker("w", "s", strings.TrimPrefix(server.URL, "http://"), locality, 6, false)}, nil)
			worker := pool.Workers()[0]
			worker.SetUnhealthy(test.known)
			timeout := time.Second
			if test.hangs {
				timeout = 30 * time.Millisecond
			}
			verdict := verifier.New(healthchecker.New(s, "ID", "Load")).Verify(t.Context(), pool, worker, "/health", timeout)
			rejected, _ := verdict.(verifier.Rejected)
			c.Assert(rejected.Reason(), qt.Equals, test.rejected)
			c.Assert(worker.LeavingFor(pool.Now()) > 0, qt.Equals, test.leaving)
			_, reported := worker.Report()
			c.Assert(reported, qt.Equals, strings.HasSuffix(test.load, "0") && !test.leaving)
		})
	}
}
