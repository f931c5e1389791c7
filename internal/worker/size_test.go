package worker

import (
	"context"
	"fmt"
	"net"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/micahill/micahill/internal/message"
)

// TestCommandsToUnresponsiveMachines guards against a client that uses up sockets or threads. After a
// restart of all controllers, thousands of requests may be due at once to machines that accept
// connections and never respond. The client must stay within its limit on connections and start no
// thread for each request.
func TestCommandsToUnresponsiveMachines(t *testing.T) {
	const sockets = 800
	for _, machines := range []int{2000, 5000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			var open, mostOpen atomic.Int64
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					mostOpen.Store(max(mostOpen.Load(), open.Add(1)))
					go func() {
						// The server keeps the connection open until the
						// client closes it.
						var buffer [1 << 10]byte
						for {
							if _, err := conn.Read(buffer[:]); err != nil {
								conn.Close()
								open.Add(-1)
								return
							}
						}
					}()
				}
			}()
			ctx, cancel := context.WithCancel(context.Background())
			client := New(sockets)
			var requests sync.WaitGroup
			for i := range machines {
				requests.Go(func() {
					resp := client.Do(ctx, message.WorkerRequest{ID: uint64(i), Machine: fmt.Sprintf("vm-%06d", i), Addr: listener.Addr().String(), StatusOnly: true})
					if resp.Heartbeat != nil {
						t.Errorf("got %+v, want no heartbeat", *resp.Heartbeat)
					}
				})
			}
			requests.Wait()
			cancel()
			// Each request ends at its own timeout, and the next one gets its slot. The
			// bound is higher than the client's limit, since the server notices some
			// closed connections late.
			if conns := mostOpen.Load(); conns > sockets/2 {
				t.Errorf("got %d connections at a time, want at most %d", conns, sockets/2)
			}
			if threads := pprof.Lookup("threadcreate").Count(); threads > 200 {
				t.Errorf("got %d threads, want at most 200", threads)
			}
		})
	}
}

// TestSlotAtDeadlineIsNotSent checks that a request that gets its slot at its deadline is not sent,
// and that its response is marked NotSent. Otherwise the controller would assume that the worker
// may execute the commands.
func TestSlotAtDeadlineIsNotSent(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// A slot is free and the context has ended, so the client's select may choose either. The
	// repetitions cover both.
	client := New(800)
	for range 100 {
		if resp := client.Do(ctx, message.WorkerRequest{Machine: "vm-1", Addr: "127.0.0.1:1", StatusOnly: true}); !resp.NotSent {
			t.Fatalf("got %+v, want NotSent", resp)
		}
	}
}
