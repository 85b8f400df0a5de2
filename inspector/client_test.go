package inspector_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"burdocklane/holder"
	"burdocklane/inspector"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// Guards against a response without end that is cut without a word and printed as a
// whole one.
func TestResponseWithoutEnd(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for block := strings.Repeat("x", 1<<20); ; {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	_, err := inspector.FetchDecisions(context.Background(), strings.TrimPrefix(server.URL, "http://"), "id")
	var tooLong *holder.TooLongError
	c.Assert(errors.As(err, &tooLong), qt.IsTrue, qt.Commentf("%v", err))
}
