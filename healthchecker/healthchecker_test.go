package healthchecker_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"burdocklane/healthchecker"
	"burdocklane/registrar"
	"burdocklane/sender"

	qt "github.com/frankban/quicktest"
)

// Guards against a response to a health check without end that is read until the
// memory is full, or that keeps its connection.
func TestResponsesWithoutEnd(t *testing.T) {
	const (
		maxBuffered = 64 << 10
		maxTraffic  = 4 * maxBuffered
	)
	tests := []struct {
		name, start string
		isHeader    bool // The header does not end.
	}{
		{"status line", "HTTP/1.1 200 ", true},
		{"header field", "HTTP/1.1 200 OK\r\nX-Worker: ", true},
		{"body without a length", "HTTP/1.1 200 OK\r\nX-Worker: w\r\n\r\n", false},
		{"body of a declared length", "HTTP/1.1 200 OK\r\nX-Worker: w\r\nContent-Length: 9223372036854775807\r\n\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer socket.Close()
			ended := make(chan struct{})
			go func() {
				conn, err := socket.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				http.ReadRequest(bufio.NewReader(conn))
				io.WriteString(conn, test.start)
				for block := strings.Repeat("x", 32<<10); ; {
					if _, err := io.WriteString(conn, block); err != nil {
						close(ended)
						return
					}
				}
			}()
			s := sender.New(sender.WithResponseBuffer(maxBuffered), sender.WithEchoHeader("X-Request-Id"))
			defer s.Close()
			worker := registrar.NewWorker("w", "s", socket.Addr().String(), registrar.NewLocality("r", "z"), 1, false)
			health := healthchecker.New(s, "X-Worker", "X-Load").Check(context.Background(), worker, "/h")
			if test.isHeader {
				_, unreachable := health.(healthchecker.Unreachable)
				c.Assert(unreachable, qt.IsTrue, qt.Commentf("%T", health))
			}
			<-ended // The connection is closed.
			c.Assert(s.Traffic() < maxTraffic, qt.IsTrue, qt.Commentf("%d bytes", s.Traffic()))
		})
	}
}
