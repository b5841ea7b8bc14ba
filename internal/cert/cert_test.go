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

// authority signs certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func template(serial int64) *x509.Certificate {
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
	c := template(1)
	c.IsCA, c.BasicConstraintsValid = true, true
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	is.NoErr(err)
	c, err = x509.ParseCertificate(der)
	is.NoErr(err)
	return &authority{cert: c, key: key}
}

// files writes a new certificate and returns its files.
func (a *authority) files(t *testing.T, dir string, serial int64) *Files {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	der, err := x509.CreateCertificate(rand.Reader, template(serial), a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	secret, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	f := &Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Root: filepath.Join(dir, "root")}
	for _, p := range []struct {
		name, kind string
		der        []byte
	}{{f.Cert, "CERTIFICATE", der}, {f.Key, "EC PRIVATE KEY", secret}, {f.Root, "CERTIFICATE", a.cert.Raw}} {
		b := pem.EncodeToMemory(&pem.Block{Type: p.kind, Bytes: p.der})
		is.NoErr(os.WriteFile(p.name, b, 0o600))
		is.NoErr(os.Chtimes(p.name, time.Time{}, time.Unix(serial, 0)))
	}
	return f
}

// handshaker is the server's side of a handshake.
type handshaker struct {
	conn *tls.Conn
	err  chan error
}

func (h *handshaker) run() {
	h.err <- h.conn.Handshake()
	_ = h.conn.Close()
}

// ends returns both ends of a connection.
func ends() (net.Conn, net.Conn, error) {
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

// outcome is what the two sides of a handshake saw.
type outcome struct {
	server error
	client error
}

func handshake(server, client *tls.Config) outcome {
	a, b, err := ends()
	if err != nil {
		return outcome{server: err, client: err}
	}
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	h := &handshaker{conn: tls.Server(a, server), err: make(chan error, 1)}
	go h.run()
	c := tls.Client(b, client)
	clientErr := c.Handshake()
	if clientErr == nil {
		// The server refuses a client's certificate after the client is done.
		_, _ = c.Read(make([]byte, 1))
	}
	_ = b.Close()
	serverErr := <-h.err
	return outcome{server: serverErr, client: clientErr}
}

func TestPeersShowCertificates(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	one, two := ours.files(t, t.TempDir(), 2), ours.files(t, t.TempDir(), 3)
	stranger := theirs.files(t, t.TempDir(), 4)
	for _, f := range []*Files{one, two, stranger} {
		is.NoErr(f.Start(t.Context()))
		defer f.Stop(context.Background())
	}
	is.Equal(handshake(one.Peer(), two.Client()), outcome{})
	is.True(handshake(one.Peer(), &tls.Config{InsecureSkipVerify: true}).server != nil) // a client must show a certificate
	is.True(handshake(stranger.Peer(), two.Client()).client != nil)                     // a server of another authority is refused
	is.Equal(handshake(one.Server(), two.Client()), outcome{})                          // callers need none
}

func TestFilesAreReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ours, dir := newAuthority(t), t.TempDir()
		f := ours.files(t, dir, 2)
		is.NoErr(f.Start(t.Context()))
		defer f.Stop(context.Background())
		serial := func() int64 {
			c, err := f.certificate(nil)
			is.NoErr(err)
			return c.Leaf.SerialNumber.Int64()
		}
		is.Equal(serial(), int64(2))
		ours.files(t, dir, 3)
		time.Sleep(2 * checkEvery)
		is.Equal(serial(), int64(3)) // the new certificate
		is.NoErr(os.WriteFile(f.Cert, []byte("broken"), 0o600))
		time.Sleep(2 * checkEvery)
		is.Equal(serial(), int64(3)) // the last good one stays
	})
}
