package exchanger

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"burdocklane/parser"

	"github.com/go-faster/errors"
)

// PeerTLS provides mutual TLS between peers. Certificate, key and CA files are
// read again for each new connection, so that they can be rotated without a
// restart.
type PeerTLS struct{ files parser.PeerTLS }

// NewPeerTLS checks that the files can be read.
func NewPeerTLS(files parser.PeerTLS) (*PeerTLS, error) {
	s := &PeerTLS{files: files}
	if !s.enabled() {
		return s, nil
	}
	if _, err := s.certificate(); err != nil {
		return nil, err
	}
	if _, err := s.authorities(); err != nil {
		return nil, err
	}
	return s, nil
}

// Scheme returns the scheme of the peers' URLs.
func (s *PeerTLS) Scheme() string {
	if s.enabled() {
		return "https"
	}
	return "http"
}

func (s *PeerTLS) enabled() bool { return s.files.Enabled() }

func (s *PeerTLS) certificate() (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(s.files.CertFile(), s.files.KeyFile())
	if err != nil {
		return nil, errors.Wrap(err, "peer-tls")
	}
	return &pair, nil
}

func (s *PeerTLS) authorities() (*x509.CertPool, error) {
	data, err := os.ReadFile(s.files.CAFile())
	if err != nil {
		return nil, errors.Wrap(err, "peer-tls.authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("peer-tls.authority: %s contains no PEM certificate", s.files.CAFile())
	}
	return pool, nil
}

// serverConfig returns a TLS configuration that requires a client certificate
// signed by the configured authority.
func (s *PeerTLS) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, err := s.certificate()
			if err != nil {
				return nil, err
			}
			pool, err := s.authorities()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
				NextProtos:   []string{"h2"},
			}, nil
		},
	}
}

// clientConfig returns a TLS configuration that verifies the peer against the
// configured authority. Peers are dialed by IP address, so their certificates
// must contain it.
func (s *PeerTLS) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.certificate()
		},
		InsecureSkipVerify: true, //nolint:gosec // verify does this, with the authorities read anew from the file.
		VerifyConnection:   s.verify,
	}
}

func (s *PeerTLS) verify(state tls.ConnectionState) error {
	pool, err := s.authorities()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer-tls: peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, DNSName: state.ServerName,
	})
	if err != nil {
		return errors.Wrap(err, "peer-tls")
	}
	return nil
}
