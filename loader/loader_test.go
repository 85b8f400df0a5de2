package loader_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocklane/loader"

	qt "github.com/frankban/quicktest"
)

// Guards against net/http sending a call again by itself when its connection ends
// without a response: the call would run twice, and only the last run be reported.
func TestCallsAreSentOnce(t *testing.T) {
	tests := []struct {
		name, method string
		requestBytes int
	}{
		{"GET", http.MethodGet, 0},
		{"HEAD", http.MethodHead, 0},
		{"GET with a body", http.MethodGet, 10},
		{"POST", http.MethodPost, 0},
		{"POST with a body", http.MethodPost, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var mutex sync.Mutex // Guards runs and lengths.
			runs := map[string]int{}
			var lengths []int64
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				mutex.Lock()
				runs[r.Header.Get("X-Request-Id")]++
				lengths = append(lengths, r.ContentLength)
				kill := len(runs)%2 == 0
				mutex.Unlock()
				if kill { // The connection has carried a call before, and ends without a response.
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			client := loader.NewClient()
			defer client.CloseIdleConnections()
			call := loader.NewCallType(test.method, "/", time.Second, 1).WithSizes(test.requestBytes, 0)
			address := strings.TrimPrefix(server.URL, "http://")
			loader.Run(context.Background(), client, loader.NewPlan([]string{address}, []loader.CallType{call}, 100, 300*time.Millisecond))
			c.Assert(len(runs) > 10, qt.IsTrue, qt.Commentf("%d calls", len(runs)))
			for id, n := range runs {
				c.Check(n, qt.Equals, 1, qt.Commentf("%s", id))
			}
			for _, length := range lengths {
				c.Check(length, qt.Equals, int64(test.requestBytes))
			}
		})
	}
}
