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

// ask passes a command to the controller and waits for a reply of type T, until the context ends. A
// reply of another type is an error.
func ask[T message.Effect](ctx context.Context, backend Backend, newCommand func(reply uint64) message.Command) (T, error) {
	var none T
	effect, err := backend.Ask(ctx, newCommand)
	if err != nil {
		return none, fmt.Errorf("api: %w", err)
	}
	reply, ok := effect.(T)
	if !ok {
		return none, fmt.Errorf("api: reply is a %T, want a %T", effect, none)
	}
	return reply, nil
}

// respond sends a status and a body in MessagePack.
func respond(c echo.Context, status int, body any) error {
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		return fmt.Errorf("api: encode response: %w", err)
	}
	return c.Blob(status, "application/msgpack", encoded)
}

// respondError sends a status and a body whose only field, "error", is the reason.
func respondError(c echo.Context, status int, reason string) error {
	return respond(c, status, map[string]any{"error": reason})
}

// respondBusy sends a 503 that asks the client to retry after a second. It is the response whenever
// the controller can't reply in time.
func respondBusy(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderRetryAfter, "1")
	return respondError(c, http.StatusServiceUnavailable, "busy")
}

// rejectInput responds to a malformed body with a 400 and the reason. It logs at most one rejection
// a minute for each route and reason; the metrics count every rejection.
func (handlers *handlers) rejectInput(c echo.Context, reason string) error {
	handlers.mu.Lock()
	shouldLog := handlers.rejectLog.Allow(time.Now(), c.Path()+reason)
	handlers.mu.Unlock()
	if shouldLog {
		slog.Info("invalid input rejected", "route", c.Path(), "from", c.RealIP(), "reason", reason)
	}
	return respondError(c, http.StatusBadRequest, reason)
}

// readBody reads a request's body of at most maxBodyBytes. Its errors are HTTP errors, which the
// handlers return as they are.
func readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest)
	}
	if len(body) > maxBodyBytes {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	return body, nil
}
