package listener

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"burdocklane/parser"
	"burdocklane/shedder"

	qt "github.com/frankban/quicktest"
)

// Guards against the records of connections that are closed before the server has them, or
// without a request, and are kept for good.
func TestClosedConnectionsAreNoArrivals(t *testing.T) {
	const callers = 20
	tests := []struct {
		name   string
		limits shedder.Limits
	}{
		{"no room for any", shedder.NewLimits(1, 0, 0)},
		{"room for one", shedder.NewLimits(0, 1, 0)},
		{"no limits", shedder.NewLimits(0, 0, 0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := shedder.New(test.limits)
			defer s.Close()
			l, err := New("127.0.0.1:0", http.NotFoundHandler(), parser.DefaultLimits(parser.WithDrainTimeout(time.Second)), WithShedder(s))
			c.Assert(err, qt.IsNil)
			defer l.Close() //nolint:errcheck // No connection is left.
			for range callers {
				conn, err := net.Dial("tcp", l.Address())
				c.Assert(err, qt.IsNil)
				c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
				io.Copy(io.Discard, conn) //nolint:errcheck // It may be reset.
				conn.Close()
			}
			for deadline := time.Now().Add(10 * time.Second); countArrivals(l.arrivals) > 0; time.Sleep(time.Millisecond) {
				c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d records are left", countArrivals(l.arrivals)))
			}
		})
	}
}

func countArrivals(a *arrivals) int {
	count := 0
	a.conns.Range(func(any, any) bool { count++; return true })
	return count
}
