package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath = "/health"
	slots      = 6
	queueLimit = 24
)

// arrived is one request that a worker has begun to run.
type arrived struct {
	worker string
	id     string
	method string
	target string // As in the request line.
	host   string
	body   [sha256.Size]byte
}

// worker is a sound worker: it runs up to slots requests at once, queues a few more, and
// rejects the rest as not run.
type worker struct {
	play    *play
	id      string
	service string
	zone    zone
	server  *http.Server
	socket  net.Listener
	running atomic.Int32
	waiting atomic.Int32
	slot    chan struct{}
	answer  func(w *worker, out http.ResponseWriter, r *http.Request)

	mutex sync.Mutex
	runs  []arrived
}

// startWorker starts a worker and registers it in the store. It answers the requests that it
// has run with answer.
func (p *play) startWorker(service string, answer func(w *worker, out http.ResponseWriter, r *http.Request)) error {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n := len(p.workers)
	w := &worker{play: p, id: fmt.Sprintf("i-%010x", 0xd0f4716500+n), service: service, zone: zones[n%len(zones)], socket: socket, slot: make(chan struct{}, slots), answer: answer}
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go w.server.Serve(socket) //nolint:errcheck // Ends with the case.
	p.workers = append(p.workers, w)
	value, err := json.Marshal(map[string]any{
		"Service": service, "Address": socket.Addr().String(), "Zone": w.zone.name, "Version": "v1", "Capacity": slots,
		"State": "ready", "WarmupLeftMs": 0, "Seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	p.store.Put("servers/"+w.id, string(value))
	return nil
}

func (w *worker) close() {
	w.server.Close()
}

func (w *worker) setLoad(out http.ResponseWriter) {
	out.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", w.running.Load(), w.waiting.Load(), slots))
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("X-Instance-Id", w.id)
	if r.URL.Path == healthPath {
		w.setLoad(out)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		out.Header().Set("X-Request-Id", id)
	}
	switch target := r.Header.Get("X-Target-Instance"); {
	case target != "" && target != w.id:
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.reject(out, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if w.waiting.Add(1) > queueLimit {
		w.waiting.Add(-1)
		w.reject(out, http.StatusServiceUnavailable)
		return
	}
	select {
	case w.slot <- struct{}{}:
		w.waiting.Add(-1)
	case <-r.Context().Done():
		w.waiting.Add(-1)
		return
	}
	defer func() { <-w.slot }()
	w.running.Add(1)
	defer w.running.Add(-1)
	run := arrived{worker: w.id, id: id, method: r.Method, target: r.RequestURI, host: r.Host, body: sha256.Sum256(body)}
	w.mutex.Lock()
	w.runs = append(w.runs, run)
	w.mutex.Unlock()
	w.play.record.detail("worker %s (%s) runs %s: %s %s", w.id, w.service, short(id), r.Method, r.RequestURI)
	w.answer(w, out, r)
}

func (w *worker) reject(out http.ResponseWriter, status int) {
	w.setLoad(out)
	out.Header().Set("X-Not-Executed", "1")
	out.WriteHeader(status)
}

// sign sets the header of a complete answer.
func (w *worker) sign(out http.ResponseWriter) {
	w.setLoad(out)
	out.Header().Set("X-Response-Signature", "3e1b.07.5a2.600.0."+w.id)
}

// allRuns returns the requests that the workers have begun to run.
func (p *play) allRuns() []arrived {
	var all []arrived
	for _, w := range p.workers {
		w.mutex.Lock()
		all = append(all, w.runs...)
		w.mutex.Unlock()
	}
	return all
}

// answerAfter returns an answer with a short body after some work.
func answerAfter(work time.Duration) func(w *worker, out http.ResponseWriter, r *http.Request) {
	return func(w *worker, out http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		w.sign(out)
		io.WriteString(out, strings.Repeat(w.id, 20)) //nolint:errcheck // The caller may have left.
	}
}

// short returns a text that fits on a line of the record.
func short(text string) string {
	if len(text) <= 48 {
		return text
	}
	return fmt.Sprintf("%s...(%d bytes)", text[:40], len(text))
}
