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

// TestCommandsToUnresponsiveMachines: thousands of orders to machines that take connections and
// never answer, as after the end of all controllers, stay within the sockets that orders
// may have, and take no threads of their own.
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
						// Held until the client gives it up.
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
					result := client.Do(ctx, message.WorkerRequest{ID: uint64(i), Machine: fmt.Sprintf("vm-%06d", i), Addr: ln.Addr().String(), StatusOnly: true})
					if result.Heartbeat != nil {
						t.Error("an answer out of nothing")
					}
				})
			}
			wg.Wait()
			cancel()
			// Each is given up at its own deadline, and the next have their turn; the
			// other end sees some of them go a little later.
			if m := mostOpen.Load(); m > sockets/2 {
				t.Errorf("%d connections at a time, of %d sockets", m, sockets)
			}
			if k := pprof.Lookup("threadcreate").Count(); k > 200 {
				t.Errorf("%d threads", k)
			}
		})
	}
}

// TestSlotAtDeadlineIsNotSent: an order whose turn comes with its deadline is not sent, and its
// core knows that.
func TestSlotAtDeadlineIsNotSent(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// A free place and an ended context are there at once, and either may be seen first.
	client := New(800)
	for range 100 {
		if d := client.Do(ctx, message.WorkerRequest{Machine: "vm-1", Addr: "127.0.0.1:1", StatusOnly: true}); !d.NotSent {
			t.Fatal("it counts as sent")
		}
	}
}
