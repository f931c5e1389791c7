package listen

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"
)

// TestWaitsForAddressInUse: a port that is held is waited for, and had when it is free.
func TestWaitsForAddressInUse(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan error, 1)
	go func() {
		ln, err := TCP(t.Context(), "api_addr", held.Addr().String())
		if err == nil {
			ln.Close()
		}
		got <- err
	}()
	select {
	case err := <-got:
		t.Fatalf("it does not wait: %v", err)
	case <-time.After(3 * minPause):
	}
	held.Close()
	if err := <-got; err != nil {
		t.Error(err)
	}
}

// TestInvalidAddressFails: what waiting does not mend is told at once, with the field.
func TestInvalidAddressFails(t *testing.T) {
	for _, addr := range []string{"nowhere", "192.0.2.1:80", "127.0.0.1:99999"} {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		_, err := TCP(ctx, "back", addr)
		if err == nil || ctx.Err() != nil || !strings.Contains(err.Error(), "back") {
			t.Errorf("%s: %v", addr, err)
		}
		cancel()
	}
}

// TestWaitEndsWithContext: waiting ends with the context.
func TestWaitEndsWithContext(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*minPause)
	defer cancel()
	if _, err := TCP(ctx, "api_addr", held.Addr().String()); err == nil {
		t.Error("two listen on one port")
	}
}
