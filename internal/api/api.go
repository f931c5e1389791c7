// Package api serves users, workers and health checks over HTTP.
package api

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/listen"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/validate"
	"github.com/micahill/micahill/internal/worker"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxBody is the protocol's limit for request bodies.
	maxBody = 64 << 10
	// coreTimeout bounds the wait for the core, which answers earlier by itself.
	coreTimeout = 1900 * time.Millisecond
	// headerTimeout, idleTimeout and writeTimeout keep slow or silent peers
	// from holding sockets for ever.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	writeTimeout  = 10 * time.Second
)

// jobIDPattern is what job ids look like.
var jobIDPattern = regexp.MustCompile(`^job-[0-9A-Za-z_-]{1,64}$`)

// Backend is what the handlers need of the server.
type Backend interface {
	Ask(ctx context.Context, mk func(reply uint64) message.Command) (message.Effect, error)
	Healthy() bool
}

type handlers struct {
	backend   Backend
	conns     *connTracker
	mu        sync.Mutex
	rejectLog validate.LogLimiter
}

// connContextKey finds a request's connection in its context.
type connContextKey struct{}

// Observer is told of every answer.
type Observer func(route, status string, took time.Duration)

// ServeOperators serves the operators' view on the controllers' own address: the
// status as JSON and the metrics. Users do not reach it.
// more adds the routes of what is switched on.
func ServeOperators(ctx context.Context, ln net.Listener, backend Backend, metrics http.Handler, extraRoutes ...func(*echo.Echo)) error {
	h := &handlers{backend: backend}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/metrics", echo.WrapHandler(metrics))
	e.GET("/status", h.status)
	for _, add := range extraRoutes {
		add(e)
	}
	return serve(ctx, ln, e, nil)
}

func (h *handlers) status(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), coreTimeout)
	defer cancel()
	e, err := h.backend.Ask(ctx, func(r uint64) message.Command { return message.QueryStatus{Reply: r} })
	if err != nil {
		return respondBusy(c)
	}
	return c.JSON(http.StatusOK, e)
}

func serve(ctx context.Context, ln net.Listener, handler http.Handler, tracker *connTracker) error {
	srv := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	if tracker != nil {
		srv.ConnState = tracker.trackState
		srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, nc)
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

// Serve listens on addr until the context ends.
func Serve(ctx context.Context, addr string, sockets int, backend Backend, observe Observer) error {
	h := &handlers{backend: backend, conns: newConnTracker(sockets)}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(backend echo.Context) error {
			began := time.Now()
			err := next(backend)
			if err != nil {
				backend.Error(err)
			}
			observe(backend.Path(), strconv.Itoa(backend.Response().Status), time.Since(began))
			return nil
		}
	})
	e.POST("/v2/runs", h.submitJob)
	e.GET("/v2/runs/:id", h.queryJob)
	e.POST("/v2/runs/:id/abort", h.cancelJob)
	e.GET("/healthz", h.health)
	e.POST("/v1/report", h.heartbeat)
	e.HTTPErrorHandler = func(err error, backend echo.Context) {
		if backend.Response().Committed {
			return
		}
		status := http.StatusInternalServerError
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status = he.Code
		}
		if err := respondError(backend, status, http.StatusText(status)); err != nil {
			slog.Debug("answer not sent", "err", err)
		}
	}
	ln, err := listen.TCP(ctx, "api_addr", addr)
	if err != nil {
		return fmt.Errorf("api: %w", err)
	}
	return serve(ctx, &limitedListener{ln, h.conns}, e, h.conns)
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

func respondBusy(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderRetryAfter, "1")
	return respondError(c, http.StatusServiceUnavailable, "busy")
}

// readBody reads a request's body, or answers itself.
func readBody(c echo.Context) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody+1))
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest)
	}
	if len(b) > maxBody {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	return b, nil
}

func (h *handlers) health(c echo.Context) error {
	if !h.backend.Healthy() {
		return respondBusy(c)
	}
	return respond(c, http.StatusOK, map[string]any{"status": "ok"})
}

// forward passes a user's request to the core and renders the reply.
func (h *handlers) forward(c echo.Context, newCommand func(reply uint64) message.Command) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), coreTimeout)
	defer cancel()
	e, err := h.backend.Ask(ctx, newCommand)
	if err != nil {
		return respondBusy(c)
	}
	r, ok := e.(message.UserReply)
	if !ok || ctx.Err() != nil {
		return respondBusy(c)
	}
	// The core may have answered long before this goes on.
	if _, instead, late := controller.CheckDeadline(r, time.Now()); late {
		r = instead.(message.UserReply)
	}
	if r.RetryAfter > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(max(1, int((r.RetryAfter+time.Second-1)/time.Second))))
	}
	if r.State == "" {
		return respondError(c, r.Status, r.Message)
	}
	m := map[string]any{"id": r.ID, "status": r.State}
	if c.Request().Method == http.MethodGet {
		m["done"], m["running"] = r.Done, r.Running
	}
	if r.PromiseRevision > 0 {
		m["promised_s"], m["promise_rev"] = r.PromisedAfter.Seconds(), r.PromiseRevision
	}
	return respond(c, r.Status, m)
}

// rejectInput refuses a body that makes no sense, and tells of it once a minute for each cause;
// all are counted by the answers' histogram.
func (h *handlers) rejectInput(c echo.Context, reason string) error {
	h.mu.Lock()
	shouldLog := h.rejectLog.Allow(time.Now(), c.Path()+reason)
	h.mu.Unlock()
	if shouldLog {
		slog.Info("bad input is not taken", "what", c.Path(), "from", c.RealIP(), "why", reason)
	}
	return respondError(c, http.StatusBadRequest, reason)
}

func (h *handlers) queryJob(c echo.Context) error {
	id := c.Param("id")
	if !jobIDPattern.MatchString(id) {
		return respondError(c, http.StatusNotFound, "no such job")
	}
	return h.forward(c, func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: id} })
}

func (h *handlers) cancelJob(c echo.Context) error {
	id := c.Param("id")
	if !jobIDPattern.MatchString(id) {
		return respondError(c, http.StatusNotFound, "no such job")
	}
	return h.forward(c, func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: id} })
}

func (h *handlers) submitJob(c echo.Context) error {
	b, err := readBody(c)
	if err != nil {
		return err
	}
	spec, reason := parseJobRequest(b)
	if spec.ID == "" {
		return h.rejectInput(c, reason)
	}
	return h.forward(c, func(r uint64) message.Command {
		return message.SubmitJob{Reply: r, Spec: spec, MalformedReason: reason}
	})
}

func (h *handlers) heartbeat(c echo.Context) error {
	b, err := readBody(c)
	if err != nil {
		return err
	}
	if nc, ok := c.Request().Context().Value(connContextKey{}).(net.Conn); ok && h.conns.markWorker(nc) {
		c.Response().Header().Set(echo.HeaderConnection, "close")
	}
	var wireHeartbeat worker.Heartbeat
	if err := msgpack.Unmarshal(b, &wireHeartbeat); err != nil {
		return h.rejectInput(c, "not a MessagePack map with a report's fields: "+err.Error())
	}
	heartbeat := wireHeartbeat.Decode()
	if reason := heartbeat.Validate(); reason != "" {
		return h.rejectInput(c, "field "+reason)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), coreTimeout)
	defer cancel()
	e, err := h.backend.Ask(ctx, func(reply uint64) message.Command {
		return message.WorkerHeartbeat{Reply: reply, Heartbeat: heartbeat}
	})
	a, ok := e.(message.HeartbeatReply)
	if ok {
		// The core may have answered long before this goes on.
		if _, instead, late := controller.CheckDeadline(a, time.Now()); late {
			a, ok = instead.(message.HeartbeatReply)
		}
	}
	switch {
	case err != nil || !ok:
		return respondBusy(c)
	case a.Status == http.StatusOK:
		return respond(c, http.StatusOK, map[string]any{"epoch": a.Epoch, "orders": worker.EncodeCommands(a.Commands)})
	case a.MachineOwner != "":
		return respond(c, a.Status, map[string]any{"steward": a.MachineOwner})
	}
	return respondError(c, a.Status, "not the steward")
}
