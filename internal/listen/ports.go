// Package listen opens the addresses that a controller listens on. A process that is
// started again at once may find its port still held, by what is left of its former
// life or by want of descriptors; it waits for that rather than end, as nobody may be
// there to start it once more.
package listen

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
	// minPause separates the first tries and grows to maxPause: soon enough for
	// a port that is free in a moment, and seldom enough for one that is not.
	minPause = 20 * time.Millisecond
	maxPause = 2 * time.Second
	// logEvery is how often the log says that a port is still waited for.
	logEvery = 10 * time.Second
)

// isTransient says that an error to listen may be over by itself. All others are of the
// settings: an address that is malformed, not this machine's or not allowed.
func isTransient(err error) bool {
	for _, e := range [...]error{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// TCP opens a TCP address, which the settings have in the field of that name. It
// waits for one that is in use until the context ends; any other error is returned,
// with the field.
func TCP(ctx context.Context, field, addr string) (net.Listener, error) {
	var lastLogged time.Time
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if err == nil {
			if !lastLogged.IsZero() {
				slog.Info("the address is free now", "field", field, "addr", addr)
			}
			return ln, nil
		}
		if !isTransient(err) {
			return nil, fmt.Errorf("settings: %s %q: cannot listen there: %w", field, addr, err)
		}
		if time.Since(lastLogged) >= logEvery {
			lastLogged = time.Now()
			slog.Error("an address is in use and waited for", "field", field, "addr", addr, "err", err)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("settings: %s %q: %w", field, addr, ctx.Err())
		case <-time.After(pause):
		}
	}
}
