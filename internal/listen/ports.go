// Package listen opens the addresses that a controller listens on. A process that is restarted
// at once may find its port still in use by its former incarnation, or descriptors short. It
// waits rather than exit, as it may not be restarted once more.
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
	// The pause between two attempts doubles from minPause to maxPause.
	minPause = 20 * time.Millisecond
	maxPause = 2 * time.Second
	// logInterval separates log lines about the same address.
	logInterval = 10 * time.Second
)

// isTransient reports whether an error of listening may go away by itself. All others are
// errors of the settings: the address is malformed, not of this machine, or not permitted.
func isTransient(err error) bool {
	for _, e := range [...]error{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// TCP listens on a TCP address, which is in the given field of the settings. While the address is
// in use it waits, until the context ends. Its errors name the field.
func TCP(ctx context.Context, field, addr string) (net.Listener, error) {
	var lastLogged time.Time
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if err == nil {
			if !lastLogged.IsZero() {
				slog.Info("address available", "field", field, "addr", addr)
			}
			return ln, nil
		}
		if !isTransient(err) {
			return nil, fmt.Errorf("settings: %s %q: cannot listen there: %w", field, addr, err)
		}
		if time.Since(lastLogged) >= logInterval {
			lastLogged = time.Now()
			slog.Error("address in use, retrying", "field", field, "addr", addr, "err", err)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("settings: %s %q: %w", field, addr, ctx.Err())
		case <-time.After(pause):
		}
	}
}
