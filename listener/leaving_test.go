package listener_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

// Guards against calls to a worker that has said that it is about to stop, in whatever
// answer: one that is passed on, one that fails, one after which the call is sent again.
func TestLeavingIsReadInEachAnswer(t *testing.T) {
	const calls = 60
	tests := []struct {
		name   string
		header string
		status int
		notRun bool
		signed bool
		closes bool
	}{
		{"success", "1", http.StatusOK, false, true, true},
		{"success without a signature", "1", http.StatusOK, false, false, true},
		{"failure of the worker", "1", http.StatusInternalServerError, false, false, true},
		{"refusal", "1", http.StatusServiceUnavailable, true, false, true},
		{"refusal that does not say whether the call has run", "1", http.StatusServiceUnavailable, false, false, true},
		{"another worker at the address", "1", http.StatusMisdirectedRequest, false, false, true},
		{"the worker stays", "0", http.StatusOK, false, true, false},
		{"a value that says nothing", "soon", http.StatusOK, false, true, false},
		{"no value", "", http.StatusOK, false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var leaverCalls, otherCalls atomic.Int64
			leaver := func(w http.ResponseWriter, r *http.Request) {
				leaverCalls.Add(1)
				w.Header().Set("X-Leaving", test.header)
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				if test.notRun {
					w.Header().Set("X-Not-Run", "1")
				}
				if test.signed {
					w.Header().Set("X-Signed", "yes")
				}
				w.WriteHeader(test.status)
			}
			other := func(w http.ResponseWriter, r *http.Request) {
				otherCalls.Add(1)
				writeSigned(w, r, "other")
			}
			address := startDialectListener(c, descriptor.Idempotent{}, leaver, other)
			passedOn := false
			for n := range calls {
				header := callWithID(c, address, strconv.Itoa(n))
				passedOn = passedOn || header.Get("X-Leaving") == test.header
			}
			c.Assert(leaverCalls.Load() == 1, qt.Equals, test.closes, qt.Commentf("%d calls", leaverCalls.Load()))
			c.Assert(otherCalls.Load() > 1, qt.IsTrue)
			if test.signed {
				c.Assert(passedOn, qt.IsTrue, qt.Commentf("the caller does not get the header"))
			}
		})
	}
}

// callWithID makes a call and returns the header of the response.
func callWithID(c *qt.C, address, id string) http.Header {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/a/", http.NoBody)
	c.Assert(err, qt.IsNil)
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.Header
}
