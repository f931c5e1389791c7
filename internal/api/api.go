// Package api is a controller's HTTP server. It serves users, workers and the load balancer's
// health checks on one address, and operators on another. The protocol specifies the routes and
// the bodies. This package implements the wire format of jobs; package worker implements the
// wire format of heartbeats.
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
	// maxBodyBytes is the protocol's limit on the size of a request body.
	maxBodyBytes = 64 << 10
	// controllerTimeout bounds the wait for the controller's reply to a user or a worker. It is
	// only a backstop, since the controller's own deadline for a request is shorter.
	controllerTimeout = 1900 * time.Millisecond
	// headerTimeout, idleTimeout and writeTimeout keep slow or unresponsive clients from
	// occupying sockets indefinitely. headerTimeout bounds the reading of the header and also of
	// the whole request.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	writeTimeout  = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 16 << 10
)

// Backend is the part of the server process that the HTTP handlers call. Its methods are safe
// for concurrent use.
type Backend interface {
	// Ask passes a command to the controller and waits for its reply.
	Ask(ctx context.Context, newCommand func(reply uint64) message.Command) (message.Effect, error)
	// Healthy reports whether the controller can serve requests.
	Healthy() bool
}

// Observer receives the route, the HTTP status and the duration of every request.
type Observer func(route, status string, took time.Duration)

// handlers implements the HTTP handlers of both servers.
type handlers struct {
	backend Backend
	// conns tracks the connections of users and workers. It is nil in the operators' server.
	conns *connTracker

	mu        sync.Mutex
	rejectLog validate.LogLimiter // guarded by mu
}

// connContextKey is the key of a request's net.Conn in the request's context.
type connContextKey struct{}

// Serve listens on addr, for users, workers and health checks, until the context ends. sockets is
// how many sockets the process may have open; Serve limits the incoming connections to
// hardLimitFraction of them. It calls observe after every response.
func Serve(ctx context.Context, addr string, sockets int, backend Backend, observe Observer) error {
	handlers := &handlers{backend: backend, conns: newConnTracker(sockets)}
	router := newEcho()
	router.Use(observeResponses(observe))
	router.POST("/v2/runs", handlers.submitJob)
	router.GET("/v2/runs/:id", handlers.queryJob)
	router.POST("/v2/runs/:id/abort", handlers.cancelJob)
	router.GET("/healthz", handlers.health)
	router.POST("/v1/report", handlers.heartbeat)
	router.HTTPErrorHandler = handleError
	listener, err := listen.TCP(ctx, "api_addr", addr)
	if err != nil {
		return fmt.Errorf("api: %w", err)
	}
	return serve(ctx, &limitedListener{listener, handlers.conns}, router, handlers.conns)
}

// ServeOperators serves the controller's status as JSON, and its metrics, on listener until the
// context ends. The listener's address is the controllers' internal one, which users can't reach.
// Each function in extraRoutes adds the routes of an optional feature.
func ServeOperators(ctx context.Context, listener net.Listener, backend Backend, metrics http.Handler, extraRoutes ...func(*echo.Echo)) error {
	handlers := &handlers{backend: backend}
	router := newEcho()
	router.GET("/metrics", echo.WrapHandler(metrics))
	router.GET("/status", handlers.status)
	for _, add := range extraRoutes {
		add(router)
	}
	return serve(ctx, listener, router, nil)
}

// newEcho returns a router that prints nothing at its start.
func newEcho() *echo.Echo {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	return router
}

// observeResponses returns a middleware that calls observe after each response. It converts a handler's
// error to a response first, so that the response's status is known.
func observeResponses(observe Observer) echo.MiddlewareFunc {
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

// handleError responds to a failed request with the HTTP status of its error, or with a 500 if the
// error has none, in the protocol's format for errors.
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

// serve runs an HTTP server on listener until the context ends. If tracker is not nil, the server
// reports each connection's state to it, and each request's context holds the request's connection.
func serve(ctx context.Context, listener net.Listener, handler http.Handler, tracker *connTracker) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	if tracker != nil {
		server.ConnState = tracker.trackState
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, conn)
		}
	}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("api: %w", err)
	}
	return nil
}
