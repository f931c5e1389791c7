// Package certs issues and rotates the certificates by which clusters authenticate
// each other: the operators' own CA, and a certificate for each cluster. Nothing else
// is trusted between clusters.
//
// The CA's directory holds ca.pem (the trusted CAs, the newest first) and ca.key; a
// cluster's directory holds ca.pem, cert.pem and key.pem. Only their owner may read
// the files. Rotation takes steps none of which breaks a connection: a new CA is
// trusted beside the old one, then certificates of the new one are issued, then the
// old one is dropped.
package certs

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"time"
)

const (
	// CAFile, CAKeyFile, CertFile and KeyFile are the names of the files.
	CAFile    = "ca.pem"
	CAKeyFile = "ca.key"
	CertFile  = "cert.pem"
	KeyFile   = "key.pem"
	// CertValidity is the default validity of a cluster's certificate, and caValidity
	// that of a CA.
	CertValidity = 90 * 24 * time.Hour
	caValidity   = 10 * 365 * 24 * time.Hour
	// backdate allows for clocks that differ.
	backdate = 10 * time.Minute
	// ownerOnly and ownerOnlyDir are the modes of files and directories.
	ownerOnly    fs.FileMode = 0o600
	ownerOnlyDir fs.FileMode = 0o700
	// A certificate names its cluster by a URI: micahill://cluster/NAME.
	uriScheme = "micahill"
	uriHost   = "cluster"
)

var clusterName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,30}$`)

// IsClusterName says whether a name is valid for a cluster. Valid ones can stand in
// certificates and in keys of the state service.
func IsClusterName(name string) bool { return clusterName.MatchString(name) }

var (
	// ErrExists says that a directory already holds a CA, which is never overwritten.
	ErrExists = errors.New("already holds a CA; rotate makes a new one beside it")
	// ErrRotating says that a rotation has to be finished first.
	ErrRotating = errors.New("a rotation is under way already")
	// ErrNotRotating says that there is no rotation to finish.
	ErrNotRotating = errors.New("no rotation is under way")
	// ErrInterrupted says that the CA's certificate and key do not fit each other.
	ErrInterrupted = errors.New("a rotation was interrupted; run rotate again")
)

// Init makes a CA in a directory that has none.
func Init(dir string, now time.Time) error {
	// An interrupted Init leaves a key without a certificate: that is no CA yet.
	if _, err := os.Stat(filepath.Join(dir, CAFile)); err == nil {
		return fmt.Errorf("keys: %s %w", dir, ErrExists)
	}
	if err := os.MkdirAll(dir, ownerOnlyDir); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return newCA(dir, nil, now)
}

// newCA writes a new CA, with the certificates of oldCAs (in PEM) trusted beside it.
func newCA(dir string, oldCAs []byte, now time.Time) error {
	key, serial, err := newKey()
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "micahill CA " + now.UTC().Format("2006-01-02 15:04:05")},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(caValidity),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	// The key goes first: after an interruption here Issue detects the mismatch, and
	// Rotate or Init can be run again.
	if err := writeKey(filepath.Join(dir, CAKeyFile), key); err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, CAFile), append(encodePEM("CERTIFICATE", der), oldCAs...))
}

// Rotate makes a new CA beside the old one, which stays trusted until FinishRotation.
// Every cluster must have the new ca.pem before certificates of the new CA are used.
func Rotate(dir string, now time.Time) error {
	certs, text, err := readCerts(filepath.Join(dir, CAFile))
	if err != nil {
		return err
	}
	if len(certs) > 1 {
		return fmt.Errorf("keys: %s: %w: %d CAs are trusted; finish it first", dir, ErrRotating, len(certs))
	}
	return newCA(dir, text, now)
}

// FinishRotation ends a rotation: the old CA is no longer trusted. Every cluster must
// have a certificate of the new one by then.
func FinishRotation(dir string) error {
	certs, _, err := readCerts(filepath.Join(dir, CAFile))
	if err != nil {
		return err
	}
	if len(certs) < 2 {
		return fmt.Errorf("keys: %s: %w", dir, ErrNotRotating)
	}
	return writeFile(filepath.Join(dir, CAFile), encodePEM("CERTIFICATE", certs[0].Raw))
}

// Issue writes a cluster's certificate, signed by the CA in dir, into the directory
// out, together with the trusted CAs. An earlier certificate there is replaced
// atomically.
func Issue(dir, cluster, out string, validity time.Duration, now time.Time) error {
	if !IsClusterName(cluster) {
		return fmt.Errorf("keys: %q is no cluster's name: want a small letter, then at most 30 small letters, digits and hyphens", cluster)
	}
	if validity <= 0 || validity > caValidity {
		return fmt.Errorf("keys: a certificate for %s: want more than nothing and at most %s", validity, caValidity)
	}
	cas, text, err := readCerts(filepath.Join(dir, CAFile))
	if err != nil {
		return err
	}
	signer, err := readSigner(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return err
	}
	if pub, ok := cas[0].PublicKey.(*ecdsa.PublicKey); !ok || !pub.Equal(signer.Public()) {
		return fmt.Errorf("keys: %s does not belong to the newest CA in %s: %w", CAKeyFile, CAFile, ErrInterrupted)
	}
	key, serial, err := newKey()
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: cluster},
		URIs:      []*url.URL{{Scheme: uriScheme, Host: uriHost, Path: "/" + cluster}},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(validity),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, cas[0], &key.PublicKey, signer)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if err := os.MkdirAll(out, ownerOnlyDir); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	keyPEM, err := encodeKey(key)
	if err != nil {
		return err
	}
	if filepath.Clean(out) != filepath.Clean(dir) {
		if err := writeFile(filepath.Join(out, CAFile), text); err != nil {
			return err
		}
	}
	if err := writeFile(filepath.Join(out, KeyFile), keyPEM); err != nil {
		return err
	}
	// The certificate's file holds the key as well, so that no reader ever sees a key
	// and a certificate that do not fit each other.
	return writeFile(filepath.Join(out, CertFile), append(encodePEM("CERTIFICATE", der), keyPEM...))
}

// Info describes one certificate, for operators.
type Info struct {
	File     string    `json:"file"`
	Name     string    `json:"name"`
	Cluster  string    `json:"cluster,omitempty"`
	CA       bool      `json:"ca"`
	NotAfter time.Time `json:"not_after"`
	// Fingerprint is the first 8 bytes of the SHA-256 sum, in hex.
	Fingerprint string `json:"fingerprint"`
	// Problem is why the certificate can't be used, or "".
	Problem string `json:"problem,omitempty"`
}

// Show describes the certificates in a directory and their problems.
func Show(dir string, now time.Time) ([]Info, error) {
	var infos []Info
	cas, _, err := readCerts(filepath.Join(dir, CAFile))
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	for _, c := range cas {
		pool.AddCert(c)
		infos = append(infos, describe(CAFile, c, now))
	}
	certs, _, err := readCerts(filepath.Join(dir, CertFile))
	if errors.Is(err, fs.ErrNotExist) {
		return infos, nil
	} else if err != nil {
		return nil, err
	}
	info := describe(CertFile, certs[0], now)
	opts := x509.VerifyOptions{Roots: pool, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := certs[0].Verify(opts); err != nil && info.Problem == "" {
		info.Problem = "not of a CA in " + CAFile
	}
	for _, f := range []string{CertFile, KeyFile, CAKeyFile} {
		if st, err := os.Stat(filepath.Join(dir, f)); err == nil && st.Mode().Perm()&0o077 != 0 && info.Problem == "" {
			info.Problem = f + " can be read by others"
		}
	}
	return append(infos, info), nil
}

func describe(file string, c *x509.Certificate, now time.Time) Info {
	sum := sha256.Sum256(c.Raw)
	info := Info{File: file, Name: c.Subject.CommonName, Cluster: ClusterOf(c), CA: c.IsCA, NotAfter: c.NotAfter, Fingerprint: hex.EncodeToString(sum[:8])}
	switch {
	case now.After(c.NotAfter):
		info.Problem = "expired"
	case now.Before(c.NotBefore):
		info.Problem = "not valid yet"
	}
	return info
}

// ClusterOf is the cluster that a certificate names, or "".
func ClusterOf(c *x509.Certificate) string {
	for _, u := range c.URIs {
		if u.Scheme == uriScheme && u.Host == uriHost && len(u.Path) > 1 && IsClusterName(u.Path[1:]) {
			return u.Path[1:]
		}
	}
	return ""
}

// newKey returns a key, and a random serial number for its certificate.
func newKey() (*ecdsa.PrivateKey, *big.Int, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	return key, serial, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return encodePEM("PRIVATE KEY", der), nil
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	b, err := encodeKey(key)
	if err != nil {
		return err
	}
	return writeFile(path, b)
}

// writeFile replaces a file atomically: a reader sees the old content or the new one.
func writeFile(path string, b []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".keys-*")
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(b)
	err = errors.Join(err, f.Chmod(ownerOnly), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

// readCerts reads the certificates of a PEM file, at least one. It returns the file's
// content as well.
func readCerts(path string) ([]*x509.Certificate, []byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	var out []*x509.Certificate
	for rest := b; ; {
		var p *pem.Block
		if p, rest = pem.Decode(rest); p == nil {
			break
		}
		if p.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(p.Bytes)
		if err != nil {
			return nil, nil, fmt.Errorf("keys: %s: %w", path, err)
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		return nil, nil, fmt.Errorf("keys: %s holds no certificate", path)
	}
	return out, b, nil
}

// readSigner reads a private key from a PEM file.
func readSigner(path string) (crypto.Signer, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	p, _ := pem.Decode(b)
	if p == nil {
		return nil, fmt.Errorf("keys: %s holds no key", path)
	}
	k, err := x509.ParsePKCS8PrivateKey(p.Bytes)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	s, ok := k.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("keys: %s holds no key that signs", path)
	}
	return s, nil
}
