package certs_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/core/certs"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// writeCert writes a new self-signed certificate with the given serial number, and its
// key. The certificate is also the CA.
func writeCert(t *testing.T, f *certs.Files, serial int64) {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	is.NoErr(os.WriteFile(f.Cert, cert, 0o600))
	is.NoErr(os.WriteFile(f.CA, cert, 0o600))
	is.NoErr(os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	modified := time.Unix(1_000_000+serial, 0)
	for _, name := range []string{f.Cert, f.Key, f.CA} {
		is.NoErr(os.Chtimes(name, modified, modified))
	}
}

// serverSerial makes a TLS handshake and returns the serial number of the server's
// certificate.
func serverSerial(server, client *tls.Config) (int64, error) {
	serverConn, clientConn := net.Pipe()
	defer serverConn.Close()
	defer clientConn.Close()
	failed := make(chan error, 1)
	go func() { failed <- tls.Server(serverConn, server).Handshake() }()
	client.ServerName = "127.0.0.1"
	conn := tls.Client(clientConn, client)
	if err := conn.Handshake(); err != nil {
		return 0, err
	}
	// In TLS 1.3 the client learns that it was rejected only when it reads.
	go func() { _, _ = conn.Read(make([]byte, 1)) }()
	if err := <-failed; err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// TestClientCertsAndReload guards against clients without a certificate that are accepted, and against
// certificates that are replaced only by a restart.
func TestClientCertsAndReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	now := &fakeClock{time.Now()}
	f := &certs.Files{Cert: filepath.Join(dir, "c"), Key: filepath.Join(dir, "k"), CA: filepath.Join(dir, "a"), Clock: now}
	is.True(errors.Is(f.Load(), certs.ErrFiles)) // the files are missing
	writeCert(t, f, 1)
	is.NoErr(f.Load())
	serial, err := serverSerial(f.ServerConfig(true), f.ClientConfig())
	is.NoErr(err)
	is.Equal(serial, int64(1))
	_, err = serverSerial(f.ServerConfig(true), &tls.Config{RootCAs: f.ClientConfig().RootCAs})
	is.True(err != nil) // a client without a certificate is refused
	writeCert(t, f, 2)
	now.now = now.now.Add(time.Minute)
	serial, err = serverSerial(f.ServerConfig(true), f.ClientConfig())
	is.NoErr(err)
	is.Equal(serial, int64(2)) // the new certificate is used
	is.NoErr(os.WriteFile(f.Cert, []byte("broken"), 0o600))
	now.now = now.now.Add(time.Minute)
	serial, err = serverSerial(f.ServerConfig(true), f.ClientConfig())
	is.NoErr(err)
	is.Equal(serial, int64(2)) // a broken file leaves the old one in force
}
