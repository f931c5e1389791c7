package state

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// Limits, in bytes, on the memory that remains allocated: maxRequestMemory for each completed request,
// and maxConnMemory for each idle connection.
const (
	maxRequestMemory = 256
	maxConnMemory    = 64 << 10
)

// TestRequestsBySize guards against failed requests, too many connections, and leaks of goroutines or
// memory during a failover, which reads and writes a record for each of thousands of machines.
func TestRequestsBySize(t *testing.T) {
	for _, machines := range []int{2000, 5000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			reply, err := msgpack.Marshal(map[string]any{"ledger_rev": 1, "key": "k", "stamp": 1})
			if err != nil {
				t.Fatal(err)
			}
			var open, mostOpen atomic.Int64
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(reply) }))
			srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				switch s {
				case http.StateNew:
					count := open.Add(1)
					for previous := mostOpen.Load(); count > previous && !mostOpen.CompareAndSwap(previous, count); previous = mostOpen.Load() {
					}
				case http.StateClosed, http.StateHijacked:
					open.Add(-1)
				}
			}
			srv.Start()
			defer srv.Close()
			// The rate limits are high enough never to delay a request.
			client := New(strings.TrimPrefix(srv.URL, "http://"), 1e6, 1e6, 1)
			defer client.http.CloseIdleConnections()
			var failed atomic.Int64
			sendRequests := func(requests int) {
				var wg sync.WaitGroup
				// Like the controller, the test has only some requests in flight at a time.
				slots := make(chan struct{}, 2*maxConns)
				for i := range requests {
					slots <- struct{}{}
					wg.Go(func() {
						defer func() { <-slots }()
						key := fmt.Sprintf("task/job-%06d/0", i)
						for _, req := range []message.StoreRequest{
							{Kind: message.OpGet, Priority: message.PriorityLazy, Key: key},
							{Kind: message.OpTxn, Priority: message.PriorityLazy, Writes: []message.Write{{Key: key, Value: []byte{0xc0}}}},
						} {
							if client.Do(context.Background(), req).Status != message.StoreOK {
								failed.Add(1)
							}
						}
					})
				}
				wg.Wait()
			}
			// Warm up, so that memory that is allocated only once does not count.
			sendRequests(10 * maxConns)
			before, routines := memoryInUse(), runtime.NumGoroutine()
			sendRequests(machines)
			if count := failed.Load(); count > 0 {
				t.Errorf("got %d failed requests, want 0", count)
			}
			// The server sees some connections close a little later than the client does.
			if most := mostOpen.Load(); most > maxConns*3/2 {
				t.Errorf("got %d simultaneous connections, want at most %d", most, maxConns*3/2)
			}
			// There are two goroutines at each end of an idle connection, and some goroutines that
			// are about to end.
			if count := runtime.NumGoroutine(); count > routines+5*maxConns {
				t.Errorf("got %d goroutines after the requests, want at most %d", count, routines+5*maxConns)
			}
			if kept := memoryInUse() - before; kept > int64(maxConns*maxConnMemory+machines*maxRequestMemory) {
				t.Errorf("got %d KB still allocated after %d requests, want at most %d KB", kept>>10, 2*machines, (maxConns*maxConnMemory+machines*maxRequestMemory)>>10)
			}
		})
	}
}

// memoryInUse returns the memory of the heap and the stacks in use after a garbage collection, in bytes.
func memoryInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc) + int64(stats.StackInuse)
}
