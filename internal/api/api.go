// Package api serves users, workers and the load balancer's health checks over HTTP, and
// operators on an address of their own. It owns the wire form of jobs; package worker owns that
// of heartbeats. The routes and bodies are those of the protocol.
package api

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/listen"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/validate"
)

const (
	// maxBodyBytes is the protocol's limit for request bodies.
	maxBodyBytes = 64 << 10
	// controllerTimeout bounds the wait for the controller's reply; the controller itself
	// gives up earlier.
	controllerTimeout = 1900 * time.Millisecond
	// headerTimeout, idleTimeout and writeTimeout keep slow or unresponsive clients from
	// holding sockets for ever.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	writeTimeout  = 10 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
)

// Backend is what the handlers need of the server. Its methods are safe for concurrent use.
type Backend interface {
	// Ask passes a command to the controller and waits for its reply.
	Ask(ctx context.Context, newCommand func(reply uint64) message.Command) (message.Effect, error)
	// Healthy reports whether the controller can serve requests.
	Healthy() bool
}

// Observer gets the route, the HTTP status and the duration of every request.
type Observer func(route, status string, took time.Duration)

type handlers struct {
	backend Backend
	conns   *connTracker

	mu        sync.Mutex
	rejectLog validate.LogLimiter // guarded by mu
}

// connContextKey is the key of a request's net.Conn in its context.
type connContextKey struct{}

// Serve listens on addr, for users, workers and health checks, until the context ends. It
// keeps within its part of so many sockets, and passes every response to observe.
func Serve(ctx context.Context, addr string, sockets int, backend Backend, observe Observer) error {
	h := &handlers{backend: backend, conns: newConnTracker(sockets)}
	e := newEcho()
	e.Use(observed(observe))
	e.POST("/v2/runs", h.submitJob)
	e.GET("/v2/runs/:id", h.queryJob)
	e.POST("/v2/runs/:id/abort", h.cancelJob)
	e.GET("/healthz", h.health)
	e.POST("/v1/report", h.heartbeat)
	e.HTTPErrorHandler = handleError
	ln, err := listen.TCP(ctx, "api_addr", addr)
	if err != nil {
		return fmt.Errorf("api: %w", err)
	}
	return serve(ctx, &limitedListener{ln, h.conns}, e, h.conns)
}

// ServeOperators serves the status as JSON and the metrics on ln, the controllers' own address,
// which users can't reach. extraRoutes add the routes of optional features.
func ServeOperators(ctx context.Context, ln net.Listener, backend Backend, metrics http.Handler, extraRoutes ...func(*echo.Echo)) error {
	h := &handlers{backend: backend}
	e := newEcho()
	e.GET("/metrics", echo.WrapHandler(metrics))
	e.GET("/status", h.status)
	for _, add := range extraRoutes {
		add(e)
	}
	return serve(ctx, ln, e, nil)
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

// observed passes each response to observe. Errors become responses here, so that their status
// is known.
func observed(observe Observer) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			began := time.Now()
			if err := next(c); err != nil {
				c.Error(err)
			}
			observe(c.Path(), strconv.Itoa(c.Response().Status), time.Since(began))
			return nil
		}
	}
}

// handleError responds with an error's status in the protocol's form.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	if err := respondError(c, status, http.StatusText(status)); err != nil {
		slog.Debug("response write failed", "err", err)
	}
}

// serve serves ln until the context ends. tracker, if not nil, follows the connections.
func serve(ctx context.Context, ln net.Listener, handler http.Handler, tracker *connTracker) error {
	srv := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	if tracker != nil {
		srv.ConnState = tracker.trackState
		srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, conn)
		}
	}
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("api: %w", err)
	}
	return nil
}
