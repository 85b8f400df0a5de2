package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a consumer got for one request.
type answer struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	status   int    // 0 without a whole head.
	whole    bool   // The body was complete.
	body     string // As far as it came.
	header   http.Header
	read     bool // The whole request was written.
	err      error
	fromLine string
}

// ask sends one request on a new connection and waits for the whole answer for as long as the
// consumer waits.
func ask(front, method, path, id, body string, deadline time.Duration, r *record) (a answer) {
	a = answer{id: id, sentAt: time.Now()}
	defer func() {
		a.endedAt = time.Now()
		if a.err != nil {
			r.line("consumer: %s ends after %d ms: status %d, %d bytes of the body, %v", id, a.endedAt.Sub(a.sentAt).Milliseconds(), a.status, len(a.body), a.err)
			return
		}
		r.line("consumer: %s is answered after %d ms: status %d, %d bytes, signature %q", id, a.endedAt.Sub(a.sentAt).Milliseconds(), a.status, len(a.body), a.header.Get("X-Response-Signature"))
	}()
	r.line("consumer: sends %s %s %s", method, path, id)
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	conn.SetDeadline(a.sentAt.Add(deadline)) //nolint:errcheck // The socket is open.
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, deadline.Milliseconds(), len(body), body)
	if _, a.err = io.Copy(conn, strings.NewReader(request)); a.err != nil {
		return a
	}
	a.read = true
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	data, err := io.ReadAll(response.Body)
	a.body, a.err = string(data), err
	a.whole = err == nil
	return a
}
