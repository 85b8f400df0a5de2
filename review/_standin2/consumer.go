package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// connectTimeout is how long consumers wait for a connection.
const connectTimeout = time.Second

// attempt is one consumer attempt, as it is written.
type attempt struct {
	method   string
	target   string
	host     string
	id       string
	deadline time.Duration
	body     []byte
}

// answer is what a consumer has seen of an attempt.
type answer struct {
	status    int // 0 if there was none.
	id        string
	signature string
	bytes     int
	complete  bool
	err       error
	took      time.Duration
}

// newID returns the id of a consumer attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send makes an attempt on a new connection and waits for its answer until its deadline.
func (p *play) send(front string, a attempt) answer {
	started := time.Now()
	got := exchange(front, a, started)
	got.took = time.Since(started)
	p.record.detail("consumer sent %s: %s %s; status %d, id %s, %d bytes, complete %v, error %v, %d ms",
		short(a.id), a.method, a.target, got.status, short(got.id), got.bytes, got.complete, got.err, got.took.Milliseconds())
	return got
}

func exchange(front string, a attempt, started time.Time) (got answer) {
	conn, err := net.DialTimeout("tcp", front, connectTimeout)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(started.Add(a.deadline)) //nolint:errcheck // The reads tell.
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\nConnection: close\r\n",
		a.method, a.target, a.host, a.id, a.deadline.Milliseconds())
	if len(a.body) > 0 || a.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	}
	if _, err := conn.Write(append([]byte(head+"\r\n"), a.body...)); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	return answer{
		status: response.StatusCode, id: response.Header.Get("X-Request-Id"), signature: response.Header.Get("X-Response-Signature"),
		bytes: int(n), complete: err == nil, err: err,
	}
}
