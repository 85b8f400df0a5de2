package healthchecker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"burdocklane/healthchecker"
	"burdocklane/registrar"
	"burdocklane/sender"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker whose warm-up goes unnoticed because it is not healthy, and against
// a header that is read although no warm-up header is set.
func TestWarmupInResponses(t *testing.T) {
	tests := []struct {
		name, header, value string
		status              int
		want                time.Duration
		known               bool
	}{
		{"cold", "X-Cold", "1500", http.StatusOK, 1500 * time.Millisecond, true},
		{"cold and unhealthy", "X-Cold", "1500", http.StatusServiceUnavailable, 1500 * time.Millisecond, true},
		{"warm", "X-Cold", "0", http.StatusOK, 0, true},
		{"nothing said", "X-Cold", "", http.StatusOK, 0, false},
		{"no header is set", "", "1500", http.StatusOK, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Cold", test.value)
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			s := sender.New(sender.WithEchoHeader("X-Request-Id"))
			defer s.Close()
			checker := healthchecker.New(s, "X-Worker", "X-Load", healthchecker.WithWarmupHeader(test.header))
			worker := registrar.NewWorker("w", "s", server.Listener.Addr().String(), registrar.NewLocality("r", "z"), 1, false)
			left, known := healthchecker.WarmupOf(checker.Check(context.Background(), worker, "/h"))
			c.Assert(known, qt.Equals, test.known)
			c.Assert(left, qt.Equals, test.want)
		})
	}
}
