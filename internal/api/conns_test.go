package api

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// heartbeatBackend is a core that answers every report and nothing else.
type heartbeatBackend struct{}

func (heartbeatBackend) Ask(_ context.Context, mk func(uint64) message.Command) (message.Effect, error) {
	if _, ok := mk(1).(message.WorkerHeartbeat); ok {
		return message.HeartbeatReply{Status: 200, Epoch: 1}, nil
	}
	return message.UserReply{Status: 404, Message: "no such job"}, nil
}

func (heartbeatBackend) Healthy() bool { return true }

// TestMoreWorkersThanSockets guards against workers whose lease ends because all
// connections are held by others, which are idle: a pool several times larger than
// the sockets reports again and again, every report is answered at once, and so
// are users and health checks meanwhile.
func TestMoreWorkersThanSockets(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const sockets, workers, rounds = 40, 160, 3
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	go Serve(ctx, addr, sockets, heartbeatBackend{}, func(string, string, time.Duration) {})
	body, _ := msgpack.Marshal(map[string]any{"host": "vm-1", "tenure": 1, "tick": 1, "epoch": 1, "pieces": []any{}})
	for i := 0; ; i++ {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			break
		}
		if i > 200 {
			t.Fatal("does not listen")
		}
		time.Sleep(10 * time.Millisecond)
	}
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c net.Conn
			var br *bufio.Reader
			for range rounds {
				// A connection that was closed meanwhile is opened anew, as a
				// worker does with its next try.
				ok := false
				for range 3 {
					if c == nil {
						var err error
						if c, err = net.DialTimeout("tcp", addr, 4*time.Second); err != nil {
							t.Error(err)
							return
						}
						br = bufio.NewReader(c)
					}
					req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/report", bytes.NewReader(body))
					c.SetDeadline(time.Now().Add(4 * time.Second))
					req.Write(c)
					resp, err := http.ReadResponse(br, req)
					if err != nil {
						c.Close()
						c = nil
						continue
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.Close {
						c.Close()
						c = nil
					}
					ok = resp.StatusCode == 200
					break
				}
				if !ok {
					t.Error("a report got no answer")
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	// No connection is kept here: each has to be let in.
	user := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 20 {
		resp, err := user.Get("http://" + addr + "/healthz")
		if err != nil {
			t.Error("health check: ", err)
			break
		}
		resp.Body.Close()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
}

// TestConns: connections stay within the limit, a worker's idle one goes before a
// user's, and one with a request under way never.
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
		t.Error("connections are not short though all are taken")
	}
	if !c.admit() {
		t.Fatal("no room though one is idle")
	}
	if c.open[worker] != nil || c.open[user] == nil {
		t.Error("not the worker's idle connection was closed")
	}
	open(true, false)
	if !c.admit() || c.open[user] != nil {
		t.Error("the last idle connection was not closed")
	}
	open(true, false)
	if c.admit() {
		t.Error("room though every connection is in use")
	}
	c.trackState(all[len(all)-1], http.StateClosed)
	if !c.admit() {
		t.Error("no room after one has ended")
	}
}
