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

// requestMemory is how many bytes a completed request may leave allocated, and connMemory an
// idle connection.
const (
	requestMemory = 256
	connMemory    = 64 << 10
)

// TestRequestsBySize makes a read and a write for each of thousands of machines, as a failover
// does. All must be answered within the bound of connections, and neither goroutines nor
// memory may remain.
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
					k := open.Add(1)
					for was := mostOpen.Load(); k > was && !mostOpen.CompareAndSwap(was, k); was = mostOpen.Load() {
					}
				case http.StateClosed, http.StateHijacked:
					open.Add(-1)
				}
			}
			srv.Start()
			defer srv.Close()
			// The rate limits are out of the way.
			c := New(strings.TrimPrefix(srv.URL, "http://"), 1e6, 1e6, 1)
			defer c.http.CloseIdleConnections()
			var failed atomic.Int64
			sendRequests := func(requests int) {
				var wg sync.WaitGroup
				// The controller has some in flight at a time, not all.
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
							if c.Do(context.Background(), req).Status != message.StoreOK {
								failed.Add(1)
							}
						}
					})
				}
				wg.Wait()
			}
			// Warm up: what is allocated once does not count.
			sendRequests(10 * maxConns)
			before, routines := heap(), runtime.NumGoroutine()
			sendRequests(machines)
			if k := failed.Load(); k > 0 {
				t.Errorf("got %d failed requests, want 0", k)
			}
			// The server sees some of them close a little later than the client.
			if m := mostOpen.Load(); m > maxConns*3/2 {
				t.Errorf("got %d connections at a time, want at most %d", m, maxConns*3/2)
			}
			// Two goroutines at each end of an idle connection, and some that are ending.
			if k := runtime.NumGoroutine(); k > routines+5*maxConns {
				t.Errorf("got %d goroutines, want at most %d", k, routines+5*maxConns)
			}
			if kept := heap() - before; kept > int64(maxConns*connMemory+machines*requestMemory) {
				t.Errorf("got %d KB kept after %d requests, want at most %d", kept>>10, 2*machines, (maxConns*connMemory+machines*requestMemory)>>10)
			}
		})
	}
}

// heap is the memory in use after a collection, in bytes.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) + int64(m.StackInuse)
}
