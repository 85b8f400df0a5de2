package listener_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

// unsentTimeout bounds the wait for an answer that must not wait for the rest of a body.
const unsentTimeout = 10 * time.Second

// answerTo sends a raw request, keeps the connection open and returns what is received
// until the listener closes it.
func answerTo(c *qt.C, address, raw string) string {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Check(conn.SetDeadline(time.Now().Add(unsentTimeout)), qt.IsNil)
	io.WriteString(conn, raw) //nolint:errcheck // The answer tells.
	response, err := io.ReadAll(conn)
	c.Check(err, qt.IsNil, qt.Commentf("the connection was not closed within %s", unsentTimeout))
	return string(response)
}

// Guards against the rest of a body that is waited for, although nobody wants it.
func TestUnwantedBodiesAreNotAwaited(t *testing.T) {
	tests := []struct {
		name string
		raw  string
		want string
	}{
		{"no class, a body that stops short", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nabc", "404"},
		{"no class, a long body that stops short", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\nabc", "404"},
		{"no class, chunks without end", "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "404"},
		{"no class, no byte of the body", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n", "404"},
		{"too large, a body that stops short", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\nabc", "413"},
		{"upgrade, a body that stops short", "POST /a HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\nContent-Length: 100\r\n\r\nabc", "501"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := startListener(c, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { c.Error("the worker got the request") }), descriptor.AtMostOnce{})
			response := answerTo(c, address, test.raw)
			c.Check(response, qt.Contains, " "+test.want+" ")
			c.Check(response, qt.Contains, `"outcome":"not-run"`)
			c.Check(response, qt.Contains, "Connection: close")
		})
	}
}

// Guards against memory for the body of a request whose key nobody holds.
func TestBodyWithoutAKeyInForceIsNotAwaited(t *testing.T) {
	tests := []struct{ name, head, want string }{
		{"no key", "", "401"},
		{"an unknown key", "Authorization: Bearer k-3\r\n", "401"},
		{"an unknown path", "Authorization: Bearer k-1\r\n", "404"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			path := "/a/1"
			if test.want == "404" {
				path = "/b"
			}
			address, received := startRecordingListener(c, tenantDeployment(acme))
			response := answerTo(c, address, "POST "+path+" HTTP/1.1\r\nHost: h.example\r\n"+test.head+"Content-Length: 100\r\n\r\nabc")
			c.Check(response, qt.Contains, " "+test.want+" ")
			c.Check(response, qt.Contains, "Connection: close")
			c.Check(received, qt.HasLen, 0)
		})
	}
}

// Guards against a connection that is closed although the next request on it could be
// read: there is no class, and no body.
func TestConnectionsWithoutUnreadBodiesAreKept(t *testing.T) {
	c := qt.New(t)
	address, _ := startListener(c, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), descriptor.AtMostOnce{})
	response := sendRaw(c, address, "GET /b HTTP/1.1\r\nHost: h\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	c.Assert(response, qt.Contains, "HTTP/1.1 404")
	c.Assert(response, qt.Contains, "HTTP/1.1 200")
}

// Guards against calls that go on after their deadline, with a worker's slot, because their
// callers do not send the rest of the body.
func TestCallsWithUnsentBodiesEndAtTheirDeadline(t *testing.T) {
	const hostile = 8
	c := qt.New(t)
	address, _ := startListener(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, "read")
	}), descriptor.AtMostOnce{})
	raw := "POST /a HTTP/1.1\r\nHost: h\r\nGrpc-Timeout: 200m\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("x", 500)
	for range hostile {
		c.Check(answerTo(c, address, raw), qt.Contains, " 502 ")
	}
	response := sendRaw(c, address, "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc")
	c.Assert(response, qt.Contains, "HTTP/1.1 200")
}

// Guards against a caller that sends its whole body before it reads the answer, and is
// reset: the body is longer than the buffers of the connection.
func TestCallersThatSendAllFirstReadTheAnswer(t *testing.T) {
	const bodyBytes = 32 << 20
	tests := []struct {
		name  string
		start func(c *qt.C) string
		head  string
		want  string
	}{
		{"no key", startTenants, "POST /a/1 HTTP/1.1\r\nHost: h.example\r\n", " 401 "},
		{"an unknown key", startTenants, "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k-3\r\n", " 401 "},
		{"no class", startTenants, "POST /b HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k-1\r\n", " 404 "},
		{"too large", startSmall, "POST /a HTTP/1.1\r\nHost: h\r\n", " 413 "},
		{"upgrade", startTenants, "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nConnection: upgrade\r\nUpgrade: x\r\n", " 501 "},
		{"no configuration", startUnconfigured, "POST /a/1 HTTP/1.1\r\nHost: h.example\r\n", " 503 "},
		{"no worker", startWithoutWorker, "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k-1\r\n", " 503 "},
	}
	body := strings.Repeat("x", bodyBytes)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", test.start(c))
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			c.Assert(conn.SetDeadline(time.Now().Add(unsentTimeout)), qt.IsNil)
			_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", test.head, bodyBytes, body)
			c.Assert(err, qt.IsNil)
			response, err := io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
			c.Assert(string(response), qt.Contains, test.want)
		})
	}
}

func startTenants(c *qt.C) string {
	address, _ := startRecordingListener(c, tenantDeployment(acme))
	return address
}

func startSmall(c *qt.C) string {
	address, _ := startListener(c, http.NotFoundHandler(), descriptor.AtMostOnce{})
	return address
}

func startUnconfigured(c *qt.C) string {
	return startDialectListenerFor(c, descriptor.Deployment{})
}

func startWithoutWorker(c *qt.C) string {
	return startDialectListenerFor(c, tenantDeployment(acme))
}
