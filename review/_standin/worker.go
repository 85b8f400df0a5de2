package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a worker has begun to work on.
type run struct {
	id string
	at time.Time
}

// worker is a stand-in of a worker, as PROTOCOL.md describes it. Each answer is written while
// the work goes on, in even parts.
type worker struct {
	id       string
	service  string
	slots    int
	workTime time.Duration
	body     int // Length of an answer's body.
	record   *record
	born     int64 // Unix milliseconds.
	address  string
	server   *http.Server

	running atomic.Int32
	leaving atomic.Bool
	// dark says that the worker has crashed and is silent: nothing it wrote arrives any more,
	// and nothing it is sent is read.
	dark chan struct{}

	mutex sync.Mutex
	runs  []run
}

func startWorker(id, service string, slots int, workTime time.Duration, body int, r *record) *worker {
	w := &worker{id: id, service: service, slots: slots, workTime: workTime, body: body, record: r, born: time.Now().UnixMilli(), dark: make(chan struct{})}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen for a worker: %v", err)
	}
	w.address = socket.Addr().String()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 10 * time.Second}
	go w.server.Serve(socket) //nolint:errcheck // It ends with the worker.
	return w
}

// entry is the worker's first entry in the store.
func (w *worker) entry(state string) map[string]any { return w.entryAt(state, 1) }

// entryAt is the worker's entry in the store with a sequence number.
func (w *worker) entryAt(state string, sequence int) map[string]any {
	return map[string]any{
		"Service": w.service, "Address": w.address, "Zone": "pwani-kurasini", "Version": "v1", "Capacity": w.slots,
		"State": state, "WarmupLeftMs": 0, "Seq": sequence, "born": w.born,
	}
}

// exit ends the worker as the end of its process does.
func (w *worker) exit() { w.server.Close() }

// goDark makes the worker silent.
func (w *worker) goDark() { close(w.dark) }

func (w *worker) isDark() bool {
	select {
	case <-w.dark:
		return true
	default:
		return false
	}
}

// sleep waits, for good once the worker is dark.
func (w *worker) sleep(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.dark:
	}
	if w.isDark() {
		time.Sleep(time.Hour)
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// sayLeaving adds what a worker that leaves says in all its answers.
func (w *worker) sayLeaving(out http.ResponseWriter) {
	if w.leaving.Load() {
		out.Header().Set("Server-Leaving", "1")
	}
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	if w.isDark() {
		time.Sleep(time.Hour)
	}
	out.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", w.running.Load(), w.slots))
	if r.URL.Path == "/health" {
		w.sayLeaving(out)
		out.Header().Set("X-Instance-Id", w.id)
		if w.leaving.Load() {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		w.sayLeaving(out)
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if int(w.running.Add(1)) > w.slots {
		w.running.Add(-1)
		w.sayLeaving(out)
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	io.Copy(io.Discard, r.Body) //nolint:errcheck // A consumer may leave.
	w.mutex.Lock()
	w.runs = append(w.runs, run{id: id, at: time.Now()})
	w.mutex.Unlock()
	w.record.line("%s begins to run %s", w.id, id)
	body := bodyOf(id, w.body)
	out.Header().Set("X-Response-Signature", "signed-"+id)
	out.Header().Set("Content-Length", fmt.Sprint(len(body)))
	const parts = 10
	for n := range parts {
		w.sleep(r, w.workTime/parts)
		if len(body) < 4<<10 && n < parts-1 {
			continue // A short answer is written at the end of the work.
		}
		w.sayLeaving(out) // The first write sends the head.
		from := n * len(body) / parts
		if len(body) < 4<<10 {
			from = 0
		}
		io.WriteString(out, body[from:(n+1)*len(body)/parts]) //nolint:errcheck // The instance may leave.
		http.NewResponseController(out).Flush()               //nolint:errcheck // See above.
	}
	w.record.line("%s ends the run of %s", w.id, id)
}

// bodyOf returns the whole body of the answer to a request.
func bodyOf(id string, length int) string {
	return strings.Repeat(id+"\n", length/(len(id)+1)+1)[:length]
}

// runsByID returns the requests that the worker has begun to run.
func (w *worker) runsByID() map[string]run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	runs := map[string]run{}
	for _, r := range w.runs {
		runs[r.id] = r
	}
	return runs
}
