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

// ErrNoAuthority reports an authority file without a certificate.
var ErrNoAuthority = errors.New("file holds no PEM certificate")

// Security is how instances prove themselves to each other. The zero value
// neither proves nor encrypts anything.
type Security struct {
	server, client *tls.Config
}

// LoadSecurity reads PEM files: this instance's certificate and key, and the
// authority that signed all instances' certificates. Both sides of a connection
// must show one of them.
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

// Enabled reports whether connections are encrypted and proved.
func (s Security) Enabled() bool { return s.server != nil }

func (s Security) serverCredentials() credentials.TransportCredentials {
	if s.server == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.server)
}

// clientCredentials checks the server's certificate against the IP address that
// it is reached at.
func (s Security) clientCredentials() credentials.TransportCredentials {
	if s.client == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.client)
}
