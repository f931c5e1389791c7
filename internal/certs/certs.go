// Package certs makes and keeps the operators' own certificates: a CA of theirs, and
// for each cluster a certificate by which its peers know it. Nothing else is
// trusted between clusters.
//
// A folder holds ca.pem (the CAs that are trusted, the newest first), and, where
// the CA itself is kept, ca.key; a cluster's folder holds cert.pem and key.pem
// beside ca.pem. All files are for their owner alone. Rotation goes in steps, none
// of which breaks a connection: a new CA is trusted beside the old one, then
// certificates of the new one are issued, then the old one goes.
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
	// CAFile, CAKeyFile, CertFile and KeyFile are the names in a folder.
	CAFile    = "ca.pem"
	CAKeyFile = "ca.key"
	CertFile  = "cert.pem"
	KeyFile   = "key.pem"
	// caValidity is how long a CA is good for, and CertValidity how long a cluster's
	// certificate is if nothing else is said.
	caValidity   = 10 * 365 * 24 * time.Hour
	CertValidity = 90 * 24 * time.Hour
	// backdate allows for clocks that differ.
	backdate = 10 * time.Minute
	// ownerOnly is the mode of all files: keys are nobody else's business.
	ownerOnly fs.FileMode = 0o600
	uriScheme             = "micahill"
)

var clusterName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,30}$`)

// IsClusterName says whether a name is fit for a cluster: for its certificate and for
// keys in the state service.
func IsClusterName(name string) bool { return clusterName.MatchString(name) }

// ErrExists says that a folder already holds a CA, which is never overwritten.
var ErrExists = errors.New("already holds a CA; rotate makes a new one beside it")

// Init makes a CA in a folder that has none.
func Init(dir string, now time.Time) error {
	// A key without a certificate is what an interrupted init leaves: begun again.
	if _, err := os.Stat(filepath.Join(dir, CAFile)); err == nil {
		return fmt.Errorf("keys: %s %w", dir, ErrExists)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return newCA(dir, nil, now)
}

// newCA writes a CA whose trusted certificates are its own and then old.
func newCA(dir string, old []byte, now time.Time) error {
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
	// The key goes first: interrupted here, Issue sees that the two do not fit, and
	// rotate or init can simply be run again.
	if err := writeKey(filepath.Join(dir, CAKeyFile), key); err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, CAFile), append(encodePEM("CERTIFICATE", der), old...))
}

// Rotate makes a new CA beside the old one, which stays trusted until Finish.
// Hand the new ca.pem to every cluster before certificates of the new CA are used.
func Rotate(dir string, now time.Time) error {
	certs, text, err := readCerts(filepath.Join(dir, CAFile))
	if err != nil {
		return err
	}
	if len(certs) > 1 {
		return fmt.Errorf("keys: %s: a rotation is under way already: %d CAs are trusted; finish it first", dir, len(certs))
	}
	return newCA(dir, text, now)
}

// FinishRotation ends a rotation: the old CA is trusted no more. Every cluster must have a
// certificate of the new one by then.
func FinishRotation(dir string) error {
	certs, _, err := readCerts(filepath.Join(dir, CAFile))
	if err != nil {
		return err
	}
	if len(certs) < 2 {
		return fmt.Errorf("keys: %s: no rotation is under way", dir)
	}
	return writeFile(filepath.Join(dir, CAFile), encodePEM("CERTIFICATE", certs[0].Raw))
}

// Issue writes a certificate of the CA in dir for a cluster, with the CAs to trust,
// into out. An earlier certificate there is replaced in one step.
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
		return fmt.Errorf("keys: %s does not belong to the newest CA in %s: a rotation was interrupted; run rotate again", CAKeyFile, CAFile)
	}
	key, serial, err := newKey()
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: cluster},
		URIs:      []*url.URL{{Scheme: uriScheme, Host: "cluster", Path: "/" + cluster}},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(validity),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, cas[0], &key.PublicKey, signer)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if err := os.MkdirAll(out, 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	// Key and certificate go into one file as well: a reader never sees the key of
	// one with the certificate of the other.
	k, err := encodeKey(key)
	if err != nil {
		return err
	}
	if filepath.Clean(out) != filepath.Clean(dir) {
		if err := writeFile(filepath.Join(out, CAFile), text); err != nil {
			return err
		}
	}
	if err := writeFile(filepath.Join(out, KeyFile), k); err != nil {
		return err
	}
	return writeFile(filepath.Join(out, CertFile), append(encodePEM("CERTIFICATE", der), k...))
}

// Info describes one certificate of a folder.
type Info struct {
	File        string    `json:"file"`
	Name        string    `json:"name"`
	Cluster     string    `json:"cluster,omitempty"`
	CA          bool      `json:"ca"`
	NotAfter    time.Time `json:"not_after"`
	Fingerprint string    `json:"fingerprint"`
	// Problem says what is wrong with it, if anything.
	Problem string `json:"problem,omitempty"`
}

// Show describes the certificates of a folder and what is wrong with them.
func Show(dir string, now time.Time) ([]Info, error) {
	var out []Info
	cas, _, err := readCerts(filepath.Join(dir, CAFile))
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	for _, c := range cas {
		pool.AddCert(c)
		out = append(out, describe(CAFile, c, now))
	}
	certs, _, err := readCerts(filepath.Join(dir, CertFile))
	if errors.Is(err, fs.ErrNotExist) {
		return out, nil
	} else if err != nil {
		return nil, err
	}
	i := describe(CertFile, certs[0], now)
	opts := x509.VerifyOptions{Roots: pool, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := certs[0].Verify(opts); err != nil && i.Problem == "" {
		i.Problem = "not of a CA in " + CAFile
	}
	for _, f := range []string{CertFile, KeyFile, CAKeyFile} {
		if st, err := os.Stat(filepath.Join(dir, f)); err == nil && st.Mode().Perm()&0o077 != 0 && i.Problem == "" {
			i.Problem = f + " can be read by others"
		}
	}
	return append(out, i), nil
}

func describe(file string, c *x509.Certificate, now time.Time) Info {
	sum := sha256.Sum256(c.Raw)
	i := Info{File: file, Name: c.Subject.CommonName, Cluster: ClusterOf(c), CA: c.IsCA, NotAfter: c.NotAfter, Fingerprint: hex.EncodeToString(sum[:8])}
	switch {
	case now.After(c.NotAfter):
		i.Problem = "expired"
	case now.Before(c.NotBefore):
		i.Problem = "not valid yet"
	}
	return i
}

// ClusterOf is the cluster that a certificate names, or nothing.
func ClusterOf(c *x509.Certificate) string {
	for _, u := range c.URIs {
		if u.Scheme == uriScheme && u.Host == "cluster" && len(u.Path) > 1 && IsClusterName(u.Path[1:]) {
			return u.Path[1:]
		}
	}
	return ""
}

// newKey is a key, and a serial number for its certificate.
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

// writeFile replaces a file in one step, so that who reads it at that moment gets
// the old one or the new one.
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
