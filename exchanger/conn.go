package exchanger

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"burdocklane/counter"
)

const (
	peerDialTimeout = time.Second
	peerIdleTimeout = time.Minute
	// maxMessageBytes bounds a message of a peer, which may hold the whole
	// configuration.
	maxMessageBytes = 16 << 20
)

// countedListener adds the bytes of its connections to a counter.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counter.Wrap(conn, l.bytes), nil
}

// NewClient returns an HTTP/2 client that adds its traffic to bytes. HTTP/2
// compresses headers, which would otherwise outweigh a short message.
func NewClient(peerTLS *PeerTLS, bytes *atomic.Int64) *http.Client {
	protocols := &http.Protocols{}
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	transport := &http.Transport{
		Protocols:       protocols,
		IdleConnTimeout: peerIdleTimeout,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return counter.Wrap(conn, bytes), nil
		},
	}
	if peerTLS.enabled() {
		protocols.SetHTTP2(true)
		transport.TLSClientConfig = peerTLS.clientConfig()
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{Transport: boundedTransport{transport}}
}

// boundedTransport bounds the bodies of responses: twirp's client reads them to their
// end. Reading more fails with an *http.MaxBytesError.
type boundedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxMessageBytes)
	return response, nil
}
