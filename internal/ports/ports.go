// Package ports opens the addresses that a controller listens on. A process that is
// started again at once may find its port still held, by what is left of its former
// life or by want of descriptors; it waits for that rather than end, as nobody may be
// there to start it once more.
package ports

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"syscall"
	"time"
)

const (
	// firstPause separates the first tries and grows to longestPause: soon enough for
	// a port that is free in a moment, and seldom enough for one that is not.
	firstPause   = 20 * time.Millisecond
	longestPause = 2 * time.Second
	// tellEvery is how often the log says that a port is still waited for.
	tellEvery = 10 * time.Second
)

// passing says that an error to listen may be over by itself. All others are of the
// settings: an address that is malformed, not this machine's or not allowed.
func passing(err error) bool {
	for _, e := range [...]error{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Listen opens a TCP address, which the settings have in the field of that name. It
// waits for one that is in use until the context ends; any other error is returned,
// with the field.
func Listen(ctx context.Context, field, addr string) (net.Listener, error) {
	var told time.Time
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if err == nil {
			if !told.IsZero() {
				slog.Info("the address is free now", "field", field, "addr", addr)
			}
			return ln, nil
		}
		if !passing(err) {
			return nil, fmt.Errorf("settings: %s %q: cannot listen there: %w", field, addr, err)
		}
		if time.Since(told) >= tellEvery {
			told = time.Now()
			slog.Error("an address is in use and waited for", "field", field, "addr", addr, "err", err)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("settings: %s %q: %w", field, addr, ctx.Err())
		case <-time.After(pause):
		}
	}
}
