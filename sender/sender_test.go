package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"burdocklane/sender"

	qt "github.com/frankban/quicktest"
)

// startWorker starts a worker that calls serve for each request and counts the
// requests that it reads.
func startWorker(c *qt.C, serve func(conn net.Conn, request *http.Request, nth int64)) (address string, requests *atomic.Int64) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { socket.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, request.Body)
					nth := requests.Add(1)
					serve(conn, request, nth)
					if nth > 1 {
						return
					}
				}
			}()
		}
	}()
	return socket.Addr().String(), requests
}

func request(method, address, body string, header http.Header) *http.Request {
	return &http.Request{
		Method: method, URL: &url.URL{Scheme: "http", Host: address, Path: "/"}, Host: address,
		Header: header, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestDoesNotReplayAfterConnectionIsLost(t *testing.T) {
	tests := []struct {
		name   string
		method string
		body   string
		header http.Header
	}{
		{name: "safe method", method: "GET", header: http.Header{}},
		{name: "idempotency key without body", method: "POST", header: http.Header{"Idempotency-Key": {"k"}}},
		{name: "idempotency key with body", method: "POST", body: "b", header: http.Header{"Idempotency-Key": {"k"}}},
		{name: "x-idempotency-key", method: "POST", header: http.Header{"X-Idempotency-Key": {"k"}}},
		{name: "plain post", method: "POST", body: "b", header: http.Header{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, seen := startWorker(c, func(conn net.Conn, _ *http.Request, nth int64) {
				if nth == 1 {
					io.WriteString(conn, okResponse)
				} // The second request is run, and its connection is then closed.
			})
			s := sender.New()
			defer s.Close()
			first, ok := s.Send(context.Background(), request("GET", address, "", http.Header{})).(sender.Responded)
			c.Assert(ok, qt.IsTrue)
			io.Copy(io.Discard, first.Response().Body)
			first.Response().Body.Close()
			outcome := s.Send(context.Background(), request(test.method, address, test.body, test.header))
			_, lost := outcome.(sender.Lost)
			c.Assert(lost, qt.IsTrue, qt.Commentf("%T", outcome))
			c.Assert(seen.Load(), qt.Equals, int64(2))
		})
	}
}

func TestDistinguishesUnsentFromLost(t *testing.T) {
	tests := []struct {
		name   string
		refuse bool
		cancel bool
		unsent bool
	}{
		{name: "connection refused", refuse: true, unsent: true},
		{name: "cancelled before connecting", cancel: true, unsent: true},
		{name: "no response after the request"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := startWorker(c, func(conn net.Conn, _ *http.Request, _ int64) { conn.Close() })
			if test.refuse {
				socket, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				address = socket.Addr().String()
				socket.Close()
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.cancel {
				cancel()
			}
			s := sender.New()
			defer s.Close()
			_, unsent := s.Send(ctx, request("POST", address, "b", http.Header{})).(sender.Unsent)
			c.Assert(unsent, qt.Equals, test.unsent)
		})
	}
}
