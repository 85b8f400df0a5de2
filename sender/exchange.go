package sender

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// exchange is a request and its response on a connection.
type exchange struct {
	sender    *Sender
	conn      *conn
	request   *http.Request
	stopAbort func() bool
	interrupt func() // See WithInterrupt.
	// firstOnConn reports that the connection has carried no other request: no response
	// to an earlier one can arrive.
	firstOnConn bool
	identified  bool       // The response carries the ID of the request.
	extraBody   bool       // The worker may send a body that the response cannot have.
	writeDone   chan error // Receives the result of a concurrent write; nil if there is none.
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

// write sends the request. A long body is written concurrently with reading the
// response.
func (x *exchange) write() error {
	if x.request.ContentLength >= 0 && x.request.ContentLength <= maxInlineBytes {
		return x.flush()
	}
	x.writeDone = make(chan error, 1)
	go func() { x.writeDone <- x.flush() }()
	return nil
}

func (x *exchange) flush() error {
	if err := x.request.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// awaitWriter waits for a concurrent write to end. The connection has to be
// closed already.
func (x *exchange) awaitWriter() {
	if x.writeDone != nil {
		<-x.writeDone
	}
}

// isWritten reports whether the whole request has been written.
func (x *exchange) isWritten() bool {
	if x.writeDone == nil {
		return true
	}
	select {
	case err := <-x.writeDone:
		x.writeDone = nil
		return err == nil
	default:
		return false
	}
}

// read returns the response to the request. It skips interim responses and responses to
// earlier requests. The error is a *StatusError if the worker may not send the status, and a
// *FieldError if it may not send a header field.
func (x *exchange) read() (*http.Response, error) {
	for range maxSkippedResponses {
		response, err := x.conn.readHead(x.request)
		if err != nil {
			return nil, err
		}
		switch kind := kindOfStatus(response).(type) {
		case interimStatus:
			continue
		case invalidStatus:
			return nil, &StatusError{status: response.Status}
		case finalStatus:
			x.extraBody = kind.mayHaveExtraBody
		}
		if x.isResponseToRequest(response) {
			if response.StatusCode >= minErrorStatus {
				x.conn.rememberError(x.requestID())
			}
			return response, nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
			return nil, errors.New("response to another request is too long to skip")
		}
	}
	return nil, errors.New("too many responses before the one to this request")
}

// isResponseToRequest reports whether the response belongs to the request, and records
// whether it is identified. A response without an ID may be one to an earlier request
// or health check that the worker has sent once more, unless there was none.
func (x *exchange) isResponseToRequest(response *http.Response) bool {
	if x.sender.echoHeader == "" {
		x.identified = true
		return true
	}
	id := x.requestID()
	got := response.Header.Values(x.sender.echoHeader)
	if len(got) == 0 || (len(got) == 1 && got[0] == "") {
		return id == "" || x.firstOnConn
	}
	x.identified = len(got) == 1 && got[0] == id
	return x.identified
}

func (x *exchange) requestID() string { return x.sender.requestID(x.request) }

// deliver returns the response with its body buffered, or streamed from the
// connection if it is long or buffering is disabled.
func (x *exchange) deliver(response *http.Response) (*http.Response, error) {
	complete := response.ContentLength == 0 || response.Body == http.NoBody
	if !complete && x.sender.maxBuffered > 0 {
		var err error
		if complete, err = bufferBody(response, x.sender.maxBuffered); err != nil {
			return nil, err
		}
	}
	if complete {
		x.finish(response, true)
		return response, nil
	}
	response.Body = &streamedBody{Reader: response.Body, onClose: func(atEOF bool) { x.finish(response, atEOF) }}
	return response, nil
}

// isReusable reports whether the connection can carry another request after this one
// as far as the response tells: a worker that leaves out the ID of a request cannot
// be told from one that repeats a response. Nor can the start of the next response be told
// from a body that the last one cannot have.
func (x *exchange) isReusable() bool {
	return !x.extraBody && (x.identified || x.requestID() == "")
}

// finish ends the exchange. The connection is reused if the whole request was
// written and the whole response was read.
func (x *exchange) finish(response *http.Response, atEOF bool) {
	if x.stopAbort() && atEOF && x.isWritten() && x.isReusable() {
		x.sender.release(x.request.URL.Host, x.conn, response)
		return
	}
	x.conn.abort()
	if !atEOF {
		x.interrupt()
	}
	x.awaitWriter()
}
