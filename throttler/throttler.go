// Package throttler limits the bandwidth between two ends of a test, so that large
// messages take as long as on a thin link.
package throttler

import (
	"fmt"
	"io"
	"strings"

	"github.com/Shopify/toxiproxy"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
)

// bytesPerKilobyte is how many bytes toxiproxy counts as one of its kilobytes.
const bytesPerKilobyte = 1000

// Link forwards connections to an address at a limited rate.
type Link struct{ proxy *toxiproxy.Proxy }

// New starts a link to host:port. Each connection passes on bytesPerSecond from there.
func New(address string, bytesPerSecond int64) (*Link, error) {
	logrus.SetOutput(io.Discard)
	l := &Link{proxy: toxiproxy.NewProxy()}
	l.proxy.Name, l.proxy.Listen, l.proxy.Upstream = "link", "127.0.0.1:0", address
	if err := l.proxy.Start(); err != nil {
		return nil, errors.Wrap(err, "start a thin link")
	}
	return l, l.limit(bytesPerSecond)
}

// limit sets the rate of all later connections.
func (l *Link) limit(bytesPerSecond int64) error {
	toxic := fmt.Sprintf(`{"name":"rate","type":"bandwidth","stream":"downstream","attributes":{"rate":%d}}`, bytesPerSecond/bytesPerKilobyte)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		l.proxy.Stop()
		return errors.Wrap(err, "limit a link")
	}
	return nil
}

// Address returns host:port of the link's near end.
func (l *Link) Address() string { return l.proxy.Listen }

// Close closes all connections.
func (l *Link) Close() { l.proxy.Stop() }
