package sender

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// exchange is one request and its answer on a connection.
type exchange struct {
	sender  *Sender
	conn    *conn
	request *http.Request
	stop    func() bool
	writing chan error // The end of a write beside the reading, or nil.
}

func (x *exchange) run() (*http.Response, error) {
	if err := x.write(); err != nil {
		return nil, err
	}
	response, err := x.read()
	if err != nil {
		return nil, err
	}
	return x.deliver(response)
}

// write sends the request, beside the reading if its body is long.
func (x *exchange) write() error {
	if x.request.ContentLength >= 0 && x.request.ContentLength <= inlineBytes {
		return x.flush()
	}
	x.writing = make(chan error, 1)
	go func() { x.writing <- x.flush() }()
	return nil
}

func (x *exchange) flush() error {
	if err := x.request.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// awaitWriter waits for the write beside the reading; the connection is closed.
func (x *exchange) awaitWriter() {
	if x.writing != nil {
		<-x.writing
	}
}

// written tells whether the request has been sent to its end.
func (x *exchange) written() bool {
	if x.writing == nil {
		return true
	}
	select {
	case err := <-x.writing:
		x.writing = nil
		return err == nil
	default:
		return false
	}
}

// read returns the answer to the request, and passes over interim answers and
// those to earlier requests.
func (x *exchange) read() (*http.Response, error) {
	for range skippedMost {
		response, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if x.mine(response) {
			return response, nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, skippedBytes); !errors.Is(err, io.EOF) {
			return nil, errors.New("a long answer to another request")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

func (x *exchange) mine(response *http.Response) bool {
	if x.sender.echo == "" {
		return true
	}
	got := response.Header.Get(x.sender.echo)
	return got == "" || got == x.request.Header.Get(x.sender.echo)
}

// deliver returns the response with its body held, or still on the connection.
func (x *exchange) deliver(response *http.Response) (*http.Response, error) {
	whole := response.ContentLength == 0 || response.Body == http.NoBody
	if !whole && x.sender.held > 0 {
		var err error
		if whole, err = hold(response, x.sender.held); err != nil {
			return nil, err
		}
	}
	if whole {
		x.finish(response, true)
		return response, nil
	}
	response.Body = &answerBody{Reader: response.Body, done: func(ended bool) { x.finish(response, ended) }}
	return response, nil
}

// finish ends the exchange: the connection is used again if the request was
// sent and the answer read to their ends.
func (x *exchange) finish(response *http.Response, ended bool) {
	if x.stop() && ended && x.written() {
		x.sender.release(x.request.URL.Host, x.conn, response)
		return
	}
	x.conn.seal()
	x.awaitWriter()
}
