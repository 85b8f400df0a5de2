package listener_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

// pipelineWorker answers each path with the path as its body, and keeps the paths that it
// has run.
type pipelineWorker struct {
	mutex sync.Mutex
	ran   []string
}

func (p *pipelineWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	p.mutex.Lock()
	p.ran = append(p.ran, r.URL.Path+string(body))
	p.mutex.Unlock()
	switch r.URL.Path {
	case "/a/slow":
		time.Sleep(100 * time.Millisecond)
	case "/a/cut":
		w.Header().Set("Content-Length", "100")
	case "/a/close":
		w.Header().Set("Connection", "close")
	}
	io.WriteString(w, r.URL.Path+string(body)) //nolint:errcheck // The caller checks what it gets.
}

// Guards against responses to requests that were sent ahead in another order than theirs,
// and against one that runs although the response in front of it closed the connection: its
// caller sends it again, whatever its kind.
func TestRequestsSentAhead(t *testing.T) {
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }
	post := func(path, body string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
	}
	tests := []struct {
		name     string
		requests []string
		bodies   []string // Of the responses with status 200, in order.
		ran      []string
		closes   bool // The last response that is read closes the connection.
	}{
		{"in order", []string{get("/a/1"), get("/a/2"), get("/a/3")}, []string{"/a/1", "/a/2", "/a/3"}, []string{"/a/1", "/a/2", "/a/3"}, false},
		{"a slow one in front", []string{get("/a/slow"), get("/a/2")}, []string{"/a/slow", "/a/2"}, []string{"/a/slow", "/a/2"}, false},
		{"bodies between", []string{post("/a/1", "x"), get("/a/2"), post("/a/3", "yz")}, []string{"/a/1x", "/a/2", "/a/3yz"}, []string{"/a/1x", "/a/2", "/a/3yz"}, false},
		{"an unknown path between", []string{get("/a/1"), get("/b"), get("/a/2")}, []string{"/a/1", "", "/a/2"}, []string{"/a/1", "/a/2"}, false},
		{"a worker that closes its own connection", []string{get("/a/close"), get("/a/2")}, []string{"/a/close", "/a/2"}, []string{"/a/close", "/a/2"}, false},
		{"a rejection that closes", []string{get("/a/1"), "POST /a/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), get("/a/3")}, []string{"/a/1", ""}, []string{"/a/1"}, true},
		{"a request that cannot be read", []string{get("/a/1"), "GET\r\n\r\n", get("/a/3")}, []string{"/a/1", ""}, []string{"/a/1"}, true},
		{"a caller that asks to close", []string{get("/a/1"), "GET /a/2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", get("/a/3")}, []string{"/a/1", "/a/2"}, []string{"/a/1", "/a/2"}, true},
		{"a transfer that breaks", []string{get("/a/1"), get("/a/cut"), get("/a/3")}, []string{"/a/1"}, []string{"/a/1", "/a/cut"}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			worker := &pipelineWorker{}
			address, _ := startListener(c, worker, descriptor.AtMostOnce{})
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
			_, err = io.WriteString(conn, strings.Join(test.requests, ""))
			c.Assert(err, qt.IsNil)
			reader := bufio.NewReader(conn)
			for _, want := range test.bodies {
				response, err := http.ReadResponse(reader, nil)
				c.Assert(err, qt.IsNil)
				body, err := io.ReadAll(response.Body)
				c.Assert(err, qt.IsNil)
				if want == "" {
					c.Assert(response.StatusCode >= http.StatusBadRequest, qt.IsTrue)
					continue
				}
				c.Assert(string(body), qt.Equals, want)
			}
			if test.closes {
				rest, _ := io.ReadAll(reader)
				c.Assert(strings.Contains(string(rest), "/a/3"), qt.IsFalse)
			}
			worker.mutex.Lock()
			defer worker.mutex.Unlock()
			c.Assert(worker.ran, qt.DeepEquals, test.ran)
		})
	}
}
