package exchanger_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/assembler"
	"burdocklane/descriptor"
	"burdocklane/exchanger"
	"burdocklane/messenger"
	"burdocklane/parser"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/storer"
	"burdocklane/watcher"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// authority is a test CA that signs certificates for instances on 127.0.0.1.
type authority struct {
	c           *qt.C
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(c *qt.C) *authority {
	a := &authority{c: c, dir: c.TempDir()}
	a.key = newKey(c)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	c.Assert(err, qt.IsNil)
	a.certificate, err = x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func newKey(c *qt.C) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	return key
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	a.c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
	return path
}

// peerTLS writes a new instance certificate and returns the TLS settings that
// use it and trust this authority.
func (a *authority) peerTLS() *exchanger.PeerTLS {
	key := newKey(a.c)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	a.c.Assert(err, qt.IsNil)
	private, err := x509.MarshalECPrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	settings := fmt.Sprintf(`{"instance": "a", "region": "r", "availability-zone": "z",
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		"platform": {"store": "http://127.0.0.1:1", "list": "http://127.0.0.1:1"},
		"peer-tls": {"certificate": %q, "key": %q, "authority": %q}}`,
		a.write("instance.pem", "CERTIFICATE", der), a.write("instance.key", "EC PRIVATE KEY", private), filepath.Join(a.dir, "authority.pem"))
	parsed, err := parser.ParseSettings("test", []byte(settings))
	a.c.Assert(err, qt.IsNil)
	s, err := exchanger.NewPeerTLS(parsed.PeerTLS())
	a.c.Assert(err, qt.IsNil)
	return s
}

// newExchanger starts an Exchanger with its own publisher and store.
func newExchanger(c *qt.C, peerTLS *exchanger.PeerTLS) (*exchanger.Exchanger, *publisher.Publisher, *storer.Memory) {
	self := registrar.NewInstance("a", "127.0.0.1:0", "", registrar.NewLocality("r", "z"), false)
	p := publisher.New(self)
	store := storer.NewMemory()
	a := assembler.New(assembler.NewKeys("/t/"))
	w := watcher.New(store, a, p, zerolog.Nop())
	x, err := exchanger.New(self, peerTLS, a, w, p, exchanger.LoanHandlers{}, zerolog.Nop())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		x.Close()
		w.Close()
	})
	return x, p, store
}

// configurationPairs returns the pairs of a valid configuration at revision 100.
func configurationPairs(c *qt.C) []*messenger.Pair {
	store := storer.NewMemory()
	class := descriptor.NewClass("c", descriptor.WithPaths("/a"),
		descriptor.WithTarget(descriptor.NewTarget(time.Second, 0.9)), descriptor.WithDeadline(time.Minute))
	service := descriptor.NewService("s", []descriptor.Class{class}, nil)
	d := descriptor.NewDeployment("d", descriptor.NewMeasurementBudget(1, 0.1), []descriptor.Service{service})
	keys := assembler.NewKeys("/t/")
	plan, err := assembler.NewPlan(keys, store.Range(""), d, descriptor.NewChange("id", "me", time.Now()))
	c.Assert(err, qt.IsNil)
	c.Assert(store.Commit(plan.Txn()).Succeeded(), qt.IsTrue)
	var pairs []*messenger.Pair
	for _, p := range store.Range(keys.ConfigPrefix()).Pairs() {
		pairs = append(pairs, &messenger.Pair{Key: p.Key(), Value: p.Value(), Revision: 100})
	}
	return pairs
}

// Guards against a server that accepts a client without a trusted certificate.
// The client skips the verification of the server, so only the server's check
// can fail the exchange.
func TestClientWithoutTrustedCertificateIsRejected(t *testing.T) {
	tests := []struct {
		name         string
		certificates func(c *qt.C) []tls.Certificate
	}{
		{"without a certificate", func(*qt.C) []tls.Certificate { return nil }},
		{"with a certificate of another authority", func(c *qt.C) []tls.Certificate {
			other := newAuthority(c)
			other.peerTLS()
			pair, err := tls.LoadX509KeyPair(filepath.Join(other.dir, "instance.pem"), filepath.Join(other.dir, "instance.key"))
			c.Assert(err, qt.IsNil)
			return []tls.Certificate{pair}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x, p, _ := newExchanger(c, newAuthority(c).peerTLS())
			transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{
				InsecureSkipVerify: true, Certificates: test.certificates(c),
			}}
			defer transport.CloseIdleConnections()
			stub := messenger.NewPeersProtobufClient("https://"+x.Address(), &http.Client{Transport: transport, Timeout: 5 * time.Second})
			_, err := stub.Exchange(context.Background(), &messenger.ExchangeRequest{Instance: "b", Pairs: configurationPairs(c)})
			c.Assert(err, qt.Not(qt.IsNil))
			c.Assert(p.Current().Ready(), qt.IsFalse)
		})
	}
}

func TestOnlyTrustedPeersExchangeConfigurations(t *testing.T) {
	tests := []struct {
		name     string
		peer     func(ours, others *exchanger.PeerTLS) *exchanger.PeerTLS
		accepted bool
	}{
		{"a certificate of our authority", func(ours, _ *exchanger.PeerTLS) *exchanger.PeerTLS { return ours }, true},
		{"a certificate of another authority", func(_, others *exchanger.PeerTLS) *exchanger.PeerTLS { return others }, false},
		{"plain text", func(_, _ *exchanger.PeerTLS) *exchanger.PeerTLS {
			plain, _ := exchanger.NewPeerTLS(parser.PeerTLS{})
			return plain
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ours, others := newAuthority(c).peerTLS(), newAuthority(c).peerTLS()
			x, p, _ := newExchanger(c, ours)
			peer := test.peer(ours, others)
			var bytes atomic.Int64
			client := exchanger.NewClient(peer, &bytes)
			defer client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			stub := messenger.NewPeersProtobufClient(peer.Scheme()+"://"+x.Address(), client)
			reply, err := stub.Exchange(ctx, &messenger.ExchangeRequest{Instance: "b", Pairs: configurationPairs(c)})
			c.Assert(err == nil, qt.Equals, test.accepted, qt.Commentf("%v", err))
			c.Assert(p.Current().Ready(), qt.Equals, test.accepted)
			c.Assert(reply.GetRevision() == 100, qt.Equals, test.accepted)
		})
	}
}
