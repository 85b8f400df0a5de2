package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdocklane/acceptor"
	"burdocklane/shedder"

	qt "github.com/frankban/quicktest"
)

const testTimeout = 10 * time.Second

// startServer starts a server whose handler holds each request until the end of the test,
// unless its path is /end.
func startServer(c *qt.C, limits shedder.Limits) (string, *shedder.Shedder) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := shedder.New(limits)
	ctx, cancel := context.WithCancel(context.Background())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, ok := acceptor.BeginRequest(w, r)
		defer q.End()
		if !ok || !q.BeginCall(false) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path != "/end" {
			<-ctx.Done()
		}
		q.BeginAnswer(0)
	})
	server := &http.Server{Handler: handler}
	acceptor.Install(server)
	done := make(chan struct{})
	go func() {
		server.Serve(acceptor.New(socket, s, time.Second)) //nolint:errcheck // Always ErrServerClosed.
		close(done)
	}()
	c.Cleanup(func() { cancel(); server.Close(); <-done; s.Close() })
	return socket.Addr().String(), s
}

func dial(c *qt.C, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	_, err = io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	return conn
}

// await waits until the condition holds.
func await(c *qt.C, what string, condition func() bool) {
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s did not come within %s", what, testTimeout))
	}
}

// Guards against heads whose fields are not counted, and against room that a connection
// keeps after its request.
func TestHeadsAreCountedAndGivenBack(t *testing.T) {
	const fields = 500
	c := qt.New(t)
	address, s := startServer(c, shedder.NewLimits(1<<20, 0, 0))
	var head strings.Builder
	head.WriteString("GET /end HTTP/1.1\r\nHost: h\r\n")
	for n := range fields {
		fmt.Fprintf(&head, "%x:\r\n", n)
	}
	conn := dial(c, address, head.String())
	await(c, "room for the fields", func() bool { return s.Held() >= fields*shedder.FieldBytes })
	_, err := io.WriteString(conn, "\r\n")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	await(c, "the room of the head", func() bool { return s.Held() == shedder.ConnectionBytes })
	conn.Close()
	await(c, "the room of the connection", func() bool { return s.Held() == 0 && s.Connections() == 0 })
}

// Guards against a connection over the limit that waits: the one that stands still longest
// is closed, unless its call is in flight.
func TestOldestIdleConnectionMakesRoom(t *testing.T) {
	c := qt.New(t)
	address, s := startServer(c, shedder.NewLimits(0, 2, 0))
	calling := dial(c, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	idle := dial(c, address, "")
	await(c, "the second connection", func() bool { return s.Connections() == 2 })
	await(c, "the call", func() bool { return s.Held() == 2*shedder.ConnectionBytes+shedder.CallBytes })
	late := dial(c, address, "GET /end HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(late), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	_, err = idle.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(calling.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	_, err = calling.Read(make([]byte, 1))
	c.Assert(err, qt.ErrorMatches, ".*i/o timeout")
}
