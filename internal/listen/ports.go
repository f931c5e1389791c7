// Package listen opens the addresses on which a controller listens. After an immediate restart, the
// process may find its port still in use by the previous process, or may find no free file
// descriptors. The package then waits, because a process that exits may not be restarted again.
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
	// minRetryPause and maxRetryPause limit the pause between two attempts to listen. The pause
	// doubles after each attempt.
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// logInterval is the shortest time between two log lines about the same address.
	logInterval = 10 * time.Second
)

// isTransient reports whether an error of an attempt to listen may disappear without a change of the
// settings. Any other error is an error of the settings: the address is malformed, does not belong to
// the local machine, or is not permitted.
func isTransient(err error) bool {
	for _, e := range [...]error{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// TCP listens on a TCP address, which comes from the given field of the settings. While the address is
// in use or resources are short, TCP waits until the context ends. Its errors have the name of the
// field.
func TCP(ctx context.Context, field, addr string) (net.Listener, error) {
	var lastLogged time.Time
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if err == nil {
			if !lastLogged.IsZero() {
				slog.Info("address available", "field", field, "addr", addr)
			}
			return ln, nil
		}
		if !isTransient(err) {
			return nil, fmt.Errorf("settings: %s %q: cannot listen on this address: %w", field, addr, err)
		}
		if time.Since(lastLogged) >= logInterval {
			lastLogged = time.Now()
			slog.Error("cannot listen on address yet, retrying", "field", field, "addr", addr, "err", err)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("settings: %s %q: wait for the address: %w", field, addr, ctx.Err())
		case <-time.After(pause):
		}
	}
}
