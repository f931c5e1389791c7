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

// recheckInterval is the shortest interval between two checks of the files for changes.
const recheckInterval = time.Second

// Store holds a cluster's certificate and the CAs that the cluster trusts. It reads them
// again when their files change, so that a rotation needs no restart and breaks no open
// connection. It is safe for concurrent use.
type Store struct {
	dir string
	mu  sync.Mutex
	// checkedAt is when the files were last checked. fileState holds the sizes and
	// modification times of the files when they were last read.
	checkedAt time.Time
	fileState string
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// Open returns the store of a cluster's directory. It fails if a file is missing or
// invalid; the error names the file.
func Open(dir string) (*Store, error) {
	s := &Store{dir: dir}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

// Cluster returns the name of the cluster that the certificate is for.
func (store *Store) Cluster() string {
	cert, _ := store.current()
	return ClusterOf(cert.Leaf)
}

// NotAfter returns when the certificate expires.
func (store *Store) NotAfter() time.Time {
	cert, _ := store.current()
	return cert.Leaf.NotAfter
}

// readFileState returns the sizes and modification times of the files, for a comparison
// with fileState.
func (store *Store) readFileState() string {
	state := ""
	for _, file := range []string{CAFile, CertFile} {
		if info, err := os.Stat(filepath.Join(store.dir, file)); err == nil {
			state += fmt.Sprintf("%s %d %d;", file, info.Size(), info.ModTime().UnixNano())
		}
	}
	return state
}

// load reads the files. If it fails, the store keeps the certificate and CAs that it has.
func (store *Store) load() error {
	// The state is read before the files, so that the next check finds a change made
	// while the files are being read.
	state := store.readFileState()
	// The certificate's file also holds the key, so that certificate and key always
	// match.
	path := filepath.Join(store.dir, CertFile)
	cert, err := tls.LoadX509KeyPair(path, path)
	if err != nil {
		return fmt.Errorf("keys: %s: %w", path, err)
	}
	if ClusterOf(cert.Leaf) == "" {
		return fmt.Errorf("keys: the certificate in %s names no cluster; issue it with micahill keys issue", path)
	}
	cas, _, err := readCerts(filepath.Join(store.dir, CAFile))
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	for _, ca := range cas {
		pool.AddCert(ca)
	}
	store.fileState, store.cert, store.pool = state, &cert, pool
	return nil
}

// current returns the certificate and the CAs, and first reads changed files again. While
// the files can't be read, for example during a change, it returns the certificate and
// CAs that were read before.
func (store *Store) current() (*tls.Certificate, *x509.CertPool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if time.Since(store.checkedAt) > recheckInterval {
		store.checkedAt = time.Now()
		if store.readFileState() != store.fileState {
			if err := store.load(); err != nil {
				// Read the files again at the next check, even if they don't change.
				store.fileState = ""
			}
		}
	}
	return store.cert, store.pool
}

// ErrNotPeer means that a server's certificate names another cluster than the one that
// the client wants to connect to.
var ErrNotPeer = errors.New("keys: the certificate names another cluster")

// ServerConfig returns the TLS configuration for connections from peers. It requires TLS
// 1.3 and a client certificate of a CA that is trusted at the time of the handshake.
// After the handshake PeerOf returns the client's cluster.
func (store *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := store.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
				// A session ticket would admit a peer whose CA has since been
				// removed.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration for one connection to the named peer. A
// handshake with a server of another cluster fails with ErrNotPeer.
func (store *Store) ClientConfig(peer string) *tls.Config {
	cert, pool := store.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
		// The default verification is disabled because certificates name a cluster
		// instead of a host. VerifyConnection checks the chain and the cluster.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks chain and cluster
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 {
				return errors.New("keys: the peer sent no certificate")
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

// PeerOf returns the cluster that the peer's certificate names, or "" if there is none.
// The connection's handshake must have been verified.
func PeerOf(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return ClusterOf(state.PeerCertificates[0])
}
