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

// TestCommandsToUnresponsiveMachines: thousands of requests to machines that accept connections
// and never respond, as after a restart of all controllers, stay within the sockets for requests,
// and take no threads of their own.
func TestCommandsToUnresponsiveMachines(t *testing.T) {
	const sockets = 800
	for _, machines := range []int{2000, 5000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			var open, mostOpen atomic.Int64
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					mostOpen.Store(max(mostOpen.Load(), open.Add(1)))
					go func() {
						// Held until the client gives up.
						var b [1 << 10]byte
						for {
							if _, err := c.Read(b[:]); err != nil {
								c.Close()
								open.Add(-1)
								return
							}
						}
					}()
				}
			}()
			ctx, cancel := context.WithCancel(context.Background())
			client := New(sockets)
			var wg sync.WaitGroup
			for i := range machines {
				wg.Go(func() {
					resp := client.Do(ctx, message.WorkerRequest{ID: uint64(i), Machine: fmt.Sprintf("vm-%06d", i), Addr: ln.Addr().String(), StatusOnly: true})
					if resp.Heartbeat != nil {
						t.Errorf("got %+v, want no heartbeat", *resp.Heartbeat)
					}
				})
			}
			wg.Wait()
			cancel()
			// Each ends with its own timeout, and the next gets its turn; the server sees some
			// of the connections close a little later.
			if m := mostOpen.Load(); m > sockets/2 {
				t.Errorf("got %d connections at a time, want at most %d", m, sockets/2)
			}
			if k := pprof.Lookup("threadcreate").Count(); k > 200 {
				t.Errorf("got %d threads, want at most 200", k)
			}
		})
	}
}

// TestSlotAtDeadlineIsNotSent: a request whose turn comes with its deadline is not sent, and the
// response says so.
func TestSlotAtDeadlineIsNotSent(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// A free slot and an ended context are there at once, and either may be seen first.
	client := New(800)
	for range 100 {
		if resp := client.Do(ctx, message.WorkerRequest{Machine: "vm-1", Addr: "127.0.0.1:1", StatusOnly: true}); !resp.NotSent {
			t.Fatalf("got %+v, want it not sent", resp)
		}
	}
}
