// Package certs issues and rotates the certificates by which clusters authenticate each
// other. The operators have a CA of their own, which signs a certificate for each
// cluster. Clusters trust no other certificates.
//
// The CA's directory holds ca.pem (the trusted CAs, newest first) and ca.key. A cluster's
// directory holds ca.pem, cert.pem and key.pem. Only the owner may read the files. A
// rotation takes three steps, none of which breaks a connection: all clusters trust a new
// CA in addition to the old one, then every cluster gets a certificate of the new CA, and
// then the old CA is removed.
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
	// CAFile, CAKeyFile, CertFile and KeyFile are the names of the files in the
	// directories of the CA and of the clusters.
	CAFile    = "ca.pem"
	CAKeyFile = "ca.key"
	CertFile  = "cert.pem"
	KeyFile   = "key.pem"
	// CertValidity is the default validity of a cluster's certificate. caValidity is
	// the validity of a CA, and the longest one of a cluster's certificate.
	CertValidity = 90 * 24 * time.Hour
	caValidity   = 10 * 365 * 24 * time.Hour
	// backdate is how long before its issue a certificate becomes valid, to allow for
	// clocks that differ.
	backdate = 10 * time.Minute
	// ownerOnly and ownerOnlyDir are the modes of the files and directories.
	ownerOnly    fs.FileMode = 0o600
	ownerOnlyDir fs.FileMode = 0o700
	// uriScheme and uriHost are the parts of the URI by which a certificate names its
	// cluster: micahill://cluster/NAME.
	uriScheme = "micahill"
	uriHost   = "cluster"
)

// clusterNamePattern matches the valid names of clusters.
var clusterNamePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,30}$`)

// IsClusterName reports whether name is a valid cluster name. Valid names can be used in
// certificates and in keys of the state service.
func IsClusterName(name string) bool { return clusterNamePattern.MatchString(name) }

var (
	// ErrExists means that a directory already holds a CA. A CA is never overwritten.
	ErrExists = errors.New("already holds a CA; use rotate to add a new one")
	// ErrRotating means that a rotation has to be finished first.
	ErrRotating = errors.New("a rotation is already in progress")
	// ErrNotRotating means that there is no rotation to finish.
	ErrNotRotating = errors.New("no rotation is in progress")
	// ErrInterrupted means that the CA's certificate and key don't match.
	ErrInterrupted = errors.New("a rotation was interrupted; run rotate again")
)

// Init creates a CA in a directory that has none. It creates the directory if necessary.
func Init(dir string, now time.Time) error {
	// An interrupted Init leaves a key without a certificate. Such a directory holds no
	// CA yet.
	if _, err := os.Stat(filepath.Join(dir, CAFile)); err == nil {
		return fmt.Errorf("keys: %s %w", dir, ErrExists)
	}
	if err := os.MkdirAll(dir, ownerOnlyDir); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return newCA(dir, nil, now)
}

// newCA creates a CA and writes its key and certificate. The certificates in oldCAs (PEM)
// stay trusted.
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
	// The key is written first. If newCA is interrupted after that, Issue detects that
	// key and certificate don't match, and Rotate or Init can be run again.
	if err := writeKey(filepath.Join(dir, CAKeyFile), key); err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, CAFile), append(encodePEM("CERTIFICATE", der), oldCAs...))
}

// Rotate creates a new CA. The old one stays trusted until FinishRotation. Every cluster
// must have the new ca.pem before any cluster uses a certificate of the new CA.
func Rotate(dir string, now time.Time) error {
	certs, caPEM, err := readCerts(filepath.Join(dir, CAFile))
	if err != nil {
		return err
	}
	if len(certs) > 1 {
		return fmt.Errorf("keys: %s: %w: %d CAs are trusted; finish it first", dir, ErrRotating, len(certs))
	}
	return newCA(dir, caPEM, now)
}

// FinishRotation ends a rotation by removing the old CA from the trusted ones. Before
// that, every cluster must have a certificate of the new CA.
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

// Issue creates a key and a certificate for a cluster, signed by the CA in the directory
// dir, and writes them and the trusted CAs into outDir. It replaces an earlier certificate
// there atomically.
func Issue(dir, cluster, outDir string, validity time.Duration, now time.Time) error {
	if !IsClusterName(cluster) {
		return fmt.Errorf("keys: invalid cluster name %q: want a lower-case letter, then at most 30 lower-case letters, digits and hyphens", cluster)
	}
	if validity <= 0 || validity > caValidity {
		return fmt.Errorf("keys: invalid certificate validity %s: want more than 0 and at most %s", validity, caValidity)
	}
	cas, caPEM, err := readCerts(filepath.Join(dir, CAFile))
	if err != nil {
		return err
	}
	signer, err := readSigner(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return err
	}
	if publicKey, ok := cas[0].PublicKey.(*ecdsa.PublicKey); !ok || !publicKey.Equal(signer.Public()) {
		return fmt.Errorf("keys: %s does not match the newest CA in %s: %w", CAKeyFile, CAFile, ErrInterrupted)
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
	if err := os.MkdirAll(outDir, ownerOnlyDir); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	keyPEM, err := encodeKey(key)
	if err != nil {
		return err
	}
	if filepath.Clean(outDir) != filepath.Clean(dir) {
		if err := writeFile(filepath.Join(outDir, CAFile), caPEM); err != nil {
			return err
		}
	}
	if err := writeFile(filepath.Join(outDir, KeyFile), keyPEM); err != nil {
		return err
	}
	// The certificate's file also holds the key, so that no reader ever reads a key and
	// a certificate that don't match.
	return writeFile(filepath.Join(outDir, CertFile), append(encodePEM("CERTIFICATE", der), keyPEM...))
}

// Info describes one certificate, for operators.
type Info struct {
	File     string    `json:"file"`
	Name     string    `json:"name"`
	Cluster  string    `json:"cluster,omitempty"`
	CA       bool      `json:"ca"`
	NotAfter time.Time `json:"not_after"`
	// Fingerprint is the first 8 bytes of the certificate's SHA-256 sum, in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// Problem is a problem with the certificate or its files, or "" if there is none.
	Problem string `json:"problem,omitempty"`
}

// Show returns descriptions of the certificates in a directory, with their problems at
// the time now.
func Show(dir string, now time.Time) ([]Info, error) {
	var infos []Info
	cas, _, err := readCerts(filepath.Join(dir, CAFile))
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	for _, ca := range cas {
		pool.AddCert(ca)
		infos = append(infos, describe(CAFile, ca, now))
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
		info.Problem = "not signed by a CA in " + CAFile
	}
	for _, file := range []string{CertFile, KeyFile, CAKeyFile} {
		if fileInfo, err := os.Stat(filepath.Join(dir, file)); err == nil && fileInfo.Mode().Perm()&0o077 != 0 && info.Problem == "" {
			info.Problem = file + " can be read by others"
		}
	}
	return append(infos, info), nil
}

// describe returns the description of one certificate.
func describe(file string, cert *x509.Certificate, now time.Time) Info {
	sum := sha256.Sum256(cert.Raw)
	info := Info{File: file, Name: cert.Subject.CommonName, Cluster: ClusterOf(cert), CA: cert.IsCA, NotAfter: cert.NotAfter, Fingerprint: hex.EncodeToString(sum[:8])}
	switch {
	case now.After(cert.NotAfter):
		info.Problem = "expired"
	case now.Before(cert.NotBefore):
		info.Problem = "not valid yet"
	}
	return info
}

// ClusterOf returns the cluster that a certificate names, or "" if it names none.
func ClusterOf(cert *x509.Certificate) string {
	for _, uri := range cert.URIs {
		if uri.Scheme == uriScheme && uri.Host == uriHost && len(uri.Path) > 1 && IsClusterName(uri.Path[1:]) {
			return uri.Path[1:]
		}
	}
	return ""
}

// newKey returns a new key and a random serial number for its certificate.
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

// encodePEM returns a PEM block of the given type.
func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// encodeKey returns a private key in PEM.
func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return encodePEM("PRIVATE KEY", der), nil
}

// writeKey writes a private key to a PEM file.
func writeKey(path string, key *ecdsa.PrivateKey) error {
	content, err := encodeKey(key)
	if err != nil {
		return err
	}
	return writeFile(path, content)
}

// writeFile replaces a file atomically: a reader sees either the old or the new content.
func writeFile(path string, content []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".keys-*")
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	defer os.Remove(file.Name())
	_, err = file.Write(content)
	err = errors.Join(err, file.Chmod(ownerOnly), file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

// readCerts returns the certificates in a PEM file, and the file's content. It fails if
// the file holds no certificate.
func readCerts(path string) ([]*x509.Certificate, []byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	var certs []*x509.Certificate
	for rest := content; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		if block.Type != "CERTIFICATE" {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, nil, fmt.Errorf("keys: %s: %w", path, err)
		}
		certs = append(certs, cert)
	}
	if len(certs) == 0 {
		return nil, nil, fmt.Errorf("keys: %s holds no certificate", path)
	}
	return certs, content, nil
}

// readSigner returns the private key in a PEM file.
func readSigner(path string) (crypto.Signer, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	block, _ := pem.Decode(content)
	if block == nil {
		return nil, fmt.Errorf("keys: %s holds no key", path)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("keys: the key in %s cannot sign", path)
	}
	return signer, nil
}
