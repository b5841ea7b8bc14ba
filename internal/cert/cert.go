// Package cert holds certificates that are read again when their files change.
package cert

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/kern"
)

// checkEvery is the time between two looks at the files.
const checkEvery = 2 * time.Second

// Files are a certificate, its key and the authorities, in PEM files. Start
// reads them, and again whenever one of them changes.
type Files struct {
	Cert string
	Key  string
	Root string
	Log  *event.Log

	now    atomic.Pointer[pair]
	duties kern.Duties
}

// pair is one state of the files.
type pair struct {
	cert  tls.Certificate
	roots *x509.CertPool
	times [3]time.Time
}

// Start reads the files.
func (f *Files) Start(ctx context.Context) error {
	if err := f.read(); err != nil {
		return err
	}
	ctx = f.duties.Begin(ctx, 1)
	go f.loop(ctx)
	return nil
}

// Stop ends the looks at the files.
func (f *Files) Stop(context.Context) error {
	f.duties.End()
	return nil
}

// loop reads the files when they change, until ctx ends. Files that are wrong
// leave the ones before in force.
func (f *Files) loop(ctx context.Context) {
	defer f.duties.Done()
	t := time.NewTicker(checkEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if f.times() == f.now.Load().times {
			continue
		}
		if err := f.read(); err != nil {
			f.Log.Emit(event.FilesFailed, event.Fields{Step: "certificate", Err: err})
			continue
		}
		f.Log.Emit(event.FilesReread, event.Fields{Step: "certificate", Detail: f.Cert})
	}
}

func (f *Files) times() [3]time.Time {
	var t [3]time.Time
	for i, name := range []string{f.Cert, f.Key, f.Root} {
		if st, err := os.Stat(name); err == nil {
			t[i] = st.ModTime()
		}
	}
	return t
}

func (f *Files) read() error {
	p := &pair{times: f.times()}
	var err error
	if p.cert, err = tls.LoadX509KeyPair(f.Cert, f.Key); err != nil {
		return fault.Wrap(err, "certificate", "")
	}
	pem, err := os.ReadFile(f.Root)
	if err != nil {
		return fault.Wrap(err, "certificate", "")
	}
	p.roots = x509.NewCertPool()
	if !p.roots.AppendCertsFromPEM(pem) {
		return fault.New("certificate", "", "%s holds no certificate", f.Root)
	}
	f.now.Store(p)
	return nil
}

// Server returns a configuration for callers.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: f.certificate,
	}
}

func (f *Files) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &f.now.Load().cert, nil
}

// Peer returns a configuration under which both sides show a certificate of
// the authorities: for a server that daemons call.
func (f *Files) Peer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p := f.now.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{p.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    p.roots,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client returns a configuration for calling daemons.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Verified below against the authorities of the moment.
		InsecureSkipVerify: true,
		VerifyConnection:   f.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &f.now.Load().cert, nil
		},
	}
}

func (f *Files) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return fault.New("certificate", s.ServerName, "no certificate shown")
	}
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         f.now.Load().roots,
		Intermediates: between,
		DNSName:       s.ServerName,
	})
	return fault.Wrap(err, "certificate", s.ServerName)
}
