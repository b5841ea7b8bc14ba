// Package cert provides TLS configurations whose certificates are reloaded when
// their files change.
package cert

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/kernel"
)

// checkInterval is the time between two checks for changed files.
const checkInterval = 2 * time.Second

// A Reloader loads a certificate, its key and the trusted authorities from PEM
// files, and loads them again when one of the files changes. The exported fields
// must not change after Start.
type Reloader struct {
	CertFile  string
	KeyFile   string
	RootsFile string
	Log       *event.Log

	current    atomic.Pointer[loaded]
	goroutines kernel.Group
}

// loaded is the content of the files at the time they were loaded.
type loaded struct {
	cert     tls.Certificate
	roots    *x509.CertPool
	modTimes [3]time.Time
}

// Start loads the files and starts to check them for changes. It returns an error
// if they can't be loaded. Configurations must not be used before it returns.
func (r *Reloader) Start(ctx context.Context) error {
	if err := r.load(); err != nil {
		return err
	}
	ctx = r.goroutines.Begin(ctx, 1)
	go r.loop(ctx)
	return nil
}

// Stop ends the checks. The last loaded certificate stays in use.
func (r *Reloader) Stop(context.Context) error {
	r.goroutines.Stop()
	return nil
}

// loop reloads the files when they change, until ctx ends. If they can't be
// loaded, the certificate loaded before stays in use.
func (r *Reloader) loop(ctx context.Context) {
	defer r.goroutines.Done()
	for delay.Sleep(ctx, checkInterval) {
		if r.modTimes() == r.current.Load().modTimes {
			continue
		}
		if err := r.load(); err != nil {
			r.Log.Emit(event.CertReloadFailed, event.Fields{Step: "certificate", Err: err})
			continue
		}
		r.Log.Emit(event.CertReloaded, event.Fields{Step: "certificate", Detail: r.CertFile})
	}
}

// modTimes returns the modification times of the files; zero for one that is
// missing.
func (r *Reloader) modTimes() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{r.CertFile, r.KeyFile, r.RootsFile} {
		if st, err := os.Stat(name); err == nil {
			times[i] = st.ModTime()
		}
	}
	return times
}

func (r *Reloader) load() error {
	l := &loaded{modTimes: r.modTimes()}
	var err error
	if l.cert, err = tls.LoadX509KeyPair(r.CertFile, r.KeyFile); err != nil {
		return fault.Wrap(err, "certificate", "")
	}
	pem, err := os.ReadFile(r.RootsFile)
	if err != nil {
		return fault.Wrap(err, "certificate", "")
	}
	l.roots = x509.NewCertPool()
	if !l.roots.AppendCertsFromPEM(pem) {
		return fault.New("certificate", "", "%s contains no PEM certificate", r.RootsFile)
	}
	r.current.Store(l)
	return nil
}

// ServerConfig returns a configuration for a server to callers, which need no
// certificate.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: r.certificate,
	}
}

func (r *Reloader) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &r.current.Load().cert, nil
}

// PeerServerConfig returns a configuration for a server to other daemons: clients
// must present a certificate that is signed by one of the authorities.
func (r *Reloader) PeerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := r.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{l.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    l.roots,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// ClientConfig returns a configuration for a client of other daemons: both sides
// present a certificate.
func (r *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// verifyServer verifies against the authorities loaded last, which
		// RootCAs could not follow.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().cert, nil
		},
	}
}

// verifyServer checks that a server's certificate is valid for its name and signed
// by one of the authorities loaded last.
func (r *Reloader) verifyServer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return fault.New("certificate", s.ServerName, "server presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         r.current.Load().roots,
		Intermediates: intermediates,
		DNSName:       s.ServerName,
	})
	return fault.Wrap(err, "certificate", s.ServerName)
}
