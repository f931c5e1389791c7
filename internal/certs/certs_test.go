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

// newClusterDirs creates a CA and a certificate for each cluster, and returns the
// directories of the CA and of the clusters.
func newClusterDirs(t *testing.T, clusters ...string) (ca string, dirs map[string]string) {
	t.Helper()
	ca, dirs = filepath.Join(t.TempDir(), "ca"), map[string]string{}
	if err := Init(ca, time.Now()); err != nil {
		t.Fatal(err)
	}
	for _, cluster := range clusters {
		dirs[cluster] = filepath.Join(t.TempDir(), cluster)
		issueCert(t, ca, cluster, dirs[cluster])
	}
	return ca, dirs
}

// issueCert writes a certificate of the CA for a cluster into outDir.
func issueCert(t *testing.T, ca, cluster, outDir string) {
	t.Helper()
	if err := Issue(ca, cluster, outDir, CertValidity, time.Now()); err != nil {
		t.Fatal(err)
	}
}

// openStore opens the store of a cluster's directory.
func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	store, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// handshake connects a client to a server over the loopback interface. The client expects
// the server to be wantCluster. It returns the client's cluster as the server sees it, or
// "refused", and the client's error.
func handshake(t *testing.T, server, client *Store, wantCluster string) (string, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	saw := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			saw <- err.Error()
			return
		}
		defer conn.Close()
		tlsConn := conn.(*tls.Conn)
		if err := tlsConn.Handshake(); err != nil {
			saw <- "refused"
			return
		}
		tlsConn.Write([]byte{1})
		saw <- PeerOf(tlsConn.ConnectionState())
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	rawConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer rawConn.Close()
	conn := tls.Client(rawConn, client.ClientConfig(wantCluster))
	err = conn.HandshakeContext(ctx)
	if err == nil {
		// The client learns whether the server accepted its certificate only when it
		// reads the first byte.
		_, err = conn.Read(make([]byte, 1))
	}
	return <-saw, err
}

// TestMutualAuthentication checks that a client and a server accept each other only with
// valid certificates of the trusted CA, and that the client accepts only the cluster that
// it wants to reach.
func TestMutualAuthentication(t *testing.T) {
	ca, dirs := newClusterDirs(t, "east", "west")
	_, otherDirs := newClusterDirs(t, "west")
	expired := filepath.Join(t.TempDir(), "old")
	if err := Issue(ca, "west", expired, time.Hour, time.Now().Add(-2*time.Hour)); err != nil {
		t.Fatal(err)
	}
	east := openStore(t, dirs["east"])
	if saw, err := handshake(t, east, openStore(t, dirs["west"]), "east"); err != nil || saw != "west" {
		t.Errorf("got client %q at the server, client error %v; want west and no error", saw, err)
	}
	if _, err := handshake(t, east, openStore(t, dirs["west"]), "north"); !errors.Is(err, ErrNotPeer) {
		t.Errorf("a connection to north that reaches east: got error %v, want %v", err, ErrNotPeer)
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

// TestRotation checks that the clusters can connect to each other, without a restart,
// after every step of a rotation, and that certificates of the old CA are refused at the
// end.
func TestRotation(t *testing.T) {
	ca, dirs := newClusterDirs(t, "east", "west")
	east, west := openStore(t, dirs["east"]), openStore(t, dirs["west"])
	old := filepath.Join(t.TempDir(), "old")
	if err := os.CopyFS(old, os.DirFS(dirs["west"])); err != nil {
		t.Fatal(err)
	}
	check := func(step string) {
		t.Helper()
		// This makes the stores check the files at once instead of after
		// recheckInterval.
		for _, store := range []*Store{east, west} {
			store.mu.Lock()
			store.checkedAt = time.Time{}
			store.mu.Unlock()
		}
		if saw, err := handshake(t, east, west, "east"); err != nil || saw != "west" {
			t.Fatalf("%s: got client %q at east, client error %v; want west and no error", step, saw, err)
		}
		if saw, err := handshake(t, west, east, "west"); err != nil || saw != "east" {
			t.Fatalf("%s: got client %q at west, client error %v; want east and no error", step, saw, err)
		}
	}
	distributeCA := func(to string) {
		t.Helper()
		content, err := os.ReadFile(filepath.Join(ca, CAFile))
		if err != nil {
			t.Fatal(err)
		}
		if err := writeFile(filepath.Join(to, CAFile), content); err != nil {
			t.Fatal(err)
		}
	}
	check("before the rotation")
	if err := Rotate(ca, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := Rotate(ca, time.Now()); !errors.Is(err, ErrRotating) {
		t.Errorf("a second rotation before the first one has ended: got error %v, want %v", err, ErrRotating)
	}
	distributeCA(dirs["east"])
	check("east trusts the new CA")
	distributeCA(dirs["west"])
	check("both trust the new CA")
	issueCert(t, ca, "west", dirs["west"])
	check("west has a new certificate")
	issueCert(t, ca, "east", dirs["east"])
	check("both have new certificates")
	if err := FinishRotation(ca); err != nil {
		t.Fatal(err)
	}
	distributeCA(dirs["east"])
	check("east has removed the old CA")
	distributeCA(dirs["west"])
	check("both have removed the old CA")
	if saw, err := handshake(t, east, openStore(t, old), "east"); err == nil || saw != "refused" {
		t.Errorf("the old certificate: got %q, %v; want it refused", saw, err)
	}
}

// TestShow checks that Show reports an expired certificate and a key file that others can
// read.
func TestShow(t *testing.T) {
	_, dirs := newClusterDirs(t, "east")
	for _, testCase := range []struct {
		name string
		at   time.Time
		want string
	}{
		{"as issued", time.Now(), ""},
		{"after its expiry", time.Now().Add(CertValidity + time.Hour), "expired"},
	} {
		infos, err := Show(dirs["east"], testCase.at)
		if err != nil || len(infos) != 2 || infos[1].Cluster != "east" || infos[1].Problem != testCase.want {
			t.Errorf("%s: got %+v, %v; want a CA, and a certificate of east with problem %q", testCase.name, infos, err, testCase.want)
		}
	}
	if err := os.Chmod(filepath.Join(dirs["east"], KeyFile), 0o644); err != nil {
		t.Fatal(err)
	}
	if infos, _ := Show(dirs["east"], time.Now()); !strings.Contains(infos[1].Problem, "can be read by others") {
		t.Errorf("a key that others can read: got %+v, want problem \"can be read by others\"", infos)
	}
}

// TestRefusals checks that invalid operations fail with the right errors, and that the
// CA's files have mode ownerOnly afterwards.
func TestRefusals(t *testing.T) {
	ca, _ := newClusterDirs(t, "east")
	interrupted := filepath.Join(t.TempDir(), "interrupted")
	if err := errors.Join(Init(interrupted, time.Now()), os.Remove(filepath.Join(interrupted, CAKeyFile)), os.Link(filepath.Join(ca, CAKeyFile), filepath.Join(interrupted, CAKeyFile))); err != nil {
		t.Fatal(err)
	}
	for _, testCase := range []struct {
		name string
		err  error
		want error // nil: any
	}{
		{"issue after an interrupted rotation", Issue(interrupted, "west", t.TempDir(), time.Hour, time.Now()), ErrInterrupted},
		{"init where a CA exists", Init(ca, time.Now()), ErrExists},
		{"an invalid cluster name", Issue(ca, "East 1", t.TempDir(), time.Hour, time.Now()), nil},
		{"a validity of zero", Issue(ca, "west", t.TempDir(), 0, time.Now()), nil},
		{"finish without rotate", FinishRotation(ca), ErrNotRotating},
		{"issue without a CA", Issue(t.TempDir(), "west", t.TempDir(), time.Hour, time.Now()), fs.ErrNotExist},
	} {
		if testCase.err == nil || testCase.want != nil && !errors.Is(testCase.err, testCase.want) {
			t.Errorf("%s: got error %v, want %v", testCase.name, testCase.err, testCase.want)
		}
	}
	for _, file := range []string{CAFile, CAKeyFile} {
		if info, err := os.Stat(filepath.Join(ca, file)); err != nil || info.Mode().Perm() != ownerOnly {
			t.Errorf("%s: got mode %v, %v; want %v", file, info.Mode(), err, ownerOnly)
		}
	}
}
