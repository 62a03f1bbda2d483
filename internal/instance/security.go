package instance

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// ErrNoAuthority reports an authority file without a PEM certificate.
var ErrNoAuthority = errors.New("file holds no PEM certificate")

// Security holds the TLS configurations with which instances authenticate each
// other. The zero value disables TLS: connections are neither authenticated nor
// encrypted.
type Security struct {
	server, client *tls.Config
}

// LoadSecurity reads three PEM files: this instance's certificate, its key, and the
// certificate of the authority that signs the certificates of all instances. Both
// sides of a connection must present a certificate signed by the authority.
func LoadSecurity(certificate, key, authority string) (Security, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return Security{}, fmt.Errorf("load certificate: %w", err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return Security{}, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Security{}, fmt.Errorf("%s: %w", authority, ErrNoAuthority)
	}
	certificates := []tls.Certificate{pair}
	return Security{
		server: &tls.Config{MinVersion: tls.VersionTLS13, Certificates: certificates, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert},
		client: &tls.Config{MinVersion: tls.VersionTLS13, Certificates: certificates, RootCAs: pool},
	}, nil
}

// Enabled reports whether connections use TLS.
func (s Security) Enabled() bool { return s.server != nil }

func (s Security) serverCredentials() credentials.TransportCredentials {
	if s.server == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.server)
}

// clientCredentials returns credentials that check the server's certificate against
// the IP address of the connection.
func (s Security) clientCredentials() credentials.TransportCredentials {
	if s.client == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.client)
}
