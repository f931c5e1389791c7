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

// recheckInterval is the shortest time between two checks of the files for a change.
const recheckInterval = time.Second

// Store holds a cluster's certificate and the CAs it trusts, and re-reads them when
// their files change: rotation needs no restart, and open connections go on. It is
// safe for concurrent use.
type Store struct {
	dir string
	mu  sync.Mutex
	// checkedAt is when the files were last checked, and fileState the sizes and
	// modification times of those that were read.
	checkedAt time.Time
	fileState string
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// Open reads a cluster's directory. An error names the file.
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

// readFileState is the state of the files, for a comparison with fileState.
func (s *Store) readFileState() string {
	state := ""
	for _, f := range []string{CAFile, CertFile} {
		if st, err := os.Stat(filepath.Join(s.dir, f)); err == nil {
			state += fmt.Sprintf("%s %d %d;", f, st.Size(), st.ModTime().UnixNano())
		}
	}
	return state
}

func (s *Store) load() error {
	// The state is taken first: a change while the files are read is found by the next
	// check.
	state := s.readFileState()
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
	s.fileState, s.cert, s.pool = state, &cert, pool
	return nil
}

// current returns the present certificate and CAs. While the files can't be read, in
// the middle of a change or for good, it returns those that were read before.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) > recheckInterval {
		s.checkedAt = time.Now()
		if s.readFileState() != s.fileState {
			if err := s.load(); err != nil {
				// Read again at the next check, even without a further change.
				s.fileState = ""
			}
		}
	}
	return s.cert, s.pool
}

// ErrNotPeer says that a server's certificate names another cluster than the wanted
// one.
var ErrNotPeer = errors.New("keys: the certificate names another cluster")

// ServerConfig is for connections from peers. It requires TLS 1.3 and a certificate of
// a CA that is trusted at the time of the handshake. PeerOf returns the cluster.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
				// An old ticket must not admit a peer whose CA is no longer trusted.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig is for one connection to the named peer. A handshake with another
// cluster fails with ErrNotPeer.
func (s *Store) ClientConfig(peer string) *tls.Config {
	cert, pool := s.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
		// Certificates name a cluster instead of a host: VerifyConnection checks the
		// chain and the name.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks chain and cluster
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 {
				return errors.New("keys: the peer shows no certificate")
			}
			opts := x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
			if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
				return fmt.Errorf("keys: %w", err)
			}
			if got := PeerOf(state); got != peer {
				return fmt.Errorf("%w: %q, want %q", ErrNotPeer, got, peer)
			}
			return nil
		},
	}
}

// PeerOf is the cluster at the other end of a connection whose handshake has been
// verified, or "".
func PeerOf(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return ClusterOf(state.PeerCertificates[0])
}
