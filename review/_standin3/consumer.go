package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a consumer.
type request struct {
	method, target, host string
	id                   string
	header               string // Further lines.
	body                 string
}

// answer is what the consumer got: status 0 stands for none.
type answer struct {
	status    int
	signature string
	id        string
	body      string
}

// nextID returns an ID that no other request of the play has.
func (p *play) nextID() string {
	p.lastID++
	return fmt.Sprintf("%016x", p.lastID)
}

// send sends a request on a new connection to the instance, and records both.
func (p *play) send(i *instance, r request) answer {
	a := exchange(i.front, r, answerTimeout)
	p.logf("%s: sent %s %s, Host %s, id %.60q (%d bytes), body %d bytes, %q -> status %d, signature %q, id %.60q, body %.70q",
		i.name, r.method, r.target, r.host, r.id, len(r.id), len(r.body), r.header, a.status, a.signature, a.id, a.body)
	return a
}

func exchange(front string, r request, timeout time.Duration) answer {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answer{}
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return answer{}
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: 2000\r\n%s", r.method, r.target, r.host, r.id, r.header)
	if r.body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+r.body); err != nil {
		return answer{}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{
		status: response.StatusCode, body: string(body),
		signature: response.Header.Get("X-Response-Signature"), id: response.Header.Get("X-Request-Id"),
	}
}
