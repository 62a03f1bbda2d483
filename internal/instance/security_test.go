package instance_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// authority signs the certificates of instances and writes all files to dir.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.key = key
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// security returns the security of an instance with a certificate for the IP
// address.
func (a *authority) security(ip string) instance.Security {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	s, err := instance.LoadSecurity(a.write("cert.pem", "CERTIFICATE", der), a.write("key.pem", "PRIVATE KEY", private), filepath.Join(a.dir, "authority.pem"))
	assert.NilError(a.t, err)
	return s
}

// probeHandler implements only Probe.
type probeHandler struct{ instance.Handler }

func (probeHandler) Probe(context.Context, *instance.ProbeRequest) (*instance.ProbeResponse, error) {
	return &instance.ProbeResponse{Formed: true}, nil
}

func TestSecurity(t *testing.T) {
	ourAuthority, otherAuthority := newAuthority(t), newAuthority(t)
	server := ourAuthority.security("127.0.0.1")
	cases := []struct {
		name           string
		server, client instance.Security
		wantOK         bool
	}{
		{"same authority", server, ourAuthority.security("127.0.0.2"), true},
		{"another authority", server, otherAuthority.security("127.0.0.2"), false},
		{"client without certificate", server, instance.Security{}, false},
		{"server certificate for another address", ourAuthority.security("127.0.0.9"), ourAuthority.security("127.0.0.2"), false},
		{"no TLS on either side", instance.Security{}, instance.Security{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(instance.Serve(l, probeHandler{}, c.server, &instance.Traffic{}))
			pool, stop := instance.NewPool(context.Background(), c.client, &instance.Traffic{})
			t.Cleanup(stop)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err = instance.Call[instance.ProbeRequest, instance.ProbeResponse](ctx, pool, l.Addr().String(), "Probe", &instance.ProbeRequest{})
			assert.Equal(t, err == nil, c.wantOK, "%v", err)
			assert.Assert(t, err == nil || errors.Is(err, instance.ErrUnreachable), "%v", err)
		})
	}
}
