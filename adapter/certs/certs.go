// Package certs provides TLS configurations whose certificates are read from
// files and reloaded without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files holds the paths of the PEM files of one VM.
type Files struct {
	Certificate string
	Key         string
	// Authority is the certificate of the authority that signs the certificates
	// of all VMs and of the clients of operators.
	Authority string
}

// reloadInterval is the minimum time between two checks of the modification
// times of the files.
const reloadInterval = time.Second

// Loader holds the current certificate and authority, and reloads them when their
// files change. It is safe for concurrent use.
type Loader struct {
	files Files
	now   func() time.Time

	mu           sync.Mutex
	lastChecked  time.Time
	lastModified time.Time
	pair         *tls.Certificate
	pool         *x509.CertPool
}

// NewLoader returns a loader. It reads the files, so that an invalid setting is
// an error at start. now returns the current time.
func NewLoader(files Files, now func() time.Time) (*Loader, error) {
	l := &Loader{files: files, now: now}
	if err := l.load(); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Loader) load() error {
	pair, err := tls.LoadX509KeyPair(l.files.Certificate, l.files.Key)
	if err != nil {
		return fmt.Errorf("certs: load %s and %s (check that they are a matching PEM pair): %w", l.files.Certificate, l.files.Key, err)
	}
	pem, err := os.ReadFile(l.files.Authority)
	if err != nil {
		return fmt.Errorf("certs: load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("certs: %s holds no PEM certificate; set it to the authority's certificate", l.files.Authority)
	}
	l.pair, l.pool = &pair, pool
	l.lastModified = l.latestModTime()
	return nil
}

// latestModTime returns the latest modification time of the files.
func (l *Loader) latestModTime() time.Time {
	var latest time.Time
	for _, name := range []string{l.files.Certificate, l.files.Key, l.files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the latest valid certificate and authority. When the files are
// replaced by invalid ones, the previous certificate and authority stay in use.
func (l *Loader) current() (*tls.Certificate, *x509.CertPool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.lastChecked) >= reloadInterval {
		l.lastChecked = now
		if l.latestModTime().After(l.lastModified) {
			// An error leaves pair and pool unchanged; the next check retries.
			_ = l.load()
		}
	}
	return l.pair, l.pool
}

// Server returns a configuration that requires a client certificate signed by the
// authority.
func (l *Loader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := l.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client returns a configuration that presents the VM's certificate and
// accepts servers whose certificate is signed by the authority. Peers are
// addressed by IP addresses that change when VMs are replaced, so the chain is
// verified without a host name.
func (l *Loader) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := l.current()
			return pair, nil
		},
		InsecureSkipVerify: true, // replaced by VerifyConnection below
		VerifyConnection:   l.verify,
	}
}

// verify checks that the certificate of the server is signed by the authority.
func (l *Loader) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("certs: the server sent no certificate; set its certificate files")
	}
	_, pool := l.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: intermediates}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("certs: the server's certificate is not signed by the authority (check --tls-ca on both VMs): %w", err)
	}
	return nil
}
