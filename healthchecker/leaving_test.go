package healthchecker_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"burdocklane/healthchecker"
	"burdocklane/registrar"
	"burdocklane/sender"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker that is closed by what another one says at its address, and
// against an announcement that is missed since the health check fails as well.
func TestLeavingInHealthChecks(t *testing.T) {
	tests := []struct {
		name, id, header string
		status           int
		want             bool
	}{
		{"fails and announces it", "w", "1", http.StatusServiceUnavailable, true},
		{"succeeds and announces it", "w", "1", http.StatusOK, true},
		{"fails alone", "w", "", http.StatusServiceUnavailable, false},
		{"another worker announces it", "v", "1", http.StatusOK, false},
		{"an unreadable value", "w", "yes", http.StatusServiceUnavailable, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Worker", test.id)
				w.Header().Set("X-Leaving", test.header)
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			s := sender.New()
			defer s.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			worker := registrar.NewWorker("w", "s", address, registrar.NewLocality("r", "z"), 1, false)
			checker := healthchecker.New(s, "X-Worker", "X-Load", healthchecker.WithLeavingHeader("X-Leaving"))
			qt.Assert(t, healthchecker.AnnouncesLeaving(checker.Check(t.Context(), worker, "/h")), qt.Equals, test.want)
		})
	}
}
