package api

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestMoreWorkersThanSockets guards against workers whose lease expires because idle connections
// of others take up all sockets: several times as many workers as sockets send heartbeats again
// and again, and each of these, as well as users and health checks, must get a response at once.
func TestMoreWorkersThanSockets(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const sockets, workers, rounds = 40, 160, 3
	addr := unusedAddr(t)
	go Serve(ctx, addr, sockets, heartbeatBackend{}, ignoreResponses)
	waitForListener(t, addr)
	body := encodeHeartbeat(t)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			w := testWorker{addr: addr, body: body}
			for range rounds {
				if err := w.sendWithRetries(); err != nil {
					t.Errorf("heartbeat: got %v, want a response", err)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	// No connection is kept here, so each request has to be admitted.
	user := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 20 {
		resp, err := user.Get("http://" + addr + "/healthz")
		if err != nil {
			t.Errorf("health check: got %v, want a response", err)
			break
		}
		resp.Body.Close()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
}

// waitForListener waits until addr accepts connections.
func waitForListener(t *testing.T, addr string) {
	t.Helper()
	for range 200 {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no listener on %s, want one", addr)
}

// testWorker sends heartbeats on a connection that it keeps while the server does.
type testWorker struct {
	addr   string
	body   []byte
	conn   net.Conn
	reader *bufio.Reader
}

// sendWithRetries sends a heartbeat, on up to three connections: the server may have closed the
// kept one meanwhile. Any response but a 200 is an error.
func (w *testWorker) sendWithRetries() error {
	var failure error
	for range 3 {
		if w.conn == nil {
			conn, err := net.DialTimeout("tcp", w.addr, 4*time.Second)
			if err != nil {
				return err
			}
			w.conn, w.reader = conn, bufio.NewReader(conn)
		}
		status, err := w.send()
		if err == nil && status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		if err == nil {
			return nil
		}
		failure = err
		w.conn.Close()
		w.conn = nil
	}
	return failure
}

// send makes one request on the connection and returns the status of the response.
func (w *testWorker) send() (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+w.addr+"/v1/report", bytes.NewReader(w.body))
	if err != nil {
		return 0, err
	}
	w.conn.SetDeadline(time.Now().Add(4 * time.Second))
	// A failed write shows in the read.
	req.Write(w.conn)
	resp, err := http.ReadResponse(w.reader, req)
	if err != nil {
		return 0, err
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.Close {
		w.conn.Close()
		w.conn = nil
	}
	return resp.StatusCode, nil
}

// TestConns: connections stay within the limit; a worker's idle one is closed before a user's,
// and one with a request in progress never.
func TestConns(t *testing.T) {
	c := newConnTracker(0)
	var all []net.Conn
	open := func(worker, idle bool) net.Conn {
		a, b := net.Pipe()
		t.Cleanup(func() { b.Close() })
		c.trackState(a, http.StateNew)
		c.trackState(a, http.StateActive)
		if worker {
			c.markWorker(a)
		}
		if idle {
			c.trackState(a, http.StateIdle)
		}
		all = append(all, a)
		return a
	}
	user := open(false, true)
	worker := open(true, true)
	for range minConns - 2 {
		open(true, false)
	}
	if !c.markWorker(worker) {
		t.Error("markWorker at the hard limit: got false, want true")
	}
	if !c.admit() {
		t.Fatal("admit with two idle connections: got false, want true")
	}
	if c.open[worker] != nil || c.open[user] == nil {
		t.Errorf("open: got worker %t, user %t, want the user's only", c.open[worker] != nil, c.open[user] != nil)
	}
	open(true, false)
	if admitted := c.admit(); !admitted || c.open[user] != nil {
		t.Errorf("last idle connection: got admitted %t, still open %t, want it closed for another", admitted, c.open[user] != nil)
	}
	open(true, false)
	if c.admit() {
		t.Error("admit with every connection in use: got true, want false")
	}
	c.trackState(all[len(all)-1], http.StateClosed)
	if !c.admit() {
		t.Error("admit after a connection has ended: got false, want true")
	}
}
