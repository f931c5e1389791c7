package listen

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"
)

// TestWaitsForAddressInUse guards against a controller that exits because its port is still in use. TCP
// must wait, and listen when the port becomes free.
func TestWaitsForAddressInUse(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		ln, err := TCP(t.Context(), "api_addr", held.Addr().String())
		if err == nil {
			ln.Close()
		}
		result <- err
	}()
	select {
	case err := <-result:
		t.Fatalf("port in use: TCP returned %v at once, want it to wait", err)
	case <-time.After(3 * minRetryPause):
	}
	held.Close()
	if err := <-result; err != nil {
		t.Errorf("port became free: got error %v, want none", err)
	}
}

// TestInvalidAddressFails guards against an endless wait for an invalid address. TCP must return at once
// an error that names the field of the settings.
func TestInvalidAddressFails(t *testing.T) {
	for _, addr := range []string{"nowhere", "192.0.2.1:80", "127.0.0.1:99999"} {
		t.Run(addr, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := TCP(ctx, "back", addr)
			if err == nil || ctx.Err() != nil || !strings.Contains(err.Error(), "back") {
				t.Errorf("got error %v, want one at once that names the field", err)
			}
		})
	}
}

// TestWaitEndsWithContext guards against a wait for an address in use that outlasts the context.
func TestWaitEndsWithContext(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*minRetryPause)
	defer cancel()
	if _, err := TCP(ctx, "api_addr", held.Addr().String()); err == nil {
		t.Error("port in use: got no error, want the context's error")
	}
}
