package api

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// connMemory is what a connection of a worker may take at this end, with its
	// goroutine and buffers, and workerMemory what one that is gone may leave behind.
	connMemory   = 48 << 10
	workerMemory = 256
	// connRoutines is how many goroutines one connection takes, and serverRoutines what
	// there is besides.
	connRoutines   = 2
	serverRoutines = 50
)

// TestPoolBySize: thousands of machines that all report at once, over and over, stay
// within the connections that follow from the sockets; goroutines and memory follow from
// the connections and not from the machines; and all get answers.
func TestPoolBySize(t *testing.T) {
	const sockets = 200
	for _, machines := range []int{2000, 5000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr := ln.Addr().String()
			ln.Close()
			before, routines := heap(), runtime.NumGoroutine()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				Serve(ctx, addr, sockets, heartbeatBackend{}, func(string, string, time.Duration) {})
			}()
			body, err := msgpack.Marshal(map[string]any{"host": "vm-1", "tenure": 1, "tick": 1, "epoch": 1, "pieces": []any{}})
			if err != nil {
				t.Fatal(err)
			}
			// So many machines report at a time, each once, and then hold their
			// connections, four times as many as may be open, while they are let.
			const crowd = 100
			hardLimit := int(hardLimitFraction * sockets)
			var answered, next atomic.Int64
			var mostGoroutines int
			var openConns []net.Conn
			var mu sync.Mutex
			var wg sync.WaitGroup
			for range crowd {
				wg.Go(func() {
					for next.Add(1) <= int64(machines) {
						// A connection may be closed for another's sake just as it is used.
						for range 100 {
							c, ok := sendHeartbeat(addr, body)
							if c != nil {
								mu.Lock()
								if openConns = append(openConns, c); len(openConns) > 4*hardLimit {
									openConns[0].Close()
									openConns = openConns[1:]
								}
								mu.Unlock()
							}
							if ok {
								answered.Add(1)
								break
							}
						}
						k := runtime.NumGoroutine()
						mu.Lock()
						mostGoroutines = max(mostGoroutines, k)
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			if k := answered.Load(); k != int64(machines) {
				t.Errorf("%d of %d machines got an answer", k, machines)
			}
			if maxGoroutines := routines + crowd + connRoutines*hardLimit + serverRoutines; mostGoroutines > maxGoroutines {
				t.Errorf("%d goroutines, of %d at most", mostGoroutines, maxGoroutines)
			}
			for _, c := range openConns {
				c.Close()
			}
			openConns = nil
			if kept := heap() - before; kept > int64(hardLimit*connMemory+machines*workerMemory) {
				t.Errorf("%d KB are kept after %d machines", kept>>10, machines)
			}
			cancel()
			<-ended
		})
	}
}

// sendHeartbeat hands in one report on a connection of its own, which it leaves open.
func sendHeartbeat(addr string, body []byte) (net.Conn, bool) {
	c, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		return nil, false
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/report", bytes.NewReader(body))
	if err != nil || req.Write(c) != nil {
		return c, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return c, false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return c, resp.StatusCode == http.StatusOK
}

// heap is what is in use after a collection, in bytes.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) + int64(m.StackInuse)
}
