// Package bencher measures the product against baselines, with processes on
// loopback, and writes results as JSON lines, tables and report pages.
package bencher

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Passthrough is a bare relay to one address, the baseline of overhead: it
// copies requests and answers and decides nothing.
type Passthrough struct {
	to     string
	client *http.Transport
}

// NewPassthrough returns a relay to host:port.
func NewPassthrough(to string) *Passthrough {
	return &Passthrough{to: to, client: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// ServeHTTP implements http.Handler.
func (p *Passthrough) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", p.to, ""
	response, err := p.client.RoundTrip(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	io.Copy(w, response.Body) //nolint:errcheck // A baseline: a broken answer is counted by the caller.
}

// Serve relays on the address until the context ends. It calls ready with the
// bound address.
func (p *Passthrough) Serve(ctx context.Context, address string, ready func(string)) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	ready(socket.Addr().String())
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "relay")
	}
	return nil
}
