// Package bencher runs the benchmarks and the soak test. It starts processes on
// loopback, compares burdocklane with baselines and writes the results as JSON
// lines, tables and HTML reports.
package bencher

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Passthrough is a reverse proxy to one address without any routing. It is the
// baseline of the overhead experiment.
type Passthrough struct {
	upstream  string
	transport *http.Transport
}

// NewPassthrough returns a proxy to the given host:port.
func NewPassthrough(upstream string) *Passthrough {
	return &Passthrough{upstream: upstream, transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// ServeHTTP implements http.Handler.
func (p *Passthrough) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", p.upstream, ""
	response, err := p.transport.RoundTrip(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	io.Copy(w, response.Body) //nolint:errcheck // The load generator counts truncated responses.
}

// Serve listens on the address until the context ends. It calls ready with the
// bound address.
func (p *Passthrough) Serve(ctx context.Context, address string, ready func(string)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	ready(listener.Addr().String())
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "relay")
	}
	return nil
}
