package listener

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"burdocklane/parser"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that have arrived when a planned stop begins, and get no answer:
// their connections wait in the queue of the listening socket, or the server reads them
// only when it shuts down. One that arrives later is not passed on.
func TestRequestsThatHaveArrivedAreAnsweredInAStop(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := []struct {
		name     string
		queued   bool // No connection has been accepted when the stop begins.
		sent     string
		answered bool
	}{
		{"in the queue, with a request", true, request, true},
		{"accepted, with a request", false, request, true},
		{"in the queue, without a request", true, "", false},
		{"accepted, without a request", false, "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const callers = 5
			c := qt.New(t)
			handled := make(chan struct{}, callers)
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				handled <- struct{}{}
				w.WriteHeader(http.StatusNoContent)
			})
			l, err := newListener("127.0.0.1:0", handler, parser.DefaultLimits(parser.WithDrainTimeout(time.Second)))
			c.Assert(err, qt.IsNil)
			if !test.queued {
				l.serve()
			}
			var conns []net.Conn
			for range callers {
				conn, err := net.Dial("tcp", l.Address())
				c.Assert(err, qt.IsNil)
				defer conn.Close()
				fmt.Fprint(conn, test.sent) //nolint:errcheck // The response tells.
				conns = append(conns, conn)
			}
			if test.queued {
				l.socket.drain() // Before the first connection is taken.
				l.serve()
			}
			closed := make(chan struct{})
			go func() {
				l.Close() //nolint:errcheck // Connections without a request are aborted.
				close(closed)
			}()
			for _, conn := range conns {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				c.Assert(err == nil, qt.Equals, test.answered, qt.Commentf("%v", err))
				if err == nil {
					response.Body.Close()
				}
			}
			<-closed
			c.Assert(len(handled) == callers, qt.Equals, test.answered)
			_, err = net.Dial("tcp", l.Address())
			c.Assert(err, qt.IsNotNil)
		})
	}
}
