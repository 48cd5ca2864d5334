// Package certtest creates certificates for tests.
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/certs"
)

// lifetime is the time for which certificates are valid before and after the time
// of the test.
const lifetime = 24 * time.Hour

// Authority is a certificate authority for tests.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// NewAuthority returns a self-signed authority.
func NewAuthority(t *testing.T) *Authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := template("authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return &Authority{key: key, certificate: certificate}
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-lifetime),
		NotAfter:     time.Now().Add(lifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

// Issue writes a certificate for the name, its key and the certificate of the
// authority to the folder, and returns their paths.
func (a *Authority) Issue(t *testing.T, folder, name string) certs.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template(name), a.certificate, &key.PublicKey, a.key)
	must.NoError(t, err)
	encoded, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	files := certs.Files{
		Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), Authority: filepath.Join(folder, "ca.pem"),
	}
	write(t, files.Certificate, "CERTIFICATE", der)
	write(t, files.Key, "EC PRIVATE KEY", encoded)
	write(t, files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

// write writes one PEM file.
func write(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	must.NoError(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}
