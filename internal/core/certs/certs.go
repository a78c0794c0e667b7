// Package certs provides TLS settings from certificate files. The files are
// read again when they change, so that certificates are replaced without a
// restart; a new file that cannot be used leaves the old one in force.
//
// # Usage
//
//	f := &certs.Files{Cert: "host.pem", Key: "host-key.pem", CA: "cell-ca.pem", Clock: clock}
//	err := f.Load()
//	listener = tls.NewListener(listener, f.Server(true)) // mutual TLS
//	conn = tls.Client(conn, f.Client())
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// ErrFiles reports certificate files that cannot be used.
var ErrFiles = merry.Sentinel("certificate files cannot be used")

// checkEvery is the shortest time between two looks at the files.
const checkEvery = 10 * time.Second

// Files names the certificate files of a host. Set the fields before Load.
type Files struct {
	Cert string
	Key  string
	// CA signs the certificates of the other side.
	CA    string
	Clock hoist.Clock

	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	changed time.Time
	checked time.Time
}

// Load reads the files.
func (f *Files) Load() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load()
}

func (f *Files) load() error {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return hoist.ConvertError(ErrFiles, err)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return hoist.ConvertError(ErrFiles, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return merry.Wrap(ErrFiles, merry.AppendMessagef("%s has no certificate", f.CA))
	}
	f.cert, f.pool = &cert, pool
	f.changed = f.modified()
	f.checked = f.Clock.Now()
	return nil
}

// modified returns the latest modification time of the files.
func (f *Files) modified() time.Time {
	var latest time.Time
	for _, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the pool, read again if the files have
// changed.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if now.Sub(f.checked) >= checkEvery {
		f.checked = now
		if !f.modified().Equal(f.changed) {
			// Files that are being replaced may not fit together yet; the next
			// look tries again.
			_ = f.load()
		}
	}
	return f.cert, f.pool
}

// Server returns the settings of a listener. With mutual, clients need a
// certificate of the CA.
func (f *Files) Server(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := f.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if mutual {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}
}

// Client returns the settings of a connection to another host, which presents
// this host's certificate.
func (f *Files) Client() *tls.Config {
	cert, pool := f.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, RootCAs: pool}
}
