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
	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/ports"
	"github.com/micahill/micahill/internal/validate"
	"github.com/micahill/micahill/internal/worker"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxBody is the protocol's limit for request bodies.
	maxBody = 64 << 10
	// patience bounds the wait for the core, which answers earlier by itself.
	patience = 1900 * time.Millisecond
	// headerTimeout, idleTimeout and writeTimeout keep slow or silent peers
	// from holding sockets for ever.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	writeTimeout  = 10 * time.Second
)

// idForm is what job ids look like.
var idForm = regexp.MustCompile(`^job-[0-9A-Za-z_-]{1,64}$`)

// Core is what the handlers need of the server.
type Core interface {
	Ask(ctx context.Context, mk func(reply uint64) core.Command) (core.Effect, error)
	Healthy() bool
}

type handlers struct {
	core  Core
	conns *conns
	mu    sync.Mutex
	told  validate.LogLimiter
}

// connKey finds a request's connection in its context.
type connKey struct{}

// Observer is told of every answer.
type Observer func(route, status string, took time.Duration)

// Operators serves the operators' view on the controllers' own address: the
// status as JSON and the metrics. Users do not reach it.
// more adds the routes of what is switched on.
func Operators(ctx context.Context, ln net.Listener, c Core, metrics http.Handler, more ...func(*echo.Echo)) error {
	h := &handlers{core: c}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/metrics", echo.WrapHandler(metrics))
	e.GET("/status", h.status)
	for _, add := range more {
		add(e)
	}
	return serve(ctx, ln, e, nil)
}

func (h *handlers) status(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), patience)
	defer cancel()
	e, err := h.core.Ask(ctx, func(r uint64) core.Command { return core.QueryStatus{Reply: r} })
	if err != nil {
		return busy(c)
	}
	return c.JSON(http.StatusOK, e)
}

func serve(ctx context.Context, ln net.Listener, handler http.Handler, cs *conns) error {
	srv := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	if cs != nil {
		srv.ConnState = cs.state
		srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) }
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
func Serve(ctx context.Context, addr string, sockets int, c Core, observe Observer) error {
	h := &handlers{core: c, conns: newConns(sockets)}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			began := time.Now()
			err := next(c)
			if err != nil {
				c.Error(err)
			}
			observe(c.Path(), strconv.Itoa(c.Response().Status), time.Since(began))
			return nil
		}
	})
	e.POST("/v2/runs", h.submit)
	e.GET("/v2/runs/:id", h.query)
	e.POST("/v2/runs/:id/abort", h.abort)
	e.GET("/healthz", h.health)
	e.POST("/v1/report", h.report)
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		status := http.StatusInternalServerError
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status = he.Code
		}
		if err := fail(c, status, http.StatusText(status)); err != nil {
			slog.Debug("answer not sent", "err", err)
		}
	}
	ln, err := ports.Listen(ctx, "api_addr", addr)
	if err != nil {
		return fmt.Errorf("api: %w", err)
	}
	return serve(ctx, &listener{ln, h.conns}, e, h.conns)
}

func answer(c echo.Context, status int, v any) error {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return fmt.Errorf("api: encode: %w", err)
	}
	return c.Blob(status, "application/msgpack", b)
}

func fail(c echo.Context, status int, why string) error {
	return answer(c, status, map[string]any{"error": why})
}

func busy(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderRetryAfter, "1")
	return fail(c, http.StatusServiceUnavailable, "busy")
}

// body reads a request's body, or answers itself.
func body(c echo.Context) ([]byte, error) {
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
	if !h.core.Healthy() {
		return busy(c)
	}
	return answer(c, http.StatusOK, map[string]any{"status": "ok"})
}

// ask passes a user's request to the core and renders the reply.
func (h *handlers) ask(c echo.Context, mk func(reply uint64) core.Command) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), patience)
	defer cancel()
	e, err := h.core.Ask(ctx, mk)
	if err != nil {
		return busy(c)
	}
	r, ok := e.(core.UserReply)
	if !ok || ctx.Err() != nil {
		return busy(c)
	}
	// The core may have answered long before this goes on.
	if _, instead, late := core.CheckDeadline(r, time.Now()); late {
		r = instead.(core.UserReply)
	}
	if r.RetryAfter > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(max(1, int((r.RetryAfter+time.Second-1)/time.Second))))
	}
	if r.State == "" {
		return fail(c, r.Status, r.Message)
	}
	m := map[string]any{"id": r.ID, "status": r.State}
	if c.Request().Method == http.MethodGet {
		m["done"], m["running"] = r.Done, r.Running
	}
	if r.PromiseRevision > 0 {
		m["promised_s"], m["promise_rev"] = r.PromisedAfter.Seconds(), r.PromiseRevision
	}
	return answer(c, r.Status, m)
}

// bad refuses a body that makes no sense, and tells of it once a minute for each cause;
// all are counted by the answers' histogram.
func (h *handlers) bad(c echo.Context, why string) error {
	h.mu.Lock()
	tell := h.told.Allow(time.Now(), c.Path()+why)
	h.mu.Unlock()
	if tell {
		slog.Info("bad input is not taken", "what", c.Path(), "from", c.RealIP(), "why", why)
	}
	return fail(c, http.StatusBadRequest, why)
}

func (h *handlers) query(c echo.Context) error {
	id := c.Param("id")
	if !idForm.MatchString(id) {
		return fail(c, http.StatusNotFound, "no such job")
	}
	return h.ask(c, func(r uint64) core.Command { return core.QueryJob{Reply: r, ID: id} })
}

func (h *handlers) abort(c echo.Context) error {
	id := c.Param("id")
	if !idForm.MatchString(id) {
		return fail(c, http.StatusNotFound, "no such job")
	}
	return h.ask(c, func(r uint64) core.Command { return core.CancelJob{Reply: r, ID: id} })
}

func (h *handlers) submit(c echo.Context) error {
	b, err := body(c)
	if err != nil {
		return err
	}
	spec, bad := parseRun(b)
	if spec.ID == "" {
		return h.bad(c, bad)
	}
	return h.ask(c, func(r uint64) core.Command { return core.SubmitJob{Reply: r, Spec: spec, MalformedReason: bad} })
}

func (h *handlers) report(c echo.Context) error {
	b, err := body(c)
	if err != nil {
		return err
	}
	if nc, ok := c.Request().Context().Value(connKey{}).(net.Conn); ok && h.conns.report(nc) {
		c.Response().Header().Set(echo.HeaderConnection, "close")
	}
	var r worker.Heartbeat
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return h.bad(c, "not a MessagePack map with a report's fields: "+err.Error())
	}
	report := r.Decode()
	if why := report.Validate(); why != "" {
		return h.bad(c, "field "+why)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), patience)
	defer cancel()
	e, err := h.core.Ask(ctx, func(reply uint64) core.Command { return core.WorkerHeartbeat{Reply: reply, Heartbeat: report} })
	a, ok := e.(core.HeartbeatReply)
	if ok {
		// The core may have answered long before this goes on.
		if _, instead, late := core.CheckDeadline(a, time.Now()); late {
			a, ok = instead.(core.HeartbeatReply)
		}
	}
	switch {
	case err != nil || !ok:
		return busy(c)
	case a.Status == http.StatusOK:
		return answer(c, http.StatusOK, map[string]any{"epoch": a.Epoch, "orders": worker.EncodeCommands(a.Commands)})
	case a.MachineOwner != "":
		return answer(c, a.Status, map[string]any{"steward": a.MachineOwner})
	}
	return fail(c, a.Status, "not the steward")
}
