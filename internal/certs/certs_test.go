package certs

import (
	"context"
	"crypto/tls"
	"errors"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newClusterDirs makes a CA and a certificate for each cluster, and returns their
// directories.
func newClusterDirs(t *testing.T, clusters ...string) (ca string, dirs map[string]string) {
	t.Helper()
	ca, dirs = filepath.Join(t.TempDir(), "ca"), map[string]string{}
	if err := Init(ca, time.Now()); err != nil {
		t.Fatal(err)
	}
	for _, c := range clusters {
		dirs[c] = filepath.Join(t.TempDir(), c)
		issueCert(t, ca, c, dirs[c])
	}
	return ca, dirs
}

func issueCert(t *testing.T, ca, cluster, out string) {
	t.Helper()
	if err := Issue(ca, cluster, out, CertValidity, time.Now()); err != nil {
		t.Fatal(err)
	}
}

func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake connects a client that wants a cluster to a server over loopback. It
// returns the cluster that the server saw, or "refused", and the client's error.
func handshake(t *testing.T, server, client *Store, wantCluster string) (string, error) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	saw := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			saw <- err.Error()
			return
		}
		defer c.Close()
		tc := c.(*tls.Conn)
		if err := tc.Handshake(); err != nil {
			saw <- "refused"
			return
		}
		tc.Write([]byte{1})
		saw <- PeerOf(tc.ConnectionState())
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	c := tls.Client(raw, client.ClientConfig(wantCluster))
	err = c.HandshakeContext(ctx)
	if err == nil {
		// Only the first byte shows whether the server accepted the certificate.
		_, err = c.Read(make([]byte, 1))
	}
	return <-saw, err
}

// TestMutualAuthentication: clusters authenticate each other by certificates of the
// operators' CA that name the cluster, and by nothing else.
func TestMutualAuthentication(t *testing.T) {
	ca, dirs := newClusterDirs(t, "east", "west")
	_, otherDirs := newClusterDirs(t, "west")
	expired := filepath.Join(t.TempDir(), "old")
	if err := Issue(ca, "west", expired, time.Hour, time.Now().Add(-2*time.Hour)); err != nil {
		t.Fatal(err)
	}
	east := openStore(t, dirs["east"])
	if saw, err := handshake(t, east, openStore(t, dirs["west"]), "east"); err != nil || saw != "west" {
		t.Errorf("got %q, %v at the server; want west", saw, err)
	}
	if _, err := handshake(t, east, openStore(t, dirs["west"]), "north"); !errors.Is(err, ErrNotPeer) {
		t.Errorf("east under north's name: got %v, want %v", err, ErrNotPeer)
	}
	for name, dir := range map[string]string{"of another CA": otherDirs["west"], "expired": expired} {
		if saw, err := handshake(t, east, openStore(t, dir), "east"); err == nil || saw != "refused" {
			t.Errorf("a client's certificate %s: got %q, %v; want it refused", name, saw, err)
		}
		if _, err := handshake(t, openStore(t, dir), east, "west"); err == nil {
			t.Errorf("a server's certificate %s: got no error, want one", name)
		}
	}
}

// TestRotation: at every step the clusters still reach each other, without a restart;
// in the end certificates of the old CA are refused.
func TestRotation(t *testing.T) {
	ca, dirs := newClusterDirs(t, "east", "west")
	east, west := openStore(t, dirs["east"]), openStore(t, dirs["west"])
	old := filepath.Join(t.TempDir(), "old")
	if err := os.CopyFS(old, os.DirFS(dirs["west"])); err != nil {
		t.Fatal(err)
	}
	check := func(step string) {
		t.Helper()
		// The files are to be checked now, not only after recheckInterval.
		for _, s := range []*Store{east, west} {
			s.mu.Lock()
			s.checkedAt = time.Time{}
			s.mu.Unlock()
		}
		if saw, err := handshake(t, east, west, "east"); err != nil || saw != "west" {
			t.Fatalf("%s: got %q, %v at east; want west", step, saw, err)
		}
		if saw, err := handshake(t, west, east, "west"); err != nil || saw != "east" {
			t.Fatalf("%s: got %q, %v at west; want east", step, saw, err)
		}
	}
	distributeCA := func(to string) {
		t.Helper()
		b, err := os.ReadFile(filepath.Join(ca, CAFile))
		if err != nil {
			t.Fatal(err)
		}
		if err := writeFile(filepath.Join(to, CAFile), b); err != nil {
			t.Fatal(err)
		}
	}
	check("before")
	if err := Rotate(ca, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := Rotate(ca, time.Now()); !errors.Is(err, ErrRotating) {
		t.Errorf("a second rotation before the first one's end: got %v, want %v", err, ErrRotating)
	}
	distributeCA(dirs["east"])
	check("one trusts the new CA")
	distributeCA(dirs["west"])
	check("both trust the new CA")
	issueCert(t, ca, "west", dirs["west"])
	check("one has a new certificate")
	issueCert(t, ca, "east", dirs["east"])
	check("both have new certificates")
	if err := FinishRotation(ca); err != nil {
		t.Fatal(err)
	}
	distributeCA(dirs["east"])
	check("one has finished")
	distributeCA(dirs["west"])
	check("both have finished")
	if saw, err := handshake(t, east, openStore(t, old), "east"); err == nil || saw != "refused" {
		t.Errorf("the old certificate: got %q, %v; want it refused", saw, err)
	}
}

// TestShow: the problems of certificates are named.
func TestShow(t *testing.T) {
	_, dirs := newClusterDirs(t, "east")
	for _, c := range []struct {
		name string
		at   time.Time
		want string
	}{
		{"as issued", time.Now(), ""},
		{"after its end", time.Now().Add(CertValidity + time.Hour), "expired"},
	} {
		infos, err := Show(dirs["east"], c.at)
		if err != nil || len(infos) != 2 || infos[1].Cluster != "east" || infos[1].Problem != c.want {
			t.Errorf("%s: got %+v, %v; want a CA, and a certificate of east with problem %q", c.name, infos, err, c.want)
		}
	}
	if err := os.Chmod(filepath.Join(dirs["east"], KeyFile), 0o644); err != nil {
		t.Fatal(err)
	}
	if infos, _ := Show(dirs["east"], time.Now()); !strings.Contains(infos[1].Problem, "can be read by others") {
		t.Errorf("a key that others can read: got %+v, want that as the problem", infos)
	}
}

// TestRefusals: what can't be done fails, and leaves the CA's files as they are.
func TestRefusals(t *testing.T) {
	ca, _ := newClusterDirs(t, "east")
	interrupted := filepath.Join(t.TempDir(), "interrupted")
	if err := errors.Join(Init(interrupted, time.Now()), os.Remove(filepath.Join(interrupted, CAKeyFile)), os.Link(filepath.Join(ca, CAKeyFile), filepath.Join(interrupted, CAKeyFile))); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		err  error
		want error // nil: any
	}{
		{"an interrupted rotation", Issue(interrupted, "west", t.TempDir(), time.Hour, time.Now()), ErrInterrupted},
		{"a CA over a CA", Init(ca, time.Now()), ErrExists},
		{"an invalid name", Issue(ca, "East 1", t.TempDir(), time.Hour, time.Now()), nil},
		{"no validity", Issue(ca, "west", t.TempDir(), 0, time.Now()), nil},
		{"finish without rotate", FinishRotation(ca), ErrNotRotating},
		{"no CA there", Issue(t.TempDir(), "west", t.TempDir(), time.Hour, time.Now()), fs.ErrNotExist},
	} {
		if c.err == nil || c.want != nil && !errors.Is(c.err, c.want) {
			t.Errorf("%s: got error %v, want %v", c.name, c.err, c.want)
		}
	}
	for _, f := range []string{CAFile, CAKeyFile} {
		if info, err := os.Stat(filepath.Join(ca, f)); err != nil || info.Mode().Perm() != ownerOnly {
			t.Errorf("%s: got mode %v, %v; want %v", f, info.Mode(), err, ownerOnly)
		}
	}
}
