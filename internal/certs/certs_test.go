package certs

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newClusterDirs makes a CA and a certificate for each cluster.
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

// handshake connects a client to a server over loopback and says what the server saw.
func handshake(t *testing.T, server, client *Store, want string) (string, error) {
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
	c := tls.Client(raw, client.ClientConfig(want))
	err = c.HandshakeContext(ctx)
	if err == nil {
		// Only the first byte shows whether the server took our certificate.
		_, err = c.Read(make([]byte, 1))
	}
	return <-saw, err
}

// TestMutualAuthentication: by certificates of the operators' CA that name the
// cluster, and by nothing else.
func TestMutualAuthentication(t *testing.T) {
	ca, of := newClusterDirs(t, "east", "west")
	_, others := newClusterDirs(t, "west")
	expired := filepath.Join(t.TempDir(), "old")
	if err := Issue(ca, "west", expired, time.Hour, time.Now().Add(-2*time.Hour)); err != nil {
		t.Fatal(err)
	}
	east := openStore(t, of["east"])
	if saw, err := handshake(t, east, openStore(t, of["west"]), "east"); err != nil || saw != "west" {
		t.Errorf("east saw %q, %v", saw, err)
	}
	if _, err := handshake(t, east, openStore(t, of["west"]), "north"); !errors.Is(err, ErrNotPeer) {
		t.Errorf("east was taken for north: %v", err)
	}
	for what, dir := range map[string]string{"of another CA": others["west"], "expired": expired} {
		if saw, err := handshake(t, east, openStore(t, dir), "east"); err == nil || saw != "refused" {
			t.Errorf("a certificate %s: east saw %q, %v", what, saw, err)
		}
		if _, err := handshake(t, openStore(t, dir), east, "west"); err == nil {
			t.Errorf("a server with a certificate %s is believed", what)
		}
	}
}

// TestRotation: at every step the clusters still reach each other, without being
// started anew; in the end the old CA is worth nothing.
func TestRotation(t *testing.T) {
	ca, of := newClusterDirs(t, "east", "west")
	east, west := openStore(t, of["east"]), openStore(t, of["west"])
	old := filepath.Join(t.TempDir(), "old")
	if err := os.CopyFS(old, os.DirFS(of["west"])); err != nil {
		t.Fatal(err)
	}
	check := func(step string) {
		t.Helper()
		// Files are looked at once a second at most.
		for _, s := range []*Store{east, west} {
			s.mu.Lock()
			s.checkedAt = time.Time{}
			s.mu.Unlock()
		}
		if saw, err := handshake(t, east, west, "east"); err != nil || saw != "west" {
			t.Fatalf("%s: east saw %q, %v", step, saw, err)
		}
		if saw, err := handshake(t, west, east, "west"); err != nil || saw != "east" {
			t.Fatalf("%s: west saw %q, %v", step, saw, err)
		}
	}
	hand := func(to string) {
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
	if err := Rotate(ca, time.Now()); err == nil {
		t.Error("a second rotation before the first one's end")
	}
	hand(of["east"])
	check("the new CA is known to one")
	hand(of["west"])
	check("the new CA is known to both")
	issueCert(t, ca, "west", of["west"])
	check("one has a new certificate")
	issueCert(t, ca, "east", of["east"])
	check("both have")
	if err := FinishRotation(ca); err != nil {
		t.Fatal(err)
	}
	hand(of["east"])
	check("one has finished")
	hand(of["west"])
	check("both have finished")
	if saw, err := handshake(t, east, openStore(t, old), "east"); err == nil || saw != "refused" {
		t.Errorf("the old certificate is still taken: %q, %v", saw, err)
	}
}

// TestShow: what is wrong is said.
func TestShow(t *testing.T) {
	ca, of := newClusterDirs(t, "east")
	for _, c := range []struct {
		what, dir string
		at        time.Time
		want      string
	}{
		{"as issued", of["east"], time.Now(), ""},
		{"after its end", of["east"], time.Now().Add(CertValidity + time.Hour), "expired"},
	} {
		is, err := Show(c.dir, c.at)
		if err != nil || len(is) != 2 || is[1].Cluster != "east" || is[1].Problem != c.want {
			t.Errorf("%s: %+v, %v", c.what, is, err)
		}
	}
	if err := os.Chmod(filepath.Join(of["east"], KeyFile), 0o644); err != nil {
		t.Fatal(err)
	}
	if is, _ := Show(of["east"], time.Now()); !strings.Contains(is[1].Problem, "can be read by others") {
		t.Errorf("%+v", is)
	}
	torn := filepath.Join(t.TempDir(), "torn")
	if err := errors.Join(Init(torn, time.Now()), os.Remove(filepath.Join(torn, CAKeyFile)), os.Link(filepath.Join(ca, CAKeyFile), filepath.Join(torn, CAKeyFile))); err != nil {
		t.Fatal(err)
	}
	for what, err := range map[string]error{
		"a rotation cut short":  Issue(torn, "west", t.TempDir(), time.Hour, time.Now()),
		"a CA over a CA":        Init(ca, time.Now()),
		"a name that is none":   Issue(ca, "East 1", t.TempDir(), time.Hour, time.Now()),
		"no life":               Issue(ca, "west", t.TempDir(), 0, time.Now()),
		"finish with no rotate": FinishRotation(ca),
		"no CA there":           Issue(t.TempDir(), "west", t.TempDir(), time.Hour, time.Now()),
	} {
		if err == nil {
			t.Errorf("%s: no error", what)
		}
	}
	for _, f := range []string{CAFile, CAKeyFile} {
		if st, err := os.Stat(filepath.Join(ca, f)); err != nil || st.Mode().Perm() != ownerOnly {
			t.Errorf("%s: %v, %v", f, st.Mode(), err)
		}
	}
}
