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

// TestMoreWorkersThanSockets guards against a worker whose lease expires because the idle
// connections of other workers use all sockets. Four times as many workers as there are sockets
// send heartbeats repeatedly. Each heartbeat and each health check must get a response within a
// few seconds.
func TestMoreWorkersThanSockets(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const sockets, workers, rounds = 40, 160, 3
	addr := unusedAddr(t)
	go Serve(ctx, addr, sockets, heartbeatBackend{}, ignoreResponses)
	waitForListener(t, addr)
	body := encodeHeartbeat(t)
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			worker := testWorker{addr: addr, body: body}
			for range rounds {
				if err := worker.sendWithRetries(); err != nil {
					t.Errorf("heartbeat: got %v, want a response", err)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	// This client keeps no connection, so the server has to admit a new one for each request.
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
	running.Wait()
}

// waitForListener waits until addr accepts connections.
func waitForListener(t *testing.T, addr string) {
	t.Helper()
	for range 200 {
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no listener on %s, want one", addr)
}

// testWorker is a worker that sends heartbeats on one connection until the server closes it.
type testWorker struct {
	addr   string
	body   []byte
	conn   net.Conn
	reader *bufio.Reader
}

// sendWithRetries sends a heartbeat. It tries up to three connections, since the server may have
// closed the open one in the meantime. A response with another status than 200 is an error.
func (worker *testWorker) sendWithRetries() error {
	var failure error
	for range 3 {
		if worker.conn == nil {
			conn, err := net.DialTimeout("tcp", worker.addr, 4*time.Second)
			if err != nil {
				return err
			}
			worker.conn, worker.reader = conn, bufio.NewReader(conn)
		}
		status, err := worker.send()
		if err == nil && status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		if err == nil {
			return nil
		}
		failure = err
		worker.conn.Close()
		worker.conn = nil
	}
	return failure
}

// send makes one request on the connection and returns the status of the response.
func (worker *testWorker) send() (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+worker.addr+"/v1/report", bytes.NewReader(worker.body))
	if err != nil {
		return 0, err
	}
	worker.conn.SetDeadline(time.Now().Add(4 * time.Second))
	// If the write fails, so does the read below.
	req.Write(worker.conn)
	resp, err := http.ReadResponse(worker.reader, req)
	if err != nil {
		return 0, err
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.Close {
		worker.conn.Close()
		worker.conn = nil
	}
	return resp.StatusCode, nil
}

// TestConnectionLimit checks which connection the tracker closes at the hard limit: an idle connection of a
// worker before one of a user, and never a connection with a request in progress. Otherwise a busy
// server would drop requests that it has already accepted.
func TestConnectionLimit(t *testing.T) {
	tracker := newConnTracker(0)
	var all []net.Conn
	open := func(worker, idle bool) net.Conn {
		server, client := net.Pipe()
		t.Cleanup(func() { client.Close() })
		tracker.trackState(server, http.StateNew)
		tracker.trackState(server, http.StateActive)
		if worker {
			tracker.markWorker(server)
		}
		if idle {
			tracker.trackState(server, http.StateIdle)
		}
		all = append(all, server)
		return server
	}
	user := open(false, true)
	worker := open(true, true)
	for range minConns - 2 {
		open(true, false)
	}
	if !tracker.markWorker(worker) {
		t.Error("markWorker at the hard limit: got false, want true")
	}
	if !tracker.admit() {
		t.Fatal("admit with two idle connections: got false, want true")
	}
	if tracker.open[worker] != nil || tracker.open[user] == nil {
		t.Errorf("open: got worker %t, user %t, want only the user's", tracker.open[worker] != nil, tracker.open[user] != nil)
	}
	open(true, false)
	if admitted := tracker.admit(); !admitted || tracker.open[user] != nil {
		t.Errorf("last idle connection: got admitted %t, still open %t, want a new connection admitted and the idle one closed", admitted, tracker.open[user] != nil)
	}
	open(true, false)
	if tracker.admit() {
		t.Error("admit with every connection in use: got true, want false")
	}
	tracker.trackState(all[len(all)-1], http.StateClosed)
	if !tracker.admit() {
		t.Error("admit after a connection has ended: got false, want true")
	}
}
