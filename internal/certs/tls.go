package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recheckInterval is how often the files are looked at for a change, at the most.
const recheckInterval = time.Second

// Store holds a cluster's certificate and the CAs it trusts, and reads them again
// when their files change: rotation needs no restart, and connections that stand
// go on.
type Store struct {
	dir string
	mu  sync.Mutex
	// checkedAt is when the files were last looked at, and stamp how they looked.
	checkedAt time.Time
	fileState string
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// Open reads a cluster's folder. An error names the file.
func Open(dir string) (*Store, error) {
	s := &Store{dir: dir}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

// Cluster is the cluster that the certificate is for.
func (s *Store) Cluster() string {
	cert, _ := s.current()
	return ClusterOf(cert.Leaf)
}

// NotAfter is when the certificate expires.
func (s *Store) NotAfter() time.Time {
	cert, _ := s.current()
	return cert.Leaf.NotAfter
}

func (s *Store) readFileState() string {
	text := ""
	for _, f := range []string{CAFile, CertFile} {
		if st, err := os.Stat(filepath.Join(s.dir, f)); err == nil {
			text += fmt.Sprintf("%s %d %d;", f, st.Size(), st.ModTime().UnixNano())
		}
	}
	return text
}

func (s *Store) load() error {
	stamp := s.readFileState()
	// The certificate's file holds its key as well, so that the two always fit.
	path := filepath.Join(s.dir, CertFile)
	cert, err := tls.LoadX509KeyPair(path, path)
	if err != nil {
		return fmt.Errorf("keys: %s: %w", path, err)
	}
	if ClusterOf(cert.Leaf) == "" {
		return fmt.Errorf("keys: %s names no cluster; make it with micahill keys issue", path)
	}
	cas, _, err := readCerts(filepath.Join(s.dir, CAFile))
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	for _, c := range cas {
		pool.AddCert(c)
	}
	s.fileState, s.cert, s.pool = stamp, &cert, pool
	return nil
}

// current is what holds now. Files that cannot be read, in the middle of a change or
// for good, leave what was read before.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) > recheckInterval {
		s.checkedAt = time.Now()
		if s.readFileState() != s.fileState {
			if err := s.load(); err != nil {
				s.fileState = ""
			}
		}
	}
	return s.cert, s.pool
}

// ErrNotPeer says that a certificate is not that of the cluster that was meant.
var ErrNotPeer = errors.New("keys: the certificate names another cluster")

// ServerConfig is for connections from peers: TLS 1.3, and a certificate of a CA that is
// trusted now. Which cluster it names is told by PeerOf.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
				// Every connection proves itself anew, so that a CA that is no
				// longer trusted is not let in by an old ticket.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig is for a connection to the named peer.
func (s *Store) ClientConfig(peer string) *tls.Config {
	cert, pool := s.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
		// Peers are known by cluster, not by host name: the chain and the name are
		// checked below.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks chain and cluster
		VerifyConnection: func(st tls.ConnectionState) error {
			if len(st.PeerCertificates) == 0 {
				return errors.New("keys: the peer shows no certificate")
			}
			opts := x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
			if _, err := st.PeerCertificates[0].Verify(opts); err != nil {
				return fmt.Errorf("keys: %w", err)
			}
			if got := PeerOf(st); got != peer {
				return fmt.Errorf("%w: %q, want %q", ErrNotPeer, got, peer)
			}
			return nil
		},
	}
}

// PeerOf is the cluster at the other end of a connection whose certificate has
// been verified.
func PeerOf(st tls.ConnectionState) string {
	if len(st.PeerCertificates) == 0 {
		return ""
	}
	return ClusterOf(st.PeerCertificates[0])
}
