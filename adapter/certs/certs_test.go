package certs_test

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/certs"
	"github.com/mangoknot/mangoknot/adapter/certs/certtest"
)

// Guards against accepting clients without a certificate signed by the authority,
// and against a replaced certificate that is used only after a restart.
func TestMutualTLSAndReload(t *testing.T) {
	authority := certtest.NewAuthority(t)
	folder := t.TempDir()
	now := time.Now()
	files := authority.Issue(t, folder, "vm-1")
	loader, err := certs.NewLoader(files, func() time.Time { return now })
	must.NoError(t, err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(r.TLS.PeerCertificates[0].Subject.CommonName))
	}))
	server.TLS = loader.Server()
	server.StartTLS()
	t.Cleanup(server.Close)
	get := func(config *tls.Config) (string, error) {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
		response, err := client.Get(server.URL)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		return response.TLS.PeerCertificates[0].Subject.CommonName, nil
	}
	name, err := get(loader.Client())
	must.NoError(t, err)
	must.Eq(t, "vm-1", name)

	_, err = get(&tls.Config{InsecureSkipVerify: true})
	must.Error(t, err, must.Sprint("a client without a certificate was served"))
	stranger := certtest.NewAuthority(t).Issue(t, t.TempDir(), "vm-1")
	strangerLoader, err := certs.NewLoader(stranger, time.Now)
	must.NoError(t, err)
	_, err = get(strangerLoader.Client())
	must.Error(t, err, must.Sprint("a client of another authority was served"))

	replaced := authority.Issue(t, t.TempDir(), "vm-2")
	for from, to := range map[string]string{replaced.Certificate: files.Certificate, replaced.Key: files.Key} {
		data, err := os.ReadFile(from)
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(to, data, 0o600))
		later := time.Now().Add(time.Minute)
		must.NoError(t, os.Chtimes(to, later, later))
	}
	now = now.Add(time.Hour)
	name, err = get(loader.Client())
	must.NoError(t, err)
	must.Eq(t, "vm-2", name)
	_, err = certs.NewLoader(certs.Files{Certificate: filepath.Join(folder, "absent")}, time.Now)
	must.Error(t, err)
}
