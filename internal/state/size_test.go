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

// requestMemory is what an ended request may leave behind, and connMemory a connection
// that is kept for the next ones.
const (
	requestMemory = 256
	connMemory    = 64 << 10
)

// TestRequestsBySize: what a successor of thousands of machines asks for at once, a read
// and a write for each, takes no more connections than are meant for it, all of it is
// answered, and nothing of it is left: neither goroutines nor memory.
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
			// The rate is not what is looked at.
			c := New(strings.TrimPrefix(srv.URL, "http://"), 1e6, 1e6, 1)
			defer c.http.CloseIdleConnections()
			var refused atomic.Int64
			sendRequests := func(requests int) {
				var wg sync.WaitGroup
				// The core has some under way at a time, not all.
				slots := make(chan struct{}, 2*maxConns)
				for i := range requests {
					slots <- struct{}{}
					wg.Go(func() {
						defer func() { <-slots }()
						key := fmt.Sprintf("task/job-%06d/0", i)
						for _, op := range []message.StoreRequest{
							{Kind: message.OpGet, Priority: message.PriorityLazy, Key: key},
							{Kind: message.OpTxn, Priority: message.PriorityLazy, Writes: []message.Write{{Key: key, Value: []byte{0xc0}}}},
						} {
							if c.Do(context.Background(), op).Status != message.StoreOK {
								refused.Add(1)
							}
						}
					})
				}
				wg.Wait()
			}
			// What is made once, whatever the size, does not count.
			sendRequests(10 * maxConns)
			before, routines := heap(), runtime.NumGoroutine()
			sendRequests(machines)
			if k := refused.Load(); k > 0 {
				t.Errorf("%d requests are not answered", k)
			}
			// The other end sees some of them go a little later than the client.
			if m := mostOpen.Load(); m > maxConns*3/2 {
				t.Errorf("%d connections, of %d at most", m, maxConns)
			}
			// Two goroutines at each end of a connection that is kept, and what ends
			// just now.
			if k := runtime.NumGoroutine(); k > routines+5*maxConns {
				t.Errorf("%d goroutines are left of %d before", k, routines)
			}
			if kept := heap() - before; kept > int64(maxConns*connMemory+machines*requestMemory) {
				t.Errorf("%d KB are kept after %d requests", kept>>10, 2*machines)
			}
		})
	}
}

// heap is what is in use after a collection, in bytes.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) + int64(m.StackInuse)
}
