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
	// connMemory is how many bytes of the server's memory one connection may use, including its
	// goroutine and buffers. workerMemory is how many bytes may remain allocated for each worker
	// that has sent a heartbeat.
	connMemory   = 48 << 10
	workerMemory = 256
	// connGoroutines is how many goroutines the server needs for each connection, and
	// serverGoroutines how many other goroutines it may have.
	connGoroutines   = 2
	serverGoroutines = 50
)

// TestConnectionsOfManyMachines guards against goroutines and memory that grow with the number of machines.
// Thousands of machines send a heartbeat, a hundred of them at a time, and leave their connections
// open. Goroutines and memory must be in proportion to the limit on connections, which follows from
// the number of sockets, and every heartbeat must get a response.
func TestConnectionsOfManyMachines(t *testing.T) {
	const sockets = 200
	for _, machines := range []int{2000, 5000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			addr := unusedAddr(t)
			body := encodeHeartbeat(t)
			heapBefore, goroutinesBefore := memoryInUse(), runtime.NumGoroutine()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				Serve(ctx, addr, sockets, heartbeatBackend{}, ignoreResponses)
			}()
			waitForListener(t, addr)
			// concurrentMachines is how many machines send heartbeats at a time. The
			// machines leave their connections open, up to four times as many as the
			// server admits.
			const concurrentMachines = 100
			hardLimit := int(hardLimitFraction * sockets)
			var responses, sent atomic.Int64
			var mostGoroutines int
			var openConns []net.Conn
			var connsMu sync.Mutex
			var senders sync.WaitGroup
			for range concurrentMachines {
				senders.Go(func() {
					for sent.Add(1) <= int64(machines) {
						// The server may close a connection, to admit
						// another, just when the machine uses it, so the
						// machine retries.
						for range 100 {
							conn, ok := sendHeartbeat(addr, body)
							if conn != nil {
								connsMu.Lock()
								if openConns = append(openConns, conn); len(openConns) > 4*hardLimit {
									openConns[0].Close()
									openConns = openConns[1:]
								}
								connsMu.Unlock()
							}
							if ok {
								responses.Add(1)
								break
							}
						}
						count := runtime.NumGoroutine()
						connsMu.Lock()
						mostGoroutines = max(mostGoroutines, count)
						connsMu.Unlock()
					}
				})
			}
			senders.Wait()
			if count := responses.Load(); count != int64(machines) {
				t.Errorf("got %d responses, want %d", count, machines)
			}
			if maxGoroutines := goroutinesBefore + concurrentMachines + connGoroutines*hardLimit + serverGoroutines; mostGoroutines > maxGoroutines {
				t.Errorf("got %d goroutines, want at most %d", mostGoroutines, maxGoroutines)
			}
			for _, conn := range openConns {
				conn.Close()
			}
			openConns = nil
			if grown := memoryInUse() - heapBefore; grown > int64(hardLimit*connMemory+machines*workerMemory) {
				t.Errorf("got %d KB kept after %d machines, want at most %d", grown>>10, machines, (hardLimit*connMemory+machines*workerMemory)>>10)
			}
			cancel()
			<-ended
		})
	}
}

// sendHeartbeat sends a heartbeat on a new connection. It returns the connection, still open, and
// whether the server accepted the heartbeat.
func sendHeartbeat(addr string, body []byte) (net.Conn, bool) {
	conn, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		return nil, false
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/report", bytes.NewReader(body))
	if err != nil || req.Write(conn) != nil {
		return conn, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return conn, false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return conn, resp.StatusCode == http.StatusOK
}

// memoryInUse returns the size in bytes of the heap and the stacks in use, after a garbage collection.
func memoryInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc) + int64(stats.StackInuse)
}
