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
)

const (
	// connMemory is how many bytes a worker's connection may take in the server, with its
	// goroutine and buffers, and workerMemory what one may leave allocated.
	connMemory   = 48 << 10
	workerMemory = 256
	// connRoutines is how many goroutines a connection takes, and serverRoutines how many
	// there are besides.
	connRoutines   = 2
	serverRoutines = 50
)

// TestPoolBySize: the heartbeats of thousands of machines, all at once, stay within the
// connections that follow from the sockets; goroutines and memory follow from the connections
// and not from the machines; and every heartbeat gets a response.
func TestPoolBySize(t *testing.T) {
	const sockets = 200
	for _, machines := range []int{2000, 5000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			addr := unusedAddr(t)
			body := encodeHeartbeat(t)
			before, routines := heap(), runtime.NumGoroutine()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				Serve(ctx, addr, sockets, heartbeatBackend{}, ignoreResponses)
			}()
			waitForListener(t, addr)
			// So many machines send heartbeats at a time. They leave their connections open, up
			// to four times as many as the server admits.
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
						// The server may close a connection, to admit another, just as it is used.
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
				t.Errorf("got %d responses, want %d", k, machines)
			}
			if maxGoroutines := routines + crowd + connRoutines*hardLimit + serverRoutines; mostGoroutines > maxGoroutines {
				t.Errorf("got %d goroutines, want at most %d", mostGoroutines, maxGoroutines)
			}
			for _, c := range openConns {
				c.Close()
			}
			openConns = nil
			if kept := heap() - before; kept > int64(hardLimit*connMemory+machines*workerMemory) {
				t.Errorf("got %d KB kept after %d machines, want at most %d", kept>>10, machines, (hardLimit*connMemory+machines*workerMemory)>>10)
			}
			cancel()
			<-ended
		})
	}
}

// sendHeartbeat sends a heartbeat on a connection of its own, which it leaves open, and reports
// whether it was accepted.
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

// heap is the memory in use after a collection, in bytes.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) + int64(m.StackInuse)
}
