// Package certs provides TLS configurations from certificate files. Files that change
// are reloaded, so that certificates are replaced without a restart. If the new files
// cannot be used, the previous certificates stay in use.
//
// # Usage
//
//	f := &certs.Files{Cert: "host.pem", Key: "host-key.pem", CA: "cell-ca.pem", Clock: clock}
//	err := f.Load()
//	listener = tls.NewListener(listener, f.ServerConfig(true)) // mutual TLS
//	conn = tls.Client(conn, f.ClientConfig())
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

// checkInterval is the shortest time between two checks for changed files.
const checkInterval = 10 * time.Second

// Files names the certificate files of a host. Set the fields before Load.
type Files struct {
	Cert string
	Key  string
	// CA is the file of the authorities that sign the certificates of the other side.
	CA    string
	Clock hoist.Clock

	mu        sync.Mutex
	cert      *tls.Certificate
	pool      *x509.CertPool
	modTime   time.Time
	checkedAt time.Time
}

// Load reads the files. It returns ErrFiles if they cannot be used.
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
		return merry.Wrap(ErrFiles, merry.AppendMessagef("%s contains no certificate", f.CA))
	}
	f.cert, f.pool = &cert, pool
	f.modTime = f.latestModTime()
	f.checkedAt = f.Clock.Now()
	return nil
}

// latestModTime returns the latest modification time of the files.
func (f *Files) latestModTime() time.Time {
	var latest time.Time
	for _, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the pool of authorities. It reloads the files if
// they have changed.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if now.Sub(f.checkedAt) >= checkInterval {
		f.checkedAt = now
		if !f.latestModTime().Equal(f.modTime) {
			// Files that are being replaced may not match yet; the next check
			// tries again.
			_ = f.load()
		}
	}
	return f.cert, f.pool
}

// ServerConfig returns the TLS configuration of a listener. With requireClientCert,
// clients must present a certificate that the CA has signed.
func (f *Files) ServerConfig(requireClientCert bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := f.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if requireClientCert {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a connection to another host, which
// presents this host's certificate.
func (f *Files) ClientConfig() *tls.Config {
	cert, pool := f.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, RootCAs: pool}
}
