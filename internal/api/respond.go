package api

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// ask passes a command to the controller and waits for a reply of type T.
func ask[T message.Effect](ctx context.Context, backend Backend, newCommand func(reply uint64) message.Command) (T, error) {
	var none T
	e, err := backend.Ask(ctx, newCommand)
	if err != nil {
		return none, fmt.Errorf("api: %w", err)
	}
	reply, ok := e.(T)
	if !ok {
		return none, fmt.Errorf("api: reply is a %T, want a %T", e, none)
	}
	return reply, nil
}

func respond(c echo.Context, status int, body any) error {
	b, err := msgpack.Marshal(body)
	if err != nil {
		return fmt.Errorf("api: encode: %w", err)
	}
	return c.Blob(status, "application/msgpack", b)
}

func respondError(c echo.Context, status int, reason string) error {
	return respond(c, status, map[string]any{"error": reason})
}

// respondBusy is the response whenever the controller can't reply now: the client retries.
func respondBusy(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderRetryAfter, "1")
	return respondError(c, http.StatusServiceUnavailable, "busy")
}

// rejectInput responds to a malformed body with a 400, and logs it at most once a minute for
// each route and reason; the metrics count them all.
func (h *handlers) rejectInput(c echo.Context, reason string) error {
	h.mu.Lock()
	shouldLog := h.rejectLog.Allow(time.Now(), c.Path()+reason)
	h.mu.Unlock()
	if shouldLog {
		slog.Info("invalid input rejected", "route", c.Path(), "from", c.RealIP(), "reason", reason)
	}
	return respondError(c, http.StatusBadRequest, reason)
}

// readBody reads a request's body. Its errors are HTTP errors, for handlers to return.
func readBody(c echo.Context) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest)
	}
	if len(b) > maxBodyBytes {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	return b, nil
}
