package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"burdocklane/sender"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker that stops in the middle of its response and closes: a caller
// would get a success with an empty or a short body that looks complete. Only a body
// whose end is the end of the connection cannot be told from a complete one.
func TestResponsesCutAtEveryByte(t *testing.T) {
	const status, id = "HTTP/1.1 200 OK\r\n", "X-Request-Id: a\r\n"
	tests := []struct {
		name string
		head string
		body string
		// endsWithConn reports that the body ends with the connection.
		endsWithConn bool
	}{
		{"with a length", status + id + "Content-Length: 12\r\n\r\n", "twelve bytes", false},
		{"with a length, in the first field", status + "Content-Length: 12\r\n" + id + "\r\n", "twelve bytes", false},
		{"with a length of zero", status + "Content-Length: 0\r\n" + id + "\r\n", "", false},
		{"chunked", status + id + "Transfer-Encoding: chunked\r\n\r\n", "c\r\ntwelve bytes\r\n0\r\n\r\n", false},
		{"neither", status + id + "Connection: close\r\n\r\n", "twelve bytes", true},
		{"bare line feeds", "HTTP/1.1 200 OK\nX-Request-Id: a\nContent-Length: 12\n\n", "twelve bytes", false},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + status + id + "Content-Length: 12\r\n\r\n", "twelve bytes", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			whole := test.head + test.body
			cut := 0
			address, _ := serveConnections(c, func(conn net.Conn, reader *bufio.Reader, _ int64) {
				if request, ok := readRequest(reader); ok {
					n, _ := strconv.Atoi(strings.TrimPrefix(request.URL.Path, "/")) //nolint:errcheck // Always a number.
					io.WriteString(conn, whole[:n])                                 //nolint:errcheck // The test sees what arrives.
				}
			})
			for cut = range len(whole) + 1 {
				s := sender.New(sender.WithEchoHeader("X-Request-Id"), sender.WithResponseBuffer(64<<10))
				r := requestWithID(address, "a")
				r.URL.Path = "/" + strconv.Itoa(cut)
				outcome := s.Send(context.Background(), r)
				complete := cut == len(whole) || (test.endsWithConn && cut >= len(test.head))
				_, responded := outcome.(sender.Responded)
				c.Check(responded, qt.Equals, complete, qt.Commentf("cut after %q", whole[:cut]))
				if !complete {
					_, lost := outcome.(sender.Lost)
					c.Check(lost, qt.IsTrue, qt.Commentf("%T: the request may have run, cut after %q", outcome, whole[:cut]))
				}
				s.Close()
			}
		})
	}
}
