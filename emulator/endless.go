package emulator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
)

// endlessParts is how many parts of an endless response are written at once.
const endlessParts = 8 << 10

// NewEndless starts a server whose responses begin with start and go on with part until
// the client closes the connection.
func NewEndless(start, part string) *httptest.Server {
	block := strings.Repeat(part, endlessParts)
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, start)
		for err == nil {
			_, err = io.WriteString(w, block)
		}
	}))
}
