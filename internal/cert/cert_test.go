package cert

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// authority is a certificate authority that signs certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func certTemplate(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newAuthority(t *testing.T) *authority {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := certTemplate(1)
	c.IsCA, c.BasicConstraintsValid = true, true
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	is.NoErr(err)
	c, err = x509.ParseCertificate(der)
	is.NoErr(err)
	return &authority{cert: c, key: key}
}

// writeFiles writes a new key, its certificate and the authority's certificate to
// dir and returns a Reloader of them. The files' modification time is serial.
func (a *authority) writeFiles(t *testing.T, dir string, serial int64) *Reloader {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	der, err := x509.CreateCertificate(rand.Reader, certTemplate(serial), a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	secret, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	f := &Reloader{CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), RootsFile: filepath.Join(dir, "root")}
	for _, p := range []struct {
		name, kind string
		der        []byte
	}{{f.CertFile, "CERTIFICATE", der}, {f.KeyFile, "EC PRIVATE KEY", secret}, {f.RootsFile, "CERTIFICATE", a.cert.Raw}} {
		b := pem.EncodeToMemory(&pem.Block{Type: p.kind, Bytes: p.der})
		is.NoErr(os.WriteFile(p.name, b, 0o600))
		is.NoErr(os.Chtimes(p.name, time.Time{}, time.Unix(serial, 0)))
	}
	return f
}

// serverHandshake is the server's side of a handshake.
type serverHandshake struct {
	conn *tls.Conn
	err  chan error
}

func (h *serverHandshake) run() {
	h.err <- h.conn.Handshake()
	_ = h.conn.Close()
}

// connPair returns both ends of a TCP connection.
func connPair() (net.Conn, net.Conn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	b, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	a, err := l.Accept()
	return a, b, err
}

// handshakeErrors holds the errors of the two sides of a handshake.
type handshakeErrors struct {
	server error
	client error
}

func handshake(server, client *tls.Config) handshakeErrors {
	a, b, err := connPair()
	if err != nil {
		return handshakeErrors{server: err, client: err}
	}
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	h := &serverHandshake{conn: tls.Server(a, server), err: make(chan error, 1)}
	go h.run()
	c := tls.Client(b, client)
	clientErr := c.Handshake()
	if clientErr == nil {
		// In TLS 1.3 the client's handshake is complete before the server
		// rejects the client's certificate.
		_, _ = c.Read(make([]byte, 1))
	}
	_ = b.Close()
	serverErr := <-h.err
	return handshakeErrors{server: serverErr, client: clientErr}
}

func TestPeersRequireCertificates(t *testing.T) {
	is := is.New(t)
	trusted, untrusted := newAuthority(t), newAuthority(t)
	server, client := trusted.writeFiles(t, t.TempDir(), 2), trusted.writeFiles(t, t.TempDir(), 3)
	stranger := untrusted.writeFiles(t, t.TempDir(), 4)
	for _, r := range []*Reloader{server, client, stranger} {
		is.NoErr(r.Start(t.Context()))
		defer r.Stop(context.Background())
	}
	is.Equal(handshake(server.PeerServerConfig(), client.ClientConfig()), handshakeErrors{})
	is.True(handshake(server.PeerServerConfig(), &tls.Config{InsecureSkipVerify: true}).server != nil) // a client must present a certificate
	is.True(handshake(stranger.PeerServerConfig(), client.ClientConfig()).client != nil)               // a server with another authority is rejected
	is.Equal(handshake(server.ServerConfig(), client.ClientConfig()), handshakeErrors{})               // callers need no certificate
}

func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ca, dir := newAuthority(t), t.TempDir()
		r := ca.writeFiles(t, dir, 2)
		is.NoErr(r.Start(t.Context()))
		defer r.Stop(context.Background())
		serial := func() int64 {
			c, err := r.certificate(nil)
			is.NoErr(err)
			return c.Leaf.SerialNumber.Int64()
		}
		is.Equal(serial(), int64(2))
		ca.writeFiles(t, dir, 3)
		time.Sleep(2 * checkInterval)
		is.Equal(serial(), int64(3)) // the new certificate is in use
		is.NoErr(os.WriteFile(r.CertFile, []byte("broken"), 0o600))
		time.Sleep(2 * checkInterval)
		is.Equal(serial(), int64(3)) // the last valid certificate stays in use
	})
}
