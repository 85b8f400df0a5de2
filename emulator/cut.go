package emulator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

const statusOK = "200 OK"

// otherStatuses are statuses of which none says that the body is what was asked for.
var otherStatuses = []string{"000 None", "206 Partial Content"}

// Cut is a server whose responses have no length and end with their connection, after a part
// of the body. They can have any status.
type Cut struct {
	*httptest.Server
	body   string
	status atomic.Pointer[string]
	bytes  atomic.Int64 // Of the body that are sent.
}

// NewCut starts a server that responds with the body and status 200.
func NewCut(body string) *Cut {
	c := &Cut{body: body}
	c.SetBytes(len(body))
	c.setStatus(statusOK)
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // The client sees that the response is missing.
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, "HTTP/1.1 "+*c.status.Load()+"\r\n\r\n"+body[:c.bytes.Load()]) //nolint:errcheck // As above.
	}))
	return c
}

// SetBytes sets how many bytes of the body the responses have.
func (c *Cut) SetBytes(n int) { c.bytes.Store(int64(n)) }

func (c *Cut) setStatus(status string) { c.status.Store(&status) }

// Accepted makes a call for each response that is cut, after each byte of the body, and for the
// whole one with each of the other statuses. It returns those for which the call has no error.
func (c *Cut) Accepted(call func() error) (accepted []string) {
	defer c.SetBytes(len(c.body))
	for _, status := range otherStatuses {
		c.setStatus(status)
		if call() == nil {
			accepted = append(accepted, status)
		}
	}
	c.setStatus(statusOK)
	for n := range c.body {
		c.SetBytes(n)
		if call() == nil {
			accepted = append(accepted, "cut after "+c.body[:n])
		}
	}
	return accepted
}
